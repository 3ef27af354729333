//! Flight SQL clients and engines: tickets, status codes, retries and deadlines, with the same outcomes as over MySQL.

mod support;

use arrow_flight::{Action, FlightDescriptor, Ticket};
use reedwalk_gateway::operator::{EngineProtocol, OperatorConfig};
use reedwalk_gateway::serve::Running;
use reedwalk_testkit::model::Shape;
use reedwalk_testkit::request_log::RequestLog;
use reedwalk_testkit::resp::start_modelled_engine;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use support::flight::{Client, outcome, start_engine};
use support::mysql::{self, fields};
use support::{
    ListedEngines, Outcome, TestBed, both_protocols, config, flight_engines, gateway, resp_engines, until,
    unused_address,
};
use tonic::Code;

/// Length of a ticket's handle, which is at the end of the ticket.
const TICKET_HANDLE_BYTES: usize = 16;

/// A gateway with two engines on Flight SQL, and a client of it.
async fn with_engines(test_bed: &TestBed) -> (Running, Client) {
    let gateway =
        gateway(config(&flight_engines(test_bed).await), both_protocols(EngineProtocol::FlightSql)).await;
    let client = Client::connect(gateway.flight.unwrap()).await;
    (gateway, client)
}

/// The ticket that GetFlightInfo returns for a statement.
async fn ticket(client: &Client, statement: &str) -> Ticket {
    client.info(statement).await.unwrap().endpoint[0].ticket.clone().unwrap()
}

#[tokio::test]
async fn ticket_runs_its_query_once() {
    let test_bed = TestBed::default();
    let (_gateway, client) = with_engines(&test_bed).await;
    let client = client.with_class("statement", None);
    let info = client.info("SELECT 1").await.unwrap();
    assert_eq!(test_bed.attempts("SELECT 1"), 0, "GetFlightInfo alone runs nothing");
    let ticket = info.endpoint[0].ticket.clone().unwrap();
    assert_eq!(client.get(ticket.clone()).await.unwrap(), mysql::expected_rows());
    assert_eq!(client.get(ticket).await.unwrap_err().code(), Code::InvalidArgument);
    assert_eq!(test_bed.attempts("SELECT 1"), 1);
    assert_eq!(client.with_class("batch-post", Some("k")).update("INSERT 1").await.unwrap(), 41);
}

/// Guards against a ticket that another process of the same configuration takes for one of its own: its client was served
/// with the rows of another client's statement.
#[tokio::test]
async fn ticket_of_another_process_of_the_configuration_is_unknown() {
    let test_bed = TestBed::default();
    let ((_one, client), (_other, other_client)) =
        (with_engines(&test_bed).await, with_engines(&test_bed).await);
    let (client, other_client) =
        (client.with_class("statement", None), other_client.with_class("statement", None));
    let mut tickets = Vec::new();
    for n in 0..8 {
        tickets.push((ticket(&client, &format!("SELECT {n}")).await, &other_client));
        tickets.push((ticket(&other_client, &format!("SELECT other {n}")).await, &client));
    }
    for (ticket, client_of_other_process) in tickets {
        let answer = client_of_other_process.get(ticket).await;
        assert_eq!(answer.map(|_| "rows").unwrap_err().code(), Code::InvalidArgument);
    }
    assert_eq!(test_bed.0.lock().unwrap().received.len(), 0, "a statement of another client ran");
}

/// Guards against tickets that a client can guess from its own.
#[tokio::test]
async fn tickets_have_no_common_part() {
    let test_bed = TestBed::default();
    let (_gateway, client) = with_engines(&test_bed).await;
    let client = client.with_class("statement", None);
    let mut halves = BTreeSet::new();
    for n in 0..32 {
        let ticket = ticket(&client, &format!("SELECT {n}")).await;
        let handle = &ticket.ticket[ticket.ticket.len() - TICKET_HANDLE_BYTES..];
        let (first, second) = handle.split_at(TICKET_HANDLE_BYTES / 2);
        assert!(halves.insert(first.to_vec()) && halves.insert(second.to_vec()), "{handle:?}");
    }
}

