//! All instances of a simulation: one line of the simulator in, one line of messages out.

use crate::gossip;
use crate::instance::{Instance, Reply};
use crate::wire::{self, In};
use reedwalk_scheduler::{Scheduler, SettingsError};
use reedwalk_settings::ReadError;
use std::collections::BTreeMap;
use std::fmt;

/// What is wrong with one event.
#[derive(Debug)]
pub enum EventError {
    Json(serde_json::Error),
    BootInfo(ReadError),
    Settings(SettingsError),
    Endpoints(&'static str),
}

impl fmt::Display for EventError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Json(error) => write!(f, "{error}"),
            Self::BootInfo(error) => write!(f, "{error}"),
            Self::Settings(error) => write!(f, "{error}"),
            Self::Endpoints(reason) => write!(f, "{reason}"),
        }
    }
}

/// What is wrong with a line.
#[derive(Debug)]
pub enum LineError {
    Json(serde_json::Error),
    /// The position of an event, counted from 1, and what is wrong with it.
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

impl std::error::Error for LineError {}

/// All instances.
pub struct Adapter {
    /// Instances tell each other what they find, where they may.
    gossips: bool,
    instances: BTreeMap<u64, Instance>,
    sheets: BTreeMap<u64, Vec<wire::Entry>>,
}

impl Adapter {
    pub fn new(gossips: bool) -> Self {
        Self { gossips, instances: BTreeMap::new(), sheets: BTreeMap::new() }
    }

    /// Answers one line.
    pub fn answer(&mut self, line: &str, reply: &mut Vec<u8>) -> Result<(), LineError> {
        let batch: wire::Batch = serde_json::from_str(line).map_err(LineError::Json)?;
        let mut touched = Vec::new();
        for (position, raw) in batch.inbox.iter().enumerate() {
            let at_fault = |error| LineError::Event(position + 1, error);
            let event = serde_json::from_str(raw.get()).map_err(EventError::Json).map_err(at_fault)?;
            if let Some(id) = self.on_event(event, batch.at).map_err(at_fault)?
                && !touched.contains(&id)
            {
                touched.push(id);
            }
        }
        reply.extend_from_slice(b"{\"do\":[");
        let mut messages = Reply::new(reply);
        for id in touched {
            if let Some(instance) = self.instances.get_mut(&id) {
                instance.run(batch.at, &mut messages);
            }
        }
        reply.extend_from_slice(b"]}\n");
        Ok(())
    }

    /// Takes in one message. Returns the instance that it is for, if there is one.
    fn on_event(&mut self, message: In, at: u64) -> Result<Option<u64>, EventError> {
        let id = match message {
            In::Directory { sheet, lines } => {
                self.sheets.insert(sheet, lines);
                return Ok(None);
            }
            In::Spawn { controller_id, seed, boot_info } => {
                self.spawn(controller_id, seed, &boot_info, at)?;
                return Ok(Some(controller_id));
            }
            In::Detach { controller_id } => {
                self.instances.remove(&controller_id);
                return Ok(None);
            }
            In::Endpoints { controller_id, .. }
            | In::Ingress { controller_id, .. }
            | In::Accepted { controller_id, .. }
            | In::Progress { controller_id, .. }
            | In::Reply { controller_id, .. }
            | In::Hangup { controller_id, .. }
            | In::TickDue { controller_id, .. }
            | In::ProbeDone { controller_id, .. }
            | In::NoteFrom { controller_id, .. } => controller_id,
        };
        let Some(instance) = self.instances.get_mut(&id) else { return Ok(None) };
        if let In::Endpoints { kind, sheet, .. } = &message {
            let sheet = sheet.and_then(|sheet| self.sheets.get(&sheet));
            instance.on_endpoints(kind, sheet, at).map_err(EventError::Endpoints)?;
        } else {
            instance.on_message(message, at);
        }
        Ok(Some(id))
    }

    fn spawn(
        &mut self,
        id: u64,
        seed: u64,
        boot_info: &serde_json::Value,
        at: u64,
    ) -> Result<(), EventError> {
        let deployment = reedwalk_settings::read(boot_info).map_err(EventError::BootInfo)?;
        let gossip =
            self.gossips.then(|| gossip::GossipPeer::new(&deployment, seed, gossip::millis(at))).flatten();
        let scheduler = Scheduler::new(deployment.core, seed).map_err(EventError::Settings)?;
        self.instances.insert(id, Instance::new(id, scheduler, gossip));
        Ok(())
    }
}
