//! The broker against engines of arbitrary behavior: each request gets one answer before its deadline, and no statement
//! that must not be repeated is sent again after it may have run.

mod support;

use bytes::Bytes;
use proptest::prelude::*;
use reedwalk_gateway::broker::{
    Broker, BrokerContext, BrokerOptions, PendingResponse, QUEUE_CAPACITY, RequestQueue,
};
use reedwalk_gateway::drain_guard::DrainGuard;
use reedwalk_gateway::message::{
    AttemptEvent, AttemptId, AttemptRequest, AttemptResult, BrokerEvent, Endpoint, EndpointMailbox,
    EndpointUpdate, EngineAddress, EngineTransport, Failure, Rejection, Request, Response, Rows,
};
use reedwalk_gateway::metrics::Metrics;
use reedwalk_gateway::shutdown::Phase;
use reedwalk_operations::CapacityShare;
use reedwalk_scheduler::{ClassId, EngineEntry, EngineId, Outcome, Scheduler};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use support::{discard_log, proptest_cases, settings};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};

/// How the engines answer the attempts in turn, starting over at the end: the code of an outcome (no answer from 8 on),
/// and its delay in milliseconds.
type Behaviors = Vec<(u8, u64)>;

/// The attempts in the order of their start, each with the outcome that the engines give it.
type StartedAttempts = Arc<Mutex<Vec<(AttemptRequest, Option<Outcome>)>>>;

/// A transport to engines that answer as the test prescribes.
#[derive(Clone)]
struct ScriptedEngines {
    behaviors: Behaviors,
    attempts: StartedAttempts,
    queue: mpsc::Sender<BrokerEvent>,
    /// The cancelled attempts, whose cancellations the test confirms; `None` if engines can't confirm a cancellation.
    cancelled: Option<Arc<Mutex<Vec<AttemptId>>>>,
}

impl EngineTransport for ScriptedEngines {
    fn set_endpoint(&mut self, _: EngineId, _: Option<EngineAddress>) {}

    fn start(&mut self, attempt: AttemptRequest, _: Instant) -> bool {
        let mut attempts = self.attempts.lock().unwrap();
        let (code, after_ms) = self.behaviors[attempts.len() % self.behaviors.len()];
        let outcome = match code {
            0..4 => Some(Outcome::Ok),
            4 => Some(Outcome::Rejected),
            5 => Some(Outcome::Error),
            6 => Some(Outcome::Reset),
            7 => Some(Outcome::ConnectFailed),
            _ => None,
        };
        let (id, queue) = (attempt.id, self.queue.clone());
        attempts.push((attempt, outcome));
        if let Some(outcome) = outcome {
            tokio::spawn(async move {
                sleep(Duration::from_millis(after_ms)).await;
                let rows = (outcome == Outcome::Ok).then(Rows::default);
                let result = AttemptResult { rows, ..outcome.into() };
                // Sent twice, also for a cancelled attempt: the broker must count only the first event of an attempt in
                // flight.
                for _ in 0..2 {
                    let _ = queue
                        .send(BrokerEvent::Attempt { id, event: AttemptEvent::Ended(result.clone()) })
                        .await;
                }
            });
        }
        true
    }

    fn cancel(&mut self, id: AttemptId) -> bool {
        self.cancelled.iter().for_each(|c| c.lock().unwrap().push(id));
        self.cancelled.is_some()
    }

    fn set_priority(&mut self, _: AttemptId, _: u8) {}
    fn release(&mut self, _: AttemptId) {}
    fn set_capacity_share(&mut self, _: f64) {}
}

fn request(n: usize, class: usize, deadline: Instant) -> Request {
    Request {
        trace_id: Bytes::from(format!("{n:016x}")),
        class: ClassId(class),
        team: None,
        deadline,
        is_retry: false,
        idempotency_key: (class == 2).then(|| Bytes::from(format!("key-{n}"))),
        work: Some(Duration::from_millis(200)),
        memory_mb: None,
        table_group: None,
        is_update: class == 2,
        statement: Bytes::from_static(b"SELECT 1"),
    }
}

/// A running broker, with no engines listed yet.
struct BrokerFixture {
    queue: mpsc::Sender<BrokerEvent>,
    request_queue: RequestQueue,
    endpoints: EndpointMailbox,
    attempts: StartedAttempts,
    metrics: Arc<Metrics>,
    /// Held so that the channels stay open.
    _share: watch::Sender<CapacityShare>,
    _phase: watch::Sender<Phase>,
}

fn start_broker(behaviors: Behaviors) -> BrokerFixture {
    start_broker_with(behaviors, &settings(), None)
}

