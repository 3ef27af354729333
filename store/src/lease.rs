//! A team's budget at one front end: units are leased from the store many at a time, so that a request pays from what
//! is here already. Where the store can't be asked, a front end grants a part of its even share by itself, less what it
//! has leased: over all front ends no more than the budget and that part of it is ever granted in a window.

use std::time::{Duration, Instant};

/// Share of a front end's even part of a budget that it grants by itself where a store is shared but can't be asked:
/// others may have leased the budget, so that no more than this comes on top of it.
pub const ALONE: f64 = 0.5;
/// The same where no store is shared: nobody else can have it.
pub const EVEN: f64 = 1.0;
/// A lease is this part of a front end's even share: so much of a budget may lie idle in all of them together.
const PART: u64 = 16;
/// A store that had nothing left is asked again after this: others may have given units back.
const DRY: Duration = Duration::from_millis(100);
/// What has not been drawn on for so long is given back.
const IDLE: Duration = Duration::from_secs(1);

/// What a spend comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spend {
    /// It is paid.
    Granted,
    /// There is not enough left in this window.
    Denied,
    /// Lease so many units, then try again.
    Lease(u64),
}

/// One team's budget at this front end.
#[derive(Clone, Debug)]
pub struct Purse {
    budget: u64,
    gateways: u64,
    share: f64,
    window: u64,
    held: u64,
    /// Units leased in this window, spent or not, less what was given back.
    leased: u64,
    alone: u64,
    dry_until: Option<Instant>,
    drawn: Option<Instant>,
}

impl Purse {
    /// A budget of so many units a window, which so many front ends share; of an even part each grants this share by
    /// itself.
    pub fn new(budget: u64, gateways: u64, share: f64) -> Self {
        let (gateways, dry_until, drawn) = (gateways.max(1), None, None);
        Self { budget, gateways, share, window: 0, held: 0, leased: 0, alone: 0, dry_until, drawn }
    }

    /// The window that counts, by this clock's number of it. A clock that steps back by less than a window leaves the
    /// one that is there.
    pub fn window(&mut self, window: u64) -> u64 {
        if window > self.window || window + 1 < self.window {
            let fresh = Self::new(self.budget, self.gateways, self.share);
            *self = Self { window, ..fresh };
        }
        self.window
    }

    /// The usual lease.
    fn chunk(&self) -> u64 {
        (self.budget / self.gateways / PART).max(1)
    }

    /// Pays from what is here, in the window that `window` has last told.
    pub fn spend(&mut self, amount: u64, usable: bool, now: Instant) -> Spend {
        if amount <= self.held {
            self.held -= amount;
            self.drawn = Some(now);
            return Spend::Granted;
        }
        if amount > self.budget {
            return Spend::Denied;
        }
        if !usable {
            let part = (self.budget as f64 / self.gateways as f64 * self.share) as u64;
            let granted = self.leased.saturating_add(self.alone).saturating_add(amount) <= part;
            self.alone += if granted { amount } else { 0 };
            return if granted { Spend::Granted } else { Spend::Denied };
        }
        if self.dry_until.is_some_and(|until| now < until) {
            return Spend::Denied;
        }
        Spend::Lease((amount - self.held).max(self.chunk()))
    }

    /// Is so much here?
    pub fn holds(&self, amount: u64) -> bool {
        amount <= self.held
    }

    /// What to lease ahead of need, so that nobody waits for it.
    pub fn ahead(&self, now: Instant) -> Option<u64> {
        let dry = self.dry_until.is_some_and(|until| now < until);
        (!dry && self.held < self.chunk() / 2).then(|| self.chunk())
    }

    /// Units that the store has given of those `wanted`, in that window.
    pub fn leased(&mut self, window: u64, wanted: u64, units: u64, now: Instant) {
        // Those of a window that is over are gone with it.
        if window == self.window {
            self.held += units;
            self.leased += units;
            self.dry_until = (units < wanted).then(|| now + DRY);
            self.drawn = Some(now);
        }
    }

    /// What was paid for in that window never ran.
    pub fn refund(&mut self, window: u64, amount: u64) {
        if window == self.window {
            // Granted by ourselves first: those units were nobody's.
            let alone = amount.min(self.alone);
            self.alone -= alone;
            self.held += amount - alone;
        }
    }

    /// Units to give back to the store, since nobody draws on them.
    pub fn give_back(&mut self, now: Instant) -> Option<u64> {
        let idle = self.held > 0 && self.drawn.is_none_or(|at| now.saturating_duration_since(at) >= IDLE);
        idle.then(|| {
            self.leased = self.leased.saturating_sub(self.held);
            std::mem::take(&mut self.held)
        })
    }
}

#[cfg(test)]
mod tests;
