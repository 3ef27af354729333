//! Settings of a gateway.

use super::endpoint::EngineEntry;
use super::ids::{KindId, ZoneId};
use std::fmt;
use std::time::Duration;

/// Whether the requests of a class may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of executions is harmless.
    Idempotent,
    /// Requests carry an idempotency key, by which engines of one scope drop duplicates for some time.
    Keyed {
        /// Engines that deduplicate together.
        scope: DeduplicationScope,
        /// Time for which engines remember a key, from sending the first attempt that may have run.
        window: Duration,
    },
    /// A request must not run twice.
    NonIdempotent,
}

/// How engines deduplicate the requests of a class with idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deduplication {
    /// Engines that deduplicate together.
    pub scope: DeduplicationScope,
    /// Time for which engines remember a key, from sending the first attempt that may have run.
    pub window: Duration,
}

impl Idempotency {
    /// How engines deduplicate such requests; `None` if they carry no idempotency key.
    pub fn deduplication(self) -> Option<Deduplication> {
        match self {
            Self::Keyed { scope, window } => Some(Deduplication { scope, window }),
            Self::Idempotent | Self::NonIdempotent => None,
        }
    }
}

/// Set of engines that deduplicate requests with the same idempotency key together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All engines.
    All,
    /// Engines in the same zone as the engine of the first attempt.
    Zone,
    /// Engines in the same cell as the engine of the first attempt.
    Cell,
}

impl DeduplicationScope {
    /// Deduplication group of an engine; `None` if its zone or cell is unknown.
    pub fn group(self, engine: &EngineEntry) -> Option<u64> {
        match self {
            Self::All => Some(0),
            Self::Zone => engine.zone.map(|zone| zone.0 as u64),
            Self::Cell => engine.cell.map(|cell| cell.0),
        }
    }
}

/// Settings of a class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// Latency up to which an answer has its full value.
    pub latency_objective: Duration,
    /// Multiple of the request's work per thread that is added to the latency objective.
    pub objective_stretch: f64,
    /// Maximum time that a client waits.
    pub deadline: Duration,
    /// Weight of an answer within the objective, relative to other classes.
    pub priority_weight: f64,
    /// Weight of an answer after the objective, as a fraction of `priority_weight`.
    pub late_weight: f64,
    /// Whether requests may be executed more than once.
    pub idempotency: Idempotency,
    /// Whether requests with the same ordering key run one at a time, in the order of arrival.
    pub in_order: bool,
    /// Allowed zones; `None` for all.
    pub zones: Option<Vec<ZoneId>>,
    /// Allowed kinds of machine; `None` for all.
    pub kinds: Option<Vec<KindId>>,
    /// Number of threads that a query runs on.
    pub threads: u32,
    /// Whether requests are bulk loads, which lock their table group on the engine while they run.
    pub is_load: bool,
    /// Whether requests are blocked while a bulk load locks their table group.
    pub waits_for_loads: bool,
}

impl ClassSettings {
    /// Creates an idempotent, unrestricted, single-threaded class with a priority weight of 1.
    pub fn new(latency_objective: Duration, deadline: Duration) -> Self {
        Self {
            latency_objective,
            objective_stretch: 0.0,
            deadline,
            priority_weight: 1.0,
            late_weight: 0.0,
            idempotency: Idempotency::Idempotent,
            in_order: false,
            zones: None,
            kinds: None,
            threads: 1,
            is_load: false,
            waits_for_loads: false,
        }
    }
}

/// Quota of a tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSettings {
    /// Requests per second over all gateways.
    pub quota_per_s: f64,
}

/// Resources of a kind of machine.
#[derive(Clone, Debug, PartialEq)]
pub struct KindSettings {
    /// Number of cores of an engine of this kind.
    pub cores: u32,
    /// Memory in MB.
    pub memory_mb: f64,
}

/// How the gateway receives changes of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes are pushed.
    Pushed,
    /// Changes arrive only after [`Action::Subscribe`](super::Action::Subscribe).
    Subscribed,
}

/// What a gateway is allowed to do.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Whether it may cancel attempts.
    pub cancel: bool,
    /// Whether it may check the health of engines.
    pub health_checks: bool,
    /// Maximum number of attempts of a request.
    pub max_attempts: u32,
    /// Maximum time that a rejected client is asked to wait before a retry; `None` if it cannot be asked.
    pub max_retry_after: Option<Duration>,
}

