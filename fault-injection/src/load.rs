//! An open-loop load on the gateways of a cluster: arrivals at each gateway are sampled from a seed, independent of responses.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use reedwalk_testkit::load_generator::{IdleState, RequestOutcome, Session};
use reedwalk_testkit::mysql::packet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::timeout_at;

/// Maximum number of idle sessions to a gateway. Concurrent requests open more, which are closed afterwards.
const MAX_IDLE_SESSIONS: usize = 4;
/// Time that a client waits for a response beyond the timeout of its request.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);
/// Delay between two attempts of a client that reconnects.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(150);
/// Time for open requests to complete after the end of the load; a request that takes longer fails the run.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which the number of open requests is checked.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Default timeout of a request, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 4_000;
/// Default standard deviation of the natural logarithm of the work.
const DEFAULT_WORK_LOG_STD_DEV: f64 = 0.5;
/// Number of schemas over which the queries are distributed.
const SCHEMAS: u64 = 64;
/// Increment between the seeds of gateways: 2^64 divided by the golden ratio.
const SEED_STEP: u64 = 0x9E37_79B9_7F4A_7C15;

/// A class of requests of the load.
struct RequestClass {
    /// Its route, which names the class to the gateway.
    route: &'static str,
    threads: f64,
    /// Its requests carry an idempotency key.
    has_idempotency_key: bool,
}

/// In the order of [`Load::class_shares`].
const CLASSES: [RequestClass; 3] = [
    RequestClass { route: "lookup", threads: 1.0, has_idempotency_key: false },
    RequestClass { route: "statement", threads: 3.0, has_idempotency_key: false },
    RequestClass { route: "batch-post", threads: 2.0, has_idempotency_key: true },
];

/// The load on a cluster.
#[derive(Clone, Debug)]
pub struct Load {
    /// Requests per second at each gateway.
    pub rates: Vec<f64>,
    /// Shares of lookups, statements and requests with an idempotency key.
    pub class_shares: [f64; 3],
    /// Median of the work of a request, in milliseconds on one core.
    pub median_work_ms: f64,
    /// Standard deviation of the natural logarithm of the work.
    pub work_log_std_dev: f64,
    /// Timeout of each request, in milliseconds.
    pub timeout_ms: u64,
    /// A client whose keyed request loses its connection, or is rejected on a later attempt, tries again with the same key
    /// until this long after its first attempt; `None` disables retries.
    pub retry_window: Option<Duration>,
    /// Seed of the arrivals, classes and works.
    pub seed: u64,
}

impl Load {
    /// Lookups at each of `gateways` gateways: `rate` requests per second, each with a median of `median_work_ms`.
    pub fn lookups(gateways: usize, rate: f64, median_work_ms: f64, seed: u64) -> Self {
        Self {
            rates: vec![rate; gateways],
            class_shares: [1.0, 0.0, 0.0],
            median_work_ms,
            work_log_std_dev: DEFAULT_WORK_LOG_STD_DEV,
            timeout_ms: DEFAULT_TIMEOUT_MS,
            retry_window: None,
            seed,
        }
    }

    /// Starts the load on the gateways at these addresses; its tasks run on `runtime` until [`RunningLoad::end`].
    pub fn start(&self, addresses: &[SocketAddr], runtime: &Handle) -> RunningLoad {
        let addresses = addresses.iter().copied().map(Some).collect();
        let running = RunningLoad {
            records: Arc::default(),
            addresses: Arc::new(Mutex::new(addresses)),
            is_active: Arc::new(watch::channel(true).0),
            open_requests: Arc::default(),
            unsolicited_responses: Arc::default(),
        };
        for gateway in 0..self.rates.len() {
            runtime.spawn(send_requests(self.clone(), gateway, running.clone()));
        }
        running
    }
}

/// One request as its client saw it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// When its first attempt was sent.
    pub sent_at: Instant,
    /// The gateway that it was sent to.
    pub gateway: usize,
    /// The trace id of its last attempt.
    pub trace: String,
    /// Its idempotency key, if it has one.
    pub key: Option<String>,
    /// Attempts of the client, the first included.
    pub attempts: usize,
    /// How its last attempt ended.
    pub outcome: RequestOutcome,
    /// From the first attempt to the end of the last one.
    pub latency: Duration,
}

