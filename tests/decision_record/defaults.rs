//! Default settings and traffic of the streams.

use crate::scenario::{ClassTraffic, Scenario};
use reedwalk_scheduler::*;
use std::time::Duration;

pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Engines in two zones, of two kinds, in three cells.
pub fn engines(count: u32) -> Vec<EngineEntry> {
    let entry = |id: u32| EngineEntry {
        zone: Some(ZoneId(id as usize % 2)),
        kind: Some(KindId(id as usize / 2 % 2)),
        cell: Some(CellId(u64::from(id) % 3)),
        ..EngineEntry::new(EngineId(id))
    };
    (0..count).map(entry).collect()
}

pub fn settings(classes: Vec<ClassSettings>) -> Settings {
    let kinds =
        vec![KindSettings { cores: 16, memory_mb: 32768.0 }, KindSettings { cores: 8, memory_mb: 16384.0 }];
    let mut settings = Settings::new(classes, kinds);
    settings.gateways = 4;
    settings.ordinal = 1;
    settings.zone = Some(ZoneId(0));
    settings.tenants = [40.0, 80.0, 10.0].map(|quota_per_s| TenantSettings { quota_per_s }).to_vec();
    settings.limits.cancel = true;
    settings.limits.max_retry_after = Some(ms(700));
    settings.rules.order_settle = ms(150);
    settings.over_quota_weight = 0.5;
    settings
}

/// A quick class, a class on four threads, and a long class whose late answers have some value.
pub fn three_classes() -> Vec<ClassSettings> {
    let quick = ClassSettings { priority_weight: 2.0, ..ClassSettings::new(ms(120), ms(1500)) };
    let wide = ClassSettings {
        priority_weight: 6.0,
        threads: 4,
        late_weight: 0.2,
        ..ClassSettings::new(ms(400), ms(3000))
    };
    let long = ClassSettings {
        priority_weight: 10.0,
        threads: 2,
        late_weight: 0.6,
        objective_stretch: 2.0,
        ..ClassSettings::new(ms(1500), seconds(8))
    };
    vec![quick, wide, long]
}

/// Traffic of the three classes. At a factor of 1 the pool is lightly loaded.
pub fn traffic_of_three_classes(factor: f64) -> Vec<ClassTraffic> {
    vec![
        ClassTraffic { reports_usage: true, ..ClassTraffic::new(70.0 * factor, ms(30)) },
        ClassTraffic {
            has_estimates: true,
            reports_usage: true,
            ..ClassTraffic::new(20.0 * factor, ms(400))
        },
        ClassTraffic { streams: 0.3, disconnects: 0.05, ..ClassTraffic::new(6.0 * factor, ms(900)) },
    ]
}

pub fn scenario(name: &'static str, seed: u64, settings: Settings, traffic: Vec<ClassTraffic>) -> Scenario {
    Scenario {
        name,
        seed,
        settings,
        traffic,
        engines: engines(8),
        disturbances: Vec::new(),
        burst_factor: 1.5,
        other_threads: 4.0,
        load_reports: false,
        duration: seconds(75),
        restored_stats: Vec::new(),
    }
}
