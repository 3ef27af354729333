//! The start-up phases of a gateway. Each phase waits for some evidence and ends without it after a timeout. Information
//! that is missing by then is treated as unknown, never as empty.
//!
//! 1. `Settling`: finds out which requests must not be repeated. Ends when the other gateways have answered;
//!    the gateway's own directory has been read before.
//! 2. `Listing`: waits for the endpoint list and the operators' overrides. Ends when the name server has answered.
//! 3. `Admitting`: the scheduler admits requests, subject to its slow-start budgets, targets and shedding. This
//!    module only determines whether the pool is still warming up and whether the whole fleet was restarted together.
//! 4. `Serving`: all requests are served.
//!
//! In every phase, a retry with an unknown idempotency key is rejected until its deduplication window has ended.

use crate::Millis;

/// End of the wait for answers of other gateways, counted from the start; requests are rejected until then.
const SETTLE_TIMEOUT: Millis = 400;
/// End of the wait for the name server, counted from the start; requests are rejected until then.
const LIST_TIMEOUT: Millis = 1_500;
/// If at least this fraction of the fleet started about when this gateway did, the whole fleet is taken to have lost
/// power.
const MIN_RESTARTED_SHARE: f64 = 0.5;
/// Maximum time between the starts of two gateways after the same power loss.
const SAME_OUTAGE_WINDOW: Millis = 60_000;
/// Time after the start at which the pool counts as warm, whatever is known about it.
const WARM_UP_TIMEOUT: Millis = 15_000;
/// Fraction of its capacity from which the pool counts as warm, so that the last few engines are not waited for.
const MIN_WARM_SHARE: f64 = 0.95;
/// Minimum time over which retries of rejected clients are spread, so that they do not arrive all at once.
const MIN_RETRY_SPREAD: Millis = 100;

/// A phase of the start-up, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StartupPhase {
    /// Waiting for other gateways to report which requests must not be repeated.
    Settling,
    /// Waiting for the endpoint list.
    Listing,
    /// The scheduler admits requests while the pool warms up.
    Admitting,
    /// All requests are served.
    Serving,
}

impl StartupPhase {
    /// The name of the phase in log records.
    pub fn name(self) -> &'static str {
        match self {
            Self::Settling => "settling",
            Self::Listing => "listing",
            Self::Admitting => "letting in",
            Self::Serving => "in service",
        }
    }
}

/// Why a phase ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PhaseEndReason {
    /// The evidence that the phase waited for arrived.
    Evidence,
    /// The timeout of the phase expired.
    Timeout,
    /// There was nothing to wait for in this deployment.
    NotNeeded,
}

impl PhaseEndReason {
    /// The name of the reason in log records.
    pub fn name(self) -> &'static str {
        match self {
            Self::Evidence => "evidence",
            Self::Timeout => "time",
            Self::NotNeeded => "nothing to wait for",
        }
    }
}

/// The inputs of the start-up phases that are known at the start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartupSetup {
    /// When the gateway started.
    pub started: Millis,
    /// The longest deduplication window of any class; 0 if no class deduplicates keys.
    pub window: Millis,
    /// Whether there are other gateways to ask.
    pub has_peers: bool,
    /// Whether there is a name server to wait for.
    pub has_name_server: bool,
}

/// What is known about the other gateways of the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetStatus {
    /// Number of gateways that have sent a datagram since this one started.
    pub gateways: usize,
    /// Number of those that were started long before this one, see [`StartupPhases::is_long_running`].
    pub long_running: usize,
}

/// Whether a request may be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request may be admitted.
    Admit,
    /// The request is rejected, and may be retried from this time on.
    NotBefore(Millis),
}

/// The state machine of the start-up phases.
#[derive(Clone, Debug)]
pub struct StartupPhases {
    setup: StartupSetup,
    phase: StartupPhase,
    /// The phases that have ended, with time and reason.
    completed: Vec<(StartupPhase, Millis, PhaseEndReason)>,
    peers_answered: bool,
    discovery_answered: bool,
    fleet: FleetStatus,
    /// Fraction of the pool's capacity that is available now, if known.
    warm_share: Option<f64>,
    now: Millis,
}

impl StartupPhases {
    /// Creates the phases of a gateway that has just started and has read its own directory.
    pub fn new(setup: StartupSetup) -> Self {
        let mut new = Self {
            setup,
            phase: StartupPhase::Settling,
            completed: Vec::new(),
            peers_answered: !setup.has_peers,
            discovery_answered: !setup.has_name_server,
            fleet: FleetStatus::default(),
            warm_share: None,
            now: setup.started,
        };
        new.advance(setup.started);
        new
    }

