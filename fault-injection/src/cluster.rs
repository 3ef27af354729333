//! A running cluster: gateways, engines, the relays between them, a load, and what was observed.

pub use crate::cluster_config::{ClusterConfig, engine_id};
use crate::cluster_config::{
    GatewayDependencies, create_gateways, endpoint_list, engine_number, start_discovery, start_engine_relays,
    start_engines, unix_ms,
};
use crate::environment::{RuntimeThread, TemporaryFolder};
use crate::fault::AppliedFaults;
use crate::gossip_network::GossipNetwork;
use crate::load::{Load, RequestRecord, RunningLoad};
use crate::process::GatewayProcess;
use crate::rogue_gateway::RogueGateway;
use crate::tcp_relay::{ConnectionFault, TcpRelay};
use crate::udp_relay::UdpRelay;
use reedwalk_gossip::{SigningKey, SigningKeys};
use reedwalk_testkit::discovery_server::EngineList;
use reedwalk_testkit::request_log::{AttemptEvent, LogEntry, RequestLog};
use reedwalk_testkit::resp::{EngineBehavior, ModelledEngine};
use serde_json::json;
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::runtime::Handle;

/// Address of an absent gateway: the discard port, on which nothing listens.
const UNREACHABLE_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 9);
/// Downtime of an engine during a restart.
const ENGINE_RESTART_DOWNTIME: Duration = Duration::from_millis(50);
/// How often [`Cluster::wait_until`] checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running cluster. Everything is stopped when it is dropped.
// Fields are dropped in declaration order: the processes before the runtimes and the folder.
pub struct Cluster {
    /// The configuration that it was started with.
    pub config: ClusterConfig,
    /// The gateways by their numbers; `None` for each one that a rogue gateway replaces.
    pub gateways: Vec<Option<GatewayProcess>>,
    /// The engines by their numbers.
    pub engines: Vec<ModelledEngine>,
    /// The network that carries gossip between the gateways.
    pub gossip_network: GossipNetwork,
    /// Log of the requests that the engines received.
    pub request_log: RequestLog,
    /// The relays from gateways to engines, by zone and engine.
    pub engine_relays: Vec<Vec<TcpRelay>>,
    /// The load, while one is running.
    pub load: Option<RunningLoad>,
    /// Number of responses that clients received without a request, such as duplicates, in the loads that have ended.
    pub unsolicited_responses: usize,
    /// The rogue gateway, if one was started.
    pub rogue_gateway: Option<RogueGateway>,
    /// When the gateways began to start.
    pub started_at: Instant,
    /// The discovery server's list of engines.
    pub endpoint_list: EngineList,
    /// The relays from gateways to the discovery server.
    pub discovery_relays: Vec<UdpRelay>,
    /// The relays from clients to gateways, by the gateways' numbers; empty where clients connect directly.
    pub client_relays: Vec<Option<TcpRelay>>,
    applied: AppliedFaults,
    /// Runs the engines, the relays and the discovery server.
    server_runtime: RuntimeThread,
    /// Runs the clients.
    client_runtime: RuntimeThread,
    folder: TemporaryFolder,
}

impl Cluster {
    /// Starts a cluster and waits until all gateways serve.
    ///
    /// # Panics
    /// Panics if a part of it can't be started, or a gateway does not serve in time.
    pub fn start(config: ClusterConfig) -> Self {
        let (server_runtime, client_runtime) = (RuntimeThread::new(), RuntimeThread::new());
        let folder = TemporaryFolder::new();
        let request_log = RequestLog::default();
        let engines_started_ms = if config.slow_start { unix_ms() } else { 0 };
        let engines = start_engines(&config, &request_log, &server_runtime.handle);
        let endpoint_list = endpoint_list(&engines, engines_started_ms);
        let discovery_relays = start_discovery(&config, &endpoint_list, &server_runtime.handle);
        let keys = signing_keys(&config);
        let gossip_network = GossipNetwork::start(config.gateways, keys, config.seed, &server_runtime.handle);
        let engine_relays = start_engine_relays(&config, &engines, &server_runtime.handle);
        let dependencies = GatewayDependencies {
            folder: &folder,
            engines: &engines,
            engine_relays: &engine_relays,
            discovery_relays: &discovery_relays,
            network: &gossip_network,
            started_ms: engines_started_ms,
        };
        let gateways = create_gateways(&config, &dependencies);
        let mut cluster = Self {
            config,
            gateways,
            engines,
            gossip_network,
            request_log,
            engine_relays,
            load: None,
            unsolicited_responses: 0,
            rogue_gateway: None,
            started_at: Instant::now(),
            endpoint_list,
            discovery_relays,
            client_relays: Vec::new(),
            applied: AppliedFaults::default(),
            server_runtime,
            client_runtime,
            folder,
        };
        cluster.start_all();
        cluster
    }

