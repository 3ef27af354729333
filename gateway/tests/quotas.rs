//! QuotaManager and budgets, counted in each front end or leased from a stand-in for Redis.

mod support;

use reedwalk_gateway::message::{QuotaDecision, Rejection};
use reedwalk_gateway::operator::{EngineWire, Operator, Store as Place};
use reedwalk_gateway::quotas::{Contract, QuotaManager};
use reedwalk_gateway::shared_store::SharedStoreOptions;
use reedwalk_gateway::shared_store::client::SharedStoreClient;
use reedwalk_scheduler::ClassId;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use support::flight::{Client as Flight, ended, engine};
use support::mysql::{Client, fields};
use support::redis::{Redis, Trouble, Value};
use support::{Ended, World, both_fronts, config, gateway, resp, until};

const HOUR_MS: u64 = 3_600_000;

fn contract(budget: u64, window_ms: u64) -> Contract {
    let cost = [("statement".to_owned(), 4)].into();
    let classes = vec!["lookup".into(), "statement".into()];
    Contract { team: "desk".into(), classes, budget, window_ms, cost }
}

/// QuotaManager over a store whose answers are waited for as long as usual, or long: a machine that stands still for a
/// moment is no store that fails.
fn contracts(contract: Contract, gateways: u32, redis: Option<SocketAddr>) -> Arc<QuotaManager> {
    contracts_on(
        contract,
        gateways,
        redis,
        SharedStoreOptions { wait: Duration::from_secs(1), ..SharedStoreOptions::default() },
    )
}

fn contracts_on(
    contract: Contract,
    gateways: u32,
    redis: Option<SocketAddr>,
    terms: SharedStoreOptions,
) -> Arc<QuotaManager> {
    static FRONT: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(1);
    let classes = ["lookup".to_owned(), "statement".into(), "batch-post".into()];
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let link = redis.map(|address| {
        let front = FRONT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let (url, window) = (format!("redis://{address}"), Duration::from_secs(12));
        Arc::new(SharedStoreClient::new(&url, terms, front, window, log).unwrap())
    });
    link.iter().cloned().for_each(|l| _ = tokio::spawn(l.run()));
    let contracts = Arc::new(QuotaManager::new(&[contract], &classes, gateways, link).unwrap());
    tokio::spawn(contracts.clone().run());
    contracts
}

async fn spend(contracts: &Arc<QuotaManager>, class: usize) -> bool {
    let due = contracts.quota_request(Some("desk"), ClassId(class)).unwrap();
    matches!(contracts.charge(&due).await, QuotaDecision::Admitted(_))
}

