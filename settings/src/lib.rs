//! Reads the settings object of a deployment into the scheduler's settings and the settings of network connections. The
//! gateway and the simulator's adapter share this package, so that both interpret the object in the same way.
//!
//! Unknown keys are ignored. A negative number is read as 0, which the scheduler rejects where 0 is invalid.
//!
//! ```
//! use std::time::Duration;
//!
//! let object = serde_json::json!({
//!     "Balancers": 2,
//!     "RequestClasses": [{"Name": "report", "SloUs": 300000, "GiveUpUs": 1500000, "Effect": "repeatable"}],
//!     "Limits": {"MaxAttempts": 3, "OpenCap": 5000}
//! });
//! let deployment = reedwalk_settings::read(&object).expect("the object has the expected form");
//!
//! assert_eq!(deployment.scheduler.gateways, 2);
//! assert_eq!(deployment.scheduler.classes[0].latency_objective, Duration::from_millis(300));
//! assert_eq!(deployment.sockets.max_open_requests, 5000);
//! assert!(reedwalk_settings::read(&serde_json::json!({"Balancers": 2})).is_err());
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod object;

use object::{ClassObject, EngineTraitsObject, LimitsObject, RulesObject, SettingsObject};
use reedwalk_scheduler::*;
use serde::Deserialize;
use std::fmt;
use std::time::Duration;

/// Maximum duration in microseconds; longer ones are reduced to it.
const MAX_DURATION_US: f64 = 1e15;
/// Timeout for establishing a connection, if the settings have none.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which engines close idle connections, if the settings have none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Converts microseconds into a duration; a negative number becomes 0.
pub fn duration_from_us(us: f64) -> Duration {
    Duration::from_micros(us.clamp(0.0, MAX_DURATION_US) as u64)
}

/// Converts milliseconds into a duration; a negative number becomes 0.
pub fn duration_from_ms(ms: f64) -> Duration {
    duration_from_us(ms * 1000.0)
}

/// The number itself if it is finite and not negative, otherwise 0.
fn non_negative(number: f64) -> f64 {
    if number.is_finite() { number.max(0.0) } else { 0.0 }
}

/// The settings object does not have the expected form.
#[derive(Debug)]
pub struct ReadError(serde_json::Error);

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "BootInfo: {}", self.0)
    }
}

impl std::error::Error for ReadError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.0)
    }
}

/// Settings that the scheduler does not use: the names of classes, zones and kinds, which it knows by index only, and the
/// settings of network connections.
#[derive(Clone, Debug, PartialEq)]
pub struct Sockets {
    /// Names of the classes, by index.
    pub classes: Vec<String>,
    /// Names of the zones, by index.
    pub zones: Vec<String>,
    /// Names of the kinds of machine, by index.
    pub kinds: Vec<String>,
    /// Timeout for establishing a connection to an engine.
    pub connect_timeout: Duration,
    /// Time after which engines close idle connections.
    pub idle_timeout: Duration,
    /// Maximum number of attempts in flight on one connection.
    pub max_attempts_per_connection: usize,
    /// Maximum number of open requests.
    pub max_open_requests: usize,
    /// Whether gateways may send messages to each other; `None` if the settings do not state it.
    pub may_gossip: Option<bool>,
    /// Whether requests may be hedged, that is, have two attempts in flight at once.
    pub allows_hedging: bool,
}

impl Sockets {
    /// The id of the class with this name.
    pub fn class_id(&self, name: &str) -> Option<ClassId> {
        self.classes.iter().position(|class| class == name).map(ClassId)
    }
}

/// The settings of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Settings of the scheduler.
    pub scheduler: Settings,
    /// Names, and settings of network connections.
    pub sockets: Sockets,
}

/// Builds an engine's load report; `lookup` returns a value by its name on the wire.
pub fn load_report(lookup: impl Fn(&str) -> Option<f64>) -> LoadReport {
    LoadReport {
        queue: lookup("queue"),
        cpu: lookup("util"),
        memory: lookup("x0"),
        disk: lookup("x1"),
        in_flight: lookup("inflight"),
    }
}

/// The 64-bit FNV-1a hash of an idempotency key, which is stored instead of the text.
pub fn key_id(key: &[u8]) -> OrderingKeyId {
    OrderingKeyId(
        key.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
            (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
        }),
    )
}

/// Reads the settings object.
///
/// # Errors
/// If it does not have the expected form.
pub fn read(value: &serde_json::Value) -> Result<Deployment, ReadError> {
    let object = SettingsObject::deserialize(value).map_err(ReadError)?;
    Ok(Deployment { scheduler: scheduler_settings(&object), sockets: sockets(object) })
}

fn sockets(object: SettingsObject) -> Sockets {
    let limits = object.limits;
    let duration_or = |us: f64, default: Duration| if us > 0.0 { duration_from_us(us) } else { default };
    Sockets {
        classes: object.classes.into_iter().map(|class| class.name).collect(),
        zones: object.zones,
        kinds: object.kinds,
        connect_timeout: duration_or(limits.connect_timeout_us, DEFAULT_CONNECT_TIMEOUT),
        idle_timeout: duration_or(limits.idle_timeout_us, DEFAULT_IDLE_TIMEOUT),
        max_attempts_per_connection: limits.max_attempts_per_connection.unwrap_or(1).max(1),
        max_open_requests: limits.max_open_requests.unwrap_or(usize::MAX),
        may_gossip: limits.may_gossip,
        allows_hedging: limits.allows_hedging,
    }
}

