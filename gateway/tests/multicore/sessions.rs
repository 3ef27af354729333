//! Cancels, shutdown, reloads and limits apply to the sessions on all cores.

use crate::operator_with_cores;
use crate::support::mysql::{Client, fields, query_packet};
use crate::support::{
    Outcome, TestBed, config, discovery_server, endpoint_list, gateway, listed, resp, resp_engines, until,
};
use reedwalk_gateway::config::Config;
use reedwalk_gateway::limits::Limits;
use reedwalk_gateway::operator;
use reedwalk_gateway::serve::Running;
use reedwalk_testkit::model::Shape;
use reedwalk_testkit::request_log::RequestLog;
use reedwalk_testkit::resp::start_modelled_engine;
use std::time::{Duration, Instant};

/// Opens sessions and checks that every core that accepts connections has its part of them.
async fn sessions_on_all_cores(running: &Running, sessions: usize) -> Vec<Client> {
    let mut clients = Vec::new();
    for _ in 0..sessions {
        clients.push(Client::connect(running.mysql).await);
    }
    let connections = running.multicore().connections_per_core();
    assert!(connections[1..].iter().all(|n| *n >= sessions / connections.len()), "{connections:?}");
    clients
}

#[tokio::test]
async fn kill_query_works_across_cores() {
    let test_bed = TestBed::default();
    let running =
        gateway(config(&[resp::start_engine("a", test_bed.clone()).await]), operator_with_cores(4)).await;
    let (mut one, mut other) = (Client::connect(running.mysql).await, Client::connect(running.mysql).await);
    let connections = running.multicore().connections_per_core();
    assert!(connections.iter().all(|n| *n <= 1), "the sessions share a core: {connections:?}");
    one.send_query(&fields("lookup", 6000, None, "HANG 1")).await;
    until("the attempt is in flight", || test_bed.attempts("HANG 1") == 1).await;
    assert_eq!(other.query(&format!("KILL QUERY {}", one.id)).await, Ok(Vec::new()));
    assert_eq!(one.answer().await.unwrap_err().0, 1317);
    until("the attempt is cancelled at the engine", || test_bed.was_cancelled("HANG 1")).await;
}

/// Guards against a KILL QUERY that is handled on its core before the query has been read on another one, and is lost.
#[tokio::test]
async fn kill_query_written_right_behind_its_query_works_across_cores() {
    let test_bed = TestBed::default();
    let engine = resp::start_engine("a", test_bed.clone()).await;
    let running = gateway(config(&[engine]), operator_with_cores(4)).await;
    for n in 0..20 {
        let mut client = Client::connect(running.mysql).await;
        let mut killer = Client::connect(running.mysql).await;
        let query = query_packet(&fields("lookup", 3000, None, &format!("HANG {n}")));
        let kill = query_packet(&format!("KILL QUERY {}", client.id));
        // Nothing is awaited between these lines.
        assert_eq!(client.stream.try_write(&query).unwrap(), query.len());
        assert_eq!(killer.stream.try_write(&kill).unwrap(), kill.len());
        assert_eq!(killer.answer().await, Ok(Vec::new()));
        assert_eq!(client.answer().await.unwrap_err().0, 1317, "query {n} was not cancelled");
    }
}

#[tokio::test]
async fn two_sessions_that_kill_each_other_are_both_answered_at_once() {
    let test_bed = TestBed::default();
    let engine = resp::start_engine("a", test_bed.clone()).await;
    let running = gateway(config(&[engine]), operator_with_cores(4)).await;
    let (mut one, mut other) = (Client::connect(running.mysql).await, Client::connect(running.mysql).await);
    for _ in 0..20 {
        let started_at = Instant::now();
        let (kill_other, kill_one) = (format!("KILL QUERY {}", other.id), format!("KILL QUERY {}", one.id));
        one.send_query(&kill_other).await;
        other.send_query(&kill_one).await;
        assert_eq!((one.answer().await, other.answer().await), (Ok(Vec::new()), Ok(Vec::new())));
        // A session may kill its own query, of which there is none here.
        assert_eq!(one.query(&kill_one).await, Ok(Vec::new()));
        assert!(started_at.elapsed() < Duration::from_millis(200), "{:?}", started_at.elapsed());
    }
}

#[tokio::test]
async fn shutdown_finishes_requests_on_all_cores() {
    let record = RequestLog::default();
    let engine =
        start_modelled_engine("a", Some(Shape { cores: 8.0, ..Shape::default() }), record.clone()).await;
    let running = gateway(config(&[engine.address]), operator_with_cores(4)).await;
    let mut clients = sessions_on_all_cores(&running, 9).await;
    for (n, client) in clients.iter_mut().enumerate() {
        client.send_query(&fields("lookup", 6000, None, &format!("SELECT {n} WORK 400"))).await;
    }
    until("all attempts are in flight", || record.attempts_at("a") == 9).await;
    let closing = tokio::spawn(running.close(tokio::time::Instant::now()));
    for client in &mut clients {
        assert!(client.answer().await.is_ok());
    }
    closing.await.unwrap();
}

#[tokio::test]
async fn reload_applies_on_all_cores_within_a_second() {
    let test_bed = TestBed::default();
    let [a, b] = resp_engines(&test_bed).await;
    let running = gateway(config(&[a]), operator_with_cores(4)).await;
    let mut clients = sessions_on_all_cores(&running, 9).await;
    let (server, _) = discovery_server::start_server(endpoint_list(9, vec![listed("s-1", b)])).await;
    let reloaded_at = Instant::now();
    running.reloader().apply(Config { name_server: Some(server), ..config(&[a]) });
    // Once a request reaches the new engine, the old one has been removed from the list.
    while test_bed.attempts_at("b") == 0 {
        assert!(reloaded_at.elapsed() < Duration::from_secs(1));
        assert_eq!(clients[0].outcome(&fields("lookup", 5000, None, "SELECT 1")).await, Outcome::Served);
    }
    let attempts_before = test_bed.attempts_at("a");
    for client in &mut clients {
        assert_eq!(client.outcome(&fields("lookup", 5000, None, "SELECT 2")).await, Outcome::Served);
    }
    assert_eq!((test_bed.attempts_at("a"), test_bed.attempts_at("b") >= 10), (attempts_before, true));
}

#[test]
fn excess_cores_are_rejected_with_line_number() {
    let operator = operator::read("// for the busy days\ncores 17").unwrap();
    let error = operator.check(&Limits { sockets: 1024, ..Limits::default() }).unwrap_err();
    assert_eq!((error.line, error.kind.to_string().contains("1088 file descriptors")), (2, true), "{error}");
    let sufficient = Limits { sockets: 1088, ..Limits::default() };
    assert_eq!(operator.check(&sufficient), Ok(()));
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../deploy/cores.kdl");
    let example = operator::read_file(std::path::Path::new(example)).unwrap();
    assert_eq!((example.cores, example.check(&Limits::default())), (4, Ok(())));
}
