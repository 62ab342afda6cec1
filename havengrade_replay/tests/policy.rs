//! Replay of sample traffic against stated outcomes.

use havengrade_replay::policy::{Policy, Profile, Report, generate, replay};

const ENGINES: usize = 6;
const SECONDS: u64 = 300;

fn run(profile: Profile, policy: &str, seed: u64) -> Report {
    let policy = Policy::named(policy).unwrap_or_else(|| panic!("{policy} is no policy"));
    replay(&generate(profile, SECONDS, seed), policy, ENGINES, seed)
}

#[test]
fn cost_is_far_below_always_strongest_at_the_same_quality() {
    for profile in [Profile::Gala, Profile::Harvest] {
        for seed in 1..=5 {
            let (ours, strongest) = (run(profile, "ours", seed), run(profile, "strongest", seed));
            assert!(ours.all.passed >= strongest.all.passed - 0.005, "{profile:?} {seed}");
            assert!(ours.all.cost_of_passed <= 0.6 * strongest.all.cost_of_passed, "{profile:?} {seed}");
        }
    }
}

#[test]
fn class_that_weak_versions_seldom_answer_does_not_wait_for_them() {
    let mut medians: Vec<u64> =
        (1..=5).map(|seed| run(Profile::Harvest, "ours", seed).classes["season-summary"].first_ms[0]).collect();
    medians.sort_unstable();
    let mut whole: Vec<u64> =
        (1..=5).map(|seed| run(Profile::Harvest, "cascade", seed).classes["season-summary"].first_ms[0]).collect();
    whole.sort_unstable();
    assert!(medians[2] * 2 < whole[2], "{medians:?} against {whole:?}");
}

#[test]
fn replay_is_the_same_every_time() {
    assert_eq!(run(Profile::Gala, "ours", 3), run(Profile::Gala, "ours", 3));
}