/// A load that is running, or has ended. Clones share the load.
#[derive(Clone)]
pub struct RunningLoad {
    records: Arc<Mutex<Vec<RequestRecord>>>,
    /// The address at which clients reach each gateway; `None` if they send it no requests.
    addresses: Arc<Mutex<Vec<Option<SocketAddr>>>>,
    is_active: Arc<watch::Sender<bool>>,
    open_requests: Arc<AtomicUsize>,
    unsolicited_responses: Arc<AtomicUsize>,
}

impl RunningLoad {
    /// Sets the address at which clients reach a gateway from now on; with `None` they send it no more requests.
    ///
    /// # Panics
    /// Panics if a task of the load has panicked, or there is no such gateway.
    pub fn set_address(&self, gateway: usize, address: Option<SocketAddr>) {
        self.addresses.lock().unwrap()[gateway] = address;
    }

    fn address(&self, gateway: usize) -> Option<SocketAddr> {
        self.addresses.lock().unwrap()[gateway]
    }

    /// Ends the load, waits until the last request has ended, and returns all of its requests.
    ///
    /// # Panics
    /// Panics if a request does not end in time.
    pub fn end(&self) -> Vec<RequestRecord> {
        self.is_active.send_replace(false);
        let deadline = Instant::now() + DRAIN_TIMEOUT;
        while self.open_requests.load(Ordering::Acquire) > 0 {
            assert!(Instant::now() < deadline, "requests are still open after the drain timeout");
            std::thread::sleep(DRAIN_POLL_INTERVAL);
        }
        self.records.lock().unwrap().clone()
    }

    /// Sessions that received something while no request was open, such as a second response. Only sessions that were
    /// checked for reuse are counted.
    pub fn unsolicited_responses(&self) -> usize {
        self.unsolicited_responses.load(Ordering::Acquire)
    }
}

/// Idle sessions of the clients of one gateway. Clones share them.
#[derive(Clone)]
struct SessionPool {
    idle: Arc<Mutex<Vec<(SocketAddr, Session)>>>,
    unsolicited_responses: Arc<AtomicUsize>,
}

impl SessionPool {
    /// Takes an open session to this address, if there is one. Unusable sessions are closed.
    fn take(&self, address: SocketAddr) -> Option<Session> {
        let mut sessions = self.idle.lock().unwrap();
        sessions.retain(|(session_address, session)| {
            let state = session.idle_state();
            if state == IdleState::Unsolicited {
                self.unsolicited_responses.fetch_add(1, Ordering::AcqRel);
            }
            *session_address == address && state == IdleState::Open
        });
        sessions.pop().map(|(_, session)| session)
    }

    fn put_back(&self, address: SocketAddr, session: Session) {
        let mut sessions = self.idle.lock().unwrap();
        if sessions.len() < MAX_IDLE_SESSIONS {
            sessions.push((address, session));
        }
    }
}

/// One request, as sampled.
struct Request {
    class: &'static RequestClass,
    work_ms: f64,
    /// Number from which its trace ids and its idempotency key are derived.
    number: u64,
}

/// Samples the arrivals at one gateway.
struct ArrivalSampler {
    rng: StdRng,
    interarrival_seconds: Exp<f64>,
    work_ms: LogNormal<f64>,
    class_shares: [f64; 3],
}

impl ArrivalSampler {
    /// `None` where nothing arrives at this gateway.
    fn new(load: &Load, gateway: usize) -> Option<Self> {
        let rate = load.rates[gateway];
        if rate <= 0.0 {
            return None;
        }
        let gateway_seed = load.seed ^ (gateway as u64 + 1).wrapping_mul(SEED_STEP);
        Some(Self {
            rng: StdRng::seed_from_u64(gateway_seed),
            interarrival_seconds: Exp::new(rate).unwrap(),
            work_ms: LogNormal::new(load.median_work_ms.ln(), load.work_log_std_dev).unwrap(),
            class_shares: load.class_shares,
        })
    }

    /// Samples the time until the next arrival.
    fn interarrival_time(&mut self) -> Duration {
        Duration::from_secs_f64(self.interarrival_seconds.sample(&mut self.rng))
    }

    fn request(&mut self) -> Request {
        let class = self.class();
        let work_ms = self.work_ms.sample(&mut self.rng);
        Request { class, work_ms, number: self.rng.random::<u64>() }
    }

    fn class(&mut self) -> &'static RequestClass {
        let mut remaining = self.rng.random::<f64>() * self.class_shares.iter().sum::<f64>();
        let index = self.class_shares.iter().position(|share| {
            remaining -= share;
            remaining < 0.0
        });
        &CLASSES[index.unwrap_or(0)]
    }
}

