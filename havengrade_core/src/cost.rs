//! What a request costs.

use crate::{config::ModelVersion, ids::Micros};

/// Tokens that a price is for.
const PRICED_TOKENS: u64 = 1000;

/// Tokens that a request used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub input_tokens: u64,
    /// Tokens of the answer.
    pub output_tokens: u64,
}

impl TokenUsage {
    /// The cost on a version, rounded up to whole millionths.
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
        input.saturating_add(output).div_ceil(PRICED_TOKENS)
    }

    /// Both uses together.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            input_tokens: self.input_tokens + other.input_tokens,
            output_tokens: self.output_tokens + other.output_tokens,
        }
    }
}
