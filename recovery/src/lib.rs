//! A front end that comes back: what it had kept, what each thing is worth by its source and its age, and what it may do
//! when. It makes no input or output and reads no clock: bytes come and go through [`keep::Files`], and every call is
//! told the time, in milliseconds of the Unix clock.

pub mod keep;
pub mod keys;
pub mod log;
pub mod memory;
pub mod record;
pub mod stages;
pub mod trust;

/// Milliseconds of the Unix clock.
pub type Millis = u64;
