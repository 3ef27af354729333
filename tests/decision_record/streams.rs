//! The streams of the record: each turns to other decisions of the scheduler.

use crate::defaults::{engines, ms, scenario, seconds, settings, three_classes, three_loads};
use crate::scenario::{ClassLoad, Disturbance, Fault, Scenario};
use reedwalk_scheduler::*;

/// Little goes wrong; the bounds rise and fall with the bursts.
pub fn ordinary_traffic() -> Scenario {
    let mut settings = settings(three_classes());
    settings.engine.grants = true;
    settings.engine.priorities = true;
    let stats = ClassLatencyStats {
        execution_time: SampledMean { mean: 21_000.0, samples: 40.0 },
        work_per_thread: SampledMean { mean: 19_000.0, samples: 3.0 },
    };
    Scenario {
        disturbances: vec![
            (Disturbance::HealthCheck, seconds(5)),
            (Disturbance::EngineFault(Fault::Slow(3.0), seconds(4)), seconds(8)),
            (Disturbance::SlowdownByGossip, ms(700)),
            (Disturbance::UnknownIds, seconds(4)),
        ],
        restored_stats: vec![Some(stats), None],
        load_reports: true,
        ..scenario("ordinary_traffic", 11, settings, three_loads(1.0))
    }
}

/// More than the pool bears: bounds are cut and load is shed.
pub fn overload() -> Scenario {
    let mut settings = settings(three_classes());
    settings.engine.priorities = true;
    settings.limits.max_attempts = 4;
    settings.rules.retry_budget = Some(RetryBudget { free_retries: 1.0, ratio: 0.01, window: seconds(2) });
    let mut load = three_loads(1.6);
    load[0].has_estimates = true;
    load[2].has_estimates = true;
    Scenario {
        burst_factor: 3.0,
        other_threads: 10.0,
        disturbances: vec![
            (Disturbance::EngineFault(Fault::Rejects, ms(400)), seconds(2)),
            (Disturbance::EngineFault(Fault::Slow(4.0), seconds(3)), seconds(6)),
            (Disturbance::LiveGateways, seconds(6)),
            (Disturbance::CapacityShare, seconds(9)),
            (Disturbance::Restart, seconds(9)),
            (Disturbance::OwnStall(ms(600)), seconds(9)),
        ],
        duration: seconds(60),
        ..scenario("overload", 12, settings, load)
    }
}

/// Engines that err, reject, refuse connections and break them.
pub fn failing_engines() -> Scenario {
    let mut settings = settings(three_classes());
    settings.limits.max_attempts = 4;
    settings.rules.retry_budget = Some(RetryBudget { free_retries: 4.0, ratio: 0.1, window: seconds(3) });
    let mut load = three_loads(1.0);
    load[0].faulty_queries = 0.01;
    Scenario {
        disturbances: vec![
            (Disturbance::EngineFault(Fault::Errors(0.4), seconds(4)), seconds(3)),
            (Disturbance::EngineFault(Fault::Errors(0.2), seconds(9)), seconds(7)),
            (Disturbance::EngineFault(Fault::Resets, seconds(3)), seconds(7)),
            (Disturbance::EngineFault(Fault::RefusesConnections, seconds(2)), seconds(6)),
            (Disturbance::EngineFault(Fault::Rejects, ms(300)), seconds(3)),
            (Disturbance::EjectionByGossip, seconds(2)),
            (Disturbance::CapacityShare, seconds(12)),
        ],
        ..scenario("failing_engines", 13, settings, load)
    }
}

/// Engines that take queries and answer nothing, with progress reports and without.
pub fn silent_engines() -> Scenario {
    let quick = ClassSettings::new(ms(60), ms(1500));
    let mut settings = settings([vec![quick], three_classes()].concat());
    settings.limits.max_attempts = 3;
    let mut load = vec![ClassLoad { reports_usage: true, ..ClassLoad::new(120.0, ms(12)) }];
    load.extend(three_loads(0.5));
    Scenario {
        disturbances: vec![
            (Disturbance::EngineFault(Fault::Silent, ms(1500)), seconds(3)),
            (Disturbance::EngineFault(Fault::Silent, ms(150)), seconds(2)),
            (Disturbance::OwnStall(ms(800)), seconds(8)),
            (Disturbance::EjectionByGossip, seconds(4)),
        ],
        ..scenario("silent_engines", 14, settings, load)
    }
}

/// Engines restart one by one and several at once.
pub fn slow_starts() -> Scenario {
    let mut settings = settings(three_classes());
    settings.gateways = 2;
    settings.rules.slow_start_from = 0.1;
    settings.rules.slow_start_duration = seconds(15);
    Scenario {
        disturbances: vec![
            (Disturbance::Restart, seconds(4)),
            (Disturbance::RestartSeenByGossip, seconds(5)),
            (Disturbance::EngineFault(Fault::RefusesConnections, ms(800)), seconds(9)),
            (Disturbance::LiveGateways, seconds(12)),
            (Disturbance::CapacityShare, seconds(12)),
        ],
        ..scenario("slow_starts", 15, settings, three_loads(0.8))
    }
}

