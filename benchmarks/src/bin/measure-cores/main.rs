//! Measures throughput gain and service level on several cores: `make measure-cores`.
//!
//! Compares two modes: one broker on core 0 with connections on all cores (`cores N`), and N independent single-core
//! gateways, each configured for N gateways. Throughput is the highest rate of an open-loop load that is sustained with
//! p99 below a limit. The service level comes from a scenario with a slow engine, an engine that crashes, slow starts and
//! a drain; it is the same for all rows of a seed.

mod scenario;
mod throughput;

use reedwalk_benchmarks::{Gateway, GatewaySetup, core_count};
use reedwalk_testkit::load_generator::RequestClass;
use scenario::{SCENARIO_DURATION, ScenarioResult, run_scenario};
use std::net::SocketAddr;
use throughput::{MAX_P99_MS, SESSIONS, SustainedRate, highest_rate};

/// Cores used by the load generator and the engines, in addition to those of the gateways.
const LOAD_AND_ENGINE_CORES: usize = 4;
const SEEDS: [u64; 3] = [11, 23, 47];

/// How gateways are distributed over the cores.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Mode {
    /// One gateway whose broker runs on core 0 and whose connections run on all cores.
    OneBroker,
    /// One gateway for each core.
    ManyGateways,
}

impl Mode {
    fn name(self) -> &'static str {
        match self {
            Self::OneBroker => "one scheduler",
            Self::ManyGateways => "N schedulers",
        }
    }
}

/// Rows of both tables: mode and number of cores.
const ROWS: [(Mode, usize); 7] = [
    (Mode::OneBroker, 1),
    (Mode::OneBroker, 2),
    (Mode::OneBroker, 4),
    (Mode::OneBroker, 8),
    (Mode::ManyGateways, 2),
    (Mode::ManyGateways, 4),
    (Mode::ManyGateways, 8),
];

/// Starts the gateways of one row.
fn start_gateways(
    mode: Mode,
    cores: usize,
    endpoints: &serde_json::Value,
    discovery: Option<SocketAddr>,
    seed: u64,
) -> Vec<Gateway> {
    let cores_line = format!("cores {cores}");
    let operator_file = (mode == Mode::OneBroker && cores > 1).then_some(cores_line.as_str());
    let gateways = match mode {
        Mode::OneBroker => 1,
        Mode::ManyGateways => cores,
    };
    let start = |ordinal: usize| {
        Gateway::start(&GatewaySetup {
            gateways,
            ordinal,
            endpoints: endpoints.clone(),
            discovery,
            operator_file,
            seed: seed + ordinal as u64,
            ..GatewaySetup::default()
        })
    };
    (0..gateways).map(start).collect()
}

/// Base class of the load: cheap idempotent queries. The other classes are derived from it.
fn lookup_class() -> RequestClass {
    RequestClass {
        route: "lookup",
        share: 1.0,
        work_ms: 1.0,
        work_spread: 0.4,
        threads: 1.0,
        timeout_ms: 6000,
        is_keyed: false,
        objective_ms: 1000.0,
        objective_stretch: 1.5,
        weight: 1.0,
        late_weight: 0.3,
    }
}

/// Result of one row of the throughput table.
struct ThroughputRow {
    /// Sustained rate, in requests per second.
    rate: f64,
    /// Rate that CPU time alone would allow, in requests per second.
    cpu_bound_rate: f64,
}

fn measure_throughput(machine_cores: usize) -> Vec<ThroughputRow> {
    println!(
        "\nthroughput: engines that answer at once, {SESSIONS} sessions, p99 <= {MAX_P99_MS} ms, 99.9% served"
    );
    println!(
        "{:<13} {:>5} {:>10} {:>8} {:>8} {:>8} {:>12} {:>8} {:>10}",
        "mode", "cores", "req/s", "p50 ms", "p99 ms", "p99.9 ms", "CPU ms/1000", "broker", "memory MB"
    );
    ROWS.iter().map(|(mode, cores)| print_throughput(*mode, *cores, machine_cores)).collect()
}

