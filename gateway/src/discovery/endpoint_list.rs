//! The list itself: engines by id, never by address, since a new engine may have the address of one that is
//! gone. Changes come out of it; nothing goes in that is older than what it holds.

use super::dns;
use crate::message::Endpoint;
use reedwalk_scheduler::{CellId, EngineEntry, EngineId, EngineState, KindId, Time, ZoneId};
use reedwalk_settings::Sockets;
use serde::Deserialize;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

#[derive(Deserialize)]
struct Known {
    #[serde(default)]
    seq: u32,
    #[serde(default)]
    results: Vec<Item>,
}

#[derive(Deserialize)]
struct Item {
    fleet: Option<Fleet>,
}

#[derive(Deserialize)]
struct Fleet {
    #[serde(default)]
    full: bool,
    #[serde(default)]
    servers: Vec<Server>,
}

#[derive(Deserialize)]
struct Server {
    id: String,
    addr: Option<SocketAddr>,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    cell: Option<u64>,
    #[serde(default)]
    state: String,
    #[serde(default)]
    started_ms: u64,
}

/// Engines as last told.
#[derive(Debug)]
pub struct EndpointList {
    sockets: Arc<Sockets>,
    /// None before anything was told: the first answer holds whatever its serial.
    serial: Option<u32>,
    /// Of the latest answer that lacked an address; nothing older is taken after it either.
    open: Option<u32>,
    ids: HashMap<String, EngineId>,
    next: u32,
    listed: BTreeMap<EngineId, Endpoint>,
}

/// Ids of engines that are not listed, remembered at most beyond as many as are.
const UNLISTED_MOST: usize = 64;

/// Later in serial arithmetic (RFC 1982).
fn later(a: u32, b: u32) -> bool {
    a != b && a.wrapping_sub(b) < 1 << 31
}

impl EndpointList {
    /// An empty list.
    pub fn new(sockets: Arc<Sockets>) -> Self {
        Self { sockets, serial: None, open: None, ids: HashMap::new(), next: 0, listed: BTreeMap::new() }
    }

    /// Number of the last event taken in.
    pub fn serial(&self) -> Option<u32> {
        self.serial
    }

