//! The bench's messages, as they stand on the wire.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::BTreeMap;

/// One line from the bench.
#[derive(Deserialize)]
pub struct Batch<'a> {
    #[serde(rename = "AtTimeUs")]
    pub at: u64,
    #[serde(borrow)]
    pub inbox: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
pub struct Entry {
    #[serde(rename = "Executor")]
    pub executor: String,
    #[serde(rename = "RegionPart")]
    pub zone: Option<usize>,
    #[serde(rename = "GenerationHw")]
    pub kind: Option<usize>,
    #[serde(rename = "Cell")]
    pub cell: Option<u64>,
    #[serde(rename = "StageState")]
    pub state: String,
    #[serde(rename = "StartedAtUs", default)]
    pub started: u64,
}

pub type Report = BTreeMap<String, f64>;

#[derive(Deserialize)]
#[serde(tag = "op", rename_all_fields = "PascalCase")]
pub enum In {
    Spawn {
        controller_id: u64,
        #[serde(default)]
        seed: u64,
        boot_info: serde_json::Value,
    },
    Detach {
        controller_id: u64,
    },
    Directory {
        sheet: u64,
        lines: Vec<Entry>,
    },
    Endpoints {
        controller_id: u64,
        kind: String,
        sheet: Option<u64>,
    },
    Ingress {
        controller_id: u64,
        handle: String,
        want_mb: Option<f64>,
        estimate_us: Option<f64>,
        #[serde(default)]
        again_by_client: bool,
        #[serde(default)]
        customer: usize,
        key: Option<String>,
        #[serde(default)]
        service: usize,
        #[serde(default)]
        patience_left_us: i64,
        source_set: Option<f64>,
    },
    Accepted {
        controller_id: u64,
        handle: String,
        #[serde(default)]
        leg: u32,
    },
    Progress {
        controller_id: u64,
        handle: String,
        #[serde(default)]
        leg: u32,
        #[serde(default)]
        sort: u32,
        #[serde(default)]
        x: f64,
    },
    Reply {
        controller_id: u64,
        handle: String,
        #[serde(default)]
        leg: u32,
        #[serde(default)]
        code: u32,
        #[serde(default)]
        closed: bool,
        bill: Option<u64>,
        feedback: Option<Report>,
    },
    Hangup {
        controller_id: u64,
        handle: String,
    },
    TickDue {
        controller_id: u64,
    },
    ProbeDone {
        controller_id: u64,
        #[serde(default)]
        code: u32,
        executor: String,
        feedback: Option<Report>,
    },
    NoteFrom {
        controller_id: u64,
        #[serde(default)]
        neighbour: u64,
        #[serde(default)]
        body: String,
    },
}

#[derive(Serialize)]
#[serde(tag = "op", rename_all_fields = "PascalCase")]
pub enum Out<'a> {
    Try {
        controller_id: u64,
        handle: &'a str,
        #[serde(skip_serializing_if = "Option::is_none")]
        cap_us: Option<u64>,
        executor: &'a str,
    },
    Recall {
        controller_id: u64,
        handle: &'a str,
        leg: u32,
    },
    Deny {
        controller_id: u64,
        handle: &'a str,
        #[serde(skip_serializing_if = "Option::is_none")]
        backoff_us: Option<u64>,
    },
    Error {
        controller_id: u64,
        handle: &'a str,
    },
    Resources {
        controller_id: u64,
        handle: &'a str,
        mem_mb: f64,
        prio: u8,
    },
    Schedule {
        controller_id: u64,
        after_us: u64,
        label: u64,
    },
    HealthCheck {
        controller_id: u64,
        executor: &'a str,
    },
    Listen {
        controller_id: u64,
        on: bool,
    },
    SayLog {
        controller_id: u64,
        words: &'a str,
    },
    BroadcastTo {
        controller_id: u64,
        dest: u64,
        body: &'a str,
    },
    GiveIn {
        controller_id: u64,
        words: &'a str,
    },
}
