//! One attempt at a Flight SQL engine: the calls it makes and what their ends mean.

use crate::drain_guard::DrainGuard;
use crate::engine::pool::Heard;
use crate::engine::{RESULT_MOST, read_load};
use crate::front::flight::metadata as meta;
use crate::message::{AttemptEvent, AttemptRequest, AttemptResult, BrokerEvent, Rows, WireNative};
use crate::metrics::Metrics;
use arrow_array::{Array, RecordBatch, StringArray};
use arrow_cast::cast;
use arrow_flight::decode::FlightRecordBatchStream;
use arrow_flight::error::FlightError;
use arrow_flight::flight_service_client::FlightServiceClient;
use arrow_flight::sql::{CommandStatementQuery, CommandStatementUpdate, DoPutUpdateResult, ProstMessageExt};
use arrow_flight::{FlightData, FlightDescriptor};
use arrow_schema::{ArrowError, DataType};
use bytes::Bytes;
use futures::{StreamExt, TryStreamExt, stream};
use prost::Message;
use reedwalk_scheduler::{LoadReport, Outcome, ResourceUsage};
use std::error::Error;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tonic::metadata::MetadataMap;
use tonic::transport::Channel;
use tonic::{Code, Request, Status};

/// Bytes of one message from an engine at most: a whole result and the schema around it.
const MESSAGE_MOST: usize = 4 * RESULT_MOST;

/// Why an attempt did not bring a result.
enum Broken {
    /// A call ended with this status; whether any answer had begun.
    Status(Box<Status>, bool),
    /// The engine answered with what can't be used.
    Unusable,
    /// Its engine takes nothing new any more, or nobody wants it; nothing was sent that runs.
    Shut,
}

impl From<ArrowError> for Broken {
    fn from(_: ArrowError) -> Self {
        Self::Unusable
    }
}

/// An attempt about to be made.
pub struct Call {
    client: FlightServiceClient<Channel>,
    heard: Arc<Heard>,
    drain_guard: DrainGuard,
    attempt: AttemptRequest,
    class: String,
    metrics: Arc<Metrics>,
    /// A call was made, and its connection did not fail to come up.
    made: bool,
}

impl Drop for Call {
    /// Counts the attempt, also where it is given up. The wire's library does not tell when a call's last byte went
    /// out; on a connection that is up that is at once.
    fn drop(&mut self) {
        if self.made {
            self.metrics.upstream();
        }
    }
}

impl Call {
    pub fn new(
        channel: Channel,
        heard: Arc<Heard>,
        drain_guard: DrainGuard,
        attempt: AttemptRequest,
        class: String,
        metrics: Arc<Metrics>,
    ) -> Self {
        let client = FlightServiceClient::new(channel).max_decoding_message_size(MESSAGE_MOST);
        Self { client, heard, drain_guard, attempt, class, metrics, made: false }
    }

    /// Makes the calls and tells the broker how they ended.
    pub async fn run(mut self, queue: mpsc::Sender<BrokerEvent>) {
        let key = self.attempt.id;
        let told = if self.attempt.update { self.update().await } else { self.query().await };
        let end = match told {
            Ok((metadata, rows)) => {
                let (bill, load) = (read_bill(&metadata), report(&metadata));
                AttemptResult { outcome: Outcome::Ok, bill, load, rows: Some(rows) }
            }
            Err(Broken::Unusable) => Outcome::Error.into(),
            Err(Broken::Shut) => Outcome::NeverSent.into(),
            Err(Broken::Status(status, begun)) => {
                let load = report(status.metadata());
                AttemptResult { outcome: outcome(&status, begun), bill: None, load, rows: None }
            }
        };
        self.made &= end.outcome != Outcome::ConnectFailed;
        let _ = queue.send(BrokerEvent::Attempt { id: key, event: AttemptEvent::Ended(end) }).await;
    }

    fn request<T>(&self, message: T) -> Request<T> {
        let attempt = &self.attempt;
        let mut request = Request::new(message);
        request.set_timeout(attempt.deadline.saturating_duration_since(Instant::now()));
        let number = |n: f64| n.to_string();
        let fields = [
            (meta::CLASS, Some(self.class.clone())),
            (meta::TRACE, String::from_utf8(attempt.trace_id.to_vec()).ok()),
            (meta::KEY, attempt.idempotency_key.as_ref().and_then(|n| String::from_utf8(n.to_vec()).ok())),
            (meta::MEMORY, attempt.memory_mb.map(number)),
            (meta::PRIORITY, Some(attempt.priority.to_string())),
        ];
        for (name, value) in fields {
            if let Some(value) = value.and_then(|v| v.parse().ok()) {
                request.metadata_mut().insert(name, value);
            }
        }
        request
    }

    /// Looked at last before anything goes out that runs.
    fn may_begin(&mut self) -> Result<(), Broken> {
        let now = Instant::now();
        if !self.drain_guard.is_open(now)
            || now >= self.attempt.write_deadline
            || self.attempt.cancelled.is_cancelled()
        {
            return Err(Broken::Shut);
        }
        self.made = true;
        Ok(())
    }

    fn statement(&self) -> Result<String, Broken> {
        String::from_utf8(self.attempt.statement.to_vec()).map_err(|_| Broken::Unusable)
    }