    /// The current phase.
    pub fn phase(&self) -> StartupPhase {
        self.phase
    }

    /// The phases that have ended, with time and reason, in order.
    pub fn completed_phases(&self) -> &[(StartupPhase, Millis, PhaseEndReason)] {
        &self.completed
    }

    /// Records that the other gateways have reported the keys that they know.
    pub fn set_peers_answered(&mut self, now: Millis) {
        self.peers_answered = true;
        self.advance(now);
    }

    /// Updates what is known about the other gateways.
    pub fn set_fleet_status(&mut self, fleet: FleetStatus, now: Millis) {
        self.fleet = fleet;
        self.advance(now);
    }

    /// Records that the name server has answered.
    pub fn set_discovery_answered(&mut self, now: Millis) {
        self.discovery_answered = true;
        self.advance(now);
    }

    /// Sets the fraction of the pool's capacity that is available now, from 0 to 1; engines in slow start count in part.
    pub fn set_warm_share(&mut self, share: f64, now: Millis) {
        if share.is_finite() {
            self.warm_share = Some(share.clamp(0.0, 1.0));
        }
        self.advance(now);
    }

    /// Ends the phases whose evidence has arrived or whose timeout has expired. A clock that goes back has no effect.
    pub fn advance(&mut self, now: Millis) {
        self.now = self.now.max(now);
        while let Some(end) = self.current_phase_end() {
            self.completed.push((self.phase, self.now, end));
            self.phase = match self.phase {
                StartupPhase::Settling => StartupPhase::Listing,
                StartupPhase::Listing => StartupPhase::Admitting,
                StartupPhase::Admitting | StartupPhase::Serving => StartupPhase::Serving,
            };
        }
    }

    /// Why the current phase ends now; `None` if it continues.
    fn current_phase_end(&self) -> Option<PhaseEndReason> {
        let (must_wait, has_evidence, timeout) = match self.phase {
            StartupPhase::Settling => (self.setup.has_peers, self.peers_answered, SETTLE_TIMEOUT),
            StartupPhase::Listing => (self.setup.has_name_server, self.discovery_answered, LIST_TIMEOUT),
            StartupPhase::Admitting => {
                (true, self.is_pool_warm() || self.most_peers_kept_running(), WARM_UP_TIMEOUT)
            }
            StartupPhase::Serving => return None,
        };
        if !must_wait {
            return Some(PhaseEndReason::NotNeeded);
        }
        if has_evidence {
            return Some(PhaseEndReason::Evidence);
        }
        let elapsed = self.now - self.setup.started;
        (elapsed >= timeout).then_some(PhaseEndReason::Timeout)
    }

    fn is_pool_warm(&self) -> bool {
        self.warm_share.is_some_and(|share| share >= MIN_WARM_SHARE)
    }

    /// Whether most other gateways kept running while this one restarted. Their requests keep the pool warm, so that this
    /// gateway does not have to wait for it.
    fn most_peers_kept_running(&self) -> bool {
        let long_running = self.fleet.long_running as f64;
        let max_restarted = (1.0 - MIN_RESTARTED_SHARE) * self.fleet.gateways as f64;
        self.fleet.gateways > 0 && long_running > max_restarted
    }

    /// Whether a gateway with this start time was running long before this one started.
    pub fn is_long_running(&self, started: Millis) -> bool {
        started + SAME_OUTAGE_WINDOW < self.setup.started
    }

    /// Whether a request may be admitted. `jitter`, from 0 to 1, spreads the retries of rejected requests.
    pub fn admits(&self, jitter: f64) -> AdmissionDecision {
        let timeout = match self.phase {
            StartupPhase::Settling => SETTLE_TIMEOUT,
            StartupPhase::Listing => LIST_TIMEOUT,
            StartupPhase::Admitting | StartupPhase::Serving => return AdmissionDecision::Admit,
        };
        // Spread the retries over as much time as clients may have waited, so that they do not arrive all at once.
        let spread = timeout.max(MIN_RETRY_SPREAD) as f64 * jitter.clamp(0.0, 1.0);
        let phase_end = (self.setup.started + timeout).max(self.now);
        AdmissionDecision::NotBefore(phase_end + spread as Millis)
    }

    /// Whether a retry with an unknown idempotency key may be admitted. The first request must have been sent before this
    /// process started, or the key would be known.
    pub fn admits_unknown_retry(&self) -> AdmissionDecision {
        let window_end = self.setup.started + self.setup.window;
        if self.now >= window_end {
            AdmissionDecision::Admit
        } else {
            AdmissionDecision::NotBefore(window_end)
        }
    }
}

#[cfg(test)]
mod tests;
