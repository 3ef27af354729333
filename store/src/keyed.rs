//! What a keyed request may do by what the store knows of its key.
//!
//! A front end claims a key under a name that no other claim has, and before it sends to engines that another group
//! does not share repeats with, it writes there where it sends. That write is taken only from whoever holds the key:
//! one that slept while another took the key over can't send any more, whatever its clock says. A lease only says how
//! soon others try. Where the store can't be asked, the class's own rules hold, and no more is ventured than by them.
//!
//! A store may tell old truths, so what others act on without further proof must never have been otherwise: a group
//! that was written is the key's for good, also where it turns out that nothing ran there, and an answer stays. Only
//! that nothing was sent yet can be overtaken; that is believed from a store that is known to have lost nothing.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// A claim lasts so long without being renewed; its holder renews it three times as often.
pub const LEASE: Duration = Duration::from_secs(1);
/// Whoever comes while another works on the key is asked to stay away at least and at most so long.
const AWAY_LEAST: Duration = Duration::from_millis(50);
const AWAY_MOST: Duration = Duration::from_secs(1);

/// The name of one claim, never given twice: of which front end process, and a number of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    /// The process; drawn at its start.
    pub front: u64,
    /// Counted by it.
    pub claim: u64,
}

impl fmt::Display for Holder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:x}", self.front, self.claim)
    }
}

/// Which engines drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All of them.
    All,
    /// Only those of one group: a zone or a cell.
    Group,
}

/// Where a request's attempts go, and when the first was sent by its sender's Unix clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sent {
    /// The group; 0 where all engines are one.
    pub group: u64,
    /// In milliseconds.
    pub at_ms: u64,
}

/// How far a key has come in the store, by the letter that stands there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Claimed, and nothing was sent.
    Claimed,
    /// Claimed by one who could not know whether something had been sent.
    Unknown,
    /// Bound to a group, and something may have run there.
    Sent,
    /// Served; its answer is kept.
    Done,
    /// Given up, and nothing has run.
    NeverRan,
}

impl Stage {
    /// Its letter.
    pub fn letter(self) -> &'static str {
        match self {
            Self::Claimed => "c",
            Self::Unknown => "u",
            Self::Sent => "s",
            Self::Done => "d",
            Self::NeverRan => "n",
        }
    }

    /// The stage of a letter.
    pub fn read(letter: &[u8]) -> Option<Self> {
        let all = [Self::Claimed, Self::Unknown, Self::Sent, Self::Done, Self::NeverRan];
        all.into_iter().find(|s| s.letter().as_bytes() == letter)
    }
}

/// What stood in the store when the key was claimed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Prior {
    /// Nothing.
    Absent,
    /// A stage that has no value.
    Stage(Stage),
    /// Something may have run.
    Sent(Sent),
    /// It was served; this is its answer.
    Done(Vec<u8>),
    /// What can't be read.
    Unreadable,
}

/// The store's answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claimed {
    /// The key is ours now.
    pub taken: bool,
    /// How much longer it is another's, where it is.
    pub lease_left: Duration,
    /// What stood there.
    pub prior: Prior,
}

/// An attempt of an earlier try, by another front end or by this one before its restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Earlier {
    /// The group that it was sent to.
    pub group: u64,
    /// How long ago at most.
    pub ago: Duration,
}

/// What the request does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Claim the key in the store.
    Claim,
    /// Go on, bound to what an earlier try has sent.
    Go(Option<Earlier>),
    /// This is its answer.
    Answer(Vec<u8>),
    /// Trying again is harmless, after so long.
    Refuse(Duration),
    /// Its effect is not known.
    Fail,
}

/// What an attempt does that the module wants sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Send {
    /// Go.
    Now,
    /// Write this first, as the key's holder.
    Mark(Sent),
    /// It may not.
    Never,
}

/// What is written when the request is over, as the key's holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Close {
    /// Its answer, for who asks again.
    Done(Vec<u8>),
    /// Others may claim the key at once, and find this.
    Free(Stage),
    /// Others may claim the key at once, and find what stands there.
    Release,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Served, with its answer where that is small enough to be kept.
    Served(Option<Vec<u8>>),
    /// Refused, failed, or left by its client.
    Unserved,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Not claimed, and not to be: the class's own rules hold.
    Alone,
    /// The store was asked.
    Asking,
    /// The key is ours, with the group that stands there. `doubted`: nobody knows whether something was sent before.
    Held { doubted: bool, published: Option<Sent> },
    /// Nothing more may be sent.
    Over,
}

/// One keyed request, from its arrival to its end.
#[derive(Clone, Debug)]
pub struct Keyed {
    scope: Scope,
    again: bool,
    /// For how long engines remember a key, from the send.
    window: Duration,
    /// By how much the clocks of front ends may differ.
    clocks: Duration,
    phase: Phase,
    out: u32,
    ran: bool,
}

impl Keyed {
    /// A request that has just come; `again` where its client says that it has tried before.
    pub fn new(scope: Scope, again: bool, window: Duration, clocks: Duration) -> Self {
        Self { scope, again, window, clocks, phase: Phase::Alone, out: 0, ran: false }
    }

