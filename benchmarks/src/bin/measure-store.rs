//! Measures the latency that a shared store adds to requests, also while it fails: `make measure-store`.
//!
//! Requests with idempotency keys pass through one gateway that uses a Redis test double, which is healthy, slow, frozen,
//! unreachable or flapping; latencies are compared with the same load without a store. Then three gateways share one quota
//! under a load of three times its rate, and the engines' log shows how many requests were granted per window.

use reedwalk_benchmarks::{Gateway, GatewaySetup, core_count, run_on_own_thread};
use reedwalk_testkit::config::initial_endpoints;
use reedwalk_testkit::load_generator::{self, LoadPlan, LoadResult, RequestClass};
use reedwalk_testkit::model::Shape;
use reedwalk_testkit::redis::{Fault, Redis};
use reedwalk_testkit::request_log::{AttemptEvent, RequestLog};
use reedwalk_testkit::resp::start_modelled_engine;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Requests per second of the latency measurement.
const REQUEST_RATE: f64 = 400.0;
/// Time over which requests arrive.
const LOAD_DURATION: Duration = Duration::from_secs(5);
/// Time for the sessions to open before requests arrive.
const SESSION_SETUP_TIME: Duration = Duration::from_millis(1500);
const SEEDS: [u64; 3] = [11, 23, 47];
/// Requests per window of the shared quota, its window, and the gateways that share it.
const QUOTA: u64 = 600;
const QUOTA_WINDOW: Duration = Duration::from_secs(2);
const QUOTA_GATEWAYS: usize = 3;
/// Rate of the load on the quota, as a multiple of the quota's rate.
const OVERLOAD_FACTOR: f64 = 3.0;
/// Quota of the latency measurement; high enough that it is never reached.
const UNREACHED_QUOTA: u64 = 1_000_000;
/// A flapping store alternates between healthy and unreachable at this interval.
const FLAP_INTERVAL: Duration = Duration::from_millis(300);

/// The state of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StoreState {
    NoStore,
    Healthy,
    /// Every reply is delayed by this many milliseconds.
    Slow(u64),
    /// No reply is ever sent.
    Frozen,
    /// Every connection breaks.
    Unreachable,
    /// Alternates between healthy and unreachable.
    Flapping,
}

const STORE_STATES: [StoreState; 7] = [
    StoreState::NoStore,
    StoreState::Healthy,
    StoreState::Slow(20),
    StoreState::Slow(200),
    StoreState::Frozen,
    StoreState::Unreachable,
    StoreState::Flapping,
];

impl StoreState {
    fn fault(self) -> Option<Fault> {
        match self {
            Self::NoStore | Self::Healthy | Self::Flapping => None,
            Self::Slow(ms) => Some(Fault::Slow(Duration::from_millis(ms))),
            Self::Frozen => Some(Fault::Frozen),
            Self::Unreachable => Some(Fault::DropBefore),
        }
    }
}

/// Starts a thread that applies the store's state after a delay, and keeps a flapping store alternating until `stop` is set.
fn start_fault_schedule(
    redis: &Redis,
    state: StoreState,
    after: Duration,
    stop: &Arc<AtomicBool>,
) -> JoinHandle<()> {
    let (redis, stop) = (redis.clone(), stop.clone());
    std::thread::spawn(move || {
        std::thread::sleep(after);
        redis.set_fault(state.fault());
        let mut is_healthy = true;
        while state == StoreState::Flapping && !stop.load(Ordering::Relaxed) {
            std::thread::sleep(FLAP_INTERVAL);
            is_healthy = !is_healthy;
            redis.set_fault((!is_healthy).then_some(Fault::DropBefore));
        }
    })
}

fn keyed_class() -> RequestClass {
    RequestClass {
        route: "batch-post",
        share: 1.0,
        work_ms: 1.0,
        work_spread: 0.1,
        threads: 1.0,
        timeout_ms: 2000,
        is_keyed: true,
        objective_ms: 1000.0,
        objective_stretch: 1.5,
        weight: 1.0,
        late_weight: 0.3,
    }
}

/// Parameters of one measured load.
#[derive(Clone, Copy)]
struct LoadCase {
    state: StoreState,
    gateways: usize,
    /// Requests per window of the quota.
    quota: u64,
    /// Requests per second.
    rate: f64,
    seed: u64,
}

