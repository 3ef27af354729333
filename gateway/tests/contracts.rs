//! Contracts and budgets, in memory and in a stand-in for Redis.

mod support;

use reedwalk_core::ClassId;
use reedwalk_gateway::broker::Refusal;
use reedwalk_gateway::contracts::{Contract, Contracts, Verdict};
use reedwalk_gateway::operator::{EngineWire, Operator, Store as Place};
use reedwalk_gateway::store::{Memory, Redis, Spend, Store};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use support::flight::{Client as Flight, ended, engine};
use support::mysql::{Client, fields};
use support::redis::{Trouble, Value};
use support::{Ended, World, both_fronts, config, gateway, resp, until};

const HOUR_MS: u64 = 3_600_000;

fn contract(budget: u64, window_ms: u64) -> Contract {
    let cost = [("statement".to_owned(), 4)].into();
    let classes = vec!["lookup".into(), "statement".into()];
    Contract { team: "desk".into(), classes, budget, window_ms, cost }
}

fn contracts(contract: Contract, gateways: u32, url: Option<String>) -> Arc<Contracts> {
    let classes = ["lookup".to_owned(), "statement".into(), "batch-post".into()];
    let shared = url.map(|u| Box::new(Redis::new(&u).unwrap()) as Box<dyn Store>);
    let log = slog::Logger::root(slog::Discard, slog::o!());
    Arc::new(Contracts::new(&[contract], &classes, gateways, shared, log).unwrap())
}

async fn spend(contracts: &Contracts, class: usize) -> bool {
    let due = contracts.cover(Some("desk"), ClassId(class)).unwrap();
    contracts.spend(&due).await == Verdict::Admitted
}

async fn granted(contracts: &Contracts, tries: usize) -> usize {
    let mut granted = 0;
    for _ in 0..tries {
        granted += usize::from(spend(contracts, 0).await);
    }
    granted
}

/// Not in the last moments of a window, in which a test's spends could fall into two.
async fn early_in_the_window() {
    let early = || {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        unix % HOUR_MS < HOUR_MS - 9_000
    };
    until("a window has begun", early).await;
}

#[tokio::test]
async fn a_contract_covers_its_classes_at_their_cost() {
    early_in_the_window().await;
    let contracts = contracts(contract(10, HOUR_MS), 1, None);
    assert_eq!(contracts.cover(Some("desk"), ClassId(2)), Err(Refusal::Contract));
    assert_eq!(contracts.cover(Some("others"), ClassId(0)), Err(Refusal::Contract));
    assert_eq!(contracts.cover(None, ClassId(0)), Err(Refusal::Contract));
    assert!(spend(&contracts, 1).await && spend(&contracts, 1).await);
    assert!(!spend(&contracts, 1).await, "four more do not fit");
    assert_eq!(granted(&contracts, 5).await, 2, "two single ones do");
}

#[tokio::test]
async fn a_spent_budget_tells_when_the_next_window_begins() {
    let contracts = contracts(contract(0, HOUR_MS), 1, None);
    let due = contracts.cover(Some("desk"), ClassId(0)).unwrap();
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let Verdict::Spent(after) = contracts.spend(&due).await else { panic!("granted") };
    let ends = (unix + after.as_millis() as u64) % HOUR_MS;
    assert!(!(1000..=HOUR_MS - 1000).contains(&ends), "{ends}");
}

#[tokio::test]
async fn front_ends_that_share_a_redis_grant_a_budget_once() {
    early_in_the_window().await;
    let redis = support::redis::Redis::default();
    let url = format!("redis://{}", redis.start().await);
    let fronts = [1, 2].map(|_| contracts(contract(25, HOUR_MS), 2, Some(url.clone())));
    let (one, two) = tokio::join!(granted(&fronts[0], 20), granted(&fronts[1], 20));
    assert_eq!(one + two, 25);
    let keys = redis.save();
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    assert_eq!(keys.len(), 1);
    let entry = keys.values().next().unwrap();
    assert_eq!(entry.value, Value::Text(b"25".to_vec()), "what did not fit was taken back");
    let expires = entry.expires_ms.unwrap();
    assert!(expires > unix && expires <= unix + HOUR_MS + 10_000);
}

