//! The broker's part in recovery from a restart: whether the current start-up phase admits a request, what is known
//! about the request's idempotency key, and when state has to be persisted. The decisions are made in
//! `reedwalk-recovery`. Nothing here blocks.

use super::dedup_groups::DeduplicationGroups;
use crate::health::Health;
use crate::message::{PersistedEvent, Request};
use crate::metrics::{Metric, Metrics};
use crate::unix_clock::unix_ms;
use reedwalk_recovery::Millis;
use reedwalk_recovery::idempotency_keys::{KeyRules, KeyVerdict, KnownKeys};
use reedwalk_recovery::snapshot::KeyRecord;
use reedwalk_recovery::startup_phases::{AdmissionDecision, StartupPhase, StartupPhases, StartupSetup};
use reedwalk_scheduler::{Deduplication, DeduplicationScope, EngineEntry, EngineId, Scheduler};
use reedwalk_settings::Deployment;
use reedwalk_shared_store::idempotency::EarlierAttempt;
use slog::{Logger, info};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Interval between snapshots of the complete state.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between updates of the metrics.
const METRICS_INTERVAL: Duration = Duration::from_millis(200);
/// Multiplier and increment of the linear congruential generator behind [`RecoveryGuard::random_fraction`].
const LCG_MULTIPLIER: u64 = 0x5851_F42D_4C95_7F2D;
const LCG_INCREMENT: u64 = 0x1405_7B7E_F767_814F;

/// Inputs for persisting and recovering the broker's state.
#[derive(Debug)]
pub struct RecoverySetup {
    /// Queue of the persistence thread.
    pub persisted_events: mpsc::Sender<PersistedEvent>,
    /// Idempotency keys persisted by the previous process.
    pub keys: Vec<KeyRecord>,
    /// Whether a name server is configured, whose first answer is then awaited.
    pub has_name_server: bool,
    /// Health status, which shows whether clients are served.
    pub health: Health,
}

/// Whether recovery allows a request to be admitted.
pub(super) enum RecoveryVerdict {
    /// The request is admitted. It is bound to the group of an earlier attempt with the same key, if there was one.
    Admit(Option<EarlierAttempt>),
    /// The request is rejected; the client should wait this long before a retry.
    Reject(Duration),
}

#[derive(Default)]
struct RecoveryCounters {
    rejected: u64,
    bound_to_group: u64,
    not_persisted: u64,
}

/// Applies the start-up phases and the persisted idempotency keys to requests.
pub(super) struct RecoveryGuard {
    persisted_events: mpsc::Sender<PersistedEvent>,
    health: Health,
    metrics: Arc<Metrics>,
    phases: StartupPhases,
    keys: KnownKeys,
    dedup_by_class: Vec<Option<Deduplication>>,
    groups: DeduplicationGroups,
    next_snapshot: Instant,
    next_metrics: Instant,
    /// Unix time at the start; `started_at` is the same moment on the monotonic clock.
    started_ms: Millis,
    started_at: Instant,
    counters: RecoveryCounters,
    random_state: u64,
    log: Logger,
}

impl RecoveryGuard {
    /// Creates a guard in the first start-up phase.
    pub(super) fn new(
        setup: RecoverySetup,
        deployment: &Deployment,
        metrics: Arc<Metrics>,
        log: Logger,
    ) -> Self {
        let dedup_by_class: Vec<_> =
            deployment.scheduler.classes.iter().map(|class| class.idempotency.deduplication()).collect();
        let window = dedup_by_class
            .iter()
            .flatten()
            .map(|deduplication| key_rules(*deduplication).window)
            .max()
            .unwrap_or(0);
        let (started_ms, now) = (unix_ms(), Instant::now());
        let phases = StartupPhases::new(StartupSetup {
            started: started_ms,
            window,
            has_peers: false,
            has_name_server: setup.has_name_server,
        });
        let guard = Self {
            persisted_events: setup.persisted_events,
            health: setup.health,
            metrics,
            phases,
            keys: KnownKeys::new(&setup.keys, window, started_ms),
            dedup_by_class,
            groups: DeduplicationGroups::default(),
            next_snapshot: now,
            next_metrics: now,
            started_ms,
            started_at: now,
            counters: RecoveryCounters::default(),
            random_state: started_ms,
            log,
        };
        guard.update_health();
        guard
    }

    fn update_health(&self) {
        self.health.set_recovering(self.phases.phase() < StartupPhase::Admitting);
    }

    fn unix_ms(&self, now: Instant) -> Millis {
        self.started_ms + now.saturating_duration_since(self.started_at).as_millis() as Millis
    }

    /// Returns a number from 0 to 1. It only has to differ from request to request.
    fn random_fraction(&mut self) -> f64 {
        self.random_state = self.random_state.wrapping_mul(LCG_MULTIPLIER).wrapping_add(LCG_INCREMENT);
        (self.random_state >> 32) as f64 / f64::from(u32::MAX)
    }

