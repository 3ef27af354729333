//! Fault injection for tests and benchmarks: a cluster of up to hundreds of real gateways, one process each, with test doubles
//! of the engines, the clients and the discovery server, and relays between them that inject faults. A run counts which faults
//! were applied; a run in which its fault was never applied has failed.
//!
//! - [`cluster`]: starts and controls a cluster, and reports what was observed.
//! - [`load`]: an open-loop load on its gateways.
//! - [`fault`]: faults of datagrams, and the counters of applied faults.
//! - [`gossip_network`], [`udp_relay`], [`tcp_relay`]: relays that inject faults into traffic.
//! - [`process`]: one gateway as a process; [`rogue_gateway`]: a sender of false gossip.
//! - [`scenario`]: descriptions of whole runs in KDL, which the program `run-scenario` runs; [`chart`]: its charts.
//!
//! Errors in this crate panic, so that the test fails.
//!
//! ```no_run
//! use reedwalk_fault_injection::{Cluster, ClusterConfig, DatagramFault, Load};
//! use reedwalk_testkit::resp::EngineBehavior;
//! use std::time::Duration;
//!
//! // Twenty gateways and ten engines; three in ten gossip datagrams are lost, and one engine fails.
//! let (gateways, engines, seed) = (20, 10, 7);
//! let mut cluster = Cluster::start(ClusterConfig::new("target/release/reedwalk", gateways, engines, seed));
//! cluster.gossip_network.set_default_fault(DatagramFault::lossy(0.3));
//! cluster.start_load(&Load::lookups(gateways, 24.0, 100.0, seed));
//! cluster.set_engine_behavior(0, EngineBehavior::Failing);
//! cluster.run_for(Duration::from_secs(5));
//! let requests = cluster.end_load();
//! assert!(cluster.applied_faults().lost > 0, "the fault was never applied");
//! println!("{} requests; {}", requests.len(), cluster.applied_faults());
//! ```

pub mod chart;
pub mod cluster;
mod cluster_config;
mod environment;
pub mod fault;
pub mod gossip_network;
pub mod load;
pub mod process;
pub mod rogue_gateway;
pub mod scenario;
pub mod tcp_relay;
pub mod udp_relay;

pub use cluster::{Cluster, ClusterConfig};
pub use fault::{AppliedFaults, DatagramFault};
pub use load::Load;
pub use process::{GatewayProcess, Program};
