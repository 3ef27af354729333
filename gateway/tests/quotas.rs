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

/// A contract of the team `desk` for lookups at a cost of 1 and statements at a cost of 4.
fn contract(budget: u64, window_ms: u64) -> Contract {
    let cost = [("statement".to_owned(), 4)].into();
    let classes = vec!["lookup".into(), "statement".into()];
    Contract { team: "desk".into(), classes, budget, window_ms, cost }
}

/// A quota manager with long store timeouts, so that a machine that stalls for a moment is not taken for a failing store.
fn quota_manager(contract: Contract, gateways: u32, redis: Option<SocketAddr>) -> Arc<QuotaManager> {
    let options = SharedStoreOptions { wait: Duration::from_secs(1), ..SharedStoreOptions::default() };
    quota_manager_with(contract, gateways, redis, options)
}

/// A quota manager of one of so many gateways; without a store it counts by itself.
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

/// Charges one request of this class; is it admitted?
async fn spend(quotas: &Arc<QuotaManager>, class: usize) -> bool {
    let charge = quotas.quota_request(Some("desk"), ClassId(class)).unwrap();
    matches!(quotas.charge(&charge).await, QuotaDecision::Admitted(_))
}

/// How many of so many lookups are admitted.
async fn granted(quotas: &Arc<QuotaManager>, requests: usize) -> usize {
    let mut granted = 0;
    for _ in 0..requests {
        granted += usize::from(spend(quotas, 0).await);
    }
    granted
}

/// Waits out the last seconds of a window, so that all charges of a test fall into one.
async fn early_in_the_window() {
    let early = || {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        unix % HOUR_MS < HOUR_MS - 9_000
    };
    until("a window has begun", early).await;
}

/// The units that the store counts as spent.
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
    early_in_the_window().await;
    let quotas = quota_manager(contract(10, HOUR_MS), 1, None);
    assert_eq!(quotas.quota_request(Some("desk"), ClassId(2)), Err(Rejection::Contract));
    assert_eq!(quotas.quota_request(Some("others"), ClassId(0)), Err(Rejection::Contract));
    assert_eq!(quotas.quota_request(None, ClassId(0)), Err(Rejection::Contract));
    assert!(spend(&quotas, 1).await && spend(&quotas, 1).await);
    assert!(!spend(&quotas, 1).await, "four more units exceed the budget");
    assert_eq!(granted(&quotas, 5).await, 2, "two more units do not");
}

#[tokio::test]
async fn exhausted_quota_has_retry_after_of_the_next_window() {
    let quotas = quota_manager(contract(0, HOUR_MS), 1, None);
    let charge = quotas.quota_request(Some("desk"), ClassId(0)).unwrap();
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let QuotaDecision::Exhausted(after) = quotas.charge(&charge).await else { panic!("granted") };
    let retry_at = (unix + after.as_millis() as u64) % HOUR_MS;
    assert!(!(1000..=HOUR_MS - 1000).contains(&retry_at), "{retry_at}");
}

#[tokio::test]
async fn gateways_sharing_a_store_grant_a_quota_once_with_few_calls() {
    early_in_the_window().await;
    let redis = Redis::default();
    let address = redis.start().await;
    let gateways = [1, 2].map(|_| quota_manager(contract(640, HOUR_MS), 2, Some(address)));
    let (one, two) = tokio::join!(granted(&gateways[0], 500), granted(&gateways[1], 500));
    assert_eq!((one + two, spent_in_store(&redis)), (640, Some(640)));
    let leases = redis.commands().iter().filter(|c| c.words[0] == "EVALSHA").count();
    assert!(leases < 640 / 5, "{leases} commands for 640 requests");
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let contents = redis.save();
    let budget = contents.iter().find(|e| e.0.starts_with(b"reedwalk:1:budget:")).unwrap().1;
    let expires = budget.expires_ms.unwrap();
    assert!(expires > unix && expires <= unix + HOUR_MS + 10_000);
}

#[tokio::test]
async fn idle_quota_units_are_returned() {
    early_in_the_window().await;
    let redis = Redis::default();
    let address = redis.start().await;
    let gateways = [1, 2].map(|_| quota_manager(contract(320, HOUR_MS), 2, Some(address)));
    assert!(spend(&gateways[0], 0).await);
    until("all units but one are returned", || spent_in_store(&redis) == Some(1)).await;
    assert_eq!(granted(&gateways[1], 330).await, 319);
}

#[tokio::test]
async fn slow_store_grants_half_of_the_even_share() {
    early_in_the_window().await;
    let redis = Redis::default();
    redis.set_fault(Some(Fault::Frozen));
    let quotas = quota_manager_with(
        contract(80, HOUR_MS),
        4,
        Some(redis.start().await),
        SharedStoreOptions::default(),
    );
    let started = Instant::now();
    assert_eq!(granted(&quotas, 40).await, 10, "half of a fourth of the budget");
    // A few timeouts of 25 ms, not forty: after those the store is not asked for a while.
    assert!(started.elapsed() < Duration::from_millis(500), "{:?}", started.elapsed());
}

#[tokio::test]
async fn store_failure_midway_does_not_grant_the_share_twice() {
    early_in_the_window().await;
    let redis = Redis::default();
    let quotas = quota_manager(contract(80, HOUR_MS), 4, Some(redis.start().await));
    assert_eq!(granted(&quotas, 9).await, 9);
    redis.set_fault(Some(Fault::DropBefore));
    let more = granted(&quotas, 40).await;
    assert!(9 + more <= 12, "{more} more: leased units count");
    redis.set_fault(None);
    let deadline = Instant::now() + Duration::from_secs(10);
    while !spend(&quotas, 0).await {
        assert!(Instant::now() < deadline, "the store was never used again");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // Another gateway, whose store does not listen at all.
    let store = unused_address().await;
    let quotas = quota_manager(contract(20, HOUR_MS), 2, Some(store));
    assert_eq!(granted(&quotas, 30).await, 5);
}

#[tokio::test]
async fn exhausted_quota_is_rejected_alike_over_both_protocols() {
    early_in_the_window().await;
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
    early_in_the_window().await;
    let test_bed = TestBed::default();
    let operator =
        OperatorConfig { contracts: Some(vec![contract(2, HOUR_MS)]), ..OperatorConfig::default() };
    let running = gateway(config(&[resp::start_engine("a", test_bed.clone()).await]), operator).await;
    let mut client = Client::connect_as(running.mysql, "desk").await;
    for n in 0..4 {
        let end = client.outcome(&fields("lookup", 400, None, &format!("BUSY {n}"))).await;
        assert!(matches!(end, Outcome::Rejected("BUSY", _)), "{end:?}");
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
    early_in_the_window().await;
    let test_bed = TestBed::default();
    let operator =
        OperatorConfig { contracts: Some(vec![contract(2, HOUR_MS)]), ..OperatorConfig::default() };
    let running = gateway(config(&[resp::start_engine("a", test_bed.clone()).await]), operator).await;
    let mut client = Client::connect_as(running.mysql, "desk").await;
    for n in 0..2 {
        let end = client.outcome(&fields("lookup", 400, None, &format!("ERROR {n}"))).await;
        assert!(matches!(end, Outcome::Rejected("BUSY", _)), "{end:?}");
    }
    assert!(test_bed.attempts_at("a") >= 2);
    assert_eq!(
        client.outcome(&fields("lookup", 2000, None, "SELECT 1")).await,
        Outcome::Rejected("BUDGET", true)
    );
}
