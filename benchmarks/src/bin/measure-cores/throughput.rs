//! Searches for the highest rate that a row sustains with engines that answer immediately.

use super::{Mode, lookup_class, start_gateways};
use reedwalk_benchmarks::{Gateway, run_on_own_thread};
use reedwalk_testkit::config::initial_endpoints;
use reedwalk_testkit::load_generator::{self, LoadPlan, LoadResult};
use reedwalk_testkit::request_log::RequestLog;
use reedwalk_testkit::resp::start_modelled_engine;
use std::net::SocketAddr;
use std::time::Duration;

/// A rate is sustained if, in at least one of its trials, p99 stays within this limit and at least 99.9% of the requests
/// are served.
pub(super) const MAX_P99_MS: f64 = 20.0;
const MIN_SERVED_SHARE: f64 = 0.999;
/// Several trials, because other load on a shared machine can make a trial fail.
const TRIALS_PER_RATE: usize = 3;
/// Consecutive rates not sustained after which the search ends.
const MAX_CONSECUTIVE_MISSES: usize = 2;
/// Range of the rates that are tried, in requests per second, and the factor between two of them.
const MIN_RATE: f64 = 10_000.0;
const MAX_RATE: f64 = 150_000.0;
const RATE_FACTOR: f64 = 1.25;
/// Rate of the warm-up load, which keeps initial learning of the gateways out of the measurement.
const WARM_UP_RATE: f64 = 1000.0;
const WARM_UP_SETUP_TIME: Duration = Duration::from_millis(300);
const TRIAL_SETUP_TIME: Duration = Duration::from_millis(200);
const TRIAL_DURATION: Duration = Duration::from_millis(1200);
/// Client sessions over all gateways.
pub(super) const SESSIONS: usize = 128;
/// Minimum number of load generator threads.
const MIN_LOAD_THREADS: usize = 4;
/// From this number of cores on, the thread of core 0 runs only the broker.
const MIN_CORES_FOR_DEDICATED_BROKER: usize = 4;
const BROKER_THREAD_NAME: &str = "core-0";

/// A sustained rate and the measurements of its trial.
pub(super) struct SustainedRate {
    /// Requests per second.
    pub(super) rate: f64,
    pub(super) result: LoadResult,
    /// CPU time of all gateways, in milliseconds.
    pub(super) cpu_ms: f64,
    /// Share of the CPU time used by the broker's thread; `None` if that thread also serves connections.
    pub(super) broker_share: Option<f64>,
    /// Peak resident memory of all gateways, in megabytes.
    pub(super) memory_mb: f64,
}

/// The gateways of one row, and the trials run on them.
struct RateSearch {
    mode: Mode,
    cores: usize,
    gateways: Vec<Gateway>,
    addresses: Vec<SocketAddr>,
}

impl RateSearch {
    fn plan(&self, rate: f64) -> LoadPlan {
        LoadPlan {
            rate,
            duration: TRIAL_DURATION,
            sessions: SESSIONS,
            threads: self.gateways.len().max(MIN_LOAD_THREADS),
            seed: 5,
            classes: vec![lookup_class()],
        }
    }

    fn warm_up(&self) {
        load_generator::run(&self.addresses, &self.plan(WARM_UP_RATE), WARM_UP_SETUP_TIME);
    }

    fn cpu_ms(&self) -> f64 {
        self.gateways.iter().map(Gateway::cpu_ms).sum()
    }

    /// Runs one trial at a rate; returns `None` if the rate was not sustained.
    fn try_rate(&self, rate: f64) -> Option<SustainedRate> {
        let cpu_before = self.cpu_ms();
        let broker_before = self.gateways[0].thread_cpu_ms(BROKER_THREAD_NAME);
        let result = load_generator::run(&self.addresses, &self.plan(rate), TRIAL_SETUP_TIME);
        let memory_mb = self.gateways.iter().map(Gateway::peak_memory_mb).sum();
        let cpu_ms = self.cpu_ms() - cpu_before;
        let has_broker_thread = self.mode == Mode::OneBroker && self.cores >= MIN_CORES_FOR_DEDICATED_BROKER;
        let broker_share = has_broker_thread
            .then(|| (self.gateways[0].thread_cpu_ms(BROKER_THREAD_NAME) - broker_before) / cpu_ms);
        if std::env::var_os("TRIALS").is_some() {
            self.print_trial(rate, &result);
        }
        let is_sustained = result.latency_ms(0.99) <= MAX_P99_MS
            && result.served as f64 >= MIN_SERVED_SHARE * result.offered as f64;
        is_sustained.then_some(SustainedRate { rate, result, cpu_ms, broker_share, memory_mb })
    }

    fn print_trial(&self, rate: f64, result: &LoadResult) {
        let (mode, cores, p99) = (self.mode.name(), self.cores, result.latency_ms(0.99));
        let LoadResult { offered, served, rejected, failed, lost, .. } = result;
        eprintln!(
            "{mode} {cores}: {rate:.0}/s p99 {p99:.1} ms, offered {offered} served {served} rejected {rejected} \
             failed {failed} lost {lost}"
        );
    }
}

/// Starts two engines on a new thread.
fn start_engines() -> Vec<SocketAddr> {
    run_on_own_thread(|| async {
        let mut engines = Vec::new();
        for _ in 0..2 {
            engines.push(start_modelled_engine("e", None, RequestLog::default()).await.address);
        }
        engines
    })
}

/// Returns the highest sustained rate of a row.
pub(super) fn highest_rate(mode: Mode, cores: usize) -> SustainedRate {
    let engines = [start_engines(), start_engines()].concat();
    let gateways = start_gateways(mode, cores, &initial_endpoints(&engines), None, 7);
    let addresses = gateways.iter().map(|gateway| gateway.address).collect();
    let search = RateSearch { mode, cores, gateways, addresses };
    search.warm_up();
    let (mut best, mut consecutive_misses, mut rate) = (None, 0, MIN_RATE);
    while consecutive_misses < MAX_CONSECUTIVE_MISSES && rate < MAX_RATE {
        match (0..TRIALS_PER_RATE).find_map(|_| search.try_rate(rate)) {
            Some(sustained) => (best, consecutive_misses) = (Some(sustained), 0),
            None => consecutive_misses += 1,
        }
        rate *= RATE_FACTOR;
    }
    best.expect("no rate was sustained")
}
