//! A stand-in for an engine on Arrow Flight SQL. As some servers of that protocol do, it runs a query when it gets it, in
//! `GetFlightInfo`, and keeps the result for the `DoGet` call that fetches it.

use crate::engine::{Attempt, EngineLog, time_of};
use arrow_array::{RecordBatch, StringArray};
use arrow_flight::encode::FlightDataEncoderBuilder;
use arrow_flight::error::FlightError;
use arrow_flight::flight_service_server::{FlightService, FlightServiceServer};
use arrow_flight::sql::server::FlightSqlService;
use arrow_flight::sql::{CommandStatementQuery, ProstMessageExt, TicketStatementQuery};
use arrow_flight::{FlightDescriptor, FlightEndpoint, FlightInfo, Ticket};
use arrow_schema::{DataType, Field, Schema};
use futures::{TryStreamExt, stream};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::service::TowerToHyperService;
use prost::Message;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};
use tonic::{Request, Response, Status};

/// Columns of every result.
const COLUMNS: [&str; 3] = ["statement", "count", "engine"];

/// Rows of every result.
const RESULT_ROWS: i64 = 1;

#[derive(Clone)]
struct Engine {
    id: &'static str,
    log: EngineLog,
}

/// Starts an engine; returns its address.
///
/// # Panics
///
/// If no socket can be bound.
pub async fn start_flight_engine(id: &'static str, log: &EngineLog) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("no free port");
    let address = listener.local_addr().expect("no address");
    let engine = Engine { id, log: log.clone() };
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let service = TowerToHyperService::new(FlightServiceServer::new(engine.clone()));
            let server = hyper::server::conn::http2::Builder::new(TokioExecutor::new());
            tokio::spawn(server.serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}

/// A running query; it is recorded as cancelled if it is dropped before its end.
struct RunningQuery<'a> {
    engine: &'a Engine,
    statement: &'a str,
    ended: bool,
}

impl Drop for RunningQuery<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.engine.line(&format!("CANCELLED while it ran: {}", self.statement));
        }
    }
}

impl Engine {
    fn line(&self, text: &str) {
        self.log.record.line(&format!("engine {}: {text}", self.id));
    }

    fn result(&self, statement: &str) -> RecordBatch {
        let fields: Vec<_> = COLUMNS.iter().map(|name| Field::new(*name, DataType::Utf8, true)).collect();
        let column = |text: &str| Arc::new(StringArray::from_iter_values([text])) as _;
        let columns = vec![column(statement), column("1"), column(self.id)];
        RecordBatch::try_new(Arc::new(Schema::new(fields)), columns).expect("the columns fit the schema")
    }
}

#[tonic::async_trait]
impl FlightSqlService for Engine {
    type FlightService = Engine;

    async fn get_flight_info_statement(
        &self,
        query: CommandStatementQuery,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        let trace = request.metadata().get("reedwalk-trace").and_then(|trace| trace.to_str().ok());
        self.log.add(Attempt {
            at: Instant::now(),
            engine: self.id.to_owned(),
            trace: trace.unwrap_or_default().to_owned(),
            fields: "GetFlightInfo".to_owned(),
            statement: query.query.clone(),
        });
        let mut running = RunningQuery { engine: self, statement: &query.query, ended: false };
        sleep(time_of(&query.query)).await;
        running.ended = true;
        self.log.add_effect(self.id, &query.query);
        let ticket = TicketStatementQuery { statement_handle: query.query.clone().into() };
        let endpoint = FlightEndpoint::new().with_ticket(Ticket::new(ticket.as_any().encode_to_vec()));
        Ok(Response::new(FlightInfo::new().with_endpoint(endpoint).with_total_records(RESULT_ROWS)))
    }

    async fn do_get_statement(
        &self,
        ticket: TicketStatementQuery,
        _: Request<Ticket>,
    ) -> Result<Response<<Self as FlightService>::DoGetStream>, Status> {
        let statement = String::from_utf8_lossy(&ticket.statement_handle).into_owned();
        self.line(&format!("DoGet of its result: {statement}"));
        let batches = stream::iter([Ok::<_, FlightError>(self.result(&statement))]);
        let messages = FlightDataEncoderBuilder::new().build(batches).map_err(Status::from);
        let mut response: Response<<Self as FlightService>::DoGetStream> = Response::new(Box::pin(messages));
        let time = time_of(&statement).as_millis().to_string();
        response.metadata_mut().insert("reedwalk-work-ms", time.parse().expect("a number"));
        response
            .metadata_mut()
            .insert("reedwalk-load", "util:0.2;queue:0;x1:0.1;x0:0.1".parse().expect("text"));
        Ok(response)
    }
}
