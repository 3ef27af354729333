//! The front end: a broker between clients and a pool of engines. `broker` is the core that knows no wire;
//! beside it stand the fronts, the engine links, the names and what starts and ends the program.

pub mod broker;
pub mod cli;
pub mod config;
pub mod console;
pub mod contracts;
pub mod cores;
pub mod drain_guard;
pub mod engine;
pub mod figures;
pub mod flight_meta;
pub mod front;
pub mod health;
pub mod lock;
pub mod members;
pub mod message;
pub mod names;
pub mod operator;
pub mod peers;
pub mod serve;
pub mod shutdown;
pub mod state;
pub mod store;
pub mod succession;
