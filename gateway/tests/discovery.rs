//! The engine list, filled from configured events and then from DNS answers: a malformed answer never empties it, and
//! an unresponsive socket is replaced.

mod support;

use hickory_proto::op::ResponseCode;
use reedwalk_gateway::discovery::dns::{AnswerError, encode_query, parse_answer};
use reedwalk_gateway::discovery::endpoint_list::EndpointList;
use reedwalk_gateway::discovery::list_record::{ListRecord, ListVersion};
use reedwalk_gateway::discovery::{DiscoverySource, poll_endpoint_list};
use reedwalk_gateway::drain_guard::DrainGuards;
use reedwalk_gateway::message::{Endpoint, EndpointMailbox};
use reedwalk_gateway::metrics::Metrics;
use reedwalk_gateway::registry::EndpointRegistry;
use reedwalk_scheduler::{EngineState, Time};
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use support::discovery_server::{
    ListedEngine, answer, start_delayed_server, start_server, start_unresponsive_server,
};
use support::{ANY_PORT, discard_log, endpoint_list, listed, settings, until};
use tokio::time::{Instant, timeout_at};

/// An engine in service at `10.1.0.{last_octet}:8080`.
fn engine(id: &'static str, last_octet: u8) -> ListedEngine {
    listed(id, ([10, 1, 0, last_octet], 8080).into())
}

fn empty_list() -> EndpointList {
    let sockets = reedwalk_settings::read(&settings()).unwrap().sockets;
    EndpointList::new(Arc::new(sockets))
}

/// Applies an answer with this serial and these engines, and returns the changes to the list.
fn apply(list: &mut EndpointList, serial: u32, engines: &[ListedEngine]) -> Vec<Endpoint> {
    list.apply_answer(parse_answer(&answer(7, serial, engines).to_vec().unwrap(), &[7]).unwrap())
}

#[test]
fn answers_apply_by_serial_and_absent_engines_are_removed() {
    let mut list = empty_list();
    let first = list.apply_events(&support::initial_endpoints(&["10.1.0.1:8080".parse().unwrap()])).unwrap();
    // The same engine, listed again, keeps its id; the second one is new.
    let changes = apply(&mut list, 2, &[engine("s-0", 1), engine("s-1", 2)]);
    assert!(changes.iter().any(|c| c.address.ip().to_string() == "10.1.0.2"));
    assert!(
        changes.iter().all(|c| (c.entry.engine == first[0].entry.engine) == (c.address == first[0].address))
    );
    assert!(apply(&mut list, 2, &[]).is_empty(), "an answer with the same serial changes nothing");
    assert!(apply(&mut list, 1, &[]).is_empty());
    // An engine with a new name is a new engine, even at a known address.
    let changes = apply(&mut list, 3, &[engine("s-0", 1), engine("s-9", 2)]);
    let states: Vec<_> = changes.iter().map(|c| (c.entry.state, c.address.ip().to_string())).collect();
    assert_eq!(
        states,
        [(EngineState::InService, "10.1.0.2".into()), (EngineState::Removed, "10.1.0.2".into())]
    );
    assert_ne!(changes[0].entry.engine, changes[1].entry.engine);
    // A drain and a new start time are a change; an engine that stays the same is not.
    let changes = apply(
        &mut list,
        4,
        &[
            ListedEngine { draining: true, started_ms: 1_700_000_000_123, ..engine("s-0", 1) },
            engine("s-9", 2),
        ],
    );
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].entry.state, EngineState::Draining);
    assert_eq!(changes[0].entry.started, Some(Time(1_700_000_000_123_000)));
    // Serial numbers wrap around.
    let mut list = empty_list();
    apply(&mut list, u32::MAX, &[engine("s-0", 1)]);
    assert_eq!(apply(&mut list, 3, &[]).len(), 1);
}

