//! The record of the operators' overrides as the program wrote it before the names of its types changed.

use reedwalk_operations::{Override, Overrides, read, write};

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
fn overrides_are_written_as_before() {
    assert_eq!(String::from_utf8(write(&overrides())).unwrap(), GOLDEN);
}

#[test]
fn overrides_of_the_version_before_are_read() {
    assert_eq!(read(GOLDEN.as_bytes()), Ok(overrides()));
}