/// Limits retries to a fraction of the requests in a sliding window.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed in any window regardless of the traffic.
    pub free_retries: f64,
    /// Additional retries allowed per request that arrived in the window.
    pub ratio: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Rules of the platform that the scheduler has to respect.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Time after the client's deadline during which an answer is still accepted.
    pub answer_slack: Duration,
    /// Time after learning of an engine's drain from which on nothing may be sent to it.
    pub drain_grace: Duration,
    /// Minimum fraction of its capacity that an engine has at the beginning of its slow start.
    pub slow_start_from: f64,
    /// Duration of the slow start.
    pub slow_start_duration: Duration,
    /// An engine in slow start fails if its load exceeds this multiple of its capacity ...
    pub overload_multiple: f64,
    /// ... over this period.
    pub overload_window: Duration,
    /// Time for which an ordering key is blocked after an attempt that may still run.
    pub order_settle: Duration,
    /// Limit on retries, if any.
    pub retry_budget: Option<RetryBudget>,
}

/// Capabilities and limits of the engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineTraits {
    /// Whether engines respect memory grants.
    pub grants: bool,
    /// Whether engines respect priorities.
    pub priorities: bool,
    /// Maximum fraction of an engine's memory that one query can be granted.
    pub max_grant_share: f64,
    /// Interval between progress reports, if engines send any.
    pub progress_interval: Option<Duration>,
    /// Time after which engines close an idle connection, if known.
    pub idle_timeout: Option<Duration>,
}

/// All settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of gateways that share the pool of engines.
    pub gateways: u32,
    /// This gateway's number among them, from 0.
    pub ordinal: u32,
    /// Zone in which the gateway runs, if known.
    pub zone: Option<ZoneId>,
    /// Minimum time between two steps.
    pub tick: Duration,
    /// How the gateway receives changes of the endpoint list.
    pub discovery: Discovery,
    /// Classes of requests; at least one.
    pub classes: Vec<ClassSettings>,
    /// Tenants; may be empty.
    pub tenants: Vec<TenantSettings>,
    /// Kinds of machine; may be empty.
    pub kinds: Vec<KindSettings>,
    /// What the gateway is allowed to do.
    pub limits: Limits,
    /// Rules of the platform that the scheduler has to respect.
    pub rules: Rules,
    /// Capabilities and limits of the engines.
    pub engine: EngineTraits,
    /// Factor on the priority weight for traffic beyond a tenant's quota.
    pub over_quota_weight: f64,
}

impl Settings {
    /// Creates settings for a single gateway, with conservative defaults except for classes and kinds.
    pub fn new(classes: Vec<ClassSettings>, kinds: Vec<KindSettings>) -> Self {
        Self {
            gateways: 1,
            ordinal: 0,
            zone: None,
            tick: Duration::from_millis(5),
            discovery: Discovery::Pushed,
            classes,
            tenants: Vec::new(),
            kinds,
            limits: Limits { cancel: false, health_checks: false, max_attempts: 3, max_retry_after: None },
            rules: Rules {
                answer_slack: Duration::from_millis(20),
                drain_grace: Duration::from_secs(1),
                slow_start_from: 0.3,
                slow_start_duration: Duration::from_secs(12),
                overload_multiple: 2.5,
                overload_window: Duration::from_secs(2),
                order_settle: Duration::ZERO,
                retry_budget: None,
            },
            engine: EngineTraits {
                grants: false,
                priorities: false,
                max_grant_share: 1.0,
                progress_interval: None,
                idle_timeout: None,
            },
            over_quota_weight: 1.0,
        }
    }

    /// Number of cores of an engine of this kind; 1 if the kind is unknown.
    pub fn cores(&self, kind: Option<KindId>) -> f64 {
        let kind = kind.and_then(|kind| self.kinds.get(kind.0));
        kind.map_or(1.0, |kind| f64::from(kind.cores.max(1)))
    }
}

/// Error that names an invalid setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Name of the invalid field.
    pub field: &'static str,
    /// Why the value is invalid.
    pub reason: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {}: {}", self.field, self.reason)
    }
}

impl std::error::Error for SettingsError {}
