//! In which order service returns. One stage after another, each with the evidence that it waits for and an instant after
//! which it goes on without; what is not known by then is taken for not known, never for empty.
//!
//! 1. `Settling`: what must never be repeated. Its own folder has been looked through, and others have said what
//!    they know, or their time is over.
//! 2. `Listing`: the list and the words on engines. The name server has answered, or its time is over.
//! 3. `Letting`: work is let in as the decision module does it, by cold budgets, targets and worth; here stands only whether
//!    the pool is cold still, and whether the whole fleet has started with this front end.
//! 4. `Serving`: all.
//!
//! A keyed retry of which nobody knows is turned away until its window is over, in whatever stage.

use crate::Millis;

/// Others have so long to say what they know.
const SETTLE_BY: Millis = 400;
/// And the name server so long, from the start.
const LIST_BY: Millis = 1_500;
/// A fleet of which at least this share has started as lately as this one has lost its power, not one front end.
const FLEET_SHARE: f64 = 0.5;
/// So far apart may the starts of one power loss be.
const TOGETHER: Millis = 60_000;
/// A pool is taken for warm by then, whatever is known of it.
const LET_BY: Millis = 15_000;
/// From this warm share on a pool counts as warm.
const WARM: f64 = 0.95;
/// Clients that are turned away come back over so long a time, an even part for each front end that starts.
const SPREAD_LEAST: Millis = 100;

/// How far a front end has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// What must never be repeated is being settled.
    Settling,
    /// The list is waited for.
    Listing,
    /// Work is let in by its worth.
    Letting,
    /// All is served.
    Serving,
}

impl Stage {
    /// Its name, for those who ask.
    pub fn name(self) -> &'static str {
        match self {
            Self::Settling => "settling",
            Self::Listing => "listing",
            Self::Letting => "letting in",
            Self::Serving => "in service",
        }
    }
}

/// Why a stage was left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Because {
    /// The evidence that it waited for is there.
    Evidence,
    /// Its time was over.
    Instant,
    /// There is nothing to wait for.
    Nothing,
}

impl Because {
    /// In a word, for those who ask.
    pub fn name(self) -> &'static str {
        match self {
            Self::Evidence => "evidence",
            Self::Instant => "time",
            Self::Nothing => "nothing to wait for",
        }
    }
}

/// What a front end is told at its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Setup {
    /// When it started.
    pub started: Millis,
    /// The longest time for which engines drop repeats of a key; 0 where no class has keys.
    pub window: Millis,
    /// Others can be asked.
    pub peers: bool,
    /// There is a name server to be waited for.
    pub names: bool,
}

/// What others say of themselves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tier {
    /// Others that were heard in this life.
    pub heard: usize,
    /// Those of them that had started long before this one.
    pub older: usize,
}

/// May a request go on?
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum May {
    /// Yes.
    Go,
    /// Not before then.
    NotBefore(Millis),
}

/// One front end's way back into service.
#[derive(Clone, Debug)]
pub struct Return {
    setup: Setup,
    stage: Stage,
    /// Stages left: when, and why.
    left: Vec<(Stage, Millis, Because)>,
    asked_all: bool,
    listed: bool,
    tier: Tier,
    /// Warm share of the pool, where it is known.
    warm: Option<f64>,
    now: Millis,
}

impl Return {
    /// A front end that has just started and looked through its own folder.
    pub fn new(setup: Setup) -> Self {
        let mut new = Self {
            setup,
            stage: Stage::Settling,
            left: Vec::new(),
            asked_all: !setup.peers,
            listed: !setup.names,
            tier: Tier::default(),
            warm: None,
            now: setup.started,
        };
        new.go_on(setup.started);
        new
    }

    /// Where it stands.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// The stages that it has left, when and why.
    pub fn left(&self) -> &[(Stage, Millis, Because)] {
        &self.left
    }

    /// Others have said what they know of keys, as many as were asked.
    pub fn settled(&mut self, now: Millis) {
        self.asked_all = true;
        self.go_on(now);
    }

    /// What is known of the other front ends.
    pub fn tier(&mut self, tier: Tier, now: Millis) {
        self.tier = tier;
        self.go_on(now);
    }

    /// The name server has answered.
    pub fn listed(&mut self, now: Millis) {
        self.listed = true;
        self.go_on(now);
    }

    /// Share of the pool's work that it can do now, as cold as it is.
    pub fn pool(&mut self, warm: f64, now: Millis) {
        if warm.is_finite() {
            self.warm = Some(warm.clamp(0.0, 1.0));
        }
        self.go_on(now);
    }

    /// Time has passed. A clock that goes back changes nothing.
    pub fn go_on(&mut self, now: Millis) {
        self.now = self.now.max(now);
        let since = self.now - self.setup.started;
        loop {
            let (evidence, nothing, by) = match self.stage {
                Stage::Settling => (self.asked_all, !self.setup.peers, SETTLE_BY),
                Stage::Listing => (self.listed, !self.setup.names, LIST_BY),
                Stage::Letting => (self.warm.is_some_and(|w| w >= WARM) || self.alone(), false, LET_BY),
                Stage::Serving => return,
            };
            let because = match (nothing, evidence, since >= by) {
                (true, ..) => Because::Nothing,
                (_, true, _) => Because::Evidence,
                (_, _, true) => Because::Instant,
                _ => return,
            };
            self.left.push((self.stage, self.now, because));
            self.stage = match self.stage {
                Stage::Settling => Stage::Listing,
                Stage::Listing => Stage::Letting,
                _ => Stage::Serving,
            };
        }
    }

    /// Most of the others were there before: they bear the pool's cold start already, if there is one.
    fn alone(&self) -> bool {
        self.tier.heard > 0 && (self.tier.older as f64) > (1.0 - FLEET_SHARE) * self.tier.heard as f64
    }

    /// Did another that started then start long before this one?
    pub fn is_older(&self, born: Millis) -> bool {
        born + TOGETHER < self.setup.started
    }

    /// May a request go on? `draw`, from 0 to 1, spreads those that are turned away.
    pub fn admits(&self, draw: f64) -> May {
        let by = match self.stage {
            Stage::Settling => SETTLE_BY,
            Stage::Listing => LIST_BY,
            Stage::Letting | Stage::Serving => return May::Go,
        };
        // Who came before all could be served comes back over as long as he is away, not all at once.
        let span = by.max(SPREAD_LEAST) as f64 * draw.clamp(0.0, 1.0);
        May::NotBefore((self.setup.started + by).max(self.now) + span as Millis)
    }

    /// May a keyed retry of which nobody knows? Its first try was sent before this front end started, or it would know.
    pub fn admits_unknown_retry(&self) -> May {
        let over = self.setup.started + self.setup.window;
        if self.now >= over { May::Go } else { May::NotBefore(over) }
    }
}

#[cfg(test)]
mod tests;
