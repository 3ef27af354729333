//! The gossip task: owns the UDP socket, passes datagrams and timer events to the gossip node, and executes its actions.

use super::GossipGroup;
use super::keys::read_keys;
use crate::discovery::DiscoverySource;
use crate::message::{BrokerEvent, OutlierKind, OutlierReport};
use crate::metrics::{Metric, Metrics};
use crate::registry::EndpointRegistry;
use crate::unix_clock::unix_ms;
use reedwalk_gossip::{
    AgreedObservation, EngineKey, FactKind, GossipAction, GossipEjection, GossipNode, MAX_DATAGRAM_BYTES,
    Millis, NodeConfig, OwnObservation, PeerId,
};
use reedwalk_scheduler::{EngineId, EngineObservation, Time};
use slog::{Logger, debug, error, info, warn};
use std::collections::{BTreeMap, HashMap};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

/// Maximum number of queued outlier reports. A dropped report is created again at the next observation.
pub const MAX_PENDING_OUTLIERS: usize = 64;
/// Interval at which the endpoint list is checked for new and restarted engines.
const ENDPOINT_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between attempts to bind the address while another process of this gateway still holds it.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of datagrams read per iteration of the event loop, so that the task's other work is not delayed.
const MAX_DATAGRAMS_PER_ITERATION: usize = 64;

/// Handles through which the gossip task interacts with the rest of the program.
pub struct GossipContext {
    /// Registry of the listed engines.
    pub registry: EndpointRegistry,
    /// Event queue of the broker.
    pub events: mpsc::Sender<BrokerEvent>,
    /// Outlier reports by this gateway's broker.
    pub outliers: mpsc::Receiver<OutlierReport>,
    /// This gateway's latest observations of engines.
    pub observations: watch::Receiver<Vec<EngineObservation>>,
    /// Changes when the configuration is reloaded; the signing keys are reloaded as well.
    pub sources: watch::Receiver<DiscoverySource>,
    /// True once this process shuts down, so that its successor can bind the address.
    pub closing: watch::Receiver<bool>,
    /// Metrics of the gateway.
    pub metrics: Arc<Metrics>,
    /// Seed of the node's random number generator.
    pub seed: u64,
}

/// The gossip task of this gateway.
pub struct GossipTask {
    group: GossipGroup,
    context: GossipContext,
    node: GossipNode,
    /// Unix time at the start; with `started_at` it gives a clock that never goes backwards.
    started_ms: Millis,
    started_at: Instant,
    peer_by_address: HashMap<SocketAddr, PeerId>,
    engine_by_key: HashMap<EngineKey, EngineId>,
    /// Listed engines, with their start time in Unix seconds; 0 if unknown.
    listed_engines: BTreeMap<EngineKey, u32>,
    live_gateways: usize,
    /// Latest live gateway count, kept until the broker's queue has room for it.
    unsent_live_gateways: Option<f64>,
    log: Logger,
}

/// Waits until this process shuts down.
async fn wait_for_shutdown(closing: &mut watch::Receiver<bool>) {
    let _ = closing.wait_for(|closing| *closing).await;
}

impl GossipTask {
    /// Creates the task with a new gossip node.
    pub fn new(group: GossipGroup, context: GossipContext, log: Logger) -> Self {
        let started_ms = unix_ms();
        let count = group.addresses.len();
        let config = NodeConfig {
            local_id: group.own_id,
            gateway_count: count,
            max_bytes_per_second: group.max_bytes_per_second,
            signing_keys: group.keys.clone(),
            heartbeats_enabled: group.heartbeats,
            seed: context.seed,
        };
        let peers = group.addresses.iter().enumerate();
        let peer_by_address = peers.map(|(index, address)| (*address, index as PeerId)).collect();
        Self {
            group,
            context,
            node: GossipNode::new(config, started_ms),
            started_ms,
            started_at: Instant::now(),
            peer_by_address,
            engine_by_key: HashMap::new(),
            listed_engines: BTreeMap::new(),
            live_gateways: count,
            unsent_live_gateways: None,
            log,
        }
    }

    fn now_ms(&self) -> Millis {
        self.started_ms + self.started_at.elapsed().as_millis() as Millis
    }

    fn instant_at(&self, at_ms: Millis) -> Instant {
        self.started_at + Duration::from_millis(at_ms.saturating_sub(self.started_ms))
    }

