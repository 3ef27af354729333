//! A queued request is not forwarded later than 0.3 s after its client disconnected. The tests cover every kind of
//! disconnect and every place where a request may wait, and check the attempts that the engines received.

mod support;

use reedwalk_gateway::config::Config;
use reedwalk_gateway::operator::{EngineProtocol, FlightFront, OperatorConfig};
use reedwalk_gateway::serve::Running;
use socket2::SockRef;
use std::net::SocketAddr;
use std::time::Duration;
use support::mysql::{Client, fields};
use support::{
    ANY_PORT, Outcome, ReceivedAttempt, TestBed, both_protocols, config_with, console, discovery_server,
    endpoint_list, flight, gateway, listed, resp, settings, until,
};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until};

/// The operators' limit on the time from a disconnect to the last attempt for its request.
const MAX_DISCONNECT_LATENCY: Duration = Duration::from_millis(300);
/// The timeout of the requests, longer than any test: a request that ends earlier was ended by the disconnect.
const TIMEOUT_MS: u64 = 30_000;
/// The connect timeout for engines: in some tests a connection is established late.
const CONNECT_TIMEOUT_US: u64 = 8_000_000;

/// How a client disconnects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DisconnectKind {
    /// KILL QUERY from a new session, as the protocol documentation describes.
    KillQuery,
    /// The connection is closed.
    Close,
    /// The connection is reset.
    Reset,
    /// The write side is closed; the client still reads.
    HalfClose,
    /// A close after a few bytes that the gateway has not read.
    CloseAfterBytes,
    /// A close after more bytes than the gateway reads ahead.
    CloseAfterManyBytes,
    /// A Flight call is cancelled; its connection stays open.
    CancelCall,
    /// The connection of a Flight call is closed.
    CloseFlight,
}

const DISCONNECT_KINDS: [DisconnectKind; 8] = [
    DisconnectKind::KillQuery,
    DisconnectKind::Close,
    DisconnectKind::Reset,
    DisconnectKind::HalfClose,
    DisconnectKind::CloseAfterBytes,
    DisconnectKind::CloseAfterManyBytes,
    DisconnectKind::CancelCall,
    DisconnectKind::CloseFlight,
];

enum PendingClient {
    MySql(Client),
    Flight(flight::Client, JoinHandle<Outcome>),
}

/// The connection that a disconnect leaves open, if any.
type OpenConnection = Option<Box<dyn Send>>;

/// A client that waits for the answer to its query.
struct PendingQuery {
    kind: DisconnectKind,
    statement: String,
    client: PendingClient,
}

impl PendingQuery {
    /// Sends a query from a new client, which will disconnect in the given way.
    async fn send(gateway: &Running, kind: DisconnectKind, statement: String) -> Self {
        let client = match kind {
            DisconnectKind::CancelCall | DisconnectKind::CloseFlight => {
                let client = flight::Client::connect(gateway.flight.unwrap()).await;
                let (caller, statement) = (client.with_class("statement", None), statement.clone());
                let call = tokio::spawn(async move { flight::outcome(caller.query(&statement).await) });
                PendingClient::Flight(client, call)
            }
            _ => {
                let mut client = Client::connect(gateway.mysql).await;
                client.send_query(&fields("statement", TIMEOUT_MS, None, &statement)).await;
                PendingClient::MySql(client)
            }
        };
        Self { kind, statement, client }
    }

    /// Disconnects. The caller has to hold the connection that stays open, if any.
    async fn disconnect(self, gateway: &Running) -> OpenConnection {
        let mut client = match self.client {
            PendingClient::Flight(client, call) => {
                call.abort();
                return (self.kind == DisconnectKind::CancelCall).then(|| Box::new(client) as Box<dyn Send>);
            }
            PendingClient::MySql(client) => client,
        };
        match self.kind {
            DisconnectKind::KillQuery => {
                let mut killer = Client::connect(gateway.mysql).await;
                killer.query(&format!("KILL QUERY {}", client.id)).await.unwrap();
                return Some(Box::new(client));
            }
            DisconnectKind::Reset => {
                SockRef::from(&client.stream).set_linger(Some(Duration::ZERO)).unwrap();
            }
            DisconnectKind::HalfClose => {
                client.stream.shutdown().await.unwrap();
                return Some(Box::new(client));
            }
            DisconnectKind::CloseAfterBytes => client.stream.write_all(&[1; 40]).await.unwrap(),
            DisconnectKind::CloseAfterManyBytes => _ = client.stream.write_all(&vec![1; 100_000]).await,
            _ => {}
        }
        None
    }
}

