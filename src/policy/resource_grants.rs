//! Resource grants: the memory and the priority of an attempt at its engine.

use super::class_estimates::ClassEstimates;
use crate::interface::{ClassId, Settings};
use crate::state::RequestRecord;

/// Priority of an attempt at its engine, from 0 (lowest) to 3.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Priority(pub(crate) u8);

impl Priority {
    /// For abandoned attempts, whose client has disconnected.
    pub(crate) const LOWEST: Self = Self(0);
    /// For attempts without another grant.
    pub(crate) const DEFAULT: Self = Self(1);
    /// For the class with the highest value density, and for bulk loads.
    const HIGH: Self = Self(2);
}

/// Resources granted to a request's next attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ResourceGrant {
    /// Memory in MB; `None` leaves it to the engine.
    pub(crate) memory_mb: Option<f64>,
    /// Priority at the engine.
    pub(crate) priority: Priority,
}

/// Returns the grant for a request's next attempt, or `None` if it does not differ from the previous one.
/// Memory is the request's own estimate (1 MB without one) times the ratio of used to estimated memory of its
/// class.
pub(crate) fn next_grant(
    request: &RequestRecord,
    settings: &Settings,
    estimates: &ClassEstimates,
) -> Option<ResourceGrant> {
    let class = request.arrival.class;
    let factor = if settings.engine.grants { estimates.memory_factor(class) } else { None };
    let memory_mb = factor.map(|factor| {
        let estimate_mb = request.arrival.memory_mb.filter(|memory| *memory > 0.0).unwrap_or(1.0);
        estimate_mb * factor
    });
    let uses_priorities = settings.engine.priorities;
    let priority =
        if uses_priorities { class_priority(class, settings, estimates) } else { Priority::DEFAULT };
    let is_changed = memory_mb.is_some() || priority != request.priority;
    is_changed.then_some(ResourceGrant { memory_mb, priority })
}

/// Classes with the highest value density get CPU time first when cores are scarce, once engines have
/// reported the work of queries. So do bulk loads, because they block other queries while they run.
fn class_priority(class: ClassId, settings: &Settings, estimates: &ClassEstimates) -> Priority {
    let is_most_valuable = estimates.has_reported_work() && estimates.has_max_value_density(class);
    if settings.classes[class.0].is_load || is_most_valuable { Priority::HIGH } else { Priority::DEFAULT }
}

/// Whether an attempt whose client has disconnected should continue at the lowest priority: engines respect
/// priorities and the attempt cannot be cancelled. Guards against congestion by abandoned work.
pub(crate) fn should_demote(request: &RequestRecord, settings: &Settings) -> bool {
    let can_only_demote = settings.engine.priorities && !settings.limits.cancel;
    can_only_demote && request.in_flight.is_some() && request.priority > Priority::LOWEST
}

#[cfg(test)]
mod tests;
