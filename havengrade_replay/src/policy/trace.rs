//! Traces: one request a line, as JSON.

use clap::ValueEnum;
use rand::RngExt as _;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng as _};
use serde::{Deserialize, Serialize};

/// A request of a trace.
///
/// An operator's own log can be brought into this shape: the fields are all that the replay reads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Request {
    /// When it arrives, in milliseconds from the start.
    pub at_ms: u64,
    /// Its class.
    pub class: String,
    /// Priority of the class; 0 comes first.
    pub priority: u8,
    /// Tokens of the prompt.
    pub input_tokens: u32,
    /// Tokens of the answer.
    pub output_tokens: u32,
    /// How hard it is, from 0 to 1: a version answers it well if its strength is as high.
    pub difficulty: f64,
}

/// Sample traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Profile {
    /// Kilimo on a gala day: a burst of check-ins over archive summaries.
    Gala,
    /// Valle on a harvest day: lot questions, day logs and season summaries.
    Harvest,
}

/// A class of sample traffic.
struct Kind {
    class: &'static str,
    priority: u8,
    /// Requests a second.
    rate: f64,
    /// Factor of the rate in the middle fifth of the trace.
    burst: f64,
    input_tokens: u32,
    output_tokens: u32,
    /// Share of requests that a cheap version answers well.
    easy: f64,
}

fn kinds(profile: Profile) -> Vec<Kind> {
    let kind = |class, priority, rate, burst, input_tokens, output_tokens, easy| Kind {
        class,
        priority,
        rate,
        burst,
        input_tokens,
        output_tokens,
        easy,
    };
    match profile {
        Profile::Gala => vec![
            kind("check-in", 0, 6.0, 4.0, 60, 25, 0.95),
            kind("pledge", 0, 3.0, 1.0, 120, 60, 0.85),
            kind("match-letter", 6, 0.5, 1.0, 800, 400, 0.5),
            kind("archive-summary", 6, 0.5, 1.0, 3000, 500, 0.15),
        ],
        Profile::Harvest => vec![
            kind("lot-question", 4, 6.0, 2.0, 120, 80, 0.9),
            kind("day-log", 3, 2.0, 2.0, 700, 160, 0.6),
            kind("season-summary", 1, 0.4, 1.0, 4000, 600, 0.1),
        ],
    }
}

/// Makes a trace of so many seconds.
///
/// ```
/// use havengrade_replay::policy::{Profile, generate};
///
/// assert_eq!(generate(Profile::Gala, 10, 1), generate(Profile::Gala, 10, 1));
/// assert_ne!(generate(Profile::Gala, 10, 1), generate(Profile::Gala, 10, 2));
/// ```
pub fn generate(profile: Profile, seconds: u64, seed: u64) -> Vec<Request> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for kind in kinds(profile) {
        let mut at_ms = 0.0;
        loop {
            let in_burst = (0.4..0.6).contains(&(at_ms / 1000.0 / seconds as f64));
            let rate = kind.rate * if in_burst { kind.burst } else { 1.0 };
            at_ms += -(rng.random_range(f64::MIN_POSITIVE..1.0_f64)).ln() / rate * 1000.0;
            if at_ms >= seconds as f64 * 1000.0 {
                break;
            }
            requests.push(request(&kind, at_ms as u64, &mut rng));
        }
    }
    requests.sort_by_key(|request| request.at_ms);
    requests
}

fn request(kind: &Kind, at_ms: u64, rng: &mut ChaCha8Rng) -> Request {
    let mut around = |tokens: u32| (f64::from(tokens) * rng.random_range(0.5..1.5)) as u32;
    let (input_tokens, output_tokens) = (around(kind.input_tokens), around(kind.output_tokens).max(1));
    let difficulty = if rng.random_bool(kind.easy) { rng.random_range(0.0..0.6) } else { rng.random_range(0.6..1.0) };
    Request { at_ms, class: kind.class.to_owned(), priority: kind.priority, input_tokens, output_tokens, difficulty }
}

/// Reads a trace from JSON lines.
///
/// # Errors
///
/// Names the line at fault.
pub fn parse(text: &str) -> Result<Vec<Request>, String> {
    let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    lines
        .map(|(index, line)| serde_json::from_str(line).map_err(|error| format!("line {}: {error}", index + 1)))
        .collect()
}
