//! This gateway's attempts at one engine.

use crate::interface::RequestId;
use crate::time::Timestamp;

/// An attempt that was abandoned and is assumed to run until `until`.
struct AbandonedAttempt {
    until: Timestamp,
    threads: f64,
}

/// This gateway's attempts at one engine.
#[derive(Default)]
pub(crate) struct EngineAttempts {
    in_flight: usize,
    /// Threads of the attempts in flight and of the abandoned attempts.
    threads: f64,
    last_sent: Timestamp,
    last_response: Timestamp,
    abandoned: Vec<AbandonedAttempt>,
    /// Bulk loads among the attempts in flight.
    loads: Vec<RequestId>,
}

impl EngineAttempts {
    /// State for an engine that was first seen at `now`.
    pub(crate) fn new(now: Timestamp) -> Self {
        Self { last_response: now, ..Self::default() }
    }

    /// Resets the state after a restart of the engine; keeps only the number and threads of the attempts.
    pub(crate) fn restarted(self, now: Timestamp) -> Self {
        Self { in_flight: self.in_flight, threads: self.threads, ..Self::new(now) }
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Threads in use by attempts in flight and by abandoned attempts that may still run.
    pub(crate) fn threads(&self) -> f64 {
        self.threads
    }

    /// Time at which an attempt was last sent to the engine; zero means never.
    pub(crate) fn last_sent(&self) -> Timestamp {
        self.last_sent
    }

    /// Time of the last response, or of the first send after an idle period if that is later.
    pub(crate) fn last_response(&self) -> Timestamp {
        self.last_response
    }

    /// Bulk loads in flight.
    pub(crate) fn loads(&self) -> &[RequestId] {
        &self.loads
    }

    /// Records the sending of an attempt.
    pub(crate) fn add(&mut self, request: RequestId, threads: f64, is_load: bool, now: Timestamp) {
        if self.in_flight == 0 {
            self.last_response = now;
        }
        self.in_flight += 1;
        self.threads += threads;
        self.last_sent = now;
        if is_load {
            self.loads.push(request);
        }
    }

    /// Records the end of an attempt.
    pub(crate) fn remove(&mut self, request: RequestId, threads: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.threads = (self.threads - threads).max(0.0);
        self.loads.retain(|load| *load != request);
    }

    pub(crate) fn record_response(&mut self, now: Timestamp) {
        self.last_response = now;
    }

    /// Records an abandoned attempt that may run until the given time.
    pub(crate) fn add_abandoned(&mut self, until: Timestamp, threads: f64) {
        self.abandoned.push(AbandonedAttempt { until, threads });
        self.threads += threads;
    }

    /// Removes the abandoned attempts whose time has passed.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        let ended = self.abandoned.iter().filter(|attempt| attempt.until <= now);
        let threads: f64 = ended.map(|attempt| attempt.threads).sum();
        self.abandoned.retain(|attempt| attempt.until > now);
        self.threads = (self.threads - threads).max(0.0);
    }
}

#[cfg(test)]
mod tests;
