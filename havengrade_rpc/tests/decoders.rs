//! Decoders of bytes from outside: any bytes give a message or an error, never a panic.
#![allow(clippy::unwrap_used)]

use havengrade_rpc::{
    decode, encode,
    operators::{Credentials, OperatorsSyncClient, TOperatorsSyncClient as _},
    parse_call,
    peers::{AccountUse, EndpointLoad, PeerAsk, PeerHeartbeat, PeerReply, PeerRequest},
};
use proptest::{prelude::*, test_runner::RngSeed};
use thrift::protocol::{TBinaryInputProtocol, TBinaryOutputProtocol};

fn heartbeat(uses: Vec<(String, i32)>, loads: Vec<(String, i32)>) -> PeerRequest {
    let uses = uses.into_iter().map(|(account, count)| AccountUse::new(account, count)).collect::<Vec<_>>();
    let loads = loads.into_iter().map(|(id, load)| EndpointLoad::new(id, load, false, false)).collect::<Vec<_>>();
    let vm = "vm-1".to_owned();
    PeerRequest::Heartbeat(PeerHeartbeat::new(vm, 1, 2, 3, None, 4, true, false, 5, uses, None, loads, None))
}

/// A call as a stock client writes it.
fn call() -> Vec<u8> {
    let mut frame = Vec::new();
    let input = TBinaryInputProtocol::new(&[][..], true);
    let output = TBinaryOutputProtocol::new(&mut frame, true);
    let credentials = Credentials::new("ana".to_owned(), "key".to_owned());
    // The client sends the call and then finds no answer.
    assert!(OperatorsSyncClient::new(input, output).audit(credentials, 7, 8).is_err());
    frame
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode::<PeerRequest>(&bytes);
        let _ = decode::<PeerReply>(&bytes);
        let _ = parse_call(&bytes);
    }

    #[test]
    fn damaged_messages_are_read_or_refused(
        at in any::<prop::sample::Index>(),
        byte in any::<u8>(),
        cut in any::<prop::sample::Index>(),
    ) {
        let message = heartbeat(vec![("gate".into(), 3)], vec![("engine-1".into(), 4)]);
        for mut bytes in [encode(&message).unwrap(), call()] {
            let index = at.index(bytes.len());
            bytes[index] = byte;
            bytes.truncate(cut.index(bytes.len()) + 1);
            let _ = decode::<PeerRequest>(&bytes);
            let _ = parse_call(&bytes);
        }
    }

    #[test]
    fn messages_come_back_as_they_were(
        uses in prop::collection::vec(("[a-z]{0,8}", any::<i32>()), 0..5),
        loads in prop::collection::vec(("[a-z]{0,8}", any::<i32>()), 0..5),
        id in ".*",
    ) {
        for message in [heartbeat(uses, loads), PeerRequest::Ask(PeerAsk::new(id, "gate".to_owned()))] {
            prop_assert_eq!(decode::<PeerRequest>(&encode(&message).unwrap()).unwrap(), message);
        }
    }
}

#[test]
fn false_length_of_a_list_takes_no_memory() {
    // A heartbeat's field 10 as a list of 2^31 - 1 structs.
    let bytes = [0x1c, 0xa9, 0xfc, 0xff, 0xff, 0xff, 0xff, 0x07];
    assert!(decode::<PeerRequest>(&bytes).is_err());
}

#[test]
fn unknown_variant_of_a_union_is_refused() {
    // Field 9 of the union, a struct without fields.
    assert!(decode::<PeerRequest>(&[0x9c, 0x00, 0x00]).is_err());
}
