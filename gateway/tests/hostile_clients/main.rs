//! Gateway processes whose clients send incomplete, invalid or too many requests: the process stays within its memory
//! limit, and other clients get their answers in time.

#[path = "../support/mod.rs"]
mod support;

mod departed_clients;
mod flood;
mod http2;
mod incomplete_requests;

use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::mysql::{self, fields};
use support::process::{Process, ProcessConfig};
use support::{Outcome, TestBed, flight, folder, resp_engines};

/// How late nine in ten answers to ordinary clients may be beside a hostile one: the slack that the rules allow an answer
/// on sockets. The engines of these tests answer at once, so almost all of it is time in the gateway.
const MAX_USUAL_LATENCY: Duration = Duration::from_millis(70);
/// How late any answer may be: a later one counts as lost.
const MAX_LATENCY: Duration = Duration::from_millis(500);
/// The share of the answers that have the usual latency.
const USUAL_SHARE: f64 = 0.9;

/// Connections that the Flight SQL front accepts.
const FLIGHT_CONNECTIONS: usize = 64;

/// A gateway process with two engines, which serves both protocols.
struct Site {
    process: Process,
    test_bed: TestBed,
    memory_mb: u64,
}

impl Site {
    /// Starts a process with this memory limit and enough descriptors for hundreds of clients.
    async fn start(memory_mb: u64) -> Self {
        Self::start_on_cores(memory_mb, 1).await
    }

    /// As [`Self::start`], on several cores.
    async fn start_on_cores(memory_mb: u64, cores: usize) -> Self {
        let test_bed = TestBed::default();
        let folder = folder();
        let (config, operator) = (folder.join("config.json"), folder.join("operator.kdl"));
        let file =
            ProcessConfig { memory_mb, sockets: 1024, ..ProcessConfig::new(&resp_engines(&test_bed).await) };
        std::fs::write(&config, file.text()).unwrap();
        let flight = format!("flight {{\n listen \"127.0.0.1:0\"\n connections {FLIGHT_CONNECTIONS}\n}}\n");
        let settings = format!("cores {cores}\n{flight}");
        std::fs::write(&operator, settings).unwrap();
        Self { process: Process::start(&config, &folder, Some(&operator)), test_bed, memory_mb }
    }

    fn flight(&self) -> SocketAddr {
        self.process.flight.unwrap()
    }

    /// The largest resident memory of the process so far, in kilobytes.
    fn peak_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process.child.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    fn assert_within_memory_limit(&self) {
        let (peak_kb, limit_kb) = (self.peak_memory_kb(), self.memory_mb * 1024);
        println!("peak memory: {peak_kb} of {limit_kb} KB");
        assert!(peak_kb <= limit_kb, "the process would have been killed at {peak_kb} of {limit_kb} KB");
    }

    /// Asserts that an ordinary client of each protocol is served in time, several times in a row.
    async fn assert_serves_others(&self, requests: usize) {
        let mut latencies = Latencies::default();
        let mut mysql = mysql::Client::connect(self.process.mysql).await;
        let flight = flight::Client::connect(self.flight()).await.with_class("lookup", None);
        for n in 0..requests {
            let started = Instant::now();
            let outcome = mysql.outcome(&fields("lookup", 3000, None, &format!("SELECT {n}"))).await;
            assert_eq!(outcome, Outcome::Served);
            latencies.record(started);
            let started = Instant::now();
            let outcome = flight::outcome(flight.query(&format!("SELECT 1 + {n}")).await);
            assert_eq!(outcome, Outcome::Served);
            latencies.record(started);
        }
        latencies.assert_in_time();
    }
}

/// How long other clients waited for their answers.
#[derive(Default)]
struct Latencies(Vec<Duration>);

impl Latencies {
    fn record(&mut self, started: Instant) {
        self.0.push(started.elapsed());
    }

    fn assert_in_time(mut self) {
        self.0.sort_unstable();
        let usual = self.0[(self.0.len() as f64 * USUAL_SHARE) as usize];
        let longest = self.0[self.0.len() - 1];
        println!("{} answers: nine in ten within {usual:?}, all within {longest:?}", self.0.len());
        assert!(usual <= MAX_USUAL_LATENCY, "one in ten answers to other clients took {usual:?} or more");
        assert!(longest <= MAX_LATENCY, "an answer to another client took {longest:?}");
    }
}
