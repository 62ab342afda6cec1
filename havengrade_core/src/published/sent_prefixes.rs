//! The shared prompt prefixes that this VM has sent, with the endpoints that may have them cached.

use std::{
    collections::HashMap,
    time::{Duration, SystemTime},
};

use crate::ids::EndpointId;

/// Identifies a shared prefix of prompts and the model that reads it.
pub type PrefixKey = String;

/// The beginning of a prompt, up to the end of a part that other prompts share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// The key that identifies the prefix.
    pub key: PrefixKey,
    /// Length of the prefix, in tokens of the largest model.
    pub tokens: u32,
}

/// Time for which an endpoint is expected to cache a prefix that was sent to it.
///
/// Endpoints don't report how long they cache a prefix. Most prefixes are sent again after about a third of this time.
const CACHE_LIFETIME: Duration = Duration::from_secs(30);
/// Highest number of stored prefixes, which bounds the memory to about a megabyte; above it, expired ones are dropped.
const MAX_PREFIXES: usize = 4096;

/// The prefixes that this VM has sent, each with the endpoints and times.
#[derive(Clone, Debug, Default)]
pub struct SentPrefixes {
    by_prefix: HashMap<PrefixKey, HashMap<EndpointId, SystemTime>>,
}

impl SentPrefixes {
    /// Records that a prompt with these prefixes, the shortest first, was sent to an endpoint.
    pub fn record(&mut self, prefixes: &[Prefix], endpoint: &str, now: SystemTime) {
        for prefix in prefixes {
            let endpoints = self.by_prefix.entry(prefix.key.clone()).or_default();
            endpoints.insert(endpoint.to_owned(), now);
        }
        if self.by_prefix.len() > MAX_PREFIXES {
            self.drop_expired(now);
        }
    }

    /// The endpoints that are expected to have a prefix of a prompt cached, each with the tokens of the longest such
    /// prefix.
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

    /// Drops prefixes that are no longer expected to be cached, or all prefixes if too many would be left.
    fn drop_expired(&mut self, now: SystemTime) {
        for endpoints in self.by_prefix.values_mut() {
            endpoints.retain(|_, at| now < *at + CACHE_LIFETIME);
        }
        self.by_prefix.retain(|_, endpoints| !endpoints.is_empty());
        if self.by_prefix.len() > MAX_PREFIXES {
            self.by_prefix.clear();
        }
    }
}
