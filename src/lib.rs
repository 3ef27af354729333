//! Scheduling decisions of a *gateway*: an admission controller for queries to a pool of database engines.
//!
//! The crate performs no I/O and reads no clock. A controller passes [`Event`]s to a [`Scheduler`] and
//! executes the returned [`Action`]s; the same settings, seed and events always produce the same actions.
//!
//! ```
//! use reedwalk_scheduler::*;
//! use std::time::Duration;
//!
//! let class = ClassSettings::new(Duration::from_millis(300), Duration::from_millis(1500));
//! let settings = Settings::new(vec![class], vec![KindSettings { cores: 16, memory_mb: 32768.0 }]);
//! let mut scheduler = Scheduler::new(settings, 7).expect("valid settings");
//!
//! let engine = EngineEntry::new(EngineId(1));
//! let events = [
//!     Event::Endpoints { scope: EndpointScope::Complete, entries: vec![engine] },
//!     Event::Arrival(Arrival::new(RequestId(1), ClassId(0), Duration::from_millis(1500))),
//! ];
//! let mut actions = Vec::new();
//! scheduler.step(Time(0), &events, &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { request: RequestId(1), .. })));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod interface;
mod policy;
mod scheduler;
mod state;
mod time;
mod validation;

pub use interface::*;
pub use scheduler::Scheduler;
