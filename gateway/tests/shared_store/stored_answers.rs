//! One key at several gateways: one attempt, and the stored answer for every retry.

use crate::support::mysql::{Client, expected_rows};
use crate::support::redis::Redis;
use crate::support::{Outcome, TestBed, both_protocols, config, flight, flight_engines, gateway};
use crate::{Fixture, keyed_request, keyed_retry, outcome, store_options};
use reedwalk_gateway::operator::{BudgetStore, EngineProtocol, OperatorConfig};
use std::time::{Duration, Instant};

#[tokio::test]
async fn retry_through_another_gateway_gets_the_stored_answer() {
    let fixture = Fixture::start().await;
    let gateways = [fixture.gateway("all").await, fixture.gateway("all").await];
    fixture.wait_for_registered_gateways(2).await;
    assert_eq!(outcome(&gateways[0], &keyed_request("k1", "INSERT 1")).await, Outcome::Served);
    fixture.wait_for_key_state("k1", "d").await;
    let rows = Client::connect(gateways[1].mysql).await.query(&keyed_retry("k1", "INSERT 1")).await;
    assert_eq!(rows, Ok(expected_rows()), "complete and unchanged, from the store");
    assert_eq!((fixture.effects(), fixture.attempts()), (1, 1));
    // A different key is a new request.
    assert_eq!(outcome(&gateways[1], &keyed_request("k2", "INSERT 1")).await, Outcome::Served);
    assert_eq!(fixture.effects(), 2);
}

#[tokio::test]
async fn concurrent_requests_with_one_key_are_sent_by_one_gateway() {
    let fixture = Fixture::start().await;
    let gateways = [fixture.gateway("zone").await, fixture.gateway("zone").await];
    fixture.wait_for_registered_gateways(2).await;
    let mut holder = Client::connect(gateways[0].mysql).await;
    holder.send_query(&keyed_request("k1", "HANG INSERT")).await;
    fixture.wait_for_key_state("k1", "s").await;
    let started = Instant::now();
    assert_eq!(
        outcome(&gateways[1], &keyed_retry("k1", "HANG INSERT")).await,
        Outcome::Rejected("BUSY", true)
    );
    assert!(started.elapsed() < Duration::from_secs(1), "answered at once");
    // The lease is renewed while the first request is in flight.
    tokio::time::sleep(Duration::from_millis(1300)).await;
    assert_eq!(
        outcome(&gateways[1], &keyed_retry("k1", "HANG INSERT")).await,
        Outcome::Rejected("BUSY", true)
    );
    assert_eq!(fixture.attempts(), 1);
    drop(holder);
}

#[tokio::test]
async fn retry_over_flight_gets_the_stored_count() {
    let (test_bed, redis) = (TestBed::default(), Redis::default());
    let store = redis.start().await;
    let engines = flight_engines(&test_bed).await;
    let fixture = Fixture { test_bed, redis, engines, store };
    let operator = || OperatorConfig {
        store: BudgetStore::Redis(format!("redis://{store}"), store_options()),
        ..both_protocols(EngineProtocol::FlightSql)
    };
    let gateways = [gateway(config(&engines), operator()).await, gateway(config(&engines), operator()).await];
    fixture.wait_for_registered_gateways(2).await;
    let client = flight::Client::connect(gateways[0].flight.unwrap()).await;
    let count = client.with_class("batch-post", Some("k1")).update("INSERT 1").await.unwrap();
    fixture.wait_for_key_state("k1", "d").await;
    let client = flight::Client::connect(gateways[1].flight.unwrap()).await;
    let retry = client.with_class("batch-post", Some("k1")).with_header("reedwalk-retry", "1");
    assert_eq!(retry.update("INSERT 1").await.unwrap(), count);
    assert_eq!((fixture.effects(), fixture.attempts()), (1, 1));
}
