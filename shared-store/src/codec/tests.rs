use super::*;

#[test]
fn value_round_trips_and_any_corruption_is_detected() {
    let value = (7u64, Some(b"an answer".to_vec()));
    let bytes = encode(&value).unwrap();
    assert_eq!(decode(&bytes), Ok(value));
    for size in 0..bytes.len() {
        assert!(decode::<(u64, Option<Vec<u8>>)>(&bytes[..size]).is_err(), "truncated to {size}");
    }
    for at in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[at] ^= 0x10;
        assert!(decode::<(u64, Option<Vec<u8>>)>(&changed).is_err(), "byte {at}");
    }
    let extended = [&bytes[..], &[0]].concat();
    assert_eq!(decode::<(u64, Option<Vec<u8>>)>(&extended), Err(DecodeError::Corrupted));
}

#[test]
fn oversized_value_and_unknown_version_are_rejected() {
    assert_eq!(encode(&vec![0u8; MAX_VALUE_BYTES]), None);
    assert_eq!(decode::<u8>(&vec![SCHEMA_VERSION; MAX_VALUE_BYTES + 1]), Err(DecodeError::InvalidSize));
    assert_eq!(decode::<u8>(&[9, 0, 0, 0, 0, 0]), Err(DecodeError::UnknownVersion(9)));
    // A length prefix far beyond the input must not cause an allocation.
    let body = [0xff, 0xff, 0xff, 0xff, 0x0f];
    let oversized = [&[SCHEMA_VERSION], &crc32fast::hash(&body).to_le_bytes()[..], &body].concat();
    assert_eq!(decode::<Vec<u8>>(&oversized), Err(DecodeError::Corrupted));
}
