//! One front end as a process: started, stopped, woken, killed by its id, started again under the same name and address.
//! Its log is read with times, and what it costs is read from the system.

use reedwalk_testkit::config::settings;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A start that takes longer has failed.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Which program, and where its files go.
#[derive(Clone, Debug)]
pub struct Program {
    pub path: PathBuf,
    pub folder: PathBuf,
}

/// What one front end is told.
#[derive(Clone, Debug)]
pub struct Told {
    pub number: usize,
    pub count: usize,
    pub known: Value,
    pub names: Option<SocketAddr>,
    /// One address a front end, for its peers; empty where it is to know of none.
    pub peers: Vec<SocketAddr>,
    /// The operator's file, if any; `@state@` in it is the folder of this front end's memory.
    pub operator: Option<String>,
    /// Engines drop repeats of a key within their cell only.
    pub cells: bool,
    pub seed: u64,
}

type Lines = Arc<Mutex<Vec<(Instant, String)>>>;

struct Running {
    child: Child,
    log: Lines,
}

/// A front end; its process is ended by its id when this is dropped.
pub struct GatewayProcess {
    pub told: Told,
    program: Program,
    running: Option<Running>,
    /// Lines of processes that have ended.
    before: Vec<(Instant, String)>,
    /// The clients' address; the same from the first start on.
    pub address: SocketAddr,
    /// Its console, a new address with each process.
    pub console: SocketAddr,
    /// Where it sends to its peers from, if it does.
    pub peer: Option<SocketAddr>,
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        self.kill();
        for kind in ["json", "kdl"] {
            let _ = std::fs::remove_file(self.file(kind));
        }
    }
}

fn after<T: std::str::FromStr>(line: &str, name: &str) -> Option<T> {
    line.split(name).nth(1)?.split([',', ' ', ')']).next()?.trim().parse().ok()
}

impl GatewayProcess {
    /// A front end that has not been started yet.
    pub fn new(program: Program, told: Told) -> Self {
        let address = "127.0.0.1:0".parse().unwrap();
        Self { told, program, running: None, before: Vec::new(), address, console: address, peer: None }
    }

    fn file(&self, kind: &str) -> PathBuf {
        self.program.folder.join(format!("n{}.{kind}", self.told.number))
    }

    /// The folder of its memory, where it keeps one.
    pub fn state(&self) -> PathBuf {
        self.program.folder.join(format!("state-{}", self.told.number))
    }

    fn write(&self, path: &Path, text: &str) {
        std::fs::write(path, text).unwrap();
    }

