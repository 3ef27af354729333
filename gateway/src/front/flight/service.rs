//! The Flight SQL service: turns calls into requests to the broker, and responses into results.

use super::header::Header;
use super::result;
use super::ticket::{ConnectionNumber, Statement, Tickets};
use crate::broker::RequestQueue;
use crate::front::flight::metadata as meta;
use crate::front::sql::table_group;
use crate::front::{MAX_MEMORY_MB, MAX_WORK_MS, is_trace_id};
use crate::message::{self, Rows};
use crate::metrics::RequestOutcome;
use crate::request_memory::RequestMemory;
use arrow_flight::encode::FlightDataEncoderBuilder;
use arrow_flight::error::FlightError;
use arrow_flight::flight_service_server::FlightService;
use arrow_flight::sql::server::{FlightSqlService, PeekableFlightDataStream};
use arrow_flight::sql::{
    CommandStatementQuery, CommandStatementUpdate, ProstMessageExt, TicketStatementQuery,
};
use arrow_flight::{Action, FlightDescriptor, FlightEndpoint, FlightInfo, Ticket};
use bytes::Bytes;
use futures::{TryStreamExt, stream};
use prost::Message;
use reedwalk_scheduler::ClassId;
use reedwalk_settings::{Deployment, duration_from_ms};
use std::sync::Arc;
use tokio::time::Instant;
use tonic::metadata::MetadataMap;
use tonic::{Request, Response, Status};

/// Longest accepted idempotency key.
const MAX_KEY_BYTES: usize = 128;
/// Memory of a ticket beside its statement.
const TICKET_OVERHEAD_BYTES: usize = 512;

/// The Flight SQL service for one connection. All connections share its state.
#[derive(Clone, Debug)]
pub struct Service {
    pub(super) request_queue: RequestQueue,
    pub(super) deployment: Arc<Deployment>,
    pub(super) tickets: Arc<Tickets>,
    pub(super) memory: Arc<RequestMemory>,
    pub(super) connection: ConnectionNumber,
}

fn invalid_metadata(key: &str) -> Status {
    Status::invalid_argument(format!("the metadata '{key}' is missing or makes no sense"))
}

impl Service {
    /// Reads the request fields from the metadata of a call.
    fn read_header(&self, metadata: &MetadataMap) -> Result<Header, Status> {
        let class = self.read_class(metadata)?;
        let trace = meta::text(metadata, meta::TRACE);
        if trace.is_some_and(|trace| !is_trace_id(trace)) {
            return Err(invalid_metadata(meta::TRACE));
        }
        let key = self.read_idempotency_key(metadata, class)?;
        let work_ms = read_estimate(metadata, meta::WORK, MAX_WORK_MS)?;
        Ok(Header {
            class,
            trace: trace.map(str::to_owned),
            key,
            is_retry: meta::text(metadata, meta::RETRY) == Some("1"),
            team: meta::text(metadata, meta::TEAM).map(Arc::from),
            work: work_ms.map(duration_from_ms),
            memory_mb: read_estimate(metadata, meta::MEMORY, MAX_MEMORY_MB)?,
        })
    }

    fn read_class(&self, metadata: &MetadataMap) -> Result<ClassId, Status> {
        let name = meta::text(metadata, meta::CLASS).ok_or_else(|| invalid_metadata(meta::CLASS))?;
        self.deployment.sockets.class_id(name).ok_or_else(|| invalid_metadata(meta::CLASS))
    }

    /// Reads the idempotency key, which is required if the class deduplicates requests.
    fn read_idempotency_key(&self, metadata: &MetadataMap, class: ClassId) -> Result<Option<String>, Status> {
        let key = meta::text(metadata, meta::KEY);
        let class = &self.deployment.scheduler.classes[class.0];
        let is_required = class.idempotency.deduplication().is_some();
        if key.map_or(is_required, |key| !is_valid_key(key)) {
            return Err(invalid_metadata(meta::KEY));
        }
        Ok(key.map(str::to_owned))
    }

    /// Stores a statement and returns the handle of its ticket; `None` if there is no room for it.
    fn issue_ticket(&self, header: Header, text: String) -> Option<[u8; 16]> {
        let memory = self.memory.reserve(text.len() + TICKET_OVERHEAD_BYTES)?;
        self.tickets.insert(self.connection, Statement { header, text, memory }, Instant::now())
    }

    /// Submits a statement and waits for its response. If the future is dropped earlier, for example because the client
    /// cancels the call, the broker treats the client as disconnected.
    async fn execute(
        &self,
        header: Header,
        text: String,
        update: bool,
        metadata: &MetadataMap,
    ) -> Result<Rows, Status> {
        let request = self.build_request(header, text, update, metadata)?;
        let response = match self.request_queue.submit(request) {
            Ok(mut pending) => pending.response().await,
            Err(rejected) => Some(rejected),
        };
        match response {
            Some(message::Response::Served(rows)) => Ok(rows),
            Some(message::Response::Rejected { reason, retry_after }) => {
                Err(result::rejection_status(reason, retry_after))
            }
            Some(message::Response::Failed(reason)) => Err(result::failure_status(reason)),
            None => Err(Status::internal("the broker has ended")),
        }
    }

