//! Measures the benefit of gossip: `make measure-peers`. One of twenty engines starts to fail in fleets of 20, 100 and 300
//! gateways, with and without gossip, and with lost datagrams. Reports the errors at that engine, the time until half and
//! all gateways have ejected it, bytes and CPU per gateway, and live gateways that were declared dead. A second part runs a
//! fleet with a rogue gateway. Seeds are paired; charts go to `docs/design/charts`.

use reedwalk_benchmarks::core_count;
use reedwalk_fault_injection::chart;
use reedwalk_fault_injection::cluster::{Cluster, ClusterConfig, engine_id};
use reedwalk_fault_injection::fault::DatagramFault;
use reedwalk_fault_injection::process::LogLine;
use reedwalk_fault_injection::{GatewayProcess, Load};
use reedwalk_testkit::load_generator::RequestOutcome;
use reedwalk_testkit::resp::EngineBehavior;
use std::path::Path;
use std::time::{Duration, Instant};

const ENGINES: usize = 20;
/// Requests per second over the whole fleet, and the work of each: together 60% of the engines' cores.
const REQUEST_RATE: f64 = 960.0;
const REQUEST_WORK_MS: f64 = 90.0;
/// Time before the engine fails, and time during which it fails.
const HEALTHY_TIME: Duration = Duration::from_secs(3);
const FAILING_TIME: Duration = Duration::from_secs(10);
const SEEDS: [u64; 2] = [1, 2];
/// Gateways per fleet.
const FLEET_SIZES: [usize; 3] = [20, 100, 300];
/// Log records with which a gateway ejects the failing engine, from its own measurements or on gossip.
const EJECTION_RECORDS: [&str; 2] = ["engine ejected, engine: 0,", "engine ejected on gossip, ejected_ms"];

/// Result of a run.
struct Observation {
    /// Attempts sent to the engine while it failed.
    errors: usize,
    requests: usize,
    /// Share of the requests that were served.
    served: f64,
    /// Seconds until each gateway had ejected the engine, in ascending order.
    ejected_after_s: Vec<f64>,
    /// Gossip bytes sent per gateway and second.
    bytes_per_second: f64,
    /// CPU usage per gateway, in percent of a core.
    cpu_percent: f64,
    /// Times that a live gateway was declared dead.
    false_alarms: usize,
}

/// The configuration of a cluster.
fn cluster_config(gateways: usize, gossip: bool, seed: u64) -> ClusterConfig {
    let program =
        std::env::var_os("REEDWALK").map_or("target/release/reedwalk".into(), std::path::PathBuf::from);
    ClusterConfig { gossip, ..ClusterConfig::new(program, gateways, ENGINES, seed) }
}

/// Times that this gateway declared a live one dead.
fn false_alarms(gateway: &GatewayProcess) -> usize {
    let field = |line: &str, key: &str| -> Option<u32> {
        line.split(key).nth(1)?.split([',', ' ']).next()?.parse().ok()
    };
    let is_decrease = |l: &&LogLine| {
        l.text.contains("live gateways changed")
            && field(&l.text, "gateways: ") < field(&l.text, "gateways_before: ")
    };
    gateway.log().iter().filter(is_decrease).count()
}

