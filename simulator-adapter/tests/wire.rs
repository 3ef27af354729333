//! Tests of the simulator's protocol: replies to a script with every kind of message are compared byte by byte.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SCRIPT: &str = include_str!("script.jsonl");

fn run(arguments: &[&str], input: &str) -> Output {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_reedwalk-adapter"));
    let adapter = adapter.args(arguments).stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut adapter = adapter.spawn().unwrap();
    adapter.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
    adapter.wait_with_output().unwrap()
}

fn assert_replies(arguments: &[&str], expected: &str) {
    let output = run(arguments, SCRIPT);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let replies = String::from_utf8(output.stdout).unwrap();
    for (line, (reply, expected)) in replies.lines().zip(expected.lines()).enumerate() {
        assert_eq!(reply, expected, "reply to line {}", line + 1);
    }
    assert_eq!(replies, expected);
}

#[test]
fn replies_match_the_recording() {
    assert_replies(&[], include_str!("replies.jsonl"));
}

#[test]
fn replies_with_gossip_match_the_recording() {
    assert_replies(&["--peers"], include_str!("replies-with-peers.jsonl"));
}

#[test]
fn invalid_lines_are_reported_with_their_position() {
    let unknown_sheet =
        r#"{"AtTimeUs":1,"inbox":[{"op":"Spawn","ControllerId":0,"BootInfo":{"RequestClasses":[
        {"SloUs":1,"GiveUpUs":2}]}},{"op":"Endpoints","ControllerId":0,"Kind":"cached","Sheet":9}]}"#
            .replace('\n', "");
    let no_class =
        r#"{"AtTimeUs":1,"inbox":[{"op":"Spawn","ControllerId":0,"BootInfo":{"RequestClasses":[]}}]}"#;
    let no_settings = r#"{"AtTimeUs":1,"inbox":[{"op":"Spawn","ControllerId":0,"BootInfo":{}}]}"#;
    for (line, message) in [
        (unknown_sheet.as_str(), "line 1: event 2: refers to a sheet that was not sent"),
        (no_class, "line 1: event 1: settings: classes: must not be empty"),
        (no_settings, "line 1: event 1: BootInfo: missing field `RequestClasses`"),
        ("no batch", "line 1: expected"),
    ] {
        let output = run(&[], &format!("{line}\n"));
        let error = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success() && output.stdout.is_empty(), "{line}");
        assert!(error.starts_with(&format!("reedwalk-adapter: {message}")), "{error}");
    }
}
