//! Speaks the bench's wire on standard input and output; each instance is a [`Scheduler`] of its own.
#![forbid(unsafe_code)]

mod peers;
mod wire;

use reedwalk_scheduler::*;
use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use std::time::Duration;
use wire::{In, Out};

/// One instance: its gateway, and the names behind the numbers that it knows.
struct Instance {
    gateway: Scheduler,
    events: Vec<Event>,
    engines: HashMap<String, EngineId>,
    addresses: Vec<String>,
    requests: HashMap<String, RequestId>,
    handles: HashMap<RequestId, Handle>,
    next_request: u64,
    peers: Option<peers::Side>,
}

/// A request's name, kept until it is ended and no attempt is out.
struct Handle {
    name: String,
    out: u32,
    ended: bool,
}

impl Instance {
    fn engine(&mut self, address: &str) -> EngineId {
        if let Some(&id) = self.engines.get(address) {
            return id;
        }
        let id = EngineId(self.addresses.len() as u32);
        self.addresses.push(address.to_owned());
        self.engines.insert(address.to_owned(), id);
        id
    }

    fn arrival(&mut self, name: String) -> RequestId {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        self.requests.insert(name.clone(), id);
        self.handles.insert(id, Handle { name, out: 0, ended: false });
        id
    }

    fn update(&mut self, id: RequestId, change: impl FnOnce(&mut Handle)) {
        if let Some(handle) = self.handles.get_mut(&id) {
            change(handle);
            if handle.ended && handle.out == 0 {
                self.requests.remove(&handle.name);
                self.handles.remove(&id);
            }
        }
    }
}

fn span(us: f64) -> Duration {
    Duration::from_micros(us.clamp(0.0, 1e15) as u64)
}

fn outcome(code: u32) -> Outcome {
    match code {
        0 => Outcome::Ok,
        11 => Outcome::Rejected,
        110 => Outcome::TimedOut,
        111 => Outcome::ConnectFailed,
        104 => Outcome::Reset,
        125 => Outcome::Cancelled,
        114 => Outcome::NeverSent,
        _ => Outcome::Error,
    }
}

fn load(report: wire::Report) -> LoadReport {
    reedwalk_settings::load_report(|name| report.get(name).copied())
}

#[derive(Default)]
struct Link {
    /// Instances tell each other what they find, where they may.
    peers: bool,
    instances: BTreeMap<u64, Instance>,
    sheets: BTreeMap<u64, Vec<wire::Entry>>,
}

impl Link {
    /// Answers one line.
    fn answer(&mut self, line: &str, reply: &mut Vec<u8>) -> Result<(), String> {
        let batch: wire::Batch = serde_json::from_str(line).map_err(|e| e.to_string())?;
        let mut touched = Vec::new();
        for (place, raw) in batch.inbox.iter().enumerate() {
            let event: In =
                serde_json::from_str(raw.get()).map_err(|e| format!("event {}: {e}", place + 1))?;
            if let Some(id) = self.take(event, batch.at).map_err(|e| format!("event {}: {e}", place + 1))?
                && !touched.contains(&id)
            {
                touched.push(id);
            }
        }
        reply.extend_from_slice(b"{\"do\":[");
        let mut first = true;
        for id in touched {
            let Some(instance) = self.instances.get_mut(&id) else { continue };
            let mut events = std::mem::take(&mut instance.events);
            // Once more where something was heard of others.
            while let Some(heard) = instance.step(id, batch.at, &events, reply, &mut first) {
                events = heard;
            }
        }
        reply.extend_from_slice(b"]}\n");
        Ok(())
    }

