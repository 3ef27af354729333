//! Keys and parsing of the gRPC metadata that Arrow Flight SQL requests use between clients and the front, and between
//! the gateway and its engines.

use std::time::Duration;
use tonic::metadata::MetadataMap;

/// Class name, as in the settings.
pub const CLASS: &str = "reedwalk-class";
/// Trace id: 16 hexadecimal digits, different for every attempt.
pub const TRACE: &str = "reedwalk-trace";
/// Idempotency key, the same for all attempts of a request.
pub const KEY: &str = "reedwalk-key";
/// `1` if the client retries an earlier request.
pub const RETRY: &str = "reedwalk-retry";
/// The team whose contract covers the request.
pub const TEAM: &str = "reedwalk-team";
/// Work in milliseconds on one core: the estimate in a request, the measured value in a response.
pub const WORK: &str = "reedwalk-work-ms";
/// Memory in MB: the estimate in a client's request, the grant in a request to an engine, the actual need in a response.
pub const MEMORY: &str = "reedwalk-memory-mb";
/// Priority from 0 to 3, in a request to an engine.
pub const PRIORITY: &str = "reedwalk-priority";
/// Load of an engine in its response, such as `util:0.61;queue:2;x1:0.2;x0:0.7`.
pub const LOAD: &str = "reedwalk-load";
/// Timeout of a call, as defined by gRPC.
pub const TIMEOUT: &str = "grpc-timeout";

/// Returns a value as text, or `None` if it is missing or not ASCII text.
pub fn text<'a>(metadata: &'a MetadataMap, name: &str) -> Option<&'a str> {
    metadata.get(name).and_then(|v| v.to_str().ok())
}

/// Returns a value as a finite number of at least 0, `None` if it is missing, or an error if it is invalid.
pub fn number(metadata: &MetadataMap, name: &str) -> Option<Result<f64, ()>> {
    let parse = |v: &str| v.parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0).ok_or(());
    metadata.get(name).map(|v| v.to_str().map_err(|_| ()).and_then(parse))
}

/// Parses a `grpc-timeout` value: at most eight digits and a unit.
pub fn parse_timeout(text: &str) -> Option<Duration> {
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
