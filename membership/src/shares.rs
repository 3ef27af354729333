//! The parts of two processes that are one front end for rules and limits. Each knows only its own stage and those
//! of the others that live, and all come to parts whose sum is no more than the whole.

/// How far a process has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// It takes no clients yet.
    Starting,
    /// It takes clients.
    Serving,
    /// It finishes what it has taken.
    Closing,
}

/// What part of the front end a process has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// More than 0, at most 1.
    pub share: f64,
    /// Another takes clients: this one need not go on accepting when it is told to end.
    pub relieved: bool,
}

impl Default for Part {
    fn default() -> Self {
        Self { share: 1.0, relieved: false }
    }
}

/// Weight of a stage: who only finishes needs less than who is sent all that is new.
fn weight(stage: Stage) -> f64 {
    if stage == Stage::Closing { 1.0 } else { 3.0 }
}

/// This process's part, given the stages of the others that live.
pub fn part(own: Stage, others: &[Stage]) -> Part {
    let all: f64 = others.iter().map(|s| weight(*s)).sum::<f64>() + weight(own);
    Part { share: weight(own) / all, relieved: others.contains(&Stage::Serving) }
}

#[cfg(test)]
mod tests;
