//! Merging of key records, and validation and limits of a snapshot.

use super::*;

fn key(key: u64, progress: KeyProgress, sent: Millis) -> KeyRecord {
    KeyRecord { key, progress, group: Some(4), sent }
}

#[test]
fn record_that_may_have_run_is_not_overridden() {
    let mut snapshot = Snapshot::default();
    snapshot.merge_key(key(1, KeyProgress::Sent, 100));
    snapshot.merge_key(key(1, KeyProgress::NeverRan, 300));
    assert_eq!(snapshot.keys, [key(1, KeyProgress::Sent, 100)]);
    snapshot.merge_key(key(1, KeyProgress::Served, 400));
    assert_eq!(snapshot.keys, [key(1, KeyProgress::Served, 100)]);
    snapshot.merge_key(key(2, KeyProgress::NeverRan, 100));
    snapshot.merge_key(key(2, KeyProgress::Sent, 200));
    assert_eq!(snapshot.keys[1], key(2, KeyProgress::Sent, 200));
}

#[test]
fn invalid_and_excess_entries_are_dropped() {
    let engine = |id: &str, slowdown| EngineRecord { id: id.into(), started: 0, slowdown, ejected_until: 0 };
    let class = |name: &str, exec| ClassRecord { name: name.into(), exec, best: None, width: (1.0, 1.0) };
    let snapshot = Snapshot {
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
    let sanitized = snapshot.sanitized();
    assert_eq!(sanitized.engines.iter().map(|engine| &engine.id[..]).collect::<Vec<_>>(), ["a"]);
    assert_eq!(sanitized.classes.iter().map(|class| &class.name[..]).collect::<Vec<_>>(), ["c"]);
    assert_eq!(
        (sanitized.keys.len(), sanitized.keys[0].key),
        (MAX_KEYS, 19_999),
        "the most recent keys are kept"
    );
}
