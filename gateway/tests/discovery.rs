//! The list of engines: known events, then DNS answers; nothing unsound may empty it.

mod support;

use hickory_proto::op::ResponseCode;
use reedwalk_gateway::discovery::dns::{BadAnswer, query, read};
use reedwalk_gateway::discovery::endpoint_list::EndpointList;
use reedwalk_gateway::discovery::{DiscoverySource, watch};
use reedwalk_gateway::drain_guard::DrainGuards;
use reedwalk_gateway::message::{Endpoint, EndpointMailbox};
use reedwalk_gateway::metrics::Metrics;
use reedwalk_gateway::registry::EndpointRegistry;
use reedwalk_scheduler::{EngineState, Time};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use support::discovery_server::{Engine, List, answer, deaf_server, late_server, server};
use support::until;
use tokio::time::{Instant, timeout_at};

fn engine(id: &'static str, last: u8) -> Engine {
    Engine { id: id.into(), address: ([10, 1, 0, last], 8080).into(), draining: false, started_ms: 0 }
}

fn book() -> EndpointList {
    let sockets = reedwalk_settings::read(&support::settings()).unwrap().sockets;
    EndpointList::new(Arc::new(sockets))
}

fn told(book: &mut EndpointList, serial: u32, engines: &[Engine]) -> Vec<Endpoint> {
    book.take(read(&answer(7, serial, engines).to_vec().unwrap(), &[7]).unwrap())
}

#[test]
fn answers_change_the_list_by_serial_and_absent_engines_are_gone() {
    let mut book = book();
    let first = book.start(&support::known(&["10.1.0.1:8080".parse().unwrap()])).unwrap();
    // The same engine, named again, keeps its id; the second one is new.
    let changes = told(&mut book, 2, &[engine("s-0", 1), engine("s-1", 2)]);
    assert!(changes.iter().any(|c| c.address.ip().to_string() == "10.1.0.2"));
    assert!(
        changes.iter().all(|c| (c.entry.engine == first[0].entry.engine) == (c.address == first[0].address))
    );
    assert!(told(&mut book, 2, &[]).is_empty(), "no later serial, no news");
    assert!(told(&mut book, 1, &[]).is_empty());
    // An address that is used again belongs to a new engine.
    let changes = told(&mut book, 3, &[engine("s-0", 1), engine("s-9", 2)]);
    let states: Vec<_> = changes.iter().map(|c| (c.entry.state, c.address.ip().to_string())).collect();
    assert_eq!(
        states,
        [(EngineState::InService, "10.1.0.2".into()), (EngineState::Removed, "10.1.0.2".into())]
    );
    assert_ne!(changes[0].entry.engine, changes[1].entry.engine);
    // Draining and a late start are told; what has not changed is not.
    let changes = told(
        &mut book,
        4,
        &[Engine { draining: true, started_ms: 1_700_000_000_123, ..engine("s-0", 1) }, engine("s-9", 2)],
    );
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].entry.state, EngineState::Draining);
    assert_eq!(changes[0].entry.started, Some(Time(1_700_000_000_123_000)));
    // Serials wrap environment.
    let mut book = self::book();
    told(&mut book, u32::MAX, &[engine("s-0", 1)]);
    assert_eq!(told(&mut book, 3, &[]).len(), 1);
}

#[test]
fn a_new_configuration_knows_nothing_older_than_what_was_told() {
    let mut book = book();
    book.start(&support::known(&["10.1.0.1:8080".parse().unwrap()])).unwrap();
    told(&mut book, 2, &[engine("s-0", 1), engine("s-9", 2)]);
    let mut known = support::known(&["10.1.0.1:8080".parse().unwrap()]);
    assert!(book.refresh(&known).unwrap().is_empty());
    known["seq"] = 3.into();
    let changes = book.refresh(&known).unwrap();
    assert_eq!(changes.iter().map(|c| c.entry.state).collect::<Vec<_>>(), [EngineState::Removed]);
    assert_eq!(book.serial(), Some(3));
}

#[test]
fn a_record_without_its_address_leaves_its_engine_as_it_was() {
    let mut book = book();
    told(&mut book, 1, &[engine("s-0", 1), engine("s-1", 2)]);
    let mut cut = answer(7, 2, &[engine("s-0", 1), engine("s-1", 2)]);
    cut.additionals.clear();
    assert!(book.take(read(&cut.to_vec().unwrap(), &[7]).unwrap()).is_empty());
    // One never heard of stays open: the same serial is taken again when its address comes.
    let mut cut = answer(7, 3, &[engine("s-0", 1), engine("s-1", 2), engine("s-2", 3)]);
    cut.additionals.clear();
    assert!(book.take(read(&cut.to_vec().unwrap(), &[7]).unwrap()).is_empty());
    assert_eq!(told(&mut book, 3, &[engine("s-0", 1), engine("s-1", 2), engine("s-2", 3)]).len(), 1);
}

#[test]
fn an_older_answer_undoes_nothing_where_a_later_one_lacked_an_address() {
    let mut book = book();
    told(&mut book, 1, &[engine("s-0", 1), engine("s-1", 2)]);
    let mut cut = answer(7, 3, &[engine("s-0", 1), engine("s-2", 3)]);
    cut.additionals.clear();
    assert_eq!(book.take(read(&cut.to_vec().unwrap(), &[7]).unwrap()).len(), 1, "s-1 is gone");
    assert!(told(&mut book, 2, &[engine("s-0", 1), engine("s-1", 2)]).is_empty(), "s-1 came back");
    assert_eq!(told(&mut book, 3, &[engine("s-0", 1), engine("s-2", 3)]).len(), 1);
}

