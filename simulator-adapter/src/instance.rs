//! One scheduler instance of the simulation. It maps the simulator's names of requests and engines to the scheduler's ids.

use crate::convert::{engine_state, load_report, outcome, progress, usage};
use crate::gossip::{self, GossipPeer};
use crate::wire::{self, Incoming, Outgoing};
use reedwalk_scheduler::{
    Action, Arrival, AttemptEnded, AttemptNo, CellId, ClassId, EndpointScope, EngineEntry, EngineId, Event,
    KindId, RequestId, Scheduler, TableGroupId, TenantId, Time, ZoneId,
};
use std::collections::HashMap;
use std::fmt;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

/// The simulator's name of a request, kept until the request has ended and none of its attempts is in flight.
struct Handle {
    name: String,
    in_flight: u32,
    ended: bool,
}

/// A message refers to an endpoint list (a sheet) that was not sent.
#[derive(Debug)]
pub struct UnknownSheet;

impl fmt::Display for UnknownSheet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("refers to a sheet that was not sent")
    }
}

impl std::error::Error for UnknownSheet {}

/// Writes messages to the simulator as elements of a JSON array.
pub struct Reply<'a> {
    bytes: &'a mut Vec<u8>,
    is_first: bool,
}

impl<'a> Reply<'a> {
    /// Starts with an empty array, whose opening bracket is already in `bytes`.
    pub fn new(bytes: &'a mut Vec<u8>) -> Self {
        Self { bytes, is_first: true }
    }

    fn push(&mut self, message: &Outgoing<'_>) {
        if !std::mem::replace(&mut self.is_first, false) {
            self.bytes.push(b',');
        }
        serde_json::to_writer(&mut *self.bytes, message).expect("messages are plain data");
    }
}

/// One scheduler instance.
pub struct Instance {
    id: u64,
    scheduler: Scheduler,
    events: Vec<Event>,
    engine_ids: HashMap<String, EngineId>,
    /// Addresses of the engines, indexed by id.
    addresses: Vec<String>,
    requests: HashMap<String, RequestId>,
    handles: HashMap<RequestId, Handle>,
    next_request: u64,
    gossip: Option<GossipPeer>,
}

impl Instance {
    pub fn new(id: u64, scheduler: Scheduler, gossip: Option<GossipPeer>) -> Self {
        Self {
            id,
            scheduler,
            events: Vec::new(),
            engine_ids: HashMap::new(),
            addresses: Vec::new(),
            requests: HashMap::new(),
            handles: HashMap::new(),
            next_request: 0,
            gossip,
        }
    }

    fn engine_id(&mut self, address: &str) -> EngineId {
        if let Some(&id) = self.engine_ids.get(address) {
            return id;
        }
        let id = EngineId(self.addresses.len() as u32);
        self.addresses.push(address.to_owned());
        self.engine_ids.insert(address.to_owned(), id);
        id
    }

    fn add_request(&mut self, name: String) -> RequestId {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        self.requests.insert(name.clone(), id);
        self.handles.insert(id, Handle { name, in_flight: 0, ended: false });
        id
    }

    fn update_handle(&mut self, id: RequestId, change: impl FnOnce(&mut Handle)) {
        let Some(handle) = self.handles.get_mut(&id) else { return };
        change(handle);
        if handle.ended && handle.in_flight == 0 {
            self.requests.remove(&handle.name);
            self.handles.remove(&id);
        }
    }

    fn request_id(&self, name: &str) -> Option<RequestId> {
        self.requests.get(name).copied()
    }

    /// Handles an endpoint list or changes to it.
    ///
    /// # Errors
    /// If the message refers to a sheet that was not sent.
    pub fn on_endpoints(
        &mut self,
        kind: &str,
        sheet: Option<&Vec<wire::EndpointLine>>,
        at_us: u64,
    ) -> Result<(), UnknownSheet> {
        let scope = match kind {
            "failed" => {
                self.events.push(Event::EndpointListFailed);
                return Ok(());
            }
            "delta" => EndpointScope::Changes,
            "cached" => EndpointScope::Cached,
            _ => EndpointScope::Complete,
        };
        let lines = sheet.ok_or(UnknownSheet)?;
        let entries = lines.iter().map(|line| self.engine_entry(line, at_us)).collect();
        self.events.push(Event::Endpoints { scope, entries });
        Ok(())
    }

