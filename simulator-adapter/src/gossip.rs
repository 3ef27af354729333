//! Gossip between simulated gateways. It uses the same logic as the gateway, with the simulator's notes in place of the
//! gateway's datagrams. It is enabled by the flag `--peers`, for instances whose settings allow it.

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

/// Offset from the simulator's clock to the gossip clock. The simulator's clock may start at 0; the offset makes the gossip
/// clock start late enough that every datagram counts as recent.
const CLOCK_OFFSET_MS: Millis = 1_000_000_000;
/// Maximum number of bytes that a gateway sends per second.
const MAX_BYTES_PER_SECOND: u32 = 8 * 1024;
/// Interval at which the scheduler's observations of engines are passed to gossip.
const OBSERVATION_INTERVAL_MS: Millis = 1_000;

/// The gossip node of one simulated gateway.
pub struct GossipPeer {
    node: GossipNode,
    /// Listed engines with their start times, in seconds of the gossip clock.
    listed_engines: BTreeMap<EngineKey, u32>,
    engine_by_key: HashMap<EngineKey, EngineId>,
    key_by_engine: HashMap<EngineId, EngineKey>,
    next_observation: Millis,
    /// The engine of each attempt in flight.
    in_flight: HashMap<RequestId, EngineId>,
    /// Requests of which an attempt has failed with an error.
    requests_with_errors: HashSet<RequestId>,
}

/// Converts a time of the simulator into milliseconds of the gossip clock.
pub fn millis(at_us: u64) -> Millis {
    CLOCK_OFFSET_MS + at_us / 1000
}

/// Converts a time of the simulator into seconds of the gossip clock.
fn gossip_second(at: Time) -> u32 {
    (millis(at.0) / 1000) as u32
}

impl GossipPeer {
    /// Creates the node of a gateway that starts at `now`; `None` if the gateway may not send messages or has no peers.
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
            listed_engines: BTreeMap::new(),
            engine_by_key: HashMap::new(),
            key_by_engine: HashMap::new(),
            next_observation: now,
            in_flight: HashMap::new(),
            requests_with_errors: HashSet::new(),
        })
    }

    /// Handles a note from another gateway; an invalid one is ignored.
    pub fn on_note(&mut self, from: u64, body: &str, now: Millis) {
        let bytes = BASE64_STANDARD.decode(body).unwrap_or_default();
        let _ = self.node.on_datagram(PeerId::try_from(from).ok(), &bytes, now);
    }

    /// Handles a change of an engine's entry in the endpoint list.
    pub fn on_endpoint(&mut self, name: &str, entry: &EngineEntry, now: Millis) {
        let key = EngineKey::from(name);
        if entry.state == EngineState::Removed {
            self.listed_engines.remove(&key);
        } else {
            self.listed_engines.insert(key, entry.started.map_or(0, gossip_second));
            self.engine_by_key.insert(key, entry.engine);
            self.key_by_engine.insert(entry.engine, key);
        }
        self.node.set_engines(&self.listed_engines, now);
    }

    /// Handles the end of an attempt. Of the errors of one request only the first is reported.
    pub fn on_attempt_ended(&mut self, ended: &AttemptEnded, now: Millis) {
        let Some(engine) = self.in_flight.remove(&ended.request) else { return };
        let is_repeated = ended.outcome == Outcome::Error && !self.requests_with_errors.insert(ended.request);
        let failed = matches!(ended.outcome, Outcome::Error | Outcome::Reset | Outcome::ConnectFailed);
        if failed && !is_repeated {
            self.report(engine, FactKind::AttemptFailed, now, now);
        }
        if ended.closed {
            self.requests_with_errors.remove(&ended.request);
        }
    }

    /// Handles an action of the scheduler.
    pub fn on_action(&mut self, action: &Action, now: Millis) {
        match action {
            Action::Send { request, engine, .. } => _ = self.in_flight.insert(*request, *engine),
            Action::Reject { request, .. } | Action::Fail { request } => {
                _ = self.requests_with_errors.remove(request)
            }
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

    /// Passes the scheduler's observations of engines to gossip, if they are due.
    pub fn observe(&mut self, scheduler: &Scheduler, now: Millis) {
        if now < self.next_observation {
            return;
        }
        self.next_observation = now + OBSERVATION_INTERVAL_MS;
        let mut observations = Vec::new();
        for observation in scheduler.observations() {
            if let Some(&engine) = self.key_by_engine.get(&observation.engine) {
                let EngineObservation { slowdown, threads, .. } = observation;
                observations.push(OwnObservation { engine, slowdown, threads });
            }
        }
        self.node.set_observations(&observations, now);
    }

    /// Returns the notes to send now, Base64-encoded and with their receivers, and the events for the scheduler.
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
                let started = Time((u64::from(second) * 1000).saturating_sub(CLOCK_OFFSET_MS) * 1000);
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
