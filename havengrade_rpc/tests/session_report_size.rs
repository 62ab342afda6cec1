//! Guards against reports whose sessions need more bytes than the network between VMs is planned for.
#![allow(clippy::unwrap_used)]

use havengrade_rpc::{
    decode, encode,
    reports::{KeptSession, SessionSet, VmReport},
};

/// Sessions of a full report that builds without session sets understand, and the others.
const LISTED: i64 = 16;
const PACKED: usize = 112;
/// Bytes of a packed session.
const PACKED_BYTES: usize = 11;
/// Bytes of the sessions of a full report.
const MAX_SESSION_BYTES: usize = 1_600;

fn report(listed: i64, packed: usize) -> VmReport {
    let sessions: Vec<_> =
        (0..listed).map(|session| KeptSession::new(i64::MIN + session, "v12".to_owned(), 2_900)).collect();
    let sets = vec![SessionSet::new("v12".to_owned(), vec![0xff; packed * PACKED_BYTES])];
    VmReport::new(
        "vm-1".to_owned(),
        1,
        1,
        "127.0.0.1:4000".to_owned(),
        Vec::new(),
        None,
        None,
        None,
        None,
        None,
        None,
        None,
        sessions,
        None,
        (packed > 0).then_some(sets),
    )
}

#[test]
fn the_sessions_of_a_full_report_fit_into_1600_bytes() {
    let bytes = encode(&report(LISTED, PACKED)).unwrap();
    let without = encode(&report(0, 0)).unwrap();
    let session_bytes = bytes.len() - without.len();
    println!(
        "{session_bytes} bytes of sessions; 48 listed ones: {}",
        encode(&report(48, 0)).unwrap().len() - without.len()
    );
    assert!(session_bytes <= MAX_SESSION_BYTES, "{session_bytes} bytes");
    assert_eq!(decode::<VmReport>(&bytes).unwrap(), report(LISTED, PACKED));
}
