//! What the front end reports of itself: atomics, written where a thing is known and read without waiting for
//! anybody. Counts start at 0 with the process.

use crate::message::Response;
use reedwalk_scheduler::ClassId;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// With the whole result.
    Completed,
    /// Refused; a further try is harmless.
    Rejected,
    /// Failed.
    Failed,
    /// Its client had left; it stands under no count.
    Left,
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
struct Class {
    name: String,
    completed: AtomicU64,
    rejected: AtomicU64,
    failed: AtomicU64,
}

/// Names, values, and whether each is a count or what stands now.
pub type Lines = Vec<(&'static str, u64, char)>;

/// All metrics.
#[derive(Debug, Default)]
pub struct Metrics {
    classes: Vec<Class>,
    taken: AtomicU64,
    ended: AtomicU64,
    upstream: AtomicU64,
    members: AtomicU64,
    unavailable: AtomicU64,
    /// What is told of other front ends; nothing where this one knows of none.
    peers: Mutex<Lines>,
    /// What is told of a kept memory, and of the way back into service; nothing where none is kept.
    state: Mutex<[Lines; 2]>,
}

/// A request that was taken. Its end is counted once; dropped without one, its client has left.
#[derive(Debug)]
#[must_use = "dropped, it counts as a client that has left"]
pub struct CountedRequest {
    metrics: Arc<Metrics>,
    class: ClassId,
    over: bool,
}

impl CountedRequest {
    /// Counts how it ended. Only the first end counts.
    pub fn end(&mut self, ending: RequestOutcome) {
        if std::mem::replace(&mut self.over, true) {
            return;
        }
        if let Some(class) = self.metrics.classes.get(self.class.0) {
            match ending {
                RequestOutcome::Completed => class.completed.fetch_add(1, Ordering::Relaxed),
                RequestOutcome::Rejected => class.rejected.fetch_add(1, Ordering::Relaxed),
                RequestOutcome::Failed => class.failed.fetch_add(1, Ordering::Relaxed),
                RequestOutcome::Left => 0,
            };
        }
        self.metrics.ended.fetch_add(1, Ordering::Relaxed);
    }
}

impl Drop for CountedRequest {
    fn drop(&mut self) {
        self.end(RequestOutcome::Left);
    }
}

impl Metrics {
    /// All at 0, for these classes.
    pub fn new(classes: &[String]) -> Self {
        let class = |name: &String| Class { name: name.clone(), ..Class::default() };
        Self { classes: classes.iter().map(class).collect(), ..Self::default() }
    }

    /// A request was taken.
    pub fn take(self: &Arc<Self>, class: ClassId) -> CountedRequest {
        self.taken.fetch_add(1, Ordering::Relaxed);
        CountedRequest { metrics: self.clone(), class, over: false }
    }

    /// The last byte of an attempt was written.
    pub fn upstream(&self) {
        self.upstream.fetch_add(1, Ordering::Relaxed);
    }

    /// Engines on the list.
    pub fn set_members(&self, members: usize) {
        self.members.store(members as u64, Ordering::Relaxed);
    }

    /// Engines on the list that nothing is sent to now.
    pub fn set_unavailable(&self, unavailable: usize) {
        self.unavailable.store(unavailable as u64, Ordering::Relaxed);
    }

    /// What other front ends have to do with this one: names, values, and whether each is a count or what stands now.
    pub fn set_peers(&self, metrics: Lines) {
        *self.peers.lock().unwrap_or_else(PoisonError::into_inner) = metrics;
    }

    /// What was written of the memory that is kept.
    pub fn set_state(&self, metrics: Lines) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)[0] = metrics;
    }

    /// How far this front end is on its way back into service.
    pub fn set_return(&self, metrics: Lines) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)[1] = metrics;
    }

    /// Requests taken but not yet ended.
    pub fn pending(&self) -> u64 {
        // The ended first: what ends in between would make it too low, down to below nothing.
        let ended = self.ended.load(Ordering::Acquire);
        self.taken.load(Ordering::Acquire).saturating_sub(ended)
    }

    /// A line for each figure: `svc.NAME:VALUE|c` for counts, `|g` for what stands now.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let read = |value: &AtomicU64| value.load(Ordering::Relaxed);
        for class in &self.classes {
            for (what, value) in
                [("completed", &class.completed), ("rejected", &class.rejected), ("failed", &class.failed)]
            {
                let _ = writeln!(text, "svc.{what}.{}:{}|c", class.name, read(value));
            }
        }
        let _ = writeln!(text, "svc.upstream_requests:{}|c", read(&self.upstream));
        let stands = [
            ("pending", self.pending()),
            ("members", read(&self.members)),
            ("members_unavailable", read(&self.unavailable)),
        ];
        for (what, value) in stands {
            let _ = writeln!(text, "svc.{what}:{value}|g");
        }
        for (what, value, kind) in self.peers.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            let _ = writeln!(text, "svc.peers_{what}:{value}|{kind}");
        }
        for (what, value, kind) in self.state.lock().unwrap_or_else(PoisonError::into_inner).iter().flatten()
        {
            let _ = writeln!(text, "svc.state_{what}:{value}|{kind}");
        }
        text
    }
}

#[cfg(test)]
mod tests;
