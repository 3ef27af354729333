//! Set-up shared by the tests that run a whole cluster of gateway processes.

use reedwalk_fault_injection::cluster::ClusterConfig;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

pub const SECOND: Duration = Duration::from_secs(1);

/// Lock that a test holds while its cluster runs, so that only one cluster loads the machine at a time.
pub fn exclusive_machine() -> MutexGuard<'static, ()> {
    static MACHINE: Mutex<()> = Mutex::new(());
    MACHINE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The configuration of a cluster of processes of the built program.
pub fn setup(gateways: usize, engines: usize, seed: u64) -> ClusterConfig {
    ClusterConfig::new(env!("CARGO_BIN_EXE_reedwalk"), gateways, engines, seed)
}