    /// Starts all gateways, and then the relays of their clients.
    fn start_all(&mut self) {
        let is_gateway = |number: &usize| self.gateways[*number].is_some();
        let numbers: Vec<_> = (0..self.gateways.len()).filter(is_gateway).collect();
        self.start_gateways(&numbers);
        if self.config.client_relays {
            let runtime = &self.server_runtime.handle;
            let start_relay = |gateway: &GatewayProcess| TcpRelay::start(gateway.address, runtime);
            self.client_relays =
                self.gateways.iter().map(|gateway| gateway.as_ref().map(start_relay)).collect();
        }
    }

    /// Starts these gateways at the same time, and waits until all of them serve.
    fn start_gateways(&mut self, numbers: &[usize]) {
        for &number in numbers {
            self.gateway_mut(number).start();
        }
        for &number in numbers {
            self.gateway_mut(number).wait_until_serving();
            if let Some(address) = self.gateway(number).gossip_address {
                self.gossip_network.set_gateway_address(number, address);
            }
            if let Some(load) = &self.load {
                load.set_address(number, Some(self.client_address(number)));
            }
        }
    }

    /// A gateway by its number.
    ///
    /// # Panics
    /// Panics if a rogue gateway replaces it.
    pub fn gateway(&self, number: usize) -> &GatewayProcess {
        self.gateways[number].as_ref().expect("a rogue gateway has this number")
    }

    fn gateway_mut(&mut self, number: usize) -> &mut GatewayProcess {
        self.gateways[number].as_mut().expect("a rogue gateway has this number")
    }

    /// All gateways except rogue ones.
    pub fn all_gateways(&self) -> impl Iterator<Item = &GatewayProcess> {
        self.gateways.iter().flatten()
    }

    /// The address at which clients reach a gateway: that of its relay, or its own.
    fn client_address(&self, number: usize) -> SocketAddr {
        if let Some(Some(relay)) = self.client_relays.get(number) {
            return relay.address;
        }
        self.gateways[number].as_ref().map_or(UNREACHABLE_ADDRESS, |gateway| gateway.address)
    }

    /// Starts a load, which runs until [`Cluster::end_load`].
    pub fn start_load(&mut self, load: &Load) {
        let addresses: Vec<_> = (0..self.gateways.len()).map(|number| self.client_address(number)).collect();
        let running = load.start(&addresses, &self.client_runtime.handle);
        for &number in &self.config.rogue_gateways {
            running.set_address(number, None);
        }
        self.load = Some(running);
    }

    /// Ends the load, waits until its last request has ended, and returns all of its requests.
    ///
    /// # Panics
    /// Panics if no load is running, or a request does not end in time.
    pub fn end_load(&mut self) -> Vec<RequestRecord> {
        let load = self.load.take().expect("no load is running");
        let records = load.end();
        self.unsolicited_responses += load.unsolicited_responses();
        records
    }

    /// Starts a rogue gateway that replaces the gateway with this number; it signs with `key`, if one is given.
    pub fn start_rogue_gateway(&mut self, number: usize, key: Option<&[u8]>) -> &mut RogueGateway {
        let rogue = RogueGateway::new(number, &self.gossip_network.addresses, key, self.config.seed);
        self.gossip_network.set_gateway_address(number, rogue.address);
        self.rogue_gateway.insert(rogue)
    }

    /// Changes how an engine behaves.
    pub fn set_engine_behavior(&mut self, engine: usize, behavior: EngineBehavior) {
        self.applied.engine_changes += 1;
        self.engines[engine].set_behavior(behavior);
    }

    /// Kills the processes of these gateways. Their clients send nothing until they are restarted.
    pub fn kill(&mut self, numbers: &[usize]) {
        for &number in numbers {
            if let Some(load) = &self.load {
                load.set_address(number, None);
            }
            self.applied.killed += u64::from(self.gateway_mut(number).kill());
        }
    }

    /// Starts these gateways again and waits until they serve. As on the platform, the configuration of each has the discovery
    /// server's events up to now.
    ///
    /// # Panics
    /// Panics if one is already running, or does not serve in time.
    pub fn restart(&mut self, numbers: &[usize]) {
        let (serial, draining) = self.draining_engines();
        for &number in numbers {
            let initial_events = &mut self.gateway_mut(number).config.initial_events;
            initial_events["seq"] = json!(serial);
            let servers = &mut initial_events["results"][0]["fleet"]["servers"];
            for server in servers.as_array_mut().expect("a list of engines") {
                if draining.iter().any(|id| server["id"] == *id.as_str()) {
                    server["state"] = json!("terminating");
                }
            }
        }
        self.start_gateways(numbers);
        self.applied.restarted += numbers.len() as u64;
    }

    /// The serial of the endpoint list, and the identifiers of the engines that are draining in it.
    fn draining_engines(&self) -> (u32, Vec<String>) {
        let list = self.endpoint_list.lock().unwrap();
        let draining = list.1.iter().filter(|endpoint| endpoint.draining);
        (list.0, draining.map(|endpoint| endpoint.id.to_string()).collect())
    }

    /// Suspends the processes of these gateways with SIGSTOP.
    pub fn pause(&mut self, numbers: &[usize]) {
        let paused = numbers.iter().filter(|number| self.gateway(**number).pause()).count();
        self.applied.paused += paused as u64;
    }

