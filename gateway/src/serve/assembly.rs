//! Assembly of the program: in which order the subsystems are started.

use super::ServeError;
use super::base::{Base, GossipChannels};
use super::reload::Reloads;
use super::running::Running;
use crate::broker::{Broker, BrokerOptions, QUEUE_CAPACITY};
use crate::config::Config;
use crate::discovery;
use crate::gossip::{self, GossipGroup};
use crate::message::GossipHandle;
use crate::operator::{EngineWire, Operator};
use crate::persistence;
use crate::shutdown::Phase;
use reedwalk_operations::ProcessStage;
use reedwalk_scheduler::Scheduler;
use slog::{Logger, warn};
use tokio::sync::{mpsc, watch};

/// Starts all subsystems.
///
/// # Errors
/// Where the program can't start.
pub async fn start(mut config: Config, operator: Operator, log: &Logger) -> Result<Running, ServeError> {
    operator.check(&config.limits).map_err(ServeError::Operator)?;
    let group = gossip_group(&config, &operator, log)?;
    let (reloads, sources) = Reloads::new(&config, log);
    let owner = operator.state.as_ref().map(|_| persistence::owner(&config));
    let (phase, phases) = watch::channel(Phase::Serving);
    let (events, received) = mpsc::channel(QUEUE_CAPACITY);
    if operator.engines == EngineWire::FlightSql {
        // Flight SQL has no progress reports: their absence must not be taken for an engine's silence.
        config.deployment.scheduler.engine.progress_interval = None;
    }
    let settings = config.deployment.scheduler.clone();
    let mut scheduler = Scheduler::new(settings, config.seed).map_err(ServeError::Settings)?;
    let base = Base::new(config, operator, events, phases, log)?;
    let processes = base.join_processes();
    let shared_store = base.connect_shared_store()?;
    let (gossip_handle, gossip_channels) = gossip_channels();
    let gossip_handle = group.is_some().then_some(gossip_handle);
    let context = base.broker_context(&processes, shared_store.clone(), gossip_handle);
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
    tokio::spawn(discovery::poll_endpoint_list(
        sources,
        registry,
        base.config.seed,
        base.log_of("discovery"),
    ));
    let fronts = base.start_fronts(quotas, &processes).await?;
    base.health.set_serving(true);
    processes.stage.send_replace(ProcessStage::Serving);
    let deadlines = base.deployment.scheduler.classes.iter().map(|class| class.deadline);
    Ok(Running {
        mysql: fronts.mysql,
        console,
        flight: fronts.flight,
        longest_deadline: deadlines.max().unwrap_or_default(),
        phase,
        health: base.health,
        stage: processes.stage,
        share: processes.share,
        reloads,
        gossip_closing,
        sessions: fronts.sessions,
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
        warn!(log, "gossip disabled by the settings");
    }
    Ok(group)
}

fn gossip_channels() -> (GossipHandle, GossipChannels) {
    let (outliers, reported) = mpsc::channel(gossip::MAX_PENDING_OUTLIERS);
    let (observations, observed) = watch::channel(Vec::new());
    let channels = GossipChannels { outliers: reported, observations: observed };
    (GossipHandle { outliers, observations }, channels)
}
