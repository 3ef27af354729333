//! The scenario of the service table: engines are slow, crash, drain and start under load.

use super::{Mode, lookup_class, start_gateways};
use reedwalk_benchmarks::run_on_own_thread;
use reedwalk_testkit::config::initial_endpoints;
use reedwalk_testkit::discovery_server::{self, EngineList, ListedEngine};
use reedwalk_testkit::load_generator::{self, LoadPlan, LoadResult, RequestClass};
use reedwalk_testkit::model::{RampShape, Shape};
use reedwalk_testkit::request_log::{RequestLog, SlowStart};
use reedwalk_testkit::resp::{EngineBehavior, ModelledEngine, start_modelled_engine};
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time over which requests arrive.
pub(super) const SCENARIO_DURATION: Duration = Duration::from_secs(16);
/// Time for the sessions to open before requests arrive.
const SESSION_SETUP_TIME: Duration = Duration::from_millis(500);

const ENGINE_IDS: [&str; 8] = ["s-0", "s-1", "s-2", "s-3", "s-4", "s-5", "s-6", "s-7"];
/// Number of engines listed at the start; the others are added later.
const INITIAL_ENGINE_COUNT: usize = 6;
const ENGINE_CORES: f64 = 8.0;
/// The engine that runs at a third of normal speed.
const SLOW_ENGINE: usize = 1;
const SLOWDOWN: f64 = 3.0;
/// The engine that crashes, the time of the crash, and the time of its removal from the list, in seconds.
const CRASHING_ENGINE: usize = 2;
const CRASH_S: u64 = 5;
const REMOVAL_S: u64 = 6;
/// The engine that drains, and the time of it, in seconds.
const DRAINING_ENGINE: usize = 3;
const DRAIN_S: u64 = 9;
/// The engines that start under load, and their start times in seconds.
const STARTING_ENGINES: [(usize, u64); 2] = [(6, 3), (7, 8)];
/// Grace time after the notification of a drain; attempts after it count as late.
const DRAIN_GRACE: Duration = Duration::from_secs(2);
/// Share of its full capacity that an engine has at its start, and the seconds until it reaches full capacity.
const INITIAL_CAPACITY_SHARE: f64 = 0.33;
const RAMP_S: u64 = 15;
/// Limit on the work sent to a starting engine in a window, as a multiple of its capacity.
const OVERLOAD_MULTIPLE: f64 = 2.5;
const OVERLOAD_WINDOW: Duration = Duration::from_secs(1);

/// Result of a scenario.
pub(super) struct ScenarioResult {
    pub(super) load: LoadResult,
    /// Attempts that reached the draining engine after the grace time.
    pub(super) attempts_after_drain: usize,
    /// Windows in which a starting engine was sent more work than the overload limit allows.
    pub(super) slow_start_overruns: usize,
    /// Work in the fullest window, as a multiple of the limit.
    pub(super) slow_start_peak: f64,
}

/// The engines and the discovery server of a scenario, and the log of requests.
struct Environment {
    log: RequestLog,
    addresses: Vec<SocketAddr>,
    crashing_engine: ModelledEngine,
    engine_list: EngineList,
    discovery: SocketAddr,
}

impl Environment {
    fn start() -> Self {
        let (log, engine_list) = (RequestLog::default(), EngineList::default());
        let (engines_log, served_list) = (log.clone(), engine_list.clone());
        let (engines, discovery) = run_on_own_thread(move || async move {
            let mut engines = Vec::new();
            for number in 0..ENGINE_IDS.len() {
                engines.push(start_scenario_engine(number, engines_log.clone()).await);
            }
            let (discovery, _) = discovery_server::start_server(served_list).await;
            (engines, discovery)
        });
        let addresses = engines.iter().map(|engine| engine.address).collect();
        let crashing_engine = engines[CRASHING_ENGINE].clone();
        Self { log, addresses, crashing_engine, engine_list, discovery }
    }

    fn endpoint(&self, number: usize) -> ListedEngine {
        let id = ENGINE_IDS[number].into();
        ListedEngine { id, address: self.addresses[number], draining: false, started_ms: 0 }
    }

    /// Endpoint of an engine whose start time is now.
    fn starting_endpoint(&self, number: usize) -> ListedEngine {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        ListedEngine { started_ms: unix_time.as_millis() as u64, ..self.endpoint(number) }
    }

    /// Replaces the published list of engines and increments its serial.
    fn publish_endpoints(&self, endpoints: &[ListedEngine]) {
        let mut engine_list = self.engine_list.lock().unwrap();
        *engine_list = (engine_list.0 + 1, endpoints.to_vec());
    }
}

