//! One attempt at a Flight SQL engine: the calls that it makes.

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

/// Bytes of one message from an engine at most: a whole result and the schema around it.
const MAX_MESSAGE_BYTES: usize = 4 * MAX_RESULT_BYTES;
/// Bytes that the record batches of one result hold in memory at most.
const MAX_BATCH_BYTES: usize = 4 * MAX_MESSAGE_BYTES;

/// The record batches of a result so far, and the bytes that they hold in memory.
#[derive(Default)]
struct ResultBatches {
    batches: Vec<RecordBatch>,
    bytes: usize,
}

impl ResultBatches {
    fn push(&mut self, batch: RecordBatch) -> Result<(), CallError> {
        self.bytes += batch.get_array_memory_size();
        if self.bytes > MAX_BATCH_BYTES {
            return Err(CallError::UnusableAnswer);
        }
        self.batches.push(batch);
        Ok(())
    }
}

/// What a served attempt brought: the metadata of its last call, and the rows.
struct Answer {
    metadata: MetadataMap,
    rows: Rows,
}

/// An attempt about to be made.
pub struct FlightCall {
    client: FlightServiceClient<Channel>,
    read_activity: Arc<ReadActivity>,
    drain_guard: DrainGuard,
    attempt: AttemptRequest,
    /// Name of the request's class.
    class: String,
    metrics: Arc<Metrics>,
    /// A call was made, and its connection was established.
    was_sent: bool,
}

impl Drop for FlightCall {
    /// Counts the attempt, also where it is cancelled. The gRPC library does not report when a call's last byte was
    /// written; on an established connection that is immediately.
    fn drop(&mut self) {
        if self.was_sent {
            self.metrics.count_upstream_request();
        }
    }
}

impl FlightCall {
    /// An attempt on `channel`, which may be sent only while `drain_guard` is open.
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

    /// Makes the calls, and reports to the broker how they ended.
    pub async fn run(mut self, events: mpsc::Sender<BrokerEvent>) {
        let id = self.attempt.id;
        let answer = if self.attempt.is_update { self.update().await } else { self.query().await };
        let result = attempt_result(answer);
        self.was_sent &= result.outcome != Outcome::ConnectFailed;
        let _ = events.send(BrokerEvent::Attempt { id, event: AttemptEvent::Ended(result) }).await;
    }

    /// A call with the attempt's deadline and metadata.
    fn request<T>(&self, message: T) -> Request<T> {
        let attempt = &self.attempt;
        let mut request = Request::new(message);
        request.set_timeout(attempt.deadline.saturating_duration_since(Instant::now()));
        let key = attempt.idempotency_key.as_ref();
        let fields = [
            (meta::CLASS, Some(self.class.clone())),
            (meta::TRACE, String::from_utf8(attempt.trace_id.to_vec()).ok()),
            (meta::KEY, key.and_then(|key| String::from_utf8(key.to_vec()).ok())),
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

    /// The last check before the call that makes the engine run the statement.
    fn check_send(&mut self) -> Result<(), CallError> {
        let now = Instant::now();
        let may_send = self.drain_guard.is_open(now)
            && now < self.attempt.write_deadline
            && !self.attempt.cancelled.is_cancelled();
        if !may_send {
            return Err(CallError::NotSent);
        }
        self.was_sent = true;
        Ok(())
    }

    fn statement(&self) -> Result<String, CallError> {
        String::from_utf8(self.attempt.statement.to_vec()).map_err(|_| CallError::UnusableAnswer)
    }

    /// GetFlightInfo, then DoGet for each of its endpoints; the result is returned only if it is complete.
    async fn query(&mut self) -> Result<Answer, CallError> {
        let command = CommandStatementQuery { query: self.statement()?, transaction_id: None };
        let descriptor = FlightDescriptor::new_cmd(command.as_any().encode_to_vec());
        let request = self.request(descriptor);
        self.check_send()?;
        let info = self.client.get_flight_info(request).await.map_err(CallError::before_answer)?.into_inner();
        self.read_activity.record_read();
        let (mut result, mut metadata) = (ResultBatches::default(), MetadataMap::new());
        let tickets = info.endpoint.into_iter().filter_map(|endpoint| endpoint.ticket);
        for (index, ticket) in tickets.enumerate() {
            metadata = self.fetch(ticket, index == 0, &mut result).await?;
        }
        Ok(Answer { metadata, rows: read_rows(result.batches)? })
    }

    /// DoGet of one endpoint: appends its batches and returns its metadata. Only the first call starts the query; those
    /// after it belong to a query that runs already.
    async fn fetch(
        &mut self,
        ticket: Ticket,
        is_first: bool,
        result: &mut ResultBatches,
    ) -> Result<MetadataMap, CallError> {
        let request = self.request(ticket);
        if is_first {
            self.check_send()?;
        }
        let call_error = if is_first { CallError::before_answer } else { CallError::after_answer };
        let (metadata, body, _) = self.client.do_get(request).await.map_err(call_error)?.into_parts();
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

    /// DoPut of the statement; the answer is the count of changed rows.
    async fn update(&mut self) -> Result<Answer, CallError> {
        let command = CommandStatementUpdate { query: self.statement()?, transaction_id: None };
        let descriptor = FlightDescriptor::new_cmd(command.as_any().encode_to_vec());
        let data = FlightData { flight_descriptor: Some(descriptor), ..FlightData::default() };
        let request = self.request(stream::iter([data]));
        self.check_send()?;
        let response = self.client.do_put(request).await.map_err(CallError::before_answer)?;
        let (metadata, mut body, _) = response.into_parts();
        self.read_activity.record_read();
        let message = body.message().await.map_err(CallError::after_answer)?;
        let message = message.ok_or(CallError::UnusableAnswer)?;
        let result =
            DoPutUpdateResult::decode(message.app_metadata).map_err(|_| CallError::UnusableAnswer)?;
        // The call must end without an error as well, or the count is not valid.
        while body.message().await.map_err(CallError::after_answer)?.is_some() {}
        Ok(Answer { metadata, rows: Rows { changed: Some(result.record_count), ..Rows::default() } })
    }
}

/// The result that is reported to the broker.
fn attempt_result(answer: Result<Answer, CallError>) -> AttemptResult {
    match answer {
        Ok(Answer { metadata, rows }) => AttemptResult {
            outcome: Outcome::Ok,
            usage: resource_usage(&metadata),
            load: load_report(&metadata),
            rows: Some(rows),
        },
        Err(CallError::UnusableAnswer) => Outcome::Error.into(),
        Err(CallError::NotSent) => Outcome::NeverSent.into(),
        Err(CallError::Status { status, answer_begun }) => AttemptResult {
            outcome: outcome_of(&status, answer_begun),
            usage: None,
            load: load_report(status.metadata()),
            rows: None,
        },
    }
}
