//! A gateway process that is killed between the steps of a request with an idempotency key, and the retry at another
//! gateway.

use crate::support::console::{succeeds, wait_for_metrics};
use crate::support::mysql::{Client, expected_rows};
use crate::support::redis::Fault;
use crate::support::{Outcome, until};
use crate::{Fixture, keyed_request, keyed_retry, outcome};
use reedwalk_gateway::serve::Running;
use std::time::{Duration, Instant};

/// Retries until the request is served, and checks that each rejection before that has a Retry-After.
async fn retry_until_served(gateway: &Running, text: &str) {
    let deadline = Instant::now() + Duration::from_secs(8);
    loop {
        match outcome(gateway, text).await {
            Outcome::Served => return,
            Outcome::Rejected("BUSY", true) => assert!(Instant::now() < deadline, "never served"),
            other => panic!("{other:?}"),
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn gateway_killed_between_claim_and_send_loses_nothing() {
    let fixture = Fixture::start().await;
    let (killed, other) = (fixture.process("", "all"), fixture.gateway("all").await);
    fixture.wait_for_registered_gateways(2).await;
    // With all engines out of service, the key is claimed and the request waits in the queue.
    assert!(
        succeeds(killed.console(), "OFFLINE s-0").await && succeeds(killed.console(), "OFFLINE s-1").await
    );
    let mut pending = Client::connect(killed.mysql).await;
    pending.send_query(&keyed_request("k1", "INSERT 1")).await;
    fixture.wait_for_key_state("k1", "c").await;
    wait_for_metrics(killed.console(), "the pending request", |m| m["pending"] == 1).await;
    drop(killed);
    retry_until_served(&other, &keyed_retry("k1", "INSERT 1")).await;
    assert_eq!((fixture.effects(), fixture.attempts()), (1, 1));
}

#[tokio::test]
async fn gateway_killed_between_send_and_answer_keeps_the_zone() {
    let fixture = Fixture::start_with_separate_engines().await;
    let (killed, other) = (fixture.process("", "zone"), fixture.gateway("zone").await);
    fixture.wait_for_registered_gateways(2).await;
    let mut pending = Client::connect(killed.mysql).await;
    pending.send_query(&keyed_request("k1", "LATER INSERT 1")).await;
    until("the attempt was sent", || fixture.attempts() == 1).await;
    let sent = fixture.attempts_by_engine();
    drop(killed);
    retry_until_served(&other, &keyed_retry("k1", "LATER INSERT 1")).await;
    assert_eq!(fixture.attempts_by_engine(), sent.map(|n| 2 * n), "an attempt in the other zone");
}

#[tokio::test]
async fn gateway_killed_between_answer_and_record_is_covered_by_engine_deduplication() {
    let fixture = Fixture::start_with_separate_engines().await;
    let (killed, other) = (fixture.process("", "zone"), fixture.gateway("zone").await);
    fixture.wait_for_registered_gateways(2).await;
    // The claim and the send are recorded; the answer is never recorded.
    fixture.redis.set_fault_for("d", Fault::DropBefore);
    let answer = Client::connect(killed.mysql).await.query(&keyed_request("k1", "INSERT 1")).await;
    assert_eq!(answer, Ok(expected_rows()));
    drop(killed);
    assert_eq!(fixture.key_state("k1").as_deref(), Some("s"));
    retry_until_served(&other, &keyed_retry("k1", "INSERT 1")).await;
    assert_eq!(fixture.attempts(), 2);
    assert_eq!(fixture.effects(), 1);
}