/// Starts an engine of the scenario. If it starts under load, its capacity ramp begins when it is listed.
async fn start_scenario_engine(number: usize, log: RequestLog) -> ModelledEngine {
    let slowdown = if number == SLOW_ENGINE { SLOWDOWN } else { 1.0 };
    let shape = Shape { cores: ENGINE_CORES, slowdown, ..Shape::default() };
    let ramp = RampShape { initial_share: INITIAL_CAPACITY_SHARE, ramp_s: RAMP_S as f64 };
    let start_time_s = STARTING_ENGINES.iter().find(|(engine, _)| *engine == number).map(|(_, at_s)| *at_s);
    let shape = match start_time_s {
        Some(at_s) => Shape { slow_start: Some(ramp), starts_at_s: at_s as f64, ..shape },
        None => shape,
    };
    start_modelled_engine(ENGINE_IDS[number], Some(shape), log).await
}

/// Slow-start parameters of an engine that starts now.
fn slow_start(number: usize) -> SlowStart {
    SlowStart {
        engine: ENGINE_IDS[number].into(),
        started_at: Instant::now(),
        cores: ENGINE_CORES,
        initial_share: INITIAL_CAPACITY_SHARE,
        ramp: Duration::from_secs(RAMP_S),
        window: OVERLOAD_WINDOW,
        multiple: OVERLOAD_MULTIPLE,
    }
}

fn load_plan(seed: u64) -> LoadPlan {
    let lookup = RequestClass { share: 0.7, work_ms: 30.0, ..lookup_class() };
    let statement = RequestClass {
        route: "statement",
        share: 0.2,
        work_ms: 250.0,
        threads: 3.0,
        timeout_ms: 10_000,
        weight: 4.0,
        ..lookup.clone()
    };
    let batch_post = RequestClass {
        route: "batch-post",
        share: 0.1,
        work_ms: 200.0,
        threads: 2.0,
        timeout_ms: 12_000,
        is_keyed: true,
        weight: 5.0,
        ..lookup.clone()
    };
    LoadPlan {
        rate: 400.0,
        duration: SCENARIO_DURATION,
        sessions: 480,
        threads: 8,
        seed,
        classes: vec![lookup, statement, batch_post],
    }
}

/// Runs the scenario for one row: of six initial engines one is slow, one crashes and one drains; two more start.
pub(super) fn run_scenario(mode: Mode, cores: usize, seed: u64) -> ScenarioResult {
    let environment = Environment::start();
    let initial: Vec<_> = (0..INITIAL_ENGINE_COUNT).map(|number| environment.endpoint(number)).collect();
    *environment.engine_list.lock().unwrap() = (2, initial.clone());
    let endpoints = initial_endpoints(&environment.addresses[..INITIAL_ENGINE_COUNT]);
    let gateways = start_gateways(mode, cores, &endpoints, Some(environment.discovery), seed);
    let addresses: Vec<_> = gateways.iter().map(|gateway| gateway.address).collect();
    let plan = load_plan(seed);
    let start = Instant::now();
    let load = std::thread::spawn(move || load_generator::run(&addresses, &plan, SESSION_SETUP_TIME));
    let (slow_starts, drain_published_at) = change_engines(&environment, initial, start);
    let load = load.join().unwrap();
    let log = &environment.log;
    let draining_engine = ENGINE_IDS[DRAINING_ENGINE];
    ScenarioResult {
        load,
        attempts_after_drain: log.attempts_after_drain(draining_engine, drain_published_at, DRAIN_GRACE),
        slow_start_overruns: slow_starts.iter().map(|start| log.slow_start_overruns(start)).sum(),
        slow_start_peak: slow_starts.iter().map(|start| log.slow_start_peak(start)).fold(0.0, f64::max),
    }
}

/// Applies the scheduled changes to the engines. Returns the slow starts and the time at which the drain was published.
fn change_engines(
    environment: &Environment,
    mut endpoints: Vec<ListedEngine>,
    start: Instant,
) -> (Vec<SlowStart>, Instant) {
    let sleep_until = |second: u64| {
        let at = start + Duration::from_secs(second);
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
    };
    let mut slow_starts = Vec::new();
    let [(first, first_at_s), (second, second_at_s)] = STARTING_ENGINES;

    sleep_until(first_at_s);
    slow_starts.push(slow_start(first));
    endpoints.push(environment.starting_endpoint(first));
    environment.publish_endpoints(&endpoints);

    sleep_until(CRASH_S);
    environment.crashing_engine.set_behavior(EngineBehavior::Dead);
    sleep_until(REMOVAL_S);
    endpoints.retain(|endpoint| endpoint.id != ENGINE_IDS[CRASHING_ENGINE]);
    environment.publish_endpoints(&endpoints);

    sleep_until(second_at_s);
    slow_starts.push(slow_start(second));
    endpoints.push(environment.starting_endpoint(second));
    environment.publish_endpoints(&endpoints);

    sleep_until(DRAIN_S);
    let draining = endpoints.iter_mut().find(|endpoint| endpoint.id == ENGINE_IDS[DRAINING_ENGINE]);
    draining.expect("the draining engine is listed").draining = true;
    let drain_published_at = Instant::now();
    environment.publish_endpoints(&endpoints);
    (slow_starts, drain_published_at)
}
