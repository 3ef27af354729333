//! State shared by the steps of the start-up.

use super::ServeError;
use super::listeners::{AddressUse, file_stem};
use crate::config::Config;
use crate::health::Health;
use crate::hot_restart::HotRestart;
use crate::logging;
use crate::message::{BrokerEvent, OutlierReport};
use crate::metrics::Metrics;
use crate::multicore::Multicore;
use crate::operator::OperatorConfig;
use crate::registry::list_exchange::ListExchange;
use crate::request_ids::RequestIdExchange;
use crate::session_registry::SessionRegistry;
use crate::shutdown::Phase;
use reedwalk_operations::{CapacityShare, ProcessStage};
use reedwalk_scheduler::EngineObservation;
use reedwalk_settings::{Deployment, Sockets};
use slog::Logger;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Handles and settings that every start-up step needs.
pub(super) struct StartupContext {
    pub(super) config: Config,
    pub(super) operator: OperatorConfig,
    pub(super) deployment: Arc<Deployment>,
    pub(super) sockets: Arc<Sockets>,
    pub(super) events: mpsc::Sender<BrokerEvent>,
    pub(super) multicore: Multicore,
    pub(super) sessions: Arc<SessionRegistry>,
    pub(super) metrics: Arc<Metrics>,
    pub(super) health: Health,
    pub(super) phase: watch::Receiver<Phase>,
    pub(super) log: Logger,
}

/// State of this process among the processes of the same gateway, which coexist during a hot restart.
pub(super) struct ProcessGroup {
    /// The slot of this process; `None` without a console, or if there was none free.
    pub(super) slot: Option<usize>,
    /// Folder and name prefix of the files that the processes share; `None` without a console.
    pub(super) shared_files: Option<(PathBuf, String)>,
    /// Share of the gateway's capacity that this process may use.
    pub(super) capacity_share: watch::Receiver<CapacityShare>,
    /// Console addresses of the gateway's other processes.
    pub(super) other_consoles: watch::Receiver<Vec<SocketAddr>>,
    /// The endpoint lists of the gateway's processes; `None` without a console, or if there was no slot free.
    pub(super) list_exchange: Option<ListExchange>,
    /// The ids of requests in the gateway's processes; `None` likewise.
    pub(super) request_ids: Option<RequestIdExchange>,
    pub(super) stage: watch::Sender<ProcessStage>,
    /// Whether another process of this gateway was running at the start.
    pub(super) is_second: bool,
}

/// The fronts after they have started to accept clients.
pub(super) struct Fronts {
    pub(super) mysql: SocketAddr,
    pub(super) flight: Option<SocketAddr>,
    /// Closed once every session has ended.
    pub(super) sessions_closed: mpsc::Receiver<()>,
}

/// Receivers of the broker's reports to the gossip task.
pub(super) struct GossipChannels {
    pub(super) outliers: mpsc::Receiver<OutlierReport>,
    pub(super) observations: watch::Receiver<Vec<EngineObservation>>,
}

impl StartupContext {
    pub(super) fn new(
        config: Config,
        operator: OperatorConfig,
        events: mpsc::Sender<BrokerEvent>,
        phase: watch::Receiver<Phase>,
        log: &Logger,
    ) -> Result<Self, ServeError> {
        let deployment = Arc::new(config.deployment.clone());
        let sockets = Arc::new(deployment.sockets.clone());
        let multicore = Multicore::start(operator.cores).map_err(|error| ServeError::Io("cores", error))?;
        let metrics = Arc::new(Metrics::new(&sockets.classes));
        let (health, log) = (Health::default(), log.clone());
        let sessions = Arc::default();
        Ok(Self {
            config,
            operator,
            deployment,
            sockets,
            events,
            multicore,
            sessions,
            metrics,
            health,
            phase,
            log,
        })
    }

    /// A logger that adds the name of a module to its records.
    pub(super) fn module_log(&self, module: &'static str) -> Logger {
        logging::for_module(&self.log, module)
    }

    /// The longest deadline of all classes.
    pub(super) fn longest_deadline(&self) -> Duration {
        let classes = self.deployment.scheduler.classes.iter();
        classes.map(|class| class.deadline).max().unwrap_or_default()
    }

    /// Addresses are shared only if there is a console, because a hot restart requires one.
    pub(super) fn address_use(&self) -> AddressUse {
        if self.config.console.is_some() { AddressUse::Shared } else { AddressUse::Exclusive }
    }

    /// Joins the other processes of this gateway, which reach this one through its console. A process without a console
    /// takes no part in hot restarts and shares no files.
    pub(super) fn join_process_group(&self, console: Option<SocketAddr>) -> ProcessGroup {
        let (stage, stage_receiver) = watch::channel(ProcessStage::Starting);
        let Some(console) = console else {
            let (_, capacity_share) = watch::channel(CapacityShare::default());
            let (_, other_consoles) = watch::channel(Vec::new());
            return ProcessGroup {
                slot: None,
                shared_files: None,
                capacity_share,
                other_consoles,
                list_exchange: None,
                request_ids: None,
                stage,
                is_second: false,
            };
        };
        let folder = self.config.temp_dir.clone();
        let stem = file_stem(&self.config.name, self.config.listen);
        let hot_restart = HotRestart::register(&folder, &stem, self.module_log("hot_restart"));
        hot_restart.announce_console(console);
        let (capacity_share, other_consoles) = (hot_restart.share(), hot_restart.other_consoles());
        let (slot, is_second) = (hot_restart.slot(), hot_restart.has_other_processes());
        let (files, others) = (hot_restart.files(), hot_restart.other_files());
        let (registry_log, broker_log) = (self.module_log("registry"), self.module_log("broker"));
        let list_exchange = files
            .as_ref()
            .map(|files| ListExchange::new(files.endpoint_list.clone(), others.clone(), registry_log));
        let request_ids = files.map(|files| RequestIdExchange::new(files.request_ids, others, broker_log));
        tokio::spawn(hot_restart.watch(stage_receiver));
        let shared_files = Some((folder, stem));
        ProcessGroup {
            slot,
            shared_files,
            capacity_share,
            other_consoles,
            list_exchange,
            request_ids,
            stage,
            is_second,
        }
    }
}