    /// Runs until this process shuts down.
    pub async fn run(mut self) {
        let Some(socket) = self.open_socket().await else { return };
        let listen = socket.local_addr().unwrap_or(self.group.listen);
        info!(self.log, "gossip started"; "listen" => %listen, "gateway" => self.group.own_id,
            "gateways" => self.group.addresses.len(), "signing" => self.group.describe_signing());
        let (mut actions, mut buffer) = (Vec::new(), [0; MAX_DATAGRAM_BYTES + 1]);
        let mut next_check = Instant::now();
        loop {
            if Instant::now() >= next_check {
                next_check = Instant::now() + ENDPOINT_CHECK_INTERVAL;
                self.update_endpoints();
                self.forward_observations();
                self.update_metrics();
            }
            let node_due =
                self.node.next_tick_at().min(self.now_ms() + ENDPOINT_CHECK_INTERVAL.as_millis() as Millis);
            let due = self.instant_at(node_due).min(next_check);
            tokio::select! {
                readable = socket.readable() => if readable.is_ok() { self.read_datagrams(&socket, &mut buffer) },
                report = self.context.outliers.recv() => match report {
                    Some(report) => self.on_outlier(report),
                    None => return,
                },
                changed = self.context.sources.changed() => match changed {
                    Ok(()) => self.reload_keys(),
                    Err(_) => return,
                },
                () = wait_for_shutdown(&mut self.context.closing) => return,
                () = sleep_until(due) => {}
            }
            self.node.tick(self.now_ms(), &mut actions);
            for action in actions.drain(..) {
                self.apply_action(action, &socket);
            }
        }
    }

    /// Opens the socket, and retries while another process of this gateway still holds the address. Returns `None` if this
    /// process shuts down first.
    async fn open_socket(&mut self) -> Option<UdpSocket> {
        let mut is_logged = false;
        loop {
            let error = match UdpSocket::bind(self.group.listen).await {
                Ok(socket) => return Some(socket),
                Err(error) => error,
            };
            if !std::mem::replace(&mut is_logged, true) {
                self.log_bind_error(&error);
            }
            tokio::select! {
                () = wait_for_shutdown(&mut self.context.closing) => return None,
                () = sleep_until(Instant::now() + BIND_RETRY_INTERVAL) => {}
            }
        }
    }

    fn log_bind_error(&self, error: &std::io::Error) {
        let listen = self.group.listen;
        if error.kind() == ErrorKind::AddrInUse {
            warn!(self.log, "gossip address in use, waiting for it"; "listen" => %listen, "error" => %error);
        } else {
            warn!(self.log, "gossip socket not opened"; "listen" => %listen, "error" => %error);
        }
    }

    fn read_datagrams(&mut self, socket: &UdpSocket, buffer: &mut [u8]) {
        let now = self.now_ms();
        for _ in 0..MAX_DATAGRAMS_PER_ITERATION {
            // Besides `WouldBlock`, this can be an ICMP error for a datagram sent to a closed port, which is ignored.
            let Ok((size, from)) = socket.try_recv_from(buffer) else { return };
            let peer = self.peer_by_address.get(&from).copied();
            if let Err(reason) = self.node.on_datagram(peer, &buffer[..size], now) {
                debug!(self.log, "datagram rejected"; "from" => %from, "reason" => ?reason);
            }
        }
    }

    fn on_outlier(&mut self, report: OutlierReport) {
        let now = self.now_ms();
        let found = self.engine_by_key.iter().find(|(_, engine)| **engine == report.engine);
        let Some((&key, _)) = found else { return };
        let kind = match report.kind {
            OutlierKind::Failing => FactKind::Failing,
            OutlierKind::Unresponsive => FactKind::Unresponsive,
            OutlierKind::AttemptFailed => FactKind::AttemptFailed,
        };
        let remaining = report.ejected_until.saturating_duration_since(Instant::now());
        self.node.report_outlier(key, kind, now + remaining.as_millis() as Millis, now);
    }

    /// Updates the listed engines from the registry.
    fn update_endpoints(&mut self) {
        let (mut engine_by_key, mut listed_engines) = (HashMap::new(), BTreeMap::new());
        self.context.registry.for_each_engine(|name, engine, started| {
            let key = EngineKey::from(name);
            engine_by_key.insert(key, engine);
            listed_engines.insert(key, started.map_or(0, |time| (time.0 / 1_000_000) as u32));
        });
        self.engine_by_key = engine_by_key;
        if self.listed_engines != listed_engines {
            self.node.set_engines(&listed_engines, self.now_ms());
            self.listed_engines = listed_engines;
        }
    }