fn scheduler_settings(object: &SettingsObject) -> Settings {
    let traits = &object.engine_traits;
    let classes =
        object.classes.iter().enumerate().map(|(index, class)| class_settings(index, class, traits));
    let mut settings = Settings::new(classes.collect(), kinds(traits));
    settings.gateways = object.gateways;
    settings.ordinal = object.ordinal;
    settings.zone = object.zone.map(ZoneId);
    settings.tick = duration_from_us(object.tick_us);
    settings.discovery = if object.discovery == "ask" { Discovery::Subscribed } else { Discovery::Pushed };
    let tenants = object.tenants.iter();
    settings.tenants =
        tenants.map(|tenant| TenantSettings { quota_per_s: non_negative(tenant.quota_per_s) }).collect();
    settings.limits = limits(&object.limits);
    read_rules(&object.rules, &mut settings.rules);
    settings.engine = engine_traits(traits, &object.limits);
    settings.over_quota_weight = object.over_quota_weight.map_or(1.0, non_negative);
    settings
}

/// The kinds of machine; a kind without a memory size has 0.
fn kinds(traits: &EngineTraitsObject) -> Vec<KindSettings> {
    let memory_mb = |index: usize| traits.memory_by_kind_mb.get(index).copied().map_or(0.0, non_negative);
    let kinds = traits.cores_by_kind.iter().enumerate();
    kinds.map(|(index, &cores)| KindSettings { cores, memory_mb: memory_mb(index) }).collect()
}

fn limits(limits: &LimitsObject) -> Limits {
    Limits {
        cancel: limits.cancel,
        health_checks: limits.health_checks,
        max_attempts: limits.max_attempts.unwrap_or(u32::MAX),
        max_retry_after: limits.retry_after.then(|| duration_from_us(limits.max_retry_after_us)),
    }
}

/// Overrides the default rules with those of the object. Without a retry window there is no retry budget.
fn read_rules(object: &RulesObject, rules: &mut Rules) {
    let durations = [
        (&mut rules.answer_slack, object.answer_slack_us),
        (&mut rules.drain_grace, object.drain_grace_us),
        (&mut rules.slow_start_duration, object.slow_start_duration_us),
        (&mut rules.overload_window, object.overload_window_us),
        (&mut rules.order_settle, object.order_settle_us),
    ];
    for (field, value) in durations {
        *field = value.map_or(*field, duration_from_us);
    }
    rules.slow_start_from = object.slow_start_from.map_or(rules.slow_start_from, non_negative);
    rules.overload_multiple = object.overload_multiple.map_or(rules.overload_multiple, non_negative);
    rules.retry_budget = object.retry_window_us.map(|window| RetryBudget {
        free_retries: object.free_retries.map_or(0.0, non_negative),
        ratio: object.retry_ratio.map_or(0.0, non_negative),
        window: duration_from_us(window),
    });
}

fn engine_traits(traits: &EngineTraitsObject, limits: &LimitsObject) -> EngineTraits {
    let if_positive = |us: f64| (us > 0.0).then(|| duration_from_us(us));
    EngineTraits {
        grants: traits.grants,
        priorities: traits.priorities,
        max_grant_share: traits.max_grant_share.map_or(1.0, non_negative),
        progress_interval: if_positive(traits.progress_interval_us),
        idle_timeout: if_positive(limits.idle_timeout_us),
    }
}

fn class_settings(index: usize, object: &ClassObject, traits: &EngineTraitsObject) -> ClassSettings {
    ClassSettings {
        latency_objective: duration_from_us(object.latency_objective_us),
        objective_stretch: non_negative(object.objective_stretch),
        deadline: duration_from_us(object.deadline_us),
        priority_weight: non_negative(object.priority_weight),
        late_weight: non_negative(object.late_weight),
        idempotency: idempotency(object),
        in_order: object.in_order,
        zones: object.zones.as_ref().map(|zones| zones.iter().copied().map(ZoneId).collect()),
        kinds: object.kinds.as_ref().map(|kinds| kinds.iter().copied().map(KindId).collect()),
        threads: traits.threads_by_class.get(index).copied().unwrap_or(1),
        is_load: traits.is_load.get(index).copied().unwrap_or(false),
        waits_for_loads: traits.waits_for_loads.get(index).copied().unwrap_or(false),
    }
}

/// The idempotency of the class's requests; requests of an unknown or missing one must not run twice.
fn idempotency(object: &ClassObject) -> Idempotency {
    let scope = match object.deduplication_scope.as_str() {
        "zone" => DeduplicationScope::Zone,
        "cell" => DeduplicationScope::Cell,
        _ => DeduplicationScope::All,
    };
    match object.idempotency.as_str() {
        "repeatable" => Idempotency::Idempotent,
        "by_key" => Idempotency::Keyed { scope, window: duration_from_us(object.deduplication_window_us) },
        _ => Idempotency::NonIdempotent,
    }
}
