//! Claims, voided attempts and outcomes: invariants of the ledger in every order of a few records.
#![allow(clippy::unwrap_used)]

use std::{
    collections::BTreeSet,
    time::{Duration, SystemTime},
};

use havengrade_core::{
    billing::{Bill, Bills},
    claim::{ApplyResult, Claim, ClaimKey, Outcome},
    cost::TokenUsage,
    ledger::{Batch, Ledger, LedgerRecord},
};

fn now() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1000)
}

fn key() -> ClaimKey {
    ClaimKey { account: "gate".into(), key: "ticket".into() }
}

fn claim(holder: u64, attempt: u32) -> Claim {
    Claim {
        key: key(),
        attempt,
        holder,
        request_id: format!("r{holder}-{attempt}"),
        class: "check-in".into(),
        body_sha256: "00".repeat(32),
        endpoint: "e".into(),
        at: now(),
    }
}

fn bill(claim: &Claim) -> Bill {
    Bill {
        request_id: claim.request_id.clone(),
        account: "gate".into(),
        key: Some("ticket".into()),
        class: "check-in".into(),
        version: None,
        endpoint: "e".into(),
        usage: TokenUsage::default(),
        cost: 0,
        at: now(),
    }
}

/// State of an attempt on a VM, as in the router.
#[derive(Clone, Debug, PartialEq)]
enum Vm {
    Claiming(Claim),
    Voiding(Claim),
    /// Its claim took effect, so it has sent the request.
    Sent(Claim),
    /// It answered its caller that the request was not run.
    AnsweredNotRun(Claim),
    Done,
}

/// State of the exploration: the ledger, the VMs, the sent requests and the bills.
#[derive(Clone)]
struct Simulation {
    ledger: Ledger,
    vms: Vec<Vm>,
    sent: Vec<Claim>,
    bills: Bills,
    offset: u64,
}

impl Simulation {
    fn append(&mut self, writer: u64, record: &LedgerRecord) -> ApplyResult {
        let batch = Batch { writer, seq: self.offset + 1, at: now(), records: vec![record.clone()] };
        let verdict = self.ledger.replay(self.offset, &batch).unwrap().remove(0);
        if let Some(bill) = record.bill() {
            self.bills.add(bill);
        }
        self.offset += 1;
        verdict
    }

    /// Performs the next step of a VM, which appends a record. Returns `false` if it has none left.
    fn step(&mut self, index: usize) -> bool {
        let next = match self.vms[index].clone() {
            Vm::Claiming(claim) => match self.append(claim.holder, &LedgerRecord::Claim(claim.clone())) {
                ApplyResult::Applied => {
                    self.sent.push(claim.clone());
                    Vm::Sent(claim)
                },
                ApplyResult::AlreadyVoided { .. } => Vm::AnsweredNotRun(claim),
                _ => Vm::Done,
            },
            Vm::Voiding(claim) => {
                let (up_to, holder, request_id) = (claim.attempt, claim.holder, claim.request_id.clone());
                let record = LedgerRecord::Void { key: key(), up_to, holder, request_id };
                match self.append(claim.holder, &record) {
                    ApplyResult::Applied => Vm::AnsweredNotRun(claim),
                    _ => Vm::Done,
                }
            },
            Vm::Sent(claim) => {
                let outcome = Outcome::Answered { status: 200, content_type: String::new(), body: "receipt".into() };
                let (request_id, bill) = (claim.request_id.clone(), Some(bill(&claim)));
                self.append(claim.holder, &LedgerRecord::Settle { key: key(), request_id, outcome, bill });
                Vm::Done
            },
            Vm::AnsweredNotRun(_) | Vm::Done => return false,
        };
        self.vms[index] = next;
        true
    }

    fn check(&self) {
        assert!(self.sent.len() <= 1, "sent twice: {:?}", self.sent);
        for vm in &self.vms {
            let Vm::AnsweredNotRun(refused) = vm else { continue };
            let contradicting = self.sent.iter().find(|sent| sent.attempt <= refused.attempt);
            assert!(contradicting.is_none(), "{refused:?} was answered with not run, but {contradicting:?} was sent");
        }
        assert!(self.bills.len() <= 1);
    }
}

