//! Which shared parts of prompts this VM has sent to which endpoints, and so may find cached there.

use std::{
    collections::HashMap,
    time::{Duration, SystemTime},
};

use crate::ids::EndpointId;

/// What the beginning of a prompt is known by, up to the end of a shared part; the model belongs to it.
pub type PrefixKey = String;

/// The beginning of a prompt, up to the end of a shared part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// What it is known by.
    pub key: PrefixKey,
    /// Its tokens, in those of the largest model.
    pub tokens: u32,
}

/// Time for which a part that was sent to an endpoint is expected to be cached there.
///
/// Endpoints do not say how long they keep a part; this is some three times the pause after which most parts are
/// asked for again. Other times were not measured.
const CACHE_LIFETIME: Duration = Duration::from_secs(30);
/// Prefixes that are remembered, which bounds the memory to about a megabyte by arithmetic; beyond it, those that
/// are old are dropped.
const MAX_PREFIXES: usize = 4096;

/// The parts that this VM has sent, with their endpoints.
#[derive(Clone, Debug, Default)]
pub struct SentPrefixes {
    by_prefix: HashMap<PrefixKey, HashMap<EndpointId, SystemTime>>,
}

impl SentPrefixes {
    /// Notes that a prompt with these prefixes, the shortest first, was sent to an endpoint.
    pub fn record(&mut self, prefixes: &[Prefix], endpoint: &str, now: SystemTime) {
        for prefix in prefixes {
            let endpoints = self.by_prefix.entry(prefix.key.clone()).or_default();
            endpoints.insert(endpoint.to_owned(), now);
        }
        if self.by_prefix.len() > MAX_PREFIXES {
            self.drop_old(now);
        }
    }

    /// The endpoints that are expected to have the beginning of a prompt cached, each with its tokens.
    ///
    /// ```
    /// use std::time::{Duration, SystemTime};
    /// use havengrade_core::published::sent_prefixes::{Prefix, SentPrefixes};
    ///
    /// let now = SystemTime::UNIX_EPOCH;
    /// let prefixes = [Prefix { key: "m/a".into(), tokens: 100 }, Prefix { key: "m/b".into(), tokens: 300 }];
    /// let mut sent = SentPrefixes::default();
    /// sent.record(&prefixes[..1], "e1", now);
    /// assert_eq!(sent.cached_tokens(&prefixes, now).get("e1"), Some(&100));
    /// sent.record(&prefixes, "e1", now);
    /// assert_eq!(sent.cached_tokens(&prefixes, now).get("e1"), Some(&300));
    /// assert!(sent.cached_tokens(&prefixes, now + Duration::from_secs(60)).is_empty());
    /// ```
    pub fn cached_tokens(&self, prefixes: &[Prefix], now: SystemTime) -> HashMap<&str, u32> {
        let mut cached = HashMap::new();
        for prefix in prefixes {
            let endpoints = self.by_prefix.get(&prefix.key).into_iter().flatten();
            let kept = endpoints.filter(|(_, at)| now < **at + CACHE_LIFETIME);
            cached.extend(kept.map(|(endpoint, _)| (endpoint.as_str(), prefix.tokens)));
        }
        cached
    }

    /// Forgets what is no longer expected to be cached, or everything where all of it is new.
    fn drop_old(&mut self, now: SystemTime) {
        for endpoints in self.by_prefix.values_mut() {
            endpoints.retain(|_, at| now < *at + CACHE_LIFETIME);
        }
        self.by_prefix.retain(|_, endpoints| !endpoints.is_empty());
        if self.by_prefix.len() > MAX_PREFIXES {
            self.by_prefix.clear();
        }
    }
}
