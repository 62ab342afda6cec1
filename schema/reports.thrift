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
  /** Tokens that the requests occupy, or will occupy, in the endpoint's memory. */
  4: optional i32 memory_tokens,
}

/** How much longer work takes at an endpoint than at an average one of its service, as the sender measured it. */
struct EndpointSpeed {
  1: required string endpoint,
  /** Ratio of the times, in hundredths. */
  2: required i32 slowness_percent,
  /** Number of measurements. */
  3: required i32 samples,
}

/** Counters for a version of a service on a route, since the roll-out was ordered. */
struct RouteEvidence {
  1: required string service_name,
  2: required string route,
  3: required string version,
  /** Tries that ended. */
  4: required i64 ended,
  /** Tries that ended in an error or a broken answer. */
  5: required i64 failed,
  /** Errors that are surely the endpoints' own. */
  6: optional i64 errors,
  /** Times to the first byte at endpoints with little load, as buckets and counts in turn. */
  7: optional list<i32> first_times,
  /** The same at busy endpoints. */
  8: optional list<i32> loaded_first_times,
  /** Times between events at endpoints with little load, as buckets and counts in turn. */
  9: optional list<i32> paces,
  /** The same at busy endpoints. */
  10: optional list<i32> loaded_paces,
}

/** How a roll-out stands, as it was written for operators. */
struct RolloutState {
  1: required string service_name,
  2: required string version,
  /** `running`, `succeeded` or `rolled_back`. */
  3: required string outcome,
  /** Time since the first VM that the sender knows of learned of the order. */
  4: optional i64 age_ms,
  /** What is known of the version before, for a VM that starts. */
  5: optional list<RouteEvidence> usual,
}

/** A version that is to get nothing more; its state may not be written yet. */
struct RolloutHalt {
  1: required string service_name,
  2: required string version,
  /** `worse`, `turned` or `after_success`. */
  3: required string reason,
}

/** A session whose version is another one than it would be given as a new one. */
struct KeptSession {
  1: required i64 session,
  2: required string version,
  /** Time since it was last served. */
  3: required i64 used_ms,
}

/** Sessions at one version, as `KeptSession`, in fewer bytes. */
struct SessionSet {
  1: required string version,
  /** 11 bytes for each session, big-endian: the session (8) and the milliseconds since it was last served (3). */
  2: required binary entries,
}

/** What an endpoint answered lately, as the sender saw it. */
struct EndpointAnswers {
  1: required string endpoint,
  2: required i32 answers,
  3: required i32 errors,
}

/** What endpoints of a version that has succeeded answered lately, as the sender saw it. */
struct RecentAnswers {
  1: required string service_name,
  2: required list<EndpointAnswers> endpoints,
  /** Answers that are not told by endpoint, since there are hardly any errors. */
  3: required i32 rest_answers,
  4: required i32 rest_errors,
}

/** A request was in progress at an endpoint when that ended. */
struct EndpointCrash {
  /** What the request is known by, over all its repeats. */
  1: required i64 mark,
  2: required string endpoint,
  /** What the version of the endpoint is known by. */
  3: required i64 version,
  /** Time from when the request was sent there until the endpoint ended. */
  4: required i64 ran_ms,
  5: required i64 age_ms,
  /** The request, if the mark is that of a part of its prompt. */
  6: optional i64 request,
}

/** A request that is held back, since it crashes the endpoints that run it. */
struct HeldRequest {
  1: required i64 mark,
  /** Time since the earliest of the crashes for which it is held. */
  2: required i64 age_ms,
  /** Time since it is held. */
  3: required i64 held_ms,
  /** Time for which it is held on. */
  4: required i64 left_ms,
  /** Trials that were begun. */
  5: required i32 trials,
  /** Whether it is known to be written where it outlasts all VMs. */
  6: required bool is_kept,
  /** Version of the last endpoint that ended under it. */
  7: required i64 version,
  /** Time since the last of the trials. */
  8: optional i64 tried_ms,
  /** Fingerprint of the address of its endpoint; absent where its VM did not state it. */
  9: optional i64 tried_endpoint,
}

/** A request that was at a crash and that an endpoint has answered as a whole since. */
struct AnsweredRequest {
  1: required i64 mark,
  2: required i64 version,
  3: required i64 age_ms,
}

/** What the sender knows of requests that crash endpoints. */
struct Quarantine {
  1: required list<EndpointCrash> crashes,
  2: required list<HeldRequest> held,
  3: required list<AnsweredRequest> answered,
}