    /// The number under which an engine is known here. Ids are always new, so those of engines that are not
    /// listed are forgotten once there are many; one that comes back later is a new engine.
    fn id(&mut self, name: &str) -> EngineId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        if self.ids.len() >= 2 * self.listed.len() + UNLISTED_MOST {
            self.ids.retain(|_, id| self.listed.contains_key(id));
        }
        let id = EngineId(self.next);
        self.next = self.next.wrapping_add(1);
        self.ids.insert(name.to_owned(), id);
        id
    }

    /// The number of the engine of this name, if it was ever listed and is still remembered.
    pub fn find(&self, name: &str) -> Option<EngineId> {
        self.ids.get(name).copied()
    }

    /// The ids of all engines as last told, with what was told.
    pub fn named(&self) -> impl Iterator<Item = (&str, &Endpoint)> {
        self.ids.iter().filter_map(|(name, id)| Some((name.as_str(), self.listed.get(id)?)))
    }

    /// All engines as last told.
    pub fn listed(&self) -> impl Iterator<Item = &Endpoint> {
        self.listed.values()
    }

    /// Ids remembered, listed or not.
    pub fn remembered(&self) -> usize {
        self.ids.len()
    }

    fn place(names: &[String], name: &str) -> Option<usize> {
        names.iter().position(|n| n == name)
    }

    /// Takes in the events known at the start, in order.
    ///
    /// # Errors
    /// Where they are not of the form that is expected.
    pub fn start(&mut self, known: &serde_json::Value) -> Result<Vec<Endpoint>, serde_json::Error> {
        let known = Known::deserialize(known)?;
        let mut changes = Vec::new();
        for fleet in known.results.into_iter().filter_map(|i| i.fleet) {
            let mut named = HashSet::new();
            for server in fleet.servers {
                let engine = self.id(&server.id);
                named.insert(engine);
                let address = server.addr.or(self.listed.get(&engine).map(|l| l.address));
                let Some(address) = address else { continue };
                let state = match server.state.as_str() {
                    "in_service" => EngineState::InService,
                    "terminating" => EngineState::Draining,
                    _ => EngineState::Removed,
                };
                let entry = EngineEntry {
                    engine,
                    zone: Self::place(&self.sockets.zones, &server.zone).map(ZoneId),
                    kind: Self::place(&self.sockets.kinds, &server.kind).map(KindId),
                    cell: server.cell.map(CellId),
                    state,
                    started: started(server.started_ms),
                };
                self.change(Endpoint { entry, address }, &mut changes);
            }
            if fleet.full {
                self.drop_others(&named, &mut changes);
            }
        }
        self.serial = Some(known.seq);
        Ok(changes)
    }

    /// Takes in what a new configuration knows, if that is later than what was told here.
    ///
    /// # Errors
    /// Where it is not of the form that is expected.
    pub fn refresh(&mut self, known: &serde_json::Value) -> Result<Vec<Endpoint>, serde_json::Error> {
        let seq = Known::deserialize(known)?.seq;
        if self.serial.is_some_and(|s| !later(seq, s)) { Ok(Vec::new()) } else { self.start(known) }
    }

    /// Takes in an answer of the name server: the whole list. One that is no later tells nothing new.
    pub fn take(&mut self, answer: dns::Answer) -> Vec<Endpoint> {
        let mut changes = Vec::new();
        let told = self.serial.is_some_and(|s| !later(answer.serial, s));
        if told || self.open.is_some_and(|o| later(o, answer.serial)) {
            return changes;
        }
        let mut named = HashSet::new();
        let mut whole = true;
        for host in answer.hosts {
            let engine = self.id(&host.id);
            named.insert(engine);
            let before = self.listed.get(&engine);
            let address = host.address.map(|a| SocketAddr::new(IpAddr::V4(a), host.port));
            // An engine whose address has not come along stays as it was, and is looked at again.
            let Some(address) = address.or(before.map(|b| b.address)) else {
                whole = false;
                continue;
            };
            let number = |name: &str| host.text.get(name).and_then(|v| v.parse::<u64>().ok());
            let old = before.map(|b| &b.entry);
            let kind = host.text.get("kind").and_then(|k| Self::place(&self.sockets.kinds, k)).map(KindId);
            let entry = EngineEntry {
                engine,
                zone: Self::place(&self.sockets.zones, &host.zone).map(ZoneId),
                kind: kind.or(old.and_then(|o| o.kind)),
                cell: number("cell").map(CellId).or(old.and_then(|o| o.cell)),
                state: if host.draining { EngineState::Draining } else { EngineState::InService },
                started: number("started").map_or(old.and_then(|o| o.started), started),
            };
            self.change(Endpoint { entry, address }, &mut changes);
        }
        self.drop_others(&named, &mut changes);
        let place = if whole { &mut self.serial } else { &mut self.open };
        *place = Some(answer.serial);
        changes
    }

    fn change(&mut self, listed: Endpoint, changes: &mut Vec<Endpoint>) {
        let engine = listed.entry.engine;
        if self.listed.get(&engine) == Some(&listed) {
            return;
        }
        if listed.entry.state == EngineState::Removed {
            if self.listed.remove(&engine).is_none() {
                return;
            }
        } else {
            self.listed.insert(engine, listed.clone());
        }
        changes.retain(|c| c.entry.engine != engine);
        changes.push(listed);
    }

    fn drop_others(&mut self, named: &HashSet<EngineId>, changes: &mut Vec<Endpoint>) {
        let gone: Vec<_> =
            self.listed.values().filter(|l| !named.contains(&l.entry.engine)).cloned().collect();
        for mut listed in gone {
            listed.entry.state = EngineState::Removed;
            self.change(listed, changes);
        }
    }
}

fn started(unix_ms: u64) -> Option<Time> {
    (unix_ms > 0).then(|| Time(unix_ms.saturating_mul(1000)))
}
