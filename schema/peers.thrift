/**
 * What the VMs of a deployment tell each other.
 * Frames: a four-byte length before each message, compact protocol, one reply to each request.
 */

include "reports.thrift"

/** Requests that a client account has in progress at the sender. */
struct AccountUse {
  1: required string account,
  2: required i32 in_progress,
}

/** The sender's own counters for a version in a request class. */
struct EvidenceTally {
  1: required string request_class,
  2: required string version,
  3: required i64 rated,
  4: required i64 score,
  5: required i64 ended,
  6: required i64 failed,
  7: required i64 passed,
}

/** What an endpoint reported to the sender. */
struct EndpointLoad {
  1: required string endpoint,
  2: required i32 load,
  3: required bool leaving,
  /** Whether it refused the connection instead. */
  4: required bool gone,
}

/** What a VM says of itself. */
struct PeerHeartbeat {
  1: required string vm,
  2: required i64 incarnation,
  3: required i64 seq,
  4: required i64 config_next,
  5: optional i64 revision,
  6: required i64 staleness_ms,
  7: required bool ready,
  8: required bool draining,
  9: required i32 in_progress,
  10: optional list<AccountUse> uses,
  11: optional list<EvidenceTally> evidence,
  /** Reports since the sender's last heartbeat; not in replies. */
  12: optional list<EndpointLoad> loads,
  /** What the sender knows of requests that crash endpoints; not in replies. */
  13: optional reports.Quarantine quarantine,
}

/** A record of the configuration stream. */
struct PeerRecord {
  1: required i64 offset,
  2: required binary record,
}

/** Asks for records of the configuration stream. */
struct PeerFetch {
  1: required i64 from_offset,
  2: required i32 limit,
}

/** Records of the configuration stream, without a gap. */
struct PeerRecords {
  1: required list<PeerRecord> records,
  /** Offset after the newest record that the sender knows. */
  2: required i64 next_offset,
  /** The whole configuration, for one that is further behind than the records reach. */
  3: optional binary snapshot,
}

/** Ledger records that the sender can't get into the log now. */
struct PeerHold {
  1: required i64 writer,
  2: required list<binary> records,
}

/** Records that the sender has got into the log after all. */
struct PeerRelease {
  1: required i64 writer,
  2: required list<string> request_ids,
}

/** Asks what became of a request. */
struct PeerAsk {
  1: required string request_id,
  2: required string account,
}

/** Makes the receiver drain. */
struct PeerDrain {
  1: required string operator_name,
}

union PeerRequest {
  1: PeerHeartbeat heartbeat,
  2: PeerFetch fetch,
  3: PeerHold hold,
  4: PeerRelease release,
  5: PeerAsk ask,
  6: PeerDrain drain,
}

/** Whether the receiver holds what it was given. */
struct PeerHeld {
  1: required bool held,
}

/** What the receiver knows of a request. */
struct PeerAnswer {
  /** `unknown`, `pending` or `answered`. */
  1: required string state,
  2: optional i32 status,
  3: optional string content_type,
  4: optional binary body,
}

struct PeerDone {
}

union PeerReply {
  1: PeerHeartbeat heartbeat,
  2: PeerRecords records,
  3: PeerHeld held,
  4: PeerAnswer answer,
  5: PeerDone done,
}
