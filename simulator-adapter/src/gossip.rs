//! Gossip among simulated gateways: the same decisions as in the program, with the simulator's notes in place of its
//! datagrams. Off unless the adapter is started with `--peers`, and where the settings forbid it.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use reedwalk_gossip::{
    AgreedObservation, EngineKey, FactKind, GossipAction, GossipNode, Millis, NodeConfig, OwnObservation,
    PeerId, SigningKeys,
};
use reedwalk_scheduler::{
    Action, AttemptEnded, EngineEntry, EngineId, EngineObservation, EngineState, Event, Outcome, RequestId,
    Scheduler, Time,
};
use reedwalk_settings::Deployment;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

/// The simulator's clock may start at 0; that of the gossip starts late enough for every datagram to be recent.
const START: Millis = 1_000_000_000;
/// Bytes that a gateway sends a second at most.
const MAX_BYTES_PER_SECOND: u32 = 8 * 1024;
/// How often the observations of engines are taken.
const OBSERVATION_INTERVAL: Millis = 1_000;

/// The gossip of one simulated gateway.
pub struct GossipPeer {
    node: GossipNode,
    /// The listed engines with the second of their start.
    listed: BTreeMap<EngineKey, u32>,
    engine_by_key: HashMap<EngineKey, EngineId>,
    key_by_engine: HashMap<EngineId, EngineKey>,
    next_observation: Millis,
    /// The engine of each attempt in flight.
    in_flight: HashMap<RequestId, EngineId>,
    /// Requests that an engine has answered with an error.
    with_error: HashSet<RequestId>,
}

/// A time of the simulator in milliseconds of the gossip's clock.
pub fn millis(at_us: u64) -> Millis {
    START + at_us / 1000
}

/// A time of the simulator in seconds of the gossip's clock.
fn unix_second(at: Time) -> u32 {
    (millis(at.0) / 1000) as u32
}

impl GossipPeer {
    /// A gateway that starts now; `None` where it may not send messages, or is alone.
    pub fn new(deployment: &Deployment, seed: u64, now: Millis) -> Option<Self> {
        let settings = &deployment.scheduler;
        let is_enabled = deployment.sockets.may_gossip.unwrap_or(false) && settings.gateways > 1;
        let (local_id, gateway_count) =
            (PeerId::try_from(settings.ordinal).ok()?, settings.gateways as usize);
        let config = NodeConfig {
            local_id,
            gateway_count,
            max_bytes_per_second: MAX_BYTES_PER_SECOND,
            signing_keys: SigningKeys::default(),
            heartbeats_enabled: false,
            seed,
        };
        is_enabled.then(|| Self {
            node: GossipNode::new(config, now),
            listed: BTreeMap::new(),
            engine_by_key: HashMap::new(),
            key_by_engine: HashMap::new(),
            next_observation: now,
            in_flight: HashMap::new(),
            with_error: HashSet::new(),
        })
    }

    /// Takes in a note from another gateway; one that can't be read is ignored.
    pub fn on_note(&mut self, from: u64, body: &str, now: Millis) {
        let bytes = BASE64_STANDARD.decode(body).unwrap_or_default();
        let _ = self.node.on_datagram(PeerId::try_from(from).ok(), &bytes, now);
    }

    /// Takes in a change of an engine.
    pub fn on_endpoint(&mut self, name: &str, entry: &EngineEntry, now: Millis) {
        let key = EngineKey::from(name);
        if entry.state == EngineState::Removed {
            self.listed.remove(&key);
        } else {
            self.listed.insert(key, entry.started.map_or(0, unix_second));
            self.engine_by_key.insert(key, entry.engine);
            self.key_by_engine.insert(entry.engine, key);
        }
        self.node.set_engines(&self.listed, now);
    }

    /// Takes in the end of an attempt.
    pub fn on_attempt_ended(&mut self, ended: &AttemptEnded, now: Millis) {
        let Some(engine) = self.in_flight.remove(&ended.request) else { return };
        let is_repeated = ended.outcome == Outcome::Error && !self.with_error.insert(ended.request);
        let failed = matches!(ended.outcome, Outcome::Error | Outcome::Reset | Outcome::ConnectFailed);
        if failed && !is_repeated {
            self.report(engine, FactKind::AttemptFailed, now, now);
        }
        if ended.closed {
            self.with_error.remove(&ended.request);
        }
    }

    /// Takes in an action of the scheduler.
    pub fn on_action(&mut self, action: &Action, now: Millis) {
        match action {
            Action::Send { request, engine, .. } => _ = self.in_flight.insert(*request, *engine),
            Action::Reject { request, .. } | Action::Fail { request } => _ = self.with_error.remove(request),
            Action::EngineEjected { engine, unresponsive, duration } => {
                let kind = if *unresponsive { FactKind::Unresponsive } else { FactKind::Failing };
                self.report(*engine, kind, now + duration.as_millis() as Millis, now);
            }
            _ => {}
        }
    }

    fn report(&mut self, engine: EngineId, kind: FactKind, until: Millis, now: Millis) {
        if let Some(key) = self.key_by_engine.get(&engine) {
            self.node.report_outlier(*key, kind, until, now);
        }
    }

    /// Takes the scheduler's observations of engines, when they are due.
    pub fn observe(&mut self, scheduler: &Scheduler, now: Millis) {
        if now < self.next_observation {
            return;
        }
        self.next_observation = now + OBSERVATION_INTERVAL;
        let mut observed = Vec::new();
        for observation in scheduler.observations() {
            if let Some(&engine) = self.key_by_engine.get(&observation.engine) {
                let EngineObservation { slowdown, threads, .. } = observation;
                observed.push(OwnObservation { engine, slowdown, threads });
            }
        }
        self.node.set_observations(&observed, now);
    }

    /// The notes to be sent now, encoded, with their receivers, and the events for the scheduler.
    pub fn act(&mut self, now: Millis) -> (Vec<(u64, String)>, Vec<Event>) {
        let (mut actions, mut notes, mut events) = (Vec::new(), Vec::new(), Vec::new());
        self.node.tick(now, &mut actions);
        for action in actions {
            match action {
                GossipAction::Send(to, bytes) => notes.push((u64::from(to), BASE64_STANDARD.encode(bytes))),
                GossipAction::Eject(ejection) => {
                    let duration = Duration::from_millis(ejection.until.saturating_sub(now));
                    let engine = self.engine_by_key.get(&ejection.engine);
                    events.extend(engine.map(|engine| Event::EjectedByGossip { engine: *engine, duration }));
                }
                GossipAction::ApplyObservation(observation) => {
                    events.extend(self.observation_event(observation))
                }
                GossipAction::SetLiveGateways(count) => events.push(Event::LiveGateways(count)),
            }
        }
        (notes, events)
    }

    fn observation_event(&self, observation: AgreedObservation) -> Option<Event> {
        match observation {
            AgreedObservation::Restarted(key, second) => {
                let started = Time((u64::from(second) * 1000).saturating_sub(START) * 1000);
                Some(Event::EngineRestarted { engine: *self.engine_by_key.get(&key)?, started })
            }
            AgreedObservation::Slow(key, slowdown) => {
                Some(Event::SlowdownObserved { engine: *self.engine_by_key.get(&key)?, slowdown })
            }
        }
    }
}

#[cfg(test)]
mod tests;
