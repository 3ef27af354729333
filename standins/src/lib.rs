//! Stand-ins for what surrounds a front end, written from the public descriptions of each: engines on RESP and on
//! Arrow Flight SQL, clients of MySQL and of Flight SQL, a name server, Redis. They follow a script, keep a record
//! of what they saw, and the checkers read that. They share no code with the program: a mistake made on both
//! sides of a wire would not be seen.
//!
//! For tests and measurements only: what goes wrong in here panics.

// Panics are this crate's way to say that a peer broke the protocol.
#![allow(missing_docs)]

pub mod config;
pub mod console;
pub mod driver;
pub mod flight;
pub mod model;
pub mod mysql;
pub mod names;
pub mod record;
pub mod redis;
pub mod resp;
pub mod script;
pub mod wire;

pub use script::{Act, Ended, World, rows, until};
