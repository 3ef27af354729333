//! The operator's file: a KDL document that enables optional features which the platform's configuration does not cover.
//! Without the file they are off. An unknown setting is an error that gives its line.

pub mod error;
mod read;
mod units;

pub use read::read;
pub use units::{UnitError, parse_duration, parse_size};

use crate::config::ConfigError;
use crate::gossip::GossipOptions;
use crate::limits::Limits;
use crate::multicore::MIN_DESCRIPTORS_PER_CORE;
use crate::persistence::PersistenceOptions;
use crate::quotas::Contract;
use crate::shared_store::SharedStoreOptions;
use error::{OperatorFileError, OperatorFileErrorKind};
use std::net::SocketAddr;
use std::path::Path;

/// Protocol between the gateway and the engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineProtocol {
    /// RESP, the engine protocol of the platform.
    #[default]
    Resp,
    /// Arrow Flight SQL.
    FlightSql,
}

/// Where team budgets are tracked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum BudgetStore {
    /// In the memory of each gateway; every gateway grants an equal share of a budget.
    #[default]
    Memory,
    /// In a Redis server at this URL, shared by all gateways.
    Redis(String, SharedStoreOptions),
}

/// Default limit of connections to the Flight SQL front.
pub const DEFAULT_FLIGHT_CONNECTIONS: usize = 64;
/// Default maximum message size of the Flight SQL front, in bytes.
pub const DEFAULT_FLIGHT_MESSAGE_BYTES: usize = 256 * 1024;

/// Settings of the Flight SQL front.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlightFront {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Maximum number of connections.
    pub max_connections: usize,
    /// Maximum size of a message, in bytes.
    pub max_message_bytes: usize,
}

/// The settings of an operator's file.
#[derive(Clone, Debug, Default)]
pub struct OperatorConfig {
    /// Number of cores that the gateway uses; 0 and 1 both mean one.
    pub cores: usize,
    /// Line of the `cores` setting.
    pub cores_line: usize,
    /// The Flight SQL front; `None` if it is off.
    pub flight: Option<FlightFront>,
    /// Protocol of the connections to engines.
    pub engine_protocol: EngineProtocol,
    /// Contracts of the teams; `None` disables quota checks.
    pub contracts: Option<Vec<Contract>>,
    /// Where team budgets are tracked.
    pub store: BudgetStore,
    /// Gossip between gateways; `None` if it is off.
    pub peers: Option<GossipOptions>,
    /// Persistence of state across restarts; `None` if it is off.
    pub state: Option<PersistenceOptions>,
}

impl OperatorConfig {
    /// Checks the settings against the resource limits of the process.
    ///
    /// # Errors
    /// If a setting exceeds them; the error gives its line.
    pub fn check(&self, limits: &Limits) -> Result<(), OperatorFileError> {
        let needed = self.cores * MIN_DESCRIPTORS_PER_CORE;
        if self.cores <= 1 || needed <= limits.sockets {
            return Ok(());
        }
        let kind =
            OperatorFileErrorKind::TooFewDescriptors { cores: self.cores, needed, limit: limits.sockets };
        Err(OperatorFileError { line: self.cores_line, kind })
    }
}

/// Reads and parses the operator's file.
///
/// # Errors
/// If the file can't be read or is not valid.
pub fn read_file(path: &Path) -> Result<OperatorConfig, ConfigError> {
    let text = std::fs::read_to_string(path).map_err(|error| ConfigError::Unreadable(path.into(), error))?;
    read(&text).map_err(|error| ConfigError::Operator(path.into(), error))
}