    fn engine_entry(&mut self, line: &wire::EndpointLine, at_us: u64) -> EngineEntry {
        let entry = EngineEntry {
            engine: self.engine_id(&line.address),
            zone: line.zone.map(ZoneId),
            kind: line.kind.map(KindId),
            cell: line.cell.map(CellId),
            state: engine_state(&line.state),
            started: (line.started_at_us > 0).then_some(Time(line.started_at_us)),
        };
        if let Some(gossip) = &mut self.gossip {
            gossip.on_endpoint(&line.address, &entry, gossip::millis(at_us));
        }
        entry
    }

    /// Handles any other message of the simulator.
    pub fn on_message(&mut self, message: Incoming, at_us: u64) {
        let event = match message {
            Incoming::NoteFrom { sender, body, .. } => {
                if let Some(gossip) = &mut self.gossip {
                    gossip.on_note(sender, &body, gossip::millis(at_us));
                }
                None
            }
            Incoming::Ingress { .. } => self.arrival(message),
            Incoming::TickDue { .. } => Some(Event::WakeUp),
            Incoming::ProbeDone { code, address, load: report, .. } => {
                let engine = self.engine_id(&address);
                let load = report.as_ref().map(load_report);
                Some(Event::HealthChecked { engine, outcome: outcome(code), load })
            }
            other => self.request_event(other),
        };
        self.events.extend(event);
    }

    fn arrival(&mut self, message: Incoming) -> Option<Event> {
        let Incoming::Ingress {
            handle,
            memory_estimate_mb,
            work_estimate_us,
            is_retry,
            tenant,
            ordering_key,
            class,
            time_left_us,
            table_group,
            ..
        } = message
        else {
            return None;
        };
        Some(Event::Arrival(Arrival {
            request: self.add_request(handle),
            class: ClassId(class),
            tenant: TenantId(tenant),
            ordering_key: ordering_key.map(|key| reedwalk_settings::key_id(key.as_bytes())),
            table_group: table_group.map(|group| TableGroupId(group as u64)),
            time_left: Duration::from_micros(time_left_us.max(0) as u64),
            work: work_estimate_us
                .filter(|estimate| *estimate > 0.0)
                .map(reedwalk_settings::duration_from_us),
            memory_mb: memory_estimate_mb.filter(|memory| *memory > 0.0),
            is_retry,
            prior_attempt: None,
        }))
    }

    /// The event of a message about a request; `None` if the request is unknown.
    fn request_event(&self, message: Incoming) -> Option<Event> {
        match message {
            Incoming::Accepted { handle, attempt, .. } => {
                let request = self.request_id(&handle)?;
                Some(Event::StreamStarted { request, attempt: AttemptNo(attempt) })
            }
            Incoming::Progress { handle, attempt, kind, value, .. } => {
                let (request, report) = (self.request_id(&handle)?, progress(kind, value)?);
                Some(Event::Progress { request, attempt: AttemptNo(attempt), report })
            }
            Incoming::Reply { handle, attempt, code, closed, packed_usage, load: report, .. } => {
                Some(Event::Ended(AttemptEnded {
                    request: self.request_id(&handle)?,
                    attempt: AttemptNo(attempt),
                    outcome: outcome(code),
                    closed,
                    usage: usage(packed_usage),
                    load: report.as_ref().map(load_report),
                }))
            }
            Incoming::Hangup { handle, .. } => self.request_id(&handle).map(Event::ClientDisconnected),
            _ => None,
        }
    }

    /// Runs steps of the scheduler until gossip returns no more events.
    pub fn run(&mut self, at_us: u64, reply: &mut Reply<'_>) {
        let mut events = std::mem::take(&mut self.events);
        while let Some(gossip_events) = self.step(at_us, &events, reply) {
            events = gossip_events;
        }
    }