/// Guards against processes of one configuration that generate the same trace ids: an engine could take the requests of
/// one for those of the other.
#[tokio::test]
async fn generated_trace_ids_differ_between_processes_of_the_configuration() {
    let record = RequestLog::default();
    let engine = start_modelled_engine("a", Some(Shape { cores: 8.0, ..Shape::default() }), record.clone());
    let engine = engine.await.address;
    for _ in 0..2 {
        let gateway = gateway(config(&[engine]), both_protocols(EngineProtocol::Resp)).await;
        let client = Client::connect(gateway.flight.unwrap()).await.with_class("lookup", None);
        for n in 0..4 {
            client.query(&format!("SELECT {n}")).await.unwrap();
        }
    }
    let traces: BTreeSet<_> = record.entries().into_iter().map(|entry| entry.trace).collect();
    assert_eq!((record.attempts_at("a"), traces.len()), (8, 8), "{traces:?}");
}

#[tokio::test]
async fn bad_input_and_unknown_methods_have_different_statuses() {
    let test_bed = TestBed::default();
    let (_gateway, client) = with_engines(&test_bed).await;
    let code =
        |answer: Result<_, tonic::Status>| answer.map(|_: arrow_flight::FlightInfo| ()).unwrap_err().code();
    assert_eq!(code(client.info("SELECT 1").await), Code::InvalidArgument);
    assert_eq!(code(client.with_class("nothing", None).info("SELECT 1").await), Code::InvalidArgument);
    assert_eq!(code(client.with_class("batch-post", None).info("INSERT").await), Code::InvalidArgument);
    assert_eq!(
        code(client.with_class("lookup", None).with_header("reedwalk-trace", "xyz").info("SELECT 1").await),
        Code::InvalidArgument
    );
    let timed = client.with_class("lookup", None).with_header("grpc-timeout", "soon");
    assert_eq!(timed.query("SELECT 1").await.unwrap_err().code(), Code::InvalidArgument);
    let mut inner = client.service_client();
    let action = inner.do_action(client.request(Action::new("Unheard", ""))).await;
    assert_eq!(action.unwrap_err().code(), Code::Unimplemented);
    let schema = inner.get_schema(client.request(FlightDescriptor::default())).await;
    assert_eq!(schema.unwrap_err().code(), Code::Unimplemented);
    assert_eq!(test_bed.0.lock().unwrap().received.len(), 0);
}

#[tokio::test]
async fn broken_result_stream_is_retried_on_another_engine() {
    let test_bed = TestBed::default();
    let (_gateway, client) = with_engines(&test_bed).await;
    assert_eq!(client.with_class("statement", None).query("CUT 1").await.unwrap(), mysql::expected_rows());
    assert_eq!(test_bed.attempts("CUT 1"), 2);
}

#[tokio::test]
async fn lost_acknowledgement_is_retried_with_its_key_and_has_one_effect() {
    let test_bed = TestBed::default();
    let (_gateway, client) = with_engines(&test_bed).await;
    let started = Instant::now();
    assert_eq!(client.with_class("batch-post", Some("key-1")).update("LOSE 1").await.unwrap(), 41);
    assert!(started.elapsed() < Duration::from_secs(12));
    assert_eq!(test_bed.attempts("LOSE 1"), 2);
    let state = test_bed.0.lock().unwrap();
    assert_eq!(state.effects, ["LOSE 1"]);
    assert_eq!(state.keys, ["key-1".to_owned()].into());
}

#[tokio::test]
async fn cancelled_call_is_cancelled_at_the_engine() {
    let test_bed = TestBed::default();
    let (_gateway, client) = with_engines(&test_bed).await;
    let call = tokio::spawn(async move { client.with_class("statement", None).query("HANG 1").await });
    until("the attempt is in flight", || test_bed.attempts("HANG 1") == 1).await;
    call.abort();
    until("the attempt is cancelled at the engine", || test_bed.was_cancelled("HANG 1")).await;
    assert_eq!(test_bed.attempts("HANG 1"), 1);
}

