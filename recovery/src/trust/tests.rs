//! What is worth how much after how long.

use super::*;

const WINDOW: Millis = 12_000;
const NONE: Against = Against { overtaken: false, clock: false, eyes: false };
const OVERTAKEN: Against = Against { overtaken: true, ..NONE };
const CLOCK: Against = Against { clock: true, ..NONE };
const EYES: Against = Against { eyes: true, ..NONE };

fn of(fact: Fact, source: Source, age: Millis, against: Against) -> Use {
    worth(fact, source, age, WINDOW, against)
}

#[test]
fn what_protects_is_believed_easily_and_given_up_late() {
    let year = 365 * 24 * 3_600_000;
    assert_eq!(of(Fact::Word, Source::Disk, year, CLOCK), Use::Holds);
    assert_eq!(of(Fact::Word, Source::Peers(1), 0, EYES), Use::Protects);
    assert_eq!(of(Fact::Drains, Source::Disk, year, EYES), Use::Protects);
    assert_eq!(of(Fact::Drains, Source::Disk, 0, OVERTAKEN), Use::Nothing, "it serves again");
    assert_eq!(of(Fact::MayHaveRun, Source::Peers(1), WINDOW, NONE), Use::Protects);
    assert_eq!(of(Fact::MayHaveRun, Source::Disk, WINDOW + 1, NONE), Use::Nothing);
    assert_eq!(of(Fact::MayHaveRun, Source::Disk, WINDOW + 1, CLOCK), Use::Holds, "who knows how old it is");
    assert_eq!(of(Fact::Spent, Source::Peers(1), 0, NONE), Use::Protects);
    assert_eq!(of(Fact::Started, Source::Peers(2), 0, NONE), Use::Protects);
    assert_eq!(of(Fact::Started, Source::Peers(1), 0, NONE), Use::Nothing, "one could make all cold");
}

#[test]
fn what_permits_is_believed_late() {
    for source in [Source::Disk, Source::Peers(9), Source::NameServer, Source::Store] {
        assert_eq!(of(Fact::NeverRan, source, 0, NONE), Use::Nothing, "{source:?}");
    }
    assert_eq!(of(Fact::NeverRan, Source::Eyes, 0, NONE), Use::Holds);
    assert_eq!(of(Fact::Listed, Source::Peers(9), 0, NONE), Use::Nothing);
    assert_eq!(of(Fact::Listed, Source::Disk, 0, OVERTAKEN), Use::Nothing);
    assert_eq!(of(Fact::Listed, Source::NameServer, 0, OVERTAKEN), Use::Nothing, "an older list");
}

#[test]
fn what_was_learned_is_a_prior_that_fades_and_gives_way() {
    assert_eq!(of(Fact::Pace, Source::Disk, 0, NONE), Use::Prior(1.0));
    assert_eq!(of(Fact::Pace, Source::Disk, PACE_HALVES, NONE), Use::Prior(0.5));
    assert_eq!(of(Fact::Pace, Source::Disk, 10 * PACE_HALVES, NONE), Use::Nothing);
    for against in [OVERTAKEN, CLOCK, EYES] {
        assert_eq!(of(Fact::Pace, Source::Disk, 0, against), Use::Nothing, "{against:?}");
        assert_eq!(of(Fact::Fails, Source::Disk, 0, against), Use::Nothing, "{against:?}");
    }
    assert_eq!(of(Fact::Fails, Source::Disk, FAILS_FOR, NONE), Use::Protects);
    assert_eq!(of(Fact::Fails, Source::Disk, FAILS_FOR + 1, NONE), Use::Nothing);
    assert_eq!(of(Fact::Fails, Source::Peers(1), 0, NONE), Use::Nothing);
    assert_eq!(of(Fact::Pace, Source::Peers(1), 0, NONE), Use::Nothing);
}
