//! The front end: a broker between clients and a pool of engines. `broker` is the core that knows no wire;
//! beside it stand the fronts, the engine links, the names and what starts and ends the program.

pub mod broker;
pub mod cli;
pub mod config;
pub mod console;
pub mod discovery;
pub mod drain_guard;
pub mod engine;
pub mod front;
pub mod gossip;
pub mod health;
pub mod hot_restart;
pub mod limits;
pub mod lock;
pub mod message;
pub mod metrics;
pub mod multicore;
pub mod operator;
pub mod persistence;
pub mod quotas;
pub mod registry;
pub mod serve;
pub mod shared_store;
pub mod shutdown;