#[tokio::test]
async fn caller_deadline_is_enforced() {
    let test_bed = TestBed::default();
    let (_gateway, client) = with_engines(&test_bed).await;
    let started = Instant::now();
    let answer = client.with_class("adjust", None).with_header("grpc-timeout", "300m").query("HANG 1").await;
    assert_eq!(outcome(answer), Outcome::Failed("DEADLINE"));
    let elapsed = started.elapsed();
    assert!(elapsed >= Duration::from_millis(290) && elapsed < Duration::from_millis(900), "{elapsed:?}");
}

#[tokio::test]
async fn drain_takes_effect_within_two_seconds() {
    let test_bed = TestBed::default();
    let engines = ListedEngines::start(flight_engines(&test_bed).await).await;
    let gateway = gateway(engines.config.clone(), both_protocols(EngineProtocol::FlightSql)).await;
    let client = Client::connect(gateway.flight.unwrap()).await.with_class("lookup", None);
    for n in 0..4 {
        client.query(&format!("SELECT {n}")).await.unwrap();
    }
    assert!(test_bed.attempts_at("a") > 0);
    engines.drain(0);
    let drained = Instant::now();
    engines.wait_until_read().await;
    assert!(drained.elapsed() < Duration::from_secs(2));
    let sent = test_bed.attempts_at("a");
    for n in 10..20 {
        client.query(&format!("SELECT {n}")).await.unwrap();
    }
    assert_eq!(test_bed.attempts_at("a"), sent);
}

/// Guards against a second run of a statement that must not be repeated: its engine, which ran it in GetFlightInfo,
/// drained meanwhile, and the attempt counted as never sent.
#[tokio::test]
async fn statement_that_its_engine_has_run_is_fetched_although_the_engine_drains() {
    let test_bed = TestBed::default();
    let engines = ListedEngines::start(flight_engines(&test_bed).await).await;
    let gateway = gateway(engines.config.clone(), both_protocols(EngineProtocol::FlightSql)).await;
    let mut client = mysql::Client::connect(gateway.mysql).await;
    client.send_query(&fields("adjust", 2900, None, "EAGER 1")).await;
    until("an engine runs the statement", || test_bed.attempts("EAGER 1") == 1).await;
    engines.drain(if test_bed.attempts_at("a") == 1 { 0 } else { 1 });
    assert_eq!(client.answer().await.map(|rows| rows.len()), Ok(600));
    assert_eq!(test_bed.attempts("EAGER 1"), 1, "the statement ran at two engines");
}

/// Guards against a second run of a statement that must not be repeated: its engine ran it in GetFlightInfo and then
/// rejected DoGet, which counted as proof that nothing had run.
#[tokio::test]
async fn rejected_do_get_does_not_prove_that_nothing_ran() {
    let test_bed = TestBed::default();
    let (_gateway, client) = with_engines(&test_bed).await;
    let once = client.with_class("adjust", None).query("EAGERFULL 1").await;
    assert_eq!(outcome(once), Outcome::Failed("ENGINE"));
    assert_eq!(test_bed.attempts("EAGERFULL 1"), 1, "the statement ran at two engines");
}

#[tokio::test]
async fn engine_in_slow_start_is_not_overloaded() {
    let test_bed = TestBed::default();
    let mut config = config(&flight_engines(&test_bed).await);
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let endpoints = config.initial_endpoints.as_mut().unwrap();
    endpoints["results"][0]["fleet"]["servers"][0]["started_ms"] = now_ms.into();
    let gateway = gateway(config, both_protocols(EngineProtocol::FlightSql)).await;
    let client = Client::connect(gateway.flight.unwrap())
        .await
        .with_class("lookup", None)
        .with_header("reedwalk-work-ms", "600");
    let started = Instant::now();
    for n in 0..60 {
        client.query(&format!("SELECT {n}")).await.unwrap();
    }
    // In a second an engine in slow start may get 2.5 times the work of a third of its eight cores. An even share of
    // the 60 requests would be 30.
    let allowed = 2.5 * 0.33 * 8.0 * (1.0 + started.elapsed().as_secs_f64()) / 0.6;
    let sent = test_bed.attempts_at("a") as f64;
    assert!(sent <= allowed && sent < 20.0, "{sent} of 60 were sent to the engine, {allowed} are allowed");
    assert!(test_bed.attempts_at("b") >= 40);
}

