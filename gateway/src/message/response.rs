//! The final response to a request: rows, a rejection or a failure.

use bytes::Bytes;
use std::any::Any;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// A complete result: rows of text cells, in the engine's order. A cell of `None` is NULL.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rows {
    /// Number of cells in a row.
    pub columns: usize,
    /// Column names, where the engine returns them.
    pub names: Vec<String>,
    /// All cells, row by row.
    pub cells: Vec<Option<Bytes>>,
    /// Number of rows that an update has changed, where the engine returns that in place of rows.
    pub changed: Option<i64>,
    /// The result in its engine's own format, for a front that speaks the same.
    pub native: WireNative,
}

/// A value that only a transport and a front of one wire format understand. All values compare equal.
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
    /// The rows, in order.
    pub fn iter(&self) -> impl Iterator<Item = &[Option<Bytes>]> {
        self.cells.chunks(self.columns.max(1))
    }

    /// Name of a column, counted from 0; `c1`, `c2` and so on where the engine returns no names.
    pub fn name(&self, column: usize) -> String {
        self.names.get(column).cloned().unwrap_or_else(|| format!("c{}", column + 1))
    }
}

/// Why a request was rejected. The client may safely retry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rejection {
    /// The scheduler rejected it.
    Busy,
    /// The broker's tables or its queue are full.
    Shed,
    /// Its team has used up its quota in this window.
    Budget,
    /// Its team's contract does not cover the class.
    Contract,
}

/// Why a request failed. Whether it had an effect is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Failure {
    /// No engine could serve it.
    Engine,
    /// Its deadline passed.
    Deadline,
    /// Another request with its id is open; this one was not accepted.
    IdInUse,
}

/// The one final response to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// Completed, with the whole result.
    Served(Rows),
    /// Rejected; the client may retry.
    Rejected {
        /// The reason.
        reason: Rejection,
        /// How long the client is asked to wait before it retries.
        retry_after: Option<Duration>,
    },
    /// Failed, with no promise about its effect.
    Failed(Failure),
}
