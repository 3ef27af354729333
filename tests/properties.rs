//! Random scripts of events against a checker of the seven rules that knows only events and actions.

mod common;

use common::ms;
use reedwalk_scheduler::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// A small fixed generator (xorshift), so that every run draws the same scripts.
struct Dice(u64);

impl Dice {
    fn roll(&mut self, sides: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % sides
    }
    fn one_in(&mut self, sides: u64) -> bool {
        self.roll(sides) == 0
    }
}

fn us(d: Duration) -> u64 {
    d.as_micros() as u64
}

struct Out {
    engine: EngineId,
    sent: u64,
    number: u32,
    cancelled: bool,
}

struct Open {
    arrival: Arrival,
    due: u64,
    attempts: u32,
    out: Option<Out>,
    /// Engine and time of the first attempt that may have run.
    ran: Option<(EngineId, u64)>,
    answered: bool,
}

/// What the outside knows; checks each action against it.
struct World {
    settings: Settings,
    now: u64,
    engines: BTreeMap<EngineId, (EngineEntry, Option<u64>)>,
    open: BTreeMap<RequestId, Open>,
    lines: BTreeMap<KeyId, (Vec<RequestId>, u64)>,
    taken: Vec<u64>,
    extras: Vec<u64>,
}

impl World {
    fn class(&self, open: &Open) -> &ClassSettings {
        &self.settings.classes[open.arrival.class.0]
    }

    fn check(&mut self, action: &Action) {
        match action {
            Action::Send { request, engine, .. } => self.check_send(*request, *engine),
            Action::Cancel { request, attempt } => {
                assert!(self.settings.limits.cancel, "cancel is not allowed");
                let open = self.open.get_mut(request).expect("cancels what it knows");
                let out = open.out.as_mut().expect("an attempt is out");
                assert_eq!(out.number, attempt.0);
                out.cancelled = true;
            }
            Action::Reject { request, .. } => {
                let open = &self.open[request];
                let free = match self.class(open).idempotency {
                    Idempotency::Idempotent | Idempotency::Keyed { scope: KeyScope::All, .. } => true,
                    _ => open.ran.is_none() && open.out.is_none(),
                };
                assert!(free, "refused though it may have run");
                self.answer(*request);
            }
            Action::Fail { request } => self.answer(*request),
            Action::GrantResources { request, priority, memory_mb } => {
                assert!(self.open.contains_key(request) && *priority <= 3);
                assert!(memory_mb.is_none_or(|m| m.is_finite() && m >= 0.0));
            }
            Action::CheckHealth(_) => assert!(self.settings.limits.health_checks, "probes are not allowed"),
            Action::Subscribe => assert_eq!(self.settings.discovery, Discovery::Subscribed),
            Action::WakeAfter(_) | Action::Log(_) | Action::EngineEjected { .. } => {}
        }
    }

    fn answer(&mut self, id: RequestId) {
        let open = self.open.get_mut(&id).expect("answers what it took");
        assert!(!open.answered, "answered twice");
        assert!(self.now <= open.due + us(self.settings.rules.answer_slack), "answered too late");
        open.answered = true;
        self.settle(id);
    }

    /// Takes a request out of its line and off the books once nothing of it is left.
    fn settle(&mut self, id: RequestId) {
        let open = &self.open[&id];
        if open.answered && open.out.is_none() {
            if let Some(line) = open.arrival.ordering_key.and_then(|k| self.lines.get_mut(&k)) {
                line.0.retain(|r| *r != id);
            }
            self.open.remove(&id);
        }
    }

