//! The broker: a task that owns the scheduler and the tables of requests and attempts. It receives events from a
//! bounded queue, passes them to the scheduler in batches and carries out the scheduler's actions through an
//! [`EngineTransport`]. Sending a response removes its channel from the request's table entry, so each request gets
//! exactly one response. The broker depends on no wire format and never blocks on a front, a transport or a store.

mod actions;
mod admission;
mod attempt_table;
mod attempts;
mod counters;
mod dedup_groups;
mod idempotency;
mod packed_rows;
mod recovery_guard;
mod request_queue;
mod request_table;
mod requests;
mod single_runs;
mod timers;

pub use counters::Counters;
pub use recovery_guard::RecoverySetup;
pub use request_queue::{PendingResponse, RequestQueue};

use crate::message::{
    AttemptEvent, AttemptId, BrokerEvent, EndpointMailbox, EngineAddress, EngineTransport, GossipHandle,
};
use crate::metrics::Metrics;
use crate::quotas::QuotaManager;
use crate::request_ids::RequestIdExchange;
use crate::shared_store::client::SharedStoreClient;
use crate::shutdown::Phase;
use crate::unix_clock::unix_micros;
use attempt_table::AttemptTable;
use counters::CounterLogger;
use idempotency::IdempotencyTracker;
use recovery_guard::RecoveryGuard;
use reedwalk_operations::CapacityShare;
use reedwalk_scheduler::{EndpointScope, EngineState, Event, Idempotency, Scheduler, Time};
use reedwalk_settings::Deployment;
use request_table::RequestTable;
use single_runs::SingleRunIds;
use slog::Logger;
use std::sync::Arc;
use std::time::Duration;
use timers::Timers;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

/// Maximum number of events in the broker's queue.
pub const QUEUE_CAPACITY: usize = 4096;
/// Maximum number of events processed in one step.
const MAX_EVENTS_PER_STEP: usize = 256;
/// Maximum number of open requests. The process's memory limit leaves room for this many, including their results.
const MAX_OPEN_REQUESTS: usize = 1024;
/// Interval between scans for clients whose disconnect found no room in the queue, while any request is open. It is
/// well below the time after a disconnect from which on nothing may be sent for the client.
const DISCONNECT_SCAN_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum sleep when nothing is scheduled.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// State and channels that the broker shares with other subsystems.
#[derive(Clone, Debug)]
pub struct BrokerContext {
    /// Endpoint updates from the endpoint registry.
    pub endpoints: EndpointMailbox,
    /// The metrics of this process.
    pub metrics: Arc<Metrics>,
    /// This process's share of the gateway's capacity.
    pub share: watch::Receiver<CapacityShare>,
    /// This process's shutdown phase.
    pub phase: watch::Receiver<Phase>,
    /// The store for idempotency keys shared between gateways, if configured.
    pub shared_store: Option<Arc<SharedStoreClient>>,
    /// Channels for reports to other gateways, if gossip is enabled.
    pub gossip: Option<GossipHandle>,
}

/// Optional subsystems of a broker.
#[derive(Default)]
pub struct BrokerOptions {
    /// The quotas of teams, if configured.
    pub quotas: Option<Arc<QuotaManager>>,
    /// Persistence and recovery of the broker's state, if enabled.
    pub recovery: Option<RecoverySetup>,
    /// Exchange of requests' ids with the gateway's other processes, if there can be any.
    pub request_ids: Option<RequestIdExchange>,
}

/// Limits from the settings that apply to requests.
struct RequestLimits {
    max_attempts: u32,
    retry_after: Option<Duration>,
    /// For each class, how long engines remember its idempotency keys; `None` for a class without keys.
    dedup_windows: Vec<Option<Duration>>,
    /// For each class, whether its requests must not run twice.
    runs_once: Vec<bool>,
    /// Whether a request may have two attempts in flight (hedging).
    allows_hedging: bool,
}

impl RequestLimits {
    fn new(deployment: &Deployment) -> Self {
        let classes = deployment.scheduler.classes.iter();
        let runs_once = classes.clone().map(|class| class.idempotency == Idempotency::NonIdempotent);
        let deduplication = classes.map(|class| class.idempotency.deduplication());
        let limits = &deployment.scheduler.limits;
        Self {
            max_attempts: limits.max_attempts,
            retry_after: limits.max_retry_after,
            runs_once: runs_once.collect(),
            dedup_windows: deduplication.map(|keys| keys.map(|keys| keys.window)).collect(),
            allows_hedging: deployment.sockets.allows_hedging,
        }
    }
}

