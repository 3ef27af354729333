//! A front end on several cores: what goes wrong between cores, caused on purpose.

mod support;

use reedwalk_gateway::config::Config;
use reedwalk_gateway::limits::Limits;
use reedwalk_gateway::operator;
use reedwalk_gateway::operator::{EngineWire, Operator};
use reedwalk_gateway::serve::Running;
use reedwalk_testkit::load_generator::{self, Kind, Plan};
use reedwalk_testkit::model::Shape;
use reedwalk_testkit::request_log::{Record, SlowStart};
use reedwalk_testkit::resp::modelled;
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use support::mysql::{Client, fields};
use support::{
    Ended, World, both_fronts, config, discovery_server, flight, gateway, known, resp, settings, until,
};
use tokio::io::AsyncReadExt;

/// Longer than any news may take, and than the notes that an attempt may miss.
const STALL: Duration = Duration::from_millis(3_000);
/// What the rule gives a draining engine.
const GRACE: Duration = Duration::from_secs(2);

fn cores(cores: usize) -> Operator {
    Operator { cores, ..Operator::default() }
}

/// The core that holds one more connection than before.
fn newcomer(running: &Running, before: &[usize]) -> usize {
    let now = running.multicore().connections_per_core();
    (0..now.len()).find(|c| now[*c] > before[*c]).expect("no core has a new connection")
}

/// A core that stands still from before this returns.
fn stall(running: &Running, core: usize, span: Duration) {
    let (began, begins) = std::sync::mpsc::channel();
    running.multicore().spawn_on(core, async move {
        began.send(()).unwrap();
        std::thread::sleep(span);
    });
    begins.recv().unwrap();
}

/// A configuration with one engine under which nothing is given up for having waited some seconds.
fn patient(names: SocketAddr, engine: SocketAddr) -> Config {
    let mut settings = settings();
    settings["RequestClasses"][0]["SloUs"] = json!(6_000_000);
    let deployment = reedwalk_settings::read(&settings).unwrap();
    Config { names: Some(names), deployment, ..config(&[engine]) }
}

/// A front end on four cores with one engine, a session on one core and a connection to the engine on another.
async fn apart(world: &World, names: SocketAddr, engine: SocketAddr) -> (Running, Client, usize, usize) {
    let running = gateway(patient(names, engine), cores(4)).await;
    let before = running.multicore().connections_per_core();
    let mut client = Client::connect(running.mysql).await;
    let session = newcomer(&running, &before);
    let before = running.multicore().connections_per_core();
    assert_eq!(client.ended(&fields("lookup", 5000, None, "SELECT 1")).await, Ended::Served);
    let link = newcomer(&running, &before);
    assert!(session != link && session != 0 && link != 0, "core 0 judges, and each has its own core");
    assert_eq!(world.attempts("SELECT 1"), 1);
    (running, client, session, link)
}

fn listed(id: &'static str, address: SocketAddr, draining: bool) -> discovery_server::Engine {
    discovery_server::Engine { id: id.into(), address, draining, started_ms: 0 }
}

#[tokio::test]
async fn attempt_on_a_stalled_core_is_not_written_to_a_drained_engine() {
    let world = World::default();
    let (a, b) = (resp::engine("a", world.clone()).await, resp::engine("b", world.clone()).await);
    let list = discovery_server::List::default();
    *list.lock().unwrap() = (2, vec![listed("s-0", a, false)]);
    let (server, _) = discovery_server::server(list.clone()).await;
    let (running, mut client, _, link) = apart(&world, server, a).await;
    stall(&running, link, STALL);
    let stalled = Instant::now();
    client.stream_query(&fields("lookup", 6000, None, "SELECT 2")).await;
    // The order is on its way to the stalled core before the news comes.
    tokio::time::sleep(Duration::from_millis(100)).await;
    *list.lock().unwrap() = (3, vec![listed("s-0", a, true), listed("s-1", b, false)]);
    let told = Instant::now();
    assert!(client.answer().await.is_ok(), "the module missed its notes and went elsewhere");
    assert_eq!((world.sends("a"), world.sends("b")), (1, 1));
    // Once the core goes on it has dealt with all that lay there when its beat is back.
    until("the core has gone on", || {
        stalled.elapsed() > STALL && running.multicore().takes_connections(link)
    })
    .await;
    assert!(told.elapsed() > GRACE);
    assert_eq!(world.sends("a"), 1, "a late send");
}

