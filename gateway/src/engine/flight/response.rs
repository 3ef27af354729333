//! Reads the response of a Flight SQL engine: the outcome of the attempt, its metadata and its rows. Functions without
//! I/O.

use super::error::CallError;
use crate::engine::{MAX_RESULT_BYTES, parse_load_report};
use crate::front::flight::metadata as meta;
use crate::message::{Rows, WireNative};
use arrow_array::{Array, RecordBatch, StringArray};
use arrow_cast::cast;
use arrow_schema::DataType;
use bytes::Bytes;
use reedwalk_scheduler::{LoadReport, Outcome, ResourceUsage};
use reedwalk_settings::duration_from_ms;
use std::error::Error;
use std::io::ErrorKind;
use std::sync::Arc;
use tonic::metadata::MetadataMap;
use tonic::{Code, Status};

/// The outcome of an attempt whose call ended with an error. Only three errors prove that it never ran: a connection that
/// could not be established, one that had ended before the call, and RESOURCE_EXHAUSTED from the engine before any part of
/// a response.
pub(super) fn outcome_of(status: &Status, response_started: bool) -> Outcome {
    let mut cause: Option<&(dyn Error + 'static)> = status.source();
    // A status with a source was created locally by the gRPC library, not sent by the engine.
    let is_local = cause.is_some();
    while let Some(error) = cause {
        if let Some(error) = error.downcast_ref::<tonic::ConnectError>() {
            return match response_started {
                true => Outcome::Reset,
                // It says nothing about the engine that its earlier connection has ended.
                false if had_ended(error) => Outcome::NeverSent,
                false => Outcome::ConnectFailed,
            };
        }
        if error.is::<tonic::TimeoutExpired>() {
            return Outcome::TimedOut;
        }
        cause = error.source();
    }
    match status.code() {
        _ if is_local => Outcome::Reset,
        Code::ResourceExhausted if !response_started => Outcome::Rejected,
        Code::DeadlineExceeded => Outcome::TimedOut,
        // Sent by an engine that is shutting down, or created locally after a stream reset.
        Code::Unavailable | Code::Cancelled => Outcome::Reset,
        _ => Outcome::Error,
    }
}

/// Whether a call was made after its channel's only connection had ended.
fn had_ended(error: &tonic::ConnectError) -> bool {
    let mut cause = error.source();
    while let Some(error) = cause {
        if error.downcast_ref::<std::io::Error>().is_some_and(|error| error.kind() == ErrorKind::NotConnected)
        {
            return true;
        }
        cause = error.source();
    }
    false
}

/// The engine's load report, if the metadata contains one.
pub(super) fn load_report(metadata: &MetadataMap) -> Option<LoadReport> {
    meta::text(metadata, meta::LOAD).map(parse_load_report)
}

/// The work and memory that the attempt used, if the metadata contains them.
pub(super) fn resource_usage(metadata: &MetadataMap) -> Option<ResourceUsage> {
    let number = |name| meta::number(metadata, name).and_then(Result::ok);
    number(meta::WORK).map(|ms| ResourceUsage {
        work: duration_from_ms(ms),
        memory_mb: number(meta::MEMORY).unwrap_or(0.0),
    })
}

/// Reads the rows as text and keeps the original batches with them.
///
/// # Errors
/// If a column can't be converted to text, or the rows exceed [`MAX_RESULT_BYTES`].
pub(super) fn read_rows(batches: Vec<RecordBatch>) -> Result<Rows, CallError> {
    let mut rows = Rows::default();
    let mut size = 0;
    for batch in &batches {
        rows.columns = batch.num_columns();
        rows.names = batch.schema().fields().iter().map(|field| field.name().clone()).collect();
        size += read_cells(batch, &mut rows.cells)?;
    }
    if size > MAX_RESULT_BYTES {
        return Err(CallError::InvalidResponse);
    }
    rows.native = WireNative(Some(Arc::new(batches)));
    Ok(rows)
}

/// Appends the cells of a batch row by row, and returns their total size in bytes.
fn read_cells(batch: &RecordBatch, cells: &mut Vec<Option<Bytes>>) -> Result<usize, CallError> {
    let columns = batch.columns().iter().map(|column| cast(column, &DataType::Utf8));
    let columns = columns.collect::<Result<Vec<_>, _>>()?;
    let mut size = 0;
    for row in 0..batch.num_rows() {
        for column in &columns {
            let texts = column.as_any().downcast_ref::<StringArray>().ok_or(CallError::InvalidResponse)?;
            let cell = texts.is_valid(row).then(|| Bytes::copy_from_slice(texts.value(row).as_bytes()));
            size += cell.as_ref().map_or(0, Bytes::len);
            cells.push(cell);
        }
    }
    Ok(size)
}
