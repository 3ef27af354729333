//! Runs all scheduler instances of a simulation: for each input line of events it writes one line of messages.

use crate::gossip;
use crate::instance::{Instance, Reply, UnknownSheet};
use crate::wire::{self, Incoming};
use reedwalk_scheduler::{Scheduler, SettingsError};
use reedwalk_settings::ReadError;
use std::collections::BTreeMap;
use std::fmt;

/// Why an event was rejected.
#[derive(Debug)]
pub enum EventError {
    /// It is not a valid message of the simulator.
    Json(serde_json::Error),
    /// The settings object of a new instance could not be read.
    SettingsObject(ReadError),
    /// The scheduler rejected the settings of a new instance.
    Settings(SettingsError),
    /// It refers to an endpoint list that was not sent before.
    Endpoints(UnknownSheet),
}

impl fmt::Display for EventError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Json(error) => write!(f, "{error}"),
            Self::SettingsObject(error) => write!(f, "{error}"),
            Self::Settings(error) => write!(f, "{error}"),
            Self::Endpoints(error) => write!(f, "{error}"),
        }
    }
}

/// Why an input line was rejected.
#[derive(Debug)]
pub enum LineError {
    /// It is not a valid batch of events.
    Json(serde_json::Error),
    /// The position of the invalid event, counted from 1, and its error.
    Event(usize, EventError),
}

impl fmt::Display for LineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Json(error) => write!(f, "{error}"),
            Self::Event(position, error) => write!(f, "event {position}: {error}"),
        }
    }
}

impl std::error::Error for EventError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Json(error) => Some(error),
            Self::SettingsObject(error) => Some(error),
            Self::Settings(error) => Some(error),
            Self::Endpoints(error) => Some(error),
        }
    }
}

impl std::error::Error for LineError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Json(error) => Some(error),
            Self::Event(_, error) => Some(error),
        }
    }
}

/// All instances of the simulation, and the endpoint lists that the simulator has sent.
pub struct Adapter {
    /// Whether instances gossip, if their settings allow it.
    with_gossip: bool,
    instances: BTreeMap<u64, Instance>,
    /// Endpoint lists by sheet number.
    sheets: BTreeMap<u64, Vec<wire::EndpointLine>>,
}

impl Adapter {
    /// Creates an adapter without instances.
    pub fn new(with_gossip: bool) -> Self {
        Self { with_gossip, instances: BTreeMap::new(), sheets: BTreeMap::new() }
    }

    /// Processes one line: applies its events, then runs each instance that received one, and appends the reply line.
    ///
    /// # Errors
    /// If the line or one of its events is invalid. Earlier events of the line remain applied.
    pub fn process_line(&mut self, line: &str, reply: &mut Vec<u8>) -> Result<(), LineError> {
        let batch: wire::Batch = serde_json::from_str(line).map_err(LineError::Json)?;
        let mut receivers = Vec::new();
        for (position, raw) in batch.inbox.iter().enumerate() {
            let event_error = |error| LineError::Event(position + 1, error);
            let event = serde_json::from_str(raw.get()).map_err(EventError::Json).map_err(event_error)?;
            if let Some(id) = self.on_event(event, batch.at_us).map_err(event_error)?
                && !receivers.contains(&id)
            {
                receivers.push(id);
            }
        }
        reply.extend_from_slice(b"{\"do\":[");
        let mut messages = Reply::new(reply);
        for id in receivers {
            if let Some(instance) = self.instances.get_mut(&id) {
                instance.run(batch.at_us, &mut messages);
            }
        }
        reply.extend_from_slice(b"]}\n");
        Ok(())
    }

    /// Applies one event. Returns the id of the instance that received it, if any.
    fn on_event(&mut self, event: Incoming, at_us: u64) -> Result<Option<u64>, EventError> {
        let id = match event {
            Incoming::Directory { sheet, entries } => {
                self.sheets.insert(sheet, entries);
                return Ok(None);
            }
            Incoming::Spawn { controller_id, seed, settings } => {
                self.spawn(controller_id, seed, &settings, at_us)?;
                return Ok(Some(controller_id));
            }
            Incoming::Detach { controller_id } => {
                self.instances.remove(&controller_id);
                return Ok(None);
            }
            Incoming::Endpoints { controller_id, .. }
            | Incoming::Ingress { controller_id, .. }
            | Incoming::Accepted { controller_id, .. }
            | Incoming::Progress { controller_id, .. }
            | Incoming::Reply { controller_id, .. }
            | Incoming::Hangup { controller_id, .. }
            | Incoming::TickDue { controller_id, .. }
            | Incoming::ProbeDone { controller_id, .. }
            | Incoming::NoteFrom { controller_id, .. } => controller_id,
        };
        let Some(instance) = self.instances.get_mut(&id) else { return Ok(None) };
        if let Incoming::Endpoints { kind, sheet, .. } = &event {
            let sheet = sheet.and_then(|sheet| self.sheets.get(&sheet));
            instance.on_endpoints(kind, sheet, at_us).map_err(EventError::Endpoints)?;
        } else {
            instance.on_message(event, at_us);
        }
        Ok(Some(id))
    }

    fn spawn(
        &mut self,
        id: u64,
        seed: u64,
        settings: &serde_json::Value,
        at_us: u64,
    ) -> Result<(), EventError> {
        let deployment = reedwalk_settings::read(settings).map_err(EventError::SettingsObject)?;
        let gossip = self
            .with_gossip
            .then(|| gossip::GossipPeer::new(&deployment, seed, gossip::millis(at_us)))
            .flatten();
        let scheduler = Scheduler::new(deployment.scheduler, seed).map_err(EventError::Settings)?;
        self.instances.insert(id, Instance::new(id, scheduler, gossip));
        Ok(())
    }
}
