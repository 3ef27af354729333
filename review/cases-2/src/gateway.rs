//! Starts the gateway with the `run` command of the deploy file, and ends it.

use crate::client::Client;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// How long a gateway may take until it answers its clients; the page "Deployment" allows 30 s.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// How long a console may take to answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A folder for the files of a run, which is removed at the end.
pub struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    /// Creates a folder with a new name.
    pub fn create() -> std::io::Result<Self> {
        let nanos = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let name = format!("reedwalk-case-{}-{}", std::process::id(), nanos.as_nanos());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path)?;
        Ok(Self(path))
    }

    /// The path of the folder.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Sends one line to a console and returns its answer.
pub fn call(console: SocketAddr, line: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(console)?;
    stream.set_read_timeout(Some(CALL_TIMEOUT))?;
    stream.write_all(format!("{line}\n").as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}

/// A running gateway, which is killed when it is dropped.
pub struct Gateway {
    child: Child,
    /// The address that clients connect to.
    pub address: SocketAddr,
}

/// An address on the loopback interface that nothing listens at.
pub fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Writes the id of a process that was started into the file from which `run-case-2.sh` ends what is left.
fn note_process(id: u32) -> std::io::Result<()> {
    match std::env::var_os("CASE_PROCESSES") {
        Some(path) => writeln!(File::options().append(true).open(path)?, "{id}"),
        None => Ok(()),
    }
}

/// What a gateway is started with.
pub struct Start<'a> {
    /// The address that clients connect to.
    pub address: SocketAddr,
    /// The configuration file.
    pub config: &'a Path,
    /// The address of the operators' console, which differs from process to process.
    pub console: Option<SocketAddr>,
    /// The operator's file, if one is used.
    pub operator: Option<&'a Path>,
    /// `TMPDIR` of the process.
    pub temp_dir: &'a Path,
    /// Where the log goes.
    pub log: &'a Path,
}

impl Gateway {
    /// Starts a gateway and waits until it answers a login.
    pub fn start(start: &Start<'_>) -> std::io::Result<Self> {
        // The `run` line of deploy/balancer.toml, which is started by /bin/sh -c from the root: `run.sh` of a case
        // changes to it.
        let mut command = "exec target/release/reedwalk serve".to_owned();
        if let Some(operator) = start.operator {
            command.push_str(&format!(" --operator {}", operator.display()));
        }
        let log = File::options().create(true).append(true).open(start.log)?;
        let child = Command::new("/bin/sh")
            .args(["-c", &command])
            .env("GW_CONFIG", start.config)
            .env("GW_LISTEN", start.address.to_string())
            .envs(start.console.map(|console| ("GW_CONSOLE", console.to_string())))
            .env("TMPDIR", start.temp_dir)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        note_process(child.id())?;
        let mut gateway = Self { child, address: start.address };
        let deadline = Instant::now() + READY_TIMEOUT;
        let is_ready = || match start.console {
            Some(console) => call(console, "HEALTH").is_ok_and(|answer| answer.starts_with("SUCCESS")),
            None => Client::connect(start.address).is_ok(),
        };
        while !is_ready() {
            if Instant::now() > deadline || gateway.child.try_wait()?.is_some() {
                return Err(std::io::Error::other("the gateway did not start"));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(gateway)
    }

    /// Sends SIGTERM, with which a planned restart begins.
    pub fn terminate(&self) -> std::io::Result<()> {
        let kill = format!("kill -TERM {}", self.child.id());
        Command::new("/bin/sh").args(["-c", &kill]).status().map(|_| ())
    }

    /// Kills the process outright.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// The id of the process.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
