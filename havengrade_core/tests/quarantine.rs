//! Requests that crash endpoints, told from those that only were there.
#![allow(clippy::unwrap_used)]

use std::time::{Duration, SystemTime};

use havengrade_core::quarantine::{KeptHold, Quarantine, QuarantineChange, Standing, next_trial};

const V1: u64 = 1;
const V2: u64 = 2;
const NONE: [u64; 0] = [];

fn at(millis: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000) + Duration::from_millis(millis)
}

/// An endpoint ends under requests, each with the milliseconds for which it ran.
fn crash(quarantine: &mut Quarantine, endpoint: &str, requests: &[(u64, u64)], millis: u64) {
    for (mark, ran_for) in requests {
        quarantine.note_broken((*mark, V1), endpoint, Duration::from_millis(*ran_for), at(millis));
    }
    quarantine.note_ended(endpoint, at(millis + 2));
}

fn judged(quarantine: &mut Quarantine, millis: u64) -> Vec<u64> {
    let changes = quarantine.judge(at(millis)).into_iter();
    let mut marks: Vec<u64> = changes
        .filter_map(|change| match change {
            QuarantineChange::Judged { mark, .. } => Some(mark),
            _ => None,
        })
        .collect();
    marks.sort_unstable();
    marks
}

/// A request that was held back for three crashes, the last one at 2 s.
fn held() -> Quarantine {
    let mut quarantine = Quarantine::default();
    for (endpoint, millis) in [("e1", 0), ("e2", 1000), ("e3", 2000)] {
        crash(&mut quarantine, endpoint, &[(7, 60)], millis);
    }
    assert_eq!(judged(&mut quarantine, 2500), NONE, "what others saw may still come in");
    assert!(matches!(quarantine.standing(7, at(2500)), Standing::Awaited { .. }));
    assert_eq!(judged(&mut quarantine, 3100), [7]);
    quarantine
}

#[test]
fn lost_connections_to_endpoints_that_are_there_say_nothing() {
    let mut quarantine = Quarantine::default();
    for millis in (0..20_000).step_by(1000) {
        quarantine.note_broken((7, V1), "e1", Duration::ZERO, at(millis));
        quarantine.note_there("e1");
    }
    assert_eq!(judged(&mut quarantine, 30_000), NONE);
    assert!(!quarantine.is_watching());
}

/// Seen: a request that had ended three endpoints was sent six times more, since its first ends were not known to be its own. Cause: its model doubted
/// its answer, so that the try was given up some ten milliseconds before the endpoint ended, and nothing was noted of it.
#[test]
fn a_try_that_was_given_up_just_before_its_endpoint_ended_was_at_the_crash() {
    let mut quarantine = Quarantine::default();
    let left_for = |quarantine: &mut Quarantine, endpoint: &str, left: u64, ended: u64| {
        quarantine.note_left((7, V1), endpoint, Duration::from_millis(30), at(left));
        crash(quarantine, endpoint, &[(100 + ended, 500)], ended);
    };
    left_for(&mut quarantine, "e1", 0, 70);
    left_for(&mut quarantine, "e2", 1000, 1070);
    left_for(&mut quarantine, "e3", 2000, 2600);
    assert_eq!(judged(&mut quarantine, 4000), NONE, "the third endpoint ended too late for it");
    left_for(&mut quarantine, "e4", 5000, 5070);
    assert_eq!(judged(&mut quarantine, 7000), [7]);
}

/// The same where only another VM had a try that broke there.
#[test]
fn a_try_that_was_given_up_was_at_a_crash_that_another_vm_saw() {
    let (mut here, mut other) = (Quarantine::default(), Quarantine::default());
    for (index, endpoint) in ["e1", "e2", "e3"].into_iter().enumerate() {
        let left = 1000 * index as u64;
        here.note_left((7, V1), endpoint, Duration::from_millis(30), at(left));
        crash(&mut other, endpoint, &[(100 + left, 500)], left + 70);
        here.hear(other.tell(at(left + 90)), at(left + 100));
    }
    assert_eq!(judged(&mut here, 5000), [7]);
}

#[test]
fn a_crash_counts_once_however_many_tries_break_at_it() {
    let mut quarantine = Quarantine::default();
    for endpoint in ["e1", "e2"] {
        crash(&mut quarantine, endpoint, &[(7, 60), (7, 40), (7, 10)], 0);
        quarantine.note_broken((7, V1), endpoint, Duration::ZERO, at(300));
    }
    assert_eq!(judged(&mut quarantine, 5000), NONE);
    crash(&mut quarantine, "e1", &[(7, 60)], 4000);
    assert_eq!(judged(&mut quarantine, 6000), [7], "an endpoint that was back ended again");
}