/// The requests that are sent over both protocols: class, key, statement, and whether it is an update.
const REQUESTS: [(&str, Option<&str>, &str, bool); 12] = [
    ("lookup", None, "SELECT 1", false),
    ("lookup", None, "SELECT 2", false),
    ("statement", None, "CUT 1", false),
    ("batch-post", Some("k1"), "LOSE 1", true),
    ("batch-post", Some("k2"), "INSERT 2", true),
    ("adjust", None, "HANG 1", false),
    ("adjust", None, "ERROR 1", false),
    ("adjust", None, "BUSY 1", false),
    ("lookup", None, "ERROR 2", false),
    ("nothing", None, "SELECT 3", false),
    ("batch-post", None, "INSERT 3", true),
    ("statement", None, "SELECT 4", false),
];

/// A timeout in milliseconds, long enough for all statements but those that hang.
fn timeout_ms(statement: &str) -> u64 {
    if statement.starts_with("HANG") { 500 } else { 2900 }
}

fn count_outcomes(outcomes: Vec<Outcome>) -> BTreeMap<Outcome, usize> {
    outcomes.into_iter().fold(BTreeMap::new(), |mut counts, outcome| {
        *counts.entry(outcome).or_default() += 1;
        counts
    })
}

#[tokio::test]
async fn both_protocols_give_the_same_outcomes() {
    let over_mysql = async {
        let test_bed = TestBed::default();
        let gateway = gateway(config(&resp_engines(&test_bed).await), OperatorConfig::default()).await;
        let mut outcomes = Vec::new();
        for (class, key, statement, _) in REQUESTS {
            let mut client = mysql::Client::connect(gateway.mysql).await;
            outcomes.push(client.outcome(&fields(class, timeout_ms(statement), key, statement)).await);
        }
        (outcomes, test_bed)
    };
    let over_flight = async {
        let test_bed = TestBed::default();
        let (_gateway, client) = with_engines(&test_bed).await;
        let mut outcomes = Vec::new();
        for (class, key, statement, update) in REQUESTS {
            let timeout = format!("{}m", timeout_ms(statement));
            let client = client.with_class(class, key).with_header("grpc-timeout", &timeout);
            outcomes.push(if update {
                outcome(client.update(statement).await)
            } else {
                outcome(client.query(statement).await)
            });
        }
        (outcomes, test_bed)
    };
    let ((mysql, mysql_engines), (flight, flight_engines)) = tokio::join!(over_mysql, over_flight);
    assert_eq!(mysql, flight);
    let counts = count_outcomes(mysql);
    assert_eq!(counts, count_outcomes(flight));
    // The requests have every kind of outcome.
    let kinds = [
        Outcome::Served,
        Outcome::Rejected("BUSY", true),
        Outcome::Failed("ENGINE"),
        Outcome::Failed("DEADLINE"),
        Outcome::BadInput,
    ];
    assert!(kinds.iter().all(|k| counts.contains_key(k)), "{counts:?}");
    assert_eq!(mysql_engines.0.lock().unwrap().effects, flight_engines.0.lock().unwrap().effects);
}

#[tokio::test]
async fn refused_connection_is_retried_on_another_engine() {
    // A class that must not run twice is retried only if the first attempt certainly never ran.
    let test_bed = TestBed::default();
    let engines = [unused_address().await, start_engine("b", test_bed.clone()).await];
    let gateway = gateway(config(&engines), both_protocols(EngineProtocol::FlightSql)).await;
    let client = Client::connect(gateway.flight.unwrap()).await.with_class("adjust", None);
    for n in 0..4 {
        assert_eq!(outcome(client.query(&format!("SELECT {n}")).await), Outcome::Served);
    }
    // A statement whose result stream is cut may have run: it is not retried, and the caller gets an error.
    assert_eq!(outcome(client.query("CUT 1").await), Outcome::Failed("ENGINE"));
    assert_eq!(test_bed.attempts("CUT 1"), 1);
}
