//! Tests that datagrams are authenticated by the fleet key and limited in size.

use fl_membership::codec::{Body, Datagram, decode, encode};
use fl_membership::{CodecError, MAX_DATAGRAM_BYTES};
use rstest::rstest;

const KEY: [u8; 32] = [1; 32];

fn datagram() -> Datagram {
    Datagram {
        body: Body::Ack { sequence: 7, from: "entry-1".to_string() },
        configuration_version: 3,
        table_digest: 9,
        contacts: Vec::new(),
        updates: Vec::new(),
        payloads: Vec::new(),
    }
}

#[test]
fn round_trip() {
    let bytes = encode(&KEY, &datagram()).unwrap();
    assert_eq!(decode(&KEY, &bytes), Ok(datagram()));
}

#[rstest]
#[case::other_key([2; 32], 0, 0)]
#[case::changed_tag(KEY, 0, 1)]
#[case::changed_payload(KEY, 20, 1)]
fn unauthenticated_refused(#[case] key: [u8; 32], #[case] at: usize, #[case] flip: u8) {
    let mut bytes = encode(&key, &datagram()).unwrap();
    bytes[at] ^= flip;
    assert_eq!(decode(&KEY, &bytes), Err(CodecError::Unauthenticated));
}

#[rstest]
#[case::short(vec![0; 3], CodecError::TooShort)]
#[case::long(vec![0; MAX_DATAGRAM_BYTES + 1], CodecError::TooLong(MAX_DATAGRAM_BYTES + 1))]
fn length_refused(#[case] bytes: Vec<u8>, #[case] expected: CodecError) {
    assert_eq!(decode(&KEY, &bytes), Err(expected));
}