/// Explores all orders of the VMs' steps and returns the number of complete orders.
fn explore(simulation: &Simulation, final_states: &mut BTreeSet<String>) -> usize {
    simulation.check();
    let mut count = 0;
    for index in 0..simulation.vms.len() {
        let mut next = simulation.clone();
        if next.step(index) {
            count += explore(&next, final_states);
        }
    }
    if count == 0 {
        assert_eq!(simulation.bills.len(), simulation.sent.len(), "each sent request has one bill");
        final_states.insert(format!("{:?}", simulation.sent));
        return 1;
    }
    count
}

fn simulation(vms: Vec<Vm>) -> Simulation {
    Simulation { ledger: Ledger::default(), vms, sent: Vec::new(), bills: Bills::default(), offset: 0 }
}

#[test]
fn no_order_of_claims_and_voids_sends_twice_or_sends_a_voided_attempt() {
    let mut final_states = BTreeSet::new();
    let mut count = 0;
    // Each of four VMs claims or voids attempt 1 or 2: every combination, in every order.
    for combination in 0..4_u32.pow(4) {
        let vm = |index: u64| {
            let choice = combination / 4_u32.pow(u32::try_from(index).unwrap()) % 4;
            let claim = claim(index, 1 + choice / 2);
            if choice.is_multiple_of(2) { Vm::Claiming(claim) } else { Vm::Voiding(claim) }
        };
        count += explore(&simulation((0..4).map(vm).collect()), &mut final_states);
    }
    // Some orders send nothing, and each attempt of each VM is the one that is sent in some order.
    assert!(count > 10_000, "{count} orders");
    assert_eq!(final_states.len(), 1 + 4 * 2);
}

#[test]
fn batch_appended_after_a_later_one_has_no_effect() {
    let mut ledger = Ledger::default();
    let batch = |seq, record| Batch { writer: 1, seq, at: now(), records: vec![record] };
    ledger.replay(0, &batch(2, LedgerRecord::Claim(claim(1, 2)))).unwrap();
    assert_eq!(ledger.replay(1, &batch(1, LedgerRecord::Claim(claim(1, 1)))), None);
    assert_eq!(ledger.replay(2, &batch(2, LedgerRecord::Claim(claim(1, 2)))), None);
    assert_eq!(ledger.key_state(&key()).unwrap().claim.as_ref().unwrap().attempt, 2);
}

#[test]
fn keys_are_evicted_by_last_change_and_never_while_their_claim_is_open() {
    let mut ledger = Ledger::default();
    let horizon = Duration::from_secs(100);
    let batch = |seq: u64, at: u64, record| Batch {
        writer: 1,
        seq,
        at: now() + Duration::from_secs(at),
        records: vec![record],
    };
    let void = LedgerRecord::Void { key: key(), up_to: 1, holder: 1, request_id: "r".into() };
    ledger.replay(0, &batch(1, 0, void)).unwrap();
    ledger.replay(1, &batch(2, 90, LedgerRecord::Claim(claim(1, 2)))).unwrap();
    let other = |number: u64| {
        let key = ClaimKey { key: format!("other-{number}"), ..key() };
        LedgerRecord::Void { key, up_to: 1, holder: 9, request_id: "other".into() }
    };
    ledger.replay(2, &batch(3, 150, other(1))).unwrap();
    ledger.evict_expired(horizon);
    assert!(ledger.key_state(&key()).is_some(), "it changed 60 s ago");
    ledger.replay(3, &batch(4, 250, other(2))).unwrap();
    ledger.evict_expired(horizon);
    assert!(ledger.key_state(&key()).is_some(), "its claim is open");
    let outcome = Outcome::MayHaveRun;
    let settle = LedgerRecord::Settle { key: key(), request_id: claim(1, 2).request_id, outcome, bill: None };
    ledger.replay(4, &batch(5, 251, settle)).unwrap();
    ledger.replay(5, &batch(6, 400, other(3))).unwrap();
    ledger.evict_expired(horizon);
    assert!(ledger.key_state(&key()).is_none());
    assert!(ledger.claimed_request(&claim(1, 2).request_id).is_none());
}
