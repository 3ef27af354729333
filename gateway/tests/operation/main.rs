//! Day-to-day operation: the console, the metrics, operator overrides, and two processes at one address.

#[path = "../support/mod.rs"]
mod support;

mod console;
mod endpoint_list;
mod hot_restart;
mod metrics;
mod overrides;
mod request_ids;
mod shared_site;

use reedwalk_gateway::config::Config;
use std::net::SocketAddr;
use support::mysql::fields;
use support::{ANY_PORT, config};

/// The metrics of a console, by name.
type MetricValues = std::collections::HashMap<String, u64>;

/// A configuration with a console, in a folder of its own.
fn with_console(engines: &[SocketAddr]) -> Config {
    Config { console: Some(ANY_PORT.parse().unwrap()), ..config(engines) }
}

/// The text of a lookup that every engine serves.
fn lookup(n: usize) -> String {
    fields("lookup", 3000, None, &format!("SELECT {n}"))
}
