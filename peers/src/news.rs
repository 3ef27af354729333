//! What is said of engines, and what it is worth. Each front end speaks for itself only and passes nothing on, so that
//! so many origins are so many pairs of eyes. One alone moves nothing; an origin that accuses more engines than any
//! front end sets aside by itself is not heard any further; everything fades.

use crate::wire::{Fact, Kind};
use crate::{Millis, PeerId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Independent origins that it takes for an engine to be set aside on hearsay: two that leave it alone themselves, or
/// twice as many that have seen one attempt fail there.
pub const WITNESSES: f64 = 2.0;
/// Origins remembered an engine: a few to spare, so that one that ends leaves no gap.
const REMEMBERED: usize = 8;
/// What speaks against an engine has to be this many times what speaks against all on average: what errs everywhere
/// is in the requests, or in the way to all engines.
const STANDS_OUT: f64 = 1.5;
/// A fact holds for at most so long without being said again.
const LIFE_MOST: Millis = 10_000;
/// What was found is worth telling for so long beyond the time for which its finder leaves the engine alone: the
/// first quarantine is over before many could have heard.
const SPOKEN_FOR: Millis = 3_000;
/// One origin accuses at most this share of the engines; a front end puts away no more by itself.
const ACCUSES: f64 = 0.5;
/// A belief is told again where it has grown by more than this.
const GROWN: Millis = 100;

/// An engine's id as a number (FNV-1a), the same at every front end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EngineKey(pub u64);

impl From<&str> for EngineKey {
    fn from(id: &str) -> Self {
        let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        Self(id.as_bytes().iter().fold(0xcbf2_9ce4_8422_2325, step))
    }
}

#[derive(Clone, Copy, Debug)]
struct Witness {
    peer: PeerId,
    weight: f64,
    until: Millis,
}

#[derive(Clone, Debug, Default)]
struct Said {
    /// Second of the engine's start; a fact of another life of it is of no use.
    started: u32,
    witnesses: Vec<Witness>,
    /// Until when it was last told to be set aside.
    told: Millis,
}

impl Said {
    /// What speaks against the engine, from independent origins.
    fn weight(&self, now: Millis) -> f64 {
        self.witnesses.iter().filter(|w| w.until > now).map(|w| w.weight).sum()
    }

    /// Until when that is enough.
    fn holds_until(&self, now: Millis) -> Millis {
        let mut ends: Vec<_> = self.witnesses.iter().filter(|w| w.until > now).collect();
        ends.sort_unstable_by_key(|w| std::cmp::Reverse(w.until));
        let sum = |weight: &mut f64, w: &&Witness| {
            *weight += w.weight;
            Some((*weight, w.until))
        };
        ends.iter().scan(0.0, sum).find(|s| s.0 >= WITNESSES).map_or(0, |s| s.1)
    }
}

/// An engine that is better set aside for a while, as several others have found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Belief {
    /// Which.
    pub engine: EngineKey,
    /// Until when, if nobody says more.
    pub until: Millis,
}

/// All that was heard of engines, and what this front end has found itself.
#[derive(Clone, Debug, Default)]
pub struct News {
    heard: BTreeMap<EngineKey, Said>,
    own: BTreeMap<EngineKey, (u32, u8, Millis)>,
    /// Where the next datagram's facts begin.
    turn: usize,
}

impl News {
    /// The engines that there are, with the second of their start; what was said of others is forgotten, and so is what
    /// was said of one before its restart.
    pub fn engines(&mut self, listed: &BTreeMap<EngineKey, u32>) {
        let lives = |key: &EngineKey, started: u32| listed.get(key) == Some(&started);
        self.heard.retain(|key, said| lives(key, said.started));
        self.own.retain(|key, own| lives(key, own.0));
        for (key, started) in listed {
            self.heard.entry(*key).or_default().started = *started;
        }
    }

