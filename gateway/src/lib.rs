//! The gateway: a broker between clients and a pool of engines. The core is `broker`, which is independent of any protocol.
//! `message` defines the types that it exchanges with the other modules: the client fronts, the engine transports, endpoint
//! discovery, the modules that own other state, and `serve`, which starts and stops the process. See ARCHITECTURE.md for
//! an overview.
//!
//! Serving until SIGTERM, as `reedwalk serve` does:
//!
//! ```no_run
//! use reedwalk_gateway::config::{self, Environment};
//! use reedwalk_gateway::operator::OperatorConfig;
//! use reedwalk_gateway::{logging, serve};
//! use std::path::Path;
//!
//! #[tokio::main(flavor = "current_thread")]
//! async fn main() -> Result<(), Box<dyn std::error::Error>> {
//!     let read = || config::read(Path::new("config.json"), Environment::default());
//!     let log = logging::root(slog::Level::Info);
//!     serve::serve(read()?, OperatorConfig::default(), read, log).await?;
//!     Ok(())
//! }
//! ```

pub mod accept;
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
pub mod logging;
pub mod message;
pub mod metrics;
pub mod multicore;
pub mod operator;
pub mod persistence;
pub mod quotas;
pub mod registry;
pub mod request_ids;
pub mod request_memory;
pub mod serve;
pub mod session_registry;
pub mod shared_store;
pub mod shutdown;
pub mod unix_clock;