    /// GetFlightInfo, then DoGet for each of its endpoints; whole before anything is passed on.
    async fn query(&mut self) -> Result<(MetadataMap, Rows), Broken> {
        let early = |s: Status| Broken::Status(Box::new(s), false);
        let command = CommandStatementQuery { query: self.statement()?, transaction_id: None };
        let descriptor = FlightDescriptor::new_cmd(command.as_any().encode_to_vec());
        let request = self.request(descriptor);
        self.may_begin()?;
        let info = self.client.get_flight_info(request).await.map_err(early)?.into_inner();
        self.heard.now();
        let (mut batches, mut size, mut metadata) = (Vec::<RecordBatch>::new(), 0, MetadataMap::new());
        for (place, ticket) in info.endpoint.into_iter().filter_map(|e| e.ticket).enumerate() {
            let request = self.request(ticket);
            // Of several endpoints the later ones belong to what runs already.
            if place == 0 {
                self.may_begin()?;
            }
            let begun = |s: Status| Broken::Status(Box::new(s), place > 0);
            let (head, body, _) = self.client.do_get(request).await.map_err(begun)?.into_parts();
            self.heard.now();
            metadata = head;
            let mut rows = FlightRecordBatchStream::new_from_flight_data(body.map_err(FlightError::from));
            while let Some(batch) = rows.next().await {
                let batch = batch.map_err(|error| match error {
                    FlightError::Tonic(status) => Broken::Status(status, true),
                    _ => Broken::Unusable,
                })?;
                self.heard.now();
                size += batch.get_array_memory_size();
                if size > 4 * MESSAGE_MOST {
                    return Err(Broken::Unusable);
                }
                batches.push(batch);
            }
        }
        Ok((metadata, read_rows(batches)?))
    }

    /// DoPut of the statement; the answer is the count of changed rows.
    async fn update(&mut self) -> Result<(MetadataMap, Rows), Broken> {
        let begun = |s: Status| Broken::Status(Box::new(s), false);
        let command = CommandStatementUpdate { query: self.statement()?, transaction_id: None };
        let descriptor = FlightDescriptor::new_cmd(command.as_any().encode_to_vec());
        let data = FlightData { flight_descriptor: Some(descriptor), ..FlightData::default() };
        let request = self.request(stream::iter([data]));
        self.may_begin()?;
        let (metadata, mut body, _) = self.client.do_put(request).await.map_err(begun)?.into_parts();
        self.heard.now();
        let begun = |s: Status| Broken::Status(Box::new(s), true);
        let result = body.message().await.map_err(begun)?.ok_or(Broken::Unusable)?;
        let result = DoPutUpdateResult::decode(result.app_metadata).map_err(|_| Broken::Unusable)?;
        // The call's end must come as well: a count whose status is an error counts for nothing.
        while body.message().await.map_err(begun)?.is_some() {}
        Ok((metadata, Rows { changed: Some(result.record_count), ..Rows::default() }))
    }
}

/// What a call's end says of the attempt. Only what surely never ran is told so: a connection that did not come
/// up, and an engine's RESOURCE_EXHAUSTED before it answered anything.
fn outcome(status: &Status, begun: bool) -> Outcome {
    let mut cause: Option<&(dyn Error + 'static)> = status.source();
    let ours = cause.is_some();
    while let Some(error) = cause {
        if error.is::<tonic::ConnectError>() {
            return if begun { Outcome::Reset } else { Outcome::ConnectFailed };
        }
        if error.is::<tonic::TimeoutExpired>() {
            return Outcome::TimedOut;
        }
        cause = error.source();
    }
    match status.code() {
        _ if ours => Outcome::Reset,
        Code::ResourceExhausted if !begun => Outcome::Rejected,
        Code::DeadlineExceeded => Outcome::TimedOut,
        // Sent by a peer that goes away, or made here of a stream that was reset.
        Code::Unavailable | Code::Cancelled => Outcome::Reset,
        _ => Outcome::Error,
    }
}

fn report(metadata: &MetadataMap) -> Option<LoadReport> {
    meta::text(metadata, meta::LOAD).map(read_load)
}

fn read_bill(metadata: &MetadataMap) -> Option<ResourceUsage> {
    let number = |name| meta::number(metadata, name).and_then(Result::ok);
    number(meta::WORK).map(|ms| ResourceUsage {
        work: Duration::from_micros((ms * 1000.0).min(1e15) as u64),
        memory_mb: number(meta::MEMORY).unwrap_or(0.0),
    })
}

/// The rows as text, and beside it as they came.
fn read_rows(batches: Vec<RecordBatch>) -> Result<Rows, Broken> {
    let mut rows = Rows::default();
    let mut size = 0;
    for batch in &batches {
        rows.columns = batch.num_columns();
        rows.names = batch.schema().fields().iter().map(|f| f.name().clone()).collect();
        let columns = batch.columns().iter().map(|c| cast(c, &DataType::Utf8));
        let columns = columns.collect::<Result<Vec<_>, _>>()?;
        for row in 0..batch.num_rows() {
            for column in &columns {
                let texts = column.as_any().downcast_ref::<StringArray>().ok_or(Broken::Unusable)?;
                let cell = texts.is_valid(row).then(|| Bytes::copy_from_slice(texts.value(row).as_bytes()));
                size += cell.as_ref().map_or(0, Bytes::len);
                rows.cells.push(cell);
            }
        }
    }
    if size > RESULT_MOST {
        return Err(Broken::Unusable);
    }
    rows.native = WireNative(Some(Arc::new(batches)));
    Ok(rows)
}