/// A configuration with a long connect timeout, under which no request is shed for its age.
fn slow_connect_config(engines: &[SocketAddr]) -> Config {
    let mut settings = settings();
    settings["Limits"]["ConnectTimeoutUs"] = CONNECT_TIMEOUT_US.into();
    // Otherwise requests would be shed after a second or two, or for an engine that sends no progress reports.
    settings["RequestClasses"][1]["SloUs"] = 9_000_000.into();
    settings["RequestClasses"][1]["GiveUpUs"] = (TIMEOUT_MS * 1000).into();
    settings["Specifics"]["ProgressUs"] = 0.into();
    let mut config = Config { console: Some(ANY_PORT.parse().unwrap()), ..config_with(engines, &settings) };
    config.limits.sockets = 4096;
    config
}

/// Both protocols, with enough Flight connections for these tests.
fn operator_config() -> OperatorConfig {
    let flight = FlightFront { max_connections: 256, ..both_protocols(EngineProtocol::Resp).flight.unwrap() };
    OperatorConfig { flight: Some(flight), ..OperatorConfig::default() }
}

/// A gateway with both protocols and no engine yet: every request is queued.
async fn without_engines() -> (Running, discovery_server::EngineList) {
    let list = endpoint_list(1, Vec::new());
    let (server, _) = discovery_server::start_server(list.clone()).await;
    let config = Config { name_server: Some(server), ..slow_connect_config(&[]) };
    (gateway(config, operator_config()).await, list)
}

/// Waits until this many requests are pending.
async fn wait_for_pending(gateway: &Running, expected: u64) {
    console::wait_for_metrics(gateway.console.unwrap(), "pending requests", |metrics| {
        metrics["pending"] == expected
    })
    .await;
}

/// Replaces the engine list by this one engine.
fn list_engine(list: &discovery_server::EngineList, address: SocketAddr) {
    *list.lock().unwrap() = (2, vec![listed("s-0", address)]);
}

/// Sends `per_kind` queries for every kind of disconnect, and a query from each of `staying` clients that do not
/// disconnect.
async fn send_queries(
    gateway: &Running,
    per_kind: usize,
    staying: usize,
) -> (Vec<PendingQuery>, Vec<Client>) {
    let mut queries = Vec::new();
    for n in 0..per_kind {
        for kind in DISCONNECT_KINDS {
            queries.push(PendingQuery::send(gateway, kind, format!("SELECT {kind:?} {n}")).await);
        }
    }
    let mut clients = Vec::new();
    for n in 0..staying {
        let mut client = Client::connect(gateway.mysql).await;
        client.send_query(&fields("statement", TIMEOUT_MS, None, &format!("SELECT stays {n}"))).await;
        clients.push(client);
    }
    (queries, clients)
}

/// The statements of clients that have disconnected.
struct Disconnected {
    statements: Vec<String>,
    /// When the last of them disconnected.
    last_at: Instant,
    /// Held so that the connections stay open.
    _open: Vec<OpenConnection>,
}

impl Disconnected {
    /// Disconnects the clients of all these queries.
    async fn all(gateway: &Running, queries: Vec<PendingQuery>) -> Self {
        let (mut statements, mut open) = (Vec::new(), Vec::new());
        for query in queries {
            statements.push(query.statement.clone());
            open.push(query.disconnect(gateway).await);
        }
        Self { statements, last_at: Instant::now(), _open: open }
    }

    /// Waits until no attempt may be sent for them any more.
    async fn wait_for_max_latency(&self) {
        sleep_until(self.last_at + MAX_DISCONNECT_LATENCY).await;
    }

    /// The statements that engines received later than allowed.
    fn late_attempts(&self, test_bed: &TestBed) -> Vec<String> {
        let received = test_bed.0.lock().unwrap().received.clone();
        let limit = self.last_at + MAX_DISCONNECT_LATENCY;
        let late = |a: &&ReceivedAttempt| a.at > limit && self.statements.contains(&a.statement);
        received.iter().filter(late).map(|a| a.statement.clone()).collect()
    }
}

#[tokio::test]
async fn queued_requests_of_disconnected_clients_are_never_forwarded() {
    let (gateway, list) = without_engines().await;
    let (queries, staying) = send_queries(&gateway, 50, 8).await;
    wait_for_pending(&gateway, 408).await;
    let disconnected = Disconnected::all(&gateway, queries).await;
    disconnected.wait_for_max_latency().await;
    let test_bed = TestBed::default();
    list_engine(&list, resp::start_engine("a", test_bed.clone()).await);
    for mut client in staying {
        assert_eq!(client.answer().await.unwrap().len(), 600, "the requests of connected clients are served");
    }
    wait_for_pending(&gateway, 0).await;
    assert_eq!(disconnected.statements.len(), 400);
    assert_eq!(disconnected.late_attempts(&test_bed), Vec::<String>::new());
}

