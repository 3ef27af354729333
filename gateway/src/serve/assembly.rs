//! Assembly of the program: each step builds one subsystem and returns a handle to it.

use super::ServeError;
use super::listeners::{AddressUse, file_stem, listen};
use super::reload::Reloads;
use super::running::Running;
use crate::broker::{Broker, BrokerContext, BrokerOptions, QUEUE_CAPACITY, RecoverySetup, RequestQueue};
use crate::config::Config;
use crate::console::Console;
use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::{self, DiscoverySource};
use crate::drain_guard::DrainGuards;
use crate::engine::{flight, resp};
use crate::front;
use crate::front::flight::Service;
use crate::front::mysql::Front;
use crate::gossip::{self, GossipContext, GossipGroup, GossipTask};
use crate::health::Health;
use crate::hot_restart::{HANDOVER_DELAY, HotRestart};
use crate::message::{BrokerEvent, EndpointMailbox, EngineTransport, GossipHandle, OutlierReport};
use crate::metrics::Metrics;
use crate::multicore::Multicore;
use crate::operator::error::OperatorFileError;
use crate::operator::{EngineWire, Operator, Store};
use crate::persistence;
use crate::quotas::QuotaManager;
use crate::registry::EndpointRegistry;
use crate::registry::override_file::OverrideFile;
use crate::shared_store::client::SharedStoreClient;
use crate::shared_store::unix_ms;
use crate::shutdown::Phase;
use reedwalk_operations::{CapacityShare, ProcessStage};
use reedwalk_recovery::record::Owner;
use reedwalk_scheduler::{EngineObservation, Idempotency, Scheduler};
use reedwalk_settings::{Deployment, Sockets};
use slog::{Logger, error, info, o, warn};
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

/// Share of the descriptors that connections to engines may hold; client sessions take 0.6.
const ENGINE_DESCRIPTOR_SHARE: f64 = 0.3;

/// What every step needs.
struct Base {
    config: Config,
    operator: Operator,
    deployment: Arc<Deployment>,
    sockets: Arc<Sockets>,
    events: mpsc::Sender<BrokerEvent>,
    multicore: Multicore,
    metrics: Arc<Metrics>,
    health: Health,
    phase: watch::Receiver<Phase>,
    log: Logger,
}

/// This process among those of its gateway in a hot restart.
struct Processes {
    /// Folder and stem of the files that they share; `None` without a console.
    files: Option<(PathBuf, String)>,
    share: watch::Receiver<CapacityShare>,
    stage: watch::Sender<ProcessStage>,
    is_second: bool,
}

/// The two ends of what the broker tells the gossip task.
struct GossipChannels {
    outliers: mpsc::Receiver<OutlierReport>,
    observations: watch::Receiver<Vec<EngineObservation>>,
}