/// The scheduler's clock: Unix time in microseconds at the start, advanced by the monotonic clock.
struct SchedulerClock {
    started_us: u64,
    started_at: Instant,
}

impl SchedulerClock {
    fn start(now: Instant) -> Self {
        Self { started_us: unix_micros(), started_at: now }
    }

    fn time(&self, now: Instant) -> Time {
        Time(self.started_us + now.saturating_duration_since(self.started_at).as_micros() as u64)
    }
}

/// Owns the scheduler and all open requests.
pub struct Broker<T> {
    context: BrokerContext,
    scheduler: Scheduler,
    transport: T,
    quotas: Option<Arc<QuotaManager>>,
    /// Sending side of the broker's own queue, for tasks that wait for an answer on its behalf.
    event_sender: mpsc::Sender<BrokerEvent>,
    idempotency: Option<IdempotencyTracker>,
    recovery: Option<RecoveryGuard>,
    limits: RequestLimits,
    requests: RequestTable,
    single_runs: SingleRunIds,
    attempts: AttemptTable,
    timers: Timers,
    clock: SchedulerClock,
    /// Events for the scheduler's next step.
    pending_events: Vec<Event>,
    capacity_share: f64,
    /// The latest time of the scheduler's next step, if it has requested one.
    wake_at: Option<Instant>,
    /// When every request must have been answered; set once this process shuts down.
    shutdown_deadline: Option<Instant>,
    next_disconnect_scan: Instant,
    counters: Counters,
    counter_logger: CounterLogger,
    log: Logger,
}

impl<T: EngineTransport> Broker<T> {
    /// Creates a broker. `events` is the sending side of the queue that is passed to [`Self::run`].
    pub fn new(
        scheduler: Scheduler,
        transport: T,
        deployment: &Deployment,
        options: BrokerOptions,
        context: BrokerContext,
        events: mpsc::Sender<BrokerEvent>,
        log: Logger,
    ) -> Self {
        let now = Instant::now();
        let shared_store = context.shared_store.clone();
        let idempotency =
            shared_store.map(|store| IdempotencyTracker::new(store, deployment, events.clone()));
        let recovery = options
            .recovery
            .map(|setup| RecoveryGuard::new(setup, deployment, context.metrics.clone(), log.clone()));
        Self {
            context,
            scheduler,
            transport,
            quotas: options.quotas,
            event_sender: events,
            idempotency,
            recovery,
            limits: RequestLimits::new(deployment),
            requests: RequestTable::new(deployment.sockets.max_open_requests.min(MAX_OPEN_REQUESTS)),
            single_runs: SingleRunIds::new(options.request_ids),
            attempts: AttemptTable::default(),
            timers: Timers::default(),
            clock: SchedulerClock::start(now),
            pending_events: Vec::new(),
            capacity_share: 1.0,
            wake_at: Some(now),
            shutdown_deadline: None,
            next_disconnect_scan: now,
            counters: Counters::default(),
            counter_logger: CounterLogger::new(now),
            log,
        }
    }

    /// Processes events until the program ends.
    pub async fn run(mut self, mut events: mpsc::Receiver<BrokerEvent>) {
        let mut batch = Vec::with_capacity(MAX_EVENTS_PER_STEP);
        loop {
            let wake_up = self.next_wake_up();
            tokio::select! {
                received = events.recv_many(&mut batch, MAX_EVENTS_PER_STEP) => if received == 0 { return },
                () = self.context.endpoints.changed() => {}
                Ok(()) = self.context.share.changed() => {}
                Ok(()) = self.context.phase.changed() => {}
                () = self.single_runs.processes_changed() => self.single_runs.update_processes(Instant::now()),
                () = sleep_until(wake_up) => {}
            }
            let now = Instant::now();
            // Decisions on the events need the current state of the engines and of this process.
            self.update_endpoints();
            self.update_capacity_share();
            self.update_shutdown_deadline();
            for event in batch.drain(..) {
                self.on_event(event, now);
            }
            self.process_timers(now);
            self.step_scheduler(now);
            self.tick_recovery(now);
        }
    }

