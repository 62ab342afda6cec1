//! The unloaded rate at which endpoints read prompts, by the times to first events in calm and in a shortage.
//!
//! Load: a VM gets an answer every 0.4 s. Half of the prompts are for the largest model, in two sizes, each with a shared
//! prefix that is cached at the endpoint in half of the cases; the others are a tenth of the work. In calm, half of the
//! answers are delayed by waiting work, by up to 150 ms. The failure: congestion was stated in the time of the nominal rate, so that
//! waiting work at faster endpoints looked like a shortage, and low-confidence answers were kept.
#![allow(clippy::unwrap_used)]

use std::time::{Duration, SystemTime};

use havengrade_core::published::{
    congestion::congestion,
    model_choice::confidence_threshold,
    unloaded_read_rate::{FirstEventTime, UnloadedReadRates},
};
use rand::RngExt as _;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng as _};

const SEEDS: u64 = 100;
/// Answers of a VM in 40 s.
const ANSWERS: u32 = 100;
const ANSWER_INTERVAL: Duration = Duration::from_millis(400);
/// Time to a first event without anything to read: the network, and a step of the batch.
const BASE_S: f64 = 0.025;
/// Longest delay by a step of the batch that has begun.
const STEP_S: f64 = 0.02;
/// Longest delay by waiting work in calm.
const CALM_DELAY_S: f64 = 0.15;
/// Longest delay by waiting work in a shortage.
const SHORTAGE_DELAY_S: f64 = 1.5;
/// Shared tokens and own tokens of the prompts.
const PROMPTS: [(f64, f64); 3] = [(568.0, 1800.0), (6300.0, 2890.0), (172.0, 543.0)];
/// Work of the smallest model, as a share of that of the largest one.
const SMALL_MODEL: f64 = 0.1;
const NOMINAL_US: f64 = 75.0;
const FAST_US: f64 = 40.0;

/// What delays the answers of a service.
#[derive(Clone, Copy)]
enum Load {
    Calm,
    /// Each time is three times as long as in calm.
    ThreeTimes,
    /// All requests wait, for up to [`SHORTAGE_DELAY_S`].
    Queues,
}

/// A VM that measures a service.
struct Simulation {
    rates: UnloadedReadRates,
    rng: ChaCha8Rng,
    now: SystemTime,
    /// Time in which an endpoint reads a token.
    token_us: f64,
    /// Share of the requests whose own part of the prompt is cached too.
    cached_share: f64,
}

impl Simulation {
    fn new(token_us: f64, cached_share: f64, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self { rates: UnloadedReadRates::default(), rng, now: SystemTime::UNIX_EPOCH, token_us, cached_share }
    }

    fn run(&mut self, answers: u32, load: Load) {
        for _ in 0..answers {
            let (own_tokens, seconds) = self.answer(load);
            let time = Duration::from_secs_f64(seconds);
            self.rates.record("models", FirstEventTime { own_tokens, time, slowness: 1.0 }, self.now);
            self.now += ANSWER_INTERVAL;
        }
    }

    /// Own tokens of a request, and the time to its first event.
    fn answer(&mut self, load: Load) -> (f64, f64) {
        let (shared, own) = PROMPTS[self.rng.random_range(0..PROMPTS.len())];
        let weight = if self.rng.random_bool(0.5) { 1.0 } else { SMALL_MODEL };
        let is_cached = self.rng.random_bool(self.cached_share);
        let read_shared = if is_cached || self.rng.random_bool(0.5) { 0.0 } else { shared };
        let read_own = if is_cached { 0.0 } else { own };
        let reading = (read_shared + read_own) * weight * self.token_us * 1e-6;
        let is_delayed = self.rng.random_bool(0.5);
        let delay = if is_delayed { self.rng.random_range(0.0..CALM_DELAY_S) } else { 0.0 };
        let calm = BASE_S + reading + self.rng.random_range(0.0..STEP_S) + delay;
        let seconds = match load {
            Load::Calm => calm,
            Load::ThreeTimes => 3.0 * calm,
            Load::Queues => calm + self.rng.random_range(0.0..SHORTAGE_DELAY_S),
        };
        (own * weight, seconds)
    }

    fn learned_us(&self) -> f64 {
        self.rates.time_to_read("models", 1e6, self.now).as_secs_f64()
    }
}

/// The lowest, the mean and the highest learned rate over all seeds, after these loads.
fn learned(token_us: f64, cached_share: f64, loads: &[(u32, Load)]) -> (f64, f64, f64) {
    let of_seed = |seed| {
        let mut simulation = Simulation::new(token_us, cached_share, seed);
        for (answers, load) in loads {
            simulation.run(*answers, *load);
        }
        simulation.learned_us()
    };
    let rates: Vec<f64> = (0..SEEDS).map(of_seed).collect();
    let mean = rates.iter().sum::<f64>() / rates.len() as f64;
    let result = (rates.iter().copied().fold(f64::MAX, f64::min), mean, rates.iter().copied().fold(0.0, f64::max));
    println!("{token_us} us, {cached_share} cached, {} loads: {result:.1?}", loads.len());
    result
}

