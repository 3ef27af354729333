//! Confidence in facts by source, age and contradictions.

use super::*;

const WINDOW: Millis = 12_000;
const NONE: Contradictions = Contradictions { superseded: false, clock: false, observations: false };
const SUPERSEDED: Contradictions = Contradictions { superseded: true, ..NONE };
const CLOCK: Contradictions = Contradictions { clock: true, ..NONE };
const OBSERVATIONS: Contradictions = Contradictions { observations: true, ..NONE };

fn confidence_of(fact: Fact, source: Source, age: Millis, contradictions: Contradictions) -> Confidence {
    confidence(fact, source, age, WINDOW, contradictions)
}

#[test]
fn restricting_facts_are_accepted_from_weak_sources() {
    let year_ms = 365 * 24 * 3_600_000;
    assert_eq!(confidence_of(Fact::Override, Source::Disk, year_ms, CLOCK), Confidence::Full);
    assert_eq!(confidence_of(Fact::Override, Source::Peers(1), 0, OBSERVATIONS), Confidence::RestrictOnly);
    assert_eq!(confidence_of(Fact::Drained, Source::Disk, year_ms, OBSERVATIONS), Confidence::RestrictOnly);
    assert_eq!(
        confidence_of(Fact::Drained, Source::Disk, 0, SUPERSEDED),
        Confidence::Untrusted,
        "a later incarnation may serve again"
    );
    assert_eq!(confidence_of(Fact::MayHaveRun, Source::Peers(1), WINDOW, NONE), Confidence::RestrictOnly);
    assert_eq!(confidence_of(Fact::MayHaveRun, Source::Disk, WINDOW + 1, NONE), Confidence::Untrusted);
    assert_eq!(
        confidence_of(Fact::MayHaveRun, Source::Disk, WINDOW + 1, CLOCK),
        Confidence::Full,
        "its age is unknown if the clock is wrong"
    );
    assert_eq!(confidence_of(Fact::BudgetUsed, Source::Peers(1), 0, NONE), Confidence::RestrictOnly);
    assert_eq!(confidence_of(Fact::Restarted, Source::Peers(2), 0, NONE), Confidence::RestrictOnly);
    assert_eq!(
        confidence_of(Fact::Restarted, Source::Peers(1), 0, NONE),
        Confidence::Untrusted,
        "a single gateway must not be able to put all engines into slow start"
    );
}

#[test]
fn permitting_facts_require_strong_sources() {
    for source in [Source::Disk, Source::Peers(9), Source::NameServer, Source::Store] {
        assert_eq!(confidence_of(Fact::NeverRan, source, 0, NONE), Confidence::Untrusted, "{source:?}");
    }
    assert_eq!(confidence_of(Fact::NeverRan, Source::OwnObservation, 0, NONE), Confidence::Full);
    assert_eq!(confidence_of(Fact::Listed, Source::Peers(9), 0, NONE), Confidence::Untrusted);
    assert_eq!(confidence_of(Fact::Listed, Source::Disk, 0, SUPERSEDED), Confidence::Untrusted);
    assert_eq!(
        confidence_of(Fact::Listed, Source::NameServer, 0, SUPERSEDED),
        Confidence::Untrusted,
        "an older endpoint list"
    );
}

#[test]
fn statistics_decay_as_a_prior() {
    assert_eq!(confidence_of(Fact::Latency, Source::Disk, 0, NONE), Confidence::Prior(1.0));
    assert_eq!(confidence_of(Fact::Latency, Source::Disk, STATS_HALF_LIFE, NONE), Confidence::Prior(0.5));
    assert_eq!(confidence_of(Fact::Latency, Source::Disk, 10 * STATS_HALF_LIFE, NONE), Confidence::Untrusted);
    for contradictions in [SUPERSEDED, CLOCK, OBSERVATIONS] {
        assert_eq!(
            confidence_of(Fact::Latency, Source::Disk, 0, contradictions),
            Confidence::Untrusted,
            "{contradictions:?}"
        );
        assert_eq!(
            confidence_of(Fact::Failing, Source::Disk, 0, contradictions),
            Confidence::Untrusted,
            "{contradictions:?}"
        );
    }
    assert_eq!(confidence_of(Fact::Failing, Source::Disk, FAILURE_TTL, NONE), Confidence::RestrictOnly);
    assert_eq!(confidence_of(Fact::Failing, Source::Disk, FAILURE_TTL + 1, NONE), Confidence::Untrusted);
    assert_eq!(confidence_of(Fact::Failing, Source::Peers(1), 0, NONE), Confidence::Untrusted);
    assert_eq!(confidence_of(Fact::Latency, Source::Peers(1), 0, NONE), Confidence::Untrusted);
}
