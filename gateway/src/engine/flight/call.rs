//! The gRPC calls of one attempt at a Flight SQL engine.

use super::error::CallError;
use super::response::{load_report, outcome_of, read_rows, resource_usage};
use crate::drain_guard::DrainGuard;
use crate::engine::MAX_RESULT_BYTES;
use crate::engine::pool::ReadActivity;
use crate::front::flight::metadata as meta;
use crate::message::{AttemptEvent, AttemptRequest, AttemptResult, BrokerEvent, Rows};
use crate::metrics::Metrics;
use arrow_array::RecordBatch;
use arrow_flight::decode::FlightRecordBatchStream;
use arrow_flight::error::FlightError;
use arrow_flight::flight_service_client::FlightServiceClient;
use arrow_flight::sql::{CommandStatementQuery, CommandStatementUpdate, DoPutUpdateResult, ProstMessageExt};
use arrow_flight::{FlightData, FlightDescriptor, Ticket};
use futures::{StreamExt, TryStreamExt, stream};
use prost::Message;
use reedwalk_scheduler::Outcome;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tonic::Request;
use tonic::metadata::MetadataMap;
use tonic::transport::Channel;

/// Maximum size of one message from an engine: a whole result in Arrow's encoding, and its schema.
const MAX_MESSAGE_BYTES: usize = 4 * MAX_RESULT_BYTES;
/// Maximum memory size of the record batches of one result.
const MAX_BATCH_BYTES: usize = 4 * MAX_MESSAGE_BYTES;

/// The record batches of a result received so far, and their size in memory.
#[derive(Default)]
struct ResultBatches {
    batches: Vec<RecordBatch>,
    bytes: usize,
}

impl ResultBatches {
    fn push(&mut self, batch: RecordBatch) -> Result<(), CallError> {
        self.bytes += batch.get_array_memory_size();
        if self.bytes > MAX_BATCH_BYTES {
            return Err(CallError::InvalidResponse);
        }
        self.batches.push(batch);
        Ok(())
    }
}

/// The response to a successful attempt: the metadata of its last call, and the rows.
struct QueryResponse {
    metadata: MetadataMap,
    rows: Rows,
}

/// One attempt, with what it needs to make its calls.
pub struct FlightCall {
    client: FlightServiceClient<Channel>,
    read_activity: Arc<ReadActivity>,
    drain_guard: DrainGuard,
    attempt: AttemptRequest,
    /// Name of the request's class.
    class: String,
    metrics: Arc<Metrics>,
    /// Set when the call is made, and cleared if its connection could not be established.
    was_sent: bool,
}

impl Drop for FlightCall {
    /// Counts the attempt, even if it is cancelled. The gRPC library does not report when the last byte of a call was
    /// written; on an established connection this happens immediately.
    fn drop(&mut self) {
        if self.was_sent {
            self.metrics.count_upstream_request();
        }
    }
}

impl FlightCall {
    /// Creates an attempt on `channel` that may be sent only while `drain_guard` is open.
    pub fn new(
        channel: Channel,
        read_activity: Arc<ReadActivity>,
        drain_guard: DrainGuard,
        attempt: AttemptRequest,
        class: String,
        metrics: Arc<Metrics>,
    ) -> Self {
        let client = FlightServiceClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
        Self { client, read_activity, drain_guard, attempt, class, metrics, was_sent: false }
    }

    /// Makes the calls and reports the result to the broker.
    pub async fn run(mut self, events: mpsc::Sender<BrokerEvent>) {
        let id = self.attempt.id;
        let response = if self.attempt.is_update { self.update().await } else { self.query().await };
        let result = attempt_result(response);
        self.was_sent &= result.outcome != Outcome::ConnectFailed;
        let _ = events.send(BrokerEvent::Attempt { id, event: AttemptEvent::Ended(result) }).await;
    }

    /// Creates a request with the attempt's deadline and metadata.
    fn request<T>(&self, message: T) -> Request<T> {
        let attempt = &self.attempt;
        let mut request = Request::new(message);
        request.set_timeout(attempt.deadline.saturating_duration_since(Instant::now()));
        let idempotency_key = attempt.idempotency_key.as_ref();
        let fields = [
            (meta::CLASS, Some(self.class.clone())),
            (meta::TRACE, String::from_utf8(attempt.trace_id.to_vec()).ok()),
            (meta::KEY, idempotency_key.and_then(|key| String::from_utf8(key.to_vec()).ok())),
            (meta::MEMORY, attempt.memory_mb.map(|memory_mb| memory_mb.to_string())),
            (meta::PRIORITY, Some(attempt.priority.to_string())),
        ];
        for (name, value) in fields {
            if let Some(value) = value.and_then(|value| value.parse().ok()) {
                request.metadata_mut().insert(name, value);
            }
        }
        request
    }

