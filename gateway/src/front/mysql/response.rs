//! Encoding of the broker's responses as MySQL packets.

use super::packet::Writer;
use crate::message::{Failure, Rejection, Response};
use bytes::BytesMut;

/// Encodes the response to a query. Rejections have error codes that clients treat as retryable, failures have others.
pub fn write_response(out: &mut BytesMut, response: Response) {
    let mut writer = Writer::new(out, 1);
    match response {
        Response::Served(rows) => match rows.changed {
            Some(changed) => writer.ok(changed.max(0) as u64),
            None => writer.rows(&rows),
        },
        Response::Rejected { reason, retry_after } => {
            let (code, state, text) = match reason {
                Rejection::Busy => (1203, b"42000", "all engines are busy"),
                Rejection::Shed => (1040, b"08004", "too many requests are open"),
                Rejection::Budget => (1226, b"42000", "the team's budget for this window is spent"),
                Rejection::Contract => (1226, b"42000", "the team's contract does not cover this class"),
            };
            let pause = retry_after.map_or(String::new(), |after| format!(", pause={}", after.as_millis()));
            writer.error(code, state, &format!("{text}{pause}"));
        }
        Response::Failed(Failure::Engine) => writer.error(1105, b"HY000", "no engine could serve the query"),
        Response::Failed(Failure::Deadline) => writer.error(3024, b"HY000", "the query's time ran out"),
        Response::Failed(Failure::IdInUse) => writer.error(1062, b"23000", "a query with this id is open"),
    }
}
