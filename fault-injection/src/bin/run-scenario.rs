//! Runs one scenario: `run-scenario SCENARIO.kdl [FOLDER]`. Prints what was observed in each second and which faults were
//! applied, and draws charts into the folder. Exits with an error if a fault of the scenario was never applied.

use indicatif::{ProgressBar, ProgressStyle};
use reedwalk_fault_injection::chart;
use reedwalk_fault_injection::cluster::{Cluster, ClusterConfig, engine_id};
use reedwalk_fault_injection::load::RequestRecord;
use reedwalk_fault_injection::scenario::{self, LinkState, Scenario, ScheduledStep, Step};
use reedwalk_fault_injection::tcp_relay::ConnectionFault;
use reedwalk_fault_injection::{AppliedFaults, DatagramFault, Load};
use reedwalk_testkit::load_generator::RequestOutcome;
use reedwalk_testkit::model::Shape;
use reedwalk_testkit::request_log::AttemptEvent;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Path of the gateway program, unless the environment variable `REEDWALK` names one.
const DEFAULT_PROGRAM: &str = "target/release/reedwalk";
/// Folder for charts, unless the command line names one.
const DEFAULT_CHART_FOLDER: &str = "target/scenarios";
/// Message that a gateway logs when it ejects an engine because of reports from other gateways.
const EJECTED_ON_GOSSIP: &str = "engine ejected on gossip";
/// Interval at which due steps are executed.
const STEP_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Length of a step's label in a chart, in characters.
const MAX_LABEL_CHARS: usize = 24;
/// Outcomes of requests, in the order of [`outcome_index`].
const OUTCOME_NAMES: [&str; 4] = ["served", "rejected", "failed", "lost"];

/// A step in a chart: seconds after the start, and a label.
type Mark = (f64, String);

fn run_step(cluster: &mut Cluster, step: &Step) {
    match step {
        Step::SetGossipLinks(fault) => cluster.gossip_network.set_default_fault(*fault),
        Step::Partition { groups } => {
            let group = |gateway: usize| gateway % groups.max(&1);
            let groups = (0..cluster.gateways.len()).map(group).collect();
            cluster.gossip_network.partition(groups);
        }
        Step::Heal => cluster.gossip_network.heal(),
        Step::SetEngine { engine, behavior } => cluster.set_engine_behavior(*engine, *behavior),
        Step::Kill(gateways) => cluster.kill(gateways),
        Step::Restart(gateways) => cluster.restart(gateways),
        Step::Pause(gateways) => cluster.pause(gateways),
        Step::Resume(gateways) => cluster.resume(gateways),
        Step::SetEngineLink { zone, engine, state } => {
            let fault = match state {
                LinkState::Stalled => ConnectionFault::stalled(),
                LinkState::Reset => ConnectionFault::reset(),
                LinkState::Open => ConnectionFault::default(),
            };
            cluster.set_engine_link_fault(*zone, *engine, fault);
        }
    }
}

/// The faults of a scenario that were never applied.
fn unapplied_faults(scenario: &Scenario, applied: &AppliedFaults) -> Vec<&'static str> {
    let has_step =
        |is_match: fn(&Step) -> bool| scenario.steps.iter().any(|scheduled| is_match(&scheduled.step));
    let has_link_fault = |is_match: fn(&DatagramFault) -> bool| {
        let faults = scenario.steps.iter().filter_map(|scheduled| match &scheduled.step {
            Step::SetGossipLinks(fault) => Some(fault),
            _ => None,
        });
        scenario.gossip && faults.into_iter().any(is_match)
    };
    let has_partition = scenario.gossip && has_step(|step| matches!(step, Step::Partition { .. }));
    let has_link_state = |wanted: LinkState| {
        let is_match = |step: &Step| matches!(step, Step::SetEngineLink { state, .. } if *state == wanted);
        scenario.steps.iter().any(|scheduled| is_match(&scheduled.step))
    };
    let expected = [
        (has_link_fault(|fault| fault.loss > 0.0), applied.lost, "lost datagrams"),
        (has_link_fault(|fault| fault.duplication > 0.0), applied.duplicated, "duplicated datagrams"),
        (has_link_fault(|fault| fault.corruption > 0.0), applied.corrupted, "corrupted datagrams"),
        (has_link_fault(|fault| !fault.delay.is_zero()), applied.delayed, "delayed datagrams"),
        (has_partition, applied.blocked, "datagrams blocked by the partition"),
        (
            has_step(|step| matches!(step, Step::SetEngine { .. })),
            applied.engine_changes,
            "changes of engines",
        ),
        (has_step(|step| matches!(step, Step::Kill(_))), applied.killed, "killed processes"),
        (has_step(|step| matches!(step, Step::Restart(_))), applied.restarted, "restarted processes"),
        (has_step(|step| matches!(step, Step::Pause(_))), applied.paused, "paused processes"),
        (has_step(|step| matches!(step, Step::Resume(_))), applied.resumed, "resumed processes"),
        (has_link_state(LinkState::Stalled), applied.connections_stalled, "stalled connections"),
        (has_link_state(LinkState::Reset), applied.connections_reset, "reset connections"),
    ];
    let missing = expected.into_iter().filter(|(is_expected, count, _)| *is_expected && *count == 0);
    missing.map(|(_, _, name)| name).collect()
}

