//! Which core stands still. Every core leaves the time of its last beat; whoever watches compares.

use crate::Micros;

/// Something that has changed about a core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It has not beaten for so long.
    Stalled(usize, Micros),
    /// It beats again after it stood still for so long.
    Back(usize, Micros),
    /// Its thread has ended; it does not come back.
    Lost(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Fit,
    /// Since its last beat.
    Stalled(Micros),
    Lost,
}

/// The states of all cores.
#[derive(Debug)]
pub struct Watch {
    cores: Vec<State>,
    after: Micros,
    looked: Option<Micros>,
}

impl Watch {
    /// Cores that are all fit; one is stalled once it has not beaten for `after`.
    pub fn new(cores: usize, after: Micros) -> Self {
        Self { cores: vec![State::Fit; cores], after, looked: None }
    }

    /// Looks at the last beat of each core, and whether its thread has ended, at `now`. Who looks after it stood
    /// still itself can't tell who else did: such a look finds only what has ended.
    pub fn look(&mut self, now: Micros, cores: impl IntoIterator<Item = (Micros, bool)>) -> Vec<Change> {
        let late = self.looked.is_some_and(|l| now.saturating_sub(l) >= self.after / 2);
        self.looked = Some(now);
        let mut changes = Vec::new();
        for (core, (state, (beat, ended))) in self.cores.iter_mut().zip(cores).enumerate() {
            let silent = now.saturating_sub(beat);
            let next = match *state {
                State::Lost => State::Lost,
                _ if ended => State::Lost,
                State::Stalled(since) if beat > since => State::Fit,
                State::Fit if silent >= self.after && !late => State::Stalled(beat),
                same => same,
            };
            match (*state, next) {
                (State::Stalled(since), State::Fit) => changes.push(Change::Back(core, beat - since)),
                (before, State::Lost) if before != State::Lost => changes.push(Change::Lost(core)),
                (State::Fit, State::Stalled(_)) => changes.push(Change::Stalled(core, silent)),
                _ => {}
            }
            *state = next;
        }
        changes
    }
}

#[cfg(test)]
mod tests;
