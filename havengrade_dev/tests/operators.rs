//! Operators' calls: plans, changes, conflicts, unknown outcomes and who is let in.
#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use havengrade_dev::{
    scenario::{CHEAP, OPERATOR, OPERATOR_KEY},
    stand_in::LogFault,
};
use havengrade_router::services::operators::execute_call;
use havengrade_rpc::{
    OperatorCall, OperatorError, OperatorReply, OperatorResult, decode_call, encode_reply,
    operators::{ChangeReply, ChangeStatus, Credentials, Plan},
};
use support::Bench;
use tokio::time::sleep;

const CLASS: &str = "[[class]]\nid = \"toast\"\npriority = 3\ndeadline_ms = 1000\nrepeatable = true\n";

async fn call(bench: &Bench, vm: &str, call: OperatorCall) -> OperatorResult {
    let credentials = Credentials::new(OPERATOR.to_owned(), OPERATOR_KEY.to_owned());
    execute_call(bench.fleet.routers[vm].context(), &credentials, call).await
}

async fn plan(bench: &Bench, vm: &str, file: &str) -> Plan {
    match call(bench, vm, OperatorCall::Plan { change_file: file.to_owned() }).await.unwrap() {
        OperatorReply::Plan(plan) => plan,
        other => panic!("{other:?}"),
    }
}