    /// Turns one message into an event of its instance.
    fn take(&mut self, message: In, at: u64) -> Result<Option<u64>, String> {
        let id = match &message {
            In::Directory { .. } => {
                if let In::Directory { sheet, lines } = message {
                    self.sheets.insert(sheet, lines);
                }
                return Ok(None);
            }
            In::Spawn { controller_id, seed, boot_info } => {
                let deployment = reedwalk_settings::read(boot_info).map_err(|e| e.to_string())?;
                let peers = self.peers.then(|| peers::Side::new(&deployment, *seed, peers::millis(at)));
                let instance = Instance {
                    peers: peers.flatten(),
                    gateway: Scheduler::new(deployment.core, *seed).map_err(|e| e.to_string())?,
                    events: Vec::new(),
                    engines: HashMap::new(),
                    addresses: Vec::new(),
                    requests: HashMap::new(),
                    handles: HashMap::new(),
                    next_request: 0,
                };
                self.instances.insert(*controller_id, instance);
                return Ok(Some(*controller_id));
            }
            In::Detach { controller_id } => {
                self.instances.remove(controller_id);
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
            | In::NoteFrom { controller_id, .. } => *controller_id,
        };
        let Some(instance) = self.instances.get_mut(&id) else { return Ok(None) };
        let known = |instance: &Instance, handle: &str| instance.requests.get(handle).copied();
        let event = match message {
            In::Endpoints { kind, sheet, .. } => {
                let scope = match kind.as_str() {
                    "failed" => None,
                    "delta" => Some(EndpointScope::Changes),
                    "cached" => Some(EndpointScope::Cached),
                    _ => Some(EndpointScope::Complete),
                };
                match scope {
                    None => Some(Event::EndpointListFailed),
                    Some(scope) => {
                        let lines =
                            sheet.and_then(|s| self.sheets.get(&s)).ok_or("names a sheet not sent")?;
                        let entries = lines.iter().map(|line| entry(instance, line, at)).collect();
                        Some(Event::Endpoints { scope, entries })
                    }
                }
            }
            In::Ingress {
                handle,
                want_mb,
                estimate_us,
                again_by_client,
                customer,
                key: text,
                service,
                patience_left_us,
                source_set,
                ..
            } => Some(Event::Arrival(Arrival {
                request: instance.arrival(handle),
                class: ClassId(service),
                tenant: TenantId(customer),
                ordering_key: text.as_deref().map(|k| reedwalk_settings::key(k.as_bytes())),
                table_group: source_set.map(|g| GroupId(g as u64)),
                time_left: Duration::from_micros(patience_left_us.max(0) as u64),
                work: estimate_us.filter(|e| *e > 0.0).map(span),
                memory_mb: want_mb.filter(|m| *m > 0.0),
                is_retry: again_by_client,
                prior_attempt: None,
            })),
            In::Accepted { handle, leg, .. } => known(instance, &handle)
                .map(|request| Event::StreamStarted { request, attempt: AttemptNo(leg) }),
            In::Progress { handle, leg, sort, x, .. } => known(instance, &handle).and_then(|request| {
                let note = match (sort, x) {
                    (1, _) => ProgressReport::Done(x),
                    (2, _) => ProgressReport::Spilling(x),
                    (3, 2.0) => ProgressReport::WaitingForLoad,
                    (3, _) => ProgressReport::WaitingForMemory,
                    _ => return None,
                };
                Some(Event::Progress { request, attempt: AttemptNo(leg), report: note })
            }),
            In::Reply { handle, leg, code, closed, bill, feedback, .. } => {
                known(instance, &handle).map(|request| {
                    Event::Ended(AttemptEnded {
                        request,
                        attempt: AttemptNo(leg),
                        outcome: outcome(code),
                        closed,
                        usage: bill.filter(|b| *b > 0).map(|b| ResourceUsage {
                            work: Duration::from_millis(b / 4096),
                            memory_mb: (b % 4096 * 4) as f64,
                        }),
                        load: feedback.map(load),
                    })
                })
            }
            In::Hangup { handle, .. } => known(instance, &handle).map(Event::ClientDisconnected),
            In::TickDue { .. } => Some(Event::WakeUp),
            In::ProbeDone { code, executor, feedback, .. } => {
                let engine = instance.engine(&executor);
                Some(Event::HealthChecked { engine, outcome: outcome(code), load: feedback.map(load) })
            }
            In::NoteFrom { neighbour, body, .. } => {
                instance.peers.iter_mut().for_each(|p| p.hear(neighbour, &body, peers::millis(at)));
                None
            }
            In::Spawn { .. } | In::Detach { .. } | In::Directory { .. } => None,
        };
        instance.events.extend(event);
        Ok(Some(id))
    }
}

fn entry(instance: &mut Instance, line: &wire::Entry, at: u64) -> EngineEntry {
    let entry = EngineEntry {
        engine: instance.engine(&line.executor),
        zone: line.zone.map(ZoneId),
        kind: line.kind.map(KindId),
        cell: line.cell.map(CellId),
        state: match line.state.as_str() {
            "in_service" => EngineState::InService,
            "terminating" => EngineState::Draining,
            _ => EngineState::Removed,
        },
        started: (line.started > 0).then_some(Time(line.started)),
    };
    instance.peers.iter_mut().for_each(|p| p.list(&line.executor, &entry, peers::millis(at)));
    entry
}

impl Instance {
    /// Takes in what happened and acts; gives what it has then heard of others, if anything.
    fn step(
        &mut self,
        id: u64,
        at: u64,
        events: &[Event],
        reply: &mut Vec<u8>,
        first: &mut bool,
    ) -> Option<Vec<Event>> {
        let mut actions = Vec::new();
        let gateway = AssertUnwindSafe(&mut self.gateway);
        let step = catch_unwind(AssertUnwindSafe(|| {
            let gateway = gateway;
            gateway.0.step(Time(at), events, &mut actions);
        }));
        if step.is_err() {
            write(reply, first, &Out::GiveIn { controller_id: id, words: "the decision module panicked" });
            return None;
        }
        let now = peers::millis(at);
        for event in events {
            if let Event::Ended(ended) = event {
                self.peers.iter_mut().for_each(|p| p.ended(ended, now));
                self.update(ended.request, |h| {
                    h.out = h.out.saturating_sub(1);
                    h.ended |= ended.closed;
                });
            } else if let Event::ClientDisconnected(request) = event {
                self.update(*request, |h| h.ended = true);
            }
        }
        for action in &actions {
            self.peers.iter_mut().for_each(|p| p.acted(action, now));
            self.carry_out(id, action, reply, first);
        }
        let peers = self.peers.as_mut()?;
        peers.see(&self.gateway, now);
        let (said, heard) = peers.act(now);
        for (dest, body) in &said {
            write(reply, first, &Out::BroadcastTo { controller_id: id, dest: *dest, body });
        }
        (!heard.is_empty()).then_some(heard)
    }

