//! Start-up of the gateway: starts the subsystems in order of their dependencies.

use super::ServeError;
use super::base::{GossipChannels, StartupContext};
use super::reload::ConfigReloader;
use super::running::Running;
use crate::broker::{BrokerOptions, QUEUE_CAPACITY};
use crate::config::Config;
use crate::gossip::{self, GossipGroup};
use crate::message::GossipHandle;
use crate::operator::{EngineProtocol, OperatorConfig};
use crate::persistence;
use crate::shutdown::Phase;
use reedwalk_operations::ProcessStage;
use reedwalk_scheduler::Scheduler;
use slog::{Logger, warn};
use tokio::sync::{mpsc, watch};

/// Starts all subsystems.
///
/// # Errors
/// If a setting is invalid or a subsystem can't be started.
pub async fn start(
    mut config: Config,
    operator: OperatorConfig,
    log: &Logger,
) -> Result<Running, ServeError> {
    operator.check(&config.limits).map_err(ServeError::OperatorFile)?;
    let group = gossip_group(&config, &operator, log)?;
    let (reloader, sources) = ConfigReloader::new(&config, log);
    let owner = operator.state.as_ref().map(|_| persistence::owner(&config));
    let (phase, phase_receiver) = watch::channel(Phase::Serving);
    let (events, event_receiver) = mpsc::channel(QUEUE_CAPACITY);
    if operator.engine_protocol == EngineProtocol::FlightSql {
        // Flight SQL has no progress reports, so their absence must not count as an unresponsive engine.
        config.deployment.scheduler.engine.progress_interval = None;
    }
    let settings = config.deployment.scheduler.clone();
    let mut scheduler = Scheduler::new(settings, config.seed).map_err(ServeError::Settings)?;
    let startup = StartupContext::new(config, operator, events, phase_receiver, log)?;
    let console = startup.listen_for_console()?;
    let console_address = console.as_ref().map(|(_, address)| *address);
    let mut process_group = startup.join_process_group(console_address);
    let shared_store = startup.connect_shared_store()?;
    let (gossip_handle, gossip_channels) = gossip_channels();
    let gossip_handle = group.is_some().then_some(gossip_handle);
    let context = startup.broker_context(&process_group, shared_store.clone(), gossip_handle);
    let registry = startup.start_registry(&mut process_group, context.endpoints.clone())?;
    let (gossip_closing, closing) = watch::channel(false);
    if let Some(group) = group {
        startup.start_gossip(group, gossip_channels, &registry, sources.clone(), closing);
    }
    let recovery = startup.restore_state(owner, &registry, &mut scheduler)?;
    startup.start_console(console, &registry);
    let transport = startup.engine_transport();
    let quotas = startup.start_quotas(shared_store)?;
    let request_ids = process_group.request_ids.take();
    let options = BrokerOptions { quotas: quotas.clone(), recovery, request_ids };
    let broker_ended = startup.start_broker(scheduler, transport, options, context, event_receiver);
    let lost_cores = startup.watch_cores();
    startup.start_discovery(sources, registry);
    let fronts = startup.start_fronts(quotas, &process_group).await?;
    startup.health.set_serving(true);
    process_group.stage.send_replace(ProcessStage::Serving);
    Ok(Running {
        mysql: fronts.mysql,
        console: console_address,
        flight: fronts.flight,
        longest_deadline: startup.longest_deadline(),
        phase,
        health: startup.health,
        stage: process_group.stage,
        capacity_share: process_group.capacity_share,
        reloader,
        gossip_closing,
        sessions_closed: fronts.sessions_closed,
        multicore: startup.multicore,
        broker_ended,
        lost_cores,
    })
}

/// The gossip group; `None` if gossip is not configured or the settings forbid it.
fn gossip_group(
    config: &Config,
    operator: &OperatorConfig,
    log: &Logger,
) -> Result<Option<GossipGroup>, ServeError> {
    let Some(options) = &operator.peers else { return Ok(None) };
    let group = gossip::resolve_group(options, config).map_err(ServeError::OperatorFile)?;
    if group.is_none() {
        warn!(log, "gossip disabled by the settings");
    }
    Ok(group)
}

fn gossip_channels() -> (GossipHandle, GossipChannels) {
    let (outliers, outlier_receiver) = mpsc::channel(gossip::MAX_PENDING_OUTLIERS);
    let (observations, observation_receiver) = watch::channel(Vec::new());
    let channels = GossipChannels { outliers: outlier_receiver, observations: observation_receiver };
    (GossipHandle { outliers, observations }, channels)
}
