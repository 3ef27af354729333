//! Reads the request of each call before the call is made: its memory is reserved from the head on, it has to be complete
//! in time, and its client must not have closed the connection behind it. Calls of Flight SQL have a single request
//! message, also those that are streams in gRPC.

use super::paced_stream::{ReadProgress, TooMuchUnread};
use super::result::shed_status;
use super::service::Service;
use crate::request_memory::{MemoryReservation, RequestMemory};
use arrow_flight::flight_service_server::FlightServiceServer;
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;
use tonic::Status;
use tonic::body::Body;
use tower::Service as _;

/// Time from the head of a call in which its request must be complete, as for a message of the MySQL front.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2700);
/// Memory of a header field beside its text.
const FIELD_OVERHEAD_BYTES: usize = 192;
/// Memory of a call beside its request.
const CALL_OVERHEAD_BYTES: usize = 1024;
/// Length of the prefix of a gRPC message: a flag and the message's size.
const PREFIX_BYTES: usize = 5;
/// Frames that a client may send behind its request until it has its answer.
const MAX_FRAMES_AFTER_REQUEST: usize = 1024;
/// Bytes that a client may send behind its request until it has its answer.
const MAX_BYTES_AFTER_REQUEST: usize = 1 << 20;

/// The calls of one connection.
#[derive(Clone)]
pub(super) struct Calls {
    server: FlightServiceServer<Service>,
    memory: Arc<RequestMemory>,
    progress: Arc<ReadProgress>,
    max_message_bytes: usize,
}

impl Calls {
    /// Passes calls on to `service`, with messages of at most `max_message_bytes`.
    pub(super) fn new(service: Service, memory: Arc<RequestMemory>, max_message_bytes: usize) -> Self {
        let server = FlightServiceServer::new(service).max_decoding_message_size(max_message_bytes);
        Self { server, memory, progress: Arc::default(), max_message_bytes }
    }

    /// How much of the connection has been read, which the connection reports.
    pub(super) fn read_progress(&self) -> Arc<ReadProgress> {
        self.progress.clone()
    }

    async fn run(mut self, request: Request<Incoming>) -> Result<Response<Body>, Status> {
        let (head, mut body) = request.into_parts();
        let memory = self.memory.reserve(head_bytes(&head.headers));
        let mut memory = memory.ok_or_else(shed_status)?;
        let message = timeout(REQUEST_TIMEOUT, self.read_message(&mut body, &mut memory)).await;
        let message = message.map_err(|_| Status::deadline_exceeded("the request was not completed"))??;
        let drained = self.progress.drained(MAX_BYTES_AFTER_REQUEST as u64);
        let drained = timeout(REQUEST_TIMEOUT, drained).await.map_err(|_| shed_status())?;
        drained.map_err(|TooMuchUnread| shed_status())?;
        let request = Request::from_parts(head, Body::new(Full::new(message)));
        let response = self.server.call(request);
        tokio::select! {
            biased;
            response = response => response.map_err(|never| match never {}),
            error = discard_rest(&mut body) => Err(error),
        }
    }

    /// Reads the first message of a request with its prefix, and nothing of what follows it.
    async fn read_message(
        &self,
        body: &mut Incoming,
        memory: &mut MemoryReservation,
    ) -> Result<Bytes, Status> {
        let mut message = BytesMut::new();
        while message.len() < self.needed_bytes(&message) {
            let Some(frame) = body.frame().await else { break };
            let Ok(data) = frame.map_err(|error| Status::cancelled(error.to_string()))?.into_data() else {
                break;
            };
            if !memory.grow(data.len()) {
                return Err(shed_status());
            }
            message.extend_from_slice(&data);
            message.reserve(self.needed_bytes(&message).saturating_sub(message.len()));
        }
        let size = message.len().min(self.needed_bytes(&message));
        Ok(message.split_to(size).freeze())
    }

    /// The size of a message with its prefix, as far as it is known. Of one that is too large only the prefix is read,
    /// which the service rejects.
    fn needed_bytes(&self, message: &[u8]) -> usize {
        let Some(&[_, a, b, c, d]) = message.first_chunk::<PREFIX_BYTES>() else { return PREFIX_BYTES };
        let size = u32::from_be_bytes([a, b, c, d]) as usize;
        if size > self.max_message_bytes { PREFIX_BYTES } else { PREFIX_BYTES + size }
    }
}

impl hyper::service::Service<Request<Incoming>> for Calls {
    type Response = Response<Body>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Infallible>> + Send>>;

    fn call(&self, request: Request<Incoming>) -> Self::Future {
        let calls = self.clone();
        Box::pin(async move { Ok(calls.run(request).await.unwrap_or_else(Status::into_http)) })
    }
}

/// The memory of a call with this head.
fn head_bytes(headers: &HeaderMap) -> usize {
    let fields = headers.iter().map(|(name, value)| name.as_str().len() + value.len() + FIELD_OVERHEAD_BYTES);
    CALL_OVERHEAD_BYTES + fields.sum::<usize>()
}

/// Discards what follows the request. Returns an error if it is too much; otherwise waits for ever.
async fn discard_rest(body: &mut Incoming) -> Status {
    let (mut frames, mut bytes) = (0, 0);
    while let Some(Ok(frame)) = body.frame().await {
        frames += 1;
        bytes += frame.data_ref().map_or(0, Bytes::len);
        if frames > MAX_FRAMES_AFTER_REQUEST || bytes > MAX_BYTES_AFTER_REQUEST {
            return Status::invalid_argument("too much sent behind the request");
        }
    }
    std::future::pending().await
}
