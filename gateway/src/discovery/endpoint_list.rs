//! The endpoint list. Engines are identified by id, never by address, because a new engine may reuse the address of a
//! removed one. Updates return the changed endpoints; a list older than the current one is ignored.

use super::dns;
use super::list_record::{EngineRecord, ListRecord, ListVersion};
use crate::message::Endpoint;
use reedwalk_scheduler::{CellId, EngineEntry, EngineId, EngineState, KindId, Time, ZoneId};
use reedwalk_settings::Sockets;
use serde::Deserialize;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

#[derive(Deserialize)]
struct ListEvents {
    #[serde(default)]
    seq: u32,
    #[serde(default)]
    results: Vec<ListEvent>,
}

#[derive(Deserialize)]
struct ListEvent {
    fleet: Option<FleetEvent>,
}

#[derive(Deserialize)]
struct FleetEvent {
    #[serde(default)]
    full: bool,
    #[serde(default)]
    servers: Vec<ServerRecord>,
}

#[derive(Deserialize)]
struct ServerRecord {
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

/// The engines as of the last applied update.
#[derive(Debug)]
pub struct EndpointList {
    sockets: Arc<Sockets>,
    /// The first update is applied whatever its serial.
    version: ListVersion,
    ids_by_name: HashMap<String, EngineId>,
    next_id: u32,
    endpoints: BTreeMap<EngineId, Endpoint>,
}

/// Maximum number of ids that are kept for unlisted engines, in addition to as many as there are listed ones.
const MAX_UNLISTED_IDS: usize = 64;

impl EndpointList {
    /// An empty list.
    pub fn new(sockets: Arc<Sockets>) -> Self {
        Self {
            sockets,
            version: ListVersion::default(),
            ids_by_name: HashMap::new(),
            next_id: 0,
            endpoints: BTreeMap::new(),
        }
    }

    /// Serial of the last complete update.
    pub fn serial(&self) -> Option<u32> {
        self.version.serial
    }

    /// How recent the list is.
    pub fn version(&self) -> ListVersion {
        self.version
    }

    /// Returns the id of an engine in this process, and assigns one to a new name. Names are never reused, so those of
    /// unlisted engines are evicted once there are many; an evicted engine that is listed again gets a new id.
    fn id_or_assign(&mut self, name: &str) -> EngineId {
        if let Some(id) = self.ids_by_name.get(name) {
            return *id;
        }
        if self.ids_by_name.len() >= 2 * self.endpoints.len() + MAX_UNLISTED_IDS {
            self.ids_by_name.retain(|_, id| self.endpoints.contains_key(id));
        }
        let id = EngineId(self.next_id);
        self.next_id = self.next_id.wrapping_add(1);
        self.ids_by_name.insert(name.to_owned(), id);
        id
    }

    /// The id of the engine with this name, if it was ever listed and has not been evicted.
    pub fn find(&self, name: &str) -> Option<EngineId> {
        self.ids_by_name.get(name).copied()
    }

    /// All listed engines with their names.
    pub fn named_endpoints(&self) -> impl Iterator<Item = (&str, &Endpoint)> {
        self.ids_by_name.iter().filter_map(|(name, id)| Some((name.as_str(), self.endpoints.get(id)?)))
    }

    /// All listed engines.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Number of names with an assigned id, listed or not.
    pub fn known_names(&self) -> usize {
        self.ids_by_name.len()
    }

    fn position(names: &[String], name: &str) -> Option<usize> {
        names.iter().position(|candidate| candidate == name)
    }

    /// Applies the events of a configuration in order. Returns the changed endpoints.
    ///
    /// # Errors
    /// If the events can't be deserialised.
    pub fn apply_events(&mut self, events: &serde_json::Value) -> Result<Vec<Endpoint>, serde_json::Error> {
        let events = ListEvents::deserialize(events)?;
        let mut changes = Vec::new();
        for fleet in events.results.into_iter().filter_map(|event| event.fleet) {
            let mut listed_ids = HashSet::new();
            for server in fleet.servers {
                let engine = self.id_or_assign(&server.id);
                listed_ids.insert(engine);
                if let Some(endpoint) = self.endpoint_of_event(engine, &server) {
                    self.apply_endpoint(endpoint, &mut changes);
                }
            }
            if fleet.full {
                self.remove_unlisted(&listed_ids, &mut changes);
            }
        }
        self.version.serial = Some(events.seq);
        Ok(changes)
    }

    /// The endpoint of an engine according to a configuration event; `None` if its address has never been known.
    fn endpoint_of_event(&self, engine: EngineId, server: &ServerRecord) -> Option<Endpoint> {
        let address = server.addr.or(self.endpoints.get(&engine).map(|listed| listed.address))?;
        let state = match server.state.as_str() {
            "in_service" => EngineState::InService,
            "terminating" => EngineState::Draining,
            _ => EngineState::Removed,
        };
        let entry = EngineEntry {
            engine,
            zone: Self::position(&self.sockets.zones, &server.zone).map(ZoneId),
            kind: Self::position(&self.sockets.kinds, &server.kind).map(KindId),
            cell: server.cell.map(CellId),
            state,
            started: start_time(server.started_ms),
        };
        Some(Endpoint { entry, address })
    }

    /// Applies the events of a new configuration if they are newer than the list. Returns the changed endpoints.
    ///
    /// # Errors
    /// If the events can't be deserialised.
    pub fn apply_newer_events(
        &mut self,
        events: &serde_json::Value,
    ) -> Result<Vec<Endpoint>, serde_json::Error> {
        let seq = ListEvents::deserialize(events)?.seq;
        if self.version.is_older_than(seq) { self.apply_events(events) } else { Ok(Vec::new()) }
    }