fn start_broker_with(
    behaviors: Behaviors,
    settings: &serde_json::Value,
    cancelled: Option<Arc<Mutex<Vec<AttemptId>>>>,
) -> BrokerFixture {
    let deployment = reedwalk_settings::read(settings).unwrap();
    let (queue, events) = mpsc::channel(QUEUE_CAPACITY);
    let attempts = StartedAttempts::default();
    let engines = ScriptedEngines { behaviors, attempts: attempts.clone(), queue: queue.clone(), cancelled };
    let scheduler = Scheduler::new(deployment.scheduler.clone(), 7).unwrap();
    let metrics = Arc::new(Metrics::new(&deployment.sockets.classes));
    let (_share, share) = watch::channel(CapacityShare::default());
    let (_phase, phase) = watch::channel(Phase::Serving);
    let endpoints = EndpointMailbox::default();
    let context = BrokerContext {
        endpoints: endpoints.clone(),
        metrics: metrics.clone(),
        share,
        phase,
        shared_store: None,
        gossip: None,
    };
    let options = BrokerOptions::default();
    let broker = Broker::new(scheduler, engines, &deployment, options, context, queue.clone(), discard_log());
    tokio::spawn(broker.run(events));
    let request_queue = RequestQueue::new(queue.clone(), metrics.clone());
    BrokerFixture { queue, request_queue, endpoints, attempts, metrics, _share, _phase }
}

/// Adds three engines in service to the endpoint list.
fn list_engines(endpoints: &EndpointMailbox) {
    let endpoint = |n| Endpoint { entry: EngineEntry::new(EngineId(n)), address: ([127, 0, 0, 1], 1).into() };
    let update = |n| EndpointUpdate { endpoint: endpoint(n), drain_guard: DrainGuard::default() };
    endpoints.put((1..=3).map(update));
}

/// Submits requests, each with a class, an arrival and a timeout in milliseconds, and checks answers and attempts.
async fn run_requests(requests: Vec<(usize, u64, u64)>, behaviors: Behaviors) {
    let broker = start_broker(behaviors);
    list_engines(&broker.endpoints);
    let start = Instant::now();
    let clients = requests.into_iter().enumerate().map(|(n, (class, arrival_ms, timeout_ms))| {
        let request_queue = broker.request_queue.clone();
        tokio::spawn(async move {
            let arrival = start + Duration::from_millis(arrival_ms);
            sleep_until(arrival).await;
            let deadline = arrival + Duration::from_millis(timeout_ms);
            let mut pending = request_queue.submit(request(n, class, deadline)).unwrap();
            assert!(pending.response().await.is_some(), "the broker has ended without an answer");
            // An answer may be 20 ms late; the paused clock of this test advances only while all tasks wait.
            assert!(Instant::now() <= deadline + Duration::from_millis(20), "request {n} was answered late");
        })
    });
    for client in clients.collect::<Vec<_>>() {
        client.await.unwrap();
    }
    assert_eq!(broker.metrics.pending(), 0);
    let attempts = broker.attempts.lock().unwrap();
    for (index, (attempt, _)) in attempts.iter().enumerate() {
        let earlier = || attempts[..index].iter().filter(|a| a.0.trace_id == attempt.trace_id);
        assert!(earlier().count() < 3, "more than three attempts");
        assert!(
            earlier().all(|a| a.0.idempotency_key == attempt.idempotency_key),
            "a retry has another idempotency key"
        );
        let never_ran = |outcome: &Option<Outcome>| outcome.is_some_and(Outcome::never_ran);
        assert!(
            attempt.class != ClassId(3) || earlier().all(|a| never_ran(&a.1)),
            "retried although the statement may have run"
        );
    }
}

proptest! {
    #![proptest_config(proptest_cases(48))]

    #[test]
    fn every_request_gets_one_answer_before_its_deadline(
        requests in prop::collection::vec((0usize..4, 0u64..4000, 0u64..5000), 1..60),
        behaviors in prop::collection::vec((0u8..10, 0u64..3000), 1..20),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
        runtime.block_on(run_requests(requests, behaviors));
    }
}

#[tokio::test]
async fn full_queue_rejects_at_once_with_retry_after() {
    let (queue, _events) = mpsc::channel(1);
    let request_queue = RequestQueue::new(queue, Arc::default());
    let _first = request_queue.submit(request(1, 0, Instant::now())).unwrap();
    let rejected = request_queue.submit(request(2, 0, Instant::now())).unwrap_err();
    assert!(matches!(rejected, Response::Rejected { reason: Rejection::Shed, retry_after: Some(_) }));
}

