//! The record of the operators' overrides as the program wrote it before the names of its types changed.

use reedwalk_membership::{Hand, Word, read, write};

const GOLDEN: &str = include_str!("golden/words.txt");

fn overrides() -> Hand {
    let mut hand = Hand::default();
    hand.say("s-00c41f7a", Word::Out, 1_764_612_345_678_901).unwrap();
    hand.say("s-2", Word::Out, 5).unwrap();
    hand.say("s-2", Word::Back, 6).unwrap();
    hand.say("s-3 with a space", Word::Out, 1_764_612_999_000_000).unwrap();
    hand
}

#[test]
fn overrides_are_written_as_before() {
    assert_eq!(String::from_utf8(write(&overrides())).unwrap(), GOLDEN);
}

#[test]
fn overrides_of_the_version_before_are_read() {
    assert_eq!(read(GOLDEN.as_bytes()), Ok(overrides()));
}