/// Sends the requests of one gateway's clients until the load ends.
async fn send_requests(load: Load, gateway: usize, running: RunningLoad) {
    let Some(mut sampler) = ArrivalSampler::new(&load, gateway) else { return };
    let unsolicited_responses = running.unsolicited_responses.clone();
    let sessions = SessionPool { idle: Arc::default(), unsolicited_responses };
    let mut next_arrival = tokio::time::Instant::now();
    let mut is_active = running.is_active.subscribe();
    loop {
        next_arrival += sampler.interarrival_time();
        let request = sampler.request();
        tokio::select! {
            () = tokio::time::sleep_until(next_arrival) => {}
            _ = is_active.wait_for(|is_active| !*is_active) => return,
        }
        let Some(address) = running.address(gateway) else { continue };
        let client = Client {
            gateway,
            timeout_ms: load.timeout_ms,
            retry_window: load.retry_window,
            running: running.clone(),
            sessions: sessions.clone(),
        };
        running.open_requests.fetch_add(1, Ordering::AcqRel);
        tokio::spawn(async move {
            let record = client.send(&request, address).await;
            client.running.records.lock().unwrap().push(record);
            client.running.open_requests.fetch_sub(1, Ordering::AcqRel);
        });
    }
}

/// The client of one request.
struct Client {
    gateway: usize,
    timeout_ms: u64,
    retry_window: Option<Duration>,
    running: RunningLoad,
    sessions: SessionPool,
}

impl Client {
    /// Sends a request and retries it within the retry window.
    async fn send(&self, request: &Request, address: SocketAddr) -> RequestRecord {
        let sent_at = Instant::now();
        let key = request.class.has_idempotency_key.then(|| format!("{:032x}", request.number));
        let retry_deadline = self.retry_window.filter(|_| key.is_some()).map(|window| sent_at + window);
        let (mut attempts, mut address) = (0, Some(address));
        loop {
            attempts += 1;
            // Each attempt has its own trace id.
            let trace = format!("{:016x}", request.number.wrapping_add(attempts as u64 - 1));
            let query = self.query(request, &trace, key.as_deref(), attempts > 1);
            let outcome = match address {
                Some(address) => self.attempt(address, &query).await,
                None => RequestOutcome::Lost,
            };
            let is_retryable =
                outcome == RequestOutcome::Lost || attempts > 1 && outcome != RequestOutcome::Served;
            if !is_retryable || retry_deadline.is_none_or(|deadline| Instant::now() >= deadline) {
                let (gateway, latency) = (self.gateway, sent_at.elapsed());
                return RequestRecord { sent_at, gateway, trace, key, attempts, outcome, latency };
            }
            tokio::time::sleep(RECONNECT_INTERVAL).await;
            address = self.running.address(self.gateway);
        }
    }

    /// The packet of one attempt, with the fields of its leading comment.
    fn query(&self, request: &Request, trace: &str, key: Option<&str>, is_retry: bool) -> Vec<u8> {
        let Request { class, work_ms, number } = request;
        let RequestClass { route, threads, .. } = class;
        let nonce = key.map_or(String::new(), |key| format!(",nonce={key}"));
        let redo = if is_retry { ",redo=1" } else { "" };
        let (patience, schema) = (self.timeout_ms, number % SCHEMAS);
        let text = format!(
            "/* route={route},trace={trace},patience={patience}{nonce}{redo},weight={work_ms:.1},space=16 */ \
             SELECT a, b, c FROM sales_{schema}.orders WHERE WORK {work_ms:.3} THREADS {threads} ",
        );
        packet(0, &[&[3], text.as_bytes()].concat())
    }

    /// One attempt, on an idle session or a new one.
    async fn attempt(&self, address: SocketAddr, query: &[u8]) -> RequestOutcome {
        let timeout = Duration::from_millis(self.timeout_ms) + RESPONSE_GRACE;
        let deadline = tokio::time::Instant::now() + timeout;
        let idle_session = self.sessions.take(address);
        let exchange = async {
            let mut session = match idle_session {
                Some(session) => session,
                None => Session::open(address).await?,
            };
            let outcome = session.query(query).await?;
            Some((session, outcome))
        };
        match timeout_at(deadline, exchange).await.ok().flatten() {
            Some((session, outcome)) => {
                self.sessions.put_back(address, session);
                outcome
            }
            None => RequestOutcome::Lost,
        }
    }
}
