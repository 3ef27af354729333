//! The Flight SQL service: what is spoken of it.

use super::result;
use super::ticket::{Statement, Tickets};
use crate::broker::RequestQueue;
use crate::front::flight::metadata as meta;
use crate::front::mysql::statement::group;
use crate::front::{MEMORY_MOST, WORK_MOST};
use crate::message::{self, Rejection, Rows};
use crate::metrics::RequestOutcome;
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
use reedwalk_scheduler::{ClassId, Idempotency};
use reedwalk_settings::Deployment;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use tonic::metadata::MetadataMap;
use tonic::{Request, Response, Status};

/// Longest idempotency key that is passed on.
const KEY_MOST: usize = 128;
/// When a caller may come back for whom there was no ticket.
const TICKET_RETRY: Duration = Duration::from_secs(1);

/// What a caller says of a statement in its metadata.
#[derive(Clone, Debug)]
pub struct Header {
    class: ClassId,
    trace: Option<String>,
    key: Option<String>,
    repeated: bool,
    team: Option<Arc<str>>,
    work: Option<Duration>,
    memory_mb: Option<f64>,
}

/// The front's service; one for all connections.
#[derive(Clone, Debug)]
pub struct Service {
    pub(super) request_queue: RequestQueue,
    pub(super) deployment: Arc<Deployment>,
    pub(super) tickets: Arc<Tickets>,
}

fn bad(field: &str) -> Status {
    Status::invalid_argument(format!("the metadata '{field}' is missing or makes no sense"))
}

impl Service {
    fn header(&self, metadata: &MetadataMap) -> Result<Header, Status> {
        let text = |name| meta::text(metadata, name);
        let number = |name, most| match meta::number(metadata, name).transpose() {
            Ok(value) if value.is_none_or(|v| v <= most) => Ok(value),
            _ => Err(bad(name)),
        };
        let class = text(meta::CLASS).ok_or_else(|| bad(meta::CLASS))?;
        let place = self.deployment.sockets.classes.iter().position(|c| c == class);
        let class = ClassId(place.ok_or_else(|| bad(meta::CLASS))?);
        let hex = |t: &str| t.len() == 16 && t.bytes().all(|b| b.is_ascii_hexdigit());
        let trace = text(meta::TRACE).map(str::to_owned);
        if trace.as_deref().is_some_and(|t| !hex(t)) {
            return Err(bad(meta::TRACE));
        }
        let key = text(meta::KEY).map(str::to_owned);
        let plain = |k: &String| {
            (1..=KEY_MOST).contains(&k.len()) && k.bytes().all(|b| b.is_ascii_graphic() && b != b',')
        };
        let keyed = matches!(self.deployment.core.classes[class.0].idempotency, Idempotency::Keyed { .. });
        if keyed && key.is_none() || key.as_ref().is_some_and(|k| !plain(k)) {
            return Err(bad(meta::KEY));
        }
        Ok(Header {
            class,
            trace,
            key,
            repeated: text(meta::RETRY) == Some("1"),
            team: text(meta::TEAM).map(Arc::from),
            work: number(meta::WORK, WORK_MOST)?
                .map(|ms| Duration::from_micros((ms * 1000.0).min(1e15) as u64)),
            memory_mb: number(meta::MEMORY, MEMORY_MOST)?,
        })
    }

    /// Hands a statement in and waits for its answer. Dropped before that, as when the caller cancels, it tells
    /// the broker that the client has left.
    async fn run(
        &self,
        header: Header,
        text: String,
        update: bool,
        head: &MetadataMap,
    ) -> Result<Rows, Status> {
        let now = Instant::now();
        let waits = match meta::text(head, meta::TIMEOUT) {
            Some(text) => meta::timeout(text).ok_or_else(|| bad(meta::TIMEOUT))?,
            None => self.deployment.core.classes[header.class.0].deadline,
        };
        let longest = self.deployment.core.classes[header.class.0].deadline;
        let trace = header.trace.unwrap_or_else(|| format!("{:016x}", self.request_queue.unique_number()));
        let request = message::Request {
            trace_id: trace.into(),
            class: header.class,
            team: header.team,
            deadline: now + waits.min(longest),
            is_retry: header.repeated,
            idempotency_key: header.key.map(Bytes::from),
            work: header.work,
            memory_mb: header.memory_mb,
            table_group: group(text.as_bytes()),
            update,
            statement: text.into(),
        };
        let response = match self.request_queue.submit(request) {
            Ok(mut pending) => pending.response().await,
            Err(rejected) => Some(rejected),
        };
        match response {
            Some(message::Response::Served(rows)) => Ok(rows),
            Some(message::Response::Rejected { reason, retry_after }) => {
                Err(result::rejected(reason, retry_after))
            }
            Some(message::Response::Failed(reason)) => Err(result::failed(reason)),
            None => Err(Status::internal("the broker has ended")),
        }
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
        let statement = Statement { header: self.header(request.metadata())?, text: query.query };
        let class = statement.header.class;
        let handle = self.tickets.keep(statement, Instant::now());
        let handle = handle.ok_or_else(|| {
            self.request_queue.count_rejected(class, RequestOutcome::Rejected);
            result::rejected(Rejection::Shed, Some(TICKET_RETRY))
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
        // A ticket runs once: a second DoGet finds nothing, so it can't repeat the statement.
        let statement = self.tickets.take(&ticket.statement_handle);
        let statement = statement.ok_or_else(|| Status::invalid_argument("the ticket is unknown or used"))?;
        let rows = self.run(statement.header, statement.text, false, request.metadata()).await?;
        let (schema, batches) = result::batches(rows).map_err(|e| Status::internal(e.to_string()))?;
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
        let header = self.header(request.metadata())?;
        let head = request.metadata().clone();
        let rows = self.run(header, command.query, true, &head).await?;
        // -1 is the protocol's word for a count that is not known.
        Ok(rows.changed.unwrap_or(-1))
    }

    async fn do_action_fallback(
        &self,
        request: Request<Action>,
    ) -> Result<Response<<Self as FlightService>::DoActionStream>, Status> {
        Err(Status::unimplemented(format!("action {}", request.get_ref().r#type)))
    }
}
