use super::*;
use std::collections::HashSet;

/// Guards against two connections with one id in the two processes of a hot restart, of which a KILL QUERY ends the wrong
/// one's query.
#[test]
fn processes_in_different_slots_never_have_the_same_id() {
    for slot in 0..MAX_PROCESSES {
        for mut ids in [ConnectionIds::new(Some(slot)), ConnectionIds::new(Some(slot))] {
            assert!((0..10_000).all(|_| ids.next_id() >> COUNTER_BITS == slot as u32), "slot {slot}");
        }
    }
}

#[test]
fn ids_are_not_zero_and_do_not_repeat() {
    for counter in [0, COUNTER_MASK.wrapping_sub(STEP) & COUNTER_MASK, STEP.wrapping_neg() & COUNTER_MASK] {
        let mut ids = ConnectionIds { slot: 0, counter };
        let drawn: HashSet<_> = (0..10_000).map(|_| ids.next_id()).collect();
        assert!(drawn.len() == 10_000 && !drawn.contains(&0));
    }
}