async fn apply(bench: &Bench, vm: &str, id: &str, changes_json: &str) -> ChangeReply {
    let (change_id, reason) = (id.to_owned(), "test".to_owned());
    let apply = OperatorCall::Apply { change_id, reason, changes_json: changes_json.to_owned() };
    match call(bench, vm, apply).await.unwrap() {
        OperatorReply::Change(reply) => reply,
        other => panic!("{other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn applied_plan_is_in_force_everywhere_and_safe_to_repeat() {
    let bench = Bench::start(4).await;
    let planned = plan(&bench, "vm-1", CLASS).await;
    assert_eq!(planned.differences.len(), 1);
    let first = apply(&bench, "vm-1", "c1", &planned.changes_json).await;
    assert_eq!((first.status, first.in_force, first.live), (ChangeStatus::ACCEPTED, 4, 4));
    let again = apply(&bench, "vm-2", "c1", &planned.changes_json).await;
    assert_eq!((again.status, again.offset), (ChangeStatus::ACCEPTED, first.offset));
    for router in bench.fleet.routers.values() {
        assert!(router.context().shared.catalog.load().config.classes.contains_key("toast"));
    }
    assert!(plan(&bench, "vm-3", CLASS).await.differences.is_empty());
}

#[tokio::test(start_paused = true)]
async fn racing_operators_get_one_winner_and_a_visible_void() {
    let bench = Bench::start(3).await;
    let other = CLASS.replace("priority = 3", "priority = 9");
    let (one, two) = (plan(&bench, "vm-1", CLASS).await, plan(&bench, "vm-2", &other).await);
    let race =
        tokio::join!(apply(&bench, "vm-1", "c1", &one.changes_json), apply(&bench, "vm-2", "c2", &two.changes_json));
    let statuses = [race.0.status, race.1.status];
    assert!(statuses.contains(&ChangeStatus::ACCEPTED) && statuses.contains(&ChangeStatus::CONFLICT), "{race:?}");
    let priorities: Vec<u8> = bench
        .fleet
        .routers
        .values()
        .map(|router| router.context().shared.catalog.load().config.classes["toast"].priority)
        .collect();
    assert!(priorities.windows(2).all(|pair| pair[0] == pair[1]), "{priorities:?}");
    let OperatorReply::Audit(entries) =
        call(&bench, "vm-3", OperatorCall::Audit { from_offset: 1, limit: 10 }).await.unwrap()
    else {
        panic!()
    };
    let effects: Vec<&str> = entries.iter().map(|entry| entry.effect.as_str()).collect();
    assert_eq!(effects, ["effective", "conflict"]);
}

#[tokio::test(start_paused = true)]
async fn change_during_an_outage_is_unknown_and_known_afterwards() {
    let bench = Bench::start(2).await;
    let planned = plan(&bench, "vm-1", CLASS).await;
    bench.fleet.log.set_fault(LogFault::Down);
    assert_eq!(apply(&bench, "vm-1", "c1", &planned.changes_json).await.status, ChangeStatus::UNKNOWN);
    bench.fleet.log.set_fault(LogFault::LosesAnswers);
    let lost = apply(&bench, "vm-1", "c1", &planned.changes_json).await;
    assert_eq!(lost.status, ChangeStatus::ACCEPTED, "its own record is read back although the answer was lost");
    bench.fleet.log.set_fault(LogFault::None);
    sleep(Duration::from_secs(2)).await;
    let known = call(&bench, "vm-2", OperatorCall::Outcome { change_id: "c1".into() }).await.unwrap();
    assert!(matches!(known, OperatorReply::Change(reply) if reply.status == ChangeStatus::ACCEPTED));
}

#[tokio::test(start_paused = true)]
async fn faults_of_a_change_are_named_before_and_after_it_is_made() {
    let bench = Bench::start(1).await;
    let bad = CLASS.replace("deadline_ms = 1000", "deadline_ms = 0");
    let planned = plan(&bench, "vm-1", &bad).await;
    assert!(planned.faults[0].contains("class toast.deadline_ms"), "{planned:?}");
    let refused = apply(&bench, "vm-1", "c1", &planned.changes_json).await;
    assert_eq!(refused.status, ChangeStatus::INVALID);
    assert!(refused.detail.contains("class toast.deadline_ms"));
    let no_reason = OperatorCall::Withdraw { change_id: "c2".into(), reason: " ".into(), version: CHEAP.into() };
    let fault = call(&bench, "vm-1", no_reason).await.unwrap_err();
    assert!(matches!(fault, OperatorError::BadRequest(fault) if fault.field == "reason"));
}

#[tokio::test(start_paused = true)]
async fn withdrawal_does_not_conflict_and_stays() {
    let bench = Bench::start(2).await;
    let withdraw =
        |id: &str| OperatorCall::Withdraw { change_id: id.into(), reason: "bad".into(), version: CHEAP.into() };
    let (one, two) = tokio::join!(call(&bench, "vm-1", withdraw("w1")), call(&bench, "vm-2", withdraw("w2")));
    for reply in [one.unwrap(), two.unwrap()] {
        assert!(matches!(reply, OperatorReply::Change(reply) if reply.status == ChangeStatus::ACCEPTED));
    }
    let back = format!(
        "[[version]]\nid = \"{CHEAP}\"\nmodel = \"swift\"\ninput_cost_micros = 1\noutput_cost_micros = 1\nprior_quality = 1\n"
    );
    let planned = plan(&bench, "vm-1", &back).await;
    assert!(planned.faults[0].contains("withdrawn"), "{planned:?}");
}

#[tokio::test(start_paused = true)]
async fn only_known_operators_are_let_in_and_secrets_stay_hidden() {
    let bench = Bench::start(1).await;
    for (name, key) in [(OPERATOR, "wrong"), ("nobody", OPERATOR_KEY), (OPERATOR, "")] {
        let credentials = Credentials::new(name.to_owned(), key.to_owned());
        let cx = bench.fleet.routers["vm-1"].context();
        let fault = execute_call(cx, &credentials, OperatorCall::Status).await.unwrap_err();
        assert!(matches!(fault, OperatorError::Unauthenticated(_)));
    }
    let shown = call(&bench, "vm-1", OperatorCall::Show { kind: "session_key".into() }).await.unwrap();
    assert!(!format!("{shown:?}").contains("5e5e"));
}

#[tokio::test(start_paused = true)]
async fn operators_drain_any_vm_through_any_other() {
    let bench = Bench::start(3).await;
    call(&bench, "vm-1", OperatorCall::Drain { vm: "vm-3".into() }).await.unwrap();
    assert!(bench.fleet.routers["vm-3"].wait_for_drain().await);
    let unknown = call(&bench, "vm-1", OperatorCall::Drain { vm: "vm-9".into() }).await.unwrap_err();
    assert!(matches!(unknown, OperatorError::BadRequest(fault) if fault.field == "vm"));
}

#[test]
fn generated_processor_and_typed_calls_agree() {
    use havengrade_rpc::operators::{OperatorsSyncClient, TOperatorsSyncClient as _};
    use thrift::protocol::{TBinaryInputProtocol, TBinaryOutputProtocol};

    let mut frame = Vec::new();
    let credentials = Credentials::new("ana".to_owned(), "k".to_owned());
    let input = TBinaryInputProtocol::new(&[][..], true);
    let output = TBinaryOutputProtocol::new(&mut frame, true);
    // The client sends the call and then finds no answer.
    assert!(OperatorsSyncClient::new(input, output).drain(credentials.clone(), "vm-1".to_owned()).is_err());
    assert_eq!(decode_call(&frame).unwrap(), (credentials, OperatorCall::Drain { vm: "vm-1".to_owned() }));
    assert!(!encode_reply(&frame, Ok(OperatorReply::Empty)).unwrap().is_empty());
}
