//! The scheduler of one gateway: its state, and the order in which a step runs. Every decision is made in
//! [`crate::policy`].

use crate::interface::{
    Action, Discovery, EndpointScope, EngineEntry, EngineId, Event, KindId, RequestId, Settings,
    SettingsError, Time,
};
use crate::policy::{MIN_EJECTION, SECOND, START_PER_CORE};
use crate::state::{
    ClassStats, EngineRecord, EngineTable, EventWindow, Evidence, RequestTable, instant, micros,
};
use crate::validation::check;

/// Pause before the endpoint list is subscribed to again.
const RESUBSCRIBE_AFTER: i64 = SECOND;

/// The scheduler of one gateway.
pub struct Scheduler {
    pub(crate) settings: Settings,
    /// How many gateways share the pool by the settings. A process with half of a gateway's share counts as one of
    /// twice as many. Slow-start budgets go by this number, all else by the live one.
    pub(crate) configured_gateways: f64,
    /// How many of them are alive.
    pub(crate) live_gateways: f64,
    /// Time of the present step, in microseconds.
    pub(crate) now: i64,
    pub(crate) next_housekeeping: i64,
    /// This process has stood still before the present step.
    pub(crate) stalled: bool,
    pub(crate) subscribe_at: Option<i64>,
    pub(crate) classes: Vec<ClassStats>,
    /// Evidence of all engines together; it decides for an engine that has too little of its own.
    pub(crate) pool: Evidence,
    pub(crate) last_period: i64,
    pub(crate) engines: EngineTable,
    pub(crate) requests: RequestTable,
    /// Arrivals and retries in the window of the retry budget.
    pub(crate) recent_requests: EventWindow,
    pub(crate) recent_retries: EventWindow,
    /// Work sent to each warm engine in a second, as a rough mean, and all work sent to them in this period.
    pub(crate) warm_rate: f64,
    pub(crate) warm_sent: f64,
    /// Breaks ties between engines, differently for each gateway.
    pub(crate) tie_breaker: u64,
}