    fn check_send(&mut self, id: RequestId, to: EngineId) {
        let open = self.open.get(&id).expect("sends what it took");
        let class = self.class(open).clone();
        assert!(!open.answered, "sent after its answer");
        assert!(open.out.is_none(), "two attempts at once");
        assert!(open.attempts < self.settings.limits.max_attempts, "too many attempts");
        let (entry, told) = &self.engines[&to];
        let grace = us(self.settings.rules.drain_grace);
        assert!(told.is_none_or(|t| self.now <= t + grace), "sent to a draining or gone engine");
        assert!(class.zones.is_none_or(|z| z.contains(&entry.zone.unwrap())), "wrong zone");
        assert!(class.kinds.is_none_or(|k| k.contains(&entry.kind.unwrap())), "wrong kind");
        if let Some((first, sent)) = open.ran {
            let first = &self.engines[&first].0;
            match class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => panic!("sent again though it may have run"),
                Idempotency::Keyed { scope, window: memory } => {
                    assert!(self.now <= sent + us(memory), "no longer remembered");
                    match scope {
                        KeyScope::All => {}
                        KeyScope::Zone => assert_eq!(first.zone, entry.zone),
                        KeyScope::Cell => assert_eq!(first.cell, entry.cell),
                    }
                }
            }
        }
        if let (true, Some(key)) = (class.in_order, open.arrival.ordering_key) {
            let (line, rests) = &self.lines[&key];
            assert_eq!(line[0], id, "out of turn");
            assert!(open.attempts > 0 || self.now >= *rests, "the key rests");
        }
        let again = open.attempts > 0;
        if let (true, Some(b)) = (again, &self.settings.rules.retry_budget) {
            self.extras.push(self.now);
            let recent =
                |times: &[u64]| times.iter().filter(|t| **t + us(b.window) > self.now).count() as f64;
            assert!(recent(&self.extras) <= b.free + b.ratio * recent(&self.taken), "over the budget");
        }
        let open = self.open.get_mut(&id).unwrap();
        open.out = Some(Out { engine: to, sent: self.now, number: open.attempts, cancelled: false });
        open.attempts += 1;
    }

    /// The outcome of an attempt as the event that tells of it.
    fn end(&mut self, id: RequestId, outcome: Outcome) -> Event {
        let rest = self.now + us(self.settings.rules.order_settle);
        let ordered = self.class(&self.open[&id]).in_order;
        let open = self.open.get_mut(&id).unwrap();
        let out = open.out.take().unwrap();
        if outcome != Outcome::Ok && !outcome.never_ran() {
            open.ran = open.ran.or(Some((out.engine, out.sent)));
        }
        if let (true, Some(line)) = (
            ordered && outcome.may_still_run(),
            open.arrival.ordering_key.and_then(|k| self.lines.get_mut(&k)),
        ) {
            line.1 = line.1.max(rest);
        }
        open.answered |= outcome == Outcome::Ok;
        let closed = open.answered;
        self.settle(id);
        let (attempt, load) =
            (AttemptNo(out.number), Some(LoadReport { cpu: Some(f64::NAN), ..LoadReport::default() }));
        let bill = (outcome == Outcome::Ok).then_some(ResourceUsage { work: ms(80), memory_mb: 64.0 });
        Event::Ended(AttemptEnded { request: id, attempt, outcome, closed, usage: bill, load })
    }
}

fn classes(dice: &mut Dice) -> Vec<ClassSettings> {
    let effects = [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        Idempotency::Keyed { scope: KeyScope::All, window: ms(800) },
        Idempotency::Keyed { scope: KeyScope::Zone, window: ms(2000) },
        Idempotency::Keyed { scope: KeyScope::Cell, window: ms(2000) },
    ];
    (0..4)
        .map(|_| ClassSettings {
            idempotency: effects[dice.roll(5) as usize],
            in_order: dice.one_in(2),
            zones: dice.one_in(3).then(|| vec![ZoneId(dice.roll(2) as usize)]),
            kinds: dice.one_in(3).then(|| vec![KindId(dice.roll(2) as usize)]),
            threads: 1 + dice.roll(4) as u32,
            is_load: dice.one_in(3),
            objective_stretch: [0.0, 2.0, 1e300][dice.roll(3) as usize],
            late_weight: dice.roll(3) as f64 / 2.0,
            ..ClassSettings::new(ms(dice.roll(400)), ms(2000))
        })
        .collect()
}

