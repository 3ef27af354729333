//! Set-up shared by the network tests: configurations, test doubles and a running gateway.

// Each test binary uses only a part of this module.
#![allow(dead_code, unused_imports)]

pub mod process;

pub use reedwalk_testkit::config::{initial_endpoints, settings};
pub use reedwalk_testkit::{
    Outcome, ReceivedAttempt, TestBed, console, discovery_server, flight, mysql, redis, resp, until,
};

use proptest::test_runner::{Config as ProptestConfig, RngAlgorithm, RngSeed};
use reedwalk_gateway::config::Config;
use reedwalk_gateway::limits::Limits;
use reedwalk_gateway::operator::{EngineProtocol, FlightFront, OperatorConfig};
use reedwalk_gateway::serve::{Running, start};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

/// Any free port on loopback.
pub const ANY_PORT: &str = "127.0.0.1:0";

/// Creates a folder for the caller; each call returns another one.
pub fn folder() -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("folder-{}-{number}", std::process::id());
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&path).unwrap();
    path
}

/// The configuration of property tests: the number of cases, which are generated from a fixed seed.
pub fn proptest_cases(cases: u32) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_201),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: None,
        ..ProptestConfig::with_cases(cases)
    }
}

/// A logger that discards every record.
pub fn discard_log() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

/// An address on which nothing listens.
pub async fn unused_address() -> SocketAddr {
    tokio::net::TcpListener::bind(ANY_PORT).await.unwrap().local_addr().unwrap()
}

/// The configuration of a gateway that starts with these engines, with the settings of the test kit.
pub fn config(engines: &[SocketAddr]) -> Config {
    config_with(engines, &settings())
}

/// As [`config`], with other settings.
pub fn config_with(engines: &[SocketAddr], settings: &serde_json::Value) -> Config {
    Config {
        name: "n0".into(),
        listen: ANY_PORT.parse().unwrap(),
        seed: 7,
        limits: Limits::default(),
        name_server: None,
        console: None,
        peer_listen: None,
        peers: Vec::new(),
        temp_dir: folder(),
        initial_endpoints: Some(initial_endpoints(engines)),
        deployment: reedwalk_settings::read(settings).unwrap(),
    }
}

/// An operator file that serves MySQL and Flight SQL clients, with engines that speak the given protocol.
pub fn both_protocols(engine_protocol: EngineProtocol) -> OperatorConfig {
    let flight =
        FlightFront { listen: ANY_PORT.parse().unwrap(), max_connections: 16, max_message_bytes: 256 * 1024 };
    OperatorConfig { flight: Some(flight), engine_protocol, ..OperatorConfig::default() }
}

/// Starts a gateway.
pub async fn gateway(config: Config, operator: OperatorConfig) -> Running {
    start(config, operator, &discard_log()).await.unwrap()
}

/// Starts a gateway with the engines `a` and `b`, which speak RESP.
pub async fn with_engines(test_bed: &TestBed) -> Running {
    gateway(config(&resp_engines(test_bed).await), OperatorConfig::default()).await
}

/// Starts the engines `a` and `b`, which speak RESP, and returns their addresses.
pub async fn resp_engines(test_bed: &TestBed) -> [SocketAddr; 2] {
    [resp::start_engine("a", test_bed.clone()).await, resp::start_engine("b", test_bed.clone()).await]
}

/// Starts the engines `a` and `b`, which speak Flight SQL, and returns their addresses.
pub async fn flight_engines(test_bed: &TestBed) -> [SocketAddr; 2] {
    [flight::start_engine("a", test_bed.clone()).await, flight::start_engine("b", test_bed.clone()).await]
}

/// An engine in service, as the discovery server lists it.
pub fn listed(id: &'static str, address: SocketAddr) -> discovery_server::ListedEngine {
    discovery_server::ListedEngine { id: id.into(), address, draining: false, started_ms: 0 }
}

/// As [`listed`], but the engine drains.
pub fn draining(id: &'static str, address: SocketAddr) -> discovery_server::ListedEngine {
    discovery_server::ListedEngine { draining: true, ..listed(id, address) }
}

/// The engines `s-0` and `s-1` on the list of a discovery server, for tests in which one of them drains.
pub struct ListedEngines {
    /// The configuration of a gateway that polls the server.
    pub config: Config,
    list: discovery_server::EngineList,
    answers: Arc<Mutex<u32>>,
}

impl ListedEngines {
    /// Starts a discovery server that lists both engines as in service.
    pub async fn start(engines: [SocketAddr; 2]) -> Self {
        let list = endpoint_list(1, vec![listed("s-0", engines[0]), listed("s-1", engines[1])]);
        let (server, answers) = discovery_server::start_server(list.clone()).await;
        Self { config: Config { name_server: Some(server), ..config(&engines) }, list, answers }
    }

    /// Lists an engine as draining from now on.
    pub fn drain(&self, engine: usize) {
        let mut list = self.list.lock().unwrap();
        list.0 += 1;
        list.1[engine].draining = true;
    }

    /// Waits until the gateway has read the current list.
    pub async fn wait_until_read(&self) {
        let before = *self.answers.lock().unwrap();
        until("the list was read", || *self.answers.lock().unwrap() >= before + 2).await;
    }
}

/// The engine list of a discovery server, with its serial number.
pub fn endpoint_list(
    serial: u32,
    engines: Vec<discovery_server::ListedEngine>,
) -> discovery_server::EngineList {
    Arc::new(Mutex::new((serial, engines)))
}
