/**
 * What operators call. Every call carries the operator's credentials.
 * Frames: a four-byte length before each message, binary protocol.
 */

/** Who calls. */
struct Credentials {
  1: required string operator_name,
  2: required string key,
}

/** The caller is not known, or the key does not fit. */
exception Unauthenticated {
  1: required string remedy,
}

/** A field of the call can't be used. */
exception BadRequest {
  1: required string field,
  2: required string remedy,
}

/** The VM can't answer now. */
exception Unavailable {
  1: required string reason,
  2: required i64 retry_after_ms,
}

/** What became of a change. */
enum ChangeStatus {
  ACCEPTED = 1,
  CONFLICT = 2,
  INVALID = 3,
  UNKNOWN = 4,
}

/** How one item would change; items stand as JSON in the shape of change files. */
struct ItemDifference {
  1: required string kind,
  2: required string name,
  3: optional string before_json,
  4: optional string after_json,
}

/** A change, ready to be applied. */
struct Plan {
  1: required list<ItemDifference> differences,
  /** The changes with the revisions that they were made against, as JSON. */
  2: required string changes_json,
  /** Faults that would keep the change from taking effect. */
  3: required list<string> faults,
}

/** The answer to a change. */
struct ChangeReply {
  1: required ChangeStatus status,
  2: required string change_id,
  3: optional i64 offset,
  4: required string detail,
  /** Live VMs that have the change in force. */
  5: required i32 in_force,
  /** Live VMs. */
  6: required i32 live,
  /** Live VMs that do not have it yet. */
  7: required list<string> lagging,
}

/** An item in force. */
struct ShownItem {
  1: required string kind,
  2: required string name,
  3: required string json,
  4: optional i64 offset,
}

/** An entry of the audit trail. */
struct AuditEntry {
  1: required i64 offset,
  2: required i64 at_unix_ms,
  3: required string change_id,
  4: required string author,
  5: required string reason,
  6: required string effect,
  7: required string detail,
  8: required list<string> scopes,
}

/** What is known of a VM. */
struct VmStatus {
  1: required string vm,
  2: required string failure_domain,
  3: required bool live,
  4: required bool ready,
  5: required bool draining,
  6: optional i64 revision,
  7: required i64 staleness_ms,
  8: required i32 in_progress,
}

/** What is known of the fleet. */
struct FleetStatus {
  1: required string answered_by,
  2: optional i64 revision,
  3: required bool log_reachable,
  4: required list<VmStatus> vms,
}

service Operators {
  Plan plan(1: Credentials credentials, 2: string change_file)
    throws (1: Unauthenticated unauthenticated, 2: BadRequest bad_request, 3: Unavailable unavailable),
  /** Appends the changes of a plan; safe to repeat with the same change id. */
  ChangeReply apply(1: Credentials credentials, 2: string change_id, 3: string reason, 4: string changes_json)
    throws (1: Unauthenticated unauthenticated, 2: BadRequest bad_request, 3: Unavailable unavailable),
  ChangeReply withdraw(1: Credentials credentials, 2: string change_id, 3: string reason, 4: string version)
    throws (1: Unauthenticated unauthenticated, 2: BadRequest bad_request, 3: Unavailable unavailable),
  /** What became of a change whose answer was lost. */
  ChangeReply outcome(1: Credentials credentials, 2: string change_id)
    throws (1: Unauthenticated unauthenticated, 2: BadRequest bad_request, 3: Unavailable unavailable),
  /** Items of a kind, or of all where it is empty. */
  list<ShownItem> show(1: Credentials credentials, 2: string kind)
    throws (1: Unauthenticated unauthenticated, 2: BadRequest bad_request, 3: Unavailable unavailable),
  list<AuditEntry> audit(1: Credentials credentials, 2: i64 from_offset, 3: i32 limit)
    throws (1: Unauthenticated unauthenticated, 2: BadRequest bad_request, 3: Unavailable unavailable),
  FleetStatus status(1: Credentials credentials)
    throws (1: Unauthenticated unauthenticated, 2: BadRequest bad_request, 3: Unavailable unavailable),
  /** Makes a VM finish what is in progress and stop. */
  void drain(1: Credentials credentials, 2: string vm)
    throws (1: Unauthenticated unauthenticated, 2: BadRequest bad_request, 3: Unavailable unavailable),
}
