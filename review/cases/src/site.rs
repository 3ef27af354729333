//! The deployment of a case: the repository's example configuration with the case's addresses, and reserved ports.

use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tokio::net::TcpSocket;

/// A loopback address whose port stays reserved while this exists. Processes can listen there with `SO_REUSEPORT`; the
/// reservation itself never listens.
#[derive(Debug)]
pub struct ReservedAddress {
    /// The address.
    pub address: SocketAddr,
    _socket: TcpSocket,
}

impl ReservedAddress {
    /// Reserves a free port.
    ///
    /// # Panics
    ///
    /// If there is none.
    pub fn new() -> Self {
        let socket = TcpSocket::new_v4().expect("no socket");
        socket.set_reuseaddr(true).expect("no SO_REUSEADDR");
        socket.set_reuseport(true).expect("no SO_REUSEPORT");
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("no free port");
        let address = socket.local_addr().expect("no address");
        Self { address, _socket: socket }
    }
}

impl Default for ReservedAddress {
    fn default() -> Self {
        Self::new()
    }
}

/// The folder of the run, which the script creates and removes.
///
/// # Panics
///
/// If the variable `WORK_FOLDER` is not set.
pub fn work_folder() -> PathBuf {
    PathBuf::from(std::env::var_os("WORK_FOLDER").expect("WORK_FOLDER is not set"))
}

/// `deploy/example-config.json` with this address for clients and these engines, all in service for a long time.
///
/// # Panics
///
/// If the example can't be read.
pub fn example_config(listen: SocketAddr, engines: &[(&str, SocketAddr)]) -> Value {
    let text = std::fs::read("deploy/example-config.json").expect("run from the root of the repository");
    let mut config: Value = serde_json::from_slice(&text).expect("the example configuration is no JSON");
    let servers: Vec<Value> = engines
        .iter()
        .map(|(id, address)| {
            json!({"id": id, "addr": address.to_string(), "zone": "hall-a", "kind": "std-8c", "cell": 0,
                "state": "in_service", "weight": 1, "started_ms": 0})
        })
        .collect();
    config["listen"] = json!(listen.to_string());
    config["known"]["results"][0]["fleet"]["servers"] = json!(servers);
    config
}

/// Writes a file into the folder of the run and returns its path.
///
/// # Panics
///
/// If it can't be written.
pub fn write_file(name: &str, text: &str) -> PathBuf {
    let path = work_folder().join(name);
    std::fs::write(&path, text).expect("a file of the run can't be written");
    path
}

/// The folder that processes of one gateway share as `TMPDIR`.
///
/// # Panics
///
/// If it can't be created.
pub fn temporary_folder(name: &str) -> PathBuf {
    let path = work_folder().join(name);
    std::fs::create_dir_all(&path).expect("a folder of the run can't be created");
    path
}

/// The command of the deploy file's `run` line, with the operator's file if there is one.
///
/// # Panics
///
/// If the deploy file has no such line.
pub fn run_command(operator: Option<&Path>) -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("run from the root of the repository");
    let line = text.lines().find_map(|line| line.strip_prefix("run = ")).expect("no line 'run'");
    let command = line.trim().trim_matches('"').to_owned();
    match operator {
        Some(path) => format!("{command} --operator '{}'", path.display()),
        None => command,
    }
}
