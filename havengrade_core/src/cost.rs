//! Cost of requests.

use crate::{config::ModelVersion, ids::Micros};

/// Number of tokens that prices are quoted for.
const TOKENS_PER_PRICE_UNIT: u64 = 1000;

/// Tokens that a request used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub input_tokens: u64,
    /// Tokens of the answer.
    pub output_tokens: u64,
}

impl TokenUsage {
    /// Returns the cost of these tokens on a model version, rounded up to whole millionths.
    ///
    /// ```
    /// use havengrade_core::{config::{ModelVersion, VersionState}, cost::TokenUsage};
    ///
    /// let version = ModelVersion {
    ///     id: "swift@1".into(), model: "swift".into(), input_cost_micros: 100, output_cost_micros: 400,
    ///     prior_quality: 700, state: VersionState::Active,
    /// };
    /// assert_eq!(TokenUsage { input_tokens: 1000, output_tokens: 500 }.cost(&version), 300);
    /// ```
    pub fn cost(&self, version: &ModelVersion) -> Micros {
        let input = self.input_tokens.saturating_mul(version.input_cost_micros);
        let output = self.output_tokens.saturating_mul(version.output_cost_micros);
        input.saturating_add(output).div_ceil(TOKENS_PER_PRICE_UNIT)
    }

    /// Returns the sum of both usages.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            input_tokens: self.input_tokens + other.input_tokens,
            output_tokens: self.output_tokens + other.output_tokens,
        }
    }
}
