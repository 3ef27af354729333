//! One instance of the scheduler in the simulation, and the names behind the ids that it knows.

use crate::convert::{engine_state, load, outcome, progress, usage};
use crate::gossip::{self, GossipPeer};
use crate::wire::{self, In, Out};
use reedwalk_scheduler::{
    Action, Arrival, AttemptEnded, AttemptNo, CellId, ClassId, EndpointScope, EngineEntry, EngineId, Event,
    GroupId, KindId, RequestId, Scheduler, TenantId, Time, ZoneId,
};
use std::collections::HashMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

/// A request's name, kept until it is ended and no attempt is in flight.
struct Handle {
    name: String,
    in_flight: u32,
    ended: bool,
}

/// Messages to the simulator, as elements of a JSON array.
pub struct Reply<'a> {
    bytes: &'a mut Vec<u8>,
    is_first: bool,
}

impl<'a> Reply<'a> {
    /// An array that has just been opened in `bytes`.
    pub fn new(bytes: &'a mut Vec<u8>) -> Self {
        Self { bytes, is_first: true }
    }

    fn push(&mut self, out: &Out<'_>) {
        if !std::mem::replace(&mut self.is_first, false) {
            self.bytes.push(b',');
        }
        serde_json::to_writer(&mut *self.bytes, out).expect("actions are plain data");
    }
}

/// One instance.
pub struct Instance {
    id: u64,
    scheduler: Scheduler,
    events: Vec<Event>,
    engine_ids: HashMap<String, EngineId>,
    /// Addresses of the engines, by their ids.
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

    fn engine(&mut self, address: &str) -> EngineId {
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

    fn request(&self, name: &str) -> Option<RequestId> {
        self.requests.get(name).copied()
    }

    /// The endpoint list, or changes to it; an error where it names a sheet that was not sent.
    pub fn on_endpoints(
        &mut self,
        kind: &str,
        sheet: Option<&Vec<wire::Entry>>,
        at: u64,
    ) -> Result<(), &'static str> {
        let scope = match kind {
            "failed" => {
                self.events.push(Event::EndpointListFailed);
                return Ok(());
            }
            "delta" => EndpointScope::Changes,
            "cached" => EndpointScope::Cached,
            _ => EndpointScope::Complete,
        };
        let lines = sheet.ok_or("names a sheet not sent")?;
        let entries = lines.iter().map(|line| self.entry(line, at)).collect();
        self.events.push(Event::Endpoints { scope, entries });
        Ok(())
    }

    fn entry(&mut self, line: &wire::Entry, at: u64) -> EngineEntry {
        let entry = EngineEntry {
            engine: self.engine(&line.executor),
            zone: line.zone.map(ZoneId),
            kind: line.kind.map(KindId),
            cell: line.cell.map(CellId),
            state: engine_state(&line.state),
            started: (line.started > 0).then_some(Time(line.started)),
        };
        if let Some(gossip) = &mut self.gossip {
            gossip.on_endpoint(&line.executor, &entry, gossip::millis(at));
        }
        entry
    }

    /// Any other message of the simulator.
    pub fn on_message(&mut self, message: In, at: u64) {
        let event = match message {
            In::NoteFrom { neighbour, body, .. } => {
                if let Some(gossip) = &mut self.gossip {
                    gossip.on_note(neighbour, &body, gossip::millis(at));
                }
                None
            }
            In::Ingress { .. } => self.arrival(message),
            In::TickDue { .. } => Some(Event::WakeUp),
            In::ProbeDone { code, executor, feedback, .. } => {
                let engine = self.engine(&executor);
                let load = feedback.as_ref().map(load);
                Some(Event::HealthChecked { engine, outcome: outcome(code), load })
            }
            other => self.request_event(other),
        };
        self.events.extend(event);
    }

    fn arrival(&mut self, message: In) -> Option<Event> {
        let In::Ingress {
            handle,
            want_mb,
            estimate_us,
            again_by_client,
            customer,
            key,
            service,
            patience_left_us,
            source_set,
            ..
        } = message
        else {
            return None;
        };
        Some(Event::Arrival(Arrival {
            request: self.add_request(handle),
            class: ClassId(service),
            tenant: TenantId(customer),
            ordering_key: key.as_deref().map(|text| reedwalk_settings::key(text.as_bytes())),
            table_group: source_set.map(|group| GroupId(group as u64)),
            time_left: Duration::from_micros(patience_left_us.max(0) as u64),
            work: estimate_us.filter(|estimate| *estimate > 0.0).map(reedwalk_settings::duration_from_us),
            memory_mb: want_mb.filter(|memory| *memory > 0.0),
            is_retry: again_by_client,
            prior_attempt: None,
        }))
    }

