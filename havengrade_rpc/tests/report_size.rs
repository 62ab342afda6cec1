//! A report with work at as many endpoints as it may name fits into one packet, also with the memory that the work takes.
#![allow(clippy::unwrap_used)]

use havengrade_rpc::{
    encode,
    reports::{Datagram, EndpointWork, VmReport},
};

/// Bytes of a datagram that is not split on an Ethernet.
const PACKET_BYTES: usize = 1400;
/// Endpoints that a report names at most.
const ENDPOINTS: i32 = 36;

#[test]
fn a_full_report_of_work_fits_into_a_packet() {
    let work = (0..ENDPOINTS).map(|index| {
        let id = format!("i-{:010x}", 0x6b_6e62_46f3_i64 + i64::from(index));
        EndpointWork::new(id, 128, 300_000 + index, Some(330_000 + index))
    });
    let report = VmReport::new(
        "front-kariakoo-3".to_owned(),
        i64::MAX,
        1_000_000,
        "10.200.100.107:8120".to_owned(),
        work.collect::<Vec<_>>(),
        None,
        None,
        Some("pt-centro-a".to_owned()),
        None,
        None,
        None,
        None,
        None,
        None,
    );
    let bytes = encode(&Datagram::Report(report)).unwrap().len();
    assert!(bytes <= PACKET_BYTES, "{bytes} bytes");
}