/// One of very many gateways: a bound is below a query's threads, and slow starts go by chance.
pub fn many_gateways() -> Scenario {
    let mut settings = settings(three_classes());
    settings.gateways = 48;
    settings.ordinal = 17;
    settings.rules.slow_start_duration = seconds(20);
    let load = vec![
        ClassLoad { reports_usage: true, ..ClassLoad::new(60.0, ms(25)) },
        ClassLoad { reports_usage: true, ..ClassLoad::new(14.0, ms(300)) },
        ClassLoad::new(4.0, seconds(3)),
    ];
    Scenario {
        engines: engines(14),
        other_threads: 20.0,
        burst_factor: 2.5,
        load_reports: true,
        disturbances: vec![
            (Disturbance::Restart, seconds(3)),
            (Disturbance::RestartSeenByGossip, seconds(4)),
            (Disturbance::LiveGateways, seconds(5)),
            (Disturbance::SlowdownByGossip, ms(300)),
            (Disturbance::EjectionByGossip, seconds(2)),
            (Disturbance::EngineFault(Fault::Rejects, ms(500)), seconds(3)),
        ],
        duration: seconds(250),
        ..scenario("many_gateways", 16, settings, load)
    }
}

/// Retries of what may have run: idempotency keys of each scope, and requests with none.
pub fn idempotency_keys() -> Scenario {
    let scopes = [
        Idempotency::Keyed { scope: DeduplicationScope::All, window: ms(1200) },
        Idempotency::Keyed { scope: DeduplicationScope::Zone, window: seconds(4) },
        Idempotency::Keyed { scope: DeduplicationScope::Cell, window: ms(2500) },
        Idempotency::NonIdempotent,
    ];
    let class = |idempotency| ClassSettings { idempotency, ..ClassSettings::new(ms(200), seconds(3)) };
    let mut classes: Vec<_> = scopes.map(class).to_vec();
    classes[1].zones = Some(vec![ZoneId(1)]);
    classes[2].kinds = Some(vec![KindId(0)]);
    let mut settings = settings(classes);
    settings.limits.max_attempts = 5;
    settings.engine.progress_interval = Some(ms(80));
    let load = ClassLoad {
        prior_attempts: 0.012,
        bound_to_group: 0.3,
        reports_usage: true,
        ..ClassLoad::new(35.0, ms(60))
    };
    let mut engines = engines(9);
    (engines[7].zone, engines[8].cell) = (None, None);
    Scenario {
        engines,
        disturbances: vec![
            (Disturbance::EngineFault(Fault::Errors(0.5), seconds(3)), seconds(4)),
            (Disturbance::EngineFault(Fault::Resets, seconds(2)), seconds(5)),
            (Disturbance::EngineFault(Fault::Silent, seconds(1)), seconds(4)),
            (Disturbance::EngineFault(Fault::RefusesConnections, ms(500)), seconds(9)),
            (Disturbance::EngineFault(Fault::Rejects, ms(300)), seconds(3)),
            (Disturbance::RemoveAndReturn, seconds(8)),
            (Disturbance::Restart, seconds(10)),
        ],
        ..scenario("idempotency_keys", 17, settings, vec![load; 4])
    }
}

/// Ordering keys, bulk loads that lock their tables, and those that wait for them.
pub fn ordering_and_loads() -> Scenario {
    let ordered = ClassSettings {
        in_order: true,
        idempotency: Idempotency::Keyed { scope: DeduplicationScope::All, window: seconds(2) },
        ..ClassSettings::new(ms(150), seconds(2))
    };
    let bulk_load =
        ClassSettings { is_load: true, threads: 4, ..ClassSettings::new(seconds(3), seconds(12)) };
    let report = ClassSettings {
        waits_for_loads: true,
        priority_weight: 3.0,
        ..ClassSettings::new(ms(250), seconds(4))
    };
    let mut settings = settings(vec![ordered, bulk_load, report]);
    settings.engine.priorities = true;
    settings.engine.grants = true;
    settings.engine.progress_interval = Some(ms(100));
    let load = vec![
        ClassLoad { ordering_keys: 12, disconnects: 0.03, ..ClassLoad::new(45.0, ms(35)) },
        ClassLoad { table_groups: 2, reports_usage: true, ..ClassLoad::new(3.5, seconds(4)) },
        ClassLoad {
            table_groups: 4,
            reports_usage: true,
            has_estimates: true,
            ..ClassLoad::new(40.0, ms(80))
        },
    ];
    Scenario {
        engines: engines(4),
        disturbances: vec![
            (Disturbance::EngineFault(Fault::Resets, seconds(1)), seconds(5)),
            (Disturbance::EngineFault(Fault::Silent, seconds(1)), seconds(7)),
            (Disturbance::EngineFault(Fault::Slow(3.0), seconds(3)), seconds(9)),
        ],
        ..scenario("ordering_and_loads", 18, settings, load)
    }
}

