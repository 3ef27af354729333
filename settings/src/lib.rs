//! The settings object that a gateway is given at its start, read into the decision module's settings and
//! the few figures that only sockets need. Unknown keys are ignored. The adapter and the gateway both read
//! it here, so there is no second copy of it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use reedwalk_scheduler::*;
use serde::Deserialize;
use std::fmt;
use std::time::Duration;

fn span(us: f64) -> Duration {
    Duration::from_micros(us.clamp(0.0, 1e15) as u64)
}

/// A number, or what a NaN-like or negative one is read as.
fn sound(x: f64) -> f64 {
    if x.is_finite() { x.max(0.0) } else { 0.0 }
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Wire {
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
    request_classes: Vec<Class>,
    #[serde(default)]
    tenants: Vec<Tenant>,
    #[serde(default)]
    limits: Allowances,
    #[serde(default)]
    rules: Figures,
    #[serde(default)]
    specifics: Specifics,
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
struct Class {
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
struct Tenant {
    #[serde(default)]
    quota_per_s: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct Allowances {
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
struct Figures {
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
struct Specifics {
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

/// Names, in the order of the numbers that the decision module knows, and what only sockets need.
#[derive(Clone, Debug, PartialEq)]
pub struct Sockets {
    /// Names of the classes.
    pub classes: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the kinds of machine.
    pub kinds: Vec<String>,
    /// A connection to an engine that is not up by then has failed.
    pub connect_within: Duration,
    /// Connections idle for so long are closed.
    pub keepalive: Duration,
    /// Attempts that one connection carries.
    pub multiplex: usize,
    /// Requests that may be open at once.
    pub open_cap: usize,
    /// Front ends may send one another messages; none where nothing is said of it.
    pub may_tell: Option<bool>,
    /// A request may have two attempts out at once; not where nothing is said of it.
    pub second_copies: bool,
}

/// All that the settings object tells.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// For the decision module.
    pub core: Settings,
    /// For the sockets around it.
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

/// A key's text as a number: FNV-1a, so that nothing need be kept for it.
pub fn key(text: &[u8]) -> KeyId {
    KeyId(text.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3)))
}

/// Reads the object that comes with an instance's start.
///
/// # Errors
/// Where it is not the object that the wire page describes.
pub fn read(value: &serde_json::Value) -> Result<Deployment, ReadError> {
    let wire = Wire::deserialize(value).map_err(ReadError)?;
    Ok(Deployment { core: core(&wire), sockets: sockets(wire) })
}

fn sockets(wire: Wire) -> Sockets {
    let limits = wire.limits;
    let told = |us: f64, usual: Duration| if us > 0.0 { span(us) } else { usual };
    Sockets {
        classes: wire.request_classes.into_iter().map(|c| c.name).collect(),
        zones: wire.localities,
        kinds: wire.host_types,
        connect_within: told(limits.connect_timeout_us, Duration::from_millis(250)),
        keepalive: told(limits.keepalive_us, Duration::from_secs(15)),
        multiplex: limits.multiplex.unwrap_or(1).max(1),
        open_cap: limits.open_cap.unwrap_or(usize::MAX),
        may_tell: limits.may_tell,
        second_copies: limits.second_copies,
    }
}

fn core(wire: &Wire) -> Settings {
    let own = &wire.specifics;
    let classes = wire.request_classes.iter().enumerate().map(|(i, c)| class(i, c, own)).collect();
    let kinds = own.size_cores.iter().enumerate().map(|(i, &cores)| KindSettings {
        cores,
        memory_mb: own.ram_of_kind_mb.get(i).copied().map_or(0.0, sound),
    });
    let mut settings = Settings::new(classes, kinds.collect());
    settings.gateways = wire.balancers;
    settings.ordinal = wire.ordinal;
    settings.zone = wire.zone.map(ZoneId);
    settings.tick = span(wire.tick_us);
    settings.discovery = if wire.discovery == "ask" { Discovery::Subscribed } else { Discovery::Pushed };
    settings.tenants =
        wire.tenants.iter().map(|t| TenantSettings { quota_per_s: sound(t.quota_per_s) }).collect();
    let limits = &wire.limits;
    settings.limits = Limits {
        cancel: limits.cancel,
        health_checks: limits.probing,
        max_attempts: limits.max_attempts.unwrap_or(u32::MAX),
        max_retry_after: limits.retry_after.then(|| span(limits.max_retry_after_us)),
    };
    let (rules, read) = (&mut settings.rules, &wire.rules);
    let times = [
        (&mut rules.answer_slack, read.answer_slack_us),
        (&mut rules.drain_grace, read.drain_grace_us),
        (&mut rules.slow_start_duration, read.ramp_time_us),
        (&mut rules.overload_window, read.fall_us),
        (&mut rules.order_settle, read.order_settle_us),
    ];
    for (field, told) in times {
        *field = told.map_or(*field, span);
    }
    rules.slow_start_from = read.cold_from.map_or(rules.slow_start_from, sound);
    rules.overload_multiple = read.tip_multiple.map_or(rules.overload_multiple, sound);
    rules.retry_budget = read.extra_window_us.map(|window| RetryBudget {
        free: read.free_resends.map_or(0.0, sound),
        ratio: read.extra_ratio.map_or(0.0, sound),
        window: span(window),
    });
    settings.engine = EngineTraits {
        grants: own.grants,
        priorities: own.priorities,
        max_grant_share: own.max_grant_share.map_or(1.0, sound),
        progress_interval: (own.progress_us > 0.0).then(|| span(own.progress_us)),
        idle_timeout: (limits.keepalive_us > 0.0).then(|| span(limits.keepalive_us)),
    };
    settings.over_quota_weight = wire.over_share_worth.map_or(1.0, sound);
    settings
}

fn class(place: usize, wire: &Class, own: &Specifics) -> ClassSettings {
    let scope = match wire.dedup_scope.as_str() {
        "zone" => KeyScope::Zone,
        "cell" => KeyScope::Cell,
        _ => KeyScope::All,
    };
    ClassSettings {
        latency_objective: span(wire.slo_us),
        objective_stretch: sound(wire.aim_stretch),
        deadline: span(wire.give_up_us),
        priority_weight: sound(wire.value),
        late_weight: sound(wire.late_value),
        idempotency: match wire.effect.as_str() {
            "repeatable" => Idempotency::Idempotent,
            "by_key" => Idempotency::Keyed { scope, window: span(wire.memory_span_us) },
            _ => Idempotency::NonIdempotent,
        },
        in_order: wire.in_order,
        zones: wire.localities_open.as_ref().map(|z| z.iter().copied().map(ZoneId).collect()),
        kinds: wire.host_types_allowed.as_ref().map(|k| k.iter().copied().map(KindId).collect()),
        threads: own.width_by_class.get(place).copied().unwrap_or(1),
        is_load: own.is_load.get(place).copied().unwrap_or(false),
        waits_for_loads: own.class_waits.get(place).copied().unwrap_or(false),
    }
}