    /// Checks whether the attempt may still be sent, immediately before its first call: from that call on the engine may
    /// run the statement.
    fn check_send(&mut self) -> Result<(), CallError> {
        let now = Instant::now();
        if !self.drain_guard.is_open(now) || !self.is_wanted(now) {
            return Err(CallError::NotSent);
        }
        self.was_sent = true;
        Ok(())
    }

    /// Whether the attempt has been neither cancelled nor delayed past its write deadline.
    fn is_wanted(&self, now: Instant) -> bool {
        now < self.attempt.write_deadline && !self.attempt.cancelled.is_cancelled()
    }

    fn statement(&self) -> Result<String, CallError> {
        String::from_utf8(self.attempt.statement.to_vec()).map_err(|_| CallError::InvalidResponse)
    }

    /// Calls GetFlightInfo, then DoGet for each returned endpoint. Returns only complete results. Flight SQL leaves open
    /// in which of the calls the engine runs the statement, so once GetFlightInfo has been answered it may have run.
    async fn query(&mut self) -> Result<QueryResponse, CallError> {
        let command = CommandStatementQuery { query: self.statement()?, transaction_id: None };
        let descriptor = FlightDescriptor::new_cmd(command.as_any().encode_to_vec());
        let request = self.request(descriptor);
        self.check_send()?;
        let info =
            self.client.get_flight_info(request).await.map_err(CallError::before_response)?.into_inner();
        self.read_activity.record_read();
        let (mut result, mut metadata) = (ResultBatches::default(), MetadataMap::new());
        let tickets = info.endpoint.into_iter().filter_map(|endpoint| endpoint.ticket);
        for ticket in tickets {
            metadata = self.fetch(ticket, &mut result).await?;
        }
        Ok(QueryResponse { metadata, rows: read_rows(result.batches)? })
    }

    /// Calls DoGet for one endpoint, appends its batches to `result` and returns its metadata. The engine has accepted
    /// the attempt, so the call is made also while the engine drains, and no error of it proves that nothing ran.
    async fn fetch(&mut self, ticket: Ticket, result: &mut ResultBatches) -> Result<MetadataMap, CallError> {
        if !self.is_wanted(Instant::now()) {
            return Err(CallError::OutOfTime);
        }
        let request = self.request(ticket);
        let response = self.client.do_get(request).await.map_err(CallError::after_response_started)?;
        let (metadata, body, _) = response.into_parts();
        self.read_activity.record_read();
        let body = body.map_err(FlightError::from);
        let mut stream = FlightRecordBatchStream::new_from_flight_data(body);
        while let Some(batch) = stream.next().await {
            let batch = batch.map_err(CallError::in_stream)?;
            self.read_activity.record_read();
            result.push(batch)?;
        }
        Ok(metadata)
    }

    /// Calls DoPut with the statement; the response holds the number of changed rows.
    async fn update(&mut self) -> Result<QueryResponse, CallError> {
        let command = CommandStatementUpdate { query: self.statement()?, transaction_id: None };
        let descriptor = FlightDescriptor::new_cmd(command.as_any().encode_to_vec());
        let data = FlightData { flight_descriptor: Some(descriptor), ..FlightData::default() };
        let request = self.request(stream::iter([data]));
        self.check_send()?;
        let response = self.client.do_put(request).await.map_err(CallError::before_response)?;
        let (metadata, mut body, _) = response.into_parts();
        self.read_activity.record_read();
        let message = body.message().await.map_err(CallError::after_response_started)?;
        let message = message.ok_or(CallError::InvalidResponse)?;
        let result =
            DoPutUpdateResult::decode(message.app_metadata).map_err(|_| CallError::InvalidResponse)?;
        // The count is valid only if the call ends without an error.
        while body.message().await.map_err(CallError::after_response_started)?.is_some() {}
        Ok(QueryResponse { metadata, rows: Rows { changed: Some(result.record_count), ..Rows::default() } })
    }
}

/// The result of an attempt as it is reported to the broker.
fn attempt_result(response: Result<QueryResponse, CallError>) -> AttemptResult {
    match response {
        Ok(QueryResponse { metadata, rows }) => AttemptResult {
            outcome: Outcome::Ok,
            usage: resource_usage(&metadata),
            load: load_report(&metadata),
            rows: Some(rows),
        },
        Err(CallError::InvalidResponse) => Outcome::Error.into(),
        Err(CallError::NotSent) => Outcome::NeverSent.into(),
        Err(CallError::OutOfTime) => Outcome::TimedOut.into(),
        Err(CallError::Status { status, response_started }) => AttemptResult {
            outcome: outcome_of(&status, response_started),
            usage: None,
            load: load_report(status.metadata()),
            rows: None,
        },
    }
}
