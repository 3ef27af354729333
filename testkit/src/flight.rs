//! A scripted engine and a client of Arrow Flight SQL, written from its public documentation.

use crate::{Outcome, ScriptedResponse, TestBed, rows};
use arrow_array::{Array, RecordBatch, StringArray};
use arrow_flight::decode::FlightRecordBatchStream;
use arrow_flight::encode::FlightDataEncoderBuilder;
use arrow_flight::error::FlightError;
use arrow_flight::flight_service_client::FlightServiceClient;
use arrow_flight::flight_service_server::{FlightService, FlightServiceServer};
use arrow_flight::sql::server::{FlightSqlService, PeekableFlightDataStream};
use arrow_flight::sql::{
    CommandStatementQuery, CommandStatementUpdate, DoPutUpdateResult, ProstMessageExt, TicketStatementQuery,
};
use arrow_flight::{FlightData, FlightDescriptor, FlightEndpoint, FlightInfo, Ticket};
use arrow_schema::{DataType, Field, Schema};
use futures::{StreamExt, TryStreamExt, stream};
use hyper::client::conn::http2::SendRequest;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::service::TowerToHyperService;
use prost::Message;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tonic::body::Body;
use tonic::metadata::MetadataMap;
use tonic::{Code, Request, Response, Status};
use tonic_types::StatusExt;

/// Number of rows in a record batch.
const ROWS_PER_BATCH: usize = 200;
/// Columns of the result.
const COLUMNS: [&str; 3] = ["day", "count", "note"];
/// Rows that an update changes.
const UPDATE_COUNT: i64 = 41;

/// First word of statements that an engine runs in `GetFlightInfo`, which it answers after [`INFO_RUN_TIME`].
const RUN_IN_INFO: &str = "EAGER";
/// As [`RUN_IN_INFO`], and then every `DoGet` fails with RESOURCE_EXHAUSTED.
const REJECTED_DO_GET: &str = "EAGERFULL";
/// First word of statements that a full engine rejects.
const REJECTED: &str = "BUSY";
/// How long an engine runs a statement in `GetFlightInfo`: longer than a gateway takes to learn of a drain and to close its
/// drain guard, half of the 2 s of grace later.
const INFO_RUN_TIME: Duration = Duration::from_millis(1600);

/// Whether an engine receives a statement in `GetFlightInfo`; it receives others in `DoGet`.
fn is_received_in_info(statement: &str) -> bool {
    [RUN_IN_INFO, REJECTED].iter().any(|word| statement.starts_with(word))
}

/// The service of one connection of an engine.
#[derive(Clone)]
struct Engine {
    name: &'static str,
    test_bed: TestBed,
    /// Closes the connection when notified.
    disconnect: Arc<Notify>,
}

/// A call that hangs: it is logged as cancelled when it is dropped.
struct HangingCall<'a> {
    test_bed: &'a TestBed,
    statement: &'a str,
}

impl Drop for HangingCall<'_> {
    fn drop(&mut self) {
        self.test_bed.record_cancellation(self.statement);
    }
}

/// Starts an engine of this name that follows the script of `test_bed`; returns its address.
///
/// # Panics
///
/// If no socket can be bound.
pub async fn start_engine(name: &'static str, test_bed: TestBed) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).unwrap();
            let disconnect = Arc::new(Notify::new());
            let engine = Engine { name, test_bed: test_bed.clone(), disconnect: disconnect.clone() };
            tokio::spawn(serve(stream, engine, disconnect));
        }
    });
    address
}

/// Serves one connection until it ends or is broken.
async fn serve(stream: TcpStream, engine: Engine, disconnect: Arc<Notify>) {
    let service = TowerToHyperService::new(FlightServiceServer::new(engine));
    let server = hyper::server::conn::http2::Builder::new(TokioExecutor::new());
    let connection = server.serve_connection(TokioIo::new(stream), service);
    tokio::select! { _ = connection => {}, () = disconnect.notified() => {} }
}

/// The result as record batches.
fn batches() -> Vec<RecordBatch> {
    let fields: Vec<_> = COLUMNS.iter().map(|name| Field::new(*name, DataType::Utf8, true)).collect();
    let schema = Arc::new(Schema::new(fields));
    let batch = |rows: &[[String; 3]]| {
        let column = |index: usize| {
            Arc::new(StringArray::from_iter_values(rows.iter().map(|row| &row[index]))) as Arc<dyn Array>
        };
        RecordBatch::try_new(schema.clone(), vec![column(0), column(1), column(2)]).unwrap()
    };
    rows().chunks(ROWS_PER_BATCH).map(batch).collect()
}