/// Result of a measured load.
struct Measurement {
    result: LoadResult,
    /// Store commands per request.
    commands_per_request: f64,
    /// Repeated attempts with the same idempotency key, over all keys.
    duplicates: usize,
    /// Attempts in the fullest window of the quota.
    max_in_window: u64,
}

/// Starts an engine that logs its attempts. It needs a shape, because an engine without one answers immediately and logs
/// nothing.
fn start_engine(log: RequestLog) -> SocketAddr {
    let shape = Shape { cores: 64.0, ..Shape::default() };
    run_on_own_thread(|| async { start_modelled_engine("e", Some(shape), log).await.address })
}

/// Text of the operator's file: a quota, and the store unless the state is [`StoreState::NoStore`].
fn operator_file(load: &LoadCase, store: SocketAddr) -> String {
    let LoadCase { state, quota, .. } = load;
    let window = QUOTA_WINDOW.as_secs();
    let contract =
        format!("contract \"app\" {{\n classes \"batch-post\"\n budget {quota} window=\"{window}s\"\n}}\n");
    match state {
        StoreState::NoStore => contract,
        _ => format!("{contract}store redis=\"redis://{store}\" {{\n share-keys\n}}\n"),
    }
}

/// Runs one load. The store changes state halfway, so that the gateways detect it under load.
fn measure(load: LoadCase) -> Measurement {
    let LoadCase { state, gateways, rate, seed, .. } = load;
    let log = RequestLog::default();
    let engines = [start_engine(log.clone()), start_engine(log.clone())];
    let redis = Redis::default();
    let store = {
        let redis = redis.clone();
        run_on_own_thread(|| async move { redis.start().await })
    };
    let operator_file = operator_file(&load, store);
    let start_gateway = |ordinal| {
        let (endpoints, operator_file) = (initial_endpoints(&engines), Some(operator_file.as_str()));
        Gateway::start(&GatewaySetup {
            gateways,
            ordinal,
            endpoints,
            operator_file,
            seed,
            ..GatewaySetup::default()
        })
    };
    let running: Vec<_> = (0..gateways).map(start_gateway).collect();
    let addresses: Vec<_> = running.iter().map(|gateway| gateway.address).collect();
    let plan = LoadPlan {
        rate,
        duration: LOAD_DURATION,
        sessions: 64,
        threads: gateways.max(2),
        seed,
        classes: vec![keyed_class()],
    };
    let stop = Arc::<AtomicBool>::default();
    let commands_before = redis.commands().len();
    let (start, start_unix) = (Instant::now(), SystemTime::now().duration_since(UNIX_EPOCH).unwrap());
    let fault = start_fault_schedule(&redis, state, SESSION_SETUP_TIME + LOAD_DURATION / 2, &stop);
    let result = load_generator::run(&addresses, &plan, SESSION_SETUP_TIME);
    stop.store(true, Ordering::Relaxed);
    fault.join().unwrap();
    let commands = redis.commands().len() - commands_before;
    let (duplicates, max_in_window) = count_attempts(&log, start, start_unix);
    Measurement {
        commands_per_request: commands as f64 / result.offered.max(1) as f64,
        result,
        duplicates,
        max_in_window,
    }
}

/// Counts, from the engines' log, repeated attempts with the same key, and attempts in the fullest window. Windows are
/// aligned with Unix time, as in the gateways.
fn count_attempts(log: &RequestLog, start: Instant, start_unix: Duration) -> (usize, u64) {
    let mut attempts_of_key = HashMap::<String, usize>::new();
    let mut attempts_in_window = HashMap::<u64, u64>::new();
    for entry in log.entries() {
        let AttemptEvent::Began { key, .. } = entry.event else { continue };
        let at = start_unix + entry.at.saturating_duration_since(start);
        let window = at.as_millis() as u64 / QUOTA_WINDOW.as_millis() as u64;
        *attempts_in_window.entry(window).or_default() += 1;
        if let Some(key) = key {
            *attempts_of_key.entry(key).or_default() += 1;
        }
    }
    assert!(!attempts_of_key.is_empty(), "no attempt with a key is in the engines' log");
    let duplicates = attempts_of_key.values().map(|attempts| attempts - 1).sum();
    (duplicates, attempts_in_window.values().max().copied().unwrap_or(0))
}

