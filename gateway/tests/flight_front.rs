//! The Flight SQL front and links, with stand-ins on loopback.

mod support;

use arrow_flight::{Action, FlightDescriptor};
use reedwalk_gateway::operator::{EngineWire, Operator};
use reedwalk_gateway::serve::Running;
use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use support::flight::{Client, ended, engine};
use support::mysql::{self, fields};
use support::{Ended, World, both_fronts, config, discovery_server, gateway, resp, until};
use tonic::Code;

async fn with_engines(world: &World) -> (Running, Client) {
    let engines = [engine("a", world.clone()).await, engine("b", world.clone()).await];
    let gateway = gateway(config(&engines), both_fronts(EngineWire::FlightSql)).await;
    let client = Client::connect(gateway.flight.unwrap()).await;
    (gateway, client)
}

#[tokio::test]
async fn a_query_runs_once_for_its_ticket() {
    let world = World::default();
    let (_gateway, client) = with_engines(&world).await;
    let client = client.of("statement", None);
    let info = client.info("SELECT 1").await.unwrap();
    assert_eq!(world.attempts("SELECT 1"), 0, "GetFlightInfo alone runs nothing");
    let ticket = info.endpoint[0].ticket.clone().unwrap();
    assert_eq!(client.get(ticket.clone()).await.unwrap(), mysql::expected());
    assert_eq!(client.get(ticket).await.unwrap_err().code(), Code::InvalidArgument);
    assert_eq!(world.attempts("SELECT 1"), 1);
    assert_eq!(client.of("batch-post", Some("k")).update("INSERT 1").await.unwrap(), 41);
}

#[tokio::test]
async fn bad_input_and_unknown_methods_have_different_statuses() {
    let world = World::default();
    let (_gateway, client) = with_engines(&world).await;
    let code =
        |answer: Result<_, tonic::Status>| answer.map(|_: arrow_flight::FlightInfo| ()).unwrap_err().code();
    assert_eq!(code(client.info("SELECT 1").await), Code::InvalidArgument);
    assert_eq!(code(client.of("nothing", None).info("SELECT 1").await), Code::InvalidArgument);
    assert_eq!(code(client.of("batch-post", None).info("INSERT").await), Code::InvalidArgument);
    assert_eq!(
        code(client.of("lookup", None).with("reedwalk-trace", "xyz").info("SELECT 1").await),
        Code::InvalidArgument
    );
    let timed = client.of("lookup", None).with("grpc-timeout", "soon");
    assert_eq!(timed.ask("SELECT 1").await.unwrap_err().code(), Code::InvalidArgument);
    let mut inner = client.inner();
    let action = inner.do_action(client.request(Action::new("Unheard", ""))).await;
    assert_eq!(action.unwrap_err().code(), Code::Unimplemented);
    let schema = inner.get_schema(client.request(FlightDescriptor::default())).await;
    assert_eq!(schema.unwrap_err().code(), Code::Unimplemented);
    assert_eq!(world.0.lock().unwrap().sends.len(), 0);
}

#[tokio::test]
async fn stream_cut_halfway_is_retried_elsewhere() {
    let world = World::default();
    let (_gateway, client) = with_engines(&world).await;
    assert_eq!(client.of("statement", None).ask("CUT 1").await.unwrap(), mysql::expected());
    assert_eq!(world.attempts("CUT 1"), 2);
}

#[tokio::test]
async fn lost_acknowledgement_is_retried_with_its_key_and_has_one_effect() {
    let world = World::default();
    let (_gateway, client) = with_engines(&world).await;
    let asked = Instant::now();
    assert_eq!(client.of("batch-post", Some("key-1")).update("LOSE 1").await.unwrap(), 41);
    assert!(asked.elapsed() < Duration::from_secs(12));
    assert_eq!(world.attempts("LOSE 1"), 2);
    let script = world.0.lock().unwrap();
    assert_eq!(script.effects, ["LOSE 1"]);
    assert_eq!(script.keys, ["key-1".to_owned()].into());
}

#[tokio::test]
async fn cancelled_call_is_cancelled_at_the_engine() {
    let world = World::default();
    let (_gateway, client) = with_engines(&world).await;
    let call = tokio::spawn(async move { client.of("statement", None).ask("HANG 1").await });
    until("the engine has it", || world.attempts("HANG 1") == 1).await;
    call.abort();
    until("it is given up", || world.was_given_up("HANG 1")).await;
    assert_eq!(world.attempts("HANG 1"), 1);
}

#[tokio::test]
async fn the_callers_own_deadline_holds() {
    let world = World::default();
    let (_gateway, client) = with_engines(&world).await;
    let asked = Instant::now();
    let answer = client.of("adjust", None).with("grpc-timeout", "300m").ask("HANG 1").await;
    assert_eq!(ended(answer), Ended::Failed("DEADLINE"));
    let took = asked.elapsed();
    assert!(took >= Duration::from_millis(290) && took < Duration::from_millis(900), "{took:?}");
}