impl Engine {
    /// Follows the script for a statement: returns how to serve it, or the status that it fails with.
    async fn receive(&self, statement: &str, metadata: &MetadataMap) -> Result<ScriptedResponse, Status> {
        let key = metadata.get("reedwalk-key").map(|key| key.to_str().unwrap());
        let response = self.test_bed.receive(self.name, statement, key);
        if statement.starts_with(RUN_IN_INFO) {
            tokio::time::sleep(INFO_RUN_TIME).await;
        }
        match response {
            ScriptedResponse::Busy => Err(Status::resource_exhausted("full")),
            ScriptedResponse::Error => Err(Status::internal("broken")),
            ScriptedResponse::Hang => {
                let _call = HangingCall { test_bed: &self.test_bed, statement };
                std::future::pending().await
            }
            ScriptedResponse::LoseAck => {
                self.disconnect.notify_one();
                std::future::pending().await
            }
            // Responses that exist only on RESP serve the result here.
            _ => Ok(response),
        }
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
        if is_received_in_info(&query.query) {
            self.receive(&query.query, request.metadata()).await?;
        }
        let ticket = TicketStatementQuery { statement_handle: query.query.into() };
        let endpoint = FlightEndpoint::new().with_ticket(Ticket::new(ticket.as_any().encode_to_vec()));
        Ok(Response::new(FlightInfo::new().with_endpoint(endpoint)))
    }

    async fn do_get_statement(
        &self,
        ticket: TicketStatementQuery,
        request: Request<Ticket>,
    ) -> Result<Response<<Self as FlightService>::DoGetStream>, Status> {
        let statement = String::from_utf8(ticket.statement_handle.to_vec()).unwrap();
        let scripted = if !is_received_in_info(&statement) {
            self.receive(&statement, request.metadata()).await?
        } else if statement.starts_with(REJECTED_DO_GET) {
            return Err(Status::resource_exhausted("no room for the result"));
        } else {
            ScriptedResponse::Serve
        };
        let encoder = FlightDataEncoderBuilder::new().build(stream::iter(batches().into_iter().map(Ok)));
        let to_status = |error: FlightError| Status::internal(error.to_string());
        let messages: Vec<_> = encoder.try_collect().await.map_err(to_status)?;
        let is_cut = scripted == ScriptedResponse::CutResult;
        let sent = if is_cut { messages.len() / 2 } else { messages.len() };
        let disconnect = self.disconnect.clone();
        // After the last message the connection is closed, or the stream ends.
        let end = async move {
            if is_cut {
                disconnect.notify_one();
                std::future::pending::<()>().await;
            }
            None
        };
        let end = stream::once(end).filter_map(|end| async move { end });
        let body = stream::iter(messages.into_iter().take(sent).map(Ok)).chain(end);
        let mut response: Response<<Self as FlightService>::DoGetStream> = Response::new(Box::pin(body));
        response.metadata_mut().insert("reedwalk-work-ms", "120".parse().unwrap());
        response.metadata_mut().insert("reedwalk-load", "util:0.2;x0:0.1".parse().unwrap());
        Ok(response)
    }

    async fn do_put_statement_update(
        &self,
        command: CommandStatementUpdate,
        request: Request<PeekableFlightDataStream>,
    ) -> Result<i64, Status> {
        self.receive(&command.query, &request.metadata().clone()).await?;
        Ok(UPDATE_COUNT)
    }
}

/// A client directly on HTTP/2, because tonic's own channel enforces a call's deadline on the client side.
#[derive(Clone)]
pub struct Client {
    sender: SendRequest<Body>,
    /// Metadata of all its calls.
    pub headers: Vec<(&'static str, String)>,
}

/// The generated client over one HTTP/2 connection.
pub type ServiceClient = FlightServiceClient<
    tower::util::BoxCloneSyncService<
        http::Request<Body>,
        http::Response<hyper::body::Incoming>,
        hyper::Error,
    >,
>;

impl Client {
    /// Connects.
    ///
    /// # Panics
    ///
    /// If there is no connection.
    pub async fn connect(address: SocketAddr) -> Self {
        Self::from_stream(TcpStream::connect(address).await.unwrap()).await
    }

    /// A client on an open connection.
    ///
    /// # Panics
    ///
    /// If the handshake fails.
    pub async fn from_stream(stream: TcpStream) -> Self {
        stream.set_nodelay(true).unwrap();
        let (sender, connection) =
            hyper::client::conn::http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await.unwrap();
        tokio::spawn(connection);
        Self { sender, headers: Vec::new() }
    }

    /// A client whose calls have this class, and an idempotency key if there is one, and no other headers.
    pub fn with_class(&self, class: &str, key: Option<&str>) -> Self {
        let mut headers = vec![("reedwalk-class", class.to_owned())];
        headers.extend(key.map(|key| ("reedwalk-key", key.to_owned())));
        Self { sender: self.sender.clone(), headers }
    }

    /// Adds a header to all calls.
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }

    /// The generated client, for calls that the methods here do not make.
    pub fn service_client(&self) -> ServiceClient {
        let sender = self.sender.clone();
        let service = tower::service_fn(move |request| {
            let mut sender = sender.clone();
            async move {
                sender.ready().await?;
                sender.send_request(request).await
            }
        });
        let origin = http::Uri::from_static("http://reedwalk");
        FlightServiceClient::with_origin(tower::util::BoxCloneSyncService::new(service), origin)
    }

    /// A message with the headers of this client.
    ///
    /// # Panics
    ///
    /// If the value of a header is not valid.
    pub fn request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        for (name, value) in &self.headers {
            request.metadata_mut().insert(*name, value.parse().unwrap());
        }
        request
    }

    /// Calls `GetFlightInfo` for a statement.
    ///
    /// # Errors
    ///
    /// The status of a call that fails.
    ///
    /// # Panics
    ///
    /// If the value of a header is not valid.
    pub async fn info(&self, text: &str) -> Result<FlightInfo, Status> {
        let command = CommandStatementQuery { query: text.into(), transaction_id: None };
        let descriptor = FlightDescriptor::new_cmd(command.as_any().encode_to_vec());
        Ok(self.service_client().get_flight_info(self.request(descriptor)).await?.into_inner())
    }

    /// Calls `DoGet` for a ticket, and returns all rows.
    ///
    /// # Errors
    ///
    /// The status of a call that fails, also midway.
    ///
    /// # Panics
    ///
    /// If a column is not of strings, or the value of a header is not valid.
    pub async fn get(&self, ticket: Ticket) -> Result<Vec<Vec<String>>, Status> {
        let body = self.service_client().do_get(self.request(ticket)).await?.into_inner();
        let batches = FlightRecordBatchStream::new_from_flight_data(body.map_err(FlightError::from));
        let batches: Vec<RecordBatch> = batches.try_collect().await.map_err(Status::from)?;
        Ok(batches.iter().flat_map(batch_rows).collect())
    }

    /// Runs a statement and returns its rows: `GetFlightInfo`, then `DoGet`.
    ///
    /// # Errors
    ///
    /// The status of a call that fails.
    ///
    /// # Panics
    ///
    /// If the info has no ticket, a column is not of strings, or the value of a header is not valid.
    pub async fn query(&self, text: &str) -> Result<Vec<Vec<String>>, Status> {
        let info = self.info(text).await?;
        self.get(info.endpoint[0].ticket.clone().unwrap()).await
    }

    /// Runs an update by `DoPut`, and returns the number of rows that it changed.
    ///
    /// # Errors
    ///
    /// The status of a call that fails.
    ///
    /// # Panics
    ///
    /// If the answer has no count, or the value of a header is not valid.
    pub async fn update(&self, text: &str) -> Result<i64, Status> {
        let command = CommandStatementUpdate { query: text.into(), transaction_id: None };
        let descriptor = FlightDescriptor::new_cmd(command.as_any().encode_to_vec());
        let data = FlightData { flight_descriptor: Some(descriptor), ..FlightData::default() };
        let call = self.request(stream::iter([data]));
        let mut body = self.service_client().do_put(call).await?.into_inner();
        let result = body.message().await?.expect("response without an update count");
        Ok(DoPutUpdateResult::decode(result.app_metadata).unwrap().record_count)
    }
}

/// The rows of a batch whose columns are all of strings.
fn batch_rows(batch: &RecordBatch) -> Vec<Vec<String>> {
    let cell = |column: &Arc<dyn Array>, row: usize| {
        column.as_any().downcast_ref::<StringArray>().unwrap().value(row).to_owned()
    };
    let cells = |row| batch.columns().iter().map(|column| cell(column, row)).collect();
    (0..batch.num_rows()).map(cells).collect()
}

/// How a call ended.
///
/// # Panics
///
/// If a rejection has no known reason, or the status is one that the gateway never answers.
pub fn outcome<T>(answer: Result<T, Status>) -> Outcome {
    const REASONS: [&str; 4] = ["BUSY", "SHED", "BUDGET", "CONTRACT"];
    let Err(status) = answer else { return Outcome::Served };
    let details = status.get_error_details();
    let reason = details.error_info().map(|info| info.reason.clone()).unwrap_or_default();
    match status.code() {
        Code::ResourceExhausted => {
            let reason =
                REASONS.into_iter().find(|known| *known == reason).expect("rejection without a known reason");
            let has_retry_delay = details.retry_info().is_some_and(|retry| retry.retry_delay.is_some());
            Outcome::Rejected(reason, has_retry_delay)
        }
        Code::InvalidArgument => Outcome::BadInput,
        Code::DeadlineExceeded => Outcome::Failed("DEADLINE"),
        Code::Internal => Outcome::Failed("ENGINE"),
        other => panic!("unmapped status {other:?}: {status}"),
    }
}