/// What was observed in each second of a run.
struct Observations {
    /// Outcomes of the requests sent in each second, in the order of [`OUTCOME_NAMES`].
    outcomes: Vec<[u64; 4]>,
    /// Attempts at each engine, by engine and second.
    attempts: Vec<Vec<f64>>,
    /// Ejections of engines because of reports from other gateways, by second.
    gossip_ejections: Vec<f64>,
}

impl Observations {
    fn new(cluster: &Cluster, requests: &[RequestRecord], started: Instant, scenario: &Scenario) -> Self {
        let seconds = scenario.duration.as_secs() as usize + 1;
        let second = |at: Instant| {
            let elapsed = at.saturating_duration_since(started).as_secs() as usize;
            elapsed.min(seconds - 1)
        };
        let mut outcomes = vec![[0u64; 4]; seconds];
        for request in requests {
            outcomes[second(request.sent_at)][outcome_index(&request.outcome)] += 1;
        }
        let mut attempts = vec![vec![0.0; seconds]; scenario.engines];
        let entries = cluster.request_log.entries();
        for entry in entries.iter().filter(|entry| matches!(entry.event, AttemptEvent::Began { .. })) {
            if let Some(engine) = (0..scenario.engines).find(|engine| engine_id(*engine) == entry.engine) {
                attempts[engine][second(entry.at)] += 1.0;
            }
        }
        let mut gossip_ejections = vec![0.0; seconds];
        let lines = cluster.all_gateways().flat_map(|gateway| gateway.log());
        for line in lines.filter(|line| line.text.contains(EJECTED_ON_GOSSIP)) {
            gossip_ejections[second(line.at)] += 1.0;
        }
        Self { outcomes, attempts, gossip_ejections }
    }

    fn print(&self) {
        println!("| second | served | rejected | failed | lost | ejections on gossip |");
        println!("| --- | --- | --- | --- | --- | --- |");
        for (second, [served, rejected, failed, lost]) in self.outcomes.iter().enumerate() {
            let ejections = self.gossip_ejections[second];
            println!("| {second} | {served} | {rejected} | {failed} | {lost} | {ejections} |");
        }
    }

    fn draw(&self, folder: &Path, name: &str, marks: &[Mark]) -> Result<(), Box<dyn Error>> {
        std::fs::create_dir_all(folder)?;
        let title = format!("{name}: how requests ended, by the second in which they were sent");
        let path = folder.join(format!("{name}-requests.svg"));
        chart::draw_lines(&path, &title, ("seconds", "requests"), &self.outcome_lines(), marks)?;
        let title = format!("{name}: attempts by engine and second");
        let path = folder.join(format!("{name}-engines.svg"));
        chart::draw_heat_map(&path, &title, ("seconds", "engine"), &self.attempts)?;
        let title = format!("{name}: ejections of engines on the reports of other gateways");
        let points = self.gossip_ejections.iter().enumerate();
        let points = points.map(|(second, count)| (second as f64, *count)).collect();
        let path = folder.join(format!("{name}-gossip-ejections.svg"));
        let lines = [("ejections".to_owned(), points)];
        chart::draw_lines(&path, &title, ("seconds", "ejections"), &lines, marks)
    }

    /// One line of a chart for each outcome of a request.
    fn outcome_lines(&self) -> Vec<chart::Line> {
        let points = |index: usize| {
            let counts = self.outcomes.iter().enumerate();
            counts.map(|(second, counts)| (second as f64, counts[index] as f64)).collect()
        };
        OUTCOME_NAMES.iter().enumerate().map(|(index, name)| ((*name).to_owned(), points(index))).collect()
    }
}

fn outcome_index(outcome: &RequestOutcome) -> usize {
    match outcome {
        RequestOutcome::Served => 0,
        RequestOutcome::Rejected => 1,
        RequestOutcome::Failed => 2,
        RequestOutcome::Lost => 3,
    }
}