#[tokio::test]
async fn draining_engine_gets_nothing_new_within_two_seconds() {
    let world = World::default();
    let of = |id: &'static str, address| discovery_server::Engine {
        id: id.into(),
        address,
        draining: false,
        started_ms: 0,
    };
    let (a, b) = (engine("a", world.clone()).await, engine("b", world.clone()).await);
    let list: discovery_server::List = Default::default();
    *list.lock().unwrap() = (1, vec![of("s-0", a), of("s-1", b)]);
    let (server, told) = discovery_server::server(list.clone()).await;
    let config = reedwalk_gateway::config::Config { names: Some(server), ..config(&[a, b]) };
    let gateway = gateway(config, both_fronts(EngineWire::FlightSql)).await;
    let client = Client::connect(gateway.flight.unwrap()).await.of("lookup", None);
    for n in 0..4 {
        client.ask(&format!("SELECT {n}")).await.unwrap();
    }
    assert!(world.sends("a") > 0);
    {
        let mut list = list.lock().unwrap();
        list.0 = 2;
        list.1[0].draining = true;
    }
    let drained = Instant::now();
    let before = *told.lock().unwrap();
    until("the news was told", || *told.lock().unwrap() >= before + 2).await;
    assert!(drained.elapsed() < Duration::from_secs(2));
    let sent = world.sends("a");
    for n in 10..20 {
        client.ask(&format!("SELECT {n}")).await.unwrap();
    }
    assert_eq!(world.sends("a"), sent);
}

#[tokio::test]
async fn engine_in_slow_start_is_not_overloaded() {
    let world = World::default();
    let (a, b) = (engine("a", world.clone()).await, engine("b", world.clone()).await);
    let mut config = config(&[a, b]);
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let known = config.known.as_mut().unwrap();
    known["results"][0]["fleet"]["servers"][0]["started_ms"] = unix.into();
    let gateway = gateway(config, both_fronts(EngineWire::FlightSql)).await;
    let client =
        Client::connect(gateway.flight.unwrap()).await.of("lookup", None).with("reedwalk-work-ms", "600");
    let asked = Instant::now();
    for n in 0..60 {
        client.ask(&format!("SELECT {n}")).await.unwrap();
    }
    // What the rule allows in a second: 2.5 times a third of eight cores. Evenly spread there would be thirty.
    let allowed = 2.5 * 0.33 * 8.0 * (1.0 + asked.elapsed().as_secs_f64()) / 0.6;
    let cold = world.sends("a") as f64;
    assert!(cold <= allowed && cold < 20.0, "{cold} of 60 went to the cold engine, {allowed} are allowed");
    assert!(world.sends("b") >= 40);
}

/// The same requests to both fronts: class, key, statement, and whether it is an update.
const SCENARIO: [(&str, Option<&str>, &str, bool); 12] = [
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

/// Long enough for all but what never ends.
fn patience(statement: &str) -> u64 {
    if statement.starts_with("HANG") { 500 } else { 2900 }
}

fn count(ends: Vec<Ended>) -> BTreeMap<Ended, usize> {
    ends.into_iter().fold(BTreeMap::new(), |mut counts, end| {
        *counts.entry(end).or_default() += 1;
        counts
    })
}

#[tokio::test]
async fn both_protocols_end_the_same_requests_alike() {
    let over_mysql = async {
        let world = World::default();
        let engines = [resp::engine("a", world.clone()).await, resp::engine("b", world.clone()).await];
        let gateway = gateway(config(&engines), Operator::default()).await;
        let mut ends = Vec::new();
        for (class, key, statement, _) in SCENARIO {
            let mut client = mysql::Client::connect(gateway.mysql).await;
            ends.push(client.ended(&fields(class, patience(statement), key, statement)).await);
        }
        (ends, world)
    };
    let over_flight = async {
        let world = World::default();
        let (_gateway, client) = with_engines(&world).await;
        let mut ends = Vec::new();
        for (class, key, statement, update) in SCENARIO {
            let timeout = format!("{}m", patience(statement));
            let client = client.of(class, key).with("grpc-timeout", &timeout);
            ends.push(if update {
                ended(client.update(statement).await)
            } else {
                ended(client.ask(statement).await)
            });
        }
        (ends, world)
    };
    let ((mysql, one), (flight, two)) = tokio::join!(over_mysql, over_flight);
    assert_eq!(mysql, flight);
    let counts = count(mysql);
    assert_eq!(counts, count(flight));
    // The scenario holds every kind of end.
    let kinds = [
        Ended::Served,
        Ended::Refused("BUSY", true),
        Ended::Failed("ENGINE"),
        Ended::Failed("DEADLINE"),
        Ended::BadInput,
    ];
    assert!(kinds.iter().all(|k| counts.contains_key(k)), "{counts:?}");
    assert_eq!(one.0.lock().unwrap().effects, two.0.lock().unwrap().effects);
}

#[tokio::test]
async fn refused_connection_is_retried_elsewhere() {
    // A class that must not run twice goes out again only where the first surely never ran.
    let world = World::default();
    let closed = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let engines = [closed, engine("b", world.clone()).await];
    let gateway = gateway(config(&engines), both_fronts(EngineWire::FlightSql)).await;
    let client = Client::connect(gateway.flight.unwrap()).await.of("adjust", None);
    for n in 0..4 {
        assert_eq!(ended(client.ask(&format!("SELECT {n}")).await), Ended::Served);
    }
    // A stream that is cut may have run: it is not sent again, and the caller learns that it failed.
    assert_eq!(ended(client.ask("CUT 1").await), Ended::Failed("ENGINE"));
    assert_eq!(world.attempts("CUT 1"), 1);
}
