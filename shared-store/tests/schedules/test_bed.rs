//! Discrete-event simulation of gateways, clients and a store in virtual time.

use crate::checks::Counts;
use crate::events::{Event, GatewayProcess};
use crate::faults::StoreFault;
use crate::gateways::SimulatedGateway;
use crate::random::SeededRandom;
use crate::requests::Request;
use crate::store_model::StoreModel;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

/// How long engines deduplicate a key.
pub const WINDOW_MS: u64 = 12_000;
/// Largest difference between the simulated clocks of two gateways.
const MAX_CLOCK_SKEW_MS: u64 = 400;
/// Number of gateways.
pub const GATEWAY_COUNT: usize = 3;
/// Number of keys; each belongs to one client.
pub const KEY_COUNT: usize = 6;
/// Virtual time at which a schedule ends.
pub const SCHEDULE_END_MS: u64 = 60_000;
/// Length of the period after [`WARM_UP_MS`] in which faults and late first requests begin.
const LOAD_DURATION_MS: u64 = 24_000;
/// Virtual time by which every gateway trusts the store.
const WARM_UP_MS: u64 = 16_000;

/// Whether the store accepts writes only from the holder of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreWrites {
    /// Only the holder may write, as in the Redis scripts.
    Fenced,
    /// All writes are accepted, to show that the checks detect the resulting duplicates.
    Unfenced,
}

/// State of one schedule.
pub struct TestBed {
    pub now_ms: u64,
    start: Instant,
    pub random: SeededRandom,
    pub writes: StoreWrites,
    /// Whether only the first gateway has faults, so that the others keep trusting the store.
    pub single_gateway_faults: bool,
    /// Times and numbers of the scheduled events; events of equal time run in the order of their numbers.
    event_queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    last_event: u64,
    pub store: StoreModel,
    /// Copies of the store with the times at which they were taken.
    pub store_copies: Vec<(u64, StoreModel)>,
    /// Current fault of the store, and its end.
    pub store_fault: Option<(StoreFault, u64)>,
    pub gateways: Vec<SimulatedGateway>,
    pub requests: Vec<Request>,
    /// Whether the client of each key has received the answer.
    pub served: [bool; KEY_COUNT],
    /// Effects by key: time and engine group.
    pub effects: BTreeMap<usize, Vec<(u64, u64)>>,
    /// Time of the run by which the engines of a group deduplicate a key, by key and group.
    pub first_runs: BTreeMap<(usize, u64), u64>,
    /// Arrival time of the first request of each key.
    pub first_arrivals_ms: [u64; KEY_COUNT],
    pub counts: Counts,
}

impl TestBed {
    /// Creates the schedule of a seed. The order in which random numbers are drawn determines the schedule and must not
    /// change.
    pub fn new(seed: u64, writes: StoreWrites) -> Self {
        let start = Instant::now();
        let mut random = SeededRandom::new(seed);
        let new_gateway = |index| {
            let breaker_seed = random.below(u64::MAX);
            SimulatedGateway::new(index as u64 + 1, breaker_seed, random.below(MAX_CLOCK_SKEW_MS), start)
        };
        let gateways = (0..GATEWAY_COUNT).map(new_gateway).collect();
        let mut test_bed = Self {
            now_ms: 0,
            start,
            single_gateway_faults: random.chance(50),
            random,
            writes,
            event_queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event: 0,
            store: StoreModel::default(),
            store_copies: Vec::new(),
            store_fault: None,
            gateways,
            requests: Vec::new(),
            served: [false; KEY_COUNT],
            effects: BTreeMap::new(),
            first_runs: BTreeMap::new(),
            first_arrivals_ms: [0; KEY_COUNT],
            counts: Counts::default(),
        };
        for gateway in 0..GATEWAY_COUNT {
            test_bed.start_gateway(gateway);
        }
        test_bed.schedule_first_requests();
        test_bed.schedule_faults();
        test_bed
    }

    fn schedule_first_requests(&mut self) {
        for key in 0..KEY_COUNT {
            // Some arrive before the gateways trust the store, some later.
            let at_ms = if self.random.chance(30) {
                self.random.below(3_000)
            } else {
                WARM_UP_MS + self.random.below(LOAD_DURATION_MS)
            };
            self.first_arrivals_ms[key] = at_ms;
            let gateway = self.faulty_gateway();
            self.schedule(at_ms, Event::Arrival { key, retry: 0, gateway });
        }
    }

    fn schedule_faults(&mut self) {
        for _ in 0..2 + self.random.below(12) {
            let at_ms = if self.single_gateway_faults {
                WARM_UP_MS + self.random.below(LOAD_DURATION_MS)
            } else {
                self.random.below(44_000)
            };
            self.schedule(at_ms, Event::Fault);
        }
    }

    /// Returns the first gateway if only that one has faults, else a random one.
    pub fn faulty_gateway(&mut self) -> usize {
        if self.single_gateway_faults { 0 } else { self.random_gateway() }
    }

    /// Returns a random gateway.
    pub fn random_gateway(&mut self) -> usize {
        self.random.below(GATEWAY_COUNT as u64) as usize
    }

    /// Schedules an event.
    pub fn schedule(&mut self, at_ms: u64, event: Event) {
        self.last_event += 1;
        self.event_queue.push(Reverse((at_ms, self.last_event)));
        self.events.insert(self.last_event, event);
    }

    /// Converts a virtual time to an instant.
    pub fn instant_of(&self, at_ms: u64) -> Instant {
        self.start + Duration::from_millis(at_ms)
    }

    /// Returns the current virtual time as an instant.
    pub fn now(&self) -> Instant {
        self.instant_of(self.now_ms)
    }

    /// Returns the current process of a gateway.
    pub fn current_process(&self, gateway: usize) -> GatewayProcess {
        GatewayProcess { gateway, process: self.gateways[gateway].process }
    }

    /// Returns whether this process is still the current one of its gateway.
    pub fn is_running(&self, at: GatewayProcess) -> bool {
        self.gateways[at.gateway].process == at.process
    }

    /// Runs the schedule to its end and checks it.
    pub fn run(mut self) -> Counts {
        while let Some(Reverse((at_ms, number))) = self.event_queue.pop() {
            if at_ms > SCHEDULE_END_MS {
                break;
            }
            self.now_ms = at_ms;
            let event = self.events.remove(&number).unwrap();
            // Delay events of a suspended gateway until it resumes.
            let resumes_ms = event.gateway().map(|gateway| self.gateways[gateway].suspended_until_ms);
            match resumes_ms.filter(|resumes_ms| *resumes_ms > self.now_ms) {
                Some(resumes_ms) => self.schedule(resumes_ms, event),
                None => self.handle(event),
            }
        }
        self.check()
    }

    fn handle(&mut self, event: Event) {
        if event.process().is_some_and(|at| !self.is_running(at)) {
            return;
        }
        match event {
            Event::Arrival { key, retry, gateway } => self.on_arrival(key, retry, gateway),
            Event::Apply { operation, at, call } => self.apply_at_store(&operation, at, call),
            Event::Reply { at, call, reply, called_ms } => self.on_reply(at, call, reply, called_ms),
            Event::SendAttempt { request, .. } => self.send_attempt(request),
            Event::AttemptEnd { request, outcome, .. } => self.on_attempt_end(request, outcome),
            Event::Deadline { request, .. } => self.on_deadline(request),
            Event::Disconnect { request } => self.on_disconnect(request),
            Event::HeartbeatDue { at } => self.send_heartbeat(at),
            Event::RenewalDue { at } => self.renew_claims(at),
            Event::Fault => self.begin_fault(),
        }
    }
}
