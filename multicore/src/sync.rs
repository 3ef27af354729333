//! The atomic types of this package: those of the standard library, or loom's in model checks.

#[cfg(feature = "loom")]
pub use loom::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
};
#[cfg(not(feature = "loom"))]
pub use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
};