    /// Applies changes of the endpoint list.
    pub(super) fn update_endpoints(&mut self, entries: &[EngineEntry]) {
        self.groups.update(entries);
    }

    /// Decides whether a request that has arrived may be admitted.
    pub(super) fn check(&mut self, request: &Request, now: Instant) -> RecoveryVerdict {
        let now_ms = self.unix_ms(now);
        let random_fraction = self.random_fraction();
        if let AdmissionDecision::NotBefore(at_ms) = self.phases.admits(random_fraction) {
            return self.reject_until(at_ms, now_ms);
        }
        let Some(deduplication) = self.dedup_by_class.get(request.class.0).copied().flatten() else {
            return RecoveryVerdict::Admit(None);
        };
        let Some(idempotency_key) = request.idempotency_key.as_deref() else {
            return RecoveryVerdict::Admit(None);
        };
        let key = reedwalk_settings::key_id(idempotency_key).0;
        match self.keys.on_request(key, key_rules(deduplication), request.is_retry, &self.phases, now_ms) {
            KeyVerdict::First => RecoveryVerdict::Admit(None),
            KeyVerdict::Repeat { group, age } => {
                self.counters.bound_to_group += 1;
                RecoveryVerdict::Admit(Some(EarlierAttempt { group, age: Duration::from_millis(age) }))
            }
            KeyVerdict::NotBefore(at_ms) => self.reject_until(at_ms, now_ms),
        }
    }

    fn reject_until(&mut self, at_ms: Millis, now_ms: Millis) -> RecoveryVerdict {
        self.counters.rejected += 1;
        let wait_ms = at_ms.saturating_sub(now_ms).max(1);
        RecoveryVerdict::Reject(Duration::from_millis(wait_ms))
    }

    /// Persists the idempotency key of an attempt that is about to be sent, if the key is new.
    pub(super) fn before_send(&mut self, request: &Request, engine: EngineId, now: Instant) {
        let Some(deduplication) = self.dedup_by_class.get(request.class.0).copied().flatten() else { return };
        let Some(idempotency_key) = request.idempotency_key.as_deref() else { return };
        let group = self.groups.group_of(engine, deduplication.scope);
        let now_ms = self.unix_ms(now);
        if let Some(key) = self.keys.on_send(reedwalk_settings::key_id(idempotency_key).0, group, now_ms) {
            self.persist(PersistedEvent::IdempotencyKey(key));
        }
    }

    fn persist(&mut self, event: PersistedEvent) {
        if self.persisted_events.try_send(event).is_err() {
            self.counters.not_persisted += 1;
        }
    }

    /// Advances the start-up phase, and persists a snapshot and updates the metrics when they are due.
    pub(super) fn tick(&mut self, scheduler: &Scheduler, discovery_answered: bool, now: Instant) {
        self.advance_phase(scheduler, discovery_answered, now);
        if now >= self.next_snapshot {
            self.next_snapshot = now + SNAPSHOT_INTERVAL;
            let keys = self.keys.active_keys(self.unix_ms(now));
            let engines = scheduler.observations().collect();
            self.persist(PersistedEvent::Snapshot { classes: scheduler.class_stats(), engines, keys });
        }
        if now >= self.next_metrics {
            self.next_metrics = now + METRICS_INTERVAL;
            self.update_metrics();
        }
    }

    fn advance_phase(&mut self, scheduler: &Scheduler, discovery_answered: bool, now: Instant) {
        let now_ms = self.unix_ms(now);
        let phases_before = self.phases.completed_phases().len();
        if discovery_answered {
            self.phases.set_discovery_answered(now_ms);
        }
        if self.phases.phase() == StartupPhase::Admitting {
            self.phases.set_warm_share(scheduler.mean_warm_up(), now_ms);
        }
        self.phases.advance(now_ms);
        for (phase, at_ms, reason) in &self.phases.completed_phases()[phases_before..] {
            info!(self.log, "start-up phase over"; "phase" => phase.name(), "reason" => reason.name(),
                "elapsed_ms" => at_ms - self.started_ms, "next_phase" => self.phases.phase().name());
        }
        if self.phases.completed_phases().len() > phases_before {
            self.update_health();
        }
    }

    fn update_metrics(&self) {
        self.metrics.set_recovery(vec![
            Metric::gauge("stage", self.phases.phase() as u64),
            Metric::counter("refused", self.counters.rejected),
            Metric::counter("bound", self.counters.bound_to_group),
            Metric::counter("unkept", self.counters.not_persisted),
        ]);
    }
}

fn key_rules(deduplication: Deduplication) -> KeyRules {
    KeyRules {
        single_group: deduplication.scope == DeduplicationScope::All,
        window: deduplication.window.as_millis() as Millis,
    }
}
