use super::*;

fn two_overrides() -> Overrides {
    let mut overrides = Overrides::default();
    overrides.set("s-00c41f7a", Override::Out, 1_764_612_345_678_901).unwrap();
    overrides.set("s-2", Override::Out, 5).unwrap();
    overrides.set("s-2", Override::Returned, 6).unwrap();
    overrides
}

#[test]
fn record_round_trips() {
    assert_eq!(decode_record(&encode_record(&two_overrides())), Ok(two_overrides()));
    assert_eq!(decode_record(&encode_record(&Overrides::default())), Ok(Overrides::default()));
}

#[test]
fn truncated_record_is_rejected() {
    let record = encode_record(&two_overrides());
    for size in 0..record.len() {
        assert!(decode_record(&record[..size]).is_err(), "{size} of {} bytes", record.len());
    }
}

#[test]
fn every_changed_byte_is_detected() {
    let record = encode_record(&two_overrides());
    for at in 0..record.len() {
        for change in [0x01, 0x20, 0x80] {
            let mut bytes = record.clone();
            bytes[at] ^= change;
            // The case of a hexadecimal digit and the space before the version do not matter.
            assert!(
                decode_record(&bytes).is_err() || decode_record(&bytes) == Ok(two_overrides()),
                "byte {at}"
            );
        }
    }
}

#[test]
fn unknown_version_and_oversized_record_are_rejected() {
    let text = String::from_utf8(encode_record(&two_overrides())).unwrap().replace("words 1\n", "words 2\n");
    assert_eq!(decode_record(text.as_bytes()), Err(OverrideRecordError::UnknownVersion));
    assert_eq!(decode_record(&vec![b'x'; MAX_RECORD_BYTES + 1]), Err(OverrideRecordError::TooLarge));
}
