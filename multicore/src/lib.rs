//! State and decisions shared by the threads of a multi-core gateway: on which core a connection is placed, from when an
//! engine accepts no new attempts, and which core has stalled.
//!
//! This package does no I/O and reads no clock: instants are microseconds since an epoch that the caller defines, the same
//! for all threads. Values that several threads access are atomic and are model-checked with loom (`--features loom`).
//!
//! # Example
//!
//! Core 0 runs the broker and gets fewer connections. A core without a recent heartbeat is reported once.
//!
//! ```
//! use reedwalk_multicore::{CoreEvent, StallDetector, connection_shares};
//!
//! let shares = connection_shares(3);
//! assert!(shares[0] < shares[1] && shares[1] == shares[2]);
//!
//! let mut detector = StallDetector::new(2, 500_000);
//! assert_eq!(detector.check(0, [(0, false), (0, false)]), []);
//! assert_eq!(detector.check(200_000, [(200_000, false), (0, false)]), []);
//! assert_eq!(detector.check(400_000, [(400_000, false), (0, false)]), []);
//! let events = detector.check(600_000, [(600_000, false), (0, false)]);
//! assert_eq!(events, [CoreEvent::Stalled(1, 600_000)]);
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod drain_fence;
mod load_table;
mod placement;
mod stall_detector;
mod sync;

pub use drain_fence::{DrainFence, DrainFences, DrainState};
pub use load_table::{ConnectionGuard, LoadTable};
pub use placement::{MAX_CORES, connection_shares};
pub use stall_detector::{CoreEvent, StallDetector};

/// An instant, in microseconds since the caller's epoch.
pub type Micros = u64;