#[tokio::test]
async fn a_slow_redis_is_waited_for_shortly_and_then_the_local_share_holds() {
    early_in_the_window().await;
    let redis = support::redis::Redis::default();
    redis.trouble(Some(Trouble::Frozen));
    let url = format!("redis://{}", redis.start().await);
    let contracts = contracts(contract(20, HOUR_MS), 4, Some(url));
    let began = Instant::now();
    assert_eq!(granted(&contracts, 12).await, 5, "a fourth of the budget");
    // One wait of 50 ms, not twelve: after it the store rests.
    assert!(began.elapsed() < Duration::from_millis(500), "{:?}", began.elapsed());
}

#[tokio::test]
async fn a_redis_that_is_gone_leaves_the_local_share_and_counts_again_when_it_is_back() {
    early_in_the_window().await;
    let redis = support::redis::Redis::default();
    redis.trouble(Some(Trouble::Frozen));
    let url = format!("redis://{}", redis.start().await);
    let contracts = contracts(contract(20, HOUR_MS), 4, Some(url));
    assert_eq!(granted(&contracts, 12).await, 5);
    redis.trouble(None);
    let by = Instant::now() + Duration::from_secs(10);
    while redis.save().is_empty() {
        assert!(Instant::now() < by, "never asked again");
        spend(&contracts, 0).await;
        tokio::task::yield_now().await;
    }
    // Another front end closed its Redis altogether: nothing listens there.
    let gone = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let contracts = self::contracts(contract(20, HOUR_MS), 2, Some(format!("redis://{gone}")));
    assert_eq!(granted(&contracts, 30).await, 10);
}

#[tokio::test]
async fn budgets_in_memory_are_forgotten_after_their_window() {
    let memory = Memory::default();
    let by = tokio::time::Instant::now();
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    for n in 0..100 {
        let spend = Spend { key: format!("k{n}"), amount: 1, most: 1, expires_ms: unix.saturating_sub(1) };
        assert_eq!(memory.spend(&spend, by).await, Ok(true));
    }
    assert_eq!(memory.held_state(), 1);
}

#[tokio::test]
async fn overspending_is_refused_alike_on_both_fronts_before_anything_is_sent() {
    early_in_the_window().await;
    let (over_mysql, over_flight) = (World::default(), World::default());
    let operator = |engines| Operator {
        contracts: Some(vec![contract(2, HOUR_MS)]),
        store: Place::Memory,
        ..both_fronts(engines)
    };
    let asked =
        [("lookup", "SELECT 1"), ("lookup", "SELECT 2"), ("lookup", "SELECT 3"), ("adjust", "SELECT 4")];
    let one =
        gateway(config(&[resp::engine("a", over_mysql.clone()).await]), operator(EngineWire::Resp)).await;
    let two =
        gateway(config(&[engine("a", over_flight.clone()).await]), operator(EngineWire::FlightSql)).await;
    let mut mysql = Client::connect_as(one.mysql, "desk").await;
    let flight = Flight::connect(two.flight.unwrap()).await;
    for (n, (class, statement)) in asked.into_iter().enumerate() {
        let expected = match n {
            0 | 1 => Ended::Served,
            2 => Ended::Refused("BUDGET", true),
            _ => Ended::Refused("CONTRACT", false),
        };
        assert_eq!(mysql.ended(&fields(class, 3000, None, statement)).await, expected);
        let flight = flight.of(class, None).with("reedwalk-team", "desk");
        assert_eq!(ended(flight.ask(statement).await), expected);
    }
    assert_eq!((over_mysql.sends("a"), over_flight.sends("a")), (2, 2));
}
