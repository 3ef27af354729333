//! Golden file of the stored override record, written before its types were renamed: the format must not change, and records
//! of earlier versions must remain readable.

use reedwalk_operations::{Override, Overrides, decode_record, encode_record};

const GOLDEN: &str = include_str!("golden/words.txt");

fn overrides() -> Overrides {
    let mut overrides = Overrides::default();
    overrides.set("s-00c41f7a", Override::Out, 1_764_612_345_678_901).unwrap();
    overrides.set("s-2", Override::Out, 5).unwrap();
    overrides.set("s-2", Override::Returned, 6).unwrap();
    overrides.set("s-3 with a space", Override::Out, 1_764_612_999_000_000).unwrap();
    overrides
}

#[test]
fn written_record_matches_the_golden_file() {
    assert_eq!(String::from_utf8(encode_record(&overrides())).unwrap(), GOLDEN);
}

#[test]
fn golden_file_is_read() {
    assert_eq!(decode_record(GOLDEN.as_bytes()), Ok(overrides()));
}
