//! The fleet rig: from two to hundreds of real front ends as processes, stand-ins of what surrounds them, and faults
//! between them and in them. A run says which faults really struck; one in which its fault never did has failed.
//!
//! For tests and measurements only: what goes wrong in here panics.
#![allow(missing_docs)]

pub mod chart;
pub mod datagram;
pub mod day;
pub mod fault;
pub mod hostile;
pub mod load;
pub mod process;
pub mod rig;
pub mod tcp;
pub mod udp;

pub use fault::{Fault, Struck};
pub use load::Load;
pub use process::{FrontEnd, Program};
pub use rig::{Rig, Setup};
