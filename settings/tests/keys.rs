//! Checks the key of every setting in the settings object and the field that it is read into.

use reedwalk_scheduler::*;
use reedwalk_settings::{Deployment, Sockets, read};
use serde_json::json;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn full_object() -> serde_json::Value {
    json!({
        "Balancers": 6,
        "Ordinal": 2,
        "Zone": 1,
        "TickUs": 4000.0,
        "Discovery": "ask",
        "RequestClasses": [
            {
                "Name": "quick", "SloUs": 300000.0, "GiveUpUs": 1500000.0, "AimStretch": 1.5, "Value": 2.0,
                "LateValue": 0.25, "Effect": "by_key", "DedupScope": "cell", "MemorySpanUs": 60000000.0,
                "InOrder": true, "LocalitiesOpen": [1], "HostTypesAllowed": [0]
            },
            {"Name": "load", "SloUs": 5000000.0, "GiveUpUs": 9000000.0, "Effect": "repeatable"},
            {"SloUs": 1.0, "GiveUpUs": 2.0},
            {"SloUs": 1.0, "GiveUpUs": 2.0, "Effect": "by_key", "DedupScope": "zone"},
            {"SloUs": 1.0, "GiveUpUs": 2.0, "Effect": "by_key"}
        ],
        "Tenants": [{"QuotaPerS": 12.5}],
        "Limits": {
            "Cancel": true, "Probing": true, "MaxAttempts": 3, "RetryAfter": true, "MaxRetryAfterUs": 2000000.0,
            "ConnectTimeoutUs": 100000.0, "KeepaliveUs": 7000000.0, "Multiplex": 4, "OpenCap": 900,
            "MayTell": true, "SecondCopies": true
        },
        "Rules": {
            "AnswerSlackUs": 30000.0, "DrainGraceUs": 2000000.0, "ColdFrom": 0.2, "RampTimeUs": 15000000.0,
            "TipMultiple": 3.0, "FallUs": 4000000.0, "OrderSettleUs": 500000.0, "FreeResends": 5.0,
            "ExtraRatio": 0.1, "ExtraWindowUs": 10000000.0
        },
        "Specifics": {
            "IsLoad": [false, true], "ClassWaits": [true, false], "WidthByClass": [2, 8], "Grants": true,
            "Priorities": true, "MaxGrantShare": 0.5, "ProgressUs": 200000.0, "SizeCores": [16, 8],
            "RamOfKindMb": [32768.0]
        },
        "OverShareWorth": 0.5,
        "Localities": ["east", "west"],
        "HostTypes": ["large", "small"]
    })
}

#[test]
fn every_scheduler_key_is_read() {
    let Deployment { scheduler, .. } = read(&full_object()).unwrap();
    assert_eq!(
        (scheduler.gateways, scheduler.ordinal, scheduler.zone, scheduler.tick),
        (6, 2, Some(ZoneId(1)), ms(4))
    );
    assert_eq!((scheduler.discovery, scheduler.over_quota_weight), (Discovery::Subscribed, 0.5));
    assert_eq!(scheduler.tenants, [TenantSettings { quota_per_s: 12.5 }]);
    let kind = |cores, memory_mb| KindSettings { cores, memory_mb };
    assert_eq!(scheduler.kinds, [kind(16, 32768.0), kind(8, 0.0)]);
    let limits =
        Limits { cancel: true, health_checks: true, max_attempts: 3, max_retry_after: Some(ms(2000)) };
    assert_eq!(scheduler.limits, limits);
    let rules = Rules {
        answer_slack: ms(30),
        drain_grace: ms(2000),
        slow_start_from: 0.2,
        slow_start_duration: ms(15_000),
        overload_multiple: 3.0,
        overload_window: ms(4000),
        order_settle: ms(500),
        retry_budget: Some(RetryBudget { free_retries: 5.0, ratio: 0.1, window: ms(10_000) }),
    };
    assert_eq!(scheduler.rules, rules);
    let engine = EngineTraits {
        grants: true,
        priorities: true,
        max_grant_share: 0.5,
        progress_interval: Some(ms(200)),
        idle_timeout: Some(ms(7000)),
    };
    assert_eq!(scheduler.engine, engine);
}

#[test]
fn every_class_key_is_read() {
    let Deployment { scheduler, .. } = read(&full_object()).unwrap();
    let quick = ClassSettings {
        objective_stretch: 1.5,
        priority_weight: 2.0,
        late_weight: 0.25,
        idempotency: Idempotency::Keyed { scope: DeduplicationScope::Cell, window: ms(60_000) },
        in_order: true,
        zones: Some(vec![ZoneId(1)]),
        kinds: Some(vec![KindId(0)]),
        threads: 2,
        waits_for_loads: true,
        ..ClassSettings::new(ms(300), ms(1500))
    };
    let load = ClassSettings {
        priority_weight: 0.0,
        threads: 8,
        is_load: true,
        ..ClassSettings::new(ms(5000), ms(9000))
    };
    assert_eq!(scheduler.classes[..2], [quick, load]);
    let idempotency: Vec<_> = scheduler.classes[2..].iter().map(|class| class.idempotency).collect();
    let keyed = |scope| Idempotency::Keyed { scope, window: ms(0) };
    assert_eq!(
        idempotency,
        [Idempotency::NonIdempotent, keyed(DeduplicationScope::Zone), keyed(DeduplicationScope::All)]
    );
}

#[test]
fn every_socket_key_is_read() {
    let Deployment { sockets, .. } = read(&full_object()).unwrap();
    let expected = Sockets {
        classes: ["quick", "load", "", "", ""].map(String::from).to_vec(),
        zones: ["east", "west"].map(String::from).to_vec(),
        kinds: ["large", "small"].map(String::from).to_vec(),
        connect_timeout: ms(100),
        idle_timeout: ms(7000),
        max_attempts_per_connection: 4,
        max_open_requests: 900,
        may_gossip: Some(true),
        allows_hedging: true,
    };
    assert_eq!(sockets, expected);
    assert_eq!(sockets.class_id("load"), Some(ClassId(1)));
}

#[test]
fn all_keys_but_the_classes_are_optional() {
    let Deployment { scheduler, sockets } = read(&json!({"RequestClasses": [], "Unknown": 1})).unwrap();
    let mut defaults = Settings::new(Vec::new(), Vec::new());
    (defaults.tick, defaults.limits.max_attempts) = (Duration::ZERO, u32::MAX);
    assert_eq!(scheduler, defaults);
    let limits = (
        sockets.max_attempts_per_connection,
        sockets.max_open_requests,
        sockets.may_gossip,
        sockets.allows_hedging,
    );
    assert_eq!(limits, (1, usize::MAX, None, false));
    assert_eq!((sockets.connect_timeout, sockets.idle_timeout), (ms(250), ms(15_000)));
}

#[test]
fn missing_classes_are_reported() {
    let error = read(&json!({"Balancers": 3})).unwrap_err();
    assert!(error.to_string().starts_with("BootInfo: missing field `RequestClasses`"), "{error}");
}
