//! A memory, written and read.

use super::*;

fn key(key: u64, reached: KeyProgress, sent: Millis) -> KeyRecord {
    KeyRecord { key, progress: reached, group: Some(4), sent }
}

#[test]
fn record_that_may_have_run_is_not_undone() {
    let mut memory = Snapshot::default();
    memory.add(key(1, KeyProgress::Sent, 100));
    memory.add(key(1, KeyProgress::NeverRan, 300));
    assert_eq!(memory.keys, [key(1, KeyProgress::Sent, 100)]);
    memory.add(key(1, KeyProgress::Served, 400));
    assert_eq!(memory.keys, [key(1, KeyProgress::Served, 100)]);
    memory.add(key(2, KeyProgress::NeverRan, 100));
    memory.add(key(2, KeyProgress::Sent, 200));
    assert_eq!(memory.keys[1], key(2, KeyProgress::Sent, 200));
}

#[test]
fn invalid_entries_are_dropped_and_the_rest_is_bounded() {
    let engine = |id: &str, slowdown| EngineRecord { id: id.into(), started: 0, slowdown, ejected_until: 0 };
    let class = |name: &str, exec| ClassRecord { name: name.into(), exec, best: None, width: (1.0, 1.0) };
    let memory = Snapshot {
        engines: vec![
            engine("a", Some(1.5)),
            engine("", None),
            engine("b", Some(f64::NAN)),
            engine(&"x".repeat(300), None),
        ],
        classes: vec![class("c", (1.0, 2.0)), class("d", (-1.0, 2.0)), class("e", (f64::INFINITY, 2.0))],
        keys: (0..20_000).map(|n| key(n, KeyProgress::Served, n)).collect(),
        ..Snapshot::default()
    };
    let checked = memory.sanitized();
    assert_eq!(checked.engines.iter().map(|e| &e.id[..]).collect::<Vec<_>>(), ["a"]);
    assert_eq!(checked.classes.iter().map(|c| &c.name[..]).collect::<Vec<_>>(), ["c"]);
    assert_eq!((checked.keys.len(), checked.keys[0].key), (MAX_KEYS, 19_999), "the youngest stay");
}
