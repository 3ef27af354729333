//! An engine's process that ends and another one that comes up at its address: the new one gets nothing that was begun at
//! the old one.

mod support;

use arrow_flight::encode::FlightDataEncoderBuilder;
use arrow_flight::flight_service_server::{FlightService, FlightServiceServer};
use arrow_flight::sql::server::FlightSqlService;
use arrow_flight::sql::{CommandStatementQuery, ProstMessageExt, TicketStatementQuery};
use arrow_flight::{FlightDescriptor, FlightEndpoint, FlightInfo, Ticket};
use futures::TryStreamExt;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::service::TowerToHyperService;
use prost::Message;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use support::process::{Process, ProcessConfig};
use support::{ANY_PORT, Outcome, flight, folder, mysql};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tonic::{Request, Response, Status};

/// How long the old process takes to answer the call during which it is told to end.
const LAST_CALL_TIME: Duration = Duration::from_millis(80);

/// What an engine was asked: the number of its process, and the call.
type Calls = Arc<Mutex<Vec<(usize, &'static str)>>>;

/// The calls at `process`.
fn calls_at(calls: &Calls, process: usize) -> Vec<&'static str> {
    calls.lock().unwrap().iter().filter(|(at, _)| *at == process).map(|(_, call)| *call).collect()
}

/// A process of a Flight SQL engine. Each begins to count its tickets from 1. The first one is told to end while it answers
/// GetFlightInfo: it completes its open calls and accepts no others.
#[derive(Clone)]
struct FlightEngine {
    process: usize,
    calls: Calls,
    end: Arc<Notify>,
}

#[tonic::async_trait]
impl FlightSqlService for FlightEngine {
    type FlightService = FlightEngine;

    async fn get_flight_info_statement(
        &self,
        _: CommandStatementQuery,
        _: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        self.calls.lock().unwrap().push((self.process, "GetFlightInfo"));
        if self.process == 0 {
            self.end.notify_one();
            tokio::time::sleep(LAST_CALL_TIME).await;
        }
        let ticket = TicketStatementQuery { statement_handle: "1".into() };
        let endpoint = FlightEndpoint::new().with_ticket(Ticket::new(ticket.as_any().encode_to_vec()));
        Ok(Response::new(FlightInfo::new().with_endpoint(endpoint)))
    }

    async fn do_get_statement(
        &self,
        _: TicketStatementQuery,
        _: Request<Ticket>,
    ) -> Result<Response<<Self as FlightService>::DoGetStream>, Status> {
        self.calls.lock().unwrap().push((self.process, "DoGet"));
        let data = FlightDataEncoderBuilder::new()
            .with_schema(Arc::new(arrow_schema::Schema::empty()))
            .build(futures::stream::empty());
        Ok(Response::new(Box::pin(data.map_err(Status::from))))
    }
}

/// Serves the connections to one address: each is to another process.
async fn start_flight_engine(calls: Calls) -> SocketAddr {
    let listener = TcpListener::bind(ANY_PORT).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for process in 0.. {
            let (stream, _) = listener.accept().await.unwrap();
            let engine = FlightEngine { process, calls: calls.clone(), end: Arc::default() };
            tokio::spawn(serve_flight(stream, engine));
        }
    });
    address
}

async fn serve_flight(stream: TcpStream, engine: FlightEngine) {
    let end = engine.end.clone();
    let service = TowerToHyperService::new(FlightServiceServer::new(engine));
    let server = hyper::server::conn::http2::Builder::new(TokioExecutor::new());
    let connection = server.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => {}
        () = end.notified() => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}

/// Serves the RESP connections to one address, each to another process. The first one answers that there are three pages
/// and ends; the others serve an empty result.
async fn start_resp_engine(calls: Calls) -> SocketAddr {
    let listener = TcpListener::bind(ANY_PORT).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for process in 0.. {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(serve_resp(stream, process, calls.clone()));
        }
    });
    address
}

