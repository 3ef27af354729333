//! The state that a gateway persists for its next process. Its size is bounded by the number of engines and classes
//! and by the keyed requests of one deduplication window; it does not grow over time. The record types are encoded by
//! position, so no field or variant may be reordered, added or removed.

use crate::Millis;
use serde::{Deserialize, Serialize};

/// Maximum number of engines in a snapshot. With names of [`MAX_NAME_BYTES`] they take about 1.2 MB, well below
/// [`MAX_SNAPSHOT_BYTES`](crate::snapshot_codec::MAX_SNAPSHOT_BYTES).
pub const MAX_ENGINES: usize = 4_096;
/// Maximum number of classes in a snapshot.
pub const MAX_CLASSES: usize = 256;
/// Maximum number of keys in a snapshot. Beyond it the oldest key is dropped and a retry of it is rejected as
/// unknown. With a window of 12 s this allows about 1,300 keyed requests per second.
pub const MAX_KEYS: usize = 16_384;
/// Maximum length of an engine id or a class name, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// Upper limit for a stored mean, sample count or slowdown; as a time in microseconds it is over 30 years.
const MAX_STATISTIC: f64 = 1e15;

/// Observations of one incarnation of an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineRecord {
    /// Id of the engine.
    pub id: String,
    /// When the engine started, which identifies the incarnation; 0 if that was long ago.
    pub started: Millis,
    /// Latency as a multiple of the latency of an idle engine; `None` if nothing was observed.
    pub slowdown: Option<f64>,
    /// When the ejection of the engine by this gateway ends; 0 if it was not ejected.
    pub ejected_until: Millis,
}

/// Latency statistics of a class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassRecord {
    /// Name of the class.
    pub name: String,
    /// Mean execution time in microseconds, and the number of samples.
    pub exec: (f64, f64),
    /// Execution time on an idle engine in microseconds.
    pub best: Option<f64>,
    /// Mean work of a query per thread, and the number of samples.
    pub width: (f64, f64),
}

/// Progress of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyProgress {
    /// It was sent to its group and may have run there.
    Sent,
    /// It was served.
    Served,
    /// It ended and is certain not to have run.
    NeverRan,
}

/// The record of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// Hash of the idempotency key.
    pub key: u64,
    /// Progress of the request.
    pub progress: KeyProgress,
    /// The group of engines that deduplicates repeats, if known.
    pub group: Option<u64>,
    /// When the first attempt was sent.
    pub sent: Millis,
}

impl KeyRecord {
    /// Whether an attempt of the request may have run on an engine.
    pub fn may_have_run(&self) -> bool {
        self.progress != KeyProgress::NeverRan
    }
}

/// The full persisted state at one point in time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// When the snapshot was taken.
    pub written: Millis,
    /// Serial of the endpoint list at that time.
    pub serial: Option<u32>,
    /// Number of live gateways at that time, including this one.
    pub live_gateways: u32,
    /// Observations per engine.
    pub engines: Vec<EngineRecord>,
    /// Statistics per class.
    pub classes: Vec<ClassRecord>,
    /// Requests whose keys are inside their windows.
    pub keys: Vec<KeyRecord>,
}

fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}

fn is_valid_statistic(value: f64) -> bool {
    value.is_finite() && (0.0..=MAX_STATISTIC).contains(&value)
}

fn is_valid_mean((mean, samples): (f64, f64)) -> bool {
    is_valid_statistic(mean) && is_valid_statistic(samples)
}

impl EngineRecord {
    fn is_valid(&self) -> bool {
        is_valid_name(&self.id) && self.slowdown.is_none_or(is_valid_statistic)
    }
}

impl ClassRecord {
    fn is_valid(&self) -> bool {
        let has_valid_means = is_valid_mean(self.exec) && is_valid_mean(self.width);
        is_valid_name(&self.name) && has_valid_means && self.best.is_none_or(is_valid_statistic)
    }
}

impl Snapshot {
    /// Drops invalid entries and entries beyond the limits.
    pub fn sanitized(mut self) -> Self {
        self.engines.retain(EngineRecord::is_valid);
        self.classes.retain(ClassRecord::is_valid);
        self.engines.truncate(MAX_ENGINES);
        self.classes.truncate(MAX_CLASSES);
        // Keep the most recent keys: their windows end last.
        self.keys.sort_unstable_by_key(|key| std::cmp::Reverse(key.sent));
        self.keys.truncate(MAX_KEYS);
        self
    }

    /// Merges a key record that was written after the snapshot. If the key is present already, a record that may have run
    /// takes precedence over one that never ran; otherwise the later record wins.
    pub fn merge_key(&mut self, later: KeyRecord) {
        let Some(known) = self.keys.iter_mut().find(|known| known.key == later.key) else {
            self.keys.push(later);
            return;
        };
        // An attempt that never ran must not override an earlier one that may have run.
        if known.may_have_run() && !later.may_have_run() {
            return;
        }
        // The window starts at the first attempt that may have run.
        let sent = if known.may_have_run() { known.sent } else { later.sent };
        *known = KeyRecord { sent, ..later };
    }
}

#[cfg(test)]
mod tests;
