//! Recovery of gateway processes from a power loss, with state folders that are outdated, corrupted, lost or copied.

#[path = "support/cluster.rs"]
mod cluster;
mod support;

use cluster::{SECOND, exclusive_machine};
use reedwalk_fault_injection::Load;
use reedwalk_fault_injection::cluster::{Cluster, ClusterConfig};
use reedwalk_fault_injection::fault::DatagramFault;
use reedwalk_testkit::load_generator::RequestOutcome;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};
use support::process::Process;

/// How long the engines of a cell drop repeated requests with the same key.
const DEDUPLICATION_WINDOW: Duration = Duration::from_secs(12);

/// A cluster that stores its state and does not gossip.
fn setup(gateways: usize, engines: usize, seed: u64) -> ClusterConfig {
    ClusterConfig { gossip: false, persistent_state: true, ..cluster::setup(gateways, engines, seed) }
}

/// The file whose name is this prefix and the highest number.
fn newest_file(folder: &Path, prefix: &str) -> Option<PathBuf> {
    let number = |p: &PathBuf| p.file_name()?.to_str()?.strip_prefix(prefix)?.parse::<u64>().ok();
    let files = std::fs::read_dir(folder).ok()?.map(|e| e.unwrap().path());
    files.filter(|p| number(p).is_some()).max_by_key(|p| number(p))
}

/// The outcome of a power loss for requests with idempotency keys.
struct PowerLossResult {
    /// Requests that took effect more than once.
    duplicated: usize,
    /// Requests with a key.
    requests: usize,
    /// Requests that clients sent more than once.
    retried: usize,
    /// Retried requests that were served.
    served: usize,
    /// Retries that were bound to the cell of their first attempt.
    bound: u64,
}

/// Number of gateways in the cluster that loses power.
const GATEWAYS: usize = 12;

/// Corrupts or replaces the state of four gateways; the others keep theirs.
fn corrupt_state(cluster: &Cluster) {
    let folder = |n: usize| cluster.gateway(n).state_folder();
    // The log of gateway 0 is truncated.
    let log = newest_file(&folder(0), "log-").expect("a log");
    let bytes = std::fs::read(&log).unwrap();
    std::fs::write(&log, &bytes[..bytes.len() / 2]).unwrap();
    // One bit in the snapshot of gateway 1 is flipped.
    let snapshot = newest_file(&folder(1), "record-").expect("a snapshot");
    let mut bytes = std::fs::read(&snapshot).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 4;
    std::fs::write(&snapshot, bytes).unwrap();
    // The folder of gateway 2 is lost; gateway 3 has a copy of the folder of gateway 4.
    std::fs::remove_dir_all(folder(2)).unwrap();
    std::fs::remove_dir_all(folder(3)).unwrap();
    std::fs::create_dir(folder(3)).unwrap();
    for entry in std::fs::read_dir(folder(4)).unwrap() {
        let from = entry.unwrap().path();
        std::fs::copy(&from, folder(3).join(from.file_name().unwrap())).unwrap();
    }
}

/// Restarts a third of the gateways every half second.
fn restart_in_waves(cluster: &mut Cluster) {
    for wave in 0..3 {
        cluster.run_for(SECOND / 2);
        let gateways: Vec<_> = (0..GATEWAYS).filter(|n| n % 3 == wave).collect();
        cluster.restart(&gateways);
    }
}

/// Checks that corrupted state and the state of another gateway are logged, that missing and intact state is not, and
/// that all gateways serve.
fn check_recovery_log(cluster: &Cluster, since: Instant) {
    let logged = |n: usize, text: &str| cluster.gateway(n).count_logged(text, since);
    assert!(
        logged(1, "corrupted") > 0 && logged(3, "written by another gateway") > 0,
        "the corrupted state is logged"
    );
    assert_eq!(logged(2, "persisted file ignored") + logged(5, "persisted file ignored"), 0);
    assert!((0..GATEWAYS).all(|n| logged(n, "start-up phase over") > 0));
}