/// Starts all subsystems.
///
/// # Errors
/// Where the program can't start.
pub async fn start(mut config: Config, operator: Operator, log: &Logger) -> Result<Running, ServeError> {
    operator.check(&config.limits).map_err(ServeError::Operator)?;
    let group = gossip_group(&config, &operator, log)?;
    let (reloads, sources) = Reloads::new(&config, log);
    let owner = operator.state.as_ref().map(|_| persistence::owner(&config));
    let (phase, phases) = watch::channel(Phase::Open);
    let (events, received) = mpsc::channel(QUEUE_CAPACITY);
    if operator.engines == EngineWire::FlightSql {
        // Flight SQL has no progress reports: their absence must not be taken for an engine's silence.
        config.deployment.core.engine.progress_interval = None;
    }
    let settings = config.deployment.core.clone();
    let mut scheduler = Scheduler::new(settings, config.seed).map_err(ServeError::Settings)?;
    let base = Base::new(config, operator, events, phases, log)?;
    let processes = base.join_processes();
    let shared_store = base.connect_shared_store()?;
    let (gossip_handle, gossip_channels) = gossip_channels();
    let context = BrokerContext {
        endpoints: EndpointMailbox::default(),
        metrics: base.metrics.clone(),
        share: processes.share.clone(),
        phase: base.phase.clone(),
        shared_store: shared_store.clone().filter(|store| store.options().share_keys),
        gossip: group.is_some().then_some(gossip_handle),
    };
    let registry = base.start_registry(&processes, context.endpoints.clone())?;
    let (gossip_closing, closing) = watch::channel(false);
    if let Some(group) = group {
        base.start_gossip(group, gossip_channels, &registry, sources.clone(), closing);
    }
    let recovery = base.restore_state(owner, &registry, &mut scheduler)?;
    let console = base.start_console(&registry)?;
    let transport = base.engine_transport();
    let quotas = base.start_quotas(shared_store)?;
    let options = BrokerOptions { quotas: quotas.clone(), recovery };
    let broker_log = base.log_of("broker");
    let events = base.events.clone();
    let broker = Broker::new(scheduler, transport, &base.deployment, options, context, events, broker_log);
    let broker_ended = base.start_broker(broker, received);
    let lost_cores = base.watch_cores();
    tokio::spawn(discovery::watch(sources, registry, base.config.seed, base.log_of("discovery")));
    let request_queue = RequestQueue::new(base.events.clone(), base.metrics.clone());
    if processes.is_second {
        // The other process gives up half of its connections first.
        sleep_until(Instant::now() + HANDOVER_DELAY).await;
    }
    let (session, sessions) = mpsc::channel(1);
    let (listener, mysql) = listen(base.config.listen, base.address_use())?;
    let flight = base.start_flight_front(&request_queue, &session)?;
    base.start_mysql_front(listener, request_queue, quotas, &processes, session);
    base.health.set_serving(true);
    processes.stage.send_replace(ProcessStage::Serving);
    let deadlines = base.deployment.core.classes.iter().map(|class| class.deadline);
    Ok(Running {
        mysql,
        console,
        flight,
        longest_deadline: deadlines.max().unwrap_or_default(),
        phase,
        health: base.health,
        stage: processes.stage,
        share: processes.share,
        reloads,
        gossip_closing,
        sessions,
        multicore: base.multicore,
        broker_ended,
        lost_cores,
    })
}

/// The gateways that this one gossips with, if it does.
fn gossip_group(
    config: &Config,
    operator: &Operator,
    log: &Logger,
) -> Result<Option<GossipGroup>, ServeError> {
    let Some(options) = &operator.peers else { return Ok(None) };
    let group = gossip::group(options, config).map_err(ServeError::Operator)?;
    if group.is_none() {
        warn!(log, "the settings allow no messages between front ends: peers are off");
    }
    Ok(group)
}

fn gossip_channels() -> (GossipHandle, GossipChannels) {
    let (outliers, reported) = mpsc::channel(gossip::MAX_PENDING_OUTLIERS);
    let (observations, observed) = watch::channel(Vec::new());
    let channels = GossipChannels { outliers: reported, observations: observed };
    (GossipHandle { outliers, observations }, channels)
}

/// The quotas of an operator's file; `None` where it names no contracts, and nothing is checked.
///
/// # Errors
/// Where a contract makes no sense.
pub fn quotas(
    operator: &Operator,
    deployment: &Deployment,
    shared_store: Option<Arc<SharedStoreClient>>,
) -> Result<Option<QuotaManager>, ServeError> {
    let Some(contracts) = &operator.contracts else { return Ok(None) };
    let (classes, gateways) = (&deployment.sockets.classes, deployment.core.gateways);
    let quotas = QuotaManager::new(contracts, classes, gateways, shared_store);
    quotas.map(Some).map_err(ServeError::Contract)
}

impl Base {
    fn new(
        config: Config,
        operator: Operator,
        events: mpsc::Sender<BrokerEvent>,
        phase: watch::Receiver<Phase>,
        log: &Logger,
    ) -> Result<Self, ServeError> {
        let deployment = Arc::new(config.deployment.clone());
        let sockets = Arc::new(deployment.sockets.clone());
        let multicore = Multicore::start(operator.cores).map_err(|error| ServeError::Io("cores", error))?;
        let metrics = Arc::new(Metrics::new(&sockets.classes));
        let (health, log) = (Health::default(), log.clone());
        Ok(Self { config, operator, deployment, sockets, events, multicore, metrics, health, phase, log })
    }

    /// A logger whose lines name the module that writes them.
    fn log_of(&self, module: &'static str) -> Logger {
        self.log.new(o!("part" => module))
    }

    /// With a console, another process of this gateway may listen at the same addresses during a hot restart.
    fn address_use(&self) -> AddressUse {
        if self.config.console.is_some() { AddressUse::Shared } else { AddressUse::Exclusive }
    }