    fn carry_out(&mut self, id: u64, action: &Action, reply: &mut Vec<u8>, first: &mut bool) {
        let (sent, ended) = match action {
            Action::Send { request, .. } => (Some(*request), None),
            Action::Reject { request, .. } | Action::Fail { request } => (None, Some(*request)),
            _ => (None, None),
        };
        let name = |r: &RequestId| self.handles.get(r).map(|h| h.name.as_str());
        let address = |e: &EngineId| self.addresses.get(e.0 as usize).map(String::as_str);
        let us = |d: &Duration| d.as_micros() as u64;
        let words;
        let out = match action {
            Action::Send { request, engine, timeout } => {
                name(request).zip(address(engine)).map(|(handle, executor)| Out::Try {
                    controller_id: id,
                    handle,
                    cap_us: timeout.as_ref().map(us),
                    executor,
                })
            }
            Action::Cancel { request, attempt } => {
                name(request).map(|handle| Out::Recall { controller_id: id, handle, leg: attempt.0 })
            }
            Action::Reject { request, retry_after } => name(request).map(|handle| Out::Deny {
                controller_id: id,
                handle,
                backoff_us: retry_after.as_ref().map(us),
            }),
            Action::Fail { request } => name(request).map(|handle| Out::Error { controller_id: id, handle }),
            Action::GrantResources { request, memory_mb, priority } => {
                name(request).map(|handle| Out::Resources {
                    controller_id: id,
                    handle,
                    mem_mb: memory_mb.unwrap_or(0.0),
                    prio: *priority,
                })
            }
            Action::WakeAfter(after) => {
                Some(Out::Schedule { controller_id: id, after_us: us(after), label: 0 })
            }
            Action::CheckHealth(engine) => {
                address(engine).map(|executor| Out::HealthCheck { controller_id: id, executor })
            }
            Action::EngineEjected { engine, unresponsive: silent, .. } => {
                words = suspicion(*engine, *silent);
                Some(Out::SayLog { controller_id: id, words: &words })
            }
            Action::Subscribe => Some(Out::Listen { controller_id: id, on: true }),
            Action::Log(words) => Some(Out::SayLog { controller_id: id, words }),
        };
        if let Some(out) = out {
            write(reply, first, &out);
        }
        if let Some(request) = sent {
            self.update(request, |h| h.out += 1);
        }
        if let Some(request) = ended {
            self.update(request, |h| h.ended = true);
        }
    }
}

fn suspicion(engine: EngineId, silent: bool) -> String {
    format!("quarantine engine {} {}", engine.0, if silent { "silent" } else { "fails" })
}

fn write(reply: &mut Vec<u8>, first: &mut bool, out: &Out<'_>) {
    if !std::mem::replace(first, false) {
        reply.push(b',');
    }
    serde_json::to_writer(reply, out).expect("actions are plain data");
}

fn main() -> ExitCode {
    let (mut input, mut output) = (std::io::stdin().lock(), std::io::stdout().lock());
    let peers = std::env::args().skip(1).any(|a| a == "--peers");
    let mut link = Link { peers, ..Link::default() };
    let (mut line, mut reply) = (String::new(), Vec::new());
    for number in 1.. {
        line.clear();
        match input.read_line(&mut line) {
            Ok(0) => break,
            Ok(_) if line.trim().is_empty() => continue,
            Ok(_) => {}
            Err(error) => {
                eprintln!("reedwalk-adapter: line {number}: {error}");
                return ExitCode::FAILURE;
            }
        }
        reply.clear();
        if let Err(error) = link.answer(&line, &mut reply) {
            eprintln!("reedwalk-adapter: line {number}: {error}");
            return ExitCode::FAILURE;
        }
        if output.write_all(&reply).and_then(|()| output.flush()).is_err() {
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
