//! How engines look to those who have no reason to leave them alone: since when one is cold, how slow one is, how much of
//! it each uses. None of it takes an engine away from anybody. A later start than our list knows protects that engine, so
//! it is believed of a few; that one is slow breaks ties, and only for who has not looked itself; what others use is a
//! figure. As with findings, each speaks of what it knows by itself and nobody passes anything on.

use crate::wire::{Fact, Kind};
use crate::{EngineKey, Millis, PeerId};
use std::collections::BTreeMap;

/// Independent origins that it takes.
pub const VIEWERS: usize = 2;
/// Origins remembered an engine and kind; the oldest makes room.
const REMEMBERED: usize = 8;
/// How long a view holds.
const HOLDS: Millis = 3_000;
/// Only what looks so many times as slow as is usual is told: nobody is to be drawn to where all are drawn.
const STANDS_OUT: f64 = 1.5;
/// What is told is in steps of this.
const STEP: f64 = 1.0 / 16.0;
/// A start is news for so long: by then every list has it.
const NEW_FOR: Millis = 20_000;
/// Of at most this share of the engines a later start is believed than the list says.
const RESTARTED_MOST: f64 = 0.5;
/// So often at most it is said how slow an engine looks.
const SAY_EVERY: Millis = 1_000;
/// One in so many facts may be what an engine is usually used for, whatever else there is to say.
const USUAL: usize = 4;
/// A start may be ahead of our own clock by this.
const AHEAD: Millis = crate::alive::AHEAD;

/// How an engine looks to this front end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Seen {
    /// Which.
    pub engine: EngineKey,
    /// How many times as long as at ease a query takes there; none where nothing was seen lately.
    pub slowdown: Option<f64>,
    /// Threads of its own queries there, a mean.
    pub threads: f64,
}

/// What others' views come to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum View {
    /// The engine started anew at this second, which our list does not know yet.
    Restarted(EngineKey, u32),
    /// A query takes so many times as long there as at ease.
    Slow(EngineKey, f64),
}

#[derive(Clone, Copy, Debug)]
struct Word {
    peer: PeerId,
    /// Steps, or the second of a start.
    much: u32,
    until: Millis,
}

/// The latest words of a few origins.
#[derive(Clone, Debug, Default)]
struct Words(Vec<Word>);

impl Words {
    fn take(&mut self, word: Word, now: Millis) {
        self.0.retain(|w| w.peer != word.peer && w.until > now);
        if self.0.len() >= REMEMBERED {
            let oldest = (0..self.0.len()).min_by_key(|n| self.0[*n].until);
            oldest.into_iter().for_each(|n| _ = self.0.swap_remove(n));
        }
        self.0.push(word);
    }

    /// What holds now, in rising order; none where too few say anything.
    fn hold(&self, now: Millis) -> Option<Vec<u32>> {
        let mut much: Vec<_> = self.0.iter().filter(|w| w.until > now).map(|w| w.much).collect();
        much.sort_unstable();
        (much.len() >= VIEWERS).then_some(much)
    }
}

#[derive(Clone, Debug, Default)]
struct Known {
    /// Second of its start, as our list says.
    started: u32,
    /// Until when that is worth telling.
    new_until: Millis,
    starts: Words,
    /// The latest start that was believed beyond the list, and until when that is counted.
    believed: (u32, Millis),
    slow: Words,
    slow_said: Millis,
    uses: Words,
}

/// All views of engines: others' and this front end's own.
#[derive(Clone, Debug, Default)]
pub struct Views {
    known: BTreeMap<EngineKey, Known>,
    /// What this front end sees: kind, steps.
    own: Vec<(EngineKey, Kind, u8)>,
    own_until: Millis,
    /// Times that facts were asked for: each begins where the one before ended.
    turn: usize,
}

fn steps(much: f64) -> u8 {
    (much / STEP).round().clamp(0.0, 255.0) as u8
}

impl Views {
    /// The engines that there are, with the second of their start (0: long ago).
    pub fn engines(&mut self, listed: &BTreeMap<EngineKey, u32>, now: Millis) {
        self.known.retain(|key, known| listed.get(key) == Some(&known.started));
        for (key, &started) in listed {
            let new =
                || Known { started, new_until: Millis::from(started) * 1000 + NEW_FOR, ..Known::default() };
            self.known.entry(*key).or_insert_with(new);
        }
        // A start of a time to come is not ours to tell.
        let ahead = |known: &mut Known| Millis::from(known.started) * 1000 > now + AHEAD;
        self.known.values_mut().filter_map(|k| ahead(k).then_some(k)).for_each(|k| k.new_until = 0);
    }

    /// How engines look to this front end now.
    pub fn see(&mut self, seen: &[Seen], now: Millis) {
        let slow: Vec<_> = seen.iter().filter_map(|s| s.slowdown).collect();
        let usual = slow.iter().sum::<f64>() / slow.len().max(1) as f64;
        let stands_out = |s: &Seen| s.slowdown.filter(|s| *s >= STANDS_OUT * usual.max(1.0));
        self.own.clear();
        for one in seen {
            self.own.extend(stands_out(one).map(|s| (one.engine, Kind::Slow, steps(s))));
            self.own.extend(Some(steps(one.threads)).filter(|s| *s > 0).map(|s| (one.engine, Kind::Uses, s)));
        }
        self.own_until = now + HOLDS;
    }

