//! The service that rates answers.

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;
use havengrade_core::ids::{ClassId, Permille, VersionId};
use serde::{Deserialize, Serialize};

use crate::http::{ConnectionReuse, HttpClient, HttpError, post};

/// A request to rate an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RatingRequest {
    /// Class of the request.
    pub class: ClassId,
    /// Version that gave the answer.
    pub version: VersionId,
    /// The prompt.
    pub prompt: String,
    /// The answer.
    pub answer: String,
}

/// The rating service.
#[async_trait]
pub trait RatingService: Send + Sync {
    /// Rates an answer; returns its score in thousandths.
    async fn rate(&self, request: &RatingRequest) -> Result<Permille, HttpError>;
}

/// The rating service over HTTP.
pub struct HttpRatingService {
    client: HttpClient,
    address: SocketAddr,
    timeout: Duration,
}

#[derive(Deserialize)]
struct Rated {
    score: Permille,
}

/// Largest answer of the rating service, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 10;

impl HttpRatingService {
    /// A client of the rating service at an address; a call fails after `timeout`.
    pub fn new(client: HttpClient, address: SocketAddr, timeout: Duration) -> Self {
        Self { client, address, timeout }
    }
}

#[async_trait]
impl RatingService for HttpRatingService {
    async fn rate(&self, request: &RatingRequest) -> Result<Permille, HttpError> {
        let json = serde_json::to_string(request).unwrap_or_default();
        let call = post(&format!("http://{}/ratings", self.address), json);
        let answer =
            self.client.call(self.address, call, ConnectionReuse::Allowed, self.timeout, MAX_ANSWER_BYTES).await?;
        let body = answer.into_ok_body(self.address)?;
        let rated: Rated = serde_json::from_slice(&body)
            .map_err(|error| HttpError::InvalidBody { address: self.address, reason: error.to_string() })?;
        Ok(rated.score)
    }
}