#[test]
fn answers_are_replaced_at_fast_endpoints_at_the_load_of_a_calm_day() {
    let mut simulation = Simulation::new(FAST_US, 0.0, 1);
    simulation.run(ANSWERS, Load::Calm);
    let waiting = simulation.rates.time_to_read("models", 2800.0, simulation.now);
    let share = congestion(waiting, Some(Duration::from_millis(800)), Duration::from_secs(2));
    assert!(confidence_threshold(share, 0) > 40.0, "congestion {share}");
}

#[test]
fn the_rate_of_fast_endpoints_is_learned_in_calm_and_kept_in_a_shortage() {
    let calm = (ANSWERS, Load::Calm);
    for loads in [&[calm][..], &[calm, (ANSWERS, Load::ThreeTimes)], &[calm, (ANSWERS, Load::Queues)]] {
        let (lowest, mean, highest) = learned(FAST_US, 0.0, loads);
        assert!(lowest >= 0.85 * FAST_US, "{lowest}");
        assert!(mean <= 1.15 * FAST_US, "{mean}");
        assert!(highest < NOMINAL_US, "{highest}");
    }
}

#[test]
fn the_rate_of_nominal_endpoints_stays_near_nominal_in_calm_and_in_a_shortage() {
    let calm = (5 * ANSWERS, Load::Calm);
    for load in [Load::Calm, Load::ThreeTimes, Load::Queues] {
        for loads in [&[(5 * ANSWERS, load)][..], &[calm, (5 * ANSWERS, load)], &[(5 * ANSWERS, load), calm]] {
            let (lowest, _, highest) = learned(NOMINAL_US, 0.0, loads);
            assert!(lowest >= 0.9 * NOMINAL_US && highest <= NOMINAL_US, "{lowest} to {highest}");
        }
    }
}

/// Guards against prompts that seem to be read fast because an earlier request of the session had the same own part.
#[test]
fn some_cached_prompts_hardly_lower_the_rate() {
    for load in [Load::Calm, Load::ThreeTimes, Load::Queues] {
        let (lowest, mean, _) = learned(NOMINAL_US, 0.1, &[(5 * ANSWERS, load)]);
        assert!(mean >= 0.98 * NOMINAL_US && lowest >= 0.8 * NOMINAL_US, "{lowest}, mean {mean}");
    }
}

#[test]
fn the_nominal_rate_holds_until_there_are_enough_samples_and_long_after_them() {
    let mut simulation = Simulation::new(FAST_US, 0.0, 1);
    simulation.run(3, Load::Calm);
    assert_eq!(simulation.learned_us(), NOMINAL_US);
    simulation.run(ANSWERS, Load::Calm);
    assert!(simulation.learned_us() < 0.75 * NOMINAL_US);
    simulation.now += Duration::from_secs(1200);
    assert_eq!(simulation.learned_us(), NOMINAL_US);
    assert_eq!(simulation.rates.time_to_read("other", 1000.0, simulation.now), Duration::from_millis(75));
}

/// Speeds differ by a factor of 2.7, most requests go to the fastest endpoints, and learned factors are 10 % too high or
/// too low. One in twenty of the fastest endpoints counts as an average one.
#[test]
fn endpoints_of_different_speeds_do_not_lower_the_rate() {
    let mean = (0..SEEDS).map(rate_with_different_speeds).sum::<f64>() / SEEDS as f64;
    println!("different speeds: {mean:.1}");
    assert!(mean >= 0.9 * NOMINAL_US, "{mean}");
}

fn rate_with_different_speeds(seed: u64) -> f64 {
    let mut simulation = Simulation::new(NOMINAL_US, 0.0, seed);
    for _ in 0..5 * ANSWERS {
        let speed = [0.6, 0.6, 0.6, 1.0, 1.0, 1.6][simulation.rng.random_range(0..6)];
        let is_known = speed >= 1.0 || simulation.rng.random_bool(0.95);
        let slowness = if is_known { speed * simulation.rng.random_range(0.9..1.1) } else { 1.0 };
        let (own_tokens, seconds) = simulation.answer(Load::Calm);
        let time = Duration::from_secs_f64(seconds * speed);
        simulation.rates.record("models", FirstEventTime { own_tokens, time, slowness }, simulation.now);
        simulation.now += ANSWER_INTERVAL;
    }
    simulation.learned_us()
}

/// Slower machines replace fast ones.
#[test]
fn the_rate_follows_a_change_of_machines() {
    let mut simulation = Simulation::new(FAST_US, 0.0, 1);
    simulation.run(ANSWERS, Load::Calm);
    simulation.token_us = 60.0;
    simulation.run(2500, Load::Calm);
    let learned = simulation.learned_us();
    assert!((54.0..66.0).contains(&learned), "{learned}");
}
