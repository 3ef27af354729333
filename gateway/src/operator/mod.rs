//! An operator's file: what the platform does not know of and leaves off. A KDL document; what it does not know is
//! an error that names the line.

pub mod error;
mod read;
mod units;

pub use read::read;
pub use units::{BadUnit, duration, size};

use crate::config::ConfigError;
use crate::gossip::GossipOptions;
use crate::limits::Limits;
use crate::multicore::MIN_DESCRIPTORS_PER_CORE;
use crate::persistence::PersistenceOptions;
use crate::quotas::Contract;
use crate::shared_store::SharedStoreOptions;
use error::OperatorFileError;
use std::net::SocketAddr;
use std::path::Path;

/// The wire on which the engines are reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineWire {
    /// The platform's.
    #[default]
    Resp,
    /// Arrow Flight SQL.
    FlightSql,
}

/// Where budgets are counted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Store {
    /// In each front end, which grants its even share.
    #[default]
    Memory,
    /// In a Redis at this URL, shared by all front ends on these terms.
    Redis(String, SharedStoreOptions),
}

/// Connections of the Flight SQL front where nothing is said.
pub const FLIGHT_CONNECTIONS: usize = 64;
/// Bytes of a Flight statement and what stands around it, where nothing is said.
pub const FLIGHT_MESSAGE: usize = 256 * 1024;

/// The Flight SQL front.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlightFront {
    /// Where its clients connect.
    pub listen: SocketAddr,
    /// Connections at most.
    pub connections: usize,
    /// Bytes of one message at most.
    pub message_most: usize,
}

/// All that an operator may turn on.
#[derive(Clone, Debug, Default)]
pub struct Operator {
    /// Cores that the front end uses; 0 and 1 are the usual one.
    pub cores: usize,
    /// The line that says so.
    pub cores_line: usize,
    /// The second front; off without it.
    pub flight: Option<FlightFront>,
    /// How the engines are reached.
    pub engines: EngineWire,
    /// QuotaManager of the teams; with none nothing is checked.
    pub contracts: Option<Vec<Contract>>,
    /// Where budgets are counted.
    pub store: Store,
    /// How front ends know each other; they don't without it.
    pub peers: Option<GossipOptions>,
    /// Where a memory is kept for the next process; none is without it.
    pub state: Option<PersistenceOptions>,
}

impl Operator {
    /// Checks what the limits of the process allow.
    ///
    /// # Errors
    /// Names the line that asks for more.
    pub fn check(&self, limits: &Limits) -> Result<(), OperatorFileError> {
        let needed = self.cores * MIN_DESCRIPTORS_PER_CORE;
        if self.cores <= 1 || needed <= limits.sockets {
            return Ok(());
        }
        let (cores, sockets) = (self.cores, limits.sockets);
        let what = format!("{cores} cores need {needed} descriptors; the limit is {sockets}");
        Err(OperatorFileError { line: self.cores_line, what })
    }
}

/// Reads an operator's file.
///
/// # Errors
/// Says what is wrong with it.
pub fn read_file(path: &Path) -> Result<Operator, ConfigError> {
    let text = std::fs::read_to_string(path).map_err(|error| ConfigError::Unreadable(path.into(), error))?;
    read(&text).map_err(|error| ConfigError::Operator(path.into(), error))
}
