//! The broker against engines that do anything: one final answer for each request, in time, and no effect twice.

mod support;

use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use reedwalk_core::{ClassId, EngineEntry, EngineId, Gateway, Outcome};
use reedwalk_gateway::broker::{
    Answer, Ask, AttemptKey, Beside, Broker, End, EngineLinks, Failure, Input, Intake, Listed, News, Order,
    QUEUE, Refusal, Roll, Rows, Shared, Ticket,
};
use reedwalk_gateway::engine::Gate;
use reedwalk_gateway::figures::Figures;
use reedwalk_gateway::shutdown::Phase;
use reedwalk_membership::Part;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};

/// What the engines do with the attempts in turn: an outcome after some milliseconds, or nothing ever.
type Deeds = Vec<(u8, u64)>;

/// Orders in turn, each with the outcome that the engines gave it.
type Orders = Arc<Mutex<Vec<(Order, Option<Outcome>)>>>;

#[derive(Clone)]
struct Engines {
    deeds: Deeds,
    orders: Orders,
    queue: mpsc::Sender<Input>,
    /// Attempts that were given up; the test says when their engines have been told.
    stopped: Option<Arc<Mutex<Vec<AttemptKey>>>>,
}

impl EngineLinks for Engines {
    fn place(&mut self, _: EngineId, _: Option<(SocketAddr, Gate)>) {}

    fn start(&mut self, order: Order, _: Instant) -> bool {
        let mut orders = self.orders.lock().unwrap();
        let (deed, after) = self.deeds[orders.len() % self.deeds.len()];
        let outcome = match deed {
            0..4 => Some(Outcome::Ok),
            4 => Some(Outcome::Full),
            5 => Some(Outcome::Error),
            6 => Some(Outcome::Reset),
            7 => Some(Outcome::ConnectFailed),
            _ => None,
        };
        let (key, queue) = (order.key, self.queue.clone());
        orders.push((order, outcome));
        if let Some(outcome) = outcome {
            tokio::spawn(async move {
                sleep(Duration::from_millis(after)).await;
                let rows = (outcome == Outcome::Ok).then(Rows::default);
                let end = End { rows, ..outcome.into() };
                // Twice, and whether it was given up or not: only the first news of what is out may count.
                for _ in 0..2 {
                    let _ = queue.send(Input::News(key, News::Ended(end.clone()))).await;
                }
            });
        }
        true
    }

    fn stop(&mut self, key: AttemptKey) -> bool {
        self.stopped.iter().for_each(|s| s.lock().unwrap().push(key));
        self.stopped.is_some()
    }

    fn boost(&mut self, _: AttemptKey, _: u8) {}
    fn over(&mut self, _: AttemptKey) {}
    fn share(&mut self, _: f64) {}
}

fn ask(n: usize, class: usize, deadline: Instant) -> Ask {
    Ask {
        trace: Bytes::from(format!("{n:016x}")),
        class: ClassId(class),
        team: None,
        deadline,
        repeated: false,
        nonce: (class == 2).then(|| Bytes::from(format!("key-{n}"))),
        work: Some(Duration::from_millis(200)),
        memory_mb: None,
        group: None,
        update: class == 2,
        statement: Bytes::from_static(b"SELECT 1"),
    }
}

/// A broker at work, with no engines listed yet.
struct Rig {
    queue: mpsc::Sender<Input>,
    intake: Intake,
    roll: Roll,
    orders: Orders,
    figures: Arc<Figures>,
    /// Held so that nothing is said to change.
    _alone: watch::Sender<Part>,
    _open: watch::Sender<Phase>,
}

fn rig(deeds: Deeds) -> Rig {
    start(deeds, &support::settings(), None)
}

fn start(deeds: Deeds, settings: &serde_json::Value, stopped: Option<Arc<Mutex<Vec<AttemptKey>>>>) -> Rig {
    let deployment = reedwalk_settings::read(settings).unwrap();
    let (queue, inputs) = mpsc::channel(QUEUE);
    let orders = Orders::default();
    let engines = Engines { deeds, orders: orders.clone(), queue: queue.clone(), stopped };
    let gateway = Gateway::new(deployment.core.clone(), 7).unwrap();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let figures = Arc::new(Figures::new(&deployment.sockets.classes));
    let (_alone, part) = watch::channel(Part::default());
    let (_open, phase) = watch::channel(Phase::Open);
    let shared =
        Shared { roll: Roll::default(), figures: figures.clone(), part, phase, keys: None, others: None };
    let (roll, broker) = (shared.roll.clone(), queue.clone());
    tokio::spawn(
        Broker::new(gateway, engines, &deployment, Beside::default(), shared, broker, log).run(inputs),
    );
    let intake = Intake::new(queue.clone(), figures.clone());
    Rig { queue, intake, roll, orders, figures, _alone, _open }
}

/// Three engines in service.
fn list(roll: &Roll) {
    let listed =
        (1..=3).map(|n| Listed { entry: EngineEntry::new(EngineId(n)), address: ([127, 0, 0, 1], 1).into() });
    let listed = listed.map(|l| (l, Gate::default()));
    roll.write(listed);
}

