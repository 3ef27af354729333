//! Serialised form of the settings object. Fields use the names of this program; `rename` gives the key in the file.

use serde::Deserialize;

/// The settings object.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct SettingsObject {
    #[serde(rename = "Balancers", default = "one")]
    pub(crate) gateways: u32,
    #[serde(default)]
    pub(crate) ordinal: u32,
    #[serde(default)]
    pub(crate) zone: Option<usize>,
    #[serde(default)]
    pub(crate) tick_us: f64,
    #[serde(default)]
    pub(crate) discovery: String,
    #[serde(rename = "RequestClasses")]
    pub(crate) classes: Vec<ClassObject>,
    #[serde(default)]
    pub(crate) tenants: Vec<TenantObject>,
    #[serde(default)]
    pub(crate) limits: LimitsObject,
    #[serde(default)]
    pub(crate) rules: RulesObject,
    #[serde(rename = "Specifics", default)]
    pub(crate) engine_traits: EngineTraitsObject,
    #[serde(rename = "OverShareWorth", default)]
    pub(crate) over_quota_weight: Option<f64>,
    #[serde(rename = "Localities", default)]
    pub(crate) zones: Vec<String>,
    #[serde(rename = "HostTypes", default)]
    pub(crate) kinds: Vec<String>,
}

fn one() -> u32 {
    1
}

/// A class of requests.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct ClassObject {
    #[serde(default)]
    pub(crate) name: String,
    #[serde(rename = "SloUs")]
    pub(crate) latency_objective_us: f64,
    #[serde(rename = "GiveUpUs")]
    pub(crate) deadline_us: f64,
    #[serde(rename = "AimStretch", default)]
    pub(crate) objective_stretch: f64,
    #[serde(rename = "Value", default)]
    pub(crate) priority_weight: f64,
    #[serde(rename = "LateValue", default)]
    pub(crate) late_weight: f64,
    #[serde(rename = "Effect", default)]
    pub(crate) idempotency: String,
    #[serde(rename = "DedupScope", default)]
    pub(crate) deduplication_scope: String,
    #[serde(rename = "MemorySpanUs", default)]
    pub(crate) deduplication_window_us: f64,
    #[serde(default)]
    pub(crate) in_order: bool,
    #[serde(rename = "LocalitiesOpen")]
    pub(crate) zones: Option<Vec<usize>>,
    #[serde(rename = "HostTypesAllowed")]
    pub(crate) kinds: Option<Vec<usize>>,
}

/// A tenant.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct TenantObject {
    #[serde(default)]
    pub(crate) quota_per_s: f64,
}

/// Limits and permissions of a gateway.
#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct LimitsObject {
    pub(crate) cancel: bool,
    #[serde(rename = "Probing")]
    pub(crate) health_checks: bool,
    pub(crate) max_attempts: Option<u32>,
    pub(crate) retry_after: bool,
    pub(crate) max_retry_after_us: f64,
    pub(crate) connect_timeout_us: f64,
    #[serde(rename = "KeepaliveUs")]
    pub(crate) idle_timeout_us: f64,
    #[serde(rename = "Multiplex")]
    pub(crate) max_attempts_per_connection: Option<usize>,
    #[serde(rename = "OpenCap")]
    pub(crate) max_open_requests: Option<usize>,
    #[serde(rename = "MayTell")]
    pub(crate) may_gossip: Option<bool>,
    #[serde(rename = "SecondCopies")]
    pub(crate) allows_hedging: bool,
}

/// Parameters of the platform's rules.
#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct RulesObject {
    pub(crate) answer_slack_us: Option<f64>,
    pub(crate) drain_grace_us: Option<f64>,
    #[serde(rename = "ColdFrom")]
    pub(crate) slow_start_from: Option<f64>,
    #[serde(rename = "RampTimeUs")]
    pub(crate) slow_start_duration_us: Option<f64>,
    #[serde(rename = "TipMultiple")]
    pub(crate) overload_multiple: Option<f64>,
    #[serde(rename = "FallUs")]
    pub(crate) overload_window_us: Option<f64>,
    pub(crate) order_settle_us: Option<f64>,
    #[serde(rename = "FreeResends")]
    pub(crate) free_retries: Option<f64>,
    #[serde(rename = "ExtraRatio")]
    pub(crate) retry_ratio: Option<f64>,
    #[serde(rename = "ExtraWindowUs")]
    pub(crate) retry_window_us: Option<f64>,
}

/// Properties of the engines. Lists are indexed by class or by kind of machine.
#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct EngineTraitsObject {
    pub(crate) is_load: Vec<bool>,
    #[serde(rename = "ClassWaits")]
    pub(crate) waits_for_loads: Vec<bool>,
    #[serde(rename = "WidthByClass")]
    pub(crate) threads_by_class: Vec<u32>,
    pub(crate) grants: bool,
    pub(crate) priorities: bool,
    pub(crate) max_grant_share: Option<f64>,
    #[serde(rename = "ProgressUs")]
    pub(crate) progress_interval_us: f64,
    #[serde(rename = "SizeCores")]
    pub(crate) cores_by_kind: Vec<u32>,
    #[serde(rename = "RamOfKindMb")]
    pub(crate) memory_by_kind_mb: Vec<f64>,
}
