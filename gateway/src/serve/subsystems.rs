//! The steps of the start-up: each starts one subsystem and returns its handle, if it has one.

use super::ServeError;
use super::base::{Fronts, GossipChannels, ProcessGroup, StartupContext};
use super::listeners::{AddressUse, listen};
use crate::broker::{Broker, BrokerContext, BrokerOptions, RecoverySetup, RequestQueue};
use crate::console::Console;
use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::{self, DiscoverySource};
use crate::drain_guard::DrainGuards;
use crate::engine::{flight, resp};
use crate::front;
use crate::front::flight::Service;
use crate::front::mysql::{ConnectionIds, Front, QueryKiller};
use crate::gossip::{GossipContext, GossipGroup, GossipTask};
use crate::hot_restart::HANDOVER_DELAY;
use crate::message::{BrokerEvent, EndpointMailbox, EngineTransport, GossipHandle};
use crate::operator::error::{OperatorFileError, OperatorFileErrorKind};
use crate::operator::{BudgetStore, EngineProtocol, OperatorConfig};
use crate::persistence;
use crate::quotas::QuotaManager;
use crate::registry::EndpointRegistry;
use crate::registry::override_file::OverrideFile;
use crate::shared_store::client::SharedStoreClient;
use crate::unix_clock::unix_ms;
use reedwalk_recovery::snapshot_codec::SnapshotOwner;
use reedwalk_scheduler::Scheduler;
use reedwalk_settings::Deployment;
use slog::{error, info};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

/// Maximum share of the file descriptors that connections to engines may hold; client sessions take 0.6.
const ENGINE_DESCRIPTOR_SHARE: f64 = 0.3;

/// The quotas defined in the operator's file; `None` if it has no contracts, which disables quota checks.
///
/// # Errors
/// If a contract is not valid.
pub fn quotas(
    operator: &OperatorConfig,
    deployment: &Deployment,
    shared_store: Option<Arc<SharedStoreClient>>,
) -> Result<Option<QuotaManager>, ServeError> {
    let Some(contracts) = &operator.contracts else { return Ok(None) };
    let (classes, gateways) = (&deployment.sockets.classes, deployment.scheduler.gateways);
    let quotas = QuotaManager::new(contracts, classes, gateways, shared_store);
    quotas.map(Some).map_err(ServeError::Contract)
}

impl StartupContext {
    /// Starts the client of the shared store, if the operator's file configures one.
    pub(super) fn connect_shared_store(&self) -> Result<Option<Arc<SharedStoreClient>>, ServeError> {
        let BudgetStore::Redis(url, options) = &self.operator.store else { return Ok(None) };
        let classes = self.deployment.scheduler.classes.iter();
        let deduplications = classes.filter_map(|class| class.idempotency.deduplication());
        let longest_window =
            deduplications.map(|deduplication| deduplication.window).max().unwrap_or_default();
        // Random, so that it differs between processes.
        let process_id = rand::random();
        let log = self.module_log("shared_store");
        let client = SharedStoreClient::new(url, options.clone(), process_id, longest_window, log);
        let client = Arc::new(client.map_err(ServeError::SharedStore)?);
        tokio::spawn(client.clone().run());
        Ok(Some(client))
    }

    pub(super) fn broker_context(
        &self,
        process_group: &ProcessGroup,
        shared_store: Option<Arc<SharedStoreClient>>,
        gossip: Option<GossipHandle>,
    ) -> BrokerContext {
        BrokerContext {
            endpoints: EndpointMailbox::default(),
            metrics: self.metrics.clone(),
            share: process_group.capacity_share.clone(),
            phase: self.phase.clone(),
            shared_store: shared_store.filter(|store| store.options().share_keys),
            gossip,
        }
    }