/** What an endpoint said of itself in its answers. */
struct EndpointSignal {
  1: required string endpoint,
  /** Unix milliseconds of its start. */
  2: optional i64 start_ms,
  /** Time since it last said whether it has a limit; absent where it named none. */
  3: optional i64 limit_age_ms,
  /** Requests a second that it takes from all VMs together; absent where it names no limit any longer. */
  4: optional double limit_per_s,
  /** Time since it was known that it leaves. */
  5: optional i64 leaving_ms,
  /** Whose turn it was to send to the endpoint when it last said whether it has a limit. */
  6: optional i64 limit_turn,
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
  7: optional list<RolloutState> rollouts,
  /** Where the sender stands. */
  9: optional string failure_domain,
  10: optional list<RolloutHalt> halts,
  11: optional list<RecentAnswers> recent_answers,
  12: optional Quarantine quarantine,
  13: optional list<EndpointSignal> signals,
  14: optional list<KeptSession> sessions,
  15: optional list<EndpointSpeed> speeds,
  /** Sessions beside those in `sessions`. */
  16: optional list<SessionSet> session_sets,
}

/** An entry of the list of endpoints. */
struct EndpointEntry {
  1: required string service_name,
  2: required string address,
  3: required string failure_domain,
  4: required string version,
  5: required i32 slots,
  6: required bool leaving,
  /** Time from when it was read for which it is still cold. */
  7: optional i64 cold_ms,
  /** Unix milliseconds of its start. */
  8: optional i64 start_ms,
}

/** A change of the list of endpoints; without an entry, it went. */
struct EndpointChange {
  1: required string endpoint,
  2: optional EndpointEntry entry,
}

/** Asks what is new since the sender's positions in the store. */
struct StoreQuestion {
  /** Echoed by the answer. */
  1: required i64 number,
  /** IP number and port at which the sender hears. */
  2: required string address,
  3: required i64 operators_position,
  4: required i64 endpoints_position,
}

/** What the answering VM knows of the store. */
struct StoreAnswer {
  1: required i64 number,
  2: required i64 operators_position,
  /** Time since nothing newer than this position existed for sure. */
  3: required i64 operators_age_ms,
  4: required i64 endpoints_position,
  5: required i64 endpoints_age_ms,
  /** Changes between the asked position and this one; absent where they are not all known or too many. */
  6: optional list<EndpointChange> changes,
  /** IP number and port at which the sender hears, and at which it hands out what operators wrote. */
  7: optional string address,
  /** Time for which the sender keeps endpoints whose entries went during an outage of the store; 0 for no outage. */
  8: optional i64 relist_grace_ms,
}

/** Asks a VM for what is in force, as far as it is newer than what the sender has. */
struct StateQuestion {
  /** IP number and port at which the sender hands on what it has taken. */
  1: required string address,
  /** Absent where the sender knows nothing. */
  2: optional i64 operators_position,
  3: optional i64 endpoints_position,
  /** Whether the list of VMs is wanted as well. */
  4: required bool wants_vms,
  /** Whether nothing else is wanted. */
  5: required bool only_vms,
  /** Whether callers' requests follow on the connection, as HTTP, once the answer says that they are accepted; nothing else is wanted then. */
  6: optional bool relays_requests,
}

/** A part of what is in force; its text follows in frames. */
struct StatePart {
  1: required i64 position,
  /** Time since nothing newer than this position existed for sure. */
  2: required i64 age_ms,
  /** Bytes of the text that follows: deflated JSON of the router's own types, which both sides share. */
  3: required i64 bytes,
  /** Of the endpoints only: time for which the sender keeps those whose entries went during an outage of the store; 0 for no outage. */
  4: optional i64 relist_grace_ms,
}

/** Says what follows; the texts come in the order of the fields. */
struct StateHead {
  /** IP number and port of a VM to ask instead; nothing follows then. */
  1: optional string ask_instead,
  2: optional StatePart operators,
  3: optional StatePart endpoints,
  4: optional StatePart vms,
  /** Roll-outs whose states are written; absent where the answering VM does not know them all. */
  5: optional list<RolloutState> rollouts,
  /** Absent where the answering VM does not know what was kept before its start. */
  6: optional Quarantine quarantine,
  7: optional list<EndpointSignal> signals,
  /** Time since a VM surely was reading the store for those that start; absent where none is known to, or the answering VM knows what is in force. */
  8: optional i64 reading_age_ms,
  /** Whether the answering VM accepts callers' requests on this connection. */
  9: optional bool accepts_requests,
}

/** What a VM that has read the list of VMs tells the others on it, which may have started with it. */
struct Greeting {
  1: required VmReport report,
  /** Whether the VM that hears this reads the store first, where nobody knows what is in force. */
  2: required bool reads_first,
  /** IP numbers and ports of VMs that do. */
  3: required list<string> readers,
}

/** One datagram. */
union Datagram {
  1: VmReport report,
  2: StoreQuestion question,
  3: StoreAnswer answer,
  4: Greeting greeting,
}