#[test]
fn ids_of_engines_that_are_gone_are_forgotten_in_time() {
    let mut book = book();
    let ids: Vec<&'static str> = (0..400).map(|n| &*format!("s-{n}").leak()).collect();
    let mut numbers = std::collections::HashSet::new();
    for (serial, id) in (1..).zip(&ids) {
        let changes = told(&mut book, serial, &[engine("s-stays", 1), engine(id, 2)]);
        numbers.extend(changes.iter().map(|c| c.entry.engine));
    }
    assert_eq!(numbers.len(), 401, "two engines had one number");
    assert!(book.remembered() < 100, "{}", book.remembered());
}

#[test]
fn unsound_answers_tell_nothing() {
    let sound = || answer(7, 2, &[engine("s-0", 1)]);
    let end = |m: hickory_proto::op::Message| read(&m.to_vec().unwrap(), &[7]).unwrap_err();
    let mut message = sound();
    message.metadata.truncation = true;
    assert_eq!(end(message), BadAnswer::Truncated);
    let mut message = sound();
    message.metadata.response_code = ResponseCode::ServFail;
    assert_eq!(end(message), BadAnswer::Code(2));
    let mut message = sound();
    message.metadata.id = 8;
    assert_eq!(end(message), BadAnswer::NotOurs);
    // One between two that were asked is foreign too.
    let between = read(&sound().to_vec().unwrap(), &[8, 6]);
    assert_eq!(between, Err(BadAnswer::NotOurs));
    assert!(read(&sound().to_vec().unwrap(), &[9, 7]).is_ok());
    let mut message = sound();
    message.authorities.clear();
    assert_eq!(end(message), BadAnswer::NoSerial);
    let whole = sound().to_vec().unwrap();
    // Every cut is an error or has lost no engine: nothing that is short empties the list.
    for size in 0..whole.len() {
        assert!(read(&whole[..size], &[7]).is_err(), "{size} of {} bytes", whole.len());
    }
    assert_eq!(read(&query(7, true).unwrap(), &[7]), Err(BadAnswer::NotOurs));
}

/// A list that is kept up from this source.
fn watched(source: DiscoverySource) -> (tokio::sync::watch::Sender<DiscoverySource>, EndpointMailbox) {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let (source, sources) = tokio::sync::watch::channel(source);
    let (endpoints, metrics) = (EndpointMailbox::default(), Arc::new(Metrics::default()));
    let drain_guards = DrainGuards::new(Duration::from_secs(2));
    let registry = EndpointRegistry::new(book(), drain_guards, endpoints.clone(), metrics, None, log.clone());
    tokio::spawn(watch(sources, registry, 7, log));
    (source, endpoints)
}

/// What is told next.
async fn news(endpoints: &EndpointMailbox) -> Vec<Endpoint> {
    let by = Instant::now() + Duration::from_secs(10);
    loop {
        timeout_at(by, endpoints.changed()).await.expect("never told");
        // What was read already may have been announced a second time.
        let news = endpoints.read();
        if !news.is_empty() {
            return news.into_iter().map(|update| update.endpoint).collect();
        }
    }
}

#[tokio::test]
async fn an_answer_that_comes_after_the_next_query_still_counts() {
    // Asked every 250 ms, it answers each query 600 ms late.
    let server = late_server(vec![engine("s-0", 1)], Duration::from_millis(600)).await;
    let (_source, endpoints) = watched(DiscoverySource { server: Some(server), known: None });
    assert_eq!(news(&endpoints).await.len(), 1);
}

#[tokio::test]
async fn a_way_to_the_name_server_that_goes_silent_for_good_is_given_up_for_a_fresh_one() {
    let list: List = Arc::new(Mutex::new((1, vec![engine("s-0", 1)])));
    let (server, unanswered) = deaf_server(list.clone(), 1).await;
    let (_source, endpoints) = watched(DiscoverySource { server: Some(server), known: None });
    assert_eq!(news(&endpoints).await.len(), 1);
    *list.lock().unwrap() = (2, vec![engine("s-0", 1), engine("s-1", 2)]);
    assert_eq!(news(&endpoints).await.len(), 1, "the second one");
    assert!(*unanswered.lock().unwrap() > 0, "the way has not gone silent");
}

#[tokio::test]
async fn a_way_that_is_silent_from_a_reload_on_is_given_up_as_well() {
    let list: List = Arc::new(Mutex::new((1, vec![engine("s-0", 1)])));
    let (old, _) = server(list.clone()).await;
    let (new, unanswered) = deaf_server(list.clone(), 0).await;
    let (source, endpoints) = watched(DiscoverySource { server: Some(old), known: None });
    assert_eq!(news(&endpoints).await.len(), 1);
    source.send(DiscoverySource { server: Some(new), known: None }).unwrap();
    until("the new one is asked", || *unanswered.lock().unwrap() > 0).await;
    // The old one is asked no more, and nothing of it is taken.
    *list.lock().unwrap() = (2, vec![engine("s-0", 1), engine("s-1", 2)]);
    assert_eq!(news(&endpoints).await.len(), 1, "the second one");
}
