//! The fleet cluster: from two to hundreds of real front ends as processes, stand-ins of what surrounds them, and faults
//! between them and in them. A run says which faults really applied; one in which its fault never did has failed.
//!
//! For tests and measurements only: what goes wrong in here panics.
#![allow(missing_docs, clippy::missing_errors_doc, clippy::missing_panics_doc)]

pub mod chart;
pub mod cluster;
pub mod datagram;
mod environment;
pub mod fault;
pub mod load;
pub mod process;
pub mod rogue_gateway;
pub mod scenario;
mod setup;
pub mod tcp;
pub mod udp;

pub use cluster::{Cluster, Setup};
pub use fault::{AppliedFaults, Fault};
pub use load::Load;
pub use process::{GatewayProcess, Program};