    /// Runs one step of the scheduler and sends its actions. Returns the events that gossip has for the next step, if any.
    fn step(&mut self, at_us: u64, events: &[Event], reply: &mut Reply<'_>) -> Option<Vec<Event>> {
        let mut actions = Vec::new();
        let step = catch_unwind(AssertUnwindSafe(|| self.scheduler.step(Time(at_us), events, &mut actions)));
        if step.is_err() {
            reply.push(&Outgoing::GiveIn { controller_id: self.id, reason: "the decision module panicked" });
            return None;
        }
        let now = gossip::millis(at_us);
        self.process_ended_requests(events, now);
        for action in &actions {
            if let Some(gossip) = &mut self.gossip {
                gossip.on_action(action, now);
            }
            self.apply_action(action, reply);
        }
        let gossip = self.gossip.as_mut()?;
        gossip.observe(&self.scheduler, now);
        let (notes, gossip_events) = gossip.act(now);
        for (receiver, body) in &notes {
            reply.push(&Outgoing::BroadcastTo { controller_id: self.id, receiver: *receiver, body });
        }
        (!gossip_events.is_empty()).then_some(gossip_events)
    }

    /// Reports ended attempts to gossip, and removes the names of requests that have ended.
    fn process_ended_requests(&mut self, events: &[Event], now: reedwalk_gossip::Millis) {
        for event in events {
            if let Event::Ended(ended) = event {
                if let Some(gossip) = &mut self.gossip {
                    gossip.on_attempt_ended(ended, now);
                }
                self.update_handle(ended.request, |handle| {
                    handle.in_flight = handle.in_flight.saturating_sub(1);
                    handle.ended |= ended.closed;
                });
            } else if let Event::ClientDisconnected(request) = event {
                self.update_handle(*request, |handle| handle.ended = true);
            }
        }
    }

    fn apply_action(&mut self, action: &Action, reply: &mut Reply<'_>) {
        let log_line;
        let controller_id = self.id;
        let message = match action {
            Action::EngineEjected { engine, unresponsive, .. } => {
                log_line = ejection_text(*engine, *unresponsive);
                Some(Outgoing::SayLog { controller_id, text: &log_line })
            }
            Action::Log(text) => Some(Outgoing::SayLog { controller_id, text }),
            Action::Subscribe => Some(Outgoing::Listen { controller_id, subscribed: true }),
            Action::WakeAfter(after) => {
                Some(Outgoing::Schedule { controller_id, after_us: after.as_micros() as u64, label: 0 })
            }
            Action::CheckHealth(engine) => {
                self.address(*engine).map(|address| Outgoing::HealthCheck { controller_id, address })
            }
            other => self.request_action(other),
        };
        if let Some(message) = message {
            reply.push(&message);
        }
        match action {
            Action::Send { request, .. } => self.update_handle(*request, |handle| handle.in_flight += 1),
            Action::Reject { request, .. } | Action::Fail { request } => {
                self.update_handle(*request, |handle| handle.ended = true);
            }
            _ => {}
        }
    }

    fn address(&self, engine: EngineId) -> Option<&str> {
        self.addresses.get(engine.0 as usize).map(String::as_str)
    }

    /// The message for an action on a request; `None` if the request is no longer known.
    fn request_action(&self, action: &Action) -> Option<Outgoing<'_>> {
        let controller_id = self.id;
        let name = |request: &RequestId| self.handles.get(request).map(|handle| handle.name.as_str());
        let micros = |duration: &Duration| duration.as_micros() as u64;
        Some(match action {
            Action::Send { request, engine, timeout } => Outgoing::Try {
                controller_id,
                handle: name(request)?,
                timeout_us: timeout.as_ref().map(micros),
                address: self.address(*engine)?,
            },
            Action::Cancel { request, attempt } => {
                Outgoing::Recall { controller_id, handle: name(request)?, attempt: attempt.0 }
            }
            Action::Reject { request, retry_after } => Outgoing::Deny {
                controller_id,
                handle: name(request)?,
                retry_after_us: retry_after.as_ref().map(micros),
            },
            Action::Fail { request } => Outgoing::Error { controller_id, handle: name(request)? },
            Action::GrantResources { request, memory_mb, priority } => Outgoing::Resources {
                controller_id,
                handle: name(request)?,
                memory_mb: memory_mb.unwrap_or(0.0),
                priority: *priority,
            },
            _ => return None,
        })
    }
}

/// The line in the simulator's log for an ejected engine.
fn ejection_text(engine: EngineId, unresponsive: bool) -> String {
    format!("quarantine engine {} {}", engine.0, if unresponsive { "silent" } else { "fails" })
}
