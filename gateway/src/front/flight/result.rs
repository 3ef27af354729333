//! Encoding of responses for gRPC: rows as Arrow record batches, rejections and failures as statuses.

use crate::message::{Failure, Rejection, Rows};
use arrow_array::{ArrayRef, BinaryArray, RecordBatch, StringArray};
use arrow_schema::{ArrowError, DataType, Field, Schema, SchemaRef};
use std::sync::Arc;
use std::time::Duration;
use tonic::{Code, Status};
use tonic_types::{ErrorDetails, StatusExt};

/// Domain of the reasons in error details.
const DOMAIN: &str = "reedwalk";

/// Converts rows to record batches. Batches from an Arrow engine stay as they are; other rows become text columns, or
/// binary columns where a cell is not valid UTF-8.
pub fn record_batches(rows: Rows) -> Result<(SchemaRef, Vec<RecordBatch>), ArrowError> {
    if let Some(native) = rows.native.0.as_ref().and_then(|n| n.downcast_ref::<Vec<RecordBatch>>())
        && let Some(first) = native.first()
    {
        return Ok((first.schema(), native.clone()));
    }
    let columns = if rows.cells.is_empty() { rows.columns } else { rows.columns.max(1) };
    let (mut fields, mut arrays) = (Vec::new(), Vec::<ArrayRef>::new());
    for column in 0..columns {
        let cells = || rows.iter().map(|row| row.get(column).and_then(|c| c.as_deref()));
        let texts = cells().map(|c| c.map(std::str::from_utf8).transpose()).collect::<Result<Vec<_>, _>>();
        let (kind, array): (_, ArrayRef) = match texts {
            Ok(texts) => (DataType::Utf8, Arc::new(StringArray::from(texts))),
            Err(_) => (DataType::Binary, Arc::new(BinaryArray::from_iter(cells()))),
        };
        fields.push(Field::new(rows.name(column), kind, true));
        arrays.push(array);
    }
    let schema = Arc::new(Schema::new(fields));
    let batches =
        if arrays.is_empty() { vec![] } else { vec![RecordBatch::try_new(schema.clone(), arrays)?] };
    Ok((schema, batches))
}

/// Returns the name of a reason in error details.
pub fn rejection_name(reason: Rejection) -> &'static str {
    match reason {
        Rejection::Busy => "BUSY",
        Rejection::Shed => "SHED",
        Rejection::Budget => "BUDGET",
        Rejection::Contract => "CONTRACT",
    }
}

/// Returns the status of a rejection. The client may retry safely after the time in the error details.
pub fn rejection_status(reason: Rejection, retry_after: Option<Duration>) -> Status {
    let mut details = ErrorDetails::new();
    details.set_error_info(
        rejection_name(reason),
        DOMAIN,
        std::collections::HashMap::<String, String>::new(),
    );
    if let Some(after) = retry_after {
        details.set_retry_info(Some(after));
    }
    Status::with_error_details(Code::ResourceExhausted, "refused; a further try is harmless", details)
}

/// Time after which a client may retry that was rejected because requests and tickets hold too much memory.
const SHED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns the status of a rejection for want of room.
pub fn shed_status() -> Status {
    rejection_status(Rejection::Shed, Some(SHED_RETRY_AFTER))
}

/// Returns the status of a failure, whose statement may have had an effect. It is never `UNAVAILABLE`, because clients
/// retry that automatically.
pub fn failure_status(reason: Failure) -> Status {
    match reason {
        Failure::Deadline => Status::deadline_exceeded("the query's time ran out"),
        Failure::IdInUse => Status::already_exists("a query with this id is open"),
        Failure::Engine => {
            let metadata = std::collections::HashMap::<String, String>::new();
            let details = ErrorDetails::with_error_info("ENGINE", DOMAIN, metadata);
            Status::with_error_details(Code::Internal, "no engine could serve the query", details)
        }
    }
}
