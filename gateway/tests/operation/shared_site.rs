//! A gateway of several processes that share a folder and the address for clients, and a load generator for it.

use crate::lookup;
use crate::support::mysql::Client;
use crate::support::process::{Process, ProcessConfig};
use crate::support::{ANY_PORT, folder, until};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

/// Number of clients of a [`Load`].
const CLIENTS: usize = 12;

/// The state of a listening socket in `/proc/net/tcp`.
const TCP_LISTEN: &str = "0A";

/// A gateway whose processes share a folder and the address for clients.
pub struct SharedSite {
    folder: PathBuf,
    config: PathBuf,
    pub listen: SocketAddr,
    /// Keeps the address reserved; it never listens.
    _reserved: tokio::net::TcpSocket,
}

impl SharedSite {
    /// A gateway with these engines and this limit on file descriptors; no process is started yet.
    pub fn new(engines: &[SocketAddr], sockets: usize) -> Self {
        Self::with_config(ProcessConfig { sockets, ..ProcessConfig::new(engines) })
    }

    /// A gateway with this configuration, at an address of its own; no process is started yet.
    pub fn with_config(config: ProcessConfig) -> Self {
        let reserved = tokio::net::TcpSocket::new_v4().unwrap();
        reserved.set_reuseport(true).unwrap();
        reserved.set_reuseaddr(true).unwrap();
        reserved.bind(ANY_PORT.parse().unwrap()).unwrap();
        let (folder, listen) = (folder(), reserved.local_addr().unwrap());
        let path = folder.with_extension("json");
        std::fs::write(&path, ProcessConfig { listen, ..config }.text()).unwrap();
        Self { folder, config: path, listen, _reserved: reserved }
    }

    /// Starts one more process.
    pub fn start(&self) -> Process {
        Process::start(&self.config, &self.folder, None)
    }

    /// Starts one more process, which also serves Flight SQL at an address of its own.
    pub fn start_with_flight(&self) -> Process {
        let operator = self.folder.join("operator.kdl");
        std::fs::write(&operator, "flight {\n    listen \"127.0.0.1:0\"\n}\n").unwrap();
        Process::start(&self.config, &self.folder, Some(&operator))
    }

    /// Waits until only one process listens at the address for clients, and connects to it.
    pub async fn connect_to_only_listener(&self) -> Client {
        until("one process listens", || listening_sockets(self.listen.port()) == 1).await;
        Client::connect(self.listen).await
    }

    /// The file in which operator overrides are stored.
    pub fn override_file(&self) -> PathBuf {
        self.folder.join(format!("reedwalk-n0-127.0.0.1-{}.words", self.listen.port()))
    }
}

/// Number of sockets that listen on this port of an IPv4 address, as the kernel reports them.
fn listening_sockets(port: u16) -> usize {
    let local_port = format!(":{port:04X}");
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let is_listening = |line: &&str| {
        let fields: Vec<_> = line.split_whitespace().collect();
        fields[1].ends_with(&local_port) && fields[3] == TCP_LISTEN
    };
    table.lines().skip(1).filter(is_listening).count()
}

/// Load from clients that open a connection for each request and from clients that reuse their connection.
pub struct Load {
    counters: Arc<LoadCounters>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

#[derive(Default)]
struct LoadCounters {
    stop: AtomicBool,
    served: AtomicUsize,
    unanswered: AtomicUsize,
}

impl Load {
    /// Starts the load on this address.
    pub fn start(address: SocketAddr) -> Self {
        let counters: Arc<LoadCounters> = Arc::default();
        let client = |n| tokio::spawn(run_client(address, n, counters.clone()));
        let tasks = (0..CLIENTS).map(client).collect();
        Self { counters, tasks }
    }

    /// Waits until this many more requests have been served.
    pub async fn wait_for_served(&self, requests: usize) {
        let before = self.counters.served.load(Ordering::Relaxed);
        until("more requests are served", || {
            self.counters.served.load(Ordering::Relaxed) > before + requests
        })
        .await;
    }

    /// Stops the load; returns the number of requests that got no answer.
    pub async fn end(self) -> usize {
        self.counters.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.unwrap();
        }
        self.counters.unanswered.load(Ordering::Relaxed)
    }
}

/// Runs one client; clients with an even number reuse their connection.
async fn run_client(address: SocketAddr, number: usize, counters: Arc<LoadCounters>) {
    let (mut idle, reuses) = (None, number.is_multiple_of(2));
    for request_number in 0.. {
        if counters.stop.load(Ordering::Relaxed) {
            return;
        }
        let client = match idle.take() {
            Some(client) => Some(client),
            None => Client::try_connect_as(address, "app").await,
        };
        let Some(mut client) = client else {
            counters.unanswered.fetch_add(1, Ordering::Relaxed);
            continue;
        };
        match client.try_query(&lookup(number * 1_000_000 + request_number)).await {
            Some(Ok(_)) => {
                counters.served.fetch_add(1, Ordering::Relaxed);
            }
            Some(Err(error)) => panic!("rejected or failed: {error:?}"),
            // A request sent while the gateway closes a reused connection may be retried on a new one.
            None if reuses && request_number > 0 => continue,
            None => {
                counters.unanswered.fetch_add(1, Ordering::Relaxed);
            }
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
        idle = reuses.then_some(client);
    }
}
