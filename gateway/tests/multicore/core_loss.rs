//! The loss of a core: its connections are closed, all others stay open, and the end of the broker's core is reported.

use crate::support::mysql::{Client, fields};
use crate::support::{
    Outcome, TestBed, config, discovery_server, endpoint_list, gateway, listed, resp, until,
};
use crate::{SeparateCores, operator_with_cores};

#[tokio::test]
async fn ended_core_closes_only_its_own_connections() {
    let test_bed = TestBed::default();
    let a = resp::start_engine("a", test_bed.clone()).await;
    let (server, _) = discovery_server::start_server(endpoint_list(2, vec![listed("s-0", a)])).await;
    let SeparateCores { mut running, mut client, session_core, engine_core } =
        SeparateCores::start(&test_bed, server, a).await;
    // A task that panics does not end other tasks on its core.
    running.multicore().spawn_on(session_core, async { panic!("this panic is part of the test") });
    assert_eq!(client.outcome(&fields("lookup", 5000, None, "SELECT 2")).await, Outcome::Served);
    // A request that must not run twice is in flight on the core that ends: it fails at once, not at its deadline.
    client.send_query(&fields("adjust", 3000, None, "HANG 1")).await;
    until("the attempt is in flight", || test_bed.attempts("HANG 1") == 1).await;
    running.multicore().stop(engine_core);
    assert_eq!(
        client.answer().await.unwrap_err().0,
        1105,
        "the request fails with its engine connection, not at its deadline"
    );
    assert_eq!(running.next_lost_core().await, Some(engine_core));
    assert_eq!(client.outcome(&fields("lookup", 5000, None, "SELECT 3")).await, Outcome::Served);
    // When the core with the session ends, the connection of the client is closed.
    client.send_query(&fields("lookup", 5000, None, "HANG 2")).await;
    until("the attempt is in flight", || test_bed.attempts("HANG 2") == 1).await;
    running.multicore().stop(session_core);
    assert_eq!(client.read().await, None);
    assert_eq!(running.next_lost_core().await, Some(session_core));
    until("the attempt is cancelled at the engine", || test_bed.was_cancelled("HANG 2")).await;
    let mut other = Client::connect(running.mysql).await;
    assert_eq!(other.outcome(&fields("lookup", 5000, None, "SELECT 4")).await, Outcome::Served);
}

#[tokio::test]
async fn end_of_the_broker_core_closes_connections_and_is_reported() {
    let test_bed = TestBed::default();
    let running =
        gateway(config(&[resp::start_engine("a", test_bed.clone()).await]), operator_with_cores(3)).await;
    let mut client = Client::connect(running.mysql).await;
    client.send_query(&fields("lookup", 6000, None, "HANG 1")).await;
    until("the attempt is in flight", || test_bed.attempts("HANG 1") == 1).await;
    let broker_ended = running.broker_ended();
    running.multicore().stop(0);
    assert_eq!(client.read().await, None, "the connection is closed long before the deadline");
    broker_ended.await;
}