#[test]
fn older_configuration_does_not_override_answers() {
    let mut list = empty_list();
    list.apply_events(&support::initial_endpoints(&["10.1.0.1:8080".parse().unwrap()])).unwrap();
    apply(&mut list, 2, &[engine("s-0", 1), engine("s-9", 2)]);
    let mut configured = support::initial_endpoints(&["10.1.0.1:8080".parse().unwrap()]);
    assert!(list.apply_newer_events(&configured).unwrap().is_empty());
    configured["seq"] = 3.into();
    let changes = list.apply_newer_events(&configured).unwrap();
    assert_eq!(changes.iter().map(|c| c.entry.state).collect::<Vec<_>>(), [EngineState::Removed]);
    assert_eq!(list.serial(), Some(3));
}

#[test]
fn record_without_address_keeps_the_engine_unchanged() {
    let mut list = empty_list();
    apply(&mut list, 1, &[engine("s-0", 1), engine("s-1", 2)]);
    let mut incomplete = answer(7, 2, &[engine("s-0", 1), engine("s-1", 2)]);
    incomplete.additionals.clear();
    assert!(list.apply_answer(parse_answer(&incomplete.to_vec().unwrap(), &[7]).unwrap()).is_empty());
    // An unknown engine without an address is pending: the same serial applies again when the address arrives.
    let mut incomplete = answer(7, 3, &[engine("s-0", 1), engine("s-1", 2), engine("s-2", 3)]);
    incomplete.additionals.clear();
    assert!(list.apply_answer(parse_answer(&incomplete.to_vec().unwrap(), &[7]).unwrap()).is_empty());
    assert_eq!(apply(&mut list, 3, &[engine("s-0", 1), engine("s-1", 2), engine("s-2", 3)]).len(), 1);
}

#[test]
fn older_answer_never_reverts_a_newer_incomplete_one() {
    let mut list = empty_list();
    apply(&mut list, 1, &[engine("s-0", 1), engine("s-1", 2)]);
    let mut incomplete = answer(7, 3, &[engine("s-0", 1), engine("s-2", 3)]);
    incomplete.additionals.clear();
    assert_eq!(
        list.apply_answer(parse_answer(&incomplete.to_vec().unwrap(), &[7]).unwrap()).len(),
        1,
        "s-1 is removed"
    );
    assert!(
        apply(&mut list, 2, &[engine("s-0", 1), engine("s-1", 2)]).is_empty(),
        "an older answer added s-1 again"
    );
    assert_eq!(apply(&mut list, 3, &[engine("s-0", 1), engine("s-2", 3)]).len(), 1);
}

/// Guards against a list that a reload of the configuration turns back: an incomplete answer that removes an engine counted
/// as if it had never been applied.
#[test]
fn older_configuration_never_reverts_a_newer_incomplete_answer() {
    let mut list = empty_list();
    apply(&mut list, 1, &[engine("s-0", 1), engine("s-1", 2)]);
    let mut incomplete = answer(7, 5, &[engine("s-0", 1), engine("s-2", 3)]);
    incomplete.additionals.clear();
    let changes = list.apply_answer(parse_answer(&incomplete.to_vec().unwrap(), &[7]).unwrap());
    assert_eq!(changes.iter().map(|c| c.entry.state).collect::<Vec<_>>(), [EngineState::Removed]);
    let addresses = ["10.1.0.1:8080".parse().unwrap(), "10.1.0.2:8080".parse().unwrap()];
    let mut configured = support::initial_endpoints(&addresses);
    configured["seq"] = 3.into();
    assert!(
        list.apply_newer_events(&configured).unwrap().is_empty(),
        "an older configuration added s-1 again"
    );
    configured["seq"] = 5.into();
    assert_eq!(list.apply_newer_events(&configured).unwrap().len(), 1, "this one completes the list");
}

/// A list with this version and no engines, as another process of the gateway gives it.
fn record(serial: Option<u32>, incomplete_serial: Option<u32>) -> ListRecord {
    ListRecord { version: ListVersion { serial, incomplete_serial }, engines: Vec::new() }
}

