//! Decisions for requests with idempotency keys, depending on what is known about the key.

use super::*;
use crate::startup_phases::StartupSetup;

const START: Millis = 1_000_000;
const GROUP_RULES: KeyRules = KeyRules { single_group: false, window: 12_000 };

/// The start-up phases at `now` for a gateway that started at [`START`].
fn phases(now: Millis) -> StartupPhases {
    let mut phases = StartupPhases::new(StartupSetup {
        started: START,
        window: 12_000,
        has_peers: false,
        has_name_server: false,
    });
    phases.advance(now);
    phases
}

fn sent_key(key: u64, sent: Millis) -> KeyRecord {
    KeyRecord { key, progress: KeyProgress::Sent, group: Some(3), sent }
}

#[test]
fn retry_goes_to_the_group_of_its_first_attempt_or_is_delayed() {
    let mut keys = KnownKeys::new(&[sent_key(1, START - 2_000), sent_key(2, START - 12_001)], 12_000, START);
    let now = START + 500;
    assert_eq!(
        keys.on_request(1, GROUP_RULES, true, &phases(now), now),
        KeyVerdict::Repeat { group: 3, age: 2_500 }
    );
    assert_eq!(
        keys.on_request(1, GROUP_RULES, false, &phases(now), now),
        KeyVerdict::Repeat { group: 3, age: 2_500 }
    );
    assert_eq!(
        keys.on_request(2, GROUP_RULES, true, &phases(now), now),
        KeyVerdict::NotBefore(START + 12_000),
        "its window ended before the restart"
    );
    assert_eq!(
        keys.on_request(9, GROUP_RULES, true, &phases(now), now),
        KeyVerdict::NotBefore(START + 12_000)
    );
    assert_eq!(keys.on_request(9, GROUP_RULES, false, &phases(now), now), KeyVerdict::First);
    let single_group = KeyRules { single_group: true, ..GROUP_RULES };
    assert_eq!(
        keys.on_request(9, single_group, true, &phases(now), now),
        KeyVerdict::First,
        "all engines form one deduplication group"
    );
    let later = START + 12_000;
    assert_eq!(keys.on_request(9, GROUP_RULES, true, &phases(later), later), KeyVerdict::First);
    assert_eq!(
        keys.on_request(1, GROUP_RULES, true, &phases(later), later),
        KeyVerdict::First,
        "its window has ended"
    );
}

#[test]
fn new_key_is_recorded_once_with_its_first_group() {
    let mut keys = KnownKeys::new(&[], 12_000, START);
    assert_eq!(
        keys.on_send(5, Some(1), START + 10),
        Some(KeyRecord { group: Some(1), ..sent_key(5, START + 10) })
    );
    assert_eq!(keys.on_send(5, Some(2), START + 20), None);
    let now = START + 30;
    assert_eq!(
        keys.on_request(5, GROUP_RULES, true, &phases(now), now),
        KeyVerdict::Repeat { group: 1, age: 20 }
    );
    keys.on_send(6, None, now);
    assert_eq!(
        keys.on_request(6, GROUP_RULES, true, &phases(now), now),
        KeyVerdict::NotBefore(now + 12_001),
        "its group is unknown"
    );
    assert_eq!(keys.active_keys(now).len(), 2);
    assert_eq!(keys.active_keys(START + 12_011).len(), 1);
}

#[test]
fn clock_step_extends_a_window_and_keys_are_bounded() {
    let mut keys = KnownKeys::new(&[sent_key(1, START + 3_600_000)], 12_000, START);
    assert_eq!(
        keys.on_request(1, GROUP_RULES, true, &phases(START), START),
        KeyVerdict::Repeat { group: 3, age: 0 }
    );
    for key in 0..3 * MAX_KEYS as u64 {
        keys.on_send(key, Some(1), START + 1);
    }
    assert_eq!(keys.active_keys(START + 2).len(), MAX_KEYS);
    let never_ran = KeyRecord { progress: KeyProgress::NeverRan, ..sent_key(7, START) };
    assert!(
        KnownKeys::new(&[never_ran], 12_000, START).active_keys(START).is_empty(),
        "only an own observation proves that a key never ran"
    );
}