    fn next_wake_up(&self) -> Instant {
        let disconnect_scan = (!self.requests.is_empty()).then_some(self.next_disconnect_scan);
        let next = [self.timers.next_expiry(), self.wake_at, disconnect_scan];
        next.into_iter().flatten().min().unwrap_or_else(|| Instant::now() + MAX_SLEEP)
    }

    /// Applies the endpoint registry's updates.
    fn update_endpoints(&mut self) {
        let updates = self.context.endpoints.take();
        if updates.is_empty() {
            return;
        }
        let mut entries = Vec::with_capacity(updates.len());
        for update in updates {
            let entry = update.endpoint.entry;
            let is_removed = entry.state == EngineState::Removed;
            let address = EngineAddress { address: update.endpoint.address, drain_guard: update.drain_guard };
            self.transport.set_endpoint(entry.engine, (!is_removed).then_some(address));
            entries.push(entry);
        }
        if let Some(idempotency) = &mut self.idempotency {
            idempotency.update_endpoints(&entries);
        }
        if let Some(recovery) = &mut self.recovery {
            recovery.update_endpoints(&entries);
        }
        self.pending_events.push(Event::Endpoints { scope: EndpointScope::Changes, entries });
    }

    /// Applies this process's share of the capacity if it has changed.
    fn update_capacity_share(&mut self) {
        let share = self.context.share.borrow_and_update().share;
        if share != self.capacity_share {
            self.capacity_share = share;
            self.transport.set_capacity_share(share);
            self.pending_events.push(Event::CapacityShare(share));
        }
    }

    /// Shortens the deadlines of the open requests when this process starts to shut down.
    fn update_shutdown_deadline(&mut self) {
        let deadline =
            self.context.phase.borrow_and_update().deadlines().map(|deadlines| deadlines.answer_by);
        if deadline == self.shutdown_deadline {
            return;
        }
        self.shutdown_deadline = deadline;
        if let Some(deadline) = deadline {
            self.shorten_deadlines(deadline);
        }
    }

    fn on_event(&mut self, event: BrokerEvent, now: Instant) {
        match event {
            BrokerEvent::RequestArrived { id, request, response } => {
                self.on_request(id, *request, response, now);
            }
            BrokerEvent::ClientDisconnected(id) => self.on_disconnect(id),
            BrokerEvent::Attempt { id, event } => self.on_attempt_event(id, event),
            BrokerEvent::QuotaDecided { request, decision } => {
                self.on_quota_decision(request, decision, now);
            }
            BrokerEvent::ClaimAnswered { request, answer } => self.on_claim_answer(request, answer, now),
            BrokerEvent::SendRecorded { attempt, record, recorded } => {
                self.on_send_recorded(attempt, record, recorded, now);
            }
            BrokerEvent::EjectedByGossip { engine, until } => {
                let duration = until.saturating_duration_since(now);
                self.pending_events.push(Event::EjectedByGossip { engine, duration });
            }
            BrokerEvent::EngineRestarted { engine, started } => {
                self.pending_events.push(Event::EngineRestarted { engine, started });
            }
            BrokerEvent::SlowdownObserved { engine, slowdown } => {
                self.pending_events.push(Event::SlowdownObserved { engine, slowdown });
            }
            BrokerEvent::LiveGateways(count) => self.pending_events.push(Event::LiveGateways(count)),
        }
    }

    fn on_attempt_event(&mut self, id: AttemptId, event: AttemptEvent) {
        match event {
            AttemptEvent::Progress(report) => {
                if let Some(attempt) = self.attempts.get(id) {
                    let (request, attempt) = (attempt.request, attempt.number);
                    self.pending_events.push(Event::Progress { request, attempt, report });
                }
            }
            AttemptEvent::CancelConfirmed => {
                if let Some(outcome) = self.attempts.cancel_outcome(id) {
                    self.on_attempt_ended(id, outcome.into());
                }
            }
            AttemptEvent::Ended(result) => {
                // A late result of a cancelled attempt has no table entry and is dropped.
                if self.attempts.get(id).is_some() {
                    self.transport.release(id);
                    self.on_attempt_ended(id, result);
                }
            }
        }
    }

    fn tick_recovery(&mut self, now: Instant) {
        let discovery_answered = self.context.endpoints.discovery_answered();
        if let Some(recovery) = &mut self.recovery {
            recovery.tick(&self.scheduler, discovery_answered, now);
        }
    }
}