    /// Joins the other processes of this gateway. Only one that operators can reach has any, or files to share.
    fn join_processes(&self) -> Processes {
        let (stage, stages) = watch::channel(ProcessStage::Starting);
        if self.config.console.is_none() {
            let (_, share) = watch::channel(CapacityShare::default());
            return Processes { files: None, share, stage, is_second: false };
        }
        let folder = self.config.folder.clone();
        let stem = file_stem(&self.config.name, self.config.listen);
        let hot_restart = HotRestart::enter(&folder, &stem, self.log_of("hot_restart"));
        let (share, is_second) = (hot_restart.share(), hot_restart.is_second());
        tokio::spawn(hot_restart.watch(stages));
        Processes { files: Some((folder, stem)), share, stage, is_second }
    }

    /// The client of the shared store, if the operator's file names one.
    fn connect_shared_store(&self) -> Result<Option<Arc<SharedStoreClient>>, ServeError> {
        let Store::Redis(url, options) = &self.operator.store else { return Ok(None) };
        let windows = self.deployment.core.classes.iter().filter_map(|class| match class.idempotency {
            Idempotency::Keyed { window, .. } => Some(window),
            _ => None,
        });
        let longest_window = windows.max().unwrap_or_default();
        // Drawn by the system for each process.
        let process = RandomState::new().build_hasher().finish();
        let log = self.log_of("shared_store");
        let client = SharedStoreClient::new(url, options.clone(), process, longest_window, log);
        let client = Arc::new(client.map_err(ServeError::Store)?);
        tokio::spawn(client.clone().run());
        Ok(Some(client))
    }

    /// The owner of the endpoint list, with the endpoints of the configuration and the operators' overrides.
    fn start_registry(
        &self,
        processes: &Processes,
        endpoints: EndpointMailbox,
    ) -> Result<EndpointRegistry, ServeError> {
        let overrides = processes.files.as_ref().map(|(folder, stem)| OverrideFile::new(folder, stem));
        let drain_guards = DrainGuards::new(self.deployment.core.rules.drain_grace);
        let list = EndpointList::new(self.sockets.clone());
        let (metrics, log) = (self.metrics.clone(), self.log_of("registry"));
        let registry = EndpointRegistry::new(list, drain_guards, endpoints, metrics, overrides, log);
        if let Some(known) = &self.config.known {
            let engines = registry.start(known).map_err(ServeError::Known)?;
            let serial = registry.serial();
            info!(self.log, "start"; "name" => &self.config.name, "engines" => engines, "serial" => ?serial);
        }
        tokio::spawn(registry.clone().watch_override_file());
        Ok(registry)
    }

    fn start_gossip(
        &self,
        group: GossipGroup,
        channels: GossipChannels,
        registry: &EndpointRegistry,
        sources: watch::Receiver<DiscoverySource>,
        closing: watch::Receiver<bool>,
    ) {
        let context = GossipContext {
            registry: registry.clone(),
            events: self.events.clone(),
            outliers: channels.outliers,
            observations: channels.observations,
            sources,
            closing,
            metrics: self.metrics.clone(),
            seed: self.config.seed,
        };
        tokio::spawn(GossipTask::new(group, context, self.log_of("gossip")).run());
    }

    /// Restores what the process before has persisted, and starts the thread that persists what this one learns.
    fn restore_state(
        &self,
        owner: Option<Owner>,
        registry: &EndpointRegistry,
        scheduler: &mut Scheduler,
    ) -> Result<Option<RecoverySetup>, ServeError> {
        let (Some(options), Some(owner)) = (&self.operator.state, owner) else { return Ok(None) };
        let log = self.log_of("persistence");
        let folder = persistence::folder::Folder::open(&options.folder).map_err(|error| {
            let what = format!("'state': {}: {error}", options.folder.display());
            ServeError::Operator(OperatorFileError { line: options.line, what })
        })?;
        let memory = persistence::load_snapshot(&folder, owner, &log).memory;
        let now = unix_ms();
        scheduler.restore_class_stats(&persistence::restored_class_stats(
            &memory,
            &self.sockets.classes,
            now,
        ));
        for event in persistence::restored_observations(&memory, registry, now) {
            // They reach the broker after the endpoint list, and before anything that comes from outside.
            let _ = self.events.try_send(event);
        }
        let (persisted_events, received) = mpsc::channel(persistence::QUEUE_CAPACITY);
        let thread = persistence::PersistenceThread {
            folder,
            owner,
            classes: self.sockets.classes.clone(),
            registry: registry.clone(),
            metrics: self.metrics.clone(),
            log,
        };
        thread.start(received).map_err(|error| ServeError::Io("state", error))?;
        let has_name_server = self.config.names.is_some();
        let health = self.health.clone();
        Ok(Some(RecoverySetup { persisted_events, keys: memory.keys, has_name_server, health }))
    }

