//! What VMs tell each other of requests that crash endpoints.

use std::time::{Duration, SystemTime};

use crate::{
    hold::KeptHold,
    ids::EndpointId,
    mark::{RequestMark, VersionMark},
};

/// A request was in progress at an endpoint when that ended, as VMs tell each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ToldCrash {
    /// The request.
    pub mark: RequestMark,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its version.
    pub version: VersionMark,
    /// Time from when the request was sent there until then.
    pub ran_for: Duration,
    /// Time since then.
    pub age: Duration,
}

/// A request that is held back, as VMs tell each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ToldHold {
    /// The request.
    pub mark: RequestMark,
    /// Version of the last endpoint that ended under it.
    pub version: VersionMark,
    /// Time since the earliest of the crashes for which it is held.
    pub age: Duration,
    /// Time since it is held.
    pub held_for: Duration,
    /// Time for which it is held on.
    pub left: Duration,
    /// Trials that were begun.
    pub trials: usize,
    /// Time since the last of them.
    pub tried_ago: Option<Duration>,
    /// Whether it is known to be written where it outlasts all VMs.
    pub is_kept: bool,
}

/// A request that an endpoint answered as a whole, as VMs tell each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ToldAnswer {
    /// The request.
    pub mark: RequestMark,
    /// Version of the endpoint.
    pub version: VersionMark,
    /// Time since then.
    pub age: Duration,
}

/// What a VM tells others of requests that crash endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuarantineNews {
    /// Crashes.
    pub crashes: Vec<ToldCrash>,
    /// Requests that are held back.
    pub held: Vec<ToldHold>,
    /// Requests that were answered, of those that were at crashes.
    pub answered: Vec<ToldAnswer>,
}

impl ToldHold {
    /// A request as others are told of it.
    pub(crate) fn new(kept: &KeptHold, is_kept: bool, now: SystemTime) -> Self {
        let age = |at: SystemTime| now.duration_since(at).unwrap_or_default();
        let KeptHold { mark, version, first_crash, since, until, trials, tried } = *kept;
        Self {
            mark,
            version,
            age: age(first_crash),
            held_for: age(since),
            left: until.duration_since(now).unwrap_or_default(),
            trials,
            tried_ago: tried.map(age),
            is_kept,
        }
    }
}