fn start_cluster(scenario: &Scenario) -> Cluster {
    let program = std::env::var_os("REEDWALK").map_or(DEFAULT_PROGRAM.into(), PathBuf::from);
    Cluster::start(ClusterConfig {
        engine_shape: Shape { cores: scenario.cores, ..Shape::default() },
        zones: scenario.zones,
        slow_start: scenario.slow_start,
        gossip: scenario.gossip,
        ..ClusterConfig::new(program, scenario.gateways, scenario.engines, scenario.seed)
    })
}

fn load(scenario: &Scenario) -> Load {
    let rate_per_gateway = scenario.rate / scenario.gateways as f64;
    let lookups = 1.0 - scenario.statement_share - scenario.keyed_request_share;
    Load {
        class_shares: [lookups, scenario.statement_share, scenario.keyed_request_share],
        ..Load::lookups(scenario.gateways, rate_per_gateway, scenario.work_ms, scenario.seed)
    }
}

/// Executes the steps at their times until the scenario is over; returns marks for the charts.
fn run_steps(
    cluster: &mut Cluster,
    scenario: &Scenario,
    started: Instant,
) -> Result<Vec<Mark>, Box<dyn Error>> {
    let style = ProgressStyle::with_template("{prefix} [{bar:40}] {pos}/{len} s {msg}")?;
    let bar = ProgressBar::new(scenario.duration.as_secs());
    let bar = bar.with_style(style).with_prefix(scenario.name.clone());
    let (mut steps, mut marks) = (scenario.steps.iter().peekable(), Vec::new());
    while started.elapsed() < scenario.duration {
        let is_due = |scheduled: &&ScheduledStep| scheduled.at <= started.elapsed();
        while let Some(ScheduledStep { step, .. }) = steps.next_if(is_due) {
            let label = format!("{step:?}").chars().take(MAX_LABEL_CHARS).collect();
            marks.push((started.elapsed().as_secs_f64(), label));
            run_step(cluster, step);
        }
        bar.set_position(started.elapsed().as_secs());
        cluster.run_for(STEP_POLL_INTERVAL);
    }
    bar.finish_and_clear();
    Ok(marks)
}

/// Mean bytes of gossip that a gateway sent in a second.
fn gossip_bytes_per_second(cluster: &Cluster, scenario: &Scenario, started: Instant) -> f64 {
    let sent = |gateway| cluster.gossip_network.bytes_sent_since(gateway, started);
    let bytes: usize = (0..scenario.gateways).map(sent).sum();
    bytes as f64 / scenario.gateways as f64 / scenario.duration.as_secs_f64()
}

/// Runs a scenario; returns whether all its faults were applied.
fn run(scenario: &Scenario, folder: &Path) -> Result<bool, Box<dyn Error>> {
    let mut cluster = start_cluster(scenario);
    let started = Instant::now();
    cluster.start_load(&load(scenario));
    let marks = run_steps(&mut cluster, scenario, started)?;
    let all_gateways: Vec<_> = (0..scenario.gateways).collect();
    cluster.resume(&all_gateways);
    let requests = cluster.end_load();
    let observations = Observations::new(&cluster, &requests, started, scenario);
    observations.print();
    let bytes = gossip_bytes_per_second(&cluster, scenario, started);
    let max_attempts = cluster.request_log.max_attempts();
    println!(
        "gossip bytes a second for each gateway: {bytes:.0}; attempts of one request at most: {max_attempts}"
    );
    let applied = cluster.applied_faults();
    println!("applied faults: {applied}");
    observations.draw(folder, &scenario.name, &marks)?;
    println!("charts: {}", folder.display());
    let missing = unapplied_faults(scenario, &applied);
    if !missing.is_empty() {
        println!("FAILED: faults of the scenario that were never applied: {}", missing.join(", "));
    }
    Ok(missing.is_empty())
}

fn read_and_run(path: &str, folder: &Path) -> Result<bool, Box<dyn Error>> {
    let text = std::fs::read_to_string(path)?;
    run(&scenario::read(&text)?, folder)
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let Some(path) = arguments.next() else {
        eprintln!("usage: run-scenario SCENARIO.kdl [FOLDER]");
        return ExitCode::FAILURE;
    };
    let folder = arguments.next().map_or(DEFAULT_CHART_FOLDER.into(), PathBuf::from);
    match read_and_run(&path, &folder) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("run-scenario: {path}: {error}");
            ExitCode::FAILURE
        }
    }
}