fn run(gateways: usize, gossip: bool, loss: f64, seed: u64) -> Observation {
    let mut cluster = Cluster::start(cluster_config(gateways, gossip, seed));
    cluster.gossip_network.set_default_fault(DatagramFault::lossy(loss));
    cluster.start_load(&Load::lookups(gateways, REQUEST_RATE / gateways as f64, REQUEST_WORK_MS, seed));
    cluster.run_for(HEALTHY_TIME);
    let (failing_since, cpu) =
        (Instant::now(), cluster.all_gateways().map(GatewayProcess::cpu_ms).sum::<f64>());
    cluster.set_engine_behavior(0, EngineBehavior::Failing);
    cluster.run_for(FAILING_TIME);
    let cpu = (cluster.all_gateways().map(GatewayProcess::cpu_ms).sum::<f64>() - cpu)
        / gateways as f64
        / FAILING_TIME.as_millis() as f64;
    let ejected_after_s = cluster
        .all_gateways()
        .filter_map(|gateway| gateway.first_logged(&EJECTION_RECORDS, failing_since))
        .map(|at| (at - failing_since).as_secs_f64());
    let mut ejected_after_s: Vec<_> = ejected_after_s.collect();
    ejected_after_s.sort_by(f64::total_cmp);
    let bytes: usize =
        (0..gateways).map(|gateway| cluster.gossip_network.bytes_sent_since(gateway, failing_since)).sum();
    let errors = cluster.attempts_since(0, failing_since);
    let requests = cluster.end_load();
    let served = requests.iter().filter(|request| request.outcome == RequestOutcome::Served).count() as f64
        / requests.len().max(1) as f64;
    let applied = cluster.applied_faults();
    assert!(!gossip || loss == 0.0 || applied.lost > 0, "the fault was never applied: {applied}");
    Observation {
        errors,
        requests: requests.len(),
        served,
        ejected_after_s,
        bytes_per_second: bytes as f64 / gateways as f64 / FAILING_TIME.as_secs_f64(),
        cpu_percent: cpu * 100.0,
        false_alarms: cluster.all_gateways().map(false_alarms).sum(),
    }
}