impl Scheduler {
    /// A scheduler that has seen nothing yet. Gateways with the same settings have different seeds.
    ///
    /// # Errors
    /// Names the first setting that makes no sense.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        check(&settings)?;
        let classes = settings.classes.len();
        Ok(Self {
            configured_gateways: f64::from(settings.gateways),
            live_gateways: f64::from(settings.gateways),
            subscribe_at: (settings.discovery == Discovery::Subscribed).then_some(0),
            settings,
            now: 0,
            next_housekeeping: i64::MIN,
            stalled: false,
            classes: (0..classes).map(|_| ClassStats::default()).collect(),
            pool: Evidence::new(classes),
            last_period: i64::MIN / 2,
            engines: EngineTable::default(),
            requests: RequestTable::new(classes),
            recent_requests: EventWindow::default(),
            recent_retries: EventWindow::default(),
            warm_rate: 0.0,
            warm_sent: 0.0,
            tie_breaker: seed,
        })
    }

    /// Takes in everything that has happened until `now`, then sends what may be sent. Appends its decisions to
    /// `actions`.
    pub fn step(&mut self, now: Time, events: &[Event], actions: &mut Vec<Action>) {
        self.now = self.now.max(instant(now));
        self.detect_own_stall();
        for event in events {
            self.on_event(event, actions);
        }
        self.keep_house(actions);
        self.dispatch(actions);
    }

    fn on_event(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::Endpoints { scope, entries } => self.update_endpoints(*scope, entries),
            Event::EndpointListFailed => self.on_endpoint_list_failed(),
            Event::CapacityShare(share) => self.set_capacity_share(*share),
            Event::LiveGateways(count) => self.set_live_gateways(*count),
            Event::EjectedByGossip { engine, duration } => self.eject_on_gossip(*engine, micros(*duration)),
            Event::EngineRestarted { engine, started } => self.on_engine_restarted(*engine, *started),
            Event::SlowdownObserved { engine, slowdown } => self.on_observed_by_others(*engine, *slowdown),
            Event::Arrival(arrival) => self.on_arrival(arrival, actions),
            Event::BoundToGroup(request) => self.bind_to_group(*request),
            Event::StreamStarted { request, attempt } => {
                let request = self.requests.get_mut(*request);
                if let Some(request) = request.filter(|request| request.attempt(*attempt).is_some()) {
                    request.streaming = true;
                }
            }
            Event::Progress { request, attempt, report } => {
                self.on_progress(*request, *attempt, *report, actions);
            }
            Event::Ended(ended) => self.on_attempt_ended(ended, actions),
            Event::ClientDisconnected(request) => self.on_disconnect(*request, actions),
            Event::WakeUp | Event::HealthChecked { .. } => {}
        }
    }

    fn update_endpoints(&mut self, scope: EndpointScope, entries: &[EngineEntry]) {
        self.engines.begin_update(scope);
        for entry in entries {
            let bound = self.gateway_share(START_PER_CORE, entry.kind);
            let evidence = Evidence::new(self.settings.classes.len());
            let fresh = EngineRecord::new(evidence, bound, MIN_EJECTION, self.now);
            self.engines.update(entry, fresh);
        }
        self.engines.end_update();
    }

    fn on_endpoint_list_failed(&mut self) {
        let subscribes = self.settings.discovery == Discovery::Subscribed;
        self.subscribe_at = subscribes.then_some(self.now + RESUBSCRIBE_AFTER);
    }

    /// Bounds and slow-start budgets are parts of what all gateways may do, and go with this process's share of one.
    fn set_capacity_share(&mut self, share: f64) {
        let gateways = f64::from(self.settings.gateways) / share.clamp(0.01, 1.0);
        let before = std::mem::replace(&mut self.configured_gateways, gateways);
        self.warm_rate *= before / gateways;
        self.scale_bounds(self.live_gateways * gateways / before);
    }

    fn set_live_gateways(&mut self, count: f64) {
        self.scale_bounds(self.configured_gateways * count / f64::from(self.settings.gateways));
    }

    /// This gateway's part of a number of threads a core. That one query fits is left to the selection.
    pub(crate) fn gateway_share(&self, threads_per_core: f64, kind: Option<KindId>) -> f64 {
        threads_per_core * self.settings.cores(kind) / self.live_gateways
    }

    fn scale_bounds(&mut self, live_gateways: f64) {
        let live_gateways = live_gateways.max(1.0);
        for engine in self.engines.values_mut() {
            engine.bound *= self.live_gateways / live_gateways;
        }
        self.live_gateways = live_gateways;
    }

    /// The group that a request's attempt goes to has been recorded elsewhere.
    fn bind_to_group(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        let run = request.in_flight.as_ref().map(|attempt| self.possible_run(request, attempt));
        if let Some(request) = self.requests.get_mut(id) {
            request.possible_run = request.possible_run.or(run);
        }
    }

    /// Forgets what has had its time: abandoned attempts, ordering keys, and what lies before the windows of the rules.
    pub(crate) fn expire(&mut self) {
        let now = self.now;
        let window = micros(self.settings.rules.overload_window);
        for engine in self.engines.values_mut() {
            engine.expire(now, window);
        }
        self.requests.expire_ordering_keys(now);
        let budget = self.settings.rules.retry_budget.as_ref();
        let since = budget.map(|budget| now - micros(budget.window));
        self.recent_requests.expire(since);
        self.recent_retries.expire(since);
    }

    fn on_engine_restarted(&mut self, engine: EngineId, started: Time) {
        let now = self.now;
        if let Some(engine) = self.engines.get_mut(engine) {
            engine.set_restarted(started, now);
        }
    }

    /// Number of things remembered: requests, attempts, engines, keys. For checks that it stays bounded.
    pub fn tracked_items(&self) -> usize {
        let windows = self.recent_requests.len() + self.recent_retries.len();
        self.requests.tracked() + self.engines.len() + windows
    }
}