#[test]
fn record_of_another_process_applies_only_if_it_is_newer() {
    let mut other = empty_list();
    apply(
        &mut other,
        7,
        &[ListedEngine { draining: true, started_ms: 9, ..engine("s-0", 1) }, engine("s-1", 2)],
    );
    let newer = other.record();
    assert_eq!(newer, serde_json::from_str(&serde_json::to_string(&newer).unwrap()).unwrap());
    let mut list = empty_list();
    apply(&mut list, 6, &[engine("s-0", 1), engine("s-2", 3)]);
    assert!(list.apply_record(&record(Some(5), None)).is_empty(), "an older list");
    assert!(list.apply_record(&record(Some(6), None)).is_empty(), "the same list");
    let changes = list.apply_record(&newer);
    let states: Vec<_> = changes.iter().map(|c| (c.address.ip().to_string(), c.entry.state)).collect();
    assert!(states.contains(&("10.1.0.1".into(), EngineState::Draining)), "{states:?}");
    assert!(states.contains(&("10.1.0.3".into(), EngineState::Removed)), "{states:?}");
    assert_eq!((states.len(), list.serial()), (3, Some(7)));
    assert_eq!(list.record().version, newer.version);
    let entry = |list: &EndpointList| {
        list.endpoints()
            .map(|e| (e.address, e.entry.zone, e.entry.kind, e.entry.cell, e.entry.started))
            .collect::<HashSet<_>>()
    };
    assert_eq!(entry(&list), entry(&other), "the attributes of the engines are kept");
    assert!(apply(&mut list, 7, &[]).is_empty(), "the answer that the other process has applied");
    // An incomplete list is as new as its answer; a complete one with the same serial replaces it.
    let incomplete = ListVersion { serial: Some(7), incomplete_serial: Some(9) };
    assert!(!list.apply_record(&ListRecord { version: incomplete, ..newer.clone() }).iter().any(|_| true));
    assert_eq!(list.version(), incomplete);
    assert_eq!(list.apply_record(&record(Some(8), None)).len(), 0, "older than the incomplete one");
    assert_eq!(list.apply_record(&record(Some(9), None)).len(), 2);
}

#[test]
fn names_of_removed_engines_are_evicted() {
    let mut list = empty_list();
    let names: Vec<&'static str> = (0..400).map(|n| &*format!("s-{n}").leak()).collect();
    let mut ids = std::collections::HashSet::new();
    for (serial, name) in (1..).zip(&names) {
        let changes = apply(&mut list, serial, &[engine("s-stays", 1), engine(name, 2)]);
        ids.extend(changes.iter().map(|c| c.entry.engine));
    }
    assert_eq!(ids.len(), 401, "two engines had the same id");
    assert!(list.known_names() < 100, "{}", list.known_names());
}

#[test]
fn malformed_answers_are_rejected() {
    let valid = || answer(7, 2, &[engine("s-0", 1)]);
    let error = |m: hickory_proto::op::Message| parse_answer(&m.to_vec().unwrap(), &[7]).unwrap_err();
    let mut message = valid();
    message.metadata.truncation = true;
    assert_eq!(error(message), AnswerError::Truncated);
    let mut message = valid();
    message.metadata.response_code = ResponseCode::ServFail;
    assert_eq!(error(message), AnswerError::ErrorCode(2));
    let mut message = valid();
    message.metadata.id = 8;
    assert_eq!(error(message), AnswerError::QueryMismatch);
    // An id that lies between those of two queries belongs to neither.
    let between = parse_answer(&valid().to_vec().unwrap(), &[8, 6]);
    assert_eq!(between, Err(AnswerError::QueryMismatch));
    assert!(parse_answer(&valid().to_vec().unwrap(), &[9, 7]).is_ok());
    let mut message = valid();
    message.authorities.clear();
    assert_eq!(error(message), AnswerError::MissingSerial);
    let complete = valid().to_vec().unwrap();
    // Every truncated answer is an error, so that none empties the list.
    for size in 0..complete.len() {
        assert!(parse_answer(&complete[..size], &[7]).is_err(), "{size} of {} bytes", complete.len());
    }
    assert_eq!(parse_answer(&encode_query(7, true).unwrap(), &[7]), Err(AnswerError::QueryMismatch));
}