/// Queries that run far longer than their class: in one class a retry helps, in the others it often does not.
pub fn bad_plans() -> Scenario {
    let class = |deadline| ClassSettings { threads: 2, ..ClassSettings::new(ms(300), deadline) };
    let mut settings = settings(vec![class(seconds(3)), class(seconds(3)), class(ms(700))]);
    settings.limits.max_attempts = 6;
    settings.engine.progress_interval = Some(ms(50));
    settings.engine.grants = true;
    let load = |persist| ClassLoad {
        bad_plans: 0.06,
        bad_plans_persist: persist,
        reports_usage: persist == 0.0,
        has_estimates: persist == 0.0,
        ..ClassLoad::new(35.0, ms(140))
    };
    Scenario {
        disturbances: vec![
            (Disturbance::EngineFault(Fault::Silent, ms(600)), seconds(4)),
            (Disturbance::EngineFault(Fault::Slow(5.0), seconds(2)), seconds(5)),
            (Disturbance::OwnStall(ms(700)), seconds(6)),
        ],
        ..scenario("bad_plans", 19, settings, vec![load(0.0), load(0.55), load(0.6)])
    }
}

/// The endpoint list comes by subscription, breaks, comes again in full and in changes.
pub fn endpoint_list_changes() -> Scenario {
    let mut classes = three_classes();
    classes[0].zones = Some(vec![ZoneId(0)]);
    classes[1].kinds = Some(vec![KindId(1)]);
    let mut settings = settings(classes);
    settings.discovery = Discovery::Subscribed;
    Scenario {
        engines: engines(12),
        disturbances: vec![
            (Disturbance::ListReloaded, seconds(2)),
            (Disturbance::ListCached, seconds(9)),
            (Disturbance::ListFailed, seconds(2)),
            (Disturbance::DrainAndReturn, seconds(2)),
            (Disturbance::RemoveAndReturn, seconds(4)),
            (Disturbance::RestartSeenByGossip, seconds(9)),
            (Disturbance::UnknownIds, seconds(3)),
        ],
        ..scenario("endpoint_list_changes", 20, settings, three_loads(0.9))
    }
}

/// Thin traffic in many classes: connections go idle, and the pool's means decide.
pub fn sparse_traffic() -> Scenario {
    let mut settings = settings([three_classes(), three_classes()].concat());
    settings.gateways = 8;
    settings.engine.idle_timeout = Some(ms(900));
    let load = [three_loads(0.12), three_loads(0.08)].concat();
    Scenario {
        engines: engines(24),
        other_threads: 7.0,
        load_reports: true,
        disturbances: vec![
            (Disturbance::SlowdownByGossip, ms(200)),
            (Disturbance::EngineFault(Fault::Errors(0.7), seconds(20)), seconds(8)),
            (Disturbance::EngineFault(Fault::Slow(6.0), seconds(10)), seconds(9)),
            (Disturbance::EngineFault(Fault::Silent, seconds(5)), seconds(15)),
            (Disturbance::EjectionByGossip, seconds(4)),
            (Disturbance::Restart, seconds(4)),
        ],
        duration: seconds(280),
        ..scenario("sparse_traffic", 21, settings, load)
    }
}

/// Nothing may be cancelled: what is abandoned runs on at the lowest priority.
pub fn no_cancellation() -> Scenario {
    let mut settings = settings(three_classes());
    settings.limits.cancel = false;
    settings.limits.max_retry_after = None;
    settings.engine.priorities = true;
    settings.engine.progress_interval = Some(ms(90));
    let mut load = three_loads(1.2);
    load.iter_mut().for_each(|load| load.disconnects = 0.08);
    load[1].bad_plans = 0.1;
    Scenario {
        burst_factor: 2.5,
        disturbances: vec![
            (Disturbance::EngineFault(Fault::Silent, seconds(2)), seconds(3)),
            (Disturbance::EngineFault(Fault::Slow(6.0), seconds(3)), seconds(6)),
            (Disturbance::Restart, seconds(15)),
            (Disturbance::OwnStall(ms(500)), seconds(10)),
        ],
        ..scenario("no_cancellation", 22, settings, load)
    }
}

/// Most requests end in an error at any engine: few answers show latencies, and engines' load reports decide.
pub fn faulty_requests() -> Scenario {
    let class = ClassSettings { late_weight: 1.0, ..ClassSettings::new(ms(150), seconds(2)) };
    let mut settings = settings(vec![class]);
    settings.gateways = 48;
    let load = ClassLoad { faulty_queries: 0.94, ..ClassLoad::new(24.0, ms(120)) };
    Scenario {
        other_threads: 9.0,
        load_reports: true,
        disturbances: vec![
            (Disturbance::EngineFault(Fault::Slow(3.0), seconds(4)), seconds(5)),
            (Disturbance::ListReloaded, seconds(9)),
        ],
        duration: seconds(160),
        ..scenario("faulty_requests", 23, settings, vec![load])
    }
}
