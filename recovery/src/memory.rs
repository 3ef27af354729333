//! What a front end keeps for the process after it. All of it is bounded by the engines and classes that there are and
//! by what can be open inside a key's window; nothing grows with time.

use crate::Millis;
use serde::{Deserialize, Serialize};

/// Engines kept at most.
pub const ENGINES_MOST: usize = 4_096;
/// Classes kept at most.
pub const CLASSES_MOST: usize = 256;
/// Keys kept at most; beyond them the oldest goes, and its retry is refused for want of knowledge.
pub const KEYS_MOST: usize = 16_384;
/// Bytes of an id or a name at most.
pub const NAME_MOST: usize = 256;

/// What was learned of an engine in one life of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineMemory {
    /// Its id.
    pub id: String,
    /// Which life of it; 0 for long ago.
    pub started: Millis,
    /// How many times as long as at ease a query took there; none where nothing was seen.
    pub slowdown: Option<f64>,
    /// Until when it was left alone, by this front end's own finding.
    pub away_until: Millis,
}

/// What was learned of a class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassMemory {
    /// Its name.
    pub name: String,
    /// Mean time of execution in microseconds, and how many samples that rests on.
    pub exec: (f64, f64),
    /// The same at its best.
    pub best: Option<f64>,
    /// Work over threads, and its samples.
    pub width: (f64, f64),
}

/// How far a keyed request had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reached {
    /// It goes to its group, and may run there from now on.
    Sent,
    /// It was served.
    Served,
    /// It ended, and nothing of it can have run.
    NeverRan,
}

/// A keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyMemory {
    /// Its key, as a number.
    pub key: u64,
    /// How far it has come.
    pub reached: Reached,
    /// The group of engines that drop its repeats, where that is told.
    pub group: Option<u64>,
    /// When its first attempt was sent.
    pub sent: Millis,
}

/// All that is kept at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Memory {
    /// When.
    pub written: Millis,
    /// Serial of the list then.
    pub serial: Option<u32>,
    /// Front ends that lived then, this one included.
    pub living: u32,
    /// Engines.
    pub engines: Vec<EngineMemory>,
    /// Classes.
    pub classes: Vec<ClassMemory>,
    /// Keyed requests inside their windows.
    pub keys: Vec<KeyMemory>,
}

fn sound(value: f64) -> bool {
    value.is_finite() && (0.0..=1e15).contains(&value)
}

impl Memory {
    /// Only what makes sense stays, and no more of it than may be kept.
    pub fn checked(mut self) -> Self {
        let name = |n: &str| !n.is_empty() && n.len() <= NAME_MOST;
        self.engines.retain(|e| name(&e.id) && e.slowdown.is_none_or(sound));
        let pair = |p: (f64, f64)| sound(p.0) && sound(p.1);
        self.classes.retain(|c| name(&c.name) && pair(c.exec) && pair(c.width) && c.best.is_none_or(sound));
        self.engines.truncate(ENGINES_MOST);
        self.classes.truncate(CLASSES_MOST);
        // The youngest are those that count longest.
        self.keys.sort_unstable_by_key(|k| std::cmp::Reverse(k.sent));
        self.keys.truncate(KEYS_MOST);
        self
    }

    /// Takes in what was written after it: of a key the word that binds most holds, and a later one of the same.
    pub fn add(&mut self, later: KeyMemory) {
        match self.keys.iter_mut().find(|k| k.key == later.key) {
            None => self.keys.push(later),
            Some(known) => {
                // What may have run is not taken back by a later try that did not.
                let binds = |k: &KeyMemory| !matches!(k.reached, Reached::NeverRan);
                if binds(&later) || !binds(known) {
                    let sent = if binds(known) { known.sent } else { later.sent };
                    *known = KeyMemory { sent, ..later };
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
