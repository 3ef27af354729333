//! What a gateway persists for the process after it. Its size is bounded by the number of engines and classes and by the
//! requests of one key window; it does not grow with time.

use crate::Millis;
use serde::{Deserialize, Serialize};

/// Engines in a snapshot at most.
pub const MAX_ENGINES: usize = 4_096;
/// Classes in a snapshot at most.
pub const MAX_CLASSES: usize = 256;
/// Keys in a snapshot at most; beyond them the oldest is dropped, and its retry is rejected as unknown.
pub const MAX_KEYS: usize = 16_384;
/// Bytes of an id or a name at most.
pub const MAX_NAME_BYTES: usize = 256;

/// What was learned of one incarnation of an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineRecord {
    /// Its id.
    pub id: String,
    /// When it started, which tells its incarnations apart; 0 for long ago.
    pub started: Millis,
    /// Latency there as a multiple of that of an idle engine; `None` where nothing was observed.
    pub slowdown: Option<f64>,
    /// Until when this gateway had ejected it.
    pub ejected_until: Millis,
}

/// What was learned of a class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassRecord {
    /// Its name.
    pub name: String,
    /// Mean execution time in microseconds, and its number of samples.
    pub exec: (f64, f64),
    /// Execution time on an idle engine in microseconds.
    pub best: Option<f64>,
    /// Mean threads that a query uses, and its number of samples.
    pub width: (f64, f64),
}

/// How far a request with an idempotency key has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyProgress {
    /// It is sent to its group, and may run there from now on.
    Sent,
    /// It was served.
    Served,
    /// It ended, and surely never ran.
    NeverRan,
}

/// A request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// Its key, as a number.
    pub key: u64,
    /// How far it has come.
    pub progress: KeyProgress,
    /// The group of engines that deduplicate its repeats, where that is known.
    pub group: Option<u64>,
    /// When its first attempt was sent.
    pub sent: Millis,
}

/// All that is persisted at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// When it was written.
    pub written: Millis,
    /// Serial of the endpoint list then.
    pub serial: Option<u32>,
    /// Live gateways then, this one included.
    pub live_gateways: u32,
    /// Engines.
    pub engines: Vec<EngineRecord>,
    /// Classes.
    pub classes: Vec<ClassRecord>,
    /// Requests with keys that are inside their windows.
    pub keys: Vec<KeyRecord>,
}

fn is_valid(value: f64) -> bool {
    value.is_finite() && (0.0..=1e15).contains(&value)
}

impl Snapshot {
    /// Drops entries that are not valid, and those beyond the limits.
    pub fn sanitized(mut self) -> Self {
        let is_name = |n: &str| !n.is_empty() && n.len() <= MAX_NAME_BYTES;
        self.engines.retain(|e| is_name(&e.id) && e.slowdown.is_none_or(is_valid));
        let pair = |p: (f64, f64)| is_valid(p.0) && is_valid(p.1);
        self.classes
            .retain(|c| is_name(&c.name) && pair(c.exec) && pair(c.width) && c.best.is_none_or(is_valid));
        self.engines.truncate(MAX_ENGINES);
        self.classes.truncate(MAX_CLASSES);
        // The latest are those whose windows end last.
        self.keys.sort_unstable_by_key(|k| std::cmp::Reverse(k.sent));
        self.keys.truncate(MAX_KEYS);
        self
    }

    /// Adds a record that was written after the snapshot. Of two records of a key, one that may have run takes precedence
    /// over one that never ran, and else the later one.
    pub fn add(&mut self, later: KeyRecord) {
        match self.keys.iter_mut().find(|k| k.key == later.key) {
            None => self.keys.push(later),
            Some(known) => {
                // A later attempt that never ran does not undo an earlier one that may have run.
                let may_have_run = |k: &KeyRecord| !matches!(k.progress, KeyProgress::NeverRan);
                if may_have_run(&later) || !may_have_run(known) {
                    let sent = if may_have_run(known) { known.sent } else { later.sent };
                    *known = KeyRecord { sent, ..later };
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
