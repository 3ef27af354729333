//! Decisions of a gateway that recovers from a restart: what it had persisted, what each fact is worth by its source and
//! age, and what it may do in which start-up phase. No I/O and no clock: bytes come and go through
//! [`snapshot_store::SnapshotFiles`], and every call is told the time, in milliseconds of the Unix clock.

pub mod idempotency_keys;
pub mod snapshot;
pub mod snapshot_codec;
pub mod snapshot_store;
pub mod startup_phases;
pub mod trust;
pub mod write_ahead_log;

/// Milliseconds of the Unix clock.
pub type Millis = u64;
