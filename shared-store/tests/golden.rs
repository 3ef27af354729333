//! Guards the encoding of values in the shared store: values that earlier versions wrote must stay readable, and must
//! be written in the same form, when types are renamed.

use reedwalk_shared_store::codec::{decode, encode};
use reedwalk_shared_store::idempotency::{ClaimHolder, SendRecord, Stage};

const SENT: &str = include_str!("golden/sent.hex");
const DONE: &str = include_str!("golden/done.hex");

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_hex(text: &str) -> Vec<u8> {
    let digits = text.trim();
    let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).expect("two hexadecimal digits");
    (0..digits.len()).step_by(2).map(byte).collect()
}

#[test]
fn send_record_encoding_is_unchanged() {
    let sent = SendRecord { group: u64::MAX, at_ms: 1_764_612_345_678 };
    assert_eq!(encode_hex(&encode(&sent).unwrap()), SENT.trim());
    assert_eq!(decode(&decode_hex(SENT)), Ok(sent));
}

#[test]
fn answer_encoding_is_unchanged() {
    let answer = b"an answer, packed".to_vec();
    assert_eq!(encode_hex(&encode(&answer).unwrap()), DONE.trim());
    assert_eq!(decode(&decode_hex(DONE)), Ok(answer));
}

#[test]
fn stage_letters_are_unchanged() {
    let stages = [Stage::Claimed, Stage::Unknown, Stage::Sent, Stage::Done, Stage::NeverRan];
    assert_eq!(stages.map(Stage::code), ["c", "u", "s", "d", "n"]);
    assert_eq!([b"c", b"u", b"s", b"d", b"n"].map(|letter| Stage::from_code(letter)), stages.map(Some));
}

#[test]
fn claim_holder_format_is_unchanged() {
    assert_eq!(ClaimHolder { process: 0xabc, claim: 0x1f }.to_string(), "0000000000000abc-1f");
}
