//! What is known of a key, and what that allows.

use super::*;
use crate::startup_phases::StartupSetup;

const START: Millis = 1_000_000;
const KEYED: KeyRules = KeyRules { one_group: false, window: 12_000 };

fn back(now: Millis) -> StartupPhases {
    let mut back = StartupPhases::new(StartupSetup {
        started: START,
        window: 12_000,
        has_peers: false,
        has_name_server: false,
    });
    back.advance(now);
    back
}

fn kept(key: u64, sent: Millis) -> KeyRecord {
    KeyRecord { key, progress: KeyProgress::Sent, group: Some(3), sent }
}

#[test]
fn retry_follows_its_first_attempt_or_waits() {
    let mut keys = KnownKeys::new(&[kept(1, START - 2_000), kept(2, START - 12_001)], 12_000, START);
    let at = START + 500;
    assert_eq!(keys.on_request(1, KEYED, true, &back(at), at), KeyVerdict::Repeat { group: 3, age: 2_500 });
    assert_eq!(keys.on_request(1, KEYED, false, &back(at), at), KeyVerdict::Repeat { group: 3, age: 2_500 });
    assert_eq!(
        keys.on_request(2, KEYED, true, &back(at), at),
        KeyVerdict::NotBefore(START + 12_000),
        "over and unknown"
    );
    assert_eq!(keys.on_request(9, KEYED, true, &back(at), at), KeyVerdict::NotBefore(START + 12_000));
    assert_eq!(keys.on_request(9, KEYED, false, &back(at), at), KeyVerdict::First);
    let everywhere = KeyRules { one_group: true, ..KEYED };
    assert_eq!(
        keys.on_request(9, everywhere, true, &back(at), at),
        KeyVerdict::First,
        "any engine drops its repeat"
    );
    let later = START + 12_000;
    assert_eq!(keys.on_request(9, KEYED, true, &back(later), later), KeyVerdict::First);
    assert_eq!(keys.on_request(1, KEYED, true, &back(later), later), KeyVerdict::First, "its window is over");
}

#[test]
fn new_key_is_recorded_once_and_binds_its_group() {
    let mut keys = KnownKeys::new(&[], 12_000, START);
    assert_eq!(
        keys.on_send(5, Some(1), START + 10),
        Some(KeyRecord { group: Some(1), ..kept(5, START + 10) })
    );
    assert_eq!(keys.on_send(5, Some(2), START + 20), None);
    let at = START + 30;
    assert_eq!(keys.on_request(5, KEYED, true, &back(at), at), KeyVerdict::Repeat { group: 1, age: 20 });
    keys.on_send(6, None, at);
    assert_eq!(
        keys.on_request(6, KEYED, true, &back(at), at),
        KeyVerdict::NotBefore(at + 12_001),
        "no group is told"
    );
    assert_eq!(keys.active_keys(at).len(), 2);
    assert_eq!(keys.active_keys(START + 12_011).len(), 1);
}

#[test]
fn clock_step_prolongs_a_key_and_keys_are_bounded() {
    let mut keys = KnownKeys::new(&[kept(1, START + 3_600_000)], 12_000, START);
    assert_eq!(keys.on_request(1, KEYED, true, &back(START), START), KeyVerdict::Repeat { group: 3, age: 0 });
    for key in 0..3 * MAX_KEYS as u64 {
        keys.on_send(key, Some(1), START + 1);
    }
    assert_eq!(keys.active_keys(START + 2).len(), MAX_KEYS);
    let never = KeyRecord { progress: KeyProgress::NeverRan, ..kept(7, START) };
    assert!(
        KnownKeys::new(&[never], 12_000, START).active_keys(START).is_empty(),
        "only who was there can say so"
    );
}
