//! What is known of a key, and what that allows.

use super::*;
use crate::stages::Setup;

const START: Millis = 1_000_000;
const KEYED: Keyed = Keyed { all: false, window: 12_000 };

fn back(now: Millis) -> Return {
    let mut back = Return::new(Setup { started: START, window: 12_000, peers: false, names: false });
    back.go_on(now);
    back
}

fn kept(key: u64, sent: Millis) -> KeyMemory {
    KeyMemory { key, reached: Reached::Sent, group: Some(3), sent }
}

#[test]
fn a_retry_goes_where_its_first_try_went_and_nowhere_while_that_is_not_known() {
    let mut keys = Keys::new(&[kept(1, START - 2_000), kept(2, START - 12_001)], 12_000, START);
    let at = START + 500;
    assert_eq!(keys.arrive(1, KEYED, true, &back(at), at), Step::Again { group: 3, ago: 2_500 });
    assert_eq!(keys.arrive(1, KEYED, false, &back(at), at), Step::Again { group: 3, ago: 2_500 });
    assert_eq!(
        keys.arrive(2, KEYED, true, &back(at), at),
        Step::NotBefore(START + 12_000),
        "over and unknown"
    );
    assert_eq!(keys.arrive(9, KEYED, true, &back(at), at), Step::NotBefore(START + 12_000));
    assert_eq!(keys.arrive(9, KEYED, false, &back(at), at), Step::First);
    let everywhere = Keyed { all: true, ..KEYED };
    assert_eq!(keys.arrive(9, everywhere, true, &back(at), at), Step::First, "any engine drops its repeat");
    let later = START + 12_000;
    assert_eq!(keys.arrive(9, KEYED, true, &back(later), later), Step::First);
    assert_eq!(keys.arrive(1, KEYED, true, &back(later), later), Step::First, "its window is over");
}

#[test]
fn what_is_sent_in_this_life_is_written_once_and_binds_by_its_first_attempt() {
    let mut keys = Keys::new(&[], 12_000, START);
    assert_eq!(keys.send(5, Some(1), START + 10), Some(KeyMemory { group: Some(1), ..kept(5, START + 10) }));
    assert_eq!(keys.send(5, Some(2), START + 20), None);
    let at = START + 30;
    assert_eq!(keys.arrive(5, KEYED, true, &back(at), at), Step::Again { group: 1, ago: 20 });
    keys.send(6, None, at);
    assert_eq!(keys.arrive(6, KEYED, true, &back(at), at), Step::NotBefore(at + 12_001), "no group is told");
    assert_eq!(keys.all(at).len(), 2);
    assert_eq!(keys.all(START + 12_011).len(), 1);
}

#[test]
fn of_a_clock_gone_back_a_key_lasts_and_all_stays_bounded() {
    let mut keys = Keys::new(&[kept(1, START + 3_600_000)], 12_000, START);
    assert_eq!(keys.arrive(1, KEYED, true, &back(START), START), Step::Again { group: 3, ago: 0 });
    for key in 0..3 * KEYS_MOST as u64 {
        keys.send(key, Some(1), START + 1);
    }
    assert_eq!(keys.all(START + 2).len(), KEYS_MOST);
    let never = KeyMemory { reached: Reached::NeverRan, ..kept(7, START) };
    assert!(Keys::new(&[never], 12_000, START).all(START).is_empty(), "only who was there can say so");
}
