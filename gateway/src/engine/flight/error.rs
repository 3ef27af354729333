//! Errors of attempts at Flight SQL engines.

use arrow_flight::error::FlightError;
use arrow_schema::ArrowError;
use tonic::Status;

/// Why an attempt has no result.
pub(super) enum CallError {
    /// A call ended with this status; `response_started` tells whether any part of a response had been received.
    Status { status: Box<Status>, response_started: bool },
    /// The response is invalid or too large, or the statement is not valid UTF-8.
    InvalidResponse,
    /// The attempt was cancelled, passed its write deadline, or its engine drained, before its first call was made.
    NotSent,
    /// The attempt was cancelled or passed its write deadline after its first call had been answered.
    OutOfTime,
}

impl CallError {
    /// An error of a call that ended before any part of a response was received.
    pub(super) fn before_response(status: Status) -> Self {
        Self::Status { status: Box::new(status), response_started: false }
    }

    /// An error of a call that ended after its response had started.
    pub(super) fn after_response_started(status: Status) -> Self {
        Self::Status { status: Box::new(status), response_started: true }
    }

    /// An error in the stream of record batches: the status of the call, or data that can't be decoded.
    pub(super) fn in_stream(error: FlightError) -> Self {
        match error {
            FlightError::Tonic(status) => Self::Status { status, response_started: true },
            _ => Self::InvalidResponse,
        }
    }
}

impl From<ArrowError> for CallError {
    fn from(_: ArrowError) -> Self {
        Self::InvalidResponse
    }
}