/// Two requests are queued because no engine is listed; the client of the first disconnects while the broker's event
/// queue is full.
async fn disconnect_with_full_queue() -> (BrokerFixture, PendingResponse, Instant) {
    let broker = start_broker(vec![(0, 10)]);
    let deadline = Instant::now() + Duration::from_secs(3);
    let abandoned = broker.request_queue.submit(request(1, 0, deadline)).unwrap();
    let other = broker.request_queue.submit(request(2, 0, deadline)).unwrap();
    sleep(Duration::from_millis(20)).await;
    // Nothing is awaited from here on, so the broker can't empty its queue before the disconnect.
    while broker.queue.try_send(BrokerEvent::LiveGateways(1.0)).is_ok() {}
    drop(abandoned);
    (broker, other, deadline)
}

/// The trace ids of all attempts.
fn attempt_traces(broker: &BrokerFixture) -> Vec<Bytes> {
    broker.attempts.lock().unwrap().iter().map(|a| a.0.trace_id.clone()).collect()
}

#[tokio::test(start_paused = true)]
async fn disconnect_is_noticed_while_the_queue_is_full() {
    let (broker, mut other, deadline) = disconnect_with_full_queue().await;
    // Short enough that the scheduler does not shed requests that wait for an engine yet.
    sleep(Duration::from_millis(100)).await;
    // The broker has removed the request: its id may be used again.
    let mut resubmitted = broker.request_queue.submit(request(1, 0, deadline)).unwrap();
    list_engines(&broker.endpoints);
    assert!(
        matches!(other.response().await, Some(Response::Served(_))),
        "the request of the client that stays is served"
    );
    assert!(
        matches!(resubmitted.response().await, Some(Response::Served(_))),
        "the id of an abandoned request is free"
    );
    assert_eq!(attempt_traces(&broker).len(), 2);
}

#[tokio::test(start_paused = true)]
async fn no_attempt_is_sent_for_a_disconnect_that_is_not_yet_noticed() {
    let (broker, mut other, _) = disconnect_with_full_queue().await;
    list_engines(&broker.endpoints);
    assert!(matches!(other.response().await, Some(Response::Served(_))));
    assert_eq!(attempt_traces(&broker), [Bytes::from(format!("{:016x}", 2))]);
}

#[tokio::test(start_paused = true)]
async fn without_hedging_a_retry_waits_for_the_cancel_confirmation() {
    for hedging in [false, true] {
        let mut settings = settings();
        settings["Limits"]["SecondCopies"] = hedging.into();
        let cancelled = Arc::new(Mutex::new(Vec::new()));
        // The first attempt gets no answer and is cancelled; the next one is served.
        let broker = start_broker_with(vec![(9, 0), (0, 10)], &settings, Some(cancelled.clone()));
        list_engines(&broker.endpoints);
        let deadline = Instant::now() + Duration::from_secs(6);
        let mut pending = broker.request_queue.submit(request(1, 0, deadline)).unwrap();
        while cancelled.lock().unwrap().is_empty() {
            assert!(Instant::now() < deadline, "the attempt was never cancelled");
            sleep(Duration::from_millis(5)).await;
        }
        sleep(Duration::from_millis(100)).await;
        assert_eq!(attempt_traces(&broker).len(), if hedging { 2 } else { 1 }, "hedging {hedging}");
        let attempt = cancelled.lock().unwrap()[0];
        broker
            .queue
            .try_send(BrokerEvent::Attempt { id: attempt, event: AttemptEvent::CancelConfirmed })
            .unwrap();
        assert!(matches!(pending.response().await, Some(Response::Served(_))));
        assert_eq!(attempt_traces(&broker).len(), 2);
    }
}

#[tokio::test(start_paused = true)]
async fn unconfirmed_cancel_delays_no_answer() {
    let cancelled = Arc::new(Mutex::new(Vec::new()));
    let broker = start_broker_with(vec![(9, 0)], &settings(), Some(cancelled));
    list_engines(&broker.endpoints);
    let deadline = Instant::now() + Duration::from_secs(4);
    let mut pending = broker.request_queue.submit(request(1, 0, deadline)).unwrap();
    assert!(pending.response().await.is_some());
    assert!(Instant::now() <= deadline + Duration::from_millis(20));
    assert_eq!(attempt_traces(&broker).len(), 1);
    // The broker has removed the request: its id may be used again.
    sleep(Duration::from_millis(100)).await;
    let new_deadline = Instant::now() + Duration::from_secs(1);
    let mut pending = broker.request_queue.submit(request(1, 0, new_deadline)).unwrap();
    assert!(!matches!(pending.response().await, Some(Response::Failed(Failure::IdInUse))));
}
