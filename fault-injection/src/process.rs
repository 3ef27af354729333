//! A gateway that runs as an operating system process: it is started, paused, resumed and killed by its id, and restarted with
//! the same name and address. Log lines are recorded with their read times; CPU time and memory are read from `/proc`.

use reedwalk_testkit::config::settings;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Lines};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A process that does not serve within this time fails the run.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum start attempts until a process serves: another process may briefly hold its address while it is not running.
const MAX_START_ATTEMPTS: usize = 40;
/// Delay between the exit of a process that did not serve and its next start.
const START_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Interval at which the log is searched while a process starts.
const START_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Stack size of a log reader thread, in bytes; small because hundreds of them run at once.
const LOG_READER_STACK_BYTES: usize = 128 * 1024;

/// A free port of the loopback interface, chosen by the operating system.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Resource limits in the configuration of a gateway process.
const LIMIT_CORES: f64 = 1.0;
const LIMIT_MEMORY_MB: u64 = 192;
const LIMIT_SOCKETS: u64 = 1024;

/// Length of a tick of the CPU times in `/proc/PID/stat`, in milliseconds.
const CPU_TICK_MS: f64 = 10.0;
/// Indexes of the fields of `/proc/PID/stat` after the program name: CPU ticks in user mode and in kernel mode.
const USER_TICKS_FIELD: usize = 11;
const KERNEL_TICKS_FIELD: usize = 12;
const KB_PER_MB: f64 = 1024.0;

/// The placeholder of the gateway's state folder in an operator's file.
pub(crate) const STATE_FOLDER_PLACEHOLDER: &str = "@state@";

/// The gateway program that a process runs, and the folder of its files.
#[derive(Clone, Debug)]
pub struct Program {
    /// The executable file.
    pub path: PathBuf,
    /// Folder for configurations, operator's files and state folders.
    pub folder: PathBuf,
}

/// The configuration of one gateway.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// Its position among the gateways of the cluster, from 0.
    pub number: usize,
    /// Gateways of the cluster.
    pub gateways: usize,
    /// The discovery server's events that it starts with, as the platform writes them.
    pub initial_events: Value,
    /// The discovery server, if there is one.
    pub discovery_server: Option<SocketAddr>,
    /// Gossip address of each gateway; empty if gossip is off.
    pub gossip_addresses: Vec<SocketAddr>,
    /// The operator's file, if any; `@state@` in it stands for the gateway's state folder.
    pub operator_file: Option<String>,
    /// Whether engines deduplicate requests with an idempotency key only within their cell.
    pub deduplicates_by_cell: bool,
    /// Seed of the gateway's random decisions.
    pub seed: u64,
}

/// A line of a gateway's log.
#[derive(Clone, Debug)]
pub struct LogLine {
    /// Time at which it was read.
    pub at: Instant,
    /// Its text, without the line break.
    pub text: String,
}

struct RunningProcess {
    child: Child,
    log: Arc<Mutex<Vec<LogLine>>>,
}

/// A gateway. Its process is killed by its id when this is dropped.
pub struct GatewayProcess {
    /// Its configuration, which is written at each start.
    pub config: GatewayConfig,
    program: Program,
    running: Option<RunningProcess>,
    /// The log of processes that have ended.
    earlier_log: Vec<LogLine>,
    /// The address for its clients, which stays the same after the first start.
    pub address: SocketAddr,
    /// The address of its console, which changes with each process.
    pub console: SocketAddr,
    /// The address that it sends gossip from, if it does.
    pub gossip_address: Option<SocketAddr>,
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        self.kill();
        for extension in ["json", "kdl"] {
            let _ = std::fs::remove_file(self.file(extension));
        }
    }
}

/// The value that follows `name` in a log line, up to the next separator.
fn value_after<T: std::str::FromStr>(line: &str, name: &str) -> Option<T> {
    let rest = line.split(name).nth(1)?;
    rest.split([',', ' ', ')']).next()?.trim().parse().ok()
}

impl GatewayProcess {
    /// A gateway that has not been started.
    pub fn new(program: Program, config: GatewayConfig) -> Self {
        Self {
            config,
            program,
            running: None,
            earlier_log: Vec::new(),
            address: ANY_PORT,
            console: ANY_PORT,
            gossip_address: None,
        }
    }

    fn file(&self, extension: &str) -> PathBuf {
        self.program.folder.join(format!("n{}.{extension}", self.config.number))
    }