    /// What to do first, where the store may be asked, or where it may not.
    pub fn arrive(&mut self, usable: bool) -> Step {
        if usable {
            self.phase = Phase::Asking;
            return Step::Claim;
        }
        if self.scope == Scope::Group && self.again {
            // Its earlier try may have been sent to any group.
            return self.refuse(AWAY_MOST);
        }
        Step::Go(None)
    }

    fn refuse(&mut self, after: Duration) -> Step {
        self.phase = Phase::Over;
        Step::Refuse(after.clamp(AWAY_LEAST, AWAY_MOST))
    }

    /// The store's answer to the claim, none where there was none in time. `trusted`: a word that nothing ran may be
    /// believed. What is to be written besides comes along.
    pub fn claimed(&mut self, answer: Option<Claimed>, trusted: bool, now_ms: u64) -> (Step, Option<Close>) {
        let Some(Claimed { taken, lease_left, prior }) = answer else {
            // It may have been applied all the same. Then others will find a claim under which nothing was sent.
            return match self.scope {
                Scope::All => {
                    self.phase = Phase::Alone;
                    (Step::Go(None), None)
                }
                Scope::Group => (self.refuse(AWAY_LEAST), None),
            };
        };
        if let Prior::Done(answer) = prior {
            self.phase = Phase::Over;
            return (Step::Answer(answer), None);
        }
        if !taken && prior == Prior::Unreadable && self.scope == Scope::All {
            self.phase = Phase::Alone;
            return (Step::Go(None), None);
        }
        if !taken {
            return (self.refuse(lease_left), None);
        }
        let held = |doubted| Phase::Held { doubted, published: None };
        match prior {
            Prior::Sent(sent) => {
                let step = self.adopt(sent, now_ms);
                // A key that is not gone on with is let go.
                let close = (step == Step::Fail).then_some(Close::Release);
                (step, close)
            }
            Prior::Absent if !self.again => {
                self.phase = held(false);
                (Step::Go(None), None)
            }
            Prior::Stage(Stage::NeverRan | Stage::Claimed) if trusted => {
                self.phase = held(false);
                (Step::Go(None), None)
            }
            _ if self.scope == Scope::All => {
                self.phase = held(true);
                (Step::Go(None), None)
            }
            // Nobody knows where it was sent: no word of ours may make others believe that it was not.
            _ => (self.refuse(AWAY_MOST), Some(Close::Free(Stage::Unknown))),
        }
    }

    fn adopt(&mut self, sent: Sent, now_ms: u64) -> Step {
        let clocks = self.clocks.as_millis() as u64;
        let ahead = sent.at_ms > now_ms.saturating_add(clocks);
        let ago = Duration::from_millis(now_ms.saturating_add(clocks).saturating_sub(sent.at_ms));
        if ago >= self.window || ahead && self.scope == Scope::Group {
            // No engine need remember it any more, or by clocks that differ by more than is said nobody can tell.
            self.phase = Phase::Over;
            return Step::Fail;
        }
        (self.phase, self.ran) = (Phase::Held { doubted: false, published: Some(sent) }, true);
        Step::Go((!ahead).then_some(Earlier { group: sent.group, ago }))
    }

    /// The module wants an attempt sent to an engine of this group.
    pub fn send(&mut self, group: u64, now_ms: u64) -> Send {
        let group = if self.scope == Scope::All { 0 } else { group };
        let verdict = match self.phase {
            Phase::Alone => Send::Now,
            Phase::Held { published: Some(sent), .. } if sent.group == group => Send::Now,
            Phase::Held { published: Some(_), .. } => Send::Never,
            Phase::Held { published: None, .. } => Send::Mark(Sent { group, at_ms: now_ms }),
            Phase::Asking | Phase::Over => Send::Never,
        };
        self.out += u32::from(verdict != Send::Never);
        verdict
    }

    /// Whether the mark was written; none where the store gave no answer in time.
    pub fn marked(&mut self, sent: Sent, written: Option<bool>) -> Send {
        match (written, self.scope) {
            (Some(true), _) => {
                if let Phase::Held { published, .. } = &mut self.phase {
                    *published = Some(sent);
                }
                Send::Now
            }
            // All engines drop its repeats, whoever sends them.
            (_, Scope::All) => {
                self.phase = Phase::Alone;
                Send::Now
            }
            (_, Scope::Group) => {
                // It is not sent, and where the key is another's now it never will be; its end is still to be told.
                if written == Some(false) {
                    self.phase = Phase::Over;
                }
                Send::Never
            }
        }
    }

    /// An attempt has ended; `ran` where it may have run.
    pub fn ended(&mut self, ran: bool) {
        self.out = self.out.saturating_sub(1);
        self.ran |= ran;
    }

    /// May something of it have run, ours or of an earlier try?
    pub fn may_have_run(&self) -> bool {
        self.ran || self.out > 0
    }

    /// The request is over; what is to be written.
    pub fn over(&mut self, ending: Ending) -> Option<Close> {
        let phase = std::mem::replace(&mut self.phase, Phase::Over);
        let Phase::Held { doubted, published } = phase else { return None };
        Some(match ending {
            Ending::Served(Some(answer)) => Close::Done(answer),
            _ if published.is_some() => Close::Release,
            _ if doubted => Close::Free(Stage::Unknown),
            _ => Close::Free(Stage::NeverRan),
        })
    }
}

#[cfg(test)]
mod tests;