    /// What has become of a request that is known.
    fn request_event(&self, message: In) -> Option<Event> {
        match message {
            In::Accepted { handle, leg, .. } => {
                let request = self.request(&handle)?;
                Some(Event::StreamStarted { request, attempt: AttemptNo(leg) })
            }
            In::Progress { handle, leg, sort, x, .. } => {
                let (request, report) = (self.request(&handle)?, progress(sort, x)?);
                Some(Event::Progress { request, attempt: AttemptNo(leg), report })
            }
            In::Reply { handle, leg, code, closed, bill, feedback, .. } => Some(Event::Ended(AttemptEnded {
                request: self.request(&handle)?,
                attempt: AttemptNo(leg),
                outcome: outcome(code),
                closed,
                usage: usage(bill),
                load: feedback.as_ref().map(load),
            })),
            In::Hangup { handle, .. } => self.request(&handle).map(Event::ClientDisconnected),
            _ => None,
        }
    }

    /// Steps the scheduler until gossip brings no further events.
    pub fn run(&mut self, at: u64, reply: &mut Reply<'_>) {
        let mut events = std::mem::take(&mut self.events);
        while let Some(gossip_events) = self.step(at, &events, reply) {
            events = gossip_events;
        }
    }

    /// Steps the scheduler once and carries out its actions. Returns the events that gossip then brings, if any.
    fn step(&mut self, at: u64, events: &[Event], reply: &mut Reply<'_>) -> Option<Vec<Event>> {
        let mut actions = Vec::new();
        let step = catch_unwind(AssertUnwindSafe(|| self.scheduler.step(Time(at), events, &mut actions)));
        if step.is_err() {
            reply.push(&Out::GiveIn { controller_id: self.id, words: "the decision module panicked" });
            return None;
        }
        let now = gossip::millis(at);
        self.forget_ended(events, now);
        for action in &actions {
            if let Some(gossip) = &mut self.gossip {
                gossip.on_action(action, now);
            }
            self.apply_action(action, reply);
        }
        let gossip = self.gossip.as_mut()?;
        gossip.observe(&self.scheduler, now);
        let (notes, gossip_events) = gossip.act(now);
        for (dest, body) in &notes {
            reply.push(&Out::BroadcastTo { controller_id: self.id, dest: *dest, body });
        }
        (!gossip_events.is_empty()).then_some(gossip_events)
    }

    /// Forgets the names of requests that have ended.
    fn forget_ended(&mut self, events: &[Event], now: reedwalk_gossip::Millis) {
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
        let out = match action {
            Action::EngineEjected { engine, unresponsive, .. } => {
                log_line = ejection_text(*engine, *unresponsive);
                Some(Out::SayLog { controller_id, words: &log_line })
            }
            Action::Log(words) => Some(Out::SayLog { controller_id, words }),
            Action::Subscribe => Some(Out::Listen { controller_id, on: true }),
            Action::WakeAfter(after) => {
                Some(Out::Schedule { controller_id, after_us: after.as_micros() as u64, label: 0 })
            }
            Action::CheckHealth(engine) => {
                self.address(*engine).map(|executor| Out::HealthCheck { controller_id, executor })
            }
            other => self.request_action(other),
        };
        if let Some(out) = out {
            reply.push(&out);
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

    /// The message of an action for one request, if that is still known.
    fn request_action(&self, action: &Action) -> Option<Out<'_>> {
        let controller_id = self.id;
        let name = |request: &RequestId| self.handles.get(request).map(|handle| handle.name.as_str());
        let micros = |duration: &Duration| duration.as_micros() as u64;
        Some(match action {
            Action::Send { request, engine, timeout } => Out::Try {
                controller_id,
                handle: name(request)?,
                cap_us: timeout.as_ref().map(micros),
                executor: self.address(*engine)?,
            },
            Action::Cancel { request, attempt } => {
                Out::Recall { controller_id, handle: name(request)?, leg: attempt.0 }
            }
            Action::Reject { request, retry_after } => Out::Deny {
                controller_id,
                handle: name(request)?,
                backoff_us: retry_after.as_ref().map(micros),
            },
            Action::Fail { request } => Out::Error { controller_id, handle: name(request)? },
            Action::GrantResources { request, memory_mb, priority } => Out::Resources {
                controller_id,
                handle: name(request)?,
                mem_mb: memory_mb.unwrap_or(0.0),
                prio: *priority,
            },
            _ => return None,
        })
    }
}

/// The line that the simulator's log has for an ejected engine.
fn ejection_text(engine: EngineId, unresponsive: bool) -> String {
    format!("quarantine engine {} {}", engine.0, if unresponsive { "silent" } else { "fails" })
}
