//! Values in the shared store as the program wrote them before the names of its types changed.

use reedwalk_shared_store::codec::{decode, encode};
use reedwalk_shared_store::idempotency::{ClaimHolder, SendRecord, Stage};

const SENT: &str = include_str!("golden/sent.hex");
const DONE: &str = include_str!("golden/done.hex");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digits = text.trim();
    let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).expect("two hexadecimal digits");
    (0..digits.len()).step_by(2).map(byte).collect()
}

#[test]
fn value_of_a_sent_attempt_is_as_before() {
    let sent = SendRecord { group: u64::MAX, at_ms: 1_764_612_345_678 };
    assert_eq!(hex(&encode(&sent).unwrap()), SENT.trim());
    assert_eq!(decode(&unhex(SENT)), Ok(sent));
}

#[test]
fn value_of_a_served_request_is_as_before() {
    let answer = b"an answer, packed".to_vec();
    assert_eq!(hex(&encode(&answer).unwrap()), DONE.trim());
    assert_eq!(decode(&unhex(DONE)), Ok(answer));
}

#[test]
fn letters_of_the_stages_are_as_before() {
    let stages = [Stage::Claimed, Stage::Unknown, Stage::Sent, Stage::Done, Stage::NeverRan];
    assert_eq!(stages.map(Stage::code), ["c", "u", "s", "d", "n"]);
    assert_eq!([b"c", b"u", b"s", b"d", b"n"].map(|letter| Stage::from_code(letter)), stages.map(Some));
}

#[test]
fn name_of_a_holder_is_as_before() {
    assert_eq!(ClaimHolder { process: 0xabc, claim: 0x1f }.to_string(), "0000000000000abc-1f");
}
