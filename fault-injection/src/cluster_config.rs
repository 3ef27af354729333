//! The configuration of a cluster, and how its parts are created from it before the gateways start.

use crate::environment::TemporaryFolder;
use crate::gossip_network::GossipNetwork;
use crate::process::{GatewayConfig, GatewayProcess, Program, STATE_FOLDER_PLACEHOLDER};
use crate::tcp_relay::TcpRelay;
use crate::udp_relay::UdpRelay;
use reedwalk_testkit::discovery_server::{self, EngineList};
use reedwalk_testkit::model::Shape;
use reedwalk_testkit::request_log::RequestLog;
use reedwalk_testkit::resp::{ModelledEngine, start_modelled_engine};
use serde_json::{Value, json};
use std::io::Write;
use std::net::SocketAddr;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::runtime::Handle;

/// Default number of cores of an engine.
pub(crate) const DEFAULT_ENGINE_CORES: f64 = 8.0;
/// Permissions of a file that only its owner may read.
const PRIVATE_FILE_MODE: u32 = 0o600;
/// Spacing between the seeds of clusters, so that each gateway of each cluster has a different seed.
const GATEWAY_SEED_STEP: u64 = 1_000_003;
/// Prefix of an engine identifier, followed by the number of the engine.
const ENGINE_ID_PREFIX: &str = "s-";

/// The configuration of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// The executable file of the gateway program.
    pub program: PathBuf,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of engines.
    pub engines: usize,
    /// Performance model of all engines.
    pub engine_shape: Shape,
    /// Seed of the faults and of the random decisions of the gateways.
    pub seed: u64,
    /// Whether gateways exchange gossip.
    pub gossip: bool,
    /// The key that gossip is signed with, if it is signed.
    pub signing_key: Option<Vec<u8>>,
    /// Lines that are added to the `peers` block of the operators' files.
    pub gossip_settings: String,
    /// Number of gateway zones. Each zone has its own relay to each engine; 0 means no such relays.
    pub zones: usize,
    /// Number of relays to the discovery server, assigned to gateways round-robin; 0 means no discovery server.
    pub discovery_relays: usize,
    /// Whether clients reach each gateway through a relay.
    pub client_relays: bool,
    /// Whether all engines start together with the cluster and therefore begin with a slow start.
    pub slow_start: bool,
    /// Whether each gateway has persistent state, in its own folder.
    pub persistent_state: bool,
    /// Number of cells, to which engines are assigned round-robin. With more than one, engines deduplicate requests with an
    /// idempotency key only within their cell.
    pub cells: usize,
    /// Numbers of the gateways that are not started because rogue gateways replace them.
    pub rogue_gateways: Vec<usize>,
}

impl ClusterConfig {
    /// A cluster that exchanges unsigned gossip and has no relays, no discovery server and no persistent state.
    pub fn new(program: impl Into<PathBuf>, gateways: usize, engines: usize, seed: u64) -> Self {
        Self {
            program: program.into(),
            gateways,
            engines,
            engine_shape: Shape { cores: DEFAULT_ENGINE_CORES, ..Shape::default() },
            seed,
            gossip: true,
            signing_key: None,
            gossip_settings: String::new(),
            zones: 0,
            discovery_relays: 0,
            client_relays: false,
            slow_start: false,
            persistent_state: false,
            cells: 1,
            rogue_gateways: Vec::new(),
        }
    }

    /// The cell of an engine.
    pub(crate) fn cell(&self, engine: usize) -> usize {
        1 + engine % self.cells
    }
}

/// The identifier of an engine of the cluster, by its number.
pub fn engine_id(engine: usize) -> String {
    format!("{ENGINE_ID_PREFIX}{engine}")
}

/// The number of an engine of the cluster, by its identifier.
pub(crate) fn engine_number(id: &str) -> Option<usize> {
    id.strip_prefix(ENGINE_ID_PREFIX)?.parse().ok()
}

/// The discovery server's events that a gateway starts with: one list of all engines.
fn initial_events(config: &ClusterConfig, engines: &[SocketAddr], started_ms: u64) -> Value {
    let server = |(number, address): (usize, &SocketAddr)| {
        json!({"id": engine_id(number), "addr": address.to_string(), "zone": "hall-a", "kind": "std-8c",
            "cell": config.cell(number), "state": "in_service", "weight": 1, "started_ms": started_ms})
    };
    let servers: Vec<_> = engines.iter().enumerate().map(server).collect();
    json!({"seq": 1, "results": [{"seq": 1, "fleet": {"version": 1, "full": true, "servers": servers}}]})
}

/// Starts the engines, each of which follows the model of the configuration.
pub(crate) fn start_engines(
    config: &ClusterConfig,
    request_log: &RequestLog,
    runtime: &Handle,
) -> Vec<ModelledEngine> {
    let start = |number| {
        let (name, shape, request_log) =
            (engine_id(number), config.engine_shape.clone(), request_log.clone());
        let (sender, receiver) = std::sync::mpsc::channel();
        runtime.spawn(async move {
            sender.send(start_modelled_engine(&name, Some(shape), request_log).await).ok()
        });
        receiver.recv().expect("the engine failed to start")
    };
    (0..config.engines).map(start).collect()
}