    /// Starts the endpoint registry, with the operators' overrides and the newer one of the endpoint lists of the
    /// configuration and of this gateway's other processes.
    pub(super) fn start_registry(
        &self,
        process_group: &mut ProcessGroup,
        endpoints: EndpointMailbox,
    ) -> Result<EndpointRegistry, ServeError> {
        let overrides =
            process_group.shared_files.as_ref().map(|(folder, stem)| OverrideFile::new(folder, stem));
        let drain_guards = DrainGuards::new(self.deployment.scheduler.rules.drain_grace);
        let list = EndpointList::new(self.sockets.clone());
        let (metrics, log) = (self.metrics.clone(), self.module_log("registry"));
        let registry = EndpointRegistry::new(list, drain_guards, endpoints, metrics, overrides, log);
        if let Some(initial_endpoints) = &self.config.initial_endpoints {
            let engines = registry.apply_events(initial_endpoints).map_err(ServeError::EndpointList)?;
            let serial = registry.serial();
            info!(self.log, "endpoint list of the configuration read"; "gateway" => &self.config.name,
                "engines" => engines, "serial" => ?serial);
        }
        if let Some(mut list_exchange) = process_group.list_exchange.take() {
            list_exchange.read_others(&registry);
            tokio::spawn(list_exchange.run(registry.clone()));
        }
        tokio::spawn(registry.clone().watch_override_file());
        Ok(registry)
    }

    /// Starts the polling of the name server.
    pub(super) fn start_discovery(
        &self,
        sources: watch::Receiver<DiscoverySource>,
        registry: EndpointRegistry,
    ) {
        let log = self.module_log("discovery");
        tokio::spawn(discovery::poll_endpoint_list(sources, registry, log));
    }

    pub(super) fn start_gossip(
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
        tokio::spawn(GossipTask::new(group, context, self.module_log("gossip")).run());
    }