#[tokio::test]
async fn attempt_never_reaches_a_new_engine_at_the_same_address() {
    let world = World::default();
    let a = resp::engine("a", world.clone()).await;
    let list = discovery_server::List::default();
    *list.lock().unwrap() = (2, vec![listed("s-0", a, false)]);
    let (server, _) = discovery_server::server(list.clone()).await;
    let (running, mut client, _, link) = apart(&world, server, a).await;
    assert_eq!(world.connections("a"), 1);
    // Shorter than the notes that may be missed: the order still stands when the core goes on.
    stall(&running, link, Duration::from_millis(800));
    client.stream_query(&fields("lookup", 6000, None, "SELECT 2")).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    *list.lock().unwrap() = (3, vec![listed("s-9", a, false)]);
    assert!(client.answer().await.is_ok());
    assert_eq!(world.attempts("SELECT 2"), 1);
    assert_eq!(world.connections("a"), 2, "it went to the new engine on the old one's connection");
}

#[tokio::test]
async fn attempt_behind_a_full_socket_is_not_written_to_a_drained_engine() {
    const QUERIES: usize = 30;
    // Its bound lets all of them out at once; the socket takes a part.
    let mut large = settings();
    large["Specifics"]["SizeCores"] = json!([64]);
    let deployment = reedwalk_settings::read(&large).unwrap();
    let world = World::default();
    let b = resp::engine("b", world.clone()).await;
    // It accepts, and reads nothing until it is told to.
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let a = listener.local_addr().unwrap();
    let list = discovery_server::List::default();
    *list.lock().unwrap() = (2, vec![listed("s-0", a, false)]);
    let (server, _) = discovery_server::server(list.clone()).await;
    let config = Config { names: Some(server), deployment, ..config(&[a]) };
    let running = gateway(config, cores(4)).await;
    let mut clients = Vec::new();
    for n in 0..QUERIES {
        let mut client = Client::connect(running.mysql).await;
        let statement = format!("SELECT {n} /* {} */", "x".repeat(250_000));
        client.stream_query(&fields("lookup", 6000, None, &statement)).await;
        clients.push(client);
    }
    let (mut engine, _) = listener.accept().await.unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    *list.lock().unwrap() = (3, vec![listed("s-0", a, true), listed("s-1", b, false)]);
    let told = Instant::now();
    for client in &mut clients {
        // Served elsewhere, or refused.
        assert!(client.answer().await.is_ok_and(|rows| !rows.is_empty()) || world.sends("b") > 0);
    }
    until("the grace is over", || told.elapsed() > GRACE).await;
    let mut bytes = Vec::new();
    while let Ok(Ok(n)) = tokio::time::timeout(Duration::from_millis(300), engine.read_buf(&mut bytes)).await
    {
        if n == 0 {
            break;
        }
    }
    let pulls = bytes.windows(10).filter(|w| w == b"$4\r\nPULL\r\n").count();
    let kills = bytes.windows(10).filter(|w| w == b"$4\r\nKILL\r\n").count();
    assert!((1..QUERIES).contains(&pulls), "{pulls} begun, of {QUERIES}");
    assert!(kills <= pulls, "{pulls} begun before the drain, {kills} given up there");
}

#[tokio::test]
async fn stalled_core_gets_no_connections_until_it_recovers() {
    let world = World::default();
    let running = gateway(config(&[resp::engine("a", world.clone()).await]), cores(4)).await;
    let cores = running.multicore();
    stall(&running, 1, STALL);
    until("the stall is seen", || !cores.takes_connections(1)).await;
    let began = Instant::now();
    let mut clients = Vec::new();
    for n in 0..6 {
        let mut client = Client::connect(running.mysql).await;
        let asked = fields("lookup", 5000, None, &format!("SELECT {n}"));
        assert_eq!(client.ended(&asked).await, Ended::Served);
        clients.push(client);
    }
    assert!(
        !cores.takes_connections(1) && began.elapsed() < STALL,
        "all were served while the core stood still"
    );
    assert_eq!(cores.connections_per_core()[1], 0);
    until("the core is back", || cores.takes_connections(1)).await;
    let client = Client::connect(running.mysql).await;
    until("a connection lies there", || cores.connections_per_core()[1] == 1).await;
    drop((client, clients));
    until("all are gone", || cores.connections_per_core()[1] == 0).await;
}