    /// This front end has found by itself that an engine is to be left alone until then, or has seen an attempt fail
    /// there. Is it news to the others?
    pub fn find(&mut self, engine: EngineKey, kind: Kind, until: Millis, now: Millis) -> bool {
        let Some(said) = self.heard.get(&engine) else { return false };
        let before = self.own.get(&engine).filter(|o| o.2 > now);
        let before = before.map_or(0.0, |o| Kind::from(o.1).weight());
        if kind.weight() < before {
            return false;
        }
        self.own.insert(engine, (said.started, kind.into(), until + SPOKEN_FOR));
        kind != Kind::Erred || before == 0.0
    }

    /// Another front end says so, of its own finding. Is it taken?
    pub fn hear(&mut self, peer: PeerId, fact: &Fact, now: Millis) -> bool {
        let weight = Kind::from(fact.kind).weight();
        if weight == 0.0 {
            return false;
        }
        let accused = self
            .heard
            .values()
            .filter(|s| s.witnesses.iter().any(|w| w.peer == peer && w.until > now))
            .count();
        let most = (self.heard.len() as f64 * ACCUSES).max(1.0);
        let Some(said) = self.heard.get_mut(&fact.engine).filter(|s| s.started == fact.started) else {
            return false;
        };
        let until = now + (Millis::from(fact.left) * 10).min(LIFE_MOST);
        if let Some(known) = said.witnesses.iter_mut().find(|w| w.peer == peer && w.until > now) {
            (known.until, known.weight) = (until, weight);
            return true;
        }
        if accused as f64 + 1.0 > most {
            return false;
        }
        said.witnesses.retain(|w| w.until > now && w.peer != peer);
        if said.witnesses.len() >= REMEMBERED {
            // Who knows more takes the place of one who knows less.
            let Some(less) = said.witnesses.iter().position(|w| w.weight < weight) else { return false };
            said.witnesses.swap_remove(less);
        }
        said.witnesses.push(Witness { peer, weight, until });
        true
    }

    /// An origin has ended or begun anew: what it said before does not count any more.
    pub fn forget(&mut self, peer: PeerId) {
        self.heard.values_mut().for_each(|s| s.witnesses.retain(|w| w.peer != peer));
    }

    /// What has become known since the last time: engines that enough others speak against.
    pub fn beliefs(&mut self, now: Millis) -> Vec<Belief> {
        let mut found = Vec::new();
        let all: f64 = self.heard.values().map(|s| s.weight(now)).sum();
        let usual = all / self.heard.len().max(1) as f64;
        for (&engine, said) in &mut self.heard {
            let until = said.holds_until(now);
            let stands_out = said.weight(now) >= STANDS_OUT * usual;
            if stands_out && until > said.told.max(now) + GROWN {
                said.told = until;
                found.push(Belief { engine, until });
            }
        }
        found
    }

    /// Engines that enough others speak against now.
    pub fn believed(&self, now: Millis) -> usize {
        self.heard.values().filter(|s| s.holds_until(now) > now).count()
    }

    /// Has this front end anything to say?
    pub fn has_own(&self, now: Millis) -> bool {
        self.own.values().any(|o| o.2 > now)
    }

    /// At most so many facts of this front end's own, in turn.
    pub fn facts(&mut self, most: usize, now: Millis) -> Vec<Fact> {
        self.own.retain(|_, own| own.2 > now);
        let left = |until: Millis| ((until - now) / 10).min(u64::from(u16::MAX)) as u16;
        let fact = |(engine, own): (&EngineKey, &(u32, u8, Millis))| Fact {
            engine: *engine,
            started: own.0,
            kind: own.1,
            left: left(own.2),
            much: 0,
        };
        let begin = self.turn % self.own.len().max(1);
        self.turn = begin + most;
        self.own.iter().cycle().skip(begin).take(most.min(self.own.len())).map(fact).collect()
    }

    /// Things remembered, for watching that they stay bounded.
    pub fn held(&self) -> usize {
        self.own.len() + self.heard.values().map(|s| 1 + s.witnesses.len()).sum::<usize>()
    }
}

#[cfg(test)]
mod tests;