async fn granted(contracts: &Arc<QuotaManager>, tries: usize) -> usize {
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

/// What the store counts as spent.
fn counted(redis: &Redis) -> Option<u64> {
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
    let contracts = contracts(contract(10, HOUR_MS), 1, None);
    assert_eq!(contracts.quota_request(Some("desk"), ClassId(2)), Err(Rejection::Contract));
    assert_eq!(contracts.quota_request(Some("others"), ClassId(0)), Err(Rejection::Contract));
    assert_eq!(contracts.quota_request(None, ClassId(0)), Err(Rejection::Contract));
    assert!(spend(&contracts, 1).await && spend(&contracts, 1).await);
    assert!(!spend(&contracts, 1).await, "four more do not fit");
    assert_eq!(granted(&contracts, 5).await, 2, "two single ones do");
}

#[tokio::test]
async fn exhausted_quota_has_retry_after_of_the_next_window() {
    let contracts = contracts(contract(0, HOUR_MS), 1, None);
    let due = contracts.quota_request(Some("desk"), ClassId(0)).unwrap();
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let QuotaDecision::Exhausted(after) = contracts.charge(&due).await else { panic!("granted") };
    let ends = (unix + after.as_millis() as u64) % HOUR_MS;
    assert!(!(1000..=HOUR_MS - 1000).contains(&ends), "{ends}");
}

#[tokio::test]
async fn gateways_sharing_a_store_grant_a_quota_once_with_few_calls() {
    early_in_the_window().await;
    let redis = Redis::default();
    let address = redis.start().await;
    let fronts = [1, 2].map(|_| contracts(contract(640, HOUR_MS), 2, Some(address)));
    let (one, two) = tokio::join!(granted(&fronts[0], 500), granted(&fronts[1], 500));
    assert_eq!((one + two, counted(&redis)), (640, Some(640)));
    let leases = redis.seen().iter().filter(|s| s.1[0] == "EVALSHA").count();
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
    let fronts = [1, 2].map(|_| contracts(contract(320, HOUR_MS), 2, Some(address)));
    assert!(spend(&fronts[0], 0).await);
    until("all but the one are given back", || counted(&redis) == Some(1)).await;
    assert_eq!(granted(&fronts[1], 330).await, 319);
}

#[tokio::test]
async fn slow_store_leaves_half_of_the_even_share() {
    early_in_the_window().await;
    let redis = Redis::default();
    redis.trouble(Some(Trouble::Frozen));
    let contracts =
        contracts_on(contract(80, HOUR_MS), 4, Some(redis.start().await), SharedStoreOptions::default());
    let began = Instant::now();
    assert_eq!(granted(&contracts, 40).await, 10, "half of a fourth of the budget");
    // A few waits of 25 ms, not forty: after those the store is left alone.
    assert!(began.elapsed() < Duration::from_millis(500), "{:?}", began.elapsed());
}

#[tokio::test]
async fn store_failure_midway_does_not_grant_the_share_twice() {
    early_in_the_window().await;
    let redis = Redis::default();
    let contracts = contracts(contract(80, HOUR_MS), 4, Some(redis.start().await));
    assert_eq!(granted(&contracts, 9).await, 9);
    redis.trouble(Some(Trouble::DropBefore));
    let more = granted(&contracts, 40).await;
    assert!(9 + more <= 12, "{more} more: what was leased counts");
    redis.trouble(None);
    let by = Instant::now() + Duration::from_secs(10);
    while !spend(&contracts, 0).await {
        assert!(Instant::now() < by, "never asked again");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // Another front end closed its Redis altogether: nothing listens there.
    let gone = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let contracts = self::contracts(contract(20, HOUR_MS), 2, Some(gone));
    assert_eq!(granted(&contracts, 30).await, 5);
}

#[tokio::test]
async fn exhausted_quota_is_rejected_alike_on_both_fronts() {
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

#[tokio::test]
async fn rejected_request_that_never_ran_is_refunded() {
    early_in_the_window().await;
    let world = World::default();
    let operator = Operator { contracts: Some(vec![contract(2, HOUR_MS)]), ..Operator::default() };
    let running = gateway(config(&[resp::engine("a", world.clone()).await]), operator).await;
    let mut client = Client::connect_as(running.mysql, "desk").await;
    for n in 0..4 {
        let end = client.ended(&fields("lookup", 400, None, &format!("BUSY {n}"))).await;
        assert!(matches!(end, Ended::Refused("BUSY", _)), "{end:?}");
    }
    assert_eq!(client.ended(&fields("lookup", 2000, None, "SELECT 1")).await, Ended::Served);
    assert_eq!(client.ended(&fields("lookup", 2000, None, "SELECT 2")).await, Ended::Served);
    assert_eq!(client.ended(&fields("lookup", 2000, None, "SELECT 3")).await, Ended::Refused("BUDGET", true));
}

#[tokio::test]
async fn rejected_request_that_may_have_run_is_charged() {
    early_in_the_window().await;
    let world = World::default();
    let operator = Operator { contracts: Some(vec![contract(2, HOUR_MS)]), ..Operator::default() };
    let running = gateway(config(&[resp::engine("a", world.clone()).await]), operator).await;
    let mut client = Client::connect_as(running.mysql, "desk").await;
    for n in 0..2 {
        let end = client.ended(&fields("lookup", 400, None, &format!("ERROR {n}"))).await;
        assert!(matches!(end, Ended::Refused("BUSY", _)), "{end:?}");
    }
    assert!(world.sends("a") >= 2);
    assert_eq!(client.ended(&fields("lookup", 2000, None, "SELECT 1")).await, Ended::Refused("BUDGET", true));
}