#[test]
fn of_requests_at_the_same_crashes_those_that_were_at_more_of_them_are_held() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, "e1", &[(7, 60), (1, 400), (2, 10)], 0);
    crash(&mut quarantine, "e2", &[(7, 60), (1, 900), (3, 50)], 100);
    crash(&mut quarantine, "e3", &[(7, 60), (1, 200), (4, 50)], 200);
    crash(&mut quarantine, "e4", &[(7, 60), (2, 30)], 300);
    assert_eq!(judged(&mut quarantine, 2000), [7], "the one that ran for longer is explained by it");
}

#[test]
fn several_causes_are_all_held() {
    let mut quarantine = Quarantine::default();
    for (index, mark) in [7, 8, 7, 8, 8, 7].into_iter().enumerate() {
        crash(&mut quarantine, &format!("e{index}"), &[(mark, 60), (1, 300 + 100 * index as u64)], 200 * index as u64);
    }
    assert_eq!(judged(&mut quarantine, 3000), [7, 8]);
}

/// Seen: requests that wait at busy endpoints before they crash them were at twelve crashes before they were held back. Cause: any suspect that broke
/// sooner after it was sent made them look innocent, though it had been at other crashes.
#[test]
fn a_cause_that_waits_before_it_runs_is_held_whatever_broke_sooner_elsewhere() {
    let mut quarantine = Quarantine::default();
    for (index, ran_for) in [1047, 259, 173, 306, 855, 78].into_iter().enumerate() {
        let beside = 100 + index as u64 / 2;
        crash(&mut quarantine, &format!("e{index}"), &[(7, ran_for), (beside, 15)], 100 * index as u64);
    }
    for index in 10..13 {
        crash(&mut quarantine, &format!("e{index}"), &[(8, 20)], 100 * index);
    }
    assert_eq!(judged(&mut quarantine, 3000), [7, 8]);
}

#[test]
fn a_request_that_is_answered_is_innocent_until_it_is_at_many_more_crashes() {
    let mut quarantine = Quarantine::default();
    quarantine.note_answered((1, V1), at(0));
    for index in 0..11 {
        crash(&mut quarantine, &format!("e{index}"), &[(1, 60)], 1000 + index);
    }
    assert_eq!(judged(&mut quarantine, 5000), NONE);
    crash(&mut quarantine, "e11", &[(1, 60)], 4000);
    assert_eq!(judged(&mut quarantine, 6000), [1]);
}

#[test]
fn an_answer_of_the_version_before_says_nothing_on_the_new_one() {
    let mut quarantine = Quarantine::default();
    quarantine.note_answered((7, V2), at(0));
    for (endpoint, millis) in [("e1", 1000), ("e2", 2000), ("e3", 3000)] {
        crash(&mut quarantine, endpoint, &[(7, 60)], millis);
        quarantine.note_answered((7, V2), at(millis + 500));
    }
    assert_eq!(judged(&mut quarantine, 5000), [7]);
    assert_eq!(quarantine.note_answered((7, V2), at(6000)), None);
    assert_eq!(quarantine.note_answered((7, V1), at(7000)), Some(QuarantineChange::Released { mark: 7 }));
}

#[test]
fn a_request_is_tried_once_more_and_is_free_when_it_is_answered() {
    let mut quarantine = held();
    assert!(matches!(quarantine.standing(7, at(4000)), Standing::Awaited { .. }));
    let Standing::OnTrial(hold) = quarantine.standing(7, at(5200)) else { panic!("no trial") };
    let claimed = next_trial(&[], &hold, at(5200)).unwrap();
    quarantine.note_trials(7, claimed.trials, claimed.tried);
    assert!(matches!(quarantine.standing(7, at(5300)), Standing::Awaited { .. }), "it is being tried");
    assert!(matches!(quarantine.standing(7, at(9000)), Standing::Awaited { known_in } if known_in.as_secs() > 500));
    quarantine.note_answered((7, V1), at(9100));
    assert_eq!(quarantine.standing(7, at(9200)), Standing::Free);
}

#[test]
fn no_trial_begins_while_endpoints_end() {
    let mut quarantine = held();
    crash(&mut quarantine, "e9", &[(8, 60)], 5000);
    assert!(matches!(quarantine.standing(7, at(5200)), Standing::Awaited { .. }));
    assert!(matches!(quarantine.standing(7, at(6600)), Standing::OnTrial(_)));
}

#[test]
fn one_trial_runs_at_a_time_whichever_request_it_is_of() {
    let hold = |mark| KeptHold {
        mark,
        version: V1,
        first_crash: at(0),
        since: at(0),
        until: at(90_000),
        trials: 0,
        tried: None,
    };
    let first = next_trial(&[hold(7), hold(8)], &hold(7), at(5000)).unwrap();
    assert_eq!((first.trials, first.tried), (1, Some(at(5000))));
    assert_eq!(next_trial(&[first, hold(8)], &hold(8), at(6900)), None);
    assert_eq!(next_trial(&[first, hold(8)], &hold(7), at(9000)), None, "its first trial was claimed");
    assert!(next_trial(&[first, hold(8)], &hold(8), at(7100)).is_some());
    let from_a_wrong_clock = KeptHold { tried: Some(at(60_000)), ..first };
    assert!(next_trial(&[from_a_wrong_clock], &hold(8), at(7100)).is_some());
}

