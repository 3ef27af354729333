//! Groups of engines, and those that are forgotten.

use super::*;

#[test]
fn an_engine_that_is_gone_is_forgotten() {
    let mut groups = Groups::default();
    for number in 0..1_000 {
        let entry = EngineEntry::new(EngineId(number));
        groups.take(std::slice::from_ref(&entry));
        assert_eq!(groups.of(entry.engine, KeyScope::All), Some(0));
        groups.take(&[EngineEntry { state: EngineState::Gone, ..entry }]);
    }
    assert!(groups.0.is_empty() && groups.of(EngineId(3), KeyScope::All).is_none());
}