#[expect(clippy::too_many_lines, reason = "one history, checked after every step")]
fn script(seed: u64) -> (usize, usize) {
    let mut dice = Dice(seed * 2_654_435_761 + 1);
    let kinds = vec![KindSettings { cores: 4, memory_mb: 0.0 }, KindSettings { cores: 0, memory_mb: 9e9 }];
    let mut settings = Settings::new(classes(&mut dice), kinds);
    settings.gateways = 1 + dice.roll(4) as u32;
    settings.limits.cancel = dice.one_in(2);
    settings.limits.max_attempts = 1 + dice.roll(5) as u32;
    settings.rules.drain_grace = ms(500);
    settings.rules.order_settle = ms(300);
    settings.discovery = if dice.one_in(3) { Discovery::Subscribed } else { Discovery::Pushed };
    settings.engine.grants = dice.one_in(2);
    settings.engine.priorities = dice.one_in(2);
    settings.engine.progress_interval = dice.one_in(2).then(|| ms(200));
    settings.rules.retry_budget =
        dice.one_in(2).then(|| RetryBudget { free: 2.0, ratio: 0.2, window: ms(1000) });
    let mut gateway = Scheduler::new(settings.clone(), seed).unwrap();
    let mut world = World {
        settings,
        now: dice.roll(1 << 40),
        engines: BTreeMap::new(),
        open: BTreeMap::new(),
        lines: BTreeMap::new(),
        taken: Vec::new(),
        extras: Vec::new(),
    };
    let (mut next, mut served, mut actions) = (0, 0, Vec::new());
    for step in 0..3000 {
        // Mostly 5 ms on; now and then the clock stands, and events come that make no sense.
        world.now += if dice.one_in(10) { 0 } else { 5000 };
        let mut events = vec![Event::WakeUp];
        if step == 0 || dice.one_in(150) {
            let entries = (0..2 + dice.roll(8)).map(|_| entry(&mut dice, world.now)).collect::<Vec<_>>();
            let scope = [EndpointScope::Complete, EndpointScope::Changes, EndpointScope::Cached]
                [dice.roll(3) as usize];
            if scope != EndpointScope::Changes {
                world.engines.values_mut().for_each(|e| e.1 = e.1.or(Some(world.now)));
            }
            for entry in &entries {
                let told = (entry.state != EngineState::InService).then_some(world.now);
                let before = world.engines.get(&entry.engine).and_then(|e| e.1);
                world.engines.insert(entry.engine, (entry.clone(), told.map(|t| before.unwrap_or(t))));
            }
            events.push(Event::Endpoints { scope, entries });
        }
        if dice.one_in(200) {
            events.push(Event::EndpointListFailed);
        }
        let ends: Vec<_> = world.open.iter().filter(|o| o.1.out.is_some()).map(|o| *o.0).collect();
        for id in ends {
            let open = &world.open[&id];
            let (out, due) = (open.out.as_ref().unwrap(), open.due);
            let outcomes = [
                Outcome::Error,
                Outcome::Rejected,
                Outcome::ConnectFailed,
                Outcome::Reset,
                Outcome::NeverSent,
            ];
            let outcome = if world.now >= due {
                Some(Outcome::TimedOut)
            } else if out.cancelled {
                dice.one_in(3).then_some(if dice.one_in(4) { Outcome::Ok } else { Outcome::Cancelled })
            } else if dice.one_in(15) {
                Some(if dice.one_in(9) { outcomes[dice.roll(5) as usize] } else { Outcome::Ok })
            } else {
                None
            };
            let attempt = AttemptNo(out.number);
            if let Some(outcome) = outcome {
                let again = world.end(id, outcome);
                served += usize::from(outcome == Outcome::Ok);
                if dice.one_in(20) {
                    events.push(again.clone());
                }
                events.push(again);
            } else if dice.one_in(10) {
                let notes = [
                    ProgressReport::Done(0.01),
                    ProgressReport::Done(f64::NAN),
                    ProgressReport::Spilling(-1.0),
                    ProgressReport::WaitingForLoad,
                ];
                events.push(Event::Progress { request: id, attempt, report: notes[dice.roll(4) as usize] });
            }
        }
        let leaving = world.open.iter().find(|o| !o.1.answered).map(|o| *o.0).filter(|_| dice.one_in(100));
        if let Some(id) = leaving {
            world.open.get_mut(&id).unwrap().answered = true;
            world.settle(id);
            events.push(Event::ClientDisconnected(id));
        }
        for _ in 0..if dice.one_in(3) { dice.roll(4) } else { 0 } {
            next += 1;
            let class = ClassId(dice.roll(4) as usize);
            let arrival = Arrival {
                request: RequestId(next),
                class,
                ordering_key: dice.one_in(2).then(|| KeyId(dice.roll(5))),
                table_group: dice.one_in(2).then(|| GroupId(dice.roll(3))),
                time_left: ms(dice.roll(2000)),
                work: dice.one_in(3).then(|| Duration::from_secs(dice.roll(1 << 50))),
                memory_mb: dice.one_in(2).then_some([f64::NAN, 0.0, 100.0, -5.0][dice.roll(4) as usize]),
                ..Arrival::default()
            };
            if let (true, Some(key)) = (world.settings.classes[class.0].in_order, arrival.ordering_key) {
                world.lines.entry(key).or_default().0.push(arrival.request);
            }
            world.taken.push(world.now);
            let due = world.now + us(arrival.time_left);
            let open =
                Open { arrival: arrival.clone(), due, attempts: 0, out: None, ran: None, answered: false };
            world.open.insert(arrival.request, open);
            events.push(Event::Arrival(arrival));
        }
        if dice.one_in(30) {
            let (request, attempt) = (RequestId(next + 1000), AttemptNo(3));
            events.push(Event::Progress { request, attempt, report: ProgressReport::Done(0.5) });
            events.push(Event::ClientDisconnected(request));
            let unknown = Arrival::new(request, ClassId(99), ms(100));
            events.push(Event::Arrival(unknown));
            let (engine, outcome) = (EngineId(77), Outcome::Ok);
            events.push(Event::HealthChecked { engine, outcome, load: None });
        }
        actions.clear();
        gateway.step(Time(world.now), &events, &mut actions);
        // A client may leave in the very step in which its request is answered; the answer is then ignored.
        let moot = |a: &&Action| match a {
            Action::Reject { request, .. } | Action::Fail { request } => Some(*request) != leaving,
            _ => true,
        };
        actions.iter().filter(moot).for_each(|a| world.check(a));
        for (id, open) in &world.open {
            let late = us(world.settings.rules.answer_slack);
            assert!(open.answered || world.now <= open.due + late, "{id:?} was never answered");
        }
    }
    (served, next as usize)
}

fn entry(dice: &mut Dice, now: u64) -> EngineEntry {
    let states = [EngineState::Draining, EngineState::Removed];
    let state = if dice.one_in(8) { states[dice.roll(2) as usize] } else { EngineState::InService };
    let id = dice.roll(8);
    EngineEntry {
        engine: EngineId(id as u32),
        zone: Some(ZoneId(id as usize % 2)),
        kind: Some(KindId(id as usize / 2 % 2)),
        cell: Some(CellId(id % 3)),
        state,
        started: dice.one_in(9).then_some(Time(now)),
    }
}

const SCRIPTS: u64 = 24;

#[test]
fn random_scripts_break_no_rule() {
    let (mut served, mut taken) = (0, 0);
    for seed in 1..=SCRIPTS {
        let (s, t) = script(seed);
        served += s;
        taken += t;
    }
    assert!(
        taken > 1000 * SCRIPTS as usize && served * 5 > taken,
        "the scripts do run: {served} served of {taken}"
    );
}
