//! Quotas, counted in each gateway or leased from a shared Redis.

mod support;

use reedwalk_gateway::message::{QuotaDecision, Rejection};
use reedwalk_gateway::operator::{BudgetStore, EngineProtocol, OperatorConfig};
use reedwalk_gateway::quotas::{Contract, QuotaManager};
use reedwalk_gateway::shared_store::SharedStoreOptions;
use reedwalk_gateway::shared_store::client::SharedStoreClient;
use reedwalk_scheduler::ClassId;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use support::flight::{Client as Flight, outcome, start_engine};
use support::mysql::{Client, fields};
use support::redis::{Fault, Redis, Value};
use support::{Outcome, TestBed, both_protocols, config, discard_log, gateway, resp, until, unused_address};

const HOUR_MS: u64 = 3_600_000;

/// A contract of the team `desk`: a lookup costs 1 unit, a statement costs 4.
fn contract(budget: u64, window_ms: u64) -> Contract {
    let cost = [("statement".to_owned(), 4)].into();
    let classes = vec!["lookup".into(), "statement".into()];
    Contract { team: "desk".into(), classes, budget, window_ms, cost }
}

/// A quota manager with long store timeouts, so that a short stall of the machine is not mistaken for a store failure.
fn quota_manager(contract: Contract, gateways: u32, redis: Option<SocketAddr>) -> Arc<QuotaManager> {
    let options = SharedStoreOptions { wait: Duration::from_secs(1), ..SharedStoreOptions::default() };
    quota_manager_with(contract, gateways, redis, options)
}

/// The quota manager of one of `gateways` gateways; without a store it counts its own requests only.
fn quota_manager_with(
    contract: Contract,
    gateways: u32,
    redis: Option<SocketAddr>,
    options: SharedStoreOptions,
) -> Arc<QuotaManager> {
    static INCARNATION: AtomicU64 = AtomicU64::new(1);
    let classes = ["lookup".to_owned(), "statement".into(), "batch-post".into()];
    let store = redis.map(|address| {
        let incarnation = INCARNATION.fetch_add(1, Ordering::Relaxed);
        let (url, window) = (format!("redis://{address}"), Duration::from_secs(12));
        Arc::new(SharedStoreClient::new(&url, options, incarnation, window, discard_log()).unwrap())
    });
    if let Some(store) = store.clone() {
        tokio::spawn(store.run());
    }
    let quotas = Arc::new(QuotaManager::new(&[contract], &classes, gateways, store).unwrap());
    tokio::spawn(quotas.clone().run());
    quotas
}

/// Charges one request of this class; returns whether it is admitted.
async fn try_charge(quotas: &Arc<QuotaManager>, class: usize) -> bool {
    let charge = quotas.quota_request(Some("desk"), ClassId(class)).unwrap();
    matches!(quotas.charge(&charge).await, QuotaDecision::Admitted(_))
}

/// Charges this many lookups; returns how many are admitted.
async fn count_admitted(quotas: &Arc<QuotaManager>, requests: usize) -> usize {
    let mut admitted = 0;
    for _ in 0..requests {
        admitted += usize::from(try_charge(quotas, 0).await);
    }
    admitted
}

/// Waits until more than 9 s of the current window are left, so that all charges of a test fall into one window.
async fn avoid_window_end() {
    let enough_time_left = || {
        let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        unix_ms % HOUR_MS < HOUR_MS - 9_000
    };
    until("a new window has begun", enough_time_left).await;
}

/// The units that the store has recorded as spent.
fn spent_in_store(redis: &Redis) -> Option<u64> {
    let contents = redis.save();
    let entry = contents.iter().find(|e| e.0.starts_with(b"reedwalk:1:budget:"))?.1;
    match &entry.value {
        Value::Text(text) => String::from_utf8_lossy(text).parse().ok(),
        Value::Hash(_) => None,
    }
}