    /// Another front end says so, of what it sees itself.
    pub fn hear(&mut self, peer: PeerId, fact: &Fact, now: Millis) {
        let Some(known) = self.known.get_mut(&fact.engine) else { return };
        let until = now + (Millis::from(fact.left) * 10).min(HOLDS);
        let word = Word { peer, much: fact.much.into(), until };
        match Kind::from(fact.kind) {
            Kind::Slow if fact.started == known.started => known.slow.take(word, now),
            Kind::Uses if fact.started == known.started => known.uses.take(word, now),
            Kind::Cold if fact.started > known.started => {
                let at = Millis::from(fact.started) * 1000;
                if at <= now + AHEAD && at + NEW_FOR > now {
                    known.starts.take(Word { much: fact.started, until: at + NEW_FOR, ..word }, now);
                }
            }
            _ => {}
        }
    }

    /// An origin has begun anew: what it saw before does not count any more.
    pub fn forget(&mut self, peer: PeerId) {
        for known in self.known.values_mut() {
            for words in [&mut known.starts, &mut known.slow, &mut known.uses] {
                words.0.retain(|w| w.peer != peer);
            }
        }
    }

    /// What has become known since the last time.
    pub fn views(&mut self, now: Millis) -> Vec<View> {
        let most = (self.known.len() as f64 * RESTARTED_MOST).max(1.0);
        let mut restarted = self.known.values().filter(|k| k.believed.1 > now).count();
        let mut found = Vec::new();
        for (&engine, known) in &mut self.known {
            // Of several starts the one that enough say, or a later one: nobody moves it by himself.
            let start = known.starts.hold(now).map(|s| s[s.len() - VIEWERS]);
            if let Some(start) = start.filter(|s| *s > known.believed.0) {
                let anew = known.believed.1 <= now;
                if !anew || restarted as f64 + 1.0 <= most {
                    restarted += usize::from(anew);
                    known.believed = (start, Millis::from(start) * 1000 + NEW_FOR);
                    found.push(View::Restarted(engine, start));
                }
            }
            if now < known.slow_said + SAY_EVERY {
                continue;
            }
            // The lower of the two in the middle.
            if let Some(slow) = known.slow.hold(now) {
                known.slow_said = now;
                found.push(View::Slow(engine, f64::from(slow[(slow.len() - 1) / 2]) * STEP));
            }
        }
        found
    }

    /// Threads that the others use at an engine, by what a few of them say: their mean for each of so many.
    pub fn used(&self, engine: EngineKey, others: usize, now: Millis) -> Option<f64> {
        let words = self.known.get(&engine)?.uses.hold(now)?;
        Some(words.iter().sum::<u32>() as f64 * STEP / words.len() as f64 * others as f64)
    }

    /// Is there more to tell than what is usual?
    pub fn has_news(&self, now: Millis) -> bool {
        let slow = self.own_until > now && self.own.iter().any(|o| o.1 == Kind::Slow);
        slow || self.known.values().any(|k| k.new_until > now)
    }

    /// At most so many facts of this front end's own, in turn.
    pub fn facts(&mut self, most: usize, now: Millis) -> Vec<Fact> {
        let fact = |engine, kind: Kind, much, until: Millis| Fact {
            engine,
            started: self.known.get(&engine).map_or(0, |k| k.started),
            kind: kind.into(),
            left: ((until - now) / 10).min(u64::from(u16::MAX)) as u16,
            much,
        };
        let new = self.known.iter().filter(|k| k.1.new_until > now);
        let cold = new.map(|(engine, known)| fact(*engine, Kind::Cold, 0, known.new_until));
        let listed = self.own.iter().filter(|o| self.own_until > now && self.known.contains_key(&o.0));
        let (slow, uses): (Vec<_>, Vec<_>) = listed.partition(|o| o.1 == Kind::Slow);
        let own = |o: &&(EngineKey, Kind, u8)| fact(o.0, o.1, o.2, self.own_until);
        // News first, as long as a little room is left for what is usual.
        let first: Vec<_> = cold.chain(slow.iter().map(own)).collect();
        let uses: Vec<_> = uses.iter().map(own).collect();
        let lead = first.len().min(most - most / USUAL);
        let rest = (most - lead).min(uses.len());
        let turn = self.turn;
        self.turn += 1;
        let from = |of: Vec<Fact>, count: usize| {
            let begin = (turn * count) % of.len().max(1);
            (0..count).map(move |n| of[(begin + n) % of.len()])
        };
        from(first, lead).chain(from(uses, rest)).collect()
    }

    /// Things remembered, for watching that they stay bounded.
    pub fn held(&self) -> usize {
        let words = |k: &Known| 1 + k.starts.0.len() + k.slow.0.len() + k.uses.0.len();
        self.own.len() + self.known.values().map(words).sum::<usize>()
    }
}

#[cfg(test)]
mod tests;
