//! Quotas of teams, as the broker and the quota manager exchange them.

use std::sync::Arc;
use std::time::Duration;

/// The quota units that a request costs, to be charged before it is admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaRequest {
    /// The team that pays.
    pub team: Arc<str>,
    /// Units.
    pub amount: u64,
}

/// Quota units that were charged for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Charge {
    /// What was charged, and to whom.
    pub request: QuotaRequest,
    /// Number of the quota window that it counts in.
    pub window: u64,
}

/// Whether a request may be admitted, as far as its team's quota goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// It may; this was charged.
    Admitted(Charge),
    /// The team has used up its quota; the next window begins after this time.
    Exhausted(Duration),
}
