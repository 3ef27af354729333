//! Transports to the engines, and the pool of connections that they share.

pub mod flight;
mod pool;
pub mod resp;

use reedwalk_scheduler::LoadReport;

/// Bytes of one result at most.
pub const MAX_RESULT_BYTES: usize = 48_000;

/// Reads a load report from the text of an answer: `name:value;name:value`.
pub fn read_load(text: &str) -> LoadReport {
    reedwalk_settings::load_report(|name| {
        let found = text.split(';').find_map(|f| f.split_once(':').filter(|f| f.0 == name));
        found.and_then(|f| f.1.parse().ok()).filter(|v: &f64| v.is_finite())
    })
}
