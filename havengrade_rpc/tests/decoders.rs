//! Decoders of untrusted bytes: any input results in a message or an error, never in a panic.
#![allow(clippy::unwrap_used)]

use havengrade_rpc::{
    decode, decode_call, encode,
    operators::{Credentials, OperatorsSyncClient, TOperatorsSyncClient as _},
    peers::{AccountUse, EndpointLoad, PeerAsk, PeerHeartbeat, PeerReply, PeerRequest},
};
use proptest::{prelude::*, test_runner::RngSeed};
use thrift::protocol::{TBinaryInputProtocol, TBinaryOutputProtocol};

fn heartbeat(account_uses: Vec<(String, i32)>, loads: Vec<(String, i32)>) -> PeerRequest {
    let account_uses =
        account_uses.into_iter().map(|(account, count)| AccountUse::new(account, count)).collect::<Vec<_>>();
    let loads = loads.into_iter().map(|(id, load)| EndpointLoad::new(id, load, false, false)).collect::<Vec<_>>();
    let vm = "vm-1".to_owned();
    PeerRequest::Heartbeat(PeerHeartbeat::new(vm, 1, 2, 3, None, 4, true, false, 5, account_uses, None, loads, None))
}

/// Returns the frame of a call as a generated client writes it.
fn call() -> Vec<u8> {
    let mut frame = Vec::new();
    let input = TBinaryInputProtocol::new(&[][..], true);
    let output = TBinaryOutputProtocol::new(&mut frame, true);
    let credentials = Credentials::new("ana".to_owned(), "key".to_owned());
    // The client writes the call and then fails, since the input contains no reply.
    assert!(OperatorsSyncClient::new(input, output).audit(credentials, 7, 8).is_err());
    frame
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_bytes_are_decoded_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode::<PeerRequest>(&bytes);
        let _ = decode::<PeerReply>(&bytes);
        let _ = decode_call(&bytes);
    }

    #[test]
    fn corrupted_messages_are_decoded_or_rejected(
        at in any::<prop::sample::Index>(),
        byte in any::<u8>(),
        length in any::<prop::sample::Index>(),
    ) {
        let message = heartbeat(vec![("gate".into(), 3)], vec![("engine-1".into(), 4)]);
        for mut bytes in [encode(&message).unwrap(), call()] {
            let index = at.index(bytes.len());
            bytes[index] = byte;
            bytes.truncate(length.index(bytes.len()) + 1);
            let _ = decode::<PeerRequest>(&bytes);
            let _ = decode_call(&bytes);
        }
    }

    #[test]
    fn messages_round_trip(
        account_uses in prop::collection::vec(("[a-z]{0,8}", any::<i32>()), 0..5),
        loads in prop::collection::vec(("[a-z]{0,8}", any::<i32>()), 0..5),
        id in ".*",
    ) {
        for message in [heartbeat(account_uses, loads), PeerRequest::Ask(PeerAsk::new(id, "gate".to_owned()))] {
            prop_assert_eq!(decode::<PeerRequest>(&encode(&message).unwrap()).unwrap(), message);
        }
    }
}

#[test]
fn forged_list_length_is_rejected_without_allocation() {
    // A heartbeat's field 10 as a list of 2^31 - 1 structs.
    let bytes = [0x1c, 0xa9, 0xfc, 0xff, 0xff, 0xff, 0xff, 0x07];
    assert!(decode::<PeerRequest>(&bytes).is_err());
}

#[test]
fn unknown_union_variant_is_rejected() {
    // Field 9 of the union, a struct without fields.
    assert!(decode::<PeerRequest>(&[0x9c, 0x00, 0x00]).is_err());
}
