//! State changes that the broker passes to the persistence thread, which writes them to the snapshot folder.

use reedwalk_recovery::snapshot::KeyRecord;
use reedwalk_scheduler::{ClassLatencyStats, EngineObservation};

/// A state change to be persisted.
#[derive(Clone, Debug)]
pub enum PersistedEvent {
    /// A request with an idempotency key is being sent.
    IdempotencyKey(KeyRecord),
    /// The complete state, for a new snapshot.
    Snapshot {
        /// Latency statistics of the classes, in the order of the settings.
        classes: Vec<ClassLatencyStats>,
        /// The observations of each engine.
        engines: Vec<EngineObservation>,
        /// All idempotency keys whose deduplication windows have not ended.
        keys: Vec<KeyRecord>,
    },
}
