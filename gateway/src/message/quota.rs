//! Messages between the broker and the quota manager about the quotas of teams.

use std::sync::Arc;
use std::time::Duration;

/// The quota units to charge for a request before it is admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaRequest {
    /// The team whose quota is charged.
    pub team: Arc<str>,
    /// The cost of the request in quota units.
    pub units: u64,
}

/// Quota units that were charged for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Charge {
    /// The charged team and the units charged.
    pub request: QuotaRequest,
    /// Number of the quota window in which the units were charged.
    pub window: u64,
}

/// Whether the team's quota allows a request to be admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The request may be admitted; its cost was charged.
    Admitted(Charge),
    /// The team has used up its quota. The next window begins after this duration.
    Exhausted(Duration),
}
