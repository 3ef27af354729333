//! Rules for how far a stored or received fact can be trusted. A fact that restricts the gateway is accepted from
//! weak sources and stays valid for long; a fact that permits something requires a strong source; a statistic serves
//! as a prior that fresh samples outweigh. The rules form one table, in the order of `docs/design/recovery.md`.

use crate::Millis;

/// The kinds of facts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fact {
    /// An operator has taken an engine offline or brought it back online.
    Override,
    /// An engine is draining or was removed.
    Drained,
    /// An engine has restarted.
    Restarted,
    /// A request with an idempotency key may have run, in a known group.
    MayHaveRun,
    /// A request with an idempotency key is certain not to have run.
    NeverRan,
    /// Part of a budget is used up.
    BudgetUsed,
    /// An engine exists at a known address.
    Listed,
    /// An engine is failing or unresponsive.
    Failing,
    /// The query latency of an engine or a class.
    Latency,
}

/// Where a fact comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The gateway's own snapshot, after validation.
    Disk,
    /// This number of other gateways, reporting independently.
    Peers(usize),
    /// The name server, or the configuration provided by the deployment.
    NameServer,
    /// The shared store.
    Store,
    /// The gateway's own observations since the start.
    OwnObservation,
}

/// Evidence against a fact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Contradictions {
    /// The fact is about another incarnation of the engine, or from an older serial than the known one.
    pub superseded: bool,
    /// The fact's timestamp is in the future, or the clock has gone back since.
    pub clock: bool,
    /// The gateway's own recent observations differ.
    pub observations: bool,
}

/// How far a fact can be trusted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Confidence {
    /// The fact must not be used.
    Untrusted,
    /// The fact counts as this fraction of an own sample until there are own samples.
    Prior(f64),
    /// The fact may restrict what the gateway does, but must not permit anything.
    RestrictOnly,
    /// The fact can be trusted in full.
    Full,
}

/// Number of gateways that must agree on a report, because a single one could be wrong or byzantine.
const MIN_AGREEING_PEERS: usize = 2;
/// How long a stored or reported engine failure stays valid: as long as a gossip report.
const FAILURE_TTL: Millis = 10_000;
/// Time in which the weight of a stored latency halves. Latencies are about the same after a restart within minutes.
const STATS_HALF_LIFE: Millis = 600_000;
/// Minimum weight of a prior, in samples; a single fresh sample would outweigh anything below it.
const MIN_PRIOR_WEIGHT: f64 = 0.05;

/// How far a fact from this source and of this age can be trusted. `window` is how long engines deduplicate keys.
pub fn confidence(
    fact: Fact,
    source: Source,
    age: Millis,
    window: Millis,
    contradictions: Contradictions,
) -> Confidence {
    let is_corroborated = |n: usize| n >= MIN_AGREEING_PEERS;
    match (fact, source) {
        // An operator's override takes precedence over everything else until it is withdrawn.
        (Fact::Override, Source::Disk | Source::OwnObservation) => Confidence::Full,
        (Fact::Override, _) => Confidence::RestrictOnly,
        // A drain only ends with a later incarnation of the engine or a later endpoint list.
        (Fact::Drained, _) if contradictions.superseded => Confidence::Untrusted,
        (Fact::Drained, Source::NameServer | Source::OwnObservation) => Confidence::Full,
        (Fact::Drained, _) => Confidence::RestrictOnly,
        // A false restart report at worst puts a warm engine into slow start; it never ends a slow start early.
        (Fact::Restarted, Source::NameServer | Source::OwnObservation) => Confidence::Full,
        (Fact::Restarted, Source::Peers(n)) if !is_corroborated(n) => Confidence::Untrusted,
        (Fact::Restarted, _) if contradictions.clock || contradictions.superseded => Confidence::Untrusted,
        (Fact::Restarted, _) => Confidence::RestrictOnly,
        // Inside its window a key is bound to its group, whoever reports it. A wrong clock can only extend the window.
        (Fact::MayHaveRun, _) if age > window && !contradictions.clock => Confidence::Untrusted,
        (Fact::MayHaveRun, Source::OwnObservation | Source::Disk | Source::Store) => Confidence::Full,
        (Fact::MayHaveRun, Source::Peers(_) | Source::NameServer) => Confidence::RestrictOnly,
        // This would permit a repeat in another group, so only an own observation is accepted.
        (Fact::NeverRan, Source::OwnObservation) => Confidence::Full,
        (Fact::NeverRan, _) => Confidence::Untrusted,
        (Fact::BudgetUsed, Source::Disk | Source::Store | Source::OwnObservation) => Confidence::Full,
        (Fact::BudgetUsed, _) => Confidence::RestrictOnly,
        // Stored endpoints are only a prior: once the name server has answered, its list decides.
        (Fact::Listed, Source::NameServer) if !contradictions.superseded => Confidence::Full,
        (Fact::Listed, Source::Disk) if !contradictions.superseded && !contradictions.observations => {
            Confidence::Prior(1.0)
        }
        (Fact::Listed, _) => Confidence::Untrusted,
        (Fact::Failing | Fact::Latency, _) if contradictions.superseded || contradictions.observations => {
            Confidence::Untrusted
        }
        (Fact::Failing | Fact::Latency, Source::OwnObservation) => Confidence::Full,
        (Fact::Failing | Fact::Latency, _) if contradictions.clock => Confidence::Untrusted,
        (Fact::Failing, Source::Peers(n)) if is_corroborated(n) && age <= FAILURE_TTL => {
            Confidence::RestrictOnly
        }
        (Fact::Failing, Source::Disk) if age <= FAILURE_TTL => Confidence::RestrictOnly,
        (Fact::Failing, _) => Confidence::Untrusted,
        (Fact::Latency, Source::Peers(n)) if !is_corroborated(n) => Confidence::Untrusted,
        (Fact::Latency, _) => decayed_prior(age),
    }
}

/// The prior of a latency of this age, with weight `0.5 ^ (age / half-life)`; untrusted if the weight is negligible.
fn decayed_prior(age: Millis) -> Confidence {
    let halvings = age as f64 / STATS_HALF_LIFE as f64;
    let weight = 0.5f64.powf(halvings);
    if weight >= MIN_PRIOR_WEIGHT { Confidence::Prior(weight) } else { Confidence::Untrusted }
}

#[cfg(test)]
mod tests;