    fn start_console(&self, registry: &EndpointRegistry) -> Result<Option<SocketAddr>, ServeError> {
        let Some(address) = self.config.console else { return Ok(None) };
        let (listener, address) = listen(address, AddressUse::Exclusive)?;
        let (health, metrics) = (self.health.clone(), self.metrics.clone());
        let console = Console::new(health, metrics, registry.clone(), self.log_of("console"));
        tokio::spawn(Arc::new(console).serve(listener));
        Ok(Some(address))
    }

    fn engine_transport(&self) -> Box<dyn EngineTransport> {
        let max_connections = (self.config.limits.sockets as f64 * ENGINE_DESCRIPTOR_SHARE) as usize;
        let (sockets, events) = (self.sockets.clone(), self.events.clone());
        let (metrics, multicore) = (self.metrics.clone(), self.multicore.clone());
        match self.operator.engines {
            EngineWire::Resp => {
                let interval = self.deployment.core.engine.progress_interval;
                let transport =
                    resp::Transport::new(sockets, max_connections, interval, events, metrics, multicore);
                Box::new(transport)
            }
            EngineWire::FlightSql => {
                Box::new(flight::Transport::new(sockets, max_connections, events, metrics, multicore))
            }
        }
    }

    fn start_quotas(
        &self,
        shared_store: Option<Arc<SharedStoreClient>>,
    ) -> Result<Option<Arc<QuotaManager>>, ServeError> {
        let quotas = quotas(&self.operator, &self.deployment, shared_store)?.map(Arc::new);
        if let Some(quotas) = quotas.clone() {
            tokio::spawn(quotas.run());
        }
        Ok(quotas)
    }

    /// Starts the broker's task. The receiver turns true once it has ended.
    fn start_broker(
        &self,
        broker: Broker<Box<dyn EngineTransport>>,
        received: mpsc::Receiver<BrokerEvent>,
    ) -> watch::Receiver<bool> {
        let task = self.multicore.spawn_broker(broker.run(received));
        let (ended, broker_ended) = watch::channel(false);
        let log = self.log.clone();
        tokio::spawn(async move {
            if let Err(error) = task.await {
                error!(log, "the broker's task has ended"; "error" => %error);
            }
            ended.send_replace(true);
        });
        broker_ended
    }

    /// Watches the cores. The receiver gets the number of each that has ended.
    fn watch_cores(&self) -> mpsc::Receiver<usize> {
        let (lost, lost_cores) = mpsc::channel(1);
        tokio::spawn(self.multicore.clone().watch(lost, self.log_of("multicore")));
        lost_cores
    }

    fn start_flight_front(
        &self,
        request_queue: &RequestQueue,
        session: &mpsc::Sender<()>,
    ) -> Result<Option<SocketAddr>, ServeError> {
        let Some(options) = self.operator.flight.clone() else { return Ok(None) };
        let (listener, address) = listen(options.listen, self.address_use())?;
        let service = Service::new(request_queue.clone(), self.deployment.clone(), self.config.seed);
        let (multicore, phase) = (self.multicore.clone(), self.phase.clone());
        let (session, log) = (session.clone(), self.log_of("flight"));
        tokio::spawn(front::flight::serve(listener, service, options, multicore, phase, session, log));
        Ok(Some(address))
    }

    fn start_mysql_front(
        &self,
        listener: TcpListener,
        request_queue: RequestQueue,
        quotas: Option<Arc<QuotaManager>>,
        processes: &Processes,
        session: mpsc::Sender<()>,
    ) {
        let (deployment, limits, seed) = (self.deployment.clone(), &self.config.limits, self.config.seed);
        let (multicore, log) = (self.multicore.clone(), self.log.clone());
        let front = Front::new(request_queue, deployment, quotas, limits, seed, multicore, log);
        let (phase, share) = (self.phase.clone(), processes.share.clone());
        tokio::spawn(Arc::new(front).serve(listener, phase, share, session));
    }
}