async fn play(requests: Vec<(usize, u64, u64)>, deeds: Deeds) {
    let rig = rig(deeds);
    list(&rig.roll);
    let (intake, figures, orders, start) = (&rig.intake, &rig.figures, &rig.orders, Instant::now());
    let waits = requests.into_iter().enumerate().map(|(n, (class, at, patience))| {
        let intake = intake.clone();
        tokio::spawn(async move {
            let arrives = start + Duration::from_millis(at);
            sleep_until(arrives).await;
            let deadline = arrives + Duration::from_millis(patience);
            let mut ticket = intake.ask(ask(n, class, deadline)).unwrap();
            assert!(ticket.answer().await.is_some(), "the broker has ended");
            // The rule's slack is 20 ms; the clock of this test stands still while anything runs.
            assert!(Instant::now() <= deadline + Duration::from_millis(20), "request {n} was answered late");
        })
    });
    for wait in waits.collect::<Vec<_>>() {
        wait.await.unwrap();
    }
    assert_eq!(figures.pending(), 0);
    let orders = orders.lock().unwrap();
    for (at, (order, _)) in orders.iter().enumerate() {
        let earlier = || orders[..at].iter().filter(|o| o.0.trace == order.trace);
        assert!(earlier().count() < 3, "more attempts than are allowed");
        assert!(earlier().all(|o| o.0.nonce == order.nonce), "the key has changed");
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
async fn a_full_queue_refuses_at_once_and_says_when_to_come_back() {
    let (queue, _inputs) = mpsc::channel(1);
    let intake = Intake::new(queue, Arc::default());
    let _first = intake.ask(ask(1, 0, Instant::now())).unwrap();
    let refused = intake.ask(ask(2, 0, Instant::now())).unwrap_err();
    assert!(matches!(refused, Answer::Refused { why: Refusal::Shed, retry_after: Some(_) }));
}

/// Two requests are held with no engine to go to, and the first one's client leaves while there is no room for the word.
async fn left_unheard_of() -> (Rig, Ticket, Instant) {
    let rig = rig(vec![(0, 10)]);
    let deadline = Instant::now() + Duration::from_secs(3);
    let left = rig.intake.ask(ask(1, 0, deadline)).unwrap();
    let stays = rig.intake.ask(ask(2, 0, deadline)).unwrap();
    sleep(Duration::from_millis(20)).await;
    // The broker has no turn between these lines.
    while rig.queue.try_send(Input::Living(1.0)).is_ok() {}
    drop(left);
    (rig, stays, deadline)
}

fn traces(rig: &Rig) -> Vec<Bytes> {
    rig.orders.lock().unwrap().iter().map(|o| o.0.trace.clone()).collect()
}

#[tokio::test(start_paused = true)]
async fn a_client_that_leaves_while_the_queue_is_full_is_noticed_all_the_same() {
    let (rig, mut stays, deadline) = left_unheard_of().await;
    // Well before the module gives up waiting for an engine.
    sleep(Duration::from_millis(100)).await;
    // Nothing holds on to it: its id may be used again.
    let mut again = rig.intake.ask(ask(1, 0, deadline)).unwrap();
    list(&rig.roll);
    assert!(matches!(stays.answer().await, Some(Answer::Served(_))), "held for the one that stays");
    assert!(matches!(again.answer().await, Some(Answer::Served(_))), "its id was held for one that had left");
    assert_eq!(traces(&rig).len(), 2);
}

#[tokio::test(start_paused = true)]
async fn nothing_is_sent_for_it_in_the_moment_before_that_either() {
    let (rig, mut stays, _) = left_unheard_of().await;
    list(&rig.roll);
    assert!(matches!(stays.answer().await, Some(Answer::Served(_))));
    assert_eq!(traces(&rig), [Bytes::from(format!("{:016x}", 2))]);
}

#[tokio::test(start_paused = true)]
async fn where_no_second_copy_is_allowed_the_next_attempt_waits_until_the_last_ones_engine_was_told() {
    for second_copies in [false, true] {
        let mut settings = support::settings();
        settings["Limits"]["SecondCopies"] = second_copies.into();
        let stopped = Arc::new(Mutex::new(Vec::new()));
        // The first engine says nothing, and its attempt is called off; the next one serves.
        let rig = start(vec![(9, 0), (0, 10)], &settings, Some(stopped.clone()));
        list(&rig.roll);
        let deadline = Instant::now() + Duration::from_secs(6);
        let mut ticket = rig.intake.ask(ask(1, 0, deadline)).unwrap();
        while stopped.lock().unwrap().is_empty() {
            assert!(Instant::now() < deadline, "never called off");
            sleep(Duration::from_millis(5)).await;
        }
        sleep(Duration::from_millis(100)).await;
        assert_eq!(traces(&rig).len(), if second_copies { 2 } else { 1 }, "second copies {second_copies}");
        let key = stopped.lock().unwrap()[0];
        rig.queue.try_send(Input::News(key, News::GivenUp)).unwrap();
        assert!(matches!(ticket.answer().await, Some(Answer::Served(_))));
        assert_eq!(traces(&rig).len(), 2);
    }
}

#[tokio::test(start_paused = true)]
async fn an_engine_that_can_never_be_told_holds_up_no_answer() {
    let stopped = Arc::new(Mutex::new(Vec::new()));
    let rig = start(vec![(9, 0)], &support::settings(), Some(stopped));
    list(&rig.roll);
    let deadline = Instant::now() + Duration::from_secs(4);
    let mut ticket = rig.intake.ask(ask(1, 0, deadline)).unwrap();
    assert!(ticket.answer().await.is_some());
    assert!(Instant::now() <= deadline + Duration::from_millis(20));
    assert_eq!(traces(&rig).len(), 1);
    // Nothing of it is held on to: its id may be used again.
    sleep(Duration::from_millis(100)).await;
    let again = Instant::now() + Duration::from_secs(1);
    let mut ticket = rig.intake.ask(ask(1, 0, again)).unwrap();
    assert!(!matches!(ticket.answer().await, Some(Answer::Failed(Failure::IdInUse))));
}
