//! Crash recovery of a gateway: the format of its persisted state, how far restored facts can be trusted given their
//! source and age, and what the gateway may do in each start-up phase. The crate does no I/O of its own and reads no
//! clock: files are accessed through [`snapshot_store::SnapshotFiles`], and callers pass the current Unix time in
//! milliseconds.
//!
//! # Example
//!
//! A retry of a key that was sent before the restart must go to the same group of engines. A retry with an unknown key is
//! rejected until the windows of all keys of the previous process have ended.
//!
//! ```
//! use reedwalk_recovery::idempotency_keys::{KeyRules, KeyVerdict, KnownKeys};
//! use reedwalk_recovery::snapshot::{KeyProgress, KeyRecord};
//! use reedwalk_recovery::startup_phases::{StartupPhases, StartupSetup};
//!
//! let (started, window) = (1_700_000_000_000, 12_000);
//! let stored = KeyRecord { key: 7, progress: KeyProgress::Sent, group: Some(3), sent: started - 2_000 };
//! let mut keys = KnownKeys::new(&[stored], window, started);
//! let setup = StartupSetup { started, window, has_peers: false, has_name_server: false };
//! let phases = StartupPhases::new(setup);
//!
//! let rules = KeyRules { single_group: false, window };
//! let now = started + 500;
//! assert_eq!(keys.on_request(7, rules, true, &phases, now), KeyVerdict::Repeat { group: 3, age: 2_500 });
//! assert_eq!(keys.on_request(8, rules, true, &phases, now), KeyVerdict::NotBefore(started + window));
//! ```

pub mod idempotency_keys;
pub mod snapshot;
pub mod snapshot_codec;
pub mod snapshot_store;
pub mod startup_phases;
pub mod trust;
pub mod write_ahead_log;

/// A Unix timestamp or a duration, in milliseconds.
pub type Millis = u64;