/// Starts to poll this source and returns the means to replace it, and the changes to the list.
fn start_polling(source: DiscoverySource) -> (tokio::sync::watch::Sender<DiscoverySource>, EndpointMailbox) {
    let log = discard_log();
    let (source, sources) = tokio::sync::watch::channel(source);
    let (endpoints, metrics) = (EndpointMailbox::default(), Arc::new(Metrics::default()));
    let drain_guards = DrainGuards::new(Duration::from_secs(2));
    let registry =
        EndpointRegistry::new(empty_list(), drain_guards, endpoints.clone(), metrics, None, log.clone());
    tokio::spawn(poll_endpoint_list(sources, registry, log));
    (source, endpoints)
}

/// The next changes to the list.
async fn next_changes(endpoints: &EndpointMailbox) -> Vec<Endpoint> {
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        timeout_at(deadline, endpoints.changed()).await.expect("the list did not change");
        // A notification may be for changes that were taken already.
        let changes = endpoints.take();
        if !changes.is_empty() {
            return changes.into_iter().map(|update| update.endpoint).collect();
        }
    }
}

#[tokio::test]
async fn answer_after_the_next_query_is_accepted() {
    // The poll interval is 250 ms, and each answer is 600 ms late.
    let server = start_delayed_server(vec![engine("s-0", 1)], Duration::from_millis(600)).await;
    let (_source, endpoints) = start_polling(DiscoverySource { server: Some(server), events: None });
    assert_eq!(next_changes(&endpoints).await.len(), 1);
}

#[tokio::test]
async fn unresponsive_discovery_socket_is_replaced() {
    let list = endpoint_list(1, vec![engine("s-0", 1)]);
    let (server, unanswered) = start_unresponsive_server(list.clone(), 1).await;
    let (_source, endpoints) = start_polling(DiscoverySource { server: Some(server), events: None });
    assert_eq!(next_changes(&endpoints).await.len(), 1);
    *list.lock().unwrap() = (2, vec![engine("s-0", 1), engine("s-1", 2)]);
    assert_eq!(next_changes(&endpoints).await.len(), 1, "the second engine is added");
    assert!(*unanswered.lock().unwrap() > 0, "the socket never became unresponsive");
}

#[tokio::test]
async fn unresponsive_discovery_socket_is_replaced_after_reload() {
    let list = endpoint_list(1, vec![engine("s-0", 1)]);
    let (old, _) = start_server(list.clone()).await;
    let (new, unanswered) = start_unresponsive_server(list.clone(), 0).await;
    let (source, endpoints) = start_polling(DiscoverySource { server: Some(old), events: None });
    assert_eq!(next_changes(&endpoints).await.len(), 1);
    source.send(DiscoverySource { server: Some(new), events: None }).unwrap();
    until("the new server is polled", || *unanswered.lock().unwrap() > 0).await;
    // The old server is polled no more, and none of its answers applies.
    *list.lock().unwrap() = (2, vec![engine("s-0", 1), engine("s-1", 2)]);
    assert_eq!(next_changes(&endpoints).await.len(), 1, "the second engine is added");
}

/// Guards against processes of one configuration whose queries have the same ids, which anyone who knows the earlier ones
/// can compute.
#[tokio::test]
async fn query_ids_differ_between_processes_of_the_configuration() {
    let mut ids = Vec::new();
    for _ in 0..2 {
        let server = tokio::net::UdpSocket::bind(ANY_PORT).await.unwrap();
        let address = server.local_addr().unwrap();
        let (_source, _endpoints) = start_polling(DiscoverySource { server: Some(address), events: None });
        for _ in 0..3 {
            let mut query = [0; 512];
            let received =
                timeout_at(Instant::now() + Duration::from_secs(10), server.recv(&mut query)).await;
            received.expect("no query").unwrap();
            ids.push(u16::from_be_bytes([query[0], query[1]]));
        }
    }
    assert_ne!(ids[..3], ids[3..]);
}
