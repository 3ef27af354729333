//! The state that all steps of the assembly share.

use super::ServeError;
use super::listeners::{AddressUse, file_stem};
use crate::config::Config;
use crate::health::Health;
use crate::hot_restart::HotRestart;
use crate::logging;
use crate::message::{BrokerEvent, OutlierReport};
use crate::metrics::Metrics;
use crate::multicore::Multicore;
use crate::operator::Operator;
use crate::shutdown::Phase;
use reedwalk_operations::{CapacityShare, ProcessStage};
use reedwalk_scheduler::EngineObservation;
use reedwalk_settings::{Deployment, Sockets};
use slog::Logger;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

/// What every step needs.
pub(super) struct Base {
    pub(super) config: Config,
    pub(super) operator: Operator,
    pub(super) deployment: Arc<Deployment>,
    pub(super) sockets: Arc<Sockets>,
    pub(super) events: mpsc::Sender<BrokerEvent>,
    pub(super) multicore: Multicore,
    pub(super) metrics: Arc<Metrics>,
    pub(super) health: Health,
    pub(super) phase: watch::Receiver<Phase>,
    pub(super) log: Logger,
}

/// This process among those of its gateway in a hot restart.
pub(super) struct Processes {
    /// Folder and stem of the files that they share; `None` without a console.
    pub(super) files: Option<(PathBuf, String)>,
    pub(super) share: watch::Receiver<CapacityShare>,
    pub(super) stage: watch::Sender<ProcessStage>,
    pub(super) is_second: bool,
}

/// The fronts, once they accept clients.
pub(super) struct Fronts {
    pub(super) mysql: SocketAddr,
    pub(super) flight: Option<SocketAddr>,
    /// Ends once every session has ended.
    pub(super) sessions: mpsc::Receiver<()>,
}

/// The receiving ends of what the broker reports to the gossip task.
pub(super) struct GossipChannels {
    pub(super) outliers: mpsc::Receiver<OutlierReport>,
    pub(super) observations: watch::Receiver<Vec<EngineObservation>>,
}

impl Base {
    pub(super) fn new(
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

    /// A logger whose records name the module that writes them.
    pub(super) fn log_of(&self, module: &'static str) -> Logger {
        logging::for_module(&self.log, module)
    }

    /// With a console, another process of this gateway may listen at the same addresses during a hot restart.
    pub(super) fn address_use(&self) -> AddressUse {
        if self.config.console.is_some() { AddressUse::Shared } else { AddressUse::Exclusive }
    }

    /// Joins the other processes of this gateway. Only one that operators can reach has any, or files to share.
    pub(super) fn join_processes(&self) -> Processes {
        let (stage, stages) = watch::channel(ProcessStage::Starting);
        if self.config.console.is_none() {
            let (_, share) = watch::channel(CapacityShare::default());
            return Processes { files: None, share, stage, is_second: false };
        }
        let folder = self.config.temp_dir.clone();
        let stem = file_stem(&self.config.name, self.config.listen);
        let hot_restart = HotRestart::register(&folder, &stem, self.log_of("hot_restart"));
        let (share, is_second) = (hot_restart.share(), hot_restart.has_other_processes());
        tokio::spawn(hot_restart.watch(stages));
        Processes { files: Some((folder, stem)), share, stage, is_second }
    }
}
