//! A gateway process, started with the command of the deploy file.

use crate::Record;
use crate::site::{run_command, work_folder};
use reedwalk_testkit::console;
use std::fs::OpenOptions;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long a process may take until it serves. The platform waits 30 s.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two calls of `HEALTH`.
const HEALTH_INTERVAL: Duration = Duration::from_millis(20);

/// A gateway process; it is killed by its id when dropped.
#[derive(Debug)]
pub struct Process {
    /// Its name in the record.
    pub name: &'static str,
    child: Child,
    /// Its console, if its configuration or environment turns that on.
    pub console: Option<SocketAddr>,
}

/// How to start a process.
#[derive(Clone, Copy, Debug)]
pub struct Start<'a> {
    /// Its name in the record.
    pub name: &'static str,
    /// Its configuration file.
    pub config: &'a Path,
    /// Its operator's file.
    pub operator: Option<&'a Path>,
    /// Its `TMPDIR`.
    pub temporary_folder: &'a Path,
    /// Whether it gets a console, on a free port.
    pub has_console: bool,
}

impl Start<'_> {
    /// Starts the process, waits until it logs that it serves, and records it.
    ///
    /// # Panics
    ///
    /// If it doesn't start.
    pub async fn run(self, record: &Record) -> Process {
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command(self.operator)).stderr(Stdio::piped());
        command.env_remove("GW_NAME").env_remove("GW_LISTEN").env_remove("GW_CONSOLE");
        command.env("GW_CONFIG", self.config).env("TMPDIR", self.temporary_folder);
        if self.has_console {
            command.env("GW_CONSOLE", "127.0.0.1:0");
        }
        let mut child = command.spawn().expect("the program can't be started");
        let mut pids = OpenOptions::new().create(true).append(true).open(work_folder().join("pids"));
        let _ = pids.as_mut().map(|pids| writeln!(pids, "{}", child.id()));
        let lines = BufReader::new(child.stderr.take().expect("no log")).lines();
        let (serving, started) = mpsc::channel();
        let log = work_folder().join(format!("{}.log", self.name));
        std::thread::spawn(move || {
            let mut file = std::fs::File::create(log).expect("the log can't be written");
            for line in lines.map_while(Result::ok) {
                let _ = writeln!(file, "{line}");
                if line.contains("INFO serving") {
                    let _ = serving.send(line);
                }
            }
        });
        let deadline = Instant::now() + START_TIMEOUT;
        let line = loop {
            match started.try_recv() {
                Ok(line) => break line,
                Err(_) if Instant::now() < deadline => sleep(HEALTH_INTERVAL).await,
                Err(_) => {
                    let _ = child.kill();
                    panic!("{} does not serve", self.name)
                }
            }
        };
        record.line(&format!(
            "{}: started, process {}: {}",
            self.name,
            child.id(),
            run_command(self.operator)
        ));
        Process { name: self.name, child, console: address(&line, "console") }
    }
}

impl Process {
    /// The id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until `HEALTH` on its console is answered with yes.
    ///
    /// # Panics
    ///
    /// If it has no console, or does not say yes.
    pub async fn wait_for_health(&self, record: &Record) {
        let address = self.console.expect("no console");
        let deadline = Instant::now() + START_TIMEOUT;
        while !console::succeeds(address, "HEALTH").await {
            assert!(Instant::now() < deadline, "{} does not say yes", self.name);
            sleep(HEALTH_INTERVAL).await;
        }
        record.line(&format!("{}: HEALTH answers SUCCESS", self.name));
    }

    /// Sends it a signal, such as `-TERM`.
    ///
    /// # Panics
    ///
    /// If the signal can't be sent.
    pub fn signal(&self, signal: &str, record: &Record) {
        let status = Command::new("kill").arg(signal).arg(self.child.id().to_string()).status();
        assert!(status.is_ok_and(|status| status.success()), "kill {signal} failed");
        record.line(&format!("{}: signal {signal}", self.name));
    }

    /// Its exit status as text, if it has ended.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The address under this key of the record "serving"; `None` if its server is off.
fn address(line: &str, key: &str) -> Option<SocketAddr> {
    let (_, value) = line.split_once(&format!("{key}: "))?;
    value.trim_start_matches("Some(").split([',', ')']).next()?.trim().parse().ok()
}