#[tokio::test]
async fn requests_end_at_their_deadline_while_the_broker_core_is_stalled() {
    let world = World::default();
    let running = gateway(config(&[resp::engine("a", world.clone()).await]), cores(3)).await;
    let mut client = Client::connect(running.mysql).await;
    assert_eq!(client.ended(&fields("lookup", 5000, None, "SELECT 1")).await, Ended::Served);
    stall(&running, 0, STALL);
    let began = Instant::now();
    assert_eq!(client.ended(&fields("lookup", 1000, None, "SELECT 2")).await, Ended::Failed("DEADLINE"));
    assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
    // What the judge finds when it goes on was left long ago; what comes then is judged again.
    until("it goes on", || running.multicore().takes_connections(0) && began.elapsed() > STALL).await;
    assert_eq!(client.ended(&fields("lookup", 5000, None, "SELECT 3")).await, Ended::Served);
    assert_eq!(world.attempts("SELECT 2"), 0);
}

#[tokio::test]
async fn ended_core_closes_only_its_own_connections() {
    let world = World::default();
    let list = discovery_server::List::default();
    let a = resp::engine("a", world.clone()).await;
    *list.lock().unwrap() = (2, vec![listed("s-0", a, false)]);
    let (server, _) = discovery_server::server(list).await;
    let (mut running, mut client, session, link) = apart(&world, server, a).await;
    // A task that panics ends alone.
    running.multicore().spawn_on(session, async { panic!("a task panics, as this test wants") });
    assert_eq!(client.ended(&fields("lookup", 5000, None, "SELECT 2")).await, Ended::Served);
    // What must not run twice is out on the core that ends: its end is told at once, not when its time is up.
    client.stream_query(&fields("adjust", 3000, None, "HANG 1")).await;
    until("it is out", || world.attempts("HANG 1") == 1).await;
    running.multicore().stop(link);
    assert_eq!(
        client.answer().await.unwrap_err().0,
        1105,
        "failed by its engine's connection, not by its deadline"
    );
    assert_eq!(running.next_lost_core().await, Some(link));
    assert_eq!(client.ended(&fields("lookup", 5000, None, "SELECT 3")).await, Ended::Served);
    // The core with the session ends: its client sees its connection close.
    client.stream_query(&fields("lookup", 5000, None, "HANG 2")).await;
    until("it is out", || world.attempts("HANG 2") == 1).await;
    running.multicore().stop(session);
    assert_eq!(client.read().await, None);
    assert_eq!(running.next_lost_core().await, Some(session));
    until("its engine was told", || world.was_given_up("HANG 2")).await;
    let mut other = Client::connect(running.mysql).await;
    assert_eq!(other.ended(&fields("lookup", 5000, None, "SELECT 4")).await, Ended::Served);
}

#[tokio::test]
async fn end_of_the_broker_core_closes_connections_and_is_reported() {
    let world = World::default();
    let running = gateway(config(&[resp::engine("a", world.clone()).await]), cores(3)).await;
    let mut client = Client::connect(running.mysql).await;
    client.stream_query(&fields("lookup", 6000, None, "HANG 1")).await;
    until("it is out", || world.attempts("HANG 1") == 1).await;
    let unjudged = running.broker_ended();
    running.multicore().stop(0);
    assert_eq!(client.read().await, None, "its connection ends, long before its deadline");
    unjudged.await;
}

#[tokio::test]
async fn kill_query_works_across_cores() {
    let world = World::default();
    let running = gateway(config(&[resp::engine("a", world.clone()).await]), cores(4)).await;
    let (mut one, mut other) = (Client::connect(running.mysql).await, Client::connect(running.mysql).await);
    let held = running.multicore().connections_per_core();
    assert!(held.iter().all(|h| *h <= 1), "on two cores: {held:?}");
    one.stream_query(&fields("lookup", 6000, None, "HANG 1")).await;
    until("it is out", || world.attempts("HANG 1") == 1).await;
    assert_eq!(other.ask(&format!("KILL QUERY {}", one.id)).await, Ok(Vec::new()));
    assert_eq!(one.answer().await.unwrap_err().0, 1317);
    until("its engine was told", || world.was_given_up("HANG 1")).await;
}

/// Sessions on every core that takes any.
async fn on_all_cores(running: &Running, sessions: usize) -> Vec<Client> {
    let mut clients = Vec::new();
    for _ in 0..sessions {
        clients.push(Client::connect(running.mysql).await);
    }
    let held = running.multicore().connections_per_core();
    assert!(held[1..].iter().all(|h| *h >= sessions / held.len()), "{held:?}");
    clients
}

