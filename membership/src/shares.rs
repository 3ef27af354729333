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
mod tests {
    use super::*;
    use Stage::{Closing, Serving, Starting};

    #[test]
    fn the_parts_of_all_that_live_make_one_whole() {
        let stages = [Starting, Serving, Closing];
        for all in stages.iter().flat_map(|a| stages.iter().map(move |b| [*a, *b, Closing])) {
            let shares = (0..all.len()).map(|own| {
                let others: Vec<_> = (0..all.len()).filter(|n| *n != own).map(|n| all[n]).collect();
                part(all[own], &others).share
            });
            assert!((shares.sum::<f64>() - 1.0).abs() < 1e-9);
        }
    }

    #[test]
    fn one_alone_has_all_and_two_that_serve_half_each() {
        assert_eq!(part(Serving, &[]), Part::default());
        assert_eq!(part(Starting, &[Serving]), Part { share: 0.5, relieved: true });
        assert_eq!(part(Serving, &[Starting]), Part { share: 0.5, relieved: false });
        assert_eq!(part(Serving, &[Closing]).share, 0.75);
        assert_eq!(part(Closing, &[Serving]), Part { share: 0.25, relieved: true });
    }
}
