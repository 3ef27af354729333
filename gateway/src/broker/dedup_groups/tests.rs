//! Deduplication groups of engines, and those that are forgotten.

use super::*;

#[test]
fn removed_engine_is_forgotten() {
    let mut groups = DeduplicationGroups::default();
    for number in 0..1_000 {
        let entry = EngineEntry::new(EngineId(number));
        groups.update(std::slice::from_ref(&entry));
        assert_eq!(groups.group_of(entry.engine, DeduplicationScope::All), Some(0));
        groups.update(&[EngineEntry { state: EngineState::Removed, ..entry }]);
    }
    assert!(groups.0.is_empty() && groups.group_of(EngineId(3), DeduplicationScope::All).is_none());
}
