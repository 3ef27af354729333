//! What the broker writes to the snapshot folder, by way of the persistence thread.

use reedwalk_core::{ClassPace, Look};
use reedwalk_recovery::memory::KeyMemory;

/// A change to be persisted.
#[derive(Clone, Debug)]
pub enum PersistedEvent {
    /// A request with an idempotency key is being sent.
    IdempotencyKey(KeyMemory),
    /// Everything learned so far, for a new snapshot.
    Snapshot {
        /// Latency statistics of the classes, in the order of the settings.
        classes: Vec<ClassPace>,
        /// What was observed of each engine.
        engines: Vec<Look>,
        /// All idempotency keys inside their windows.
        keys: Vec<KeyMemory>,
    },
}
