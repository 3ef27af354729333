//! A gateway as a process of the built program, as in production.

use super::{ANY_PORT, initial_endpoints, settings};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a process may take to exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);

/// The configuration file of a process.
pub struct ProcessConfig {
    /// The address for MySQL clients.
    pub listen: SocketAddr,
    /// The address of the console; without it the console is off.
    pub console: Option<SocketAddr>,
    /// The discovery server.
    pub discovery: Option<SocketAddr>,
    pub memory_mb: u64,
    pub sockets: usize,
    /// The engine list with which the process starts.
    pub known: Value,
    pub settings: Value,
}

impl ProcessConfig {
    /// Free ports, a console and no discovery server.
    pub fn new(engines: &[SocketAddr]) -> Self {
        let any_port = ANY_PORT.parse().unwrap();
        Self {
            listen: any_port,
            console: Some(any_port),
            discovery: None,
            memory_mb: 48,
            sockets: 256,
            known: initial_endpoints(engines),
            settings: settings(),
        }
    }

    /// The text of the file.
    pub fn text(&self) -> String {
        let mut config = json!({"name": "n0", "listen": self.listen, "seed": "8c1f30d27a5be964",
            "names": self.discovery,
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "known": self.known, "settings": self.settings});
        if let Some(console) = self.console {
            config["console"] = json!(console);
        }
        config.to_string()
    }
}

/// A gateway process. It is killed by its id when dropped, also when a test fails.
pub struct Process {
    pub child: Child,
    pub mysql: SocketAddr,
    pub flight: Option<SocketAddr>,
    console: Option<SocketAddr>,
    log: Arc<Mutex<Vec<String>>>,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Starts a process with this configuration file and reads its addresses from its log.
    pub fn start(config: &Path, folder: &Path, operator: Option<&Path>) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_reedwalk"));
        command.arg("serve").arg("--config").arg(config);
        if let Some(operator) = operator {
            command.arg("--operator").arg(operator);
        }
        command.env("TMPDIR", folder).env_remove("GW_LISTEN").env_remove("GW_CONSOLE");
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let log = Arc::new(Mutex::new(Vec::new()));
        let record = lines
            .by_ref()
            .map(Result::unwrap)
            .inspect(|l| log.lock().unwrap().push(l.clone()))
            .find(|l| l.contains("serving"))
            .expect("the process did not start");
        // Reads the log to its end, so that the process never blocks on a full pipe.
        let lines_read = log.clone();
        std::thread::spawn(move || lines.for_each(|l| lines_read.lock().unwrap().push(l.unwrap())));
        let Some(mysql) = address(&record, "mysql") else {
            let _ = child.kill();
            panic!("no address in the record: {record}");
        };
        let (flight, console) = (address(&record, "flight"), address(&record, "console"));
        Self { child, mysql, flight, console, log }
    }

    /// The address of its console.
    pub fn console(&self) -> SocketAddr {
        self.console.expect("this process has no console")
    }

    /// Sends the process a signal, given as for `kill`, such as `-TERM`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").arg(name).arg(self.child.id().to_string()).status().unwrap();
        assert!(status.success());
    }

    /// The number of lines of its log that contain this text.
    pub fn logged(&self, text: &str) -> usize {
        self.log.lock().unwrap().iter().filter(|l| l.contains(text)).count()
    }

    /// Waits until the process exits and returns its exit code; `None` if a signal ended it.
    pub async fn exit_code(&mut self) -> Option<i32> {
        let deadline = Instant::now() + EXIT_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            assert!(Instant::now() < deadline, "the process did not exit");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// The address under this key of the record "serving"; `None` if the key is absent or its server is off.
fn address(record: &str, key: &str) -> Option<SocketAddr> {
    let (_, value) = record.split_once(&format!("{key}: "))?;
    value.trim_start_matches("Some(").split([',', ')']).next()?.trim().parse().ok()
}