    /// The folder of its persistent state, if its operator's file sets one.
    pub fn state_folder(&self) -> PathBuf {
        self.program.folder.join(format!("state-{}", self.config.number))
    }

    /// The text of its configuration file.
    fn config_text(&self) -> String {
        let config = &self.config;
        let mut settings = settings();
        settings["Balancers"] = json!(config.gateways);
        settings["Ordinal"] = json!(config.number);
        if config.deduplicates_by_cell {
            let classes = settings["RequestClasses"].as_array_mut().expect("a list of classes");
            for class in classes {
                class["DedupScope"] = json!("cell");
            }
        }
        let text = json!({
            "name": format!("n{}", config.number),
            "listen": self.address,
            "seed": format!("{:x}", config.seed),
            "names": config.discovery_server,
            "known": config.initial_events,
            "console": "127.0.0.1:0",
            "peer_listen": "127.0.0.1:0",
            "peers": config.gossip_addresses,
            "settings": settings,
            "limits": {"cores": LIMIT_CORES, "memory_mb": LIMIT_MEMORY_MB, "sockets": LIMIT_SOCKETS},
        });
        text.to_string()
    }

    /// The command that starts the process, after its files have been written.
    fn command(&self) -> Command {
        let config_file = self.file("json");
        write_file(&config_file, &self.config_text());
        let mut command = Command::new(&self.program.path);
        command.arg("serve").arg("--config").arg(config_file);
        if let Some(operator_file) = &self.config.operator_file {
            let state_folder = self.state_folder().display().to_string();
            let path = self.file("kdl");
            write_file(&path, &operator_file.replace(STATE_FOLDER_PLACEHOLDER, &state_folder));
            command.arg("--operator").arg(path);
        }
        for variable in ["GW_LISTEN", "GW_NAME", "GW_CONSOLE", "GW_CONFIG"] {
            command.env_remove(variable);
        }
        command.env("TMPDIR", &self.program.folder);
        command.stdout(Stdio::null()).stderr(Stdio::piped());
        command
    }

    /// Starts its process. [`GatewayProcess::wait_until_serving`] waits until it serves.
    ///
    /// # Panics
    /// Panics if it is already running, or can't be started.
    pub fn start(&mut self) {
        assert!(self.running.is_none(), "gateway {} is already running", self.config.number);
        let mut child = self.command().spawn().expect("failed to start the gateway program");
        let lines =
            BufReader::new(child.stderr.take().expect("the standard error stream is not piped")).lines();
        let log = Arc::default();
        spawn_log_reader(lines, Arc::clone(&log));
        self.running = Some(RunningProcess { child, log });
    }

    /// Waits until its process serves, and reads its addresses from the log; `false` if the process has ended instead.
    fn wait_for_start(&mut self) -> bool {
        let deadline = Instant::now() + START_TIMEOUT;
        let has_gossip = self.config.operator_file.as_ref().is_some_and(|text| text.contains("peers"));
        let running = self.running.as_mut().expect("the process was started");
        loop {
            // The end is checked before the log is read: the log of a process that has ended is complete.
            let has_ended =
                running.child.try_wait().expect("failed to query the exit status of the process").is_some();
            let log = running.log.lock().unwrap().clone();
            let find =
                |text: &str| log.iter().find(|line| line.text.contains(text)).map(|line| line.text.clone());
            let (serving, gossip) = (find("serving"), find("gossip started"));
            if let Some(line) = serving.filter(|_| !has_gossip || gossip.is_some()) {
                self.address = value_after(&line, "mysql: ").expect("the log line has no client address");
                self.console =
                    value_after(&line, "console: Some(").expect("the log line has no console address");
                self.gossip_address = gossip.and_then(|line| value_after(&line, "listen: "));
                return true;
            }
            if has_ended {
                return false;
            }
            assert!(
                Instant::now() < deadline,
                "gateway {} did not start in time: {log:?}",
                self.config.number
            );
            std::thread::sleep(START_POLL_INTERVAL);
        }
    }

    /// Waits until its process serves. A process that exits instead is started again, since another process may have held its
    /// address briefly.
    ///
    /// # Panics
    /// Panics if it does not serve in time, or ends too often.
    pub fn wait_until_serving(&mut self) {
        for _ in 0..MAX_START_ATTEMPTS {
            if self.wait_for_start() {
                return;
            }
            self.collect_log();
            std::thread::sleep(START_RETRY_DELAY);
            self.start();
        }
        panic!("gateway {} exited at every start: {:?}", self.config.number, self.earlier_log.last());
    }

