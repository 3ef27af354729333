//! The broker against engines that do anything: one final answer for each request, in time, and no effect twice.

mod support;

use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
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
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};

/// What the engines do with the attempts in turn: an outcome after some milliseconds, or nothing ever.
type Deeds = Vec<(u8, u64)>;

/// Orders in turn, each with the outcome that the engines gave it.
type Orders = Arc<Mutex<Vec<(AttemptRequest, Option<Outcome>)>>>;

#[derive(Clone)]
struct Engines {
    deeds: Deeds,
    orders: Orders,
    queue: mpsc::Sender<BrokerEvent>,
    /// Attempts that were given up; the test says when their engines have been told.
    stopped: Option<Arc<Mutex<Vec<AttemptId>>>>,
}

impl EngineTransport for Engines {
    fn set_endpoint(&mut self, _: EngineId, _: Option<EngineAddress>) {}

    fn start(&mut self, order: AttemptRequest, _: Instant) -> bool {
        let mut orders = self.orders.lock().unwrap();
        let (deed, after) = self.deeds[orders.len() % self.deeds.len()];
        let outcome = match deed {
            0..4 => Some(Outcome::Ok),
            4 => Some(Outcome::Rejected),
            5 => Some(Outcome::Error),
            6 => Some(Outcome::Reset),
            7 => Some(Outcome::ConnectFailed),
            _ => None,
        };
        let (id, queue) = (order.id, self.queue.clone());
        orders.push((order, outcome));
        if let Some(outcome) = outcome {
            tokio::spawn(async move {
                sleep(Duration::from_millis(after)).await;
                let rows = (outcome == Outcome::Ok).then(Rows::default);
                let end = AttemptResult { rows, ..outcome.into() };
                // Twice, and whether it was given up or not: only the first news of what is out may count.
                for _ in 0..2 {
                    let _ = queue
                        .send(BrokerEvent::Attempt { id, event: AttemptEvent::Ended(end.clone()) })
                        .await;
                }
            });
        }
        true
    }

    fn cancel(&mut self, key: AttemptId) -> bool {
        self.stopped.iter().for_each(|s| s.lock().unwrap().push(key));
        self.stopped.is_some()
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
        update: class == 2,
        statement: Bytes::from_static(b"SELECT 1"),
    }
}

/// A broker at work, with no engines listed yet.
struct Cluster {
    queue: mpsc::Sender<BrokerEvent>,
    request_queue: RequestQueue,
    endpoints: EndpointMailbox,
    orders: Orders,
    metrics: Arc<Metrics>,
    /// Held so that nothing is said to change.
    _alone: watch::Sender<CapacityShare>,
    _open: watch::Sender<Phase>,
}

fn cluster(deeds: Deeds) -> Cluster {
    start(deeds, &support::settings(), None)
}

fn start(deeds: Deeds, settings: &serde_json::Value, stopped: Option<Arc<Mutex<Vec<AttemptId>>>>) -> Cluster {
    let deployment = reedwalk_settings::read(settings).unwrap();
    let (queue, inputs) = mpsc::channel(QUEUE_CAPACITY);
    let orders = Orders::default();
    let engines = Engines { deeds, orders: orders.clone(), queue: queue.clone(), stopped };
    let gateway = Scheduler::new(deployment.core.clone(), 7).unwrap();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let metrics = Arc::new(Metrics::new(&deployment.sockets.classes));
    let (_alone, share) = watch::channel(CapacityShare::default());
    let (_open, phase) = watch::channel(Phase::Open);
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
    tokio::spawn(
        Broker::new(gateway, engines, &deployment, options, context, queue.clone(), log).run(inputs),
    );
    let request_queue = RequestQueue::new(queue.clone(), metrics.clone());
    Cluster { queue, request_queue, endpoints, orders, metrics, _alone, _open }
}

/// Three engines in service.
fn list(endpoints: &EndpointMailbox) {
    let endpoint = |n| Endpoint { entry: EngineEntry::new(EngineId(n)), address: ([127, 0, 0, 1], 1).into() };
    let update = |n| EndpointUpdate { endpoint: endpoint(n), drain_guard: DrainGuard::default() };
    endpoints.write((1..=3).map(update));
}

async fn play(requests: Vec<(usize, u64, u64)>, deeds: Deeds) {
    let cluster = cluster(deeds);
    list(&cluster.endpoints);
    let (request_queue, metrics, orders, start) =
        (&cluster.request_queue, &cluster.metrics, &cluster.orders, Instant::now());
    let waits = requests.into_iter().enumerate().map(|(n, (class, at, patience))| {
        let request_queue = request_queue.clone();
        tokio::spawn(async move {
            let arrives = start + Duration::from_millis(at);
            sleep_until(arrives).await;
            let deadline = arrives + Duration::from_millis(patience);
            let mut pending = request_queue.submit(request(n, class, deadline)).unwrap();
            assert!(pending.response().await.is_some(), "the broker has ended");
            // The rule's slack is 20 ms; the clock of this test stands still while anything runs.
            assert!(Instant::now() <= deadline + Duration::from_millis(20), "request {n} was answered late");
        })
    });
    for wait in waits.collect::<Vec<_>>() {
        wait.await.unwrap();
    }
    assert_eq!(metrics.pending(), 0);
    let orders = orders.lock().unwrap();
    for (at, (order, _)) in orders.iter().enumerate() {
        let earlier = || orders[..at].iter().filter(|o| o.0.trace_id == order.trace_id);
        assert!(earlier().count() < 3, "more attempts than are allowed");
        assert!(earlier().all(|o| o.0.idempotency_key == order.idempotency_key), "the key has changed");
        let never_ran = |o: &Option<Outcome>| o.is_some_and(Outcome::never_ran);
        assert!(order.class != ClassId(3) || earlier().all(|o| never_ran(&o.1)), "it may run twice");
    }
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(20_261_201),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: None,
        ..Config::with_cases(48)
    })]

    #[test]
    fn every_request_gets_one_answer_in_time_whatever_the_engines_do(
        requests in prop::collection::vec((0usize..4, 0u64..4000, 0u64..5000), 1..60),
        deeds in prop::collection::vec((0u8..10, 0u64..3000), 1..20),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
        runtime.block_on(play(requests, deeds));
    }
}

