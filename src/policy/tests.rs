//! Fixtures for the policy tests: settings, engines and requests of a small pool.

use super::gateway_counts::GatewayCounts;
use crate::interface::{
    Arrival, ClassId, ClassSettings, EngineEntry, EngineId, KindSettings, RequestId, Settings,
};
use crate::state::{EngineDefaults, EngineRecord, EngineTable, RequestRecord};
use crate::time::{TimeSpan, Timestamp};
use std::time::Duration;

/// A short class with one thread and a wide class with four, on engines with 16 cores.
pub(crate) fn settings() -> Settings {
    let short = ClassSettings::new(Duration::from_millis(300), Duration::from_millis(3000));
    let wide = ClassSettings {
        priority_weight: 10.0,
        threads: 4,
        ..ClassSettings::new(Duration::from_millis(3000), Duration::from_millis(15000))
    };
    Settings::new(vec![short, wide], vec![KindSettings { cores: 16, memory_mb: 32768.0 }])
}

/// A time this many milliseconds after a start that differs from the zero of the clock.
pub(crate) fn at_ms(millis: i64) -> Timestamp {
    Timestamp::ZERO + TimeSpan::from_millis(1_000_000 + millis)
}

/// Engines in service, with ids from 0 and 16 cores each.
pub(crate) fn engines(count: u32) -> EngineTable {
    let gateways = GatewayCounts::new(1);
    let defaults = EngineDefaults { classes: 2, gateways: &gateways, now: at_ms(0) };
    let mut engines = EngineTable::default();
    for id in 0..count {
        engines.update(&EngineEntry::new(EngineId(id)), 16.0, &defaults);
    }
    engines
}

/// An engine in service with 16 cores.
pub(crate) fn engine() -> EngineRecord {
    let gateways = GatewayCounts::new(1);
    let defaults = EngineDefaults { classes: 2, gateways: &gateways, now: at_ms(0) };
    EngineRecord::new(EngineEntry::new(EngineId(0)), 16.0, &defaults)
}

/// A request that arrives at 0 ms, with a deadline at 3000 ms and a dispatch target at 200 ms.
pub(crate) fn request(id: u64, class: usize) -> RequestRecord {
    let arrival = Arrival::new(RequestId(id), ClassId(class), Duration::from_millis(3000));
    RequestRecord::new(arrival, at_ms(0), at_ms(3000), at_ms(200))
}