/// Summary of the latency table.
#[derive(Default)]
struct Summary {
    duplicates: usize,
    lost: u64,
    /// Increase of the 99th percentile over the run without a store, in milliseconds.
    added_p99_healthy_ms: f64,
    added_p99_frozen_ms: f64,
}

/// Measures the latency with the store in each state.
fn measure_latency() -> Summary {
    println!(
        "{REQUEST_RATE} requests/s with keys for {LOAD_DURATION:?}, the state begins halfway; {} seeds, {} cores",
        SEEDS.len(),
        core_count()
    );
    println!(
        "{:<12} {:>8} {:>8} {:>9} {:>9} {:>8} {:>8} {:>10} {:>10}",
        "store", "p50 ms", "p99 ms", "+p50", "+p99", "served", "rejected", "commands", "duplicates"
    );
    let mut summary = Summary::default();
    let (mut baseline_p50, mut baseline_p99) = (0.0, 0.0);
    for state in STORE_STATES {
        let measure =
            |seed| measure(LoadCase { state, gateways: 1, quota: UNREACHED_QUOTA, rate: REQUEST_RATE, seed });
        let mut runs = SEEDS.map(measure);
        summary.duplicates += runs.iter().map(|run| run.duplicates).sum::<usize>();
        summary.lost += runs.iter().map(|run| run.result.lost).sum::<u64>();
        // Report the seed with the median p99.
        runs.sort_by(|a, b| a.result.latency_ms(0.99).total_cmp(&b.result.latency_ms(0.99)));
        let Measurement { result, commands_per_request, duplicates, .. } = &runs[SEEDS.len() / 2];
        let (p50, p99) = (result.latency_ms(0.5), result.latency_ms(0.99));
        match state {
            StoreState::NoStore => (baseline_p50, baseline_p99) = (p50, p99),
            StoreState::Healthy => summary.added_p99_healthy_ms = p99 - baseline_p99,
            StoreState::Frozen => summary.added_p99_frozen_ms = p99 - baseline_p99,
            _ => {}
        }
        println!(
            "{:<12} {p50:>8.2} {p99:>8.2} {:>9.2} {:>9.2} {:>8.4} {:>8} {commands_per_request:>10.2} {duplicates:>10}",
            format!("{state:?}"),
            p50 - baseline_p50,
            p99 - baseline_p99,
            result.served as f64 / result.offered as f64,
            result.rejected
        );
    }
    summary
}

/// Measures how many requests a shared quota grants per window; returns the worst case over all states, as a multiple of
/// the quota.
fn measure_quota() -> f64 {
    println!(
        "quota {QUOTA} in {QUOTA_WINDOW:?}, {QUOTA_GATEWAYS} gateways, drawn on at {OVERLOAD_FACTOR} times its rate"
    );
    println!("{:<12} {:>10} {:>10}", "store", "in a window", "of quota");
    let rate = OVERLOAD_FACTOR * QUOTA as f64 / QUOTA_WINDOW.as_secs_f64();
    let mut worst_overshoot: f64 = 0.0;
    for state in STORE_STATES.into_iter().filter(|state| *state != StoreState::NoStore) {
        let measure = |seed| measure(LoadCase { state, gateways: QUOTA_GATEWAYS, quota: QUOTA, rate, seed });
        let max_in_window = SEEDS.map(measure).iter().map(|run| run.max_in_window).max().unwrap_or(0);
        let quota_multiple = max_in_window as f64 / QUOTA as f64;
        worst_overshoot = worst_overshoot.max(quota_multiple);
        println!("{:<12} {max_in_window:>10} {quota_multiple:>10.2}", format!("{state:?}"));
    }
    worst_overshoot
}

fn main() {
    let Summary { duplicates, lost, added_p99_healthy_ms, added_p99_frozen_ms } = measure_latency();
    let worst_overshoot = measure_quota();
    println!(
        "store: duplicates = {duplicates}, lost = {lost}, p99 added healthy = {added_p99_healthy_ms:.2} ms, \
         frozen = {added_p99_frozen_ms:.2} ms, overshoot worst = {worst_overshoot:.2}"
    );
}