fn print_throughput(mode: Mode, cores: usize, machine_cores: usize) -> ThroughputRow {
    let SustainedRate { rate, result, cpu_ms, broker_share, memory_mb } = highest_rate(mode, cores);
    let cpu_per_1000 = cpu_ms * 1000.0 / result.served as f64;
    let is_oversubscribed = cores + LOAD_AND_ENGINE_CORES > machine_cores;
    println!(
        "{:<13} {cores:>5} {rate:>10.0} {:>8.2} {:>8.2} {:>8.2} {cpu_per_1000:>12.1} {:>8} {memory_mb:>10.1}{}",
        mode.name(),
        result.latency_ms(0.5),
        result.latency_ms(0.99),
        result.latency_ms(0.999),
        broker_share.map_or("-".into(), |share| format!("{:.0}%", share * 100.0)),
        if is_oversubscribed { "  oversubscribed" } else { "" }
    );
    ThroughputRow { rate, cpu_bound_rate: 1e6 * cores as f64 / cpu_per_1000 }
}

/// Result of one row of the service table.
struct ServiceRow {
    /// Mean service level over all seeds.
    service: f64,
    attempts_after_drain: u64,
    slow_start_overruns: u64,
}

fn measure_service() -> Vec<ServiceRow> {
    let seconds = SCENARIO_DURATION.as_secs();
    println!("\nservice: scenarios of {seconds} s, seeds {SEEDS:?}, all rows of a seed at once");
    println!(
        "{:<13} {:>5} {:>9} {:>20} {:>8} {:>8} {:>8} {:>8} {:>10} {:>9} {:>9}",
        "mode",
        "cores",
        "service",
        "by seed",
        "rejected",
        "failed",
        "lost",
        "p99 ms",
        "late sends",
        "overruns",
        "peak"
    );
    let mut results: Vec<Vec<ScenarioResult>> = ROWS.iter().map(|_| Vec::new()).collect();
    for seed in SEEDS {
        let runs = ROWS.map(|(mode, cores)| std::thread::spawn(move || run_scenario(mode, cores, seed)));
        for (row, run) in runs.into_iter().enumerate() {
            results[row].push(run.join().unwrap());
        }
    }
    ROWS.iter().zip(&results).map(|((mode, cores), results)| print_service(*mode, *cores, results)).collect()
}

fn print_service(mode: Mode, cores: usize, results: &[ScenarioResult]) -> ServiceRow {
    let by_seed: Vec<_> = results.iter().map(|result| result.load.service()).collect();
    let service = by_seed.iter().sum::<f64>() / by_seed.len() as f64;
    let by_seed: Vec<_> = by_seed.iter().map(|service| format!("{service:.3}")).collect();
    let sum = |count: fn(&ScenarioResult) -> u64| results.iter().map(count).sum::<u64>();
    let max = |value: fn(&ScenarioResult) -> f64| results.iter().map(value).fold(0.0, f64::max);
    let attempts_after_drain = sum(|result| result.attempts_after_drain as u64);
    let slow_start_overruns = sum(|result| result.slow_start_overruns as u64);
    println!(
        "{:<13} {cores:>5} {service:>9.3} {:>20} {:>8} {:>8} {:>8} {:>8.0} {attempts_after_drain:>10} \
         {slow_start_overruns:>9} {:>9.2}",
        mode.name(),
        by_seed.join(" "),
        sum(|result| result.load.rejected),
        sum(|result| result.load.failed),
        sum(|result| result.load.lost),
        max(|result| result.load.latency_ms(0.99)),
        max(|result| result.slow_start_peak)
    );
    ServiceRow { service, attempts_after_drain, slow_start_overruns }
}

fn main() {
    let cores = core_count();
    println!(
        "machine: {cores} cores; clients and engines run on them too, so rows beyond half of them compete for them"
    );
    let throughputs = measure_throughput(cores);
    let services = measure_service();
    let rows = ROWS.iter().zip(&services);
    let one_broker: Vec<_> =
        rows.filter(|((mode, _), _)| *mode == Mode::OneBroker).map(|(_, service)| service).collect();
    let late_sends: u64 = one_broker.iter().map(|row| row.attempts_after_drain).sum();
    let overruns: u64 = one_broker.iter().map(|row| row.slow_start_overruns).sum();
    let (one_core, four_cores) = (&throughputs[0], &throughputs[2]);
    println!(
        "\nCPU alone would allow {:.0} req/s on 1 core, {:.0} on 4; the gain over the former is {:.2}",
        one_core.cpu_bound_rate,
        four_cores.cpu_bound_rate,
        four_cores.rate / one_core.cpu_bound_rate
    );
    println!(
        "cores: gain 1->4 = {:.2}, service 1 = {:.3}, service 4 = {:.3}, late sends = {late_sends}, \
         slow-start overruns = {overruns}",
        four_cores.rate / one_core.rate,
        services[0].service,
        services[2].service
    );
}