#[tokio::test]
async fn shutdown_finishes_requests_on_all_cores() {
    let record = Record::default();
    let engine = modelled("a", Some(Shape { cores: 8.0, ..Shape::default() }), record.clone()).await;
    let running = gateway(config(&[engine.address]), cores(4)).await;
    let mut clients = on_all_cores(&running, 9).await;
    for (n, client) in clients.iter_mut().enumerate() {
        client.stream_query(&fields("lookup", 6000, None, &format!("SELECT {n} WORK 400"))).await;
    }
    until("all are out", || record.began("a") == 9).await;
    let closing = tokio::spawn(running.close(tokio::time::Instant::now()));
    for client in &mut clients {
        assert!(client.answer().await.is_ok());
    }
    closing.await.unwrap();
}

#[tokio::test]
async fn reload_applies_on_all_cores_within_a_second() {
    let world = World::default();
    let (a, b) = (resp::engine("a", world.clone()).await, resp::engine("b", world.clone()).await);
    let running = gateway(config(&[a]), cores(4)).await;
    let mut clients = on_all_cores(&running, 9).await;
    let list = discovery_server::List::default();
    *list.lock().unwrap() = (9, vec![listed("s-1", b, false)]);
    let (server, _) = discovery_server::server(list).await;
    let took = Instant::now();
    running.reloads().apply(Config { names: Some(server), ..config(&[a]) });
    // The first that reaches the new engine; the old one is gone from the list then.
    while world.sends("b") == 0 {
        assert!(took.elapsed() < Duration::from_secs(1));
        assert_eq!(clients[0].ended(&fields("lookup", 5000, None, "SELECT 1")).await, Ended::Served);
    }
    let before = world.sends("a");
    for client in &mut clients {
        assert_eq!(client.ended(&fields("lookup", 5000, None, "SELECT 2")).await, Ended::Served);
    }
    assert_eq!((world.sends("a"), world.sends("b") >= 10), (before, true));
}

fn statements(rate: f64, patience_ms: u64) -> Plan {
    let kind = Kind {
        route: "statement",
        share: 1.0,
        work_ms: 1500.0,
        spread: 0.1,
        threads: 3.0,
        patience_ms,
        keyed: false,
        aim_ms: 1000.0,
        stretch: 1.5,
        worth: 4.0,
        late_worth: 0.3,
    };
    Plan { rate, span: Duration::from_secs(3), sessions: 160, threads: 8, seed: 11, kinds: vec![kind] }
}

/// Two warm engines and one that has just started, under more than they can do; windows in which the cold one was
/// sent too much, and how much it was sent in all. Front ends on one core each believe that they are alone.
async fn cold_start(fronts: usize, cores_each: usize, rate: f64, told: bool) -> (usize, usize, f64) {
    let (record, shape) = (Record::default(), Shape { cores: 8.0, ..Shape::default() });
    // It does not fall over, so that all that is sent can be counted.
    let cold = Shape { cold: Some((0.33, 15.0)), tip: (1e9, 1.0, 1.0), ..shape.clone() };
    let mut engines = Vec::new();
    for (name, shape) in [("a", &shape), ("b", &shape), ("c", &cold)] {
        engines.push(modelled(name, Some(shape.clone()), record.clone()).await.address);
    }
    let at = Instant::now();
    let started_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let mut list = known(&engines);
    list["results"][0]["fleet"]["servers"][2]["started_ms"] = json!(if told { started_ms } else { 0 });
    let mut running = Vec::new();
    for n in 0..fronts {
        let config = Config { known: Some(list.clone()), seed: 7 + n as u64, ..config(&engines) };
        running.push(gateway(config, cores(cores_each)).await);
    }
    let addresses: Vec<_> = running.iter().map(|r| r.mysql).collect();
    let plan = statements(rate, 4000);
    let result = tokio::task::spawn_blocking(move || {
        load_generator::play(&addresses, &plan, Duration::from_millis(200))
    })
    .await;
    assert_eq!(result.unwrap().lost, 0);
    let (second, ramp) = (Duration::from_secs(1), Duration::from_secs(15));
    let start =
        SlowStart { engine: "c".into(), at, cores: 8.0, from: 0.33, ramp, window: second, multiple: 2.5 };
    (record.slow_start_overruns(&start), record.began("c"), record.slow_start_peak(&start))
}