#[tokio::test]
async fn contract_covers_its_classes_at_their_cost() {
    avoid_window_end().await;
    let quotas = quota_manager(contract(10, HOUR_MS), 1, None);
    assert_eq!(quotas.quota_request(Some("desk"), ClassId(2)), Err(Rejection::Contract));
    assert_eq!(quotas.quota_request(Some("others"), ClassId(0)), Err(Rejection::Contract));
    assert_eq!(quotas.quota_request(None, ClassId(0)), Err(Rejection::Contract));
    assert!(try_charge(&quotas, 1).await && try_charge(&quotas, 1).await);
    assert!(!try_charge(&quotas, 1).await, "four more units exceed the budget");
    assert_eq!(count_admitted(&quotas, 5).await, 2, "two more units do not");
}

#[tokio::test]
async fn exhausted_quota_has_retry_after_of_the_next_window() {
    let quotas = quota_manager(contract(0, HOUR_MS), 1, None);
    let charge = quotas.quota_request(Some("desk"), ClassId(0)).unwrap();
    let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let QuotaDecision::Exhausted(retry_after) = quotas.charge(&charge).await else {
        panic!("admitted without a budget")
    };
    let retry_at_ms = (unix_ms + retry_after.as_millis() as u64) % HOUR_MS;
    assert!(!(1000..=HOUR_MS - 1000).contains(&retry_at_ms), "{retry_at_ms}");
}

#[tokio::test]
async fn gateways_sharing_a_store_grant_a_quota_once_with_few_calls() {
    avoid_window_end().await;
    let redis = Redis::default();
    let address = redis.start().await;
    let gateways = [1, 2].map(|_| quota_manager(contract(640, HOUR_MS), 2, Some(address)));
    let (one, two) = tokio::join!(count_admitted(&gateways[0], 500), count_admitted(&gateways[1], 500));
    assert_eq!((one + two, spent_in_store(&redis)), (640, Some(640)));
    let lease_commands = redis.commands().iter().filter(|c| c.words[0] == "EVALSHA").count();
    assert!(lease_commands < 640 / 5, "{lease_commands} commands for 640 requests");
    let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let contents = redis.save();
    let budget = contents.iter().find(|e| e.0.starts_with(b"reedwalk:1:budget:")).unwrap().1;
    let expires = budget.expires_ms.unwrap();
    assert!(expires > unix_ms && expires <= unix_ms + HOUR_MS + 10_000);
}

#[tokio::test]
async fn idle_quota_units_are_returned() {
    avoid_window_end().await;
    let redis = Redis::default();
    let address = redis.start().await;
    let gateways = [1, 2].map(|_| quota_manager(contract(320, HOUR_MS), 2, Some(address)));
    assert!(try_charge(&gateways[0], 0).await);
    until("all units but one are returned", || spent_in_store(&redis) == Some(1)).await;
    assert_eq!(count_admitted(&gateways[1], 330).await, 319);
}

#[tokio::test]
async fn slow_store_grants_half_of_the_even_share() {
    avoid_window_end().await;
    let redis = Redis::default();
    redis.set_fault(Some(Fault::Frozen));
    let quotas = quota_manager_with(
        contract(80, HOUR_MS),
        4,
        Some(redis.start().await),
        SharedStoreOptions::default(),
    );
    let started = Instant::now();
    assert_eq!(count_admitted(&quotas, 40).await, 10, "half of a fourth of the budget");
    // After a few timeouts of 25 ms, not one for each of forty requests, the store is not asked for a while.
    assert!(started.elapsed() < Duration::from_millis(500), "{:?}", started.elapsed());
}

