//! Decisions that the cores of a gateway coordinate: a slow-start budget, and the order of requests with one
//! idempotency key. The same load on several gateways, which do not coordinate, shows that the checks detect a violation.

use crate::operator_with_cores;
use crate::support::mysql::{Client, fields};
use crate::support::{config, config_with, gateway, initial_endpoints, settings};
use reedwalk_gateway::config::Config;
use reedwalk_gateway::serve::Running;
use reedwalk_testkit::load_generator::{self, LoadPlan, RequestClass};
use reedwalk_testkit::model::{OverloadRule, RampShape, Shape};
use reedwalk_testkit::request_log::{RequestLog, SlowStart};
use reedwalk_testkit::resp::start_modelled_engine;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Three seconds of analytical statements at this rate per second.
fn statement_load(rate: f64, timeout_ms: u64) -> LoadPlan {
    let class = RequestClass {
        route: "statement",
        share: 1.0,
        work_ms: 1500.0,
        work_spread: 0.1,
        threads: 3.0,
        timeout_ms,
        is_keyed: false,
        objective_ms: 1000.0,
        objective_stretch: 1.5,
        weight: 4.0,
        late_weight: 0.3,
    };
    LoadPlan {
        rate,
        duration: Duration::from_secs(3),
        sessions: 160,
        threads: 8,
        seed: 11,
        classes: vec![class],
    }
}

/// The attempts that an engine in slow start received.
struct SlowStartResult {
    /// Windows in which they exceeded the budget.
    overruns: usize,
    /// The number of all attempts.
    attempts: usize,
    /// The work of the fullest window, as a fraction of the budget.
    peak: f64,
}

/// Overloads two engines that are past their slow start and one that has just started. Several gateways do not know of
/// each other; `start_listed` tells whether the engine list has the start time of the new engine.
async fn overload_starting_engine(
    gateways: usize,
    cores_per_gateway: usize,
    rate: f64,
    start_listed: bool,
) -> SlowStartResult {
    let (request_log, shape) = (RequestLog::default(), Shape { cores: 8.0, ..Shape::default() });
    // Set so that the engine does not fail under overload, and all attempts can be counted.
    let starting = Shape {
        slow_start: Some(RampShape { initial_share: 0.33, ramp_s: 15.0 }),
        overload: OverloadRule { multiple: 1e9, window_s: 1.0, outage_s: 1.0 },
        ..shape.clone()
    };
    let mut engines = Vec::new();
    for (name, shape) in [("a", &shape), ("b", &shape), ("c", &starting)] {
        engines.push(start_modelled_engine(name, Some(shape.clone()), request_log.clone()).await.address);
    }
    let started_at = Instant::now();
    let started_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let mut list = initial_endpoints(&engines);
    list["results"][0]["fleet"]["servers"][2]["started_ms"] =
        json!(if start_listed { started_ms } else { 0 });
    let mut running = Vec::new();
    for n in 0..gateways {
        let config = Config { initial_endpoints: Some(list.clone()), seed: 7 + n as u64, ..config(&engines) };
        running.push(gateway(config, operator_with_cores(cores_per_gateway)).await);
    }
    let addresses: Vec<_> = running.iter().map(|r| r.mysql).collect();
    let plan = statement_load(rate, 4000);
    let load_result = tokio::task::spawn_blocking(move || {
        load_generator::run(&addresses, &plan, Duration::from_millis(200))
    })
    .await;
    assert_eq!(load_result.unwrap().lost, 0);
    let (second, ramp) = (Duration::from_secs(1), Duration::from_secs(15));
    let rule = SlowStart {
        engine: "c".into(),
        started_at,
        cores: 8.0,
        initial_share: 0.33,
        ramp,
        window: second,
        multiple: 2.5,
    };
    SlowStartResult {
        overruns: request_log.slow_start_overruns(&rule),
        attempts: request_log.attempts_at("c"),
        peak: request_log.slow_start_peak(&rule),
    }
}

#[tokio::test]
async fn all_cores_together_keep_to_a_slow_start_budget() {
    let SlowStartResult { overruns, attempts, peak } = overload_starting_engine(1, 8, 60.0, true).await;
    assert_eq!(overruns, 0, "{attempts} attempts, the fullest window at {peak} of the budget");
}

#[tokio::test]
async fn check_detects_uncoordinated_slow_start() {
    assert!(overload_starting_engine(8, 1, 60.0, false).await.overruns > 0);
}

/// Starts gateways with three engines and settings under which the requests of a key are served in order.
async fn ordered_gateways(
    gateways: usize,
    cores_per_gateway: usize,
    request_log: &RequestLog,
) -> Vec<Running> {
    let mut engines: Vec<SocketAddr> = Vec::new();
    for name in ["a", "b", "c"] {
        let shape = Shape { cores: 8.0, ..Shape::default() };
        engines.push(start_modelled_engine(name, Some(shape), request_log.clone()).await.address);
    }
    let mut settings: Value = settings();
    settings["RequestClasses"][2]["InOrder"] = json!(true);
    let mut running = Vec::new();
    for _ in 0..gateways {
        running.push(gateway(config_with(&engines, &settings), operator_with_cores(cores_per_gateway)).await);
    }
    running
}

/// Sends eight requests with one key at once over eight sessions. Returns the most that were in flight at one time.
async fn max_in_flight_of_one_key(gateways: usize, cores_per_gateway: usize) -> usize {
    let request_log = RequestLog::default();
    let running = ordered_gateways(gateways, cores_per_gateway, &request_log).await;
    let mut clients = Vec::new();
    for n in 0..8 {
        clients.push(Client::connect(running[n % gateways].mysql).await);
    }
    let key = Some("00112233445566778899aabbccddeeff");
    for (n, client) in clients.iter_mut().enumerate() {
        client.send_query(&fields("batch-post", 12000, key, &format!("INSERT {n} WORK 60 THREADS 2"))).await;
    }
    for client in &mut clients {
        assert!(client.answer().await.is_ok());
    }
    request_log.max_in_flight_per_key()
}

#[tokio::test]
async fn one_key_is_never_in_flight_twice_across_cores() {
    assert_eq!(max_in_flight_of_one_key(1, 4).await, 1);
    assert!(
        max_in_flight_of_one_key(4, 1).await > 1,
        "the check does not detect gateways that do not coordinate"
    );
}