/// Kills all gateways of a cluster that serves requests with keys, and restarts them in three waves; clients retry with
/// the same keys.
fn power_loss(keep_state: bool, seed: u64) -> PowerLossResult {
    let mut cluster =
        Cluster::start(ClusterConfig { persistent_state: keep_state, cells: 3, ..setup(GATEWAYS, 12, seed) });
    let mut load = Load::lookups(GATEWAYS, 10.0, 450.0, seed);
    (load.class_shares, load.retry_window) = ([0.3, 0.0, 0.7], Some(15 * SECOND));
    cluster.start_load(&load);
    cluster.run_for(6 * SECOND);
    let all: Vec<_> = (0..GATEWAYS).collect();
    cluster.kill(&all);
    let killed_at = Instant::now();
    if keep_state {
        corrupt_state(&cluster);
    }
    restart_in_waves(&mut cluster);
    cluster.run_for(3 * SECOND);
    if keep_state {
        check_recovery_log(&cluster, killed_at);
    }
    let bound = if keep_state { (0..GATEWAYS).map(|n| cluster.metrics(n)["state_bound"]).sum() } else { 0 };
    let records = cluster.end_load();
    cluster.check_crashes();
    let keyed: Vec<_> = records.iter().filter(|r| r.key.is_some()).collect();
    let retried: Vec<_> = keyed.iter().filter(|r| r.attempts > 1).collect();
    let result = PowerLossResult {
        duplicated: cluster.request_log.duplicated_keys(|e| cluster.cell(e), DEDUPLICATION_WINDOW),
        requests: keyed.len(),
        retried: retried.len(),
        served: retried.iter().filter(|r| r.outcome == RequestOutcome::Served).count(),
        bound,
    };
    println!(
        "stored state {}: {} requests with keys, {} retried, {} of them served, {} bound to their cell, {} duplicated; {}",
        if keep_state { "kept" } else { "none" },
        result.requests,
        result.retried,
        result.served,
        result.bound,
        result.duplicated,
        cluster.applied_faults()
    );
    assert_eq!(
        (cluster.applied_faults().killed, cluster.applied_faults().restarted),
        (GATEWAYS as u64, GATEWAYS as u64)
    );
    assert!(
        records.iter().all(|r| r.key.is_none() || r.outcome != RequestOutcome::Lost),
        "a request with a key was lost"
    );
    assert_eq!(cluster.unsolicited_responses, 0);
    result
}

#[test]
fn power_loss_doubles_no_request_with_any_state_folder() {
    let _machine = exclusive_machine();
    let (without_state, with_state) = (power_loss(false, 7), power_loss(true, 7));
    assert!(
        with_state.retried > 10 && without_state.retried > 10,
        "{} and {} retried",
        with_state.retried,
        without_state.retried
    );
    assert_eq!(with_state.duplicated, 0);
    assert!(
        with_state.bound > 0 && with_state.served == with_state.retried,
        "{} of {}",
        with_state.served,
        with_state.retried
    );
    assert!(without_state.duplicated > 0, "no request was duplicated without stored state");
}

#[test]
fn repeated_kills_corrupt_no_stored_state() {
    let _machine = exclusive_machine();
    let mut cluster = Cluster::start(ClusterConfig { cells: 2, ..setup(3, 4, 17) });
    let mut load = Load::lookups(3, 60.0, 4.0, 17);
    load.class_shares = [0.4, 0.0, 0.6];
    cluster.start_load(&load);
    let (mut kills, mut random) = (0, 17u64);
    let started_at = Instant::now();
    while kills < 60 {
        // Kills the next gateway at a random time while it serves.
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        cluster.run_for(Duration::from_micros(2_000 + (random >> 33) % 120_000));
        cluster.kill(&[kills % 3]);
        cluster.restart(&[kills % 3]);
        kills += 1;
    }
    cluster.end_load();
    let logged = |text: &str| cluster.all_gateways().map(|g| g.count_logged(text, started_at)).sum::<usize>();
    let (recoveries, corrupted) = (logged("torn_bytes: "), logged("persisted file ignored"));
    println!(
        "{kills} kills: {recoveries} recoveries, {corrupted} corrupted files; {}",
        cluster.applied_faults()
    );
    assert!(recoveries >= kills);
    assert_eq!(corrupted, 0);
}

/// Sends a command to the console of the first gateway; returns the answer.
fn console_call(cluster: &Cluster, line: &str) -> String {
    let console = cluster.gateway(0).console;
    let call = reedwalk_gateway::console::send_command(console, line, tokio::time::Instant::now() + SECOND);
    cluster.runtime().block_on(call).unwrap()
}

