//! What happens beside the traffic: faults, changes of the endpoint list, gossip, stalls.

use crate::scenario::Disturbance;
use crate::simulation::{Simulation, Task};
use reedwalk_scheduler::*;
use std::time::Duration;

impl Simulation<'_> {
    /// A disturbance happens; the next of its kind is planned.
    pub fn on_disturbance(&mut self, number: usize) {
        let (disturbance, _) = self.scenario.disturbances[number];
        self.plan_disturbance(number);
        match disturbance {
            Disturbance::EngineFault(fault, duration) => {
                let (engine, duration_us) = (self.draw_engine(), self.random.around(duration));
                self.pool.engines[engine.0 as usize].fault = Some(fault);
                self.agenda.add(self.now + duration_us, Task::FaultEnds(engine));
            }
            Disturbance::Restart => self.restart_engine(false),
            Disturbance::RestartSeenByGossip => self.restart_engine(true),
            Disturbance::DrainAndReturn => self.take_out(EngineState::Draining),
            Disturbance::RemoveAndReturn => self.take_out(EngineState::Removed),
            Disturbance::ListReloaded => self.send_list(EndpointScope::Complete),
            Disturbance::ListCached => self.send_list(EndpointScope::Cached),
            Disturbance::ListFailed => self.events.push(Event::EndpointListFailed),
            Disturbance::EjectionByGossip => self.eject_by_gossip(),
            Disturbance::SlowdownByGossip => {
                let (engine, slowdown) = (self.draw_engine(), 0.5 + 6.0 * self.random.unit());
                self.events.push(Event::SlowdownObserved { engine, slowdown });
            }
            Disturbance::LiveGateways => {
                let count = 1 + self.random.below(u64::from(self.scenario.settings.gateways));
                self.events.push(Event::LiveGateways(count as f64));
            }
            Disturbance::CapacityShare => {
                let share = self.random.pick(&[0.0, 0.25, 0.5, 1.0, 1.0]);
                self.events.push(Event::CapacityShare(share));
            }
            Disturbance::OwnStall(duration) => self.stall_us = self.random.around(duration),
            Disturbance::HealthCheck => {
                let (engine, outcome) = (self.draw_engine(), Outcome::Ok);
                self.events.push(Event::HealthChecked { engine, outcome, load: None });
            }
            Disturbance::UnknownIds => self.name_unknown_ids(),
        }
    }

    fn draw_engine(&mut self) -> EngineId {
        EngineId(self.random.below(self.pool.engines.len() as u64) as u32)
    }

    /// An engine's process ends and begins again; the endpoint list reports it at once, or some time after
    /// other gateways have.
    fn restart_engine(&mut self, is_seen_by_gossip: bool) {
        let (engine, started) = (self.draw_engine(), self.now);
        // Gossip may be wrong: what runs at the engine then runs on.
        if is_seen_by_gossip && self.random.chance(0.4) {
            return self.events.push(Event::EngineRestarted { engine, started: Time(started) });
        }
        for (request, attempt) in self.pool.restart(engine, started) {
            self.agenda.add(started, Task::AttemptEnds(request, attempt));
        }
        if !is_seen_by_gossip {
            return self.list_restart(engine, started);
        }
        // The clocks of other gateways may be ahead.
        let seen = started + if self.random.chance(0.3) { self.random.below(800_000) } else { 0 };
        self.events.push(Event::EngineRestarted { engine, started: Time(seen) });
        let listed_at = started + self.random.below(4_000_000);
        self.agenda.add(listed_at, Task::RestartListed(engine, started));
    }

    pub fn list_restart(&mut self, engine: EngineId, started: u64) {
        self.pool.engines[engine.0 as usize].entry.started = Some(Time(started));
        self.send_change(engine);
    }

    /// An engine leaves for some seconds; a draining one is removed before it comes back.
    fn take_out(&mut self, state: EngineState) {
        let engine = self.draw_engine();
        if self.pool.engines[engine.0 as usize].entry.state != EngineState::InService {
            return;
        }
        self.set_engine_state(engine, state);
        let removed_at = self.now + 500_000 + self.random.below(2_000_000);
        let back_at = removed_at + self.random.below(4_000_000);
        self.agenda.add(removed_at, Task::EngineState(engine, EngineState::Removed));
        self.agenda.add(back_at, Task::EngineState(engine, EngineState::InService));
    }

    pub fn set_engine_state(&mut self, id: EngineId, state: EngineState) {
        let engine = &mut self.pool.engines[id.0 as usize];
        engine.entry.state = state;
        if state == EngineState::InService {
            engine.entry.started = Some(Time(self.now));
            engine.restarted_at = Some(self.now);
        }
        self.send_change(id);
    }

    fn send_change(&mut self, engine: EngineId) {
        let entries = vec![self.pool.engines[engine.0 as usize].entry.clone()];
        self.events.push(Event::Endpoints { scope: EndpointScope::Changes, entries });
    }

    /// All entries of the list; now and then it does not know an engine that is there.
    fn send_list(&mut self, scope: EndpointScope) {
        let mut entries = self.pool.entries();
        if self.random.chance(0.3) {
            let missing = self.random.below(entries.len() as u64) as usize;
            entries.remove(missing);
        }
        self.events.push(Event::Endpoints { scope, entries });
    }

    /// Other gateways have ejected one engine, or several at once.
    fn eject_by_gossip(&mut self) {
        for _ in 0..self.random.pick(&[1, 1, 2, 5]) {
            let (engine, duration) =
                (self.draw_engine(), Duration::from_micros(self.random.below(12_000_000)));
            self.events.push(Event::EjectedByGossip { engine, duration });
        }
    }

    fn name_unknown_ids(&mut self) {
        let (request, attempt) = (RequestId(u64::MAX), AttemptNo(3));
        let (engine, known) = (EngineId(9999), self.last_request());
        let unknown_class = Arrival::new(request, ClassId(99), Duration::from_secs(1));
        let ended = AttemptEnded {
            request: known,
            attempt,
            outcome: Outcome::Error,
            closed: false,
            usage: None,
            load: None,
        };
        self.events.extend([
            Event::Progress { request, attempt, report: ProgressReport::FractionDone(0.5) },
            Event::StreamStarted { request: known, attempt },
            Event::BoundToGroup(request),
            Event::ClientDisconnected(request),
            Event::Arrival(unknown_class),
            Event::Ended(ended),
            Event::EngineRestarted { engine, started: Time(self.now) },
            Event::SlowdownObserved { engine, slowdown: f64::NAN },
            Event::EjectedByGossip { engine, duration: Duration::from_secs(1) },
        ]);
    }
}
