//! The sample deployment: Kilimo's and Valle's classes, client accounts and cascades.

use havengrade_core::{
    config::{
        Account, Cascade, ChangeFile, Endpoint, EndpointKind, MigrationRule, MigrationState, ModelVersion,
        RequestClass, SessionKey, VersionState,
    },
    secret::digest,
};

/// Name of the operator of the sample deployment.
pub const OPERATOR: &str = "ana";
/// Key of that operator.
pub const OPERATOR_KEY: &str = "ana.demo";
/// Service of Kilimo's pledges and events.
pub const EVENTS: &str = "events";
/// Service of Valle's crates and payroll.
pub const CRATES: &str = "crates";
/// The cheap version.
pub const CHEAP: &str = "swift@1";
/// A newer cheap version.
pub const CHEAP_NEXT: &str = "swift@2";
/// The strong version.
pub const STRONG: &str = "sage@1";

/// The key of a sample client account.
pub fn key_of(account: &str) -> String {
    format!("{account}.demo")
}

fn version(id: &str, input: u64, output: u64, prior_quality: u32) -> ModelVersion {
    let model = id.split('@').next().unwrap_or_default().to_owned();
    ModelVersion {
        id: id.to_owned(),
        model,
        input_cost_micros: input,
        output_cost_micros: output,
        prior_quality,
        state: VersionState::Active,
    }
}

fn class(id: &str, priority: u8, deadline_ms: u64, repeatable: bool) -> RequestClass {
    RequestClass {
        id: id.to_owned(),
        priority,
        deadline_ms,
        repeatable,
        durable: false,
        cascade: None,
        pins_sessions: false,
        session_s: 3600,
    }
}

fn chat(id: &str, priority: u8, deadline_ms: u64, cascade: &str) -> RequestClass {
    RequestClass { cascade: Some(cascade.to_owned()), ..class(id, priority, deadline_ms, true) }
}

fn account(id: &str, classes: &[&str]) -> Account {
    Account {
        id: id.to_owned(),
        key_sha256: hex::encode(digest(key_of(id).as_bytes())),
        versions: vec!["swift@*".to_owned(), "sage@*".to_owned()],
        classes: classes.iter().map(|class| (*class).to_owned()).collect(),
        max_concurrent: 200,
        requests_per_second: 1000,
        weight: 1,
    }
}

fn cascade(id: &str, quality_target: u32, check_answers: bool) -> Cascade {
    let steps = vec![CHEAP.to_owned(), STRONG.to_owned()];
    Cascade { id: id.to_owned(), steps, quality_target, explore: 0, check_answers }
}

/// The first change file of the sample deployment, with these endpoints.
pub fn first_change(endpoints: Vec<Endpoint>) -> ChangeFile {
    let scripts = endpoints.iter().find(|endpoint| endpoint.kind == EndpointKind::Scripts);
    let migration = scripts.map(|scripts| MigrationRule {
        class: "match-letter".to_owned(),
        account: None,
        state: MigrationState::Scripts { endpoint: scripts.id.clone() },
    });
    ChangeFile {
        version: vec![
            version(CHEAP, 100, 400, 700),
            version(CHEAP_NEXT, 90, 380, 700),
            version(STRONG, 1000, 4000, 950),
        ],
        endpoint: endpoints,
        cascade: vec![cascade("quick", 600, false), cascade("careful", 750, true)],
        class: vec![
            class("check-in", 0, 5_000, false),
            class("pledge", 0, 5_000, false),
            class("bin-tag", 1, 5_000, false),
            chat("lot-question", 4, 10_000, "quick"),
            RequestClass { pins_sessions: true, ..chat("day-log", 3, 20_000, "quick") },
            RequestClass { durable: true, ..chat("season-summary", 1, 60_000, "careful") },
            RequestClass { durable: true, ..chat("archive-summary", 6, 60_000, "careful") },
            chat("match-letter", 6, 60_000, "quick"),
        ],
        account: vec![
            account("gate", &["check-in", "pledge"]),
            account("archive", &["archive-summary", "match-letter"]),
            account("harvest", &["bin-tag", "lot-question", "day-log", "season-summary"]),
        ],
        session_key: vec![SessionKey { id: "k1".to_owned(), secret_hex: "5e".repeat(32), signs: true }],
        migration: migration.into_iter().collect(),
        ..ChangeFile::default()
    }
}
