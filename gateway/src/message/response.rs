//! The final response to a request: rows, a rejection or a failure.

use bytes::Bytes;
use std::any::Any;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// A complete result: rows of text cells in the order of the engine's response. A cell of `None` is NULL.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rows {
    /// Number of columns.
    pub columns: usize,
    /// Column names; empty if the engine returns none.
    pub names: Vec<String>,
    /// All cells in row-major order.
    pub cells: Vec<Option<Bytes>>,
    /// Number of rows changed by an update, if the engine returns that instead of rows.
    pub changed: Option<i64>,
    /// The result in the engine's wire format, for a front that uses the same format.
    pub native: WireNative,
}

/// An opaque value for a transport and a front of the same wire format. All values compare equal.
#[derive(Clone, Default)]
pub struct WireNative(pub Option<Arc<dyn Any + Send + Sync>>);

impl fmt::Debug for WireNative {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.0.is_some() { "WireNative" } else { "None" })
    }
}

impl PartialEq for WireNative {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for WireNative {}

impl Rows {
    /// Iterates over the rows.
    pub fn iter(&self) -> impl Iterator<Item = &[Option<Bytes>]> {
        self.cells.chunks(self.columns.max(1))
    }

    /// The name of a column, counted from 0; `c1`, `c2` and so on if the engine returns no names.
    pub fn name(&self, column: usize) -> String {
        self.names.get(column).cloned().unwrap_or_else(|| format!("c{}", column + 1))
    }
}

/// Why a request was rejected. A rejected request is safe to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rejection {
    /// The scheduler, the start-up phase or the request's idempotency key does not admit it now.
    Busy,
    /// The broker's queue or its request table is full.
    Shed,
    /// The team has used up its quota for this window.
    Budget,
    /// No contract of the team covers the request's class.
    Contract,
}

/// Why a request failed. It is unknown whether the request had an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Failure {
    /// No engine could serve the request.
    Engine,
    /// The deadline passed.
    Deadline,
    /// Another open request has the same client id; this one was not accepted.
    IdInUse,
}

/// The one final response to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// The request completed with this result.
    Served(Rows),
    /// The request was rejected; the client may retry.
    Rejected {
        /// Why the request was rejected.
        reason: Rejection,
        /// How long the client should wait before a retry.
        retry_after: Option<Duration>,
    },
    /// The request failed and may have had an effect.
    Failed(Failure),
}