async fn serve_resp(mut stream: TcpStream, process: usize, calls: Calls) {
    let mut buffer = vec![0; 4096];
    while let Ok(length) = stream.read(&mut buffer).await {
        let Ok(text) = std::str::from_utf8(&buffer[..length]) else { return };
        if text.is_empty() {
            return;
        }
        let words: Vec<_> = text.split("\r\n").collect();
        let command = ["PULL", "SCROLL", "KILL", "DISCARD", "BOOST"].into_iter().find(|c| words.contains(c));
        calls.lock().unwrap().push((process, command.unwrap_or("?")));
        let id = words[words.iter().position(|word| *word == "PULL").unwrap_or(2) + 2];
        let (fields, body) = if process == 0 { ("total=3", "a\tb\tc\n") } else { ("total=1", "a\tb\tc\n") };
        let bulk = |text: &str| format!("${}\r\n{text}\r\n", text.len());
        let answer = format!("*4\r\n{}{}{}{}", bulk(id), bulk("200"), bulk(fields), bulk(body));
        if stream.write_all(answer.as_bytes()).await.is_err() || process == 0 {
            return;
        }
    }
}

/// A gateway process with one engine, whose protocol this is.
fn start_gateway(engine: SocketAddr, protocol: &str) -> Process {
    let folder = folder();
    let (config, operator) = (folder.join("config.json"), folder.join("operator.kdl"));
    std::fs::write(&config, ProcessConfig::new(&[engine]).text()).unwrap();
    let settings = format!("flight {{\n    listen \"127.0.0.1:0\"\n}}\nengines \"{protocol}\"\n");
    std::fs::write(&operator, settings).unwrap();
    Process::start(&config, &folder, Some(&operator))
}

#[derive(Clone, Copy, Debug)]
enum Front {
    MySql,
    Flight,
}

/// Sends one query on this front and returns how it ended.
async fn query(gateway: &Process, front: Front, class: &str) -> Outcome {
    match front {
        Front::MySql => {
            let mut client = mysql::Client::connect(gateway.mysql).await;
            client.outcome(&mysql::fields(class, 2500, None, "SELECT 1")).await
        }
        Front::Flight => {
            let client = flight::Client::connect(gateway.flight.unwrap()).await.with_class(class, None);
            flight::outcome(client.query("SELECT 1").await)
        }
    }
}

/// Guards against a ticket of an ended process that is fetched at the one that came up at its address: that one has issued a
/// ticket with the same text for another statement, which then runs, or whose rows are answered.
#[tokio::test]
async fn ticket_of_an_ended_engine_is_not_fetched_at_its_successor() {
    for front in [Front::MySql, Front::Flight] {
        for (class, runs_again) in [("lookup", true), ("adjust", false)] {
            let calls = Calls::default();
            let gateway = start_gateway(start_flight_engine(calls.clone()).await, "flight-sql");
            let outcome = query(&gateway, front, class).await;
            println!("{front:?} {class}: {outcome:?}, {:?}", calls.lock().unwrap());
            assert_eq!(calls_at(&calls, 0), ["GetFlightInfo"]);
            let at_successor = calls_at(&calls, 1);
            assert_ne!(
                at_successor.first(),
                Some(&"DoGet"),
                "{front:?} {class}: it never issued that ticket"
            );
            assert_eq!(at_successor.is_empty(), !runs_again, "{front:?} {class}: {at_successor:?}");
            assert_eq!(outcome == Outcome::Served, runs_again, "{front:?} {class}: {outcome:?}");
        }
    }
}

/// Guards against pages of an ended process that are asked for at the one that came up at its address.
#[tokio::test]
async fn pages_of_an_ended_engine_are_not_read_at_its_successor() {
    for front in [Front::MySql, Front::Flight] {
        for (class, runs_again) in [("lookup", true), ("adjust", false)] {
            let calls = Calls::default();
            let gateway = start_gateway(start_resp_engine(calls.clone()).await, "resp");
            let outcome = query(&gateway, front, class).await;
            println!("{front:?} {class}: {outcome:?}, {:?}", calls.lock().unwrap());
            let at_successor = calls_at(&calls, 1);
            assert!(at_successor.iter().all(|call| *call == "PULL"), "{front:?} {class}: {at_successor:?}");
            assert_eq!(at_successor.is_empty(), !runs_again, "{front:?} {class}: {at_successor:?}");
            assert_eq!(outcome == Outcome::Served, runs_again, "{front:?} {class}: {outcome:?}");
        }
    }
}
