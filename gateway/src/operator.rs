//! An operator's file: what the platform does not know of and leaves off. JSON; unknown keys are an error.

use crate::contracts::Contract;
use serde::Deserialize;
use std::net::SocketAddr;

/// The wire on which the engines are reached.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum EngineWire {
    /// The platform's.
    #[default]
    Resp,
    /// Arrow Flight SQL.
    FlightSql,
}

/// Where budgets are counted.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Store {
    /// In each front end, which grants its even share.
    #[default]
    Memory,
    /// In a Redis at this URL, shared by all front ends.
    Redis(String),
}

/// The Flight SQL front.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FlightFront {
    /// Where its clients connect.
    pub listen: SocketAddr,
    /// Connections at most.
    #[serde(default = "connections")]
    pub connections: usize,
}

fn connections() -> usize {
    64
}

/// All that an operator may turn on.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// The second front; off without it.
    pub flight: Option<FlightFront>,
    /// How the engines are reached.
    pub engines: EngineWire,
    /// Contracts of the teams; with none nothing is checked.
    pub contracts: Option<Vec<Contract>>,
    /// Where budgets are counted.
    pub store: Store,
}
