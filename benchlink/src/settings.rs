//! The bench's settings object, read into the library's settings. Unknown keys are ignored.

use cairnwharf::*;
use serde::Deserialize;
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
}

fn one() -> u32 {
    1
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Class {
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

/// Reads the object that comes with an instance's start.
pub fn read(value: &serde_json::Value) -> Result<Settings, String> {
    let wire: Wire = Wire::deserialize(value).map_err(|e| format!("BootInfo: {e}"))?;
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
    settings.discovery = if wire.discovery == "ask" { Discovery::Asked } else { Discovery::Pushed };
    settings.tenants =
        wire.tenants.iter().map(|t| TenantSettings { quota_per_s: sound(t.quota_per_s) }).collect();
    let limits = &wire.limits;
    settings.limits = Limits {
        cancel: limits.cancel,
        probes: limits.probing,
        max_attempts: limits.max_attempts.unwrap_or(u32::MAX),
        max_retry_after: limits.retry_after.then(|| span(limits.max_retry_after_us)),
    };
    let (rules, read) = (&mut settings.rules, &wire.rules);
    let times = [
        (&mut rules.answer_slack, read.answer_slack_us),
        (&mut rules.drain_grace, read.drain_grace_us),
        (&mut rules.cold_for, read.ramp_time_us),
        (&mut rules.tip_window, read.fall_us),
        (&mut rules.order_settle, read.order_settle_us),
    ];
    for (field, told) in times {
        *field = told.map_or(*field, span);
    }
    rules.cold_from = read.cold_from.map_or(rules.cold_from, sound);
    rules.tip_multiple = read.tip_multiple.map_or(rules.tip_multiple, sound);
    rules.retry_budget = read.extra_window_us.map(|window| RetryBudget {
        free: read.free_resends.map_or(0.0, sound),
        ratio: read.extra_ratio.map_or(0.0, sound),
        window: span(window),
    });
    settings.engine = EngineTraits {
        grants: own.grants,
        priorities: own.priorities,
        max_grant_share: own.max_grant_share.map_or(1.0, sound),
        notes_every: (own.progress_us > 0.0).then(|| span(own.progress_us)),
    };
    settings.over_share_worth = wire.over_share_worth.map_or(1.0, sound);
    Ok(settings)
}

fn class(place: usize, wire: &Class, own: &Specifics) -> ClassSettings {
    let scope = match wire.dedup_scope.as_str() {
        "zone" => KeyScope::Zone,
        "cell" => KeyScope::Cell,
        _ => KeyScope::All,
    };
    ClassSettings {
        aim: span(wire.slo_us),
        aim_stretch: sound(wire.aim_stretch),
        deadline: span(wire.give_up_us),
        worth: sound(wire.value),
        late_worth: sound(wire.late_value),
        effect: match wire.effect.as_str() {
            "repeatable" => Effect::Safe,
            "by_key" => Effect::Keyed { scope, memory: span(wire.memory_span_us) },
            _ => Effect::Once,
        },
        in_order: wire.in_order,
        zones: wire.localities_open.as_ref().map(|z| z.iter().copied().map(ZoneId).collect()),
        kinds: wire.host_types_allowed.as_ref().map(|k| k.iter().copied().map(KindId).collect()),
        threads: own.width_by_class.get(place).copied().unwrap_or(1),
        is_load: own.is_load.get(place).copied().unwrap_or(false),
        waits_for_loads: own.class_waits.get(place).copied().unwrap_or(false),
    }
}
