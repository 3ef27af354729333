use super::*;

#[test]
fn one_return_undoes_repeated_overrides() {
    let mut overrides = Overrides::default();
    assert_eq!(overrides.set("s-1", Override::Out, 10), Ok(true));
    assert_eq!(overrides.set("s-1", Override::Out, 20), Ok(false));
    assert!(overrides.is_out("s-1") && !overrides.is_out("s-2"));
    assert_eq!(overrides.set("s-1", Override::Returned, 30), Ok(true));
    assert!(!overrides.is_out("s-1"));
    assert_eq!(overrides.returned_at("s-1"), Some(30));
    assert_eq!(overrides.set("s-1", Override::Returned, 40), Ok(false), "the engine was returned already");
    assert_eq!(
        overrides.set("s-2", Override::Returned, 40),
        Ok(false),
        "the engine was never out and needs no slow start"
    );
    assert_eq!(overrides.returned_at("s-2"), None);
}

#[test]
fn later_override_wins_although_the_clock_stepped_back() {
    let mut overrides = Overrides::default();
    overrides.set("s-1", Override::Out, 1_000).unwrap();
    let mut other = overrides.clone();
    other.set("s-1", Override::Returned, 5).unwrap();
    assert_eq!(overrides.merge(&other), ["s-1"]);
    assert!(!overrides.is_out("s-1"));
    assert!(overrides.merge(&other).is_empty());
}

#[test]
fn overrides_are_bounded_and_engines_taken_out_are_kept() {
    let mut overrides = Overrides::default();
    for number in 0..MAX_OVERRIDES as u64 {
        overrides.set(&format!("out-{number}"), Override::Out, number).unwrap();
    }
    assert_eq!(overrides.set("one-more", Override::Out, 9_999), Err(TooManyOverrides));
    for number in 0..2 * MAX_OVERRIDES as u64 {
        overrides.set("out-0", Override::Returned, 10_000 + number).unwrap();
        overrides.set("out-0", Override::Out, 10_000 + number).unwrap();
        let name = format!("back-{number}");
        overrides.by_engine.insert(name, TimedOverride { at: number, value: Override::Returned });
    }
    overrides.set("out-1", Override::Returned, 99_999).unwrap();
    assert_eq!(overrides.count(Override::Out), MAX_OVERRIDES - 1);
    assert_eq!(overrides.count(Override::Returned), MAX_OVERRIDES);
    assert_eq!(
        overrides.returned_at("out-1").map(|at| at >= 99_999),
        Some(true),
        "the oldest are removed first"
    );
}
