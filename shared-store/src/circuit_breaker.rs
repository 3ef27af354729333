//! Circuit breaker for calls to the shared store. After an error or several consecutive timeouts the breaker opens and
//! rejects calls for a backoff period that grows exponentially. It then allows one trial call: a success closes the
//! breaker, a failure starts the next backoff. Jitter keeps the gateways from calling a recovering store all at once.

use std::time::{Duration, Instant};

/// Consecutive timeouts that open the breaker. One or two may be a short stall of the store; an error opens the breaker
/// at once.
const TIMEOUT_THRESHOLD: u32 = 3;
/// First backoff, before jitter. It doubles with each failed trial call.
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// Longest backoff, before jitter. It limits how long a store that has recovered stays unused.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Lowest jitter factor. A backoff is multiplied by a random factor between this and one more.
const MIN_JITTER_FACTOR: f64 = 0.5;

/// Health of the store, as seen by this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Calls succeed within their deadline.
    Healthy,
    /// Calls time out.
    Slow,
    /// The store can't be reached, or returns errors.
    Unavailable,
}

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// The store did not reply within the deadline.
    Timeout,
    /// The connection broke, or the reply was an error or could not be parsed.
    Error,
}

/// Decides whether the store may be called.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    health: Health,
    consecutive_failures: u32,
    /// Length of the next backoff, before jitter.
    next_backoff: Duration,
    /// End of the current backoff; `None` while the breaker is closed.
    open_until: Option<Instant>,
    /// Deadline of the trial call in progress, if any.
    trial_deadline: Option<Instant>,
    random_state: u64,
}

impl CircuitBreaker {
    /// Creates a closed breaker. `seed` must differ between gateways, so that their jitter differs.
    pub fn new(seed: u64) -> Self {
        Self {
            health: Health::Healthy,
            consecutive_failures: 0,
            next_backoff: MIN_BACKOFF,
            open_until: None,
            trial_deadline: None,
            random_state: seed | 1,
        }
    }

    /// Returns the current health of the store.
    pub fn health(&self) -> Health {
        self.health
    }

    /// Returns whether a call may be made now. The first call after a backoff is the trial call: no other call is
    /// allowed until it ends or its `deadline` passes.
    pub fn allows_call(&mut self, now: Instant, deadline: Instant) -> bool {
        let Some(open_until) = self.open_until else { return true };
        let is_trial_running = self.trial_deadline.is_some_and(|deadline| now < deadline);
        if now < open_until || is_trial_running {
            return false;
        }
        self.trial_deadline = Some(deadline);
        true
    }

    /// Records a successful call and closes the breaker. Returns the new health if it changed.
    pub fn on_success(&mut self) -> Option<Health> {
        self.consecutive_failures = 0;
        self.next_backoff = MIN_BACKOFF;
        self.open_until = None;
        self.trial_deadline = None;
        self.set_health(Health::Healthy)
    }

    /// Records a failed call, which may open the breaker. Returns the new health if it changed.
    pub fn on_failure(&mut self, failure: FailureKind, now: Instant) -> Option<Health> {
        let is_open = self.open_until.is_some();
        if is_open && self.trial_deadline.is_none() {
            // The call was made before the breaker opened, so it says nothing about the current state of the store.
            return None;
        }
        self.consecutive_failures += 1;
        if !is_open && failure == FailureKind::Timeout && self.consecutive_failures < TIMEOUT_THRESHOLD {
            return None;
        }
        let jitter = MIN_JITTER_FACTOR + self.random();
        self.open_until = Some(now + self.next_backoff.mul_f64(jitter));
        self.next_backoff = (self.next_backoff * 2).min(MAX_BACKOFF);
        self.trial_deadline = None;
        self.set_health(match failure {
            FailureKind::Timeout => Health::Slow,
            FailureKind::Error => Health::Unavailable,
        })
    }

    fn set_health(&mut self, health: Health) -> Option<Health> {
        let before = std::mem::replace(&mut self.health, health);
        (before != health).then_some(health)
    }

    /// Returns a random number in [0, 1) from a xorshift generator.
    fn random(&mut self) -> f64 {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        (self.random_state >> 11) as f64 / (1u64 << 53) as f64
    }
}

#[cfg(test)]
mod tests;
