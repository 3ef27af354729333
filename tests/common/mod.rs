//! The one fixture of the tests: a gateway, its clock, and what it did.
#![allow(dead_code)]

use reedwalk_scheduler::*;
use std::time::Duration;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Two classes: a quick one on one thread, worth 1; a long one on four, worth 10.
pub fn settings() -> Settings {
    let quick = ClassSettings::new(ms(300), ms(3000));
    let long = ClassSettings { priority_weight: 10.0, threads: 4, ..ClassSettings::new(ms(3000), ms(15000)) };
    let kinds = vec![KindSettings { cores: 16, memory_mb: 32768.0 }];
    let mut settings = Settings::new(vec![quick, long], kinds);
    settings.limits.cancel = true;
    settings
}

pub struct Rig {
    pub gateway: Scheduler,
    pub now: u64,
    pub actions: Vec<Action>,
    pub next: u64,
}

impl Rig {
    /// A gateway with so many warm engines, numbered from 0.
    pub fn new(settings: Settings, engines: u32) -> Self {
        Self::with_seed(settings, engines, 7)
    }

    pub fn with_seed(settings: Settings, engines: u32, seed: u64) -> Self {
        let gateway = Scheduler::new(settings, seed).expect("sound settings");
        let mut rig = Self { gateway, now: 1_000_000_000, actions: Vec::new(), next: 0 };
        let entries = (0..engines).map(|e| EngineEntry::new(EngineId(e))).collect();
        rig.step(&[Event::Endpoints { scope: EndpointScope::Cached, entries }]);
        rig
    }

    /// One step at the present moment; its actions are kept and returned.
    pub fn step(&mut self, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.step(Time(self.now), events, &mut actions);
        self.actions.extend(actions.iter().cloned());
        actions
    }

    /// Time passes in steps of 5 ms.
    pub fn pass(&mut self, span: Duration) -> Vec<Action> {
        let (from, end) = (self.actions.len(), self.now + span.as_micros() as u64);
        while self.now < end {
            self.now = (self.now + 5000).min(end);
            self.step(&[Event::WakeUp]);
        }
        self.actions[from..].to_vec()
    }

    pub fn arrival(&mut self, class: usize) -> Arrival {
        self.next += 1;
        let patience = [ms(3000), ms(15000), ms(15000)][class];
        Arrival::new(RequestId(self.next), ClassId(class), patience)
    }

    /// A request of a class arrives; its number.
    pub fn arrive(&mut self, class: usize) -> RequestId {
        let arrival = self.arrival(class);
        let id = arrival.request;
        self.step(&[Event::Arrival(arrival)]);
        id
    }

    pub fn end(&mut self, request: RequestId, attempt: u32, outcome: Outcome) -> Vec<Action> {
        let closed = outcome == Outcome::Ok;
        let attempt = AttemptNo(attempt);
        self.step(&[Event::Ended(AttemptEnded {
            request,
            attempt,
            outcome,
            closed,
            usage: None,
            load: None,
        })])
    }

    /// Serves so many of a class, each in a given time, one after the other.
    pub fn serve(&mut self, class: usize, count: usize, takes: Duration) {
        for _ in 0..count {
            let id = self.arrive(class);
            self.pass(takes);
            self.end(id, 0, Outcome::Ok);
        }
    }

    /// Where a request was sent, attempt by attempt.
    pub fn sent(&self, id: RequestId) -> Vec<EngineId> {
        sends(&self.actions).into_iter().filter(|s| s.0 == id).map(|s| s.1).collect()
    }

    pub fn refused(&self, id: RequestId) -> bool {
        self.actions.iter().any(|a| matches!(a, Action::Reject { request, .. } if *request == id))
    }

    pub fn failed(&self, id: RequestId) -> bool {
        self.actions.iter().any(|a| matches!(a, Action::Fail { request } if *request == id))
    }

    pub fn cancelled(&self, id: RequestId) -> bool {
        self.actions.iter().any(|a| matches!(a, Action::Cancel { request, .. } if *request == id))
    }

    /// Engines that it put away by its own evidence, and whether for their silence.
    pub fn suspected(&self) -> Vec<(EngineId, bool)> {
        let suspect = |a: &Action| match a {
            Action::EngineEjected { engine, unresponsive: silent, .. } => Some((*engine, *silent)),
            _ => None,
        };
        self.actions.iter().filter_map(suspect).collect()
    }
}

pub fn sends(actions: &[Action]) -> Vec<(RequestId, EngineId)> {
    let send = |a: &Action| match a {
        Action::Send { request, engine, .. } => Some((*request, *engine)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}