#[tokio::test]
async fn store_failure_midway_does_not_grant_the_share_twice() {
    avoid_window_end().await;
    let redis = Redis::default();
    let quotas = quota_manager(contract(80, HOUR_MS), 4, Some(redis.start().await));
    assert_eq!(count_admitted(&quotas, 9).await, 9);
    redis.set_fault(Some(Fault::DropBefore));
    let more = count_admitted(&quotas, 40).await;
    assert!(9 + more <= 12, "{more} more: leased units count");
    redis.set_fault(None);
    let deadline = Instant::now() + Duration::from_secs(10);
    while !try_charge(&quotas, 0).await {
        assert!(Instant::now() < deadline, "the store was never used again");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // A second gateway, with no listener at the address of its store.
    let store = unused_address().await;
    let quotas = quota_manager(contract(20, HOUR_MS), 2, Some(store));
    assert_eq!(count_admitted(&quotas, 30).await, 5);
}

#[tokio::test]
async fn exhausted_quota_is_rejected_alike_over_both_protocols() {
    avoid_window_end().await;
    let (mysql_engines, flight_engines) = (TestBed::default(), TestBed::default());
    let operator = |engine_protocol| OperatorConfig {
        contracts: Some(vec![contract(2, HOUR_MS)]),
        store: BudgetStore::Memory,
        ..both_protocols(engine_protocol)
    };
    let requests =
        [("lookup", "SELECT 1"), ("lookup", "SELECT 2"), ("lookup", "SELECT 3"), ("adjust", "SELECT 4")];
    let mysql_gateway = gateway(
        config(&[resp::start_engine("a", mysql_engines.clone()).await]),
        operator(EngineProtocol::Resp),
    )
    .await;
    let flight_gateway = gateway(
        config(&[start_engine("a", flight_engines.clone()).await]),
        operator(EngineProtocol::FlightSql),
    )
    .await;
    let mut mysql = Client::connect_as(mysql_gateway.mysql, "desk").await;
    let flight = Flight::connect(flight_gateway.flight.unwrap()).await;
    for (n, (class, statement)) in requests.into_iter().enumerate() {
        let expected = match n {
            0 | 1 => Outcome::Served,
            2 => Outcome::Rejected("BUDGET", true),
            _ => Outcome::Rejected("CONTRACT", false),
        };
        assert_eq!(mysql.outcome(&fields(class, 3000, None, statement)).await, expected);
        let flight = flight.with_class(class, None).with_header("reedwalk-team", "desk");
        assert_eq!(outcome(flight.query(statement).await), expected);
    }
    assert_eq!((mysql_engines.attempts_at("a"), flight_engines.attempts_at("a")), (2, 2));
}

#[tokio::test]
async fn rejected_request_that_never_ran_is_refunded() {
    avoid_window_end().await;
    let test_bed = TestBed::default();
    let operator =
        OperatorConfig { contracts: Some(vec![contract(2, HOUR_MS)]), ..OperatorConfig::default() };
    let running = gateway(config(&[resp::start_engine("a", test_bed.clone()).await]), operator).await;
    let mut client = Client::connect_as(running.mysql, "desk").await;
    for n in 0..4 {
        let rejected = client.outcome(&fields("lookup", 400, None, &format!("BUSY {n}"))).await;
        assert!(matches!(rejected, Outcome::Rejected("BUSY", _)), "{rejected:?}");
    }
    assert_eq!(client.outcome(&fields("lookup", 2000, None, "SELECT 1")).await, Outcome::Served);
    assert_eq!(client.outcome(&fields("lookup", 2000, None, "SELECT 2")).await, Outcome::Served);
    assert_eq!(
        client.outcome(&fields("lookup", 2000, None, "SELECT 3")).await,
        Outcome::Rejected("BUDGET", true)
    );
}

#[tokio::test]
async fn rejected_request_that_may_have_run_is_charged() {
    avoid_window_end().await;
    let test_bed = TestBed::default();
    let operator =
        OperatorConfig { contracts: Some(vec![contract(2, HOUR_MS)]), ..OperatorConfig::default() };
    let running = gateway(config(&[resp::start_engine("a", test_bed.clone()).await]), operator).await;
    let mut client = Client::connect_as(running.mysql, "desk").await;
    for n in 0..2 {
        let rejected = client.outcome(&fields("lookup", 400, None, &format!("ERROR {n}"))).await;
        assert!(matches!(rejected, Outcome::Rejected("BUSY", _)), "{rejected:?}");
    }
    assert!(test_bed.attempts_at("a") >= 2);
    assert_eq!(
        client.outcome(&fields("lookup", 2000, None, "SELECT 1")).await,
        Outcome::Rejected("BUDGET", true)
    );
}
