//! Messages of the simulator's protocol. Variants have the names that are used on the wire. Fields have the names of this
//! program, and `rename` gives the name on the wire.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::BTreeMap;

/// One line from the simulator.
#[derive(Deserialize)]
pub struct Batch<'a> {
    /// The simulator's time, in microseconds.
    #[serde(rename = "AtTimeUs")]
    pub at_us: u64,
    #[serde(borrow)]
    pub inbox: Vec<&'a RawValue>,
}

/// One engine of an endpoint list.
#[derive(Deserialize)]
pub struct EndpointLine {
    #[serde(rename = "Executor")]
    pub address: String,
    #[serde(rename = "RegionPart")]
    pub zone: Option<usize>,
    #[serde(rename = "GenerationHw")]
    pub kind: Option<usize>,
    #[serde(rename = "Cell")]
    pub cell: Option<u64>,
    #[serde(rename = "StageState")]
    pub state: String,
    /// Time of its last start in microseconds; 0 if that was long ago.
    #[serde(rename = "StartedAtUs", default)]
    pub started_at_us: u64,
}

/// The values of an engine's load report, by name.
pub type LoadValues = BTreeMap<String, f64>;

/// A message from the simulator.
#[derive(Deserialize)]
#[serde(tag = "op", rename_all_fields = "PascalCase")]
pub enum Incoming {
    /// An instance starts.
    Spawn {
        controller_id: u64,
        #[serde(default)]
        seed: u64,
        #[serde(rename = "BootInfo")]
        settings: serde_json::Value,
    },
    /// An instance ends.
    Detach { controller_id: u64 },
    /// An endpoint list and its number, to which [`Self::Endpoints`] refers.
    Directory {
        sheet: u64,
        #[serde(rename = "Lines")]
        entries: Vec<EndpointLine>,
    },
    /// An instance receives an endpoint list or changes to it.
    Endpoints { controller_id: u64, kind: String, sheet: Option<u64> },
    /// A client sends a request.
    Ingress {
        controller_id: u64,
        handle: String,
        #[serde(rename = "WantMb")]
        memory_estimate_mb: Option<f64>,
        #[serde(rename = "EstimateUs")]
        work_estimate_us: Option<f64>,
        #[serde(rename = "AgainByClient", default)]
        is_retry: bool,
        #[serde(rename = "Customer", default)]
        tenant: usize,
        #[serde(rename = "Key")]
        ordering_key: Option<String>,
        #[serde(rename = "Service", default)]
        class: usize,
        #[serde(rename = "PatienceLeftUs", default)]
        time_left_us: i64,
        #[serde(rename = "SourceSet")]
        table_group: Option<f64>,
    },
    /// An attempt streams its first rows.
    Accepted {
        controller_id: u64,
        handle: String,
        #[serde(rename = "Leg", default)]
        attempt: u32,
    },
    /// An engine reports on an attempt.
    Progress {
        controller_id: u64,
        handle: String,
        #[serde(rename = "Leg", default)]
        attempt: u32,
        #[serde(rename = "Sort", default)]
        kind: u32,
        #[serde(rename = "X", default)]
        value: f64,
    },
    /// An attempt has ended.
    Reply {
        controller_id: u64,
        handle: String,
        #[serde(rename = "Leg", default)]
        attempt: u32,
        /// Linux error number (`errno`); 0 for success.
        #[serde(default)]
        code: u32,
        #[serde(default)]
        closed: bool,
        /// Work and memory, packed into one number.
        #[serde(rename = "Bill")]
        packed_usage: Option<u64>,
        #[serde(rename = "Feedback")]
        load: Option<LoadValues>,
    },
    /// A client has disconnected.
    Hangup { controller_id: u64, handle: String },
    /// The timer of an [`Outgoing::Schedule`] has expired.
    TickDue { controller_id: u64 },
    /// A health check has ended.
    ProbeDone {
        controller_id: u64,
        #[serde(default)]
        code: u32,
        #[serde(rename = "Executor")]
        address: String,
        #[serde(rename = "Feedback")]
        load: Option<LoadValues>,
    },
    /// A datagram from another instance.
    NoteFrom {
        controller_id: u64,
        #[serde(rename = "Neighbour", default)]
        sender: u64,
        #[serde(default)]
        body: String,
    },
}

/// A message to the simulator.
#[derive(Serialize)]
#[serde(tag = "op", rename_all_fields = "PascalCase")]
pub enum Outgoing<'a> {
    /// Start an attempt.
    Try {
        controller_id: u64,
        handle: &'a str,
        #[serde(rename = "CapUs", skip_serializing_if = "Option::is_none")]
        timeout_us: Option<u64>,
        #[serde(rename = "Executor")]
        address: &'a str,
    },
    /// Cancel an attempt.
    Recall {
        controller_id: u64,
        handle: &'a str,
        #[serde(rename = "Leg")]
        attempt: u32,
    },
    /// Reject a request.
    Deny {
        controller_id: u64,
        handle: &'a str,
        #[serde(rename = "BackoffUs", skip_serializing_if = "Option::is_none")]
        retry_after_us: Option<u64>,
    },
    /// Fail a request.
    Error { controller_id: u64, handle: &'a str },
    /// Set the memory grant and the priority of a request's attempts.
    Resources {
        controller_id: u64,
        handle: &'a str,
        #[serde(rename = "MemMb")]
        memory_mb: f64,
        #[serde(rename = "Prio")]
        priority: u8,
    },
    /// Wake the instance after a delay.
    Schedule { controller_id: u64, after_us: u64, label: u64 },
    /// Check the health of an engine.
    HealthCheck {
        controller_id: u64,
        #[serde(rename = "Executor")]
        address: &'a str,
    },
    /// Subscribe to the endpoint list.
    Listen {
        controller_id: u64,
        #[serde(rename = "On")]
        subscribed: bool,
    },
    /// Write a line to the simulator's log.
    SayLog {
        controller_id: u64,
        #[serde(rename = "Words")]
        text: &'a str,
    },
    /// Send a datagram to another instance.
    BroadcastTo {
        controller_id: u64,
        #[serde(rename = "Dest")]
        receiver: u64,
        body: &'a str,
    },
    /// Report that the instance cannot continue.
    GiveIn {
        controller_id: u64,
        #[serde(rename = "Words")]
        reason: &'a str,
    },
}