#[tokio::test]
async fn full_queue_rejects_at_once_with_retry_after() {
    let (queue, _inputs) = mpsc::channel(1);
    let request_queue = RequestQueue::new(queue, Arc::default());
    let _first = request_queue.submit(request(1, 0, Instant::now())).unwrap();
    let refused = request_queue.submit(request(2, 0, Instant::now())).unwrap_err();
    assert!(matches!(refused, Response::Rejected { reason: Rejection::Shed, retry_after: Some(_) }));
}

/// Two requests are held with no engine to go to, and the first one's client leaves while there is no room for the word.
async fn left_unheard_of() -> (Cluster, PendingResponse, Instant) {
    let cluster = cluster(vec![(0, 10)]);
    let deadline = Instant::now() + Duration::from_secs(3);
    let left = cluster.request_queue.submit(request(1, 0, deadline)).unwrap();
    let stays = cluster.request_queue.submit(request(2, 0, deadline)).unwrap();
    sleep(Duration::from_millis(20)).await;
    // The broker has no turn between these lines.
    while cluster.queue.try_send(BrokerEvent::LiveGateways(1.0)).is_ok() {}
    drop(left);
    (cluster, stays, deadline)
}

fn traces(cluster: &Cluster) -> Vec<Bytes> {
    cluster.orders.lock().unwrap().iter().map(|o| o.0.trace_id.clone()).collect()
}

#[tokio::test(start_paused = true)]
async fn disconnect_is_noticed_while_the_queue_is_full() {
    let (cluster, mut stays, deadline) = left_unheard_of().await;
    // Well before the module gives up waiting for an engine.
    sleep(Duration::from_millis(100)).await;
    // Nothing holds on to it: its id may be used again.
    let mut again = cluster.request_queue.submit(request(1, 0, deadline)).unwrap();
    list(&cluster.endpoints);
    assert!(matches!(stays.response().await, Some(Response::Served(_))), "held for the one that stays");
    assert!(
        matches!(again.response().await, Some(Response::Served(_))),
        "its id was held for one that had left"
    );
    assert_eq!(traces(&cluster).len(), 2);
}

#[tokio::test(start_paused = true)]
async fn nothing_is_sent_for_a_disconnected_client_before_it_is_noticed() {
    let (cluster, mut stays, _) = left_unheard_of().await;
    list(&cluster.endpoints);
    assert!(matches!(stays.response().await, Some(Response::Served(_))));
    assert_eq!(traces(&cluster), [Bytes::from(format!("{:016x}", 2))]);
}

#[tokio::test(start_paused = true)]
async fn without_second_copies_a_retry_waits_for_the_cancel_confirmation() {
    for second_copies in [false, true] {
        let mut settings = support::settings();
        settings["Limits"]["SecondCopies"] = second_copies.into();
        let stopped = Arc::new(Mutex::new(Vec::new()));
        // The first engine says nothing, and its attempt is called off; the next one serves.
        let cluster = start(vec![(9, 0), (0, 10)], &settings, Some(stopped.clone()));
        list(&cluster.endpoints);
        let deadline = Instant::now() + Duration::from_secs(6);
        let mut pending = cluster.request_queue.submit(request(1, 0, deadline)).unwrap();
        while stopped.lock().unwrap().is_empty() {
            assert!(Instant::now() < deadline, "never called off");
            sleep(Duration::from_millis(5)).await;
        }
        sleep(Duration::from_millis(100)).await;
        assert_eq!(
            traces(&cluster).len(),
            if second_copies { 2 } else { 1 },
            "second copies {second_copies}"
        );
        let key = stopped.lock().unwrap()[0];
        cluster
            .queue
            .try_send(BrokerEvent::Attempt { id: key, event: AttemptEvent::CancelConfirmed })
            .unwrap();
        assert!(matches!(pending.response().await, Some(Response::Served(_))));
        assert_eq!(traces(&cluster).len(), 2);
    }
}

#[tokio::test(start_paused = true)]
async fn unconfirmed_cancel_delays_no_answer() {
    let stopped = Arc::new(Mutex::new(Vec::new()));
    let cluster = start(vec![(9, 0)], &support::settings(), Some(stopped));
    list(&cluster.endpoints);
    let deadline = Instant::now() + Duration::from_secs(4);
    let mut pending = cluster.request_queue.submit(request(1, 0, deadline)).unwrap();
    assert!(pending.response().await.is_some());
    assert!(Instant::now() <= deadline + Duration::from_millis(20));
    assert_eq!(traces(&cluster).len(), 1);
    // Nothing of it is held on to: its id may be used again.
    sleep(Duration::from_millis(100)).await;
    let again = Instant::now() + Duration::from_secs(1);
    let mut pending = cluster.request_queue.submit(request(1, 0, again)).unwrap();
    assert!(!matches!(pending.response().await, Some(Response::Failed(Failure::IdInUse))));
}
