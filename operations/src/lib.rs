//! Logic for operating a gateway, without I/O or clocks: the operators' overrides of the endpoint list, the format in which
//! they are stored, and the capacity share of each process during a hot restart.
//!
//! # Example
//!
//! An operator takes an engine out of service; the override is stored, and the next process reads it.
//!
//! ```
//! use reedwalk_operations::{Override, Overrides, ProcessStage, capacity_share, decode_record, encode_record};
//!
//! let mut overrides = Overrides::default();
//! assert_eq!(overrides.set("s-1", Override::Out, 1_700_000_000_000_000), Ok(true));
//! let record = encode_record(&overrides);
//! assert!(decode_record(&record)?.is_out("s-1"));
//!
//! // While both processes accept clients, each has half of the capacity.
//! assert_eq!(capacity_share(ProcessStage::Serving, &[ProcessStage::Serving]).share, 0.5);
//! # Ok::<(), reedwalk_operations::OverrideRecordError>(())
//! ```

mod capacity;
mod override_codec;
mod overrides;

pub use capacity::{CapacityShare, ProcessStage, capacity_share};
pub use override_codec::{MAX_RECORD_BYTES, OverrideRecordError, decode_record, encode_record};
pub use overrides::{MAX_OVERRIDES, Override, Overrides, TimedOverride, TooManyOverrides};

/// Microseconds since the Unix epoch.
pub type Micros = u64;
