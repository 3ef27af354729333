//! Detects stalled cores. Each core records the time of its last heartbeat, which another thread checks periodically.

use crate::Micros;

/// A change of a core's state, reported once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoreEvent {
    /// This core has had no heartbeat for this many microseconds.
    Stalled(usize, Micros),
    /// This core has heartbeats again after it had none for this many microseconds.
    Recovered(usize, Micros),
    /// The thread of this core has ended; the core does not recover.
    Ended(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CoreState {
    Running,
    /// Stalled; holds the time of the last heartbeat.
    Stalled(Micros),
    Ended,
}

/// Tracks the states of all cores.
#[derive(Debug)]
pub struct StallDetector {
    cores: Vec<CoreState>,
    /// A core without a heartbeat for this long is stalled.
    timeout: Micros,
    /// Time of the last check.
    last_check: Option<Micros>,
}

impl StallDetector {
    /// Starts with all cores running. A core counts as stalled after `timeout` microseconds without a heartbeat. The interval
    /// between checks must be shorter than half the timeout.
    pub fn new(cores: usize, timeout: Micros) -> Self {
        Self { cores: vec![CoreState::Running; cores], timeout, last_check: None }
    }

    /// Checks at `now` the last heartbeat of each core and whether its thread has ended. A late check reports no stalls: the
    /// checking thread was itself delayed, perhaps because the whole process was suspended. Recoveries and ended threads are
    /// reported in any case.
    pub fn check(&mut self, now: Micros, cores: impl IntoIterator<Item = (Micros, bool)>) -> Vec<CoreEvent> {
        let is_late = self.last_check.is_some_and(|at| now.saturating_sub(at) >= self.timeout / 2);
        self.last_check = Some(now);
        let mut events = Vec::new();
        for (core, (state, (heartbeat, ended))) in self.cores.iter_mut().zip(cores).enumerate() {
            let heartbeat_age = now.saturating_sub(heartbeat);
            let (next, event) = match *state {
                CoreState::Ended => continue,
                CoreState::Running | CoreState::Stalled(_) if ended => {
                    (CoreState::Ended, CoreEvent::Ended(core))
                }
                CoreState::Stalled(last_heartbeat) if heartbeat > last_heartbeat => {
                    (CoreState::Running, CoreEvent::Recovered(core, heartbeat - last_heartbeat))
                }
                CoreState::Running if heartbeat_age >= self.timeout && !is_late => {
                    (CoreState::Stalled(heartbeat), CoreEvent::Stalled(core, heartbeat_age))
                }
                CoreState::Running | CoreState::Stalled(_) => continue,
            };
            *state = next;
            events.push(event);
        }
        events
    }
}

#[cfg(test)]
mod tests;