#[test]
fn crashes_that_three_vms_saw_add_up_also_where_reports_come_twice_or_late() {
    let mut vms: Vec<Quarantine> = vec![Quarantine::default(); 3];
    for (index, vm) in vms.iter_mut().enumerate() {
        crash(vm, &format!("e{index}"), &[(7, 60)], 100 * index as u64);
    }
    let news: Vec<_> = vms.iter_mut().map(|vm| vm.tell(at(400))).collect();
    for (index, vm) in vms.iter_mut().enumerate() {
        for (from, news) in news.iter().enumerate().filter(|(from, _)| *from != index) {
            vm.hear(news.clone(), at(410 + 20 * from as u64));
            vm.hear(news.clone(), at(460 + 20 * from as u64));
        }
        assert_eq!(judged(vm, 1600), [7]);
    }
}

#[test]
fn an_answer_that_one_vm_saw_speaks_for_the_request_everywhere() {
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    there.note_answered((1, V1), at(0));
    for (endpoint, millis) in [("e1", 1000), ("e2", 1100), ("e3", 1200)] {
        crash(&mut here, endpoint, &[(1, 60)], millis);
    }
    there.hear(here.tell(at(1300)), at(1310));
    here.hear(there.tell(at(1400)), at(1410));
    assert_eq!(judged(&mut here, 2500), NONE);
    assert_eq!(judged(&mut there, 2500), NONE);
}

#[test]
fn a_vm_that_starts_learns_what_is_held_and_what_was_seen() {
    let mut here = held();
    crash(&mut here, "e8", &[(9, 60)], 3200);
    assert_eq!(here.hand_on(at(3300)), None, "it does not know itself what was held before its start");
    here.set_read();
    let mut started = Quarantine::default();
    let changes = started.hear(here.hand_on(at(3300)).unwrap(), at(3310));
    assert_eq!(changes, [QuarantineChange::Learned { mark: 7 }]);
    for (endpoint, millis) in [("e6", 3400), ("e7", 3500)] {
        crash(&mut started, endpoint, &[(9, 60)], millis);
    }
    assert_eq!(judged(&mut started, 5000), [9]);
}

#[test]
fn what_is_kept_outlasts_all_vms_with_its_trials() {
    let mut here = held();
    let kept = here.unkept();
    here.set_kept(7);
    assert!(here.unkept().is_empty());
    let tried = KeptHold { trials: 2, ..kept[0] };
    let mut started = Quarantine::default();
    started.take_kept(&[tried], at(20_000));
    assert!(matches!(started.standing(7, at(20_000)), Standing::Held { back_after } if back_after.as_secs() > 3600));
    assert!(started.unkept().is_empty());
    let mut later = Quarantine::default();
    later.take_kept(&[tried], at(25 * 3600 * 1000));
    assert_eq!(later.standing(7, at(25 * 3600 * 1000)), Standing::Free);
}

#[test]
fn reports_tell_a_little_at_a_time_and_everything_in_turn() {
    let mut here = Quarantine::default();
    for index in 0..200 {
        crash(&mut here, &format!("e{index}"), &[(index, 60)], 0);
    }
    let mut there = Quarantine::default();
    let mut reports = 0;
    while here.has_news() {
        let news = here.tell(at(100));
        assert!(news.crashes.len() <= 16, "{} in a report", news.crashes.len());
        there.hear(news, at(110));
        reports += 1;
    }
    assert!(reports <= 200 / 16 + 1, "{reports}");
    for (mark, endpoint) in [(5, "f1"), (5, "f2"), (150, "f3"), (150, "f4")] {
        crash(&mut there, endpoint, &[(mark, 60)], 500);
    }
    assert_eq!(judged(&mut there, 3000), [5, 150]);
}

#[test]
fn memory_stays_bounded_where_endpoints_end_all_the_time() {
    let mut quarantine = Quarantine::default();
    for index in 0..10_000 {
        crash(&mut quarantine, &format!("e{index}"), &[(index, 60)], index);
        if index % 500 == 0 {
            quarantine.prune(at(index));
        }
    }
    quarantine.prune(at(10_000));
    quarantine.set_read();
    let handed = quarantine.hand_on(at(10_000)).unwrap();
    assert_eq!(handed.crashes.len(), 96);
    assert!(handed.crashes.iter().all(|crash| crash.age < Duration::from_millis(200)), "the newest are kept");
}
