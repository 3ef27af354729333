//! Fronts: where clients connect.

/// Estimates beyond these are none, on either front: a thousand hours of work in milliseconds, and a petabyte of
/// memory in megabytes.
pub const WORK_MOST: f64 = 3.6e9;
/// See [`WORK_MOST`].
pub const MEMORY_MOST: f64 = 1e9;

pub mod flight;
pub mod mysql;