    /// Passes this gateway's latest observations of engines to the node.
    fn forward_observations(&mut self) {
        if !self.context.observations.has_changed().unwrap_or(false) {
            return;
        }
        let key_by_engine: HashMap<_, _> = self.engine_by_key.iter().map(|(key, id)| (*id, *key)).collect();
        let mut observed = Vec::new();
        for observation in self.context.observations.borrow_and_update().iter() {
            if let Some(&engine) = key_by_engine.get(&observation.engine) {
                let EngineObservation { slowdown, threads, .. } = *observation;
                observed.push(OwnObservation { engine, slowdown, threads });
            }
        }
        self.node.set_observations(&observed, self.now_ms());
    }

    /// Reloads the signing keys; if any of them is invalid, the current keys stay in use.
    fn reload_keys(&mut self) {
        match read_keys(&self.group.key_files) {
            Ok(keys) => self.node.set_signing_keys(keys),
            Err(error) => {
                error!(self.log, "new gossip keys rejected, old keys stay in use"; "error" => %error)
            }
        }
    }

    fn apply_action(&mut self, action: GossipAction, socket: &UdpSocket) {
        match action {
            GossipAction::Send(to, bytes) => {
                // Datagrams may be lost anyway, so a failed send is not retried.
                if let Some(address) = self.group.addresses.get(usize::from(to)) {
                    let _ = socket.try_send_to(&bytes, *address);
                }
            }
            GossipAction::Eject(ejection) => self.on_ejection(ejection),
            GossipAction::ApplyObservation(observation) => self.on_observation(observation),
            GossipAction::SetLiveGateways(count) => self.unsent_live_gateways = Some(count),
        }
        if let Some(count) = self.unsent_live_gateways
            && self.context.events.try_send(BrokerEvent::LiveGateways(count)).is_ok()
        {
            self.unsent_live_gateways = None;
            debug!(self.log, "live gateway count passed to the scheduler"; "gateways" => count);
        }
    }

    fn on_ejection(&mut self, ejection: GossipEjection) {
        let Some(&engine) = self.engine_by_key.get(&ejection.engine) else { return };
        let remaining_ms = ejection.until - self.now_ms();
        info!(self.log, "engine ejected on gossip"; "engine" => engine.0, "ejected_ms" => remaining_ms);
        let until = self.instant_at(ejection.until);
        let _ = self.context.events.try_send(BrokerEvent::EjectedByGossip { engine, until });
    }

    fn on_observation(&mut self, observation: AgreedObservation) {
        let (AgreedObservation::Restarted(key, _) | AgreedObservation::Slow(key, _)) = observation;
        let Some(&engine) = self.engine_by_key.get(&key) else { return };
        let event = match observation {
            AgreedObservation::Restarted(_, unix_s) => {
                info!(self.log, "engine restart reported by gossip"; "engine" => engine.0,
                    "started_unix_s" => unix_s);
                let started = Time(u64::from(unix_s) * 1_000_000);
                BrokerEvent::EngineRestarted { engine, started }
            }
            AgreedObservation::Slow(_, slowdown) => BrokerEvent::SlowdownObserved { engine, slowdown },
        };
        // If the broker's queue is full, the event is dropped; gateways that still observe it will report it again.
        let _ = self.context.events.try_send(event);
    }

    fn update_metrics(&mut self) {
        let now = self.now_ms();
        let (counters, live_gateways) = (self.node.counters(), self.node.live_count(now));
        let threads: f64 =
            self.listed_engines.keys().filter_map(|engine| self.node.threads_in_use(*engine, now)).sum();
        if live_gateways != self.live_gateways {
            info!(self.log, "live gateways changed"; "gateways" => live_gateways,
                "gateways_before" => self.live_gateways);
            self.live_gateways = live_gateways;
        }
        self.context.metrics.set_gossip(vec![
            Metric::gauge("living", live_gateways as u64),
            Metric::counter("sent", counters.sent),
            Metric::counter("sent_bytes", counters.bytes),
            Metric::counter("held_back", counters.rate_limited_sends),
            Metric::counter("taken", counters.accepted),
            Metric::counter("stranger", counters.unknown_sender),
            Metric::counter("flood", counters.rate_limited),
            Metric::counter("forged", counters.bad_signature),
            Metric::counter("garbled", counters.malformed),
            Metric::counter("stale", counters.stale),
            Metric::counter("found", counters.own_reports),
            Metric::counter("kept_back", counters.suppressed_reports),
            Metric::counter("believed", counters.ejections),
            Metric::gauge("engines_aside", self.node.ejected_count(now) as u64),
            Metric::counter("views", counters.agreed_observations),
            Metric::gauge("threads_told", threads.round() as u64),
        ]);
    }
}
