//! Replay of complete, truncated, corrupted and foreign logs.

use super::*;
use crate::snapshot::KeyProgress;

const OWNER: SnapshotOwner = SnapshotOwner { host: 1, gateway: 2, settings: 3 };

fn keys() -> Vec<KeyRecord> {
    let key = |n| KeyRecord {
        key: u64::MAX - n,
        progress: KeyProgress::Sent,
        group: Some(n),
        sent: 1_700_000_000_000,
    };
    (0..5).map(key).collect()
}

#[test]
fn truncated_or_corrupted_log_keeps_the_entries_before() {
    let entries: Vec<_> = keys().iter().map(|key| encode_entry(OWNER, 3, key)).collect();
    let log = entries.concat();
    assert_eq!(replay(OWNER, 3, &log), Replay { entries: keys(), valid_bytes: log.len() });
    for length in 0..log.len() {
        let mut ends = entries.iter().scan(0, |end, entry| {
            *end += entry.len();
            Some(*end)
        });
        let complete = ends.by_ref().take_while(|end| *end <= length).count();
        let Replay { entries: replayed, valid_bytes } = replay(OWNER, 3, &log[..length]);
        assert_eq!(
            (replayed.len(), valid_bytes),
            (complete, entries[..complete].concat().len()),
            "truncated at {length}"
        );
    }
    for bit in 0..log.len() * 8 {
        let mut bytes = log.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        let Replay { entries: replayed, valid_bytes } = replay(OWNER, 3, &bytes);
        assert!(replayed.len() < 5 && valid_bytes <= bit / 8, "bit {bit}");
        assert_eq!(replayed, keys()[..replayed.len()]);
    }
}

#[test]
fn entries_of_another_generation_or_owner_are_ignored() {
    let log = keys().iter().flat_map(|key| encode_entry(OWNER, 3, key)).collect::<Vec<_>>();
    assert_eq!(replay(OWNER, 4, &log), Replay { entries: Vec::new(), valid_bytes: 0 });
    assert_eq!(
        replay(SnapshotOwner { host: 9, ..OWNER }, 3, &log),
        Replay { entries: Vec::new(), valid_bytes: 0 }
    );
    assert_eq!(
        replay(OWNER, 3, &[0; 100]),
        Replay { entries: Vec::new(), valid_bytes: 0 },
        "a file of zeros, as a power loss may leave"
    );
}
