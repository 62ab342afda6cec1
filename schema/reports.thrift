/**
 * What the VMs that serve published routes tell each other, one message a datagram.
 */

/** Work that the sender has in progress at an endpoint. */
struct EndpointWork {
  1: required string endpoint,
  /** Requests. */
  2: required i32 requests,
  /** Prompt tokens that still have to be read, in those of the largest model. */
  3: required i32 tokens,
}

/** The sender's own counters for a version of a service on a route, since the roll-out was ordered. */
struct RouteEvidence {
  1: required string service_name,
  2: required string route,
  3: required string version,
  4: required i64 ended,
  5: required i64 failed,
}

/** What a VM says of itself. */
struct VmReport {
  1: required string vm,
  /** Run of the sender's process. */
  2: required i64 incarnation,
  /** Number of the report within the run, rising. */
  3: required i64 seq,
  /** IP number and port at which the sender hears. */
  4: required string address,
  5: required list<EndpointWork> work,
  6: optional list<RouteEvidence> evidence,
}
