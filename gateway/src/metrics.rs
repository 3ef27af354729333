//! The metrics of a gateway: atomics that the subsystems update and the console reads without blocking. Counters start at
//! 0 with the process. The names in the console's text are part of the protocol.

use crate::message::Response;
use reedwalk_scheduler::ClassId;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The outcome of a request, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The client received the whole result.
    Completed,
    /// Rejected; the client may retry.
    Rejected,
    /// The request failed.
    Failed,
    /// The client disconnected before the end; counted under none of the other outcomes.
    Disconnected,
}

impl From<&Response> for RequestOutcome {
    fn from(response: &Response) -> Self {
        match response {
            Response::Served(_) => Self::Completed,
            Response::Rejected { .. } => Self::Rejected,
            Response::Failed(_) => Self::Failed,
        }
    }
}

#[derive(Debug, Default)]
struct ClassCounters {
    name: String,
    completed: AtomicU64,
    rejected: AtomicU64,
    failed: AtomicU64,
}

/// Whether a metric is a count since the start of the process or a current value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MetricKind {
    Counter,
    Gauge,
}

impl MetricKind {
    /// The type code after the value in the console's text.
    fn type_code(self) -> char {
        match self {
            Self::Counter => 'c',
            Self::Gauge => 'g',
        }
    }
}

/// A metric of one subsystem.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Metric {
    name: &'static str,
    value: u64,
    kind: MetricKind,
}

impl Metric {
    /// A count since the start of the process.
    pub fn counter(name: &'static str, value: u64) -> Self {
        Self { name, value, kind: MetricKind::Counter }
    }

    /// A current value.
    pub fn gauge(name: &'static str, value: u64) -> Self {
        Self { name, value, kind: MetricKind::Gauge }
    }

    /// Writes the metric as a line of the console's text.
    fn write(&self, text: &mut String, subsystem: &str) {
        let Self { name, value, kind } = self;
        let _ = writeln!(text, "svc.{subsystem}_{name}:{value}|{}", kind.type_code());
    }
}

/// All metrics of the process.
#[derive(Debug, Default)]
pub struct Metrics {
    classes: Vec<ClassCounters>,
    requests_started: AtomicU64,
    requests_ended: AtomicU64,
    upstream_requests: AtomicU64,
    members: AtomicU64,
    members_unavailable: AtomicU64,
    /// Metrics of gossip; empty if gossip is off.
    gossip: Mutex<Vec<Metric>>,
    /// Metrics of persistence; empty if nothing is persisted.
    persistence: Mutex<Vec<Metric>>,
    /// Metrics of recovery; empty if nothing is persisted.
    recovery: Mutex<Vec<Metric>>,
}

/// A request that has started. Its outcome is counted once; if it is dropped without one, its client has disconnected.
#[derive(Debug)]
#[must_use = "dropping it counts the client as disconnected"]
pub struct CountedRequest {
    metrics: Arc<Metrics>,
    class: ClassId,
    has_ended: bool,
}

impl CountedRequest {
    /// Counts the outcome of the request. Calls after the first have no effect.
    pub fn end(&mut self, outcome: RequestOutcome) {
        if std::mem::replace(&mut self.has_ended, true) {
            return;
        }
        if let Some(class) = self.metrics.classes.get(self.class.0) {
            match outcome {
                RequestOutcome::Completed => class.completed.fetch_add(1, Ordering::Relaxed),
                RequestOutcome::Rejected => class.rejected.fetch_add(1, Ordering::Relaxed),
                RequestOutcome::Failed => class.failed.fetch_add(1, Ordering::Relaxed),
                RequestOutcome::Disconnected => 0,
            };
        }
        self.metrics.requests_ended.fetch_add(1, Ordering::Relaxed);
    }
}

impl Drop for CountedRequest {
    fn drop(&mut self) {
        self.end(RequestOutcome::Disconnected);
    }
}

fn lock(metrics: &Mutex<Vec<Metric>>) -> MutexGuard<'_, Vec<Metric>> {
    metrics.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Metrics {
    /// Metrics of these classes, all 0.
    pub fn new(classes: &[String]) -> Self {
        let class = |name: &String| ClassCounters { name: name.clone(), ..ClassCounters::default() };
        Self { classes: classes.iter().map(class).collect(), ..Self::default() }
    }

    /// Counts a request as started.
    pub fn start_request(self: &Arc<Self>, class: ClassId) -> CountedRequest {
        self.requests_started.fetch_add(1, Ordering::Relaxed);
        CountedRequest { metrics: self.clone(), class, has_ended: false }
    }

    /// Counts an attempt whose last byte was written to its engine.
    pub fn count_upstream_request(&self) {
        self.upstream_requests.fetch_add(1, Ordering::Relaxed);
    }

    /// Sets the number of listed engines.
    pub fn set_members(&self, members: usize) {
        self.members.store(members as u64, Ordering::Relaxed);
    }

    /// Sets the number of listed engines that currently receive no attempts.
    pub fn set_unavailable(&self, unavailable: usize) {
        self.members_unavailable.store(unavailable as u64, Ordering::Relaxed);
    }

    /// Sets the metrics of gossip.
    pub fn set_gossip(&self, metrics: Vec<Metric>) {
        *lock(&self.gossip) = metrics;
    }

    /// Sets the metrics of persistence.
    pub fn set_persistence(&self, metrics: Vec<Metric>) {
        *lock(&self.persistence) = metrics;
    }

    /// Sets the metrics of recovery.
    pub fn set_recovery(&self, metrics: Vec<Metric>) {
        *lock(&self.recovery) = metrics;
    }

    /// Number of requests that have started but not ended.
    pub fn pending(&self) -> u64 {
        // `requests_ended` is read first: requests that end between the two reads would otherwise make the result too low,
        // even negative.
        let ended = self.requests_ended.load(Ordering::Acquire);
        self.requests_started.load(Ordering::Acquire).saturating_sub(ended)
    }

    /// The console's text, one line for each metric: `svc.NAME:VALUE|c` for counters, `svc.NAME:VALUE|g` for gauges.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let read = |value: &AtomicU64| value.load(Ordering::Relaxed);
        for class in &self.classes {
            let counters =
                [("completed", &class.completed), ("rejected", &class.rejected), ("failed", &class.failed)];
            for (name, value) in counters {
                let _ = writeln!(text, "svc.{name}.{}:{}|c", class.name, read(value));
            }
        }
        let _ = writeln!(text, "svc.upstream_requests:{}|c", read(&self.upstream_requests));
        let gauges = [
            ("pending", self.pending()),
            ("members", read(&self.members)),
            ("members_unavailable", read(&self.members_unavailable)),
        ];
        for (name, value) in gauges {
            let _ = writeln!(text, "svc.{name}:{value}|g");
        }
        for (subsystem, metrics) in
            [("peers", &self.gossip), ("state", &self.persistence), ("state", &self.recovery)]
        {
            for metric in lock(metrics).iter() {
                metric.write(&mut text, subsystem);
            }
        }
        text
    }
}

#[cfg(test)]
mod tests;
