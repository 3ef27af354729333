//! gRPC metadata that both sides of Arrow Flight SQL use: requests of clients to the front, and of the front to
//! its engines. Pure functions.

use std::time::Duration;
use tonic::metadata::MetadataMap;

/// The class, named as in the settings.
pub const CLASS: &str = "reedwalk-class";
/// The request's id: 16 hexadecimal digits, new with every try.
pub const TRACE: &str = "reedwalk-trace";
/// Idempotency key; the same for all tries of one request.
pub const KEY: &str = "reedwalk-key";
/// `1` marks a client's retry.
pub const RETRY: &str = "reedwalk-retry";
/// The team whose contract covers the request.
pub const TEAM: &str = "reedwalk-team";
/// Work in milliseconds on one core: an estimate in a request, what it was in an answer.
pub const WORK: &str = "reedwalk-work-ms";
/// Memory in MB: an estimate in a client's request, the grant in one to an engine, the need in an answer.
pub const MEMORY: &str = "reedwalk-memory-mb";
/// Priority, 0 to 3, in a request to an engine.
pub const PRIORITY: &str = "reedwalk-priority";
/// An engine's load in its answer, as `util:0.61;queue:2;x1:0.2;x0:0.7`.
pub const LOAD: &str = "reedwalk-load";
/// How long the caller waits, by the gRPC protocol.
pub const TIMEOUT: &str = "grpc-timeout";

/// A value as text, if it is there and is text.
pub fn text<'a>(metadata: &'a MetadataMap, name: &str) -> Option<&'a str> {
    metadata.get(name).and_then(|v| v.to_str().ok())
}

/// A value as a number of zero or more. The inner error says that it is there and is none.
pub fn number(metadata: &MetadataMap, name: &str) -> Option<Result<f64, ()>> {
    let parse = |v: &str| v.parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0).ok_or(());
    metadata.get(name).map(|v| v.to_str().map_err(|_| ()).and_then(parse))
}

/// Reads a `grpc-timeout`: at most eight digits and a unit.
pub fn timeout(text: &str) -> Option<Duration> {
    let (digits, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    if digits.is_empty() || digits.len() > 8 || !digits.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    let n = digits.parse().ok()?;
    Some(match unit {
        "H" => Duration::from_secs(n * 3600),
        "M" => Duration::from_secs(n * 60),
        "S" => Duration::from_secs(n),
        "m" => Duration::from_millis(n),
        "u" => Duration::from_micros(n),
        "n" => Duration::from_nanos(n),
        _ => return None,
    })
}
