//! Sample configurations and records of any size.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, SystemTime},
};

use havengrade_core::{
    billing::Bill,
    claim::{Claim, ClaimKey, Outcome},
    config::{
        Account, BaseRevision, Cascade, Change, ChangeFile, ChangeRecord, Config, ConfigRecord, Endpoint, EndpointKind,
        Item, ModelVersion, RequestClass, ScopedChange, VersionState,
    },
    cost::TokenUsage,
    ledger::{Batch, LedgerRecord},
    secret::digest,
};

/// Versions of the sample configurations.
pub(crate) const VERSIONS: usize = 13;

/// The time at which samples are made.
pub(crate) fn now() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000)
}

pub(crate) fn version(index: usize) -> ModelVersion {
    let model = format!("model-{}", index % 5);
    ModelVersion {
        id: format!("{model}@{}", index + 1),
        model,
        input_cost_micros: 100 * (index as u64 + 1),
        output_cost_micros: 400 * (index as u64 + 1),
        prior_quality: 500 + 30 * u32::try_from(index).unwrap_or_default() % 500,
        state: VersionState::Active,
    }
}

pub(crate) fn endpoint(index: usize) -> Endpoint {
    let ip = Ipv4Addr::from(0x0a00_0000 + u32::try_from(index).unwrap_or_default());
    Endpoint {
        id: format!("engine-{index}"),
        address: SocketAddr::from((ip, 8000)),
        failure_domain: format!("domain-{}", index % 27),
        capacity: 16,
        checks_fence: false,
        deduplicates: false,
        kind: EndpointKind::Engine { versions: vec![version(index % VERSIONS).id] },
    }
}

pub(crate) fn account(index: usize) -> Account {
    let id = format!("account-{index}");
    Account {
        key_sha256: hex(&digest(id.as_bytes())),
        id,
        versions: (0..5).map(|model| format!("model-{model}@*")).collect(),
        classes: vec!["question".to_owned()],
        max_concurrent: 100,
        requests_per_second: 100,
        weight: 1,
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn class() -> RequestClass {
    RequestClass {
        id: "question".to_owned(),
        priority: 3,
        deadline_ms: 10_000,
        repeatable: true,
        durable: false,
        cascade: Some("all".to_owned()),
        pins_sessions: false,
        session_s: 3600,
    }
}

/// A configuration of so many client accounts and endpoints.
pub(crate) fn config(accounts: usize, endpoints: usize) -> Config {
    let steps = (0..VERSIONS).map(|index| version(index).id).collect();
    let file = ChangeFile {
        version: (0..VERSIONS).map(version).collect(),
        cascade: vec![Cascade { id: "all".to_owned(), steps, quality_target: 700, explore: 0, check_answers: false }],
        class: vec![class()],
        endpoint: (0..endpoints).map(endpoint).collect(),
        account: (0..accounts).map(account).collect(),
        ..ChangeFile::default()
    };
    let mut config = Config::default();
    let changes = file.changes_against(&config);
    config.replay(0, &change_record("first", changes));
    config
}

pub(crate) fn change_record(id: &str, changes: Vec<ScopedChange>) -> ConfigRecord {
    ConfigRecord::Change(ChangeRecord {
        change_id: id.to_owned(),
        author: "operator".to_owned(),
        reason: "a usual change of a single item".to_owned(),
        at: now(),
        changes,
    })
}

/// A usual change: a new limit of one client account.
pub(crate) fn usual_change(config: &Config, number: usize) -> ConfigRecord {
    let mut item = account(0);
    item.max_concurrent = 100 + u32::try_from(number % 100).unwrap_or_default();
    let item = Item::Account(item);
    let base = config.base_revision(&item.scope());
    let base = if base == BaseRevision::Any { BaseRevision::Absent } else { base };
    let id = format!("0f8fad5b-d9cb-469f-a165-{number:012}");
    change_record(&id, vec![ScopedChange { base, change: Change::Put { item } }])
}

pub(crate) fn claim(number: usize) -> Claim {
    Claim {
        key: ClaimKey { account: "gate-office".to_owned(), key: format!("0f8fad5b-d9cb-469f-a165-{number:012}") },
        attempt: 1,
        holder: 7,
        request_id: request_id(number),
        class: "check-in".to_owned(),
        body_sha256: hex(&digest(b"body")),
        endpoint: "events-1".to_owned(),
        at: now(),
    }
}

fn request_id(number: usize) -> String {
    format!("vm-3.7c9e6679-7425-40de-944b-{number:012}")
}

pub(crate) fn bill(number: usize) -> Bill {
    Bill {
        request_id: request_id(number),
        account: "gate-office".to_owned(),
        key: Some(format!("0f8fad5b-d9cb-469f-a165-{number:012}")),
        class: "check-in".to_owned(),
        version: Some(version(0).id),
        endpoint: "engine-17".to_owned(),
        usage: TokenUsage { input_tokens: 700, output_tokens: 200 },
        cost: 150,
        at: now(),
    }
}

pub(crate) fn settle(number: usize) -> LedgerRecord {
    let body = r#"{"service":"events","receipt":1234,"seat":"A12","held_until":"18:30"}"#.to_owned();
    let outcome = Outcome::Answered { status: 200, content_type: "application/json".to_owned(), body };
    let claim = claim(number);
    LedgerRecord::Settle { key: claim.key, request_id: claim.request_id, outcome, bill: Some(bill(number)) }
}

/// A batch with a claim and its outcome.
pub(crate) fn batch(number: usize) -> Batch {
    let records = vec![LedgerRecord::Claim(claim(number)), settle(number)];
    Batch { writer: 7, seq: number as u64 + 1, at: now(), records }
}
