//! What is worth how much after how long.

use super::*;

const WINDOW: Millis = 12_000;
const NONE: Contradictions = Contradictions { superseded: false, clock: false, observations: false };
const SUPERSEDED: Contradictions = Contradictions { superseded: true, ..NONE };
const CLOCK: Contradictions = Contradictions { clock: true, ..NONE };
const OBSERVATIONS: Contradictions = Contradictions { observations: true, ..NONE };

fn of(fact: Fact, source: Source, age: Millis, against: Contradictions) -> Confidence {
    confidence(fact, source, age, WINDOW, against)
}

#[test]
fn forbidding_facts_are_accepted_easily() {
    let year = 365 * 24 * 3_600_000;
    assert_eq!(of(Fact::Override, Source::Disk, year, CLOCK), Confidence::Holds);
    assert_eq!(of(Fact::Override, Source::Peers(1), 0, OBSERVATIONS), Confidence::Protects);
    assert_eq!(of(Fact::Drained, Source::Disk, year, OBSERVATIONS), Confidence::Protects);
    assert_eq!(of(Fact::Drained, Source::Disk, 0, SUPERSEDED), Confidence::Nothing, "it serves again");
    assert_eq!(of(Fact::MayHaveRun, Source::Peers(1), WINDOW, NONE), Confidence::Protects);
    assert_eq!(of(Fact::MayHaveRun, Source::Disk, WINDOW + 1, NONE), Confidence::Nothing);
    assert_eq!(
        of(Fact::MayHaveRun, Source::Disk, WINDOW + 1, CLOCK),
        Confidence::Holds,
        "who knows how old it is"
    );
    assert_eq!(of(Fact::BudgetUsed, Source::Peers(1), 0, NONE), Confidence::Protects);
    assert_eq!(of(Fact::Restarted, Source::Peers(2), 0, NONE), Confidence::Protects);
    assert_eq!(
        of(Fact::Restarted, Source::Peers(1), 0, NONE),
        Confidence::Nothing,
        "one could make all cold"
    );
}

#[test]
fn permitting_facts_need_strong_sources() {
    for source in [Source::Disk, Source::Peers(9), Source::NameServer, Source::Store] {
        assert_eq!(of(Fact::NeverRan, source, 0, NONE), Confidence::Nothing, "{source:?}");
    }
    assert_eq!(of(Fact::NeverRan, Source::OwnObservation, 0, NONE), Confidence::Holds);
    assert_eq!(of(Fact::Listed, Source::Peers(9), 0, NONE), Confidence::Nothing);
    assert_eq!(of(Fact::Listed, Source::Disk, 0, SUPERSEDED), Confidence::Nothing);
    assert_eq!(of(Fact::Listed, Source::NameServer, 0, SUPERSEDED), Confidence::Nothing, "an older list");
}

#[test]
fn statistics_are_a_decaying_prior() {
    assert_eq!(of(Fact::Latency, Source::Disk, 0, NONE), Confidence::Prior(1.0));
    assert_eq!(of(Fact::Latency, Source::Disk, STATS_HALF_LIFE, NONE), Confidence::Prior(0.5));
    assert_eq!(of(Fact::Latency, Source::Disk, 10 * STATS_HALF_LIFE, NONE), Confidence::Nothing);
    for against in [SUPERSEDED, CLOCK, OBSERVATIONS] {
        assert_eq!(of(Fact::Latency, Source::Disk, 0, against), Confidence::Nothing, "{against:?}");
        assert_eq!(of(Fact::Failing, Source::Disk, 0, against), Confidence::Nothing, "{against:?}");
    }
    assert_eq!(of(Fact::Failing, Source::Disk, FAILURE_TTL, NONE), Confidence::Protects);
    assert_eq!(of(Fact::Failing, Source::Disk, FAILURE_TTL + 1, NONE), Confidence::Nothing);
    assert_eq!(of(Fact::Failing, Source::Peers(1), 0, NONE), Confidence::Nothing);
    assert_eq!(of(Fact::Latency, Source::Peers(1), 0, NONE), Confidence::Nothing);
}
