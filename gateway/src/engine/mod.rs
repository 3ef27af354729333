//! Transports to the engines, and the connection pool that they are built on.

pub mod flight;
mod pool;
pub mod resp;

use reedwalk_scheduler::LoadReport;

/// Maximum size of one result.
pub const MAX_RESULT_BYTES: usize = 48_000;

/// Parses the load report in an engine's response: `name:value;name:value`.
pub fn parse_load_report(text: &str) -> LoadReport {
    reedwalk_settings::load_report(|name| {
        let field = text.split(';').find_map(|field| field.split_once(':').filter(|field| field.0 == name));
        field.and_then(|field| field.1.parse().ok()).filter(|value: &f64| value.is_finite())
    })
}