    /// Restores the state that the previous process has persisted, and starts the thread that persists this one's.
    pub(super) fn restore_state(
        &self,
        owner: Option<SnapshotOwner>,
        registry: &EndpointRegistry,
        scheduler: &mut Scheduler,
    ) -> Result<Option<RecoverySetup>, ServeError> {
        let (Some(options), Some(owner)) = (&self.operator.state, owner) else { return Ok(None) };
        let log = self.module_log("persistence");
        let folder = persistence::folder::Folder::open(&options.folder).map_err(|error| {
            let kind = OperatorFileErrorKind::StateFolder(options.folder.clone(), error);
            ServeError::OperatorFile(OperatorFileError { line: options.line, kind })
        })?;
        let snapshot = persistence::load_snapshot(&folder, owner, &log).snapshot;
        let now = unix_ms();
        let class_stats = persistence::restored_class_stats(&snapshot, &self.sockets.classes, now);
        scheduler.restore_class_stats(&class_stats);
        for event in persistence::restored_observations(&snapshot, registry, now) {
            // Queued here so that the broker receives them after the endpoint list and before any external event.
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
        let has_name_server = self.config.name_server.is_some();
        let health = self.health.clone();
        Ok(Some(RecoverySetup { persisted_events, keys: snapshot.keys, has_name_server, health }))
    }

    /// Listens at the console's address, if there is a console. Connections wait until it is started.
    pub(super) fn listen_for_console(&self) -> Result<Option<(TcpListener, SocketAddr)>, ServeError> {
        self.config.console.map(|address| listen(address, AddressUse::Exclusive)).transpose()
    }

    pub(super) fn start_console(
        &self,
        listener: Option<(TcpListener, SocketAddr)>,
        registry: &EndpointRegistry,
    ) {
        let Some((listener, _)) = listener else { return };
        let (health, metrics) = (self.health.clone(), self.metrics.clone());
        let (sessions, log) = (self.sessions.clone(), self.module_log("console"));
        let console = Console::new(health, metrics, registry.clone(), sessions, log);
        tokio::spawn(Arc::new(console).serve(listener));
    }

    pub(super) fn engine_transport(&self) -> Box<dyn EngineTransport> {
        let max_connections = (self.config.limits.sockets as f64 * ENGINE_DESCRIPTOR_SHARE) as usize;
        let (sockets, events) = (self.sockets.clone(), self.events.clone());
        let (metrics, multicore) = (self.metrics.clone(), self.multicore.clone());
        match self.operator.engine_protocol {
            EngineProtocol::Resp => {
                let interval = self.deployment.scheduler.engine.progress_interval;
                let transport =
                    resp::Transport::new(sockets, max_connections, interval, events, metrics, multicore);
                Box::new(transport)
            }
            EngineProtocol::FlightSql => {
                Box::new(flight::Transport::new(sockets, max_connections, events, metrics, multicore))
            }
        }
    }

    pub(super) fn start_quotas(
        &self,
        shared_store: Option<Arc<SharedStoreClient>>,
    ) -> Result<Option<Arc<QuotaManager>>, ServeError> {
        let quotas = quotas(&self.operator, &self.deployment, shared_store)?.map(Arc::new);
        if let Some(quotas) = quotas.clone() {
            tokio::spawn(quotas.run());
        }
        Ok(quotas)
    }

    /// Starts the broker task. The value of the receiver becomes true once the task has ended.
    pub(super) fn start_broker(
        &self,
        scheduler: Scheduler,
        transport: Box<dyn EngineTransport>,
        options: BrokerOptions,
        context: BrokerContext,
        events: mpsc::Receiver<BrokerEvent>,
    ) -> watch::Receiver<bool> {
        let (sender, log) = (self.events.clone(), self.module_log("broker"));
        let broker = Broker::new(scheduler, transport, &self.deployment, options, context, sender, log);
        let task = self.multicore.spawn_broker(broker.run(events));
        let (ended, broker_ended) = watch::channel(false);
        let log = self.log.clone();
        tokio::spawn(async move {
            if let Err(error) = task.await {
                error!(log, "broker task failed"; "error" => %error);
            }
            ended.send_replace(true);
        });
        broker_ended
    }

    /// Starts the monitoring of the cores. The receiver gets the index of each core whose thread has ended.
    pub(super) fn watch_cores(&self) -> mpsc::Receiver<usize> {
        let (lost_sender, lost_cores) = mpsc::channel(1);
        tokio::spawn(self.multicore.clone().watch(lost_sender, self.module_log("multicore")));
        lost_cores
    }

    /// Starts the fronts. In a hot restart, waits for [`HANDOVER_DELAY`] first: by then the previous process has released
    /// half of its connections.
    pub(super) async fn start_fronts(
        &self,
        quotas: Option<Arc<QuotaManager>>,
        process_group: &ProcessGroup,
    ) -> Result<Fronts, ServeError> {
        let request_queue = RequestQueue::new(self.events.clone(), self.metrics.clone());
        if process_group.is_second {
            sleep_until(Instant::now() + HANDOVER_DELAY).await;
        }
        let (session_guard, sessions_closed) = mpsc::channel(1);
        let (listener, mysql) = listen(self.config.listen, self.address_use())?;
        let flight = self.start_flight_front(&request_queue, &session_guard)?;
        let (deployment, limits) = (self.deployment.clone(), &self.config.limits);
        let (multicore, log) = (self.multicore.clone(), self.log.clone());
        let (sessions, other_consoles) = (self.sessions.clone(), process_group.other_consoles.clone());
        let query_killer = QueryKiller::new(sessions, other_consoles, self.module_log("mysql"));
        let front = Front::new(request_queue, deployment, quotas, limits, query_killer, multicore, log);
        let (phase, share) = (self.phase.clone(), process_group.capacity_share.clone());
        let ids = ConnectionIds::new(process_group.slot);
        tokio::spawn(Arc::new(front).serve(listener, ids, phase, share, session_guard));
        Ok(Fronts { mysql, flight, sessions_closed })
    }

    pub(super) fn start_flight_front(
        &self,
        request_queue: &RequestQueue,
        session_guard: &mpsc::Sender<()>,
    ) -> Result<Option<SocketAddr>, ServeError> {
        let Some(options) = self.operator.flight.clone() else { return Ok(None) };
        let (listener, address) = listen(options.listen, self.address_use())?;
        let service = Service::new(request_queue.clone(), self.deployment.clone(), &self.config.limits);
        let (multicore, phase) = (self.multicore.clone(), self.phase.clone());
        let (session_guard, log) = (session_guard.clone(), self.module_log("flight"));
        tokio::spawn(front::flight::serve(listener, service, options, multicore, phase, session_guard, log));
        Ok(Some(address))
    }
}