    /// Waits until its process has exited and keeps its log.
    fn collect_log(&mut self) {
        if let Some(mut running) = self.running.take() {
            let _ = running.child.wait();
            self.earlier_log.append(&mut running.log.lock().unwrap());
        }
    }

    /// Sends a signal; returns whether there was a process to receive it.
    fn signal(&self, signal: Signal) -> bool {
        let Some(running) = &self.running else { return false };
        let pid = Pid::from_raw(running.child.id() as i32).expect("a process has an id");
        kill_process(pid, signal).is_ok()
    }

    /// Kills its process with SIGKILL and waits for its end; returns whether there was one.
    pub fn kill(&mut self) -> bool {
        let was_running = self.signal(Signal::KILL);
        self.collect_log();
        was_running
    }

    /// Suspends its process with SIGSTOP; returns whether there is one.
    pub fn pause(&self) -> bool {
        self.signal(Signal::STOP)
    }

    /// Continues its process with SIGCONT; returns whether there is one.
    pub fn resume(&self) -> bool {
        self.signal(Signal::CONT)
    }

    /// Asks its process with SIGHUP to reload its configuration; returns whether there is one.
    pub fn reload(&self) -> bool {
        self.signal(Signal::HUP)
    }

    /// Whether its process was started and not killed.
    pub fn is_running(&self) -> bool {
        self.running.is_some()
    }

    /// The exit status of a process that has exited on its own, as text.
    ///
    /// # Panics
    /// Panics if the operating system can't tell.
    pub fn crash_report(&mut self) -> Option<String> {
        let status = self
            .running
            .as_mut()?
            .child
            .try_wait()
            .expect("failed to query the exit status of the process")?;
        Some(format!("gateway {} ended: {status}", self.config.number))
    }

    /// The log of all its processes.
    ///
    /// # Panics
    /// Panics if the reader of the log has panicked.
    pub fn log(&self) -> Vec<LogLine> {
        let mut log = self.earlier_log.clone();
        if let Some(running) = &self.running {
            log.extend(running.log.lock().unwrap().clone());
        }
        log
    }

    /// Time of the first log line at `since` or later that contains one of these texts.
    ///
    /// # Panics
    /// Panics if the reader of the log has panicked.
    pub fn first_logged(&self, texts: &[&str], since: Instant) -> Option<Instant> {
        let is_match =
            |line: &&LogLine| line.at >= since && texts.iter().any(|text| line.text.contains(text));
        let find = |log: &[LogLine]| log.iter().find(is_match).map(|line| line.at);
        let running = || find(&self.running.as_ref()?.log.lock().unwrap());
        find(&self.earlier_log).or_else(running)
    }

    /// How many lines at `since` or later contain this text.
    ///
    /// # Panics
    /// Panics if the reader of the log has panicked.
    pub fn count_logged(&self, text: &str, since: Instant) -> usize {
        self.log().iter().filter(|line| line.at >= since && line.text.contains(text)).count()
    }

    fn read_proc(&self, file: &str) -> Option<String> {
        let id = self.running.as_ref()?.child.id();
        std::fs::read_to_string(format!("/proc/{id}/{file}")).ok()
    }

    /// CPU time of its process so far, in milliseconds; 0 without a process.
    pub fn cpu_ms(&self) -> f64 {
        let stat = self.read_proc("stat").unwrap_or_default();
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<_> = after_name.split_whitespace().collect();
        let ticks =
            |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
        (ticks(USER_TICKS_FIELD) + ticks(KERNEL_TICKS_FIELD)) * CPU_TICK_MS
    }

    /// Resident memory of its process, in MB; 0 without a process.
    pub fn memory_mb(&self) -> f64 {
        let status = self.read_proc("status").unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
        kilobytes.unwrap_or(0.0) / KB_PER_MB
    }
}

fn write_file(path: &Path, text: &str) {
    std::fs::write(path, text).expect("the folder is writable");
}

/// Reads a log on a dedicated thread until the process closes it.
fn spawn_log_reader(lines: Lines<BufReader<ChildStderr>>, log: Arc<Mutex<Vec<LogLine>>>) {
    let read = move || {
        for text in lines.map_while(Result::ok) {
            log.lock().unwrap().push(LogLine { at: Instant::now(), text });
        }
    };
    let reader = std::thread::Builder::new().stack_size(LOG_READER_STACK_BYTES).spawn(read);
    reader.expect("failed to start the log reader thread");
}
