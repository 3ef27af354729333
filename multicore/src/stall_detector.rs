//! Detects stalled cores. Every core writes the time of its last heartbeat, which is checked at intervals.

use crate::Micros;

/// A change of a core's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It has sent no heartbeat for this long.
    Stalled(usize, Micros),
    /// It sends heartbeats again after it had stalled for this long.
    Recovered(usize, Micros),
    /// Its thread has ended, for good.
    Ended(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Running,
    /// Since its last heartbeat.
    Stalled(Micros),
    Ended,
}

/// The states of all cores.
#[derive(Debug)]
pub struct StallDetector {
    cores: Vec<State>,
    timeout: Micros,
    checked_at: Option<Micros>,
}

impl StallDetector {
    /// Running cores; one is stalled once it has sent no heartbeat for `timeout`.
    pub fn new(cores: usize, timeout: Micros) -> Self {
        Self { cores: vec![State::Running; cores], timeout, checked_at: None }
    }

    /// Checks the last heartbeat of each core, and whether its thread has ended, at `now`. A check that comes late, since the
    /// checking thread itself had stalled, can't tell who else had: it finds only threads that have ended.
    pub fn check(&mut self, now: Micros, cores: impl IntoIterator<Item = (Micros, bool)>) -> Vec<Change> {
        let is_late = self.checked_at.is_some_and(|at| now.saturating_sub(at) >= self.timeout / 2);
        self.checked_at = Some(now);
        let mut changes = Vec::new();
        for (core, (state, (heartbeat, ended))) in self.cores.iter_mut().zip(cores).enumerate() {
            let silence = now.saturating_sub(heartbeat);
            let next = match *state {
                State::Ended => State::Ended,
                _ if ended => State::Ended,
                State::Stalled(since) if heartbeat > since => State::Running,
                State::Running if silence >= self.timeout && !is_late => State::Stalled(heartbeat),
                same => same,
            };
            match (*state, next) {
                (State::Stalled(since), State::Running) => {
                    changes.push(Change::Recovered(core, heartbeat - since))
                }
                (before, State::Ended) if before != State::Ended => changes.push(Change::Ended(core)),
                (State::Running, State::Stalled(_)) => changes.push(Change::Stalled(core, silence)),
                _ => {}
            }
            *state = next;
        }
        changes
    }
}

#[cfg(test)]
mod tests;
