//! The fronts: the client-facing protocols.

/// Largest accepted estimate of a request's work, in milliseconds: 1000 hours. Both fronts reject larger values.
pub const MAX_WORK_MS: f64 = 3.6e9;
/// Largest accepted estimate of a request's memory, in megabytes: one petabyte. Both fronts reject larger values.
pub const MAX_MEMORY_MB: f64 = 1e9;

pub mod flight;
pub mod mysql;
pub mod sql;

/// Length of a trace id in hexadecimal digits.
const TRACE_ID_DIGITS: usize = 16;

/// Returns whether `text` is a valid trace id, which has the same format in both protocols.
fn is_trace_id(text: &str) -> bool {
    text.len() == TRACE_ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}