/// The discovery server's list of all engines.
pub(crate) fn endpoint_list(engines: &[ModelledEngine], started_ms: u64) -> EngineList {
    let endpoint = |(number, engine): (usize, &ModelledEngine)| discovery_server::ListedEngine {
        id: engine_id(number).into(),
        address: engine.address,
        draining: false,
        started_ms,
    };
    EngineList::new(Mutex::new((1, engines.iter().enumerate().map(endpoint).collect())))
}

/// Starts the discovery server and the relays to it, if the configuration has one.
pub(crate) fn start_discovery(config: &ClusterConfig, list: &EngineList, runtime: &Handle) -> Vec<UdpRelay> {
    if config.discovery_relays == 0 {
        return Vec::new();
    }
    let is_supported = config.zones == 0 && config.cells == 1;
    assert!(is_supported, "the discovery server has one address and one cell for each engine");
    let (list, (sender, receiver)) = (list.clone(), std::sync::mpsc::channel());
    runtime.spawn(async move { sender.send(discovery_server::start_server(list).await.0).ok() });
    let server = receiver.recv().expect("the discovery server failed to start");
    let start_relay = |number| UdpRelay::start(server, config.seed + number as u64, runtime);
    (0..config.discovery_relays).map(start_relay).collect()
}

/// Starts the relays to the engines, by zone and engine.
pub(crate) fn start_engine_relays(
    config: &ClusterConfig,
    engines: &[ModelledEngine],
    runtime: &Handle,
) -> Vec<Vec<TcpRelay>> {
    let start_relay = |engine: &ModelledEngine| TcpRelay::start(engine.address, runtime);
    (0..config.zones).map(|_| engines.iter().map(start_relay).collect()).collect()
}

/// Contents of the operator's file that all gateways share, if they need one.
fn operator_file(config: &ClusterConfig, folder: &TemporaryFolder) -> Option<String> {
    let mut text = String::new();
    if config.gossip {
        let key_line = config.signing_key.as_ref().map_or(String::new(), |key| {
            let path = folder.0.join("peers.key");
            write_private_file(&path, key);
            format!("  key {:?}\n", path.display().to_string())
        });
        text += &format!("peers {{\n{key_line}{}}}\n", config.gossip_settings);
    }
    if config.persistent_state {
        text += &format!("state \"{STATE_FOLDER_PLACEHOLDER}\"\n");
    }
    (!text.is_empty()).then_some(text)
}

/// Writes a file that only its owner may read.
fn write_private_file(path: &Path, bytes: &[u8]) {
    let mut options = std::fs::OpenOptions::new();
    options.write(true).create(true).truncate(true).mode(PRIVATE_FILE_MODE);
    let mut file = options.open(path).expect("the folder is writable");
    file.write_all(bytes).expect("the file is writable");
}

/// The components of a cluster that its gateways are configured to reach.
pub(crate) struct GatewayDependencies<'a> {
    pub(crate) folder: &'a TemporaryFolder,
    pub(crate) engines: &'a [ModelledEngine],
    /// By zone and engine.
    pub(crate) engine_relays: &'a [Vec<TcpRelay>],
    pub(crate) discovery_relays: &'a [UdpRelay],
    pub(crate) network: &'a GossipNetwork,
    /// When the engines started, in milliseconds of the Unix clock; 0 means long ago.
    pub(crate) started_ms: u64,
}

impl GatewayDependencies<'_> {
    /// The addresses at which a gateway reaches the engines.
    fn engine_addresses(&self, config: &ClusterConfig, gateway: usize) -> Vec<SocketAddr> {
        match self.engine_relays.get(gateway % config.zones.max(1)) {
            Some(zone) => zone.iter().map(|relay| relay.address).collect(),
            None => self.engines.iter().map(|engine| engine.address).collect(),
        }
    }

    /// The address at which a gateway reaches the discovery server, if there is one.
    fn discovery_server(&self, config: &ClusterConfig, gateway: usize) -> Option<SocketAddr> {
        let relay = self.discovery_relays.get(gateway % config.discovery_relays.max(1))?;
        Some(relay.address)
    }
}

/// Creates the gateways without starting them; `None` for each one that a rogue gateway replaces.
pub(crate) fn create_gateways(
    config: &ClusterConfig,
    dependencies: &GatewayDependencies<'_>,
) -> Vec<Option<GatewayProcess>> {
    let operator_file = operator_file(config, dependencies.folder);
    let program = Program { path: config.program.clone(), folder: dependencies.folder.0.clone() };
    let create = |number| {
        if config.rogue_gateways.contains(&number) {
            return None;
        }
        let engine_addresses = dependencies.engine_addresses(config, number);
        let gateway_config = GatewayConfig {
            number,
            gateways: config.gateways,
            initial_events: initial_events(config, &engine_addresses, dependencies.started_ms),
            discovery_server: dependencies.discovery_server(config, number),
            gossip_addresses: dependencies.network.addresses.to_vec(),
            operator_file: operator_file.clone(),
            deduplicates_by_cell: config.cells > 1,
            seed: config.seed.wrapping_mul(GATEWAY_SEED_STEP) + number as u64,
        };
        Some(GatewayProcess::new(program.clone(), gateway_config))
    };
    (0..config.gateways).map(create).collect()
}

/// Milliseconds of the Unix clock.
pub(crate) fn unix_ms() -> u64 {
    let since_epoch =
        SystemTime::now().duration_since(UNIX_EPOCH).expect("the system clock is set before 1970");
    since_epoch.as_millis() as u64
}