#[tokio::test]
async fn disconnected_clients_are_never_forwarded_after_sigterm() {
    let (gateway, list) = without_engines().await;
    let (queries, staying) = send_queries(&gateway, 5, 4).await;
    wait_for_pending(&gateway, 44).await;
    let disconnect_during_shutdown = async {
        let disconnected = Disconnected::all(&gateway, queries).await;
        disconnected.wait_for_max_latency().await;
        let test_bed = TestBed::default();
        list_engine(&list, resp::start_engine("a", test_bed.clone()).await);
        for mut client in staying {
            assert_eq!(client.answer().await.unwrap().len(), 600);
        }
        assert_eq!(disconnected.late_attempts(&test_bed), Vec::<String>::new());
    };
    tokio::join!(gateway.begin_shutdown(Instant::now()), disconnect_during_shutdown);
}

/// A listener whose accept queue is full: new connections are established only once it is emptied.
fn full_listener() -> (TcpListener, Vec<std::net::TcpStream>) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(ANY_PORT.parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let mut queued = Vec::new();
    // The kernel establishes one connection more than the backlog and drops further attempts to connect.
    while let Ok(stream) = std::net::TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
        queued.push(stream);
        assert!(queued.len() < 16, "the accept queue does not fill up");
    }
    (listener, queued)
}

/// Forwards every connection of the listener to this address.
fn start_relay(listener: TcpListener, engine: SocketAddr) {
    tokio::spawn(async move {
        while let Ok((mut inbound, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut outbound = TcpStream::connect(engine).await.unwrap();
                let _ = tokio::io::copy_bidirectional(&mut inbound, &mut outbound).await;
            });
        }
    });
}

#[tokio::test]
async fn disconnected_clients_are_never_forwarded_while_connecting() {
    let (listener, queued) = full_listener();
    let gateway = gateway(slow_connect_config(&[listener.local_addr().unwrap()]), operator_config()).await;
    let (queries, mut staying) = send_queries(&gateway, 2, 1).await;
    wait_for_pending(&gateway, 17).await;
    let disconnected = Disconnected::all(&gateway, queries).await;
    disconnected.wait_for_max_latency().await;
    // Makes room in the accept queue: the gateway's connections are established; the closed ones sent no bytes.
    drop(queued);
    let test_bed = TestBed::default();
    start_relay(listener, resp::start_engine("a", test_bed.clone()).await);
    assert_eq!(
        staying[0].answer().await.unwrap().len(),
        600,
        "served on a connection that was established late"
    );
    wait_for_pending(&gateway, 0).await;
    assert_eq!(disconnected.late_attempts(&test_bed), Vec::<String>::new());
}

#[tokio::test]
async fn disconnected_clients_are_never_retried() {
    // The engine rejects every attempt for these statements as busy.
    let test_bed = TestBed::default();
    let engine = resp::start_engine("a", test_bed.clone()).await;
    let gateway = gateway(slow_connect_config(&[engine]), operator_config()).await;
    let mut queries = Vec::new();
    for kind in DISCONNECT_KINDS {
        queries.push(PendingQuery::send(&gateway, kind, format!("BUSY {kind:?}")).await);
    }
    until("a request was rejected by the engine", || {
        queries.iter().any(|query| test_bed.attempts(&query.statement) > 0)
    })
    .await;
    let disconnected = Disconnected::all(&gateway, queries).await;
    disconnected.wait_for_max_latency().await;
    wait_for_pending(&gateway, 0).await;
    let mut client = Client::connect(gateway.mysql).await;
    assert_eq!(client.outcome(&fields("statement", TIMEOUT_MS, None, "SELECT 1")).await, Outcome::Served);
    assert_eq!(disconnected.late_attempts(&test_bed), Vec::<String>::new());
}

#[tokio::test]
async fn attempt_of_disconnected_client_is_cancelled_at_the_engine() {
    let test_bed = TestBed::default();
    let engine = resp::start_engine("a", test_bed.clone()).await;
    let gateway = gateway(slow_connect_config(&[engine]), operator_config()).await;
    for kind in DISCONNECT_KINDS {
        let statement = format!("HANG {kind:?}");
        let query = PendingQuery::send(&gateway, kind, statement.clone()).await;
        until("the attempt is in flight", || test_bed.attempts(&statement) > 0).await;
        let _open = query.disconnect(&gateway).await;
        until("the attempt is cancelled at the engine", || test_bed.was_cancelled(&statement)).await;
    }
}
