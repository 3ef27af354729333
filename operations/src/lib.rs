//! Decisions of day-to-day operation, without I/O or clocks: the operators' overrides of the endpoint list and their
//! record on disk, and the capacity share of each process in a hot restart.

mod capacity;
mod override_codec;
mod overrides;

pub use capacity::{CapacityShare, ProcessStage, capacity_share};
pub use override_codec::{MAX_RECORD_BYTES, OverrideRecordError, read, write};
pub use overrides::{MAX_OVERRIDES, Override, Overrides, TimedOverride, TooManyOverrides};

/// Microseconds of the Unix clock.
pub type Micros = u64;
