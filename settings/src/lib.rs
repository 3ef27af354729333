//! The settings object of a deployment, read into the scheduler's settings and the values that only sockets need. Unknown
//! keys are ignored. The gateway and the simulator's adapter both use this package, so that there is one reader of it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use reedwalk_scheduler::*;
use serde::Deserialize;
use std::fmt;
use std::time::Duration;

/// Longest duration that is believed, in microseconds.
const MAX_DURATION_US: f64 = 1e15;

/// A duration from microseconds; negative ones are 0.
pub fn duration_from_us(us: f64) -> Duration {
    Duration::from_micros(us.clamp(0.0, MAX_DURATION_US) as u64)
}

/// A duration from milliseconds; negative ones are 0.
pub fn duration_from_ms(ms: f64) -> Duration {
    duration_from_us(ms * 1000.0)
}

/// A number of zero or more; NaN, infinite and negative numbers are read as 0.
fn non_negative(number: f64) -> f64 {
    if number.is_finite() { number.max(0.0) } else { 0.0 }
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct SettingsObject {
    #[serde(default = "one")]
    balancers: u32,
    #[serde(default)]
    ordinal: u32,
    #[serde(default)]
    zone: Option<usize>,
    #[serde(default)]
    tick_us: f64,
    #[serde(default)]
    discovery: String,
    request_classes: Vec<ClassObject>,
    #[serde(default)]
    tenants: Vec<TenantObject>,
    #[serde(default)]
    limits: LimitsObject,
    #[serde(default)]
    rules: RulesObject,
    #[serde(default)]
    specifics: SpecificsObject,
    #[serde(default)]
    over_share_worth: Option<f64>,
    #[serde(default)]
    localities: Vec<String>,
    #[serde(default)]
    host_types: Vec<String>,
}

fn one() -> u32 {
    1
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ClassObject {
    #[serde(default)]
    name: String,
    slo_us: f64,
    give_up_us: f64,
    #[serde(default)]
    aim_stretch: f64,
    #[serde(default)]
    value: f64,
    #[serde(default)]
    late_value: f64,
    #[serde(default)]
    effect: String,
    #[serde(default)]
    dedup_scope: String,
    #[serde(default)]
    memory_span_us: f64,
    #[serde(default)]
    in_order: bool,
    localities_open: Option<Vec<usize>>,
    host_types_allowed: Option<Vec<usize>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct TenantObject {
    #[serde(default)]
    quota_per_s: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct LimitsObject {
    cancel: bool,
    probing: bool,
    max_attempts: Option<u32>,
    retry_after: bool,
    max_retry_after_us: f64,
    connect_timeout_us: f64,
    keepalive_us: f64,
    multiplex: Option<usize>,
    open_cap: Option<usize>,
    may_tell: Option<bool>,
    second_copies: bool,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct RulesObject {
    answer_slack_us: Option<f64>,
    drain_grace_us: Option<f64>,
    cold_from: Option<f64>,
    ramp_time_us: Option<f64>,
    tip_multiple: Option<f64>,
    fall_us: Option<f64>,
    order_settle_us: Option<f64>,
    free_resends: Option<f64>,
    extra_ratio: Option<f64>,
    extra_window_us: Option<f64>,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct SpecificsObject {
    is_load: Vec<bool>,
    class_waits: Vec<bool>,
    width_by_class: Vec<u32>,
    grants: bool,
    priorities: bool,
    max_grant_share: Option<f64>,
    progress_us: f64,
    size_cores: Vec<u32>,
    ram_of_kind_mb: Vec<f64>,
}

/// The settings object could not be read.
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

/// The names behind the numbers that the scheduler uses, and the values that only sockets need.
#[derive(Clone, Debug, PartialEq)]
pub struct Sockets {
    /// Names of the classes.
    pub classes: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the kinds of machine.
    pub kinds: Vec<String>,
    /// A connection to an engine that is not established in this time has failed.
    pub connect_timeout: Duration,
    /// Engines close connections that are idle for this long.
    pub keepalive: Duration,
    /// Attempts in flight on one connection at most.
    pub multiplex: usize,
    /// Requests that may be open at once.
    pub max_open_requests: usize,
    /// Whether gateways may send messages to each other; `None` where the settings do not say.
    pub may_gossip: Option<bool>,
    /// Whether a request may have two attempts in flight at once.
    pub second_copies: bool,
}

impl Sockets {
    /// The class of this name.
    pub fn class_id(&self, name: &str) -> Option<ClassId> {
        self.classes.iter().position(|class| class == name).map(ClassId)
    }
}

/// The settings object, read.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// For the scheduler.
    pub core: Settings,
    /// For the sockets.
    pub sockets: Sockets,
}

/// An engine's load report, each value found by its name on the wire.
pub fn load_report(read: impl Fn(&str) -> Option<f64>) -> LoadReport {
    LoadReport {
        queue: read("queue"),
        cpu: read("util"),
        memory: read("x0"),
        disk: read("x1"),
        in_flight: read("inflight"),
    }
}

/// An idempotency key as a number (FNV-1a), so that its text need not be stored.
pub fn key(text: &[u8]) -> KeyId {
    KeyId(text.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3)))
}

/// Reads the settings object.
///
/// # Errors
/// Where it does not have the expected form.
pub fn read(value: &serde_json::Value) -> Result<Deployment, ReadError> {
    let wire = SettingsObject::deserialize(value).map_err(ReadError)?;
    Ok(Deployment { core: core(&wire), sockets: sockets(wire) })
}

fn sockets(wire: SettingsObject) -> Sockets {
    let limits = wire.limits;
    let duration_or = |us: f64, default: Duration| if us > 0.0 { duration_from_us(us) } else { default };
    Sockets {
        classes: wire.request_classes.into_iter().map(|c| c.name).collect(),
        zones: wire.localities,
        kinds: wire.host_types,
        connect_timeout: duration_or(limits.connect_timeout_us, Duration::from_millis(250)),
        keepalive: duration_or(limits.keepalive_us, Duration::from_secs(15)),
        multiplex: limits.multiplex.unwrap_or(1).max(1),
        max_open_requests: limits.open_cap.unwrap_or(usize::MAX),
        may_gossip: limits.may_tell,
        second_copies: limits.second_copies,
    }
}

fn core(wire: &SettingsObject) -> Settings {
    let specifics = &wire.specifics;
    let classes = wire.request_classes.iter().enumerate().map(|(i, c)| class(i, c, specifics)).collect();
    let kinds = specifics.size_cores.iter().enumerate().map(|(i, &cores)| KindSettings {
        cores,
        memory_mb: specifics.ram_of_kind_mb.get(i).copied().map_or(0.0, non_negative),
    });
    let mut settings = Settings::new(classes, kinds.collect());
    settings.gateways = wire.balancers;
    settings.ordinal = wire.ordinal;
    settings.zone = wire.zone.map(ZoneId);
    settings.tick = duration_from_us(wire.tick_us);
    settings.discovery = if wire.discovery == "ask" { Discovery::Subscribed } else { Discovery::Pushed };
    settings.tenants =
        wire.tenants.iter().map(|t| TenantSettings { quota_per_s: non_negative(t.quota_per_s) }).collect();
    let limits = &wire.limits;
    settings.limits = Limits {
        cancel: limits.cancel,
        health_checks: limits.probing,
        max_attempts: limits.max_attempts.unwrap_or(u32::MAX),
        max_retry_after: limits.retry_after.then(|| duration_from_us(limits.max_retry_after_us)),
    };
    let (rules, object) = (&mut settings.rules, &wire.rules);
    let times = [
        (&mut rules.answer_slack, object.answer_slack_us),
        (&mut rules.drain_grace, object.drain_grace_us),
        (&mut rules.slow_start_duration, object.ramp_time_us),
        (&mut rules.overload_window, object.fall_us),
        (&mut rules.order_settle, object.order_settle_us),
    ];
    for (field, value) in times {
        *field = value.map_or(*field, duration_from_us);
    }
    rules.slow_start_from = object.cold_from.map_or(rules.slow_start_from, non_negative);
    rules.overload_multiple = object.tip_multiple.map_or(rules.overload_multiple, non_negative);
    rules.retry_budget = object.extra_window_us.map(|window| RetryBudget {
        free: object.free_resends.map_or(0.0, non_negative),
        ratio: object.extra_ratio.map_or(0.0, non_negative),
        window: duration_from_us(window),
    });
    settings.engine = EngineTraits {
        grants: specifics.grants,
        priorities: specifics.priorities,
        max_grant_share: specifics.max_grant_share.map_or(1.0, non_negative),
        progress_interval: (specifics.progress_us > 0.0).then(|| duration_from_us(specifics.progress_us)),
        idle_timeout: (limits.keepalive_us > 0.0).then(|| duration_from_us(limits.keepalive_us)),
    };
    settings.over_quota_weight = wire.over_share_worth.map_or(1.0, non_negative);
    settings
}

fn class(index: usize, wire: &ClassObject, specifics: &SpecificsObject) -> ClassSettings {
    let scope = match wire.dedup_scope.as_str() {
        "zone" => KeyScope::Zone,
        "cell" => KeyScope::Cell,
        _ => KeyScope::All,
    };
    ClassSettings {
        latency_objective: duration_from_us(wire.slo_us),
        objective_stretch: non_negative(wire.aim_stretch),
        deadline: duration_from_us(wire.give_up_us),
        priority_weight: non_negative(wire.value),
        late_weight: non_negative(wire.late_value),
        idempotency: match wire.effect.as_str() {
            "repeatable" => Idempotency::Idempotent,
            "by_key" => Idempotency::Keyed { scope, window: duration_from_us(wire.memory_span_us) },
            _ => Idempotency::NonIdempotent,
        },
        in_order: wire.in_order,
        zones: wire.localities_open.as_ref().map(|z| z.iter().copied().map(ZoneId).collect()),
        kinds: wire.host_types_allowed.as_ref().map(|k| k.iter().copied().map(KindId).collect()),
        threads: specifics.width_by_class.get(index).copied().unwrap_or(1),
        is_load: specifics.is_load.get(index).copied().unwrap_or(false),
        waits_for_loads: specifics.class_waits.get(index).copied().unwrap_or(false),
    }
}