#[test]
fn starting_gateway_rejects_until_discovery_answers_or_times_out() {
    let _machine = exclusive_machine();
    let mut cluster = Cluster::start(ClusterConfig { discovery_relays: 1, ..setup(2, 4, 27) });
    cluster.wait_until("served once discovery has answered", SECOND, |c| {
        console_call(c, "HEALTH").starts_with("SUCCESS")
    });
    cluster.discovery_relays[0].set_faults(DatagramFault::blocked(), DatagramFault::blocked());
    cluster.kill(&[0]);
    let started_at = Instant::now();
    cluster.restart(&[0]);
    assert!(console_call(&cluster, "HEALTH").starts_with("FAILURE"), "no engine list yet");
    let mut load = Load::lookups(2, 50.0, 4.0, 27);
    load.rates[1] = 0.0;
    cluster.start_load(&load);
    cluster.wait_until("discovery has timed out", 3 * SECOND, |c| {
        console_call(c, "HEALTH").starts_with("SUCCESS")
    });
    let serving_at = Instant::now();
    cluster.run_for(SECOND);
    let records = cluster.end_load();
    let early: Vec<_> = records.iter().filter(|r| r.sent_at + r.latency < serving_at - SECOND / 10).collect();
    println!("serving {:.1?} after the start; {} rejected before", serving_at - started_at, early.len());
    assert!(
        !early.is_empty()
            && early.iter().all(|r| r.outcome == RequestOutcome::Rejected && r.latency < SECOND / 4)
    );
    let late: Vec<_> = records.iter().filter(|r| r.sent_at > serving_at).collect();
    assert!(!late.is_empty() && late.iter().all(|r| r.outcome == RequestOutcome::Served));
    assert!(cluster.applied_faults().blocked > 0);
    assert_eq!(cluster.gateway(0).count_logged("reason: time, phase: listing", started_at), 1);
}

/// Runs the program until it exits; returns whether it succeeded, and its output.
fn run_reedwalk(args: &[&str]) -> (bool, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_reedwalk")).args(args).output().unwrap();
    let text = [out.stdout, out.stderr].concat();
    (out.status.success(), String::from_utf8_lossy(&text).into_owned())
}

/// Starts a second process with the state folder of the first gateway, and waits until it logs that the folder is in
/// use. Returns the path of its configuration.
fn check_second_writer(cluster: &Cluster) -> PathBuf {
    let (config, operator) = (cluster.folder().join("second.json"), cluster.folder().join("n0.kdl"));
    let first = std::fs::read_to_string(cluster.folder().join("n0.json")).unwrap();
    let mut second: serde_json::Value = serde_json::from_str(&first).unwrap();
    second["listen"] = "127.0.0.1:0".into();
    std::fs::write(&config, second.to_string()).unwrap();
    let process = Process::start(&config, cluster.folder(), Some(&operator));
    cluster.wait_until("the second process stores no state", 5 * SECOND, |_| {
        process.logged("persistence folder in use by another process") == 1
    });
    config
}

#[test]
fn state_commands_work_and_a_second_writer_is_refused() {
    let _machine = exclusive_machine();
    let mut cluster = Cluster::start(setup(1, 2, 37));
    cluster.start_load(&Load::lookups(1, 50.0, 4.0, 37));
    cluster.wait_until("a snapshot exists", 10 * SECOND, |c| {
        newest_file(&c.gateway(0).state_folder(), "record-").is_some()
    });
    cluster.run_for(SECOND / 2);
    let state = cluster.gateway(0).state_folder();
    let folder = state.to_str().unwrap();
    let (succeeded, text) = run_reedwalk(&["state", "show", folder]);
    assert!(succeeded && text.contains(": valid, written ") && text.contains("class lookup"), "{text}");
    assert!(run_reedwalk(&["state", "verify", folder]).0);
    let (succeeded, text) = run_reedwalk(&["state", "forget", folder]);
    assert!(!succeeded && text.contains("in use by a running gateway"), "{text}");
    let config = check_second_writer(&cluster);
    let before = newest_file(&state, "record-").unwrap();
    cluster.kill(&[0]);
    let snapshot = newest_file(&state, "record-").unwrap();
    assert_eq!(before, snapshot);
    std::fs::write(&snapshot, b"reedwalk\x09\x00").unwrap();
    let (succeeded, text) = run_reedwalk(&["state", "verify", folder]);
    assert!(!succeeded && text.contains("of version 9"), "{text}");
    let (succeeded, text) = run_reedwalk(&["state", "forget", folder]);
    assert!(succeeded && text.contains("files deleted"), "{text}");
    assert_eq!(newest_file(&state, "record-"), None);
    assert!(!run_reedwalk(&["state", "show", "/no/such/folder"]).0);
    // A state path that is a file is reported with its line in the operator's file, and the program does not start.
    let file = cluster.folder().join("file");
    std::fs::write(&file, "x").unwrap();
    let operator = cluster.folder().join("invalid.kdl");
    std::fs::write(&operator, format!("// none\nstate {:?}\n", file.display().to_string())).unwrap();
    let (config, operator) = (config.to_str().unwrap(), operator.to_str().unwrap());
    let (succeeded, text) = run_reedwalk(&["serve", "--config", config, "--operator", operator]);
    assert!(!succeeded && text.contains("line 2: 'state'"), "{text}");
}