    /// Continues the processes of these gateways with SIGCONT.
    pub fn resume(&mut self, numbers: &[usize]) {
        let resumed = numbers.iter().filter(|number| self.gateway(**number).resume()).count();
        self.applied.resumed += resumed as u64;
    }

    /// Marks an engine as draining in the discovery server's list; returns when the list changed.
    ///
    /// # Panics
    /// Panics if the discovery server has panicked.
    pub fn drain_engine(&mut self, engine: usize) -> Instant {
        let mut list = self.endpoint_list.lock().unwrap();
        list.0 += 1;
        let id = engine_id(engine);
        for endpoint in list.1.iter_mut().filter(|endpoint| endpoint.id == id) {
            endpoint.draining = true;
        }
        Instant::now()
    }

    /// Stops an engine and starts another one at its address, with a new start time in the discovery server's list; returns
    /// when the new one was ready.
    ///
    /// # Panics
    /// Panics if the discovery server has panicked.
    pub fn restart_engine(&mut self, engine: usize) -> Instant {
        self.applied.engine_changes += 1;
        self.engines[engine].set_behavior(EngineBehavior::Dead);
        std::thread::sleep(ENGINE_RESTART_DOWNTIME);
        let mut list = self.endpoint_list.lock().unwrap();
        list.0 += 1;
        let id = engine_id(engine);
        for endpoint in list.1.iter_mut().filter(|endpoint| endpoint.id == id) {
            endpoint.started_ms = unix_ms();
        }
        self.engines[engine].set_behavior(EngineBehavior::Healthy);
        Instant::now()
    }

    /// Sets the fault applied to the connections from the gateways of a zone to an engine.
    pub fn set_engine_link_fault(&self, zone: usize, engine: usize, fault: ConnectionFault) {
        self.engine_relays[zone][engine].set_fault(fault);
    }

    /// The cell of an engine, by its identifier.
    ///
    /// # Panics
    /// Panics if the cluster has no such engine.
    pub fn cell(&self, engine_id: &str) -> usize {
        let engine = engine_number(engine_id).expect("an engine of the cluster");
        self.config.cell(engine)
    }

    /// How often each fault was applied so far, over all components of the cluster.
    pub fn applied_faults(&self) -> AppliedFaults {
        let mut applied = self.applied;
        applied.add(&self.gossip_network.applied_faults());
        for relay in &self.discovery_relays {
            applied.add(&relay.applied_faults());
        }
        let client_relays = self.client_relays.iter().flatten();
        for relay in self.engine_relays.iter().flatten().chain(client_relays) {
            let counts = relay.fault_counts();
            applied.connections_stalled += counts.stalled;
            applied.connections_reset += counts.reset;
        }
        applied
    }

    /// Checks that no gateway process has exited on its own.
    ///
    /// # Panics
    /// Panics if one has.
    pub fn check_crashes(&mut self) {
        let gateways = self.gateways.iter_mut().flatten();
        let crashes: Vec<_> = gateways.filter_map(GatewayProcess::crash_report).collect();
        assert!(crashes.is_empty(), "{crashes:?}");
    }

    /// Waits until a condition holds and returns the elapsed time. `description` completes "timed out waiting until".
    ///
    /// # Panics
    /// Panics if it does not hold within `timeout`.
    pub fn wait_until(
        &self,
        description: &str,
        timeout: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Duration {
        let started = Instant::now();
        while !condition(self) {
            assert!(
                started.elapsed() < timeout,
                "timed out after {timeout:?} waiting until {description}; {}",
                self.applied_faults()
            );
            std::thread::sleep(POLL_INTERVAL);
        }
        started.elapsed()
    }

    /// Lets the cluster run for this time, and then checks for crashes.
    ///
    /// # Panics
    /// Panics if a gateway process has exited on its own.
    pub fn run_for(&mut self, duration: Duration) {
        std::thread::sleep(duration);
        self.check_crashes();
    }

    /// Attempts that arrived at an engine at `since` or later.
    pub fn attempts_since(&self, engine: usize, since: Instant) -> usize {
        let id = engine_id(engine);
        let is_attempt = |entry: &&LogEntry| {
            entry.engine == id && entry.at >= since && matches!(entry.event, AttemptEvent::Began { .. })
        };
        self.request_log.entries().iter().filter(is_attempt).count()
    }

    /// The metrics of a gateway by name, read from its console.
    ///
    /// # Panics
    /// Panics if the gateway does not respond, or its response is malformed.
    pub fn metrics(&self, number: usize) -> HashMap<String, u64> {
        let console = self.gateway(number).console;
        self.server_runtime.handle.block_on(reedwalk_testkit::console::metrics(console))
    }

    /// The runtime of the engines, relays and discovery server.
    pub fn runtime(&self) -> &Handle {
        &self.server_runtime.handle
    }

    /// The folder of the cluster's files.
    pub fn folder(&self) -> &Path {
        &self.folder.0
    }
}

fn signing_keys(config: &ClusterConfig) -> SigningKeys {
    let key = |key: &Vec<u8>| SigningKey::new(key).expect("the signing key is too short");
    SigningKeys(config.signing_key.iter().map(key).collect())
}