/// Attempts at the engine that received the fewest, as a fraction of an equal share. If `is_rogue_active`, a rogue gateway
/// reports all engines as failing meanwhile.
fn min_engine_share(is_rogue_active: bool, seed: u64) -> f64 {
    let key = vec![b'k'; 40];
    let mut cluster = Cluster::start(ClusterConfig {
        rogue_gateways: vec![19],
        signing_key: Some(key.clone()),
        ..cluster_config(20, true, seed)
    });
    cluster.start_load(&Load::lookups(20, REQUEST_RATE / 20.0, REQUEST_WORK_MS, seed));
    cluster.run_for(HEALTHY_TIME);
    let engines: Vec<_> = (0..ENGINES).map(engine_id).collect();
    let started_at = Instant::now();
    let rogue = cluster.start_rogue_gateway(19, Some(&key));
    while started_at.elapsed() < FAILING_TIME {
        if is_rogue_active {
            rogue.report_failing(&engines);
            rogue.report_failing_as_all(&engines, 20);
            rogue.replay();
            rogue.flood(20);
            rogue.begin_incarnation();
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    let attempts: Vec<_> =
        (0..ENGINES).map(|engine| cluster.attempts_since(engine, started_at) as f64).collect();
    let fair_share = attempts.iter().sum::<f64>() / ENGINES as f64;
    attempts.into_iter().fold(f64::MAX, f64::min) / fair_share
}

/// One run: its parameters and its result.
struct Row {
    gateways: usize,
    gossip: bool,
    loss: f64,
    seed: u64,
    observed: Observation,
}

impl Row {
    fn print(&self) {
        let Self { gateways, gossip, loss, seed, observed } = self;
        println!(
            "| {gateways} | {} | {loss:.1} | {seed} | {} | {} | {:.4} | {} | {} | {} | {} | {:.0} | {:.2} | {} |",
            if *gossip { "on" } else { "off" },
            observed.errors,
            observed.requests,
            observed.served,
            observed.ejected_after_s.len(),
            self.seconds_until(0.5),
            self.seconds_until(0.9),
            self.seconds_until(1.0),
            observed.bytes_per_second,
            observed.cpu_percent,
            observed.false_alarms
        );
    }

    /// Seconds until this share of the gateways had ejected the engine, or "never".
    fn seconds_until(&self, share: f64) -> String {
        let index = (self.gateways as f64 * share).ceil() as usize - 1;
        self.observed.ejected_after_s.get(index).map_or("never".to_owned(), |seconds| format!("{seconds:.2}"))
    }

    /// Line of this run in the ejection chart; `None` if the chart does not show it.
    fn ejection_line(&self) -> Option<chart::Line> {
        let is_shown = self.seed == SEEDS[0] && (self.loss == 0.0 || self.loss == 0.3);
        let condition = if !self.gossip { "off".to_owned() } else { format!("on, {} lost", self.loss) };
        let share = |(index, seconds): (usize, &f64)| (*seconds, (index + 1) as f64 / self.gateways as f64);
        let points = self.observed.ejected_after_s.iter().enumerate().map(share).collect();
        is_shown.then(|| (format!("{}, {condition}", self.gateways), points))
    }
}

fn measure() -> Vec<Row> {
    println!(
        "| gateways | gossip | lost | seed | errors | of requests | served | ejected | half (s) | 90% (s) | all (s) | bytes/s each | CPU % each | false alarms |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut rows = Vec::new();
    for gateways in FLEET_SIZES {
        for (gossip, loss) in [(false, 0.0), (true, 0.0), (true, 0.1), (true, 0.3), (true, 0.5)] {
            for seed in SEEDS {
                let row = Row { gateways, gossip, loss, seed, observed: run(gateways, gossip, loss, seed) };
                row.print();
                rows.push(row);
            }
        }
    }
    rows
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let values: Vec<_> = values.collect();
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Mean errors with gossip, by the share of lost datagrams.
fn errors_by_loss(rows: &[Row], gateways: usize) -> chart::Line {
    let point = |loss: f64| {
        let same = rows.iter().filter(|row| row.gateways == gateways && row.gossip && row.loss == loss);
        (loss, mean(same.map(|row| row.observed.errors as f64)))
    };
    (format!("{gateways} gateways"), [0.0, 0.1, 0.3, 0.5].map(point).to_vec())
}

fn draw_charts(rows: &[Row]) -> Result<(), Box<dyn std::error::Error>> {
    let folder = Path::new("docs/design/charts");
    std::fs::create_dir_all(folder)?;
    let lines: Vec<_> = rows.iter().filter_map(Row::ejection_line).collect();
    let title = "Share of gateways that have ejected a failing engine, by seconds since it failed";
    chart::draw_lines(&folder.join("peers-know.svg"), title, ("seconds", "share"), &lines, &[])?;
    let errors = FLEET_SIZES.map(|gateways| errors_by_loss(rows, gateways));
    let title =
        "Errors at a failing engine in ten seconds, by the share of datagrams lost (mean of two seeds)";
    chart::draw_lines(&folder.join("peers-errors.svg"), title, ("share lost", "errors"), &errors, &[])
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!(
        "{} cores; {ENGINES} engines of 8 cores, {REQUEST_RATE} requests/s of {REQUEST_WORK_MS} ms in all; engine 0 fails for {FAILING_TIME:?}",
        core_count()
    );
    let rows = measure();
    draw_charts(&rows)?;
    let rogue_harm =
        mean(SEEDS.iter().map(|seed| min_engine_share(false, *seed) - min_engine_share(true, *seed)));
    let lossless_runs = |gateways: usize, gossip: bool| {
        let is_selected =
            move |row: &&Row| row.gateways == gateways && row.gossip == gossip && row.loss == 0.0;
        rows.iter().filter(is_selected).map(|row| &row.observed)
    };
    let until_all =
        |observed: &Observation| observed.ejected_after_s.get(299).copied().unwrap_or(f64::INFINITY);
    let all_ejected_s = mean(lossless_runs(300, true).map(until_all));
    let errors = |gossip| mean(lossless_runs(300, gossip).map(|observed| observed.errors as f64));
    let bytes = |gateways| mean(lossless_runs(gateways, true).map(|observed| observed.bytes_per_second));
    let false_alarms: usize = rows.iter().filter(|row| row.gossip).map(|row| row.observed.false_alarms).sum();
    println!(
        "gossip: 300 gateways ejected in {all_ejected_s:.2} s, errors with/without = {:.0}/{:.0}, bytes/s each = {:.0} at 20, {:.0} at 300, \
        rogue harm = {:.3}, false alarms = {false_alarms}",
        errors(true),
        errors(false),
        bytes(20),
        bytes(300),
        rogue_harm.max(0.0)
    );
    Ok(())
}
