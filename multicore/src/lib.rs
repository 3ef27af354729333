//! What a gateway on several cores shares between its threads, and decides about them: which thread takes a connection,
//! when an engine takes nothing new any more, and which thread has stalled.
//!
//! There is no I/O here and no clock: instants are microseconds since an epoch that the caller defines, one for all
//! threads. What several threads access at once is atomic and is checked with loom (`--features loom`).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod drain_fence;
mod load_table;
mod placement;
mod stall_detector;
mod sync;

pub use drain_fence::{DrainFence, DrainFences, EngineStanding};
pub use load_table::{ConnectionLoad, LoadTable};
pub use placement::{MAX_CORES, shares};
pub use stall_detector::{Change, StallDetector};

/// An instant, in microseconds since the caller's epoch.
pub type Micros = u64;
