//! The streams of the record. Each covers different decisions of the scheduler.

use crate::defaults::{engines, ms, scenario, seconds, settings, three_classes, traffic_of_three_classes};
use crate::scenario::{ClassTraffic, Disturbance, Fault, Scenario};
use reedwalk_scheduler::*;

/// Few faults; concurrency limits rise and fall with the bursts.
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
        ..scenario("ordinary_traffic", 11, settings, traffic_of_three_classes(1.0))
    }
}

/// More traffic than the pool can serve: concurrency limits fall and requests are shed.
pub fn overload() -> Scenario {
    let mut settings = settings(three_classes());
    settings.engine.priorities = true;
    settings.limits.max_attempts = 4;
    settings.rules.retry_budget = Some(RetryBudget { free_retries: 1.0, ratio: 0.01, window: seconds(2) });
    let mut traffic = traffic_of_three_classes(1.6);
    traffic[0].has_estimates = true;
    traffic[2].has_estimates = true;
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
        ..scenario("overload", 12, settings, traffic)
    }
}

/// Engines that return errors, reject queries, refuse connections and reset them.
pub fn failing_engines() -> Scenario {
    let mut settings = settings(three_classes());
    settings.limits.max_attempts = 4;
    settings.rules.retry_budget = Some(RetryBudget { free_retries: 4.0, ratio: 0.1, window: seconds(3) });
    let mut traffic = traffic_of_three_classes(1.0);
    traffic[0].faulty_queries = 0.01;
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
        ..scenario("failing_engines", 13, settings, traffic)
    }
}

/// Engines that accept queries and never answer.
pub fn silent_engines() -> Scenario {
    let quick = ClassSettings::new(ms(60), ms(1500));
    let mut settings = settings([vec![quick], three_classes()].concat());
    settings.limits.max_attempts = 3;
    let mut traffic = vec![ClassTraffic { reports_usage: true, ..ClassTraffic::new(120.0, ms(12)) }];
    traffic.extend(traffic_of_three_classes(0.5));
    Scenario {
        disturbances: vec![
            (Disturbance::EngineFault(Fault::Silent, ms(1500)), seconds(3)),
            (Disturbance::EngineFault(Fault::Silent, ms(150)), seconds(2)),
            (Disturbance::OwnStall(ms(800)), seconds(8)),
            (Disturbance::EjectionByGossip, seconds(4)),
        ],
        ..scenario("silent_engines", 14, settings, traffic)
    }
}

/// Engines restart one at a time and several together.
pub fn slow_starts() -> Scenario {
    let mut settings = settings(three_classes());
    settings.gateways = 2;
    settings.rules.slow_start_from = 0.1;
    settings.rules.slow_start_duration = seconds(15);
    Scenario {
        disturbances: vec![
            (Disturbance::Restart, seconds(4)),
            (Disturbance::RestartReportedByGossip, seconds(5)),
            (Disturbance::EngineFault(Fault::RefusesConnections, ms(800)), seconds(9)),
            (Disturbance::LiveGateways, seconds(12)),
            (Disturbance::CapacityShare, seconds(12)),
        ],
        ..scenario("slow_starts", 15, settings, traffic_of_three_classes(0.8))
    }
}

/// One of many gateways: its limit is below the threads of one query, and sends to an engine in slow start are decided
/// at random.
pub fn many_gateways() -> Scenario {
    let mut settings = settings(three_classes());
    settings.gateways = 48;
    settings.ordinal = 17;
    settings.rules.slow_start_duration = seconds(20);
    let traffic = vec![
        ClassTraffic { reports_usage: true, ..ClassTraffic::new(60.0, ms(25)) },
        ClassTraffic { reports_usage: true, ..ClassTraffic::new(14.0, ms(300)) },
        ClassTraffic::new(4.0, seconds(3)),
    ];
    Scenario {
        engines: engines(14),
        other_threads: 20.0,
        burst_factor: 2.5,
        load_reports: true,
        disturbances: vec![
            (Disturbance::Restart, seconds(3)),
            (Disturbance::RestartReportedByGossip, seconds(4)),
            (Disturbance::LiveGateways, seconds(5)),
            (Disturbance::SlowdownByGossip, ms(300)),
            (Disturbance::EjectionByGossip, seconds(2)),
            (Disturbance::EngineFault(Fault::Rejects, ms(500)), seconds(3)),
        ],
        duration: seconds(250),
        ..scenario("many_gateways", 16, settings, traffic)
    }
}

/// Retries of requests that may have run: idempotency keys of each scope, and non-idempotent requests.
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
    let traffic = ClassTraffic {
        prior_attempts: 0.012,
        bound_to_group: 0.3,
        reports_usage: true,
        ..ClassTraffic::new(35.0, ms(60))
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
        ..scenario("idempotency_keys", 17, settings, vec![traffic; 4])
    }
}