    /// Builds the request for a statement. Its timeout starts now.
    fn build_request(
        &self,
        header: Header,
        text: String,
        update: bool,
        metadata: &MetadataMap,
    ) -> Result<message::Request, Status> {
        let now = Instant::now();
        let max_timeout = self.deployment.scheduler.classes[header.class.0].deadline;
        let timeout = match meta::text(metadata, meta::TIMEOUT) {
            Some(text) => meta::parse_timeout(text).ok_or_else(|| invalid_metadata(meta::TIMEOUT))?,
            None => max_timeout,
        };
        // Random, as engines may take two requests with one id for the same, whichever gateway or process they come from.
        let trace = header.trace.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()));
        Ok(message::Request {
            trace_id: trace.into(),
            class: header.class,
            team: header.team,
            deadline: now + timeout.min(max_timeout),
            is_retry: header.is_retry,
            idempotency_key: header.key.map(Bytes::from),
            work: header.work,
            memory_mb: header.memory_mb,
            table_group: table_group(text.as_bytes()),
            is_update: update,
            statement: text.into(),
        })
    }
}

fn is_valid_key(text: &str) -> bool {
    let is_valid_byte = |byte: u8| byte.is_ascii_graphic() && byte != b',';
    (1..=MAX_KEY_BYTES).contains(&text.len()) && text.bytes().all(is_valid_byte)
}

/// Reads an optional number of at most `max` from the metadata.
fn read_estimate(metadata: &MetadataMap, name: &str, max: f64) -> Result<Option<f64>, Status> {
    match meta::number(metadata, name).transpose() {
        Ok(value) if value.is_none_or(|value| value <= max) => Ok(value),
        _ => Err(invalid_metadata(name)),
    }
}

#[tonic::async_trait]
impl FlightSqlService for Service {
    type FlightService = Service;

    async fn get_flight_info_statement(
        &self,
        query: CommandStatementQuery,
        request: Request<FlightDescriptor>,
    ) -> Result<Response<FlightInfo>, Status> {
        if query.transaction_id.is_some() {
            return Err(Status::unimplemented("transactions"));
        }
        let (header, text) = (self.read_header(request.metadata())?, query.query);
        let class = header.class;
        let handle = self.issue_ticket(header, text).ok_or_else(|| {
            self.request_queue.count_unqueued(class, RequestOutcome::Rejected);
            result::shed_status()
        })?;
        let ticket = TicketStatementQuery { statement_handle: Bytes::copy_from_slice(&handle) };
        let ticket = Ticket::new(ticket.as_any().encode_to_vec());
        let endpoint = FlightEndpoint::new().with_ticket(ticket);
        let info = FlightInfo::new().with_endpoint(endpoint).with_descriptor(request.into_inner());
        Ok(Response::new(info))
    }

    async fn do_get_statement(
        &self,
        ticket: TicketStatementQuery,
        request: Request<Ticket>,
    ) -> Result<Response<<Self as FlightService>::DoGetStream>, Status> {
        // A ticket is valid for one DoGet, so that a duplicate call can't execute the statement again.
        let statement = self.tickets.take(&ticket.statement_handle, Instant::now());
        let statement = statement.ok_or_else(|| Status::invalid_argument("the ticket is unknown or used"))?;
        // The reservation is held until the statement has been executed.
        let Statement { header, text, memory: _memory } = statement;
        let rows = self.execute(header, text, false, request.metadata()).await?;
        let (schema, batches) = result::record_batches(rows).map_err(|e| Status::internal(e.to_string()))?;
        let data = FlightDataEncoderBuilder::new().with_schema(schema);
        let data = data.build(stream::iter(batches.into_iter().map(Ok::<_, FlightError>)));
        Ok(Response::new(Box::pin(data.map_err(Status::from))))
    }

    async fn do_put_statement_update(
        &self,
        command: CommandStatementUpdate,
        request: Request<PeekableFlightDataStream>,
    ) -> Result<i64, Status> {
        if command.transaction_id.is_some() {
            return Err(Status::unimplemented("transactions"));
        }
        let header = self.read_header(request.metadata())?;
        let metadata = request.metadata().clone();
        let rows = self.execute(header, command.query, true, &metadata).await?;
        // In Flight SQL, -1 means that the number of rows is unknown.
        Ok(rows.changed.unwrap_or(-1))
    }

    async fn do_action_fallback(
        &self,
        request: Request<Action>,
    ) -> Result<Response<<Self as FlightService>::DoActionStream>, Status> {
        Err(Status::unimplemented(format!("action {}", request.get_ref().r#type)))
    }
}
