//! A stand-in for the service that rates answers.

use std::{collections::BTreeMap, sync::Mutex};

use async_trait::async_trait;
use havengrade_core::{
    ids::{Permille, VersionId},
    secret::uniform_hash,
};
use havengrade_router::{platform::RatingRequest, shared::lock};
use hyper::StatusCode;
use serde_json::json as value;

use super::server::{Call, Handler, Reply, bytes, json};

/// Spread of the ratings around a version's quality, in thousandths to either side.
const SPREAD: u64 = 100;

/// The rating service: each version has a quality, and each answer a rating near it.
#[derive(Default)]
pub struct RatingStandIn {
    qualities: Mutex<BTreeMap<VersionId, Permille>>,
}

impl RatingStandIn {
    /// Sets the quality of a version.
    pub fn set_quality(&self, version: &str, quality: Permille) {
        lock(&self.qualities).insert(version.to_owned(), quality);
    }

    fn rate(&self, request: &RatingRequest) -> u64 {
        let quality = lock(&self.qualities).get(&request.version).copied().unwrap_or_default();
        let offset = uniform_hash(&[&request.prompt, &request.version]) % (2 * SPREAD + 1);
        (u64::from(quality) + offset).saturating_sub(SPREAD).min(1000)
    }
}

#[async_trait]
impl Handler for RatingStandIn {
    async fn handle(&self, call: Call) -> Reply {
        match serde_json::from_slice::<RatingRequest>(&call.body) {
            Ok(request) => json(StatusCode::OK, &value!({ "score": self.rate(&request) })),
            Err(error) => bytes(StatusCode::BAD_REQUEST, "text/plain", error.to_string().into()),
        }
    }
}
