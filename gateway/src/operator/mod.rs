//! An operator's file: what the platform does not know of and leaves off. A KDL document; what it does not know is
//! an error that names the line.

mod read;
mod units;

pub use read::{Fault, read};
pub use units::{BadUnit, duration, size};

use crate::config::Limits;
use crate::contracts::Contract;
use crate::cores::DESCRIPTORS_A_CORE;
use crate::peers::Terms as PeersTerms;
use crate::state::Terms as StateTerms;
use crate::store::link::Terms;
use std::net::SocketAddr;

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
    Redis(String, Terms),
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
    /// Contracts of the teams; with none nothing is checked.
    pub contracts: Option<Vec<Contract>>,
    /// Where budgets are counted.
    pub store: Store,
    /// How front ends know each other; they don't without it.
    pub peers: Option<PeersTerms>,
    /// Where a memory is kept for the next process; none is without it.
    pub state: Option<StateTerms>,
}

impl Operator {
    /// Checks what the limits of the process allow.
    ///
    /// # Errors
    /// Names the line that asks for more.
    pub fn check(&self, limits: &Limits) -> Result<(), Fault> {
        let needed = self.cores * DESCRIPTORS_A_CORE;
        if self.cores <= 1 || needed <= limits.sockets {
            return Ok(());
        }
        let (cores, sockets) = (self.cores, limits.sockets);
        let what = format!("{cores} cores need {needed} descriptors; the limit is {sockets}");
        Err(Fault { line: self.cores_line, what })
    }
}