#[tokio::test]
async fn all_cores_together_keep_to_a_slow_start_budget() {
    let (overruns, sent, peak) = cold_start(1, 8, 60.0, true).await;
    assert_eq!(overruns, 0, "{sent} sent, the fullest window at {peak}");
}

#[tokio::test]
async fn checker_detects_uncoordinated_slow_start() {
    let (overruns, ..) = cold_start(8, 1, 60.0, false).await;
    assert!(overruns > 0);
}

/// Eight tries of one key at once over eight sessions; the most that were out at one moment.
async fn eight_tries(fronts: usize, cores_each: usize) -> usize {
    let record = Record::default();
    let mut engines = Vec::new();
    for name in ["a", "b", "c"] {
        let shape = Shape { cores: 8.0, ..Shape::default() };
        engines.push(modelled(name, Some(shape), record.clone()).await.address);
    }
    let mut ordered = settings();
    ordered["RequestClasses"][2]["InOrder"] = json!(true);
    let deployment = reedwalk_settings::read(&ordered).unwrap();
    let mut running = Vec::new();
    for _ in 0..fronts {
        let config = Config { deployment: deployment.clone(), ..config(&engines) };
        running.push(gateway(config, cores(cores_each)).await);
    }
    let mut clients = Vec::new();
    for n in 0..8 {
        clients.push(Client::connect(running[n % fronts].mysql).await);
    }
    let key = Some("00112233445566778899aabbccddeeff");
    for (n, client) in clients.iter_mut().enumerate() {
        client
            .stream_query(&fields("batch-post", 12000, key, &format!("INSERT {n} WORK 60 THREADS 2")))
            .await;
    }
    for client in &mut clients {
        assert!(client.answer().await.is_ok());
    }
    record.most_out_of_a_key()
}

#[tokio::test]
async fn one_key_is_never_in_flight_twice_across_cores() {
    assert_eq!(eight_tries(1, 4).await, 1);
    assert!(eight_tries(4, 1).await > 1, "the checker finds judges that do not know of each other");
}

#[test]
fn too_many_cores_are_an_error_with_its_line() {
    let operator = reedwalk_gateway::operator::read("// for the busy days\ncores 17").unwrap();
    let fault = operator.check(&Limits { sockets: 1024, ..Limits::default() }).unwrap_err();
    assert_eq!((fault.line, fault.what.contains("1088 descriptors")), (2, true), "{fault}");
    let enough = Limits { sockets: 1088, ..Limits::default() };
    assert_eq!(operator.check(&enough), Ok(()));
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../deploy/cores.kdl");
    let read = operator::read_file(std::path::Path::new(example)).unwrap();
    assert_eq!((read.cores, read.check(&Limits::default())), (4, Ok(())));
}

#[tokio::test]
async fn flight_calls_cross_cores_and_respect_the_drain_guard() {
    let world = World::default();
    let (a, b) = (flight::engine("a", world.clone()).await, flight::engine("b", world.clone()).await);
    let list = discovery_server::List::default();
    *list.lock().unwrap() = (2, vec![listed("s-0", a, false)]);
    let (server, _) = discovery_server::server(list.clone()).await;
    let operator = Operator { cores: 4, ..both_fronts(EngineWire::FlightSql) };
    let running = gateway(patient(server, a), operator).await;
    let before = running.multicore().connections_per_core();
    let client = flight::Client::connect(running.flight.unwrap()).await.of("lookup", None);
    until("the connection lies on a core", || running.multicore().connections_per_core() != before).await;
    let session = newcomer(&running, &before);
    let before = running.multicore().connections_per_core();
    assert_eq!(client.ask("SELECT 1").await.unwrap().len(), 600);
    let link = newcomer(&running, &before);
    assert_ne!(session, link);
    let info = client.info("SELECT 2").await.unwrap();
    stall(&running, link, STALL);
    let ticket = info.endpoint[0].ticket.clone().unwrap();
    let asking = tokio::spawn(async move { client.get(ticket).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    *list.lock().unwrap() = (3, vec![listed("s-0", a, true), listed("s-1", b, false)]);
    assert!(asking.await.unwrap().is_ok(), "withdrawn at the gate, and served elsewhere");
    assert_eq!((world.sends("a"), world.sends("b")), (1, 1), "a late send");
}