/// Ordering keys, bulk loads that lock their tables, and queries that wait for bulk loads.
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
    let traffic = vec![
        ClassTraffic { ordering_keys: 12, disconnects: 0.03, ..ClassTraffic::new(45.0, ms(35)) },
        ClassTraffic { table_groups: 2, reports_usage: true, ..ClassTraffic::new(3.5, seconds(4)) },
        ClassTraffic {
            table_groups: 4,
            reports_usage: true,
            has_estimates: true,
            ..ClassTraffic::new(40.0, ms(80))
        },
    ];
    Scenario {
        engines: engines(4),
        disturbances: vec![
            (Disturbance::EngineFault(Fault::Resets, seconds(1)), seconds(5)),
            (Disturbance::EngineFault(Fault::Silent, seconds(1)), seconds(7)),
            (Disturbance::EngineFault(Fault::Slow(3.0), seconds(3)), seconds(9)),
        ],
        ..scenario("ordering_and_loads", 18, settings, traffic)
    }
}

/// Queries with bad plans, far slower than their class: a retry helps in one class and often fails to in the others.
pub fn bad_plans() -> Scenario {
    let class = |deadline| ClassSettings { threads: 2, ..ClassSettings::new(ms(300), deadline) };
    let mut settings = settings(vec![class(seconds(3)), class(seconds(3)), class(ms(700))]);
    settings.limits.max_attempts = 6;
    settings.engine.progress_interval = Some(ms(50));
    settings.engine.grants = true;
    let traffic = |persist| ClassTraffic {
        bad_plans: 0.06,
        bad_plans_persist: persist,
        reports_usage: persist == 0.0,
        has_estimates: persist == 0.0,
        ..ClassTraffic::new(35.0, ms(140))
    };
    Scenario {
        disturbances: vec![
            (Disturbance::EngineFault(Fault::Silent, ms(600)), seconds(4)),
            (Disturbance::EngineFault(Fault::Slow(5.0), seconds(2)), seconds(5)),
            (Disturbance::OwnStall(ms(700)), seconds(6)),
        ],
        ..scenario("bad_plans", 19, settings, vec![traffic(0.0), traffic(0.55), traffic(0.6)])
    }
}

/// The endpoint list comes by subscription, fails, and is sent again in full and as changes.
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
            (Disturbance::RestartReportedByGossip, seconds(9)),
            (Disturbance::UnknownIds, seconds(3)),
        ],
        ..scenario("endpoint_list_changes", 20, settings, traffic_of_three_classes(0.9))
    }
}

/// Sparse traffic in many classes: connections become idle, and decisions rest on means over the pool.
pub fn sparse_traffic() -> Scenario {
    let mut settings = settings([three_classes(), three_classes()].concat());
    settings.gateways = 8;
    settings.engine.idle_timeout = Some(ms(900));
    let traffic = [traffic_of_three_classes(0.12), traffic_of_three_classes(0.08)].concat();
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
        ..scenario("sparse_traffic", 21, settings, traffic)
    }
}

/// Cancellation is not allowed: abandoned attempts continue at the lowest priority.
pub fn no_cancellation() -> Scenario {
    let mut settings = settings(three_classes());
    settings.limits.cancel = false;
    settings.limits.max_retry_after = None;
    settings.engine.priorities = true;
    settings.engine.progress_interval = Some(ms(90));
    let mut traffic = traffic_of_three_classes(1.2);
    traffic.iter_mut().for_each(|traffic| traffic.disconnects = 0.08);
    traffic[1].bad_plans = 0.1;
    Scenario {
        burst_factor: 2.5,
        disturbances: vec![
            (Disturbance::EngineFault(Fault::Silent, seconds(2)), seconds(3)),
            (Disturbance::EngineFault(Fault::Slow(6.0), seconds(3)), seconds(6)),
            (Disturbance::Restart, seconds(15)),
            (Disturbance::OwnStall(ms(500)), seconds(10)),
        ],
        ..scenario("no_cancellation", 22, settings, traffic)
    }
}

/// Most requests fail at every engine: few answers give latencies, so the engines' load reports decide.
pub fn faulty_requests() -> Scenario {
    let class = ClassSettings { late_weight: 1.0, ..ClassSettings::new(ms(150), seconds(2)) };
    let mut settings = settings(vec![class]);
    settings.gateways = 48;
    let traffic = ClassTraffic { faulty_queries: 0.94, ..ClassTraffic::new(24.0, ms(120)) };
    Scenario {
        other_threads: 9.0,
        load_reports: true,
        disturbances: vec![
            (Disturbance::EngineFault(Fault::Slow(3.0), seconds(4)), seconds(5)),
            (Disturbance::ListReloaded, seconds(9)),
        ],
        duration: seconds(160),
        ..scenario("faulty_requests", 23, settings, vec![traffic])
    }
}