    /// Applies an answer of the name server, which is the complete list, unless it is not newer than the current list.
    /// Returns the changed endpoints.
    pub fn apply_answer(&mut self, answer: dns::Answer) -> Vec<Endpoint> {
        let mut changes = Vec::new();
        if !self.version.is_older_than(answer.serial) {
            return changes;
        }
        let mut listed_ids = HashSet::new();
        let mut is_complete = true;
        for host in answer.hosts {
            let engine = self.id_or_assign(&host.id);
            listed_ids.insert(engine);
            match self.endpoint_of_host(engine, &host) {
                Some(endpoint) => self.apply_endpoint(endpoint, &mut changes),
                None => is_complete = false,
            }
        }
        self.remove_unlisted(&listed_ids, &mut changes);
        if is_complete {
            self.version.serial = Some(answer.serial);
        } else {
            self.version.incomplete_serial = Some(answer.serial);
        }
        changes
    }

    /// The list in the form for the gateway's other processes.
    pub fn record(&self) -> ListRecord {
        let engines = self.named_endpoints().map(|(name, endpoint)| self.record_of(name, endpoint));
        ListRecord { version: self.version, engines: engines.collect() }
    }

    fn record_of(&self, name: &str, Endpoint { entry, address }: &Endpoint) -> EngineRecord {
        EngineRecord {
            name: name.to_owned(),
            address: *address,
            zone: entry.zone.and_then(|zone| self.sockets.zones.get(zone.0).cloned()),
            kind: entry.kind.and_then(|kind| self.sockets.kinds.get(kind.0).cloned()),
            cell: entry.cell.map(|cell| cell.0),
            is_draining: entry.state == EngineState::Draining,
            started_us: entry.started.map(|started| started.0),
        }
    }

    /// Takes over the list of another process of this gateway if it is newer. Returns the changed endpoints.
    pub fn apply_record(&mut self, record: &ListRecord) -> Vec<Endpoint> {
        let mut changes = Vec::new();
        if !self.version.is_older_than_list(record.version) {
            return changes;
        }
        let mut listed_ids = HashSet::new();
        for engine_record in &record.engines {
            let engine = self.id_or_assign(&engine_record.name);
            listed_ids.insert(engine);
            self.apply_endpoint(self.endpoint_of_record(engine, engine_record), &mut changes);
        }
        self.remove_unlisted(&listed_ids, &mut changes);
        self.version = record.version;
        changes
    }

    fn endpoint_of_record(&self, engine: EngineId, record: &EngineRecord) -> Endpoint {
        let position = |names: &[String], name: &Option<String>| Self::position(names, name.as_deref()?);
        let entry = EngineEntry {
            engine,
            zone: position(&self.sockets.zones, &record.zone).map(ZoneId),
            kind: position(&self.sockets.kinds, &record.kind).map(KindId),
            cell: record.cell.map(CellId),
            state: if record.is_draining { EngineState::Draining } else { EngineState::InService },
            started: record.started_us.map(Time),
        };
        Endpoint { entry, address: record.address }
    }

    /// The endpoint of an engine according to an answer of the name server. Attributes that the answer omits keep their
    /// previous values. `None` if the answer has no address for the engine and none has ever been known.
    fn endpoint_of_host(&self, engine: EngineId, host: &dns::Host) -> Option<Endpoint> {
        let listed = self.endpoints.get(&engine);
        let address = host.address.map(|address| SocketAddr::new(IpAddr::V4(address), host.port));
        let address = address.or(listed.map(|listed| listed.address))?;
        let number = |name: &str| host.attributes.get(name).and_then(|value| value.parse::<u64>().ok());
        let kind = host.attributes.get("kind").and_then(|kind| Self::position(&self.sockets.kinds, kind));
        let previous = listed.map(|listed| &listed.entry);
        let entry = EngineEntry {
            engine,
            zone: Self::position(&self.sockets.zones, &host.zone).map(ZoneId),
            kind: kind.map(KindId).or(previous.and_then(|previous| previous.kind)),
            cell: number("cell").map(CellId).or(previous.and_then(|previous| previous.cell)),
            state: if host.draining { EngineState::Draining } else { EngineState::InService },
            started: number("started").map_or(previous.and_then(|previous| previous.started), start_time),
        };
        Some(Endpoint { entry, address })
    }

    fn apply_endpoint(&mut self, endpoint: Endpoint, changes: &mut Vec<Endpoint>) {
        let engine = endpoint.entry.engine;
        if self.endpoints.get(&engine) == Some(&endpoint) {
            return;
        }
        if endpoint.entry.state == EngineState::Removed {
            if self.endpoints.remove(&engine).is_none() {
                return;
            }
        } else {
            self.endpoints.insert(engine, endpoint.clone());
        }
        changes.retain(|change| change.entry.engine != engine);
        changes.push(endpoint);
    }

    fn remove_unlisted(&mut self, listed_ids: &HashSet<EngineId>, changes: &mut Vec<Endpoint>) {
        let removed: Vec<_> = self
            .endpoints
            .values()
            .filter(|endpoint| !listed_ids.contains(&endpoint.entry.engine))
            .cloned()
            .collect();
        for mut endpoint in removed {
            endpoint.entry.state = EngineState::Removed;
            self.apply_endpoint(endpoint, changes);
        }
    }
}

/// Converts a start time; 0 stands for an unknown one.
fn start_time(unix_ms: u64) -> Option<Time> {
    (unix_ms > 0).then(|| Time(unix_ms.saturating_mul(1000)))
}
