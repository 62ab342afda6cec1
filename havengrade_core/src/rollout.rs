//! Roll-outs: which requests and sessions go to a new version.

use crate::{
    config::{Account, Config},
    ids::VersionId,
    secret::spread,
};

/// Thousandths in a whole.
const WHOLE: u64 = 1000;

/// The version that stands in for a planned one, by the roll-out that replaces it.
///
/// `subject` is the session's or request's id. The same subject falls on the same side of a step on
/// every VM, and a growing share only adds subjects.
pub fn substitute(cfg: &Config, account: &Account, planned: &VersionId, subject: &str) -> VersionId {
    let rollout = cfg.rollouts.values().find(|rollout| rollout.from == *planned);
    let Some(rollout) = rollout else {
        return planned.clone();
    };
    let usable = cfg.is_active(&rollout.to) && account.allows(&rollout.to);
    if usable && place(&rollout.id, subject) < u64::from(rollout.share()) {
        return rollout.to.clone();
    }
    planned.clone()
}

/// Where a subject stands between 0 and 999, evenly spread and the same on every VM.
fn place(rollout: &str, subject: &str) -> u64 {
    spread(&[rollout, subject]) % WHOLE
}
