//! Definition of a stream: a gateway, its pool of engines, its traffic and its disturbances.

use reedwalk_scheduler::*;
use std::time::Duration;

/// A fault of an engine in the simulated pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Answers this share of its queries with an error.
    Errors(f64),
    /// Accepts queries and never answers.
    Silent,
    /// Rejects every query.
    Rejects,
    /// Refuses connections.
    RefusesConnections,
    /// Resets connections while queries run.
    Resets,
    /// Run time of queries is multiplied by this factor.
    Slow(f64),
}

/// An occurrence that disturbs normal operation.
#[derive(Clone, Copy, Debug)]
pub enum Disturbance {
    /// An engine has a fault for about this time.
    EngineFault(Fault, Duration),
    /// An engine restarts; the endpoint list reports it.
    Restart,
    /// An engine restarts; gossip reports it before the endpoint list does. The report may be false.
    RestartReportedByGossip,
    /// An engine drains, is removed, and returns.
    DrainAndReturn,
    /// An engine is removed without draining, and returns.
    RemoveAndReturn,
    /// The complete endpoint list is sent again.
    ListReloaded,
    /// The endpoint list is sent as one cached by the previous process.
    ListCached,
    /// The endpoint list cannot be read.
    ListFailed,
    /// Other gateways have ejected an engine.
    EjectionByGossip,
    /// Other gateways report how slow an engine is.
    SlowdownByGossip,
    /// The number of live gateways changes.
    LiveGateways,
    /// This process's share of its gateway's capacity changes.
    CapacityShare,
    /// The gateway process stalls for about this time; some events of that time are delivered one step later.
    OwnStall(Duration),
    /// A health check has ended.
    HealthCheck,
    /// Events name unknown requests, engines, classes and attempts.
    UnknownIds,
}

/// The traffic of one class, and how its queries run.
#[derive(Clone, Debug)]
pub struct ClassTraffic {
    pub requests_per_s: f64,
    /// Mean run time of a query on one thread.
    pub work: Duration,
    /// Share of the queries whose first attempt has a bad plan and runs eight times as long.
    pub bad_plans: f64,
    /// Probability that the next attempt of such a query has the bad plan again.
    pub bad_plans_persist: f64,
    /// Share of the queries that fail with an error at every engine.
    pub faulty_queries: f64,
    /// Number of ordering keys in use; 0 for none.
    pub ordering_keys: u64,
    /// Number of table groups in use; 0 for none.
    pub table_groups: u64,
    /// Most arrivals carry estimates of work and memory.
    pub has_estimates: bool,
    /// Answers report the resources that the query used.
    pub reports_usage: bool,
    /// Share of the attempts that stream rows before they end.
    pub streams: f64,
    /// Share of the clients that disconnect before their deadline.
    pub disconnects: f64,
    /// Probability that the client of a rejected request retries it.
    pub client_retries: f64,
    /// Share of the arrivals with a prior attempt sent by another gateway.
    pub prior_attempts: f64,
    /// Share of the attempts whose deduplication group is recorded in the shared store.
    pub bound_to_group: f64,
}

impl ClassTraffic {
    pub fn new(requests_per_s: f64, work: Duration) -> Self {
        Self {
            requests_per_s,
            work,
            bad_plans: 0.0,
            bad_plans_persist: 0.0,
            faulty_queries: 0.0,
            ordering_keys: 0,
            table_groups: 0,
            has_estimates: false,
            reports_usage: false,
            streams: 0.0,
            disconnects: 0.01,
            client_retries: 0.3,
            prior_attempts: 0.0,
            bound_to_group: 0.0,
        }
    }
}

/// All inputs of one stream.
pub struct Scenario {
    pub name: &'static str,
    pub seed: u64,
    pub settings: Settings,
    /// The traffic of each class of the settings.
    pub traffic: Vec<ClassTraffic>,
    pub engines: Vec<EngineEntry>,
    /// Disturbances, each with its mean interval.
    pub disturbances: Vec<(Disturbance, Duration)>,
    /// Factor on the traffic in every other interval of ten seconds.
    pub burst_factor: f64,
    /// Load that other gateways put on each engine, in threads.
    pub other_threads: f64,
    /// Engines report their load with their answers.
    pub load_reports: bool,
    pub duration: Duration,
    /// Latency statistics saved by the previous process.
    pub restored_stats: Vec<Option<ClassLatencyStats>>,
}
