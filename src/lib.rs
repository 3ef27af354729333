//! Decisions of an admission controller (a *gateway*) for queries on a pool of database engines.
//!
//! The crate does no I/O and reads no clock. A controller feeds [`Event`]s to a [`Gateway`] and carries
//! out the [`Action`]s that come back; the same settings, seed and events always give the same actions.
//!
//! ```
//! use reedwalk_core::*;
//! use std::time::Duration;
//!
//! let class = ClassSettings::new(Duration::from_millis(300), Duration::from_millis(1500));
//! let settings = Settings::new(vec![class], vec![KindSettings { cores: 16, memory_mb: 32768.0 }]);
//! let mut gateway = Gateway::new(settings, 7).expect("sound settings");
//!
//! let engine = EngineEntry::new(EngineId(1));
//! let events = [
//!     Event::Engines { scope: ListScope::Whole, entries: vec![engine] },
//!     Event::Arrival(Arrival::new(RequestId(1), ClassId(0), Duration::from_millis(1500))),
//! ];
//! let mut actions = Vec::new();
//! gateway.step(Time(0), &events, &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { request: RequestId(1), .. })));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod checks;
pub mod interface;
mod mean;
mod memory;
pub mod policy;
mod state;

pub use interface::*;
pub use policy::Gateway;
