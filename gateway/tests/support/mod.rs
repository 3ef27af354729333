//! What the network tests share: a started gateway in front of the stand-ins.

// Each test takes what it needs of this.
#![allow(dead_code, unused_imports)]

pub mod process;

pub use reedwalk_testkit::config::{known, settings};
pub use reedwalk_testkit::{Ended, World, console, discovery_server, flight, mysql, redis, resp, until};

use reedwalk_gateway::config::Config;
use reedwalk_gateway::limits::Limits;
use reedwalk_gateway::operator::{EngineWire, FlightFront, Operator};
use reedwalk_gateway::serve::{Running, start};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

/// A folder of its own for each test.
pub fn folder() -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("folder-{}-{number}", std::process::id());
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&path).unwrap();
    path
}

pub fn config(engines: &[SocketAddr]) -> Config {
    Config {
        name: "n0".into(),
        listen: "127.0.0.1:0".parse().unwrap(),
        seed: 7,
        limits: Limits::default(),
        names: None,
        console: None,
        peer_listen: None,
        peers: Vec::new(),
        folder: folder(),
        known: Some(known(engines)),
        deployment: reedwalk_settings::read(&settings()).unwrap(),
    }
}

pub fn both_fronts(engines: EngineWire) -> Operator {
    let flight = FlightFront {
        listen: "127.0.0.1:0".parse().unwrap(),
        max_connections: 16,
        max_message_bytes: 256 * 1024,
    };
    Operator { flight: Some(flight), engines, ..Operator::default() }
}

pub async fn gateway(config: Config, operator: Operator) -> Running {
    start(config, operator, &slog::Logger::root(slog::Discard, slog::o!())).await.unwrap()
}

/// A gateway with stand-in engines on RESP behind it.
pub async fn with_engines(world: &World) -> Running {
    let engines = [resp::engine("a", world.clone()).await, resp::engine("b", world.clone()).await];
    gateway(config(&engines), Default::default()).await
}
