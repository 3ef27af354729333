//! The fronts: the protocols that clients connect with.

/// Estimates beyond these are none, on either front: a thousand hours of work in milliseconds, and a petabyte of
/// memory in megabytes.
pub const MAX_WORK_MS: f64 = 3.6e9;
/// See [`MAX_WORK_MS`].
pub const MAX_MEMORY_MB: f64 = 1e9;

pub mod flight;
pub mod mysql;
pub mod sql;

/// Hexadecimal digits of a trace id.
const TRACE_ID_DIGITS: usize = 16;

/// Whether a text is a request's id, as both protocols have it.
fn is_trace_id(text: &str) -> bool {
    text.len() == TRACE_ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}
