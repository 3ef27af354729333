//! What a keyed request may do by what is known of its key: from the life before, and from this one. Where its first try
//! went it may go again; a retry of which nothing is known is turned away until no engine can have forgotten what this
//! front end may have sent before it started.

use crate::Millis;
use crate::memory::{KEYS_MOST, KeyMemory, Reached};
use crate::stages::{May, Return};
use crate::trust::{Against, Fact, Source, Use, worth};
use std::collections::{BTreeMap, VecDeque};

/// How the engines drop repeats of a class's keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Keyed {
    /// All engines are one group.
    pub all: bool,
    /// For how long.
    pub window: Millis,
}

/// What a keyed request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Go on as a first try.
    First,
    /// Go on as a repeat of one that was sent to this group so long ago.
    Again {
        /// Group; 0 where all engines are one.
        group: u64,
        /// How long ago, at most.
        ago: Millis,
    },
    /// Come back then: until then it is not known where it may go.
    NotBefore(Millis),
}

/// The keys that are known.
#[derive(Clone, Debug, Default)]
pub struct Keys {
    known: BTreeMap<u64, KeyMemory>,
    /// In the order in which they were learned, for what goes first.
    order: VecDeque<u64>,
    /// The longest window of any class.
    window: Millis,
}

impl Keys {
    /// What is left of the life before. Of a time that has not come yet, it counts from now on: a clock that is wrong
    /// makes a key's window last, not end.
    pub fn new(kept: &[KeyMemory], window: Millis, now: Millis) -> Self {
        let mut keys = Self { window, ..Self::default() };
        let mut kept: Vec<_> = kept.iter().copied().filter(|k| k.reached != Reached::NeverRan).collect();
        kept.sort_unstable_by_key(|k| k.sent);
        for key in kept {
            let against = Against { clock: key.sent > now, ..Against::default() };
            let age = now.saturating_sub(key.sent);
            if worth(Fact::MayHaveRun, Source::Disk, age, window, against) == Use::Holds {
                keys.learn(KeyMemory { sent: key.sent.min(now), ..key });
            }
        }
        keys
    }

    fn learn(&mut self, key: KeyMemory) {
        if self.known.insert(key.key, key).is_none() {
            self.order.push_back(key.key);
        }
        if self.order.len() > KEYS_MOST {
            let oldest = self.order.pop_front();
            oldest.into_iter().for_each(|k| _ = self.known.remove(&k));
        }
    }

    fn expire(&mut self, now: Millis) {
        while let Some(first) = self.order.front() {
            if self.known.get(first).is_some_and(|k| now <= k.sent + self.window) {
                return;
            }
            let first = *first;
            self.known.remove(&first);
            self.order.pop_front();
        }
    }

    /// A keyed request comes in, marked as a retry or not.
    pub fn arrive(&mut self, key: u64, keyed: Keyed, marked: bool, back: &Return, now: Millis) -> Step {
        self.expire(now);
        let known = self.known.get(&key).filter(|k| now <= k.sent + keyed.window);
        match (known, keyed.all) {
            (Some(known), true) => Step::Again { group: 0, ago: now.saturating_sub(known.sent) },
            (Some(KeyMemory { group: Some(group), sent, .. }), false) => {
                Step::Again { group: *group, ago: now.saturating_sub(*sent) }
            }
            (Some(known), false) => Step::NotBefore(known.sent + keyed.window + 1),
            (None, false) if marked => match back.admits_unknown_retry() {
                May::Go => Step::First,
                May::NotBefore(when) => Step::NotBefore(when),
            },
            (None, _) => Step::First,
        }
    }

    /// An attempt is about to be sent to this group; what is to be written down, if that is new.
    pub fn send(&mut self, key: u64, group: Option<u64>, now: Millis) -> Option<KeyMemory> {
        self.expire(now);
        // The first attempt binds, and its time is the window's beginning.
        if self.known.contains_key(&key) {
            return None;
        }
        let key = KeyMemory { key, reached: Reached::Sent, group, sent: now };
        self.learn(key);
        Some(key)
    }

    /// All inside their windows.
    pub fn all(&mut self, now: Millis) -> Vec<KeyMemory> {
        self.expire(now);
        self.order.iter().filter_map(|k| self.known.get(k)).copied().collect()
    }
}

#[cfg(test)]
mod tests;
