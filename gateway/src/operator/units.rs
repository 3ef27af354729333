//! Parsing of durations and sizes with units.

use std::fmt;
use std::time::Duration;

/// A value that can't be parsed; holds a description of the expected format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnitError(&'static str);

impl fmt::Display for UnitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for UnitError {}

/// Parses a whole number followed by a unit; `None` if the unit is unknown or the result overflows.
fn parse_with_unit(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let digits_end = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let (digits, unit) = text.split_at(digits_end);
    let factor = units.iter().find(|entry| entry.0 == unit)?.1;
    digits.parse::<u64>().ok()?.checked_mul(factor)
}

/// Parses a duration such as `250ms`, `60s`, `5m` or `2h`.
///
/// # Errors
/// If the text is not a duration.
pub fn parse_duration(text: &str) -> Result<Duration, UnitError> {
    let units = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];
    let error = UnitError("a duration such as \"250ms\", \"60s\", \"5m\" or \"2h\"");
    parse_with_unit(text, &units).map(Duration::from_millis).ok_or(error)
}

/// Parses a size in bytes such as `512B`, `64KiB`, `8MiB` or `1GiB`.
///
/// # Errors
/// If the text is not a size.
pub fn parse_size(text: &str) -> Result<u64, UnitError> {
    let units = [("B", 1), ("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30)];
    parse_with_unit(text, &units).ok_or(UnitError("a size such as \"512B\", \"64KiB\", \"8MiB\" or \"1GiB\""))
}

#[cfg(test)]
mod tests;
