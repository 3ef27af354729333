//! A team's budget at one gateway. The gateway leases units from the shared store in batches, so that most requests are
//! charged without a call to the store. While the store can't be reached, the gateway grants a part of its even share
//! (the budget divided by the number of gateways) locally, less the units that it has leased. All gateways together
//! therefore grant at most the budget plus that part in a window: one and a half budgets
//! (`docs/design/shared-store.md`).

use std::time::{Duration, Instant};

/// Fraction of its even share that a gateway grants locally while the store can't be reached. Other gateways may have
/// leased the whole budget, so this limits how far the budget is exceeded.
pub const STORE_DOWN_SHARE: f64 = 0.5;
/// Fraction of its even share that a gateway grants without a shared store: no other gateway can lease those units.
pub const EVEN_SHARE: f64 = 1.0;
/// Number of usual leases in an even share. A gateway may hold one lease unused, so this limits the unused units.
const LEASES_PER_EVEN_SHARE: u64 = 16;
/// Delay before the next lease call after the store ran out of units: other gateways may have returned some by then.
const EXHAUSTED_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Leased units are returned after this time without a charge, so that other gateways can use them.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Result of a charge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChargeResult {
    /// The units are charged.
    Granted,
    /// Not enough units are left in the current window.
    Denied,
    /// This many units must be leased first.
    Lease(u64),
}

/// One team's budget at this gateway.
#[derive(Clone, Debug)]
pub struct QuotaLease {
    /// Units per window, over all gateways.
    budget: u64,
    /// Number of gateways that share the budget.
    gateways: u64,
    /// Fraction of the even share that is granted without the store.
    local_fraction: f64,
    /// Number of the current window.
    window: u64,
    /// Leased units that are not charged yet.
    available: u64,
    /// Units leased in the current window, charged or not, less the units returned to the store.
    leased: u64,
    /// Units granted without the store in the current window.
    granted_locally: u64,
    /// End of the delay after the store ran out of units.
    exhausted_until: Option<Instant>,
    last_used: Option<Instant>,
}

impl QuotaLease {
    /// Creates a budget of `budget` units per window that `gateways` gateways share. Without the store, each grants
    /// `local_fraction` of its even share.
    pub fn new(budget: u64, gateways: u64, local_fraction: f64) -> Self {
        Self {
            budget,
            gateways: gateways.max(1),
            local_fraction,
            window: 0,
            available: 0,
            leased: 0,
            granted_locally: 0,
            exhausted_until: None,
            last_used: None,
        }
    }

    /// Advances to the window of this number and returns the number of the current window. A step back to the previous
    /// window, as after a small clock correction, is ignored.
    pub fn advance_to(&mut self, window: u64) -> u64 {
        if window > self.window || window + 1 < self.window {
            let fresh = Self::new(self.budget, self.gateways, self.local_fraction);
            *self = Self { window, ..fresh };
        }
        self.window
    }

    /// Returns the number of units of a usual lease.
    fn lease_size(&self) -> u64 {
        (self.budget / self.gateways / LEASES_PER_EVEN_SHARE).max(1)
    }

    /// Charges units to the current window. `is_store_usable` tells whether the store may be called.
    pub fn charge(&mut self, amount: u64, is_store_usable: bool, now: Instant) -> ChargeResult {
        if amount <= self.available {
            self.available -= amount;
            self.last_used = Some(now);
            return ChargeResult::Granted;
        }
        if amount > self.budget {
            return ChargeResult::Denied;
        }
        if !is_store_usable {
            return self.charge_locally(amount);
        }
        if self.is_exhausted(now) {
            return ChargeResult::Denied;
        }
        let missing = amount - self.available;
        ChargeResult::Lease(missing.max(self.lease_size()))
    }

    /// Charges units without the store, up to `local_fraction` of the even share, less the units leased in this window.
    fn charge_locally(&mut self, amount: u64) -> ChargeResult {
        let limit = (self.budget as f64 / self.gateways as f64 * self.local_fraction) as u64;
        let total = self.leased.saturating_add(self.granted_locally).saturating_add(amount);
        if total > limit {
            return ChargeResult::Denied;
        }
        self.granted_locally += amount;
        ChargeResult::Granted
    }

    /// Returns whether the store ran out of units less than [`EXHAUSTED_RETRY_DELAY`] ago.
    fn is_exhausted(&self, now: Instant) -> bool {
        self.exhausted_until.is_some_and(|until| now < until)
    }

    /// Returns whether this many leased units are available, so that a charge needs no call to the store.
    pub fn has_available(&self, amount: u64) -> bool {
        amount <= self.available
    }

    /// Returns the number of units to lease in advance, so that no request waits for a lease.
    pub fn prefetch_amount(&self, now: Instant) -> Option<u64> {
        let is_low = self.available < self.lease_size() / 2;
        (is_low && !self.is_exhausted(now)).then(|| self.lease_size())
    }

    /// Adds the units that the store has granted of the `requested` ones in `window`.
    pub fn add_leased(&mut self, window: u64, requested: u64, units: u64, now: Instant) {
        // Units of a past window have expired with it.
        if window == self.window {
            self.available += units;
            self.leased += units;
            self.exhausted_until = (units < requested).then(|| now + EXHAUSTED_RETRY_DELAY);
            self.last_used = Some(now);
        }
    }

    /// Refunds the units of a request that never ran, if `window` is the current window.
    pub fn refund(&mut self, window: u64, amount: u64) {
        if window == self.window {
            // Refund locally granted units first: they were not leased, so they must not become available leased units.
            let local = amount.min(self.granted_locally);
            self.granted_locally -= local;
            self.available += amount - local;
        }
    }

    /// Removes and returns the unused units that are to be returned to the store.
    pub fn take_idle(&mut self, now: Instant) -> Option<u64> {
        let is_idle = self.available > 0
            && self.last_used.is_none_or(|at| now.saturating_duration_since(at) >= IDLE_TIMEOUT);
        is_idle.then(|| {
            self.leased = self.leased.saturating_sub(self.available);
            std::mem::take(&mut self.available)
        })
    }
}

#[cfg(test)]
mod tests;