    /// Starts its process; [`GatewayProcess::ready`] waits until it serves.
    pub fn start(&mut self) {
        assert!(self.running.is_none(), "it runs already");
        let mut settings = settings();
        settings["Balancers"] = json!(self.told.count);
        settings["Ordinal"] = json!(self.told.number);
        if self.told.cells {
            let classes = settings["RequestClasses"].as_array_mut().expect("classes");
            classes.iter_mut().for_each(|c| c["DedupScope"] = json!("cell"));
        }
        let config = json!({"name": format!("n{}", self.told.number), "listen": self.address,
            "seed": format!("{:x}", self.told.seed), "names": self.told.names, "known": self.told.known,
            "console": "127.0.0.1:0", "peer_listen": "127.0.0.1:0", "peers": self.told.peers, "settings": settings,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}});
        self.write(&self.file("json"), &config.to_string());
        let mut command = Command::new(&self.program.path);
        command.arg("serve").arg("--config").arg(self.file("json"));
        if let Some(operator) = &self.told.operator {
            let state = self.state().display().to_string();
            self.write(&self.file("kdl"), &operator.replace("@state@", &state));
            command.arg("--operator").arg(self.file("kdl"));
        }
        command
            .env_remove("GW_LISTEN")
            .env_remove("GW_NAME")
            .env_remove("GW_CONSOLE")
            .env_remove("GW_CONFIG");
        command.env("TMPDIR", &self.program.folder).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let log = Lines::default();
        let seen = log.clone();
        std::thread::Builder::new()
            .stack_size(128 * 1024)
            .spawn(move || {
                lines.map_while(Result::ok).for_each(|l| seen.lock().unwrap().push((Instant::now(), l)))
            })
            .unwrap();
        self.running = Some(Running { child, log });
    }

    /// Waits until it serves; `false` if its process has ended instead.
    fn serves(&mut self) -> bool {
        let by = Instant::now() + START_TIMEOUT;
        let knows = self.told.operator.as_ref().is_some_and(|o| o.contains("peers"));
        let running = self.running.as_mut().expect("it was started");
        loop {
            // Read before the log: what it said is all there once it has ended.
            let ended = running.child.try_wait().unwrap().is_some();
            let log = running.log.lock().unwrap().clone();
            let find = |what: &str| log.iter().find(|l| l.1.contains(what)).map(|l| l.1.clone());
            let (serving, peers) = (find("serving"), find("knows others"));
            if let Some(line) = serving.filter(|_| !knows || peers.is_some()) {
                self.address = after(&line, "mysql: ").unwrap();
                self.console = after(&line, "console: Some(").unwrap();
                self.peer = peers.and_then(|l| after(&l, "listen: "));
                return true;
            }
            if ended {
                return false;
            }
            assert!(Instant::now() < by, "n{} did not start: {log:?}", self.told.number);
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Waits until it serves. Its address may have been taken while it was away, for a moment; it is tried again.
    pub fn ready(&mut self) {
        for _ in 0..40 {
            if self.serves() {
                return;
            }
            self.collect();
            std::thread::sleep(Duration::from_millis(50));
            self.start();
        }
        panic!("n{} ends again and again: {:?}", self.told.number, self.before.last());
    }

    fn collect(&mut self) {
        if let Some(mut running) = self.running.take() {
            let _ = running.child.wait();
            self.before.append(&mut running.log.lock().unwrap());
        }
    }

    fn signal(&self, signal: Signal) -> bool {
        let Some(running) = &self.running else { return false };
        let pid = Pid::from_raw(running.child.id() as i32).expect("a process has an id");
        kill_process(pid, signal).is_ok()
    }

    /// Ends it at once.
    pub fn kill(&mut self) -> bool {
        let killed = self.signal(Signal::KILL);
        self.collect();
        killed
    }

    pub fn stop(&self) -> bool {
        self.signal(Signal::STOP)
    }

    pub fn wake(&self) -> bool {
        self.signal(Signal::CONT)
    }

    pub fn hang_up(&self) -> bool {
        self.signal(Signal::HUP)
    }

    pub fn runs(&self) -> bool {
        self.running.is_some()
    }

    /// Has its process ended by itself? Then how.
    pub fn crashed(&mut self) -> Option<String> {
        let status = self.running.as_mut()?.child.try_wait().unwrap()?;
        Some(format!("n{} ended: {status}", self.told.number))
    }

    /// All lines of its log, with times, over all its processes.
    pub fn log(&self) -> Vec<(Instant, String)> {
        let mut all = self.before.clone();
        all.extend(self.running.iter().flat_map(|r| r.log.lock().unwrap().clone()));
        all
    }

    /// When it first said something that holds one of these, from then on.
    pub fn said(&self, what: &[&str], since: Instant) -> Option<Instant> {
        let hit = |line: &str| what.iter().any(|w| line.contains(w));
        let find =
            |lines: &[(Instant, String)]| lines.iter().find(|l| l.0 >= since && hit(&l.1)).map(|l| l.0);
        find(&self.before).or_else(|| self.running.as_ref().and_then(|r| find(&r.log.lock().unwrap())))
    }

    /// How often it said something that holds this, from then on.
    pub fn times_said(&self, what: &str, since: Instant) -> usize {
        self.log().iter().filter(|l| l.0 >= since && l.1.contains(what)).count()
    }

    fn proc(&self, file: &str) -> Option<String> {
        let id = self.running.as_ref()?.child.id();
        std::fs::read_to_string(format!("/proc/{id}/{file}")).ok()
    }

    /// CPU time of its process so far, in milliseconds: fields 14 and 15 of its `stat`, in ticks of 10 ms.
    pub fn cpu_ms(&self) -> f64 {
        let stat = self.proc("stat").unwrap_or_default();
        let fields: Vec<_> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
        (ticks(11) + ticks(12)) * 10.0
    }

    /// Memory that it holds, in MB.
    pub fn memory_mb(&self) -> f64 {
        let status = self.proc("status").unwrap_or_default();
        let line = status.lines().find(|l| l.starts_with("VmRSS:"));
        line.and_then(|l| l.split_whitespace().nth(1)?.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
    }
}
