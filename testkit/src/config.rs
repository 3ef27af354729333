//! Configuration of a gateway under test: settings and the endpoint list that it starts with.

use serde_json::{Value, json};
use std::net::SocketAddr;

/// Settings with four request classes (`lookup` and `statement` are repeatable, `batch-post` only with its idempotency key,
/// `adjust` runs at most once) and short timeouts. Times under keys that end in `Us` are in microseconds.
pub fn settings() -> Value {
    let class = |name: &str, effect: &str, give_up_us: u64, value: f64| {
        json!({"Name": name, "Effect": effect, "DedupScope": "all", "MemorySpanUs": 12_000_000,
            "SloUs": 1_000_000, "GiveUpUs": give_up_us, "Value": value, "LateValue": 0.3, "AimStretch": 1.5})
    };
    json!({
        "Balancers": 1, "Ordinal": 0, "Zone": 0, "TickUs": 5000, "Discovery": "push",
        "Localities": ["hall-a"], "HostTypes": ["std-8c"],
        "Limits": {"Cancel": true, "ConnectTimeoutUs": 250_000, "KeepaliveUs": 15_000_000, "MaxAttempts": 3,
            "MaxRetryAfterUs": 2_000_000, "Multiplex": 32, "OpenCap": 1000, "RetryAfter": true},
        "Rules": {"AnswerSlackUs": 20000, "ColdFrom": 0.33, "DrainGraceUs": 2_000_000, "FallUs": 1_000_000,
            "RampTimeUs": 15_000_000, "TipMultiple": 2.5},
        "RequestClasses": [class("lookup", "repeatable", 6_000_000, 1.0),
            class("statement", "repeatable", 10_000_000, 4.0), class("batch-post", "by_key", 12_000_000, 5.0),
            class("adjust", "once", 3_000_000, 2.0)],
        "Specifics": {"ClassWaits": [true, false, false, false], "IsLoad": [false, false, true, false],
            "Grants": true, "Priorities": true, "MaxGrantShare": 0.4, "ProgressUs": 500_000,
            "SizeCores": [8], "RamOfKindMb": [16384.0], "WidthByClass": [1, 3, 2, 1]}
    })
}

/// The endpoint list that a gateway starts with: these engines with the ids `s-0`, `s-1` and so on, in service and past
/// their slow start.
pub fn initial_endpoints(engines: &[SocketAddr]) -> Value {
    let endpoint = |(number, address): (usize, &SocketAddr)| {
        json!({"id": format!("s-{number}"), "addr": address.to_string(), "zone": "hall-a", "kind": "std-8c", "cell": 1,
            "state": "in_service", "weight": 1, "started_ms": 0})
    };
    let servers: Vec<_> = engines.iter().enumerate().map(endpoint).collect();
    json!({"seq": 1, "results": [{"seq": 1, "fleet": {"version": 1, "full": true, "servers": servers}}]})
}
