//! What a thing that was kept or is told may be used for. What protects is believed easily and given up late; what permits
//! is believed late; what was learned is a prior that fresh evidence outweighs. One table, in the order of the design note.

use crate::Millis;

/// What is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fact {
    /// The operators have taken an engine out, or called it back.
    Word,
    /// An engine drains or is gone.
    Drains,
    /// An engine has started anew.
    Started,
    /// A keyed request may have run, in this group.
    MayHaveRun,
    /// Nothing of a keyed request can have run.
    NeverRan,
    /// So much of a budget is spent.
    Spent,
    /// There is an engine, at this address.
    Listed,
    /// An engine fails or is silent.
    Fails,
    /// How long queries take, at an engine or of a class.
    Pace,
}

/// Who says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Its own sound record.
    Disk,
    /// So many other front ends, each by itself.
    Peers(usize),
    /// The name server, or the configuration that the deployment writes at the start.
    NameServer,
    /// The shared store.
    Store,
    /// What it has met itself in this life.
    Eyes,
}

/// What speaks against it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Against {
    /// The engine's life is another one now, or the serial is earlier than one that is known.
    pub overtaken: bool,
    /// It is of a time that has not come, or the clock has gone back since.
    pub clock: bool,
    /// Its own fresh evidence says otherwise.
    pub eyes: bool,
}

/// What may be done on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Use {
    /// Nothing.
    Nothing,
    /// It counts as so much of an own sample, until there are own ones.
    Prior(f64),
    /// It may keep from something, never allow anything.
    Protects,
    /// It may be acted on in full.
    Holds,
}

/// Peers that it takes where one alone could be wrong or lying.
const SEVERAL: usize = 2;
/// For so long a kept finding that an engine fails is worth leaving it alone.
const FAILS_FOR: Millis = 10_000;
/// For so long a kept pace is worth half of what it was, and so on.
const PACE_HALVES: Millis = 600_000;
/// Below this a prior is worth nothing.
const PRIOR_LEAST: f64 = 0.05;

/// What a fact from a source, so old, is worth. `window` is how long engines drop repeats.
pub fn worth(fact: Fact, source: Source, age: Millis, window: Millis, against: Against) -> Use {
    let several = |n: usize| n >= SEVERAL;
    match (fact, source) {
        // The operators' word stands above all else until it is called back.
        (Fact::Word, Source::Disk | Source::Eyes) => Use::Holds,
        (Fact::Word, _) => Use::Protects,
        // A drain is never taken back but by a later life of the engine or a later list.
        (Fact::Drains, _) if against.overtaken => Use::Nothing,
        (Fact::Drains, Source::NameServer | Source::Eyes) => Use::Holds,
        (Fact::Drains, _) => Use::Protects,
        // A start may protect a warm engine for nothing; it never lets one go early.
        (Fact::Started, Source::NameServer | Source::Eyes) => Use::Holds,
        (Fact::Started, Source::Peers(n)) if !several(n) => Use::Nothing,
        (Fact::Started, _) if against.clock || against.overtaken => Use::Nothing,
        (Fact::Started, _) => Use::Protects,
        // Inside its window a key is bound by whoever knows; a clock that is wrong makes it last, not end.
        (Fact::MayHaveRun, _) if age > window && !against.clock => Use::Nothing,
        (Fact::MayHaveRun, Source::Eyes | Source::Disk | Source::Store) => Use::Holds,
        (Fact::MayHaveRun, Source::Peers(_) | Source::NameServer) => Use::Protects,
        // That nothing ran permits a repeat elsewhere: only who was there can say so.
        (Fact::NeverRan, Source::Eyes) => Use::Holds,
        (Fact::NeverRan, _) => Use::Nothing,
        (Fact::Spent, Source::Disk | Source::Store | Source::Eyes) => Use::Holds,
        (Fact::Spent, _) => Use::Protects,
        // To be on a list of one's own memory is not enough to be sent to once the name server has spoken.
        (Fact::Listed, Source::NameServer) if !against.overtaken => Use::Holds,
        (Fact::Listed, Source::Disk) if !against.overtaken && !against.eyes => Use::Prior(1.0),
        (Fact::Listed, _) => Use::Nothing,
        (Fact::Fails | Fact::Pace, _) if against.overtaken || against.eyes => Use::Nothing,
        (Fact::Fails | Fact::Pace, Source::Eyes) => Use::Holds,
        (Fact::Fails | Fact::Pace, _) if against.clock => Use::Nothing,
        (Fact::Fails, Source::Peers(n)) if several(n) && age <= FAILS_FOR => Use::Protects,
        (Fact::Fails, Source::Disk) if age <= FAILS_FOR => Use::Protects,
        (Fact::Fails, _) => Use::Nothing,
        (Fact::Pace, Source::Peers(n)) if !several(n) => Use::Nothing,
        (Fact::Pace, _) => match 0.5f64.powf(age as f64 / PACE_HALVES as f64) {
            weight if weight >= PRIOR_LEAST => Use::Prior(weight),
            _ => Use::Nothing,
        },
    }
}

#[cfg(test)]
mod tests;
