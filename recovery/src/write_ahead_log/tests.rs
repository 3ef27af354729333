//! Logs that are whole, cut or spoilt.

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
fn torn_tail_loses_no_whole_entry() {
    let entries: Vec<_> = keys().iter().map(|k| encode_entry(OWNER, 3, k)).collect();
    let all = entries.concat();
    assert_eq!(replay(OWNER, 3, &all), Replay { entries: keys(), whole_bytes: all.len() });
    for cut in 0..all.len() {
        let mut ends = entries.iter().scan(0, |at, e| {
            *at += e.len();
            Some(*at)
        });
        let whole = ends.by_ref().take_while(|end| *end <= cut).count();
        let Replay { entries: found, whole_bytes: at } = replay(OWNER, 3, &all[..cut]);
        assert_eq!((found.len(), at), (whole, entries[..whole].concat().len()), "cut at {cut}");
    }
    for bit in 0..all.len() * 8 {
        let mut bytes = all.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        let Replay { entries: found, whole_bytes: at } = replay(OWNER, 3, &bytes);
        assert!(found.len() < 5 && at <= bit / 8, "bit {bit}");
        assert_eq!(found, keys()[..found.len()]);
    }
}

#[test]
fn entries_of_an_earlier_log_are_ignored() {
    let all = keys().iter().flat_map(|k| encode_entry(OWNER, 3, k)).collect::<Vec<_>>();
    assert_eq!(replay(OWNER, 4, &all), Replay { entries: Vec::new(), whole_bytes: 0 });
    assert_eq!(
        replay(SnapshotOwner { host: 9, ..OWNER }, 3, &all),
        Replay { entries: Vec::new(), whole_bytes: 0 }
    );
    assert_eq!(
        replay(OWNER, 3, &[0; 100]),
        Replay { entries: Vec::new(), whole_bytes: 0 },
        "nothing but zeros, as after a power cut"
    );
}
