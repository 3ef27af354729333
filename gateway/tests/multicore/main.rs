//! A gateway on several cores: stalls, the loss of a core, and decisions that the cores coordinate.

#[path = "../support/mod.rs"]
mod support;

mod coordination;
mod core_loss;
mod sessions;
mod stalls;

use reedwalk_gateway::config::Config;
use reedwalk_gateway::operator::OperatorConfig;
use reedwalk_gateway::serve::Running;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use support::mysql::{Client, fields};
use support::{Outcome, TestBed, config_with, gateway, settings};

/// How long a stalled core is blocked: longer than an update of the engine list takes, and longer than an attempt may
/// go without a progress report.
const STALL_DURATION: Duration = Duration::from_millis(3_000);
/// How long a draining engine may still be sent attempts.
const DRAIN_GRACE: Duration = Duration::from_secs(2);

/// An operator file with this number of cores.
fn operator_with_cores(cores: usize) -> OperatorConfig {
    OperatorConfig { cores, ..OperatorConfig::default() }
}

/// The core that has more connections than before.
fn core_of_new_connection(running: &Running, before: &[usize]) -> usize {
    let now = running.multicore().connections_per_core();
    (0..now.len()).find(|c| now[*c] > before[*c]).expect("no core has a new connection")
}

/// Blocks a core for this duration. The core is blocked when this function returns.
fn stall_core(running: &Running, core: usize, duration: Duration) {
    let (sender, receiver) = std::sync::mpsc::channel();
    running.multicore().spawn_on(core, async move {
        sender.send(()).unwrap();
        std::thread::sleep(duration);
    });
    receiver.recv().unwrap();
}

/// A configuration with one engine and a latency objective so long that no request is shed within a few seconds.
fn long_objective_config(discovery: SocketAddr, engine: SocketAddr) -> Config {
    let mut settings = settings();
    settings["RequestClasses"][0]["SloUs"] = json!(6_000_000);
    Config { name_server: Some(discovery), ..config_with(&[engine], &settings) }
}

/// A gateway on four cores with one engine; the session and the connection to the engine are on different cores.
struct SeparateCores {
    running: Running,
    client: Client,
    session_core: usize,
    engine_core: usize,
}

impl SeparateCores {
    async fn start(test_bed: &TestBed, discovery: SocketAddr, engine: SocketAddr) -> Self {
        let running = gateway(long_objective_config(discovery, engine), operator_with_cores(4)).await;
        let before = running.multicore().connections_per_core();
        let mut client = Client::connect(running.mysql).await;
        let session_core = core_of_new_connection(&running, &before);
        let before = running.multicore().connections_per_core();
        assert_eq!(client.outcome(&fields("lookup", 5000, None, "SELECT 1")).await, Outcome::Served);
        let engine_core = core_of_new_connection(&running, &before);
        assert!(
            session_core != engine_core && session_core != 0 && engine_core != 0,
            "core 0 is the broker's, and the two connections must be on different cores"
        );
        assert_eq!(test_bed.attempts("SELECT 1"), 1);
        Self { running, client, session_core, engine_core }
    }
}
