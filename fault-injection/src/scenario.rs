//! Scenarios: the size of a cluster, its load, and which faults are injected at which times, described in a KDL file.
//!
//! A file has one node `scenario "NAME" seed=NUMBER` with a block of settings. An unknown keyword or a wrong value is an error
//! that names its line and what is expected there.
//!
//! | setting | meaning | default |
//! | --- | --- | --- |
//! | `gateways COUNT` | gateway processes, 1 to 400 | required |
//! | `engines COUNT cores=NUMBER` | engines, 1 or more, and the cores of each | required; 8 cores |
//! | `zones COUNT` | zones of gateways, which are assigned round-robin; each zone has its own relays to the engines | 0: no relays |
//! | `slow-start` | all engines start together with the cluster and begin with a slow start | engines are warm |
//! | `gossip "on"` or `"off"` | whether gateways exchange gossip | on |
//! | `load rate=NUMBER work=TIME statements=SHARE keyed-requests=SHARE` | requests per second over all gateways, the median of their work on one core, the shares of statements and of requests with an idempotency key; the rest are lookups | 100, 50 ms, 0, 0 |
//! | `duration TIME` | how long the scenario runs | 10 s |
//! | `at TIME { STEPS }` | steps that are executed at this time after the start | none |
//!
//! | step | meaning |
//! | --- | --- |
//! | `gossip-links loss=SHARE duplication=SHARE corruption=SHARE delay=TIME jitter=TIME` | sets the fault of all links between gateways ([`DatagramFault`]); omitted properties are 0 |
//! | `partition COUNT` | no gossip passes between this many groups of gateways, which are assigned round-robin |
//! | `heal` | ends the partition |
//! | `engine NUMBER BEHAVIOR` | an engine is from now on `"healthy"`, `"failing"`, `"slow"`, `"silent"` or `"dead"` |
//! | `engine-link ZONE ENGINE STATE` | connections from the gateways of a zone to an engine are `"stalled"`, `"reset"` or `"open"` |
//! | `kill GATEWAYS` | kills gateway processes |
//! | `restart GATEWAYS` | starts killed gateways again |
//! | `pause GATEWAYS` | suspends gateway processes |
//! | `resume GATEWAYS` | continues suspended gateway processes |
//!
//! A TIME is text such as `"250ms"` or `"3s"`, at most an hour; a SHARE is between 0 and 1. GATEWAYS are numbers from 0, as
//! arguments (`kill 3 5`), as a range (`kill from=10 to=19`) or both. Gateways, engines and zones are counted before the first
//! step that names them. Steps with the same time are executed in the order of the file.

use crate::fault::DatagramFault;
use parser::Parser;
use reedwalk_testkit::resp::EngineBehavior;
use std::fmt;
use std::time::Duration;

mod parser;

/// Maximum number of gateways in a scenario.
const MAX_GATEWAYS: usize = 400;

/// An action of a scenario at a given time.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Sets the fault of all links between gateways.
    SetGossipLinks(DatagramFault),
    /// Partitions the gateways into groups, which are assigned round-robin.
    Partition {
        /// How many groups there are.
        groups: usize,
    },
    /// Heals the partition.
    Heal,
    /// Changes how an engine behaves.
    SetEngine {
        /// The number of the engine.
        engine: usize,
        /// Its behaviour from now on.
        behavior: EngineBehavior,
    },
    /// Kills the processes of these gateways.
    Kill(Vec<usize>),
    /// Starts killed gateways again.
    Restart(Vec<usize>),
    /// Suspends the processes of these gateways.
    Pause(Vec<usize>),
    /// Continues suspended processes.
    Resume(Vec<usize>),
    /// Changes the state of the connections from the gateways of a zone to an engine.
    SetEngineLink {
        /// The number of the zone.
        zone: usize,
        /// The number of the engine.
        engine: usize,
        /// The state from now on.
        state: LinkState,
    },
}

/// The state of the connections between a zone and an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Bytes are held back in both directions.
    Stalled,
    /// Connections are reset.
    Reset,
    /// Bytes pass.
    Open,
}

/// A step and the time at which it is executed.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledStep {
    /// Time after the start of the scenario.
    pub at: Duration,
    /// The step.
    pub step: Step,
}

/// A whole scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Its name, which is the prefix of the file names of its charts.
    pub name: String,
    /// Seed of the faults and of the load.
    pub seed: u64,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of engines.
    pub engines: usize,
    /// Cores of each engine.
    pub cores: f64,
    /// Zones of gateways; 0 where gateways reach the engines directly.
    pub zones: usize,
    /// All engines start together with the cluster.
    pub slow_start: bool,
    /// Whether gateways exchange gossip.
    pub gossip: bool,
    /// Requests per second over all gateways.
    pub rate: f64,
    /// Median of the work of a request, in milliseconds on one core.
    pub work_ms: f64,
    /// Share of statements, 0 to 1.
    pub statement_share: f64,
    /// Share of requests with an idempotency key, 0 to 1.
    pub keyed_request_share: f64,
    /// How long it runs.
    pub duration: Duration,
    /// The steps, in order of their times.
    pub steps: Vec<ScheduledStep>,
}

impl Default for Scenario {
    /// Defaults of the optional settings; gateways and engines are 0.
    fn default() -> Self {
        Self {
            name: String::new(),
            seed: 1,
            gateways: 0,
            engines: 0,
            cores: 8.0,
            zones: 0,
            slow_start: false,
            gossip: true,
            rate: 100.0,
            work_ms: 50.0,
            statement_share: 0.0,
            keyed_request_share: 0.0,
            duration: Duration::from_secs(10),
            steps: Vec::new(),
        }
    }
}

/// An error in a description and its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioError {
    /// The line of the file, from 1.
    pub line: usize,
    /// What is wrong there, and what was expected.
    pub message: String,
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.message)
    }
}

impl std::error::Error for ScenarioError {}

/// Reads the text of a description.
///
/// # Errors
/// Returns the first error in the text.
pub fn read(source: &str) -> Result<Scenario, ScenarioError> {
    Parser::new(source).scenario()
}

#[cfg(test)]
mod tests;
