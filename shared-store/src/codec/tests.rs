use super::*;

#[test]
fn a_value_comes_back_whole_or_not_at_all() {
    let value = (7u64, Some(b"an answer".to_vec()));
    let bytes = encode(&value).unwrap();
    assert_eq!(decode(&bytes), Ok(value));
    for size in 0..bytes.len() {
        assert!(decode::<(u64, Option<Vec<u8>>)>(&bytes[..size]).is_err(), "cut to {size}");
    }
    for at in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[at] ^= 0x10;
        assert!(decode::<(u64, Option<Vec<u8>>)>(&changed).is_err(), "byte {at}");
    }
    let longer = [&bytes[..], &[0]].concat();
    assert_eq!(decode::<(u64, Option<Vec<u8>>)>(&longer), Err(ValueError::Corrupted));
}

#[test]
fn what_is_too_large_or_of_another_version_is_no_value() {
    assert_eq!(encode(&vec![0u8; MAX_VALUE_BYTES]), None);
    assert_eq!(decode::<u8>(&vec![SCHEMA; MAX_VALUE_BYTES + 1]), Err(ValueError::Size));
    assert_eq!(decode::<u8>(&[9, 0, 0, 0, 0, 0]), Err(ValueError::Schema(9)));
    // A length that lies makes no room for what is not there.
    let body = [0xff, 0xff, 0xff, 0xff, 0x0f];
    let lying = [&[SCHEMA], &crc32fast::hash(&body).to_le_bytes()[..], &body].concat();
    assert_eq!(decode::<Vec<u8>>(&lying), Err(ValueError::Corrupted));
}
