//! Parsing and reloading of settings; all faults are reported together, each with its key, value and remedy.
#![allow(clippy::unwrap_used)]

use havengrade_core::published::withdrawal_policy::WithdrawalPolicy;
use havengrade_router::settings::{Settings, SettingsError, SettingsFault, SettingsFile, SettingsFileError, parse};

fn faults(text: &str) -> Vec<SettingsFault> {
    match parse(text).unwrap_err() {
        SettingsError::Faulty { faults } => faults,
        SettingsError::Malformed { source } => panic!("{source}"),
    }
}

#[test]
fn all_faults_are_reported_together() {
    let text = r#"
        [vm]
        id = "a/b"
        zone = "x"
        [listen]
        callers = "127.0.0.1:9000"
        operators = "127.0.0.1:9000"
        peers = "nowhere"
        [limits]
        max_requests = 0
        max_body_bytes = "big"
        [claims]
        batch_window_ms = 5000
        [peers]
        heartbeat_ms = 9000
        [logging]
        level = "loud"
        [nonsense]
        a = 1
        [[operators]]
        name = "ana"
        key_sha256 = "12"
    "#;
    let faults = faults(text);
    let keys: Vec<&str> = faults.iter().map(|fault| fault.key.as_str()).collect();
    for key in [
        "vm.id",
        "vm.zone",
        "listen.operators",
        "listen.peers",
        "limits.max_requests",
        "limits.max_body_bytes",
        "claims.batch_window_ms",
        "peers.heartbeat_ms",
        "logging.level",
        "nonsense",
        "operators.key_sha256",
    ] {
        assert!(keys.contains(&key), "{key} is not among {keys:?}");
    }
    assert_eq!(keys.len(), 11, "{keys:?}");
    for fault in &faults {
        assert!(!fault.value.is_empty() && !fault.remedy.is_empty(), "{fault:?}");
    }
}

#[test]
fn omitted_keys_take_their_defaults() {
    let settings = parse("[vm]\nid = \"vm-9\"\n").unwrap();
    let mut expected = Settings::default();
    expected.vm.id = "vm-9".into();
    assert_eq!(settings, expected);
}

#[test]
fn malformed_toml_is_reported_with_its_line() {
    let error = parse("[vm\n").unwrap_err().to_string();
    assert!(error.contains("line 1"), "{error}");
}

#[test]
fn faults_of_published_routes_are_reported_with_their_remedies() {
    let text = "[published]\nmax_trial_share = 1.5\nsession_s = 0.0\ngrace_s = -1.0\nmetrics = \"127.0.0.1:8083\"\n";
    let error = parse(text).unwrap_err().to_string();
    for part in [
        "published.max_trial_share = 1.5: must be from 0 to 1",
        "published.session_s = 0: must be more than 0",
        "published.grace_s = -1: must be more than 0",
        "published.metrics = 127.0.0.1:8083: another port of this VM has the same address",
    ] {
        assert!(error.contains(part), "{error}");
    }
}

#[test]
fn changed_file_is_loaded_unless_it_has_faults() {
    let path = std::env::temp_dir().join(format!("havengrade-settings-{}.toml", std::process::id()));
    std::fs::write(&path, "[published]\nwithdrawal_ms = 4000\n").unwrap();
    let (mut file, settings) = SettingsFile::open(&path).unwrap();
    assert_eq!(settings.published.withdrawal_ms, 4000);
    assert!(file.reload().unwrap().is_none());
    std::fs::write(&path, "[published]\nwithdrawal_ms = 0\n").unwrap();
    assert!(matches!(file.reload(), Err(SettingsFileError::Faulty { .. })));
    assert!(file.reload().unwrap().is_none(), "faults of a text are reported once");
    std::fs::write(&path, "[published]\nwithdrawal_ms = 3000\n").unwrap();
    assert_eq!(file.reload().unwrap().unwrap().published.withdrawal_ms, 3000);
    std::fs::remove_file(&path).unwrap();
    assert!(matches!(file.reload(), Err(SettingsFileError::Unreadable { .. })));
}

#[test]
fn withdrawal_policy_is_set_by_name() {
    assert_eq!(parse("").unwrap().published.withdrawal, WithdrawalPolicy::Bounded);
    let text = "[published]\nwithdrawal = \"when-learned\"\n";
    assert_eq!(parse(text).unwrap().published.withdrawal, WithdrawalPolicy::WhenLearned);
    assert!(parse("[published]\nwithdrawal = \"never\"\n").is_err());
}
