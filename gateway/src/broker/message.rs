//! What passes between the broker, the fronts and the engine links. No wire appears here.

use crate::contracts::Verdict;
use crate::engine::Gate;
use bytes::Bytes;
use reedwalk_core::{Bill, ClassId, EngineEntry, EngineId, LoadReport, Look, Note, Outcome, RequestId, Time};
use reedwalk_store::keyed::{Claimed, Sent};
use std::any::Any;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// A whole result: rows of text cells, in the engine's order. `None` is NULL.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rows {
    /// Cells in a row.
    pub columns: usize,
    /// Names of the columns, where the engine tells them.
    pub names: Vec<String>,
    /// All cells, row by row.
    pub cells: Vec<Option<Bytes>>,
    /// Rows that an update has changed, where the engine tells that in place of rows.
    pub changed: Option<i64>,
    /// The result as its engine's wire has it, for a front that speaks the same.
    pub native: Native,
}

/// Something that only a link and a front of one kind understand; all are equal.
#[derive(Clone, Default)]
pub struct Native(pub Option<Arc<dyn Any + Send + Sync>>);

impl fmt::Debug for Native {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.0.is_some() { "Native" } else { "None" })
    }
}

impl PartialEq for Native {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for Native {}

impl Rows {
    /// The rows, in order.
    pub fn iter(&self) -> impl Iterator<Item = &[Option<Bytes>]> {
        self.cells.chunks(self.columns.max(1))
    }

    /// Name of a column, counted from 0.
    pub fn name(&self, column: usize) -> String {
        self.names.get(column).cloned().unwrap_or_else(|| format!("c{}", column + 1))
    }
}

/// Why a request was refused; a further try is harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// The decision module turned it away.
    Busy,
    /// The broker's tables or its queue are full.
    Shed,
    /// Its team has spent its budget for this window.
    Budget,
    /// Its team's contract does not cover the class.
    Contract,
}

/// Why a request failed; its effect is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Failure {
    /// The engines could not serve it.
    Engine,
    /// Its time ran out.
    Deadline,
    /// A request with its id is open; this one was not taken.
    IdInUse,
}

/// The one final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The whole result.
    Served(Rows),
    /// Refused, and when the client may come back.
    Refused {
        /// Why.
        why: Refusal,
        /// How long the client is asked to stay away.
        retry_after: Option<Duration>,
    },
    /// Failed.
    Failed(Failure),
}

/// A request, as a front hands it in.
#[derive(Debug)]
pub struct Ask {
    /// The client's id of this try, passed on unchanged.
    pub trace: Bytes,
    /// Its class.
    pub class: ClassId,
    /// The team whose contract covers it, if known.
    pub team: Option<Arc<str>>,
    /// When the client stops waiting.
    pub deadline: Instant,
    /// The client has tried before.
    pub repeated: bool,
    /// Idempotency key, passed on unchanged.
    pub nonce: Option<Bytes>,
    /// Estimate of its work on one core.
    pub work: Option<Duration>,
    /// Estimate of its memory in MB.
    pub memory_mb: Option<f64>,
    /// Group of tables that it reads or writes.
    pub group: Option<u64>,
    /// It changes data, and its answer is a count where the engine tells one.
    pub update: bool,
    /// The statement.
    pub statement: Bytes,
}

/// The way back to a request's client.
#[derive(Debug)]
pub struct Reply {
    /// Takes the one final answer.
    pub answer: oneshot::Sender<Answer>,
    /// Cancelled at the moment in which the client leaves, however full the broker's queue is.
    pub left: CancellationToken,
}

/// What this front end has found of an engine by its own traffic; others may hear of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Which engine.
    pub engine: EngineId,
    /// What.
    pub what: Found,
    /// Until when it is left alone; now, where it is not.
    pub until: Instant,
}

/// Where other front ends hear of what this one finds and sees.
#[derive(Clone, Debug)]
pub struct Others {
    /// Findings, each told as it is made.
    pub findings: mpsc::Sender<Finding>,
    /// How engines look, told now and then.
    pub views: watch::Sender<Vec<Look>>,
}

/// What was found of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    /// It fails, and is left alone.
    Fails,
    /// It says nothing, and is left alone.
    Silent,
    /// One attempt there has failed.
    Erred,
}

/// Names one attempt, over all requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptKey(pub u64);

/// An attempt that an engine link is to start.
#[derive(Clone, Debug)]
pub struct Order {
    /// Which attempt.
    pub key: AttemptKey,
    /// Where.
    pub engine: EngineId,
    /// The request's id.
    pub trace: Bytes,
    /// Its class.
    pub class: ClassId,
    /// When the wait for it ends.
    pub deadline: Instant,
    /// From then on it may not begin to be written: its time is over, or engines may have forgotten its key.
    pub write_by: Instant,
    /// Its client has left, or it was given up: what is not written by then is not to be.
    pub cancelled: CancellationToken,
    /// Idempotency key.
    pub nonce: Option<Bytes>,
    /// Memory granted in MB; none leaves it to the engine.
    pub memory_mb: Option<f64>,
    /// Priority, 0 to 3.
    pub priority: u8,
    /// It changes data.
    pub update: bool,
    /// The statement.
    pub statement: Bytes,
}

/// How an attempt ended, as a link tells it.
#[derive(Clone, Debug, PartialEq)]
pub struct End {
    /// How.
    pub outcome: Outcome,
    /// What it cost, if told.
    pub bill: Option<Bill>,
    /// The engine's load, if told.
    pub load: Option<LoadReport>,
    /// The result, where it was served.
    pub rows: Option<Rows>,
}

impl From<Outcome> for End {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, bill: None, load: None, rows: None }
    }
}

/// News of an attempt.
#[derive(Clone, Debug)]
pub enum News {
    /// It runs on.
    Noted(Note),
    /// It has ended.
    Ended(End),
    /// It was given up, and its engine has been told so, or was never sent it, or can't have it any more.
    GivenUp,
}

/// One engine as the names tell it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// For the decision module.
    pub entry: EngineEntry,
    /// Where it listens.
    pub address: SocketAddr,
}

/// All that reaches the broker's queue.
#[derive(Debug)]
pub enum Input {
    /// A request, and where its answer goes.
    Arrival(RequestId, Box<Ask>, Reply),
    /// Its client waits no more.
    Left(RequestId),
    /// News of an attempt.
    News(AttemptKey, News),
    /// Whether a request's team may still spend.
    Verdict(RequestId, Verdict),
    /// What the shared store knows of a request's key, and whether a word that nothing was sent may be believed.
    Claimed(RequestId, Option<(Claimed, bool)>),
    /// Whether an attempt's mark was written in the shared store.
    Marked(AttemptKey, Sent, Option<bool>),
    /// Several other front ends have found that an engine is to be left alone until then.
    Hearsay(EngineId, Instant),
    /// Several other front ends know that an engine has started anew then.
    Restarted(EngineId, Time),
    /// How many times as long as at ease a query takes there, by what several other front ends see.
    Looks(EngineId, f64),
    /// So many front ends are at work.
    Living(f64),
}

impl<L: EngineLinks + ?Sized> EngineLinks for Box<L> {
    fn place(&mut self, engine: EngineId, place: Option<(SocketAddr, Gate)>) {
        (**self).place(engine, place);
    }
    fn start(&mut self, order: Order, now: Instant) -> bool {
        (**self).start(order, now)
    }
    fn stop(&mut self, key: AttemptKey) -> bool {
        (**self).stop(key)
    }
    fn boost(&mut self, key: AttemptKey, priority: u8) {
        (**self).boost(key, priority);
    }
    fn over(&mut self, key: AttemptKey) {
        (**self).over(key);
    }
    fn share(&mut self, share: f64) {
        (**self).share(share);
    }
}

/// Starts and stops attempts at the engines. Nothing here waits: what comes of an attempt reaches the broker
/// through its queue, as [`Input::News`].
pub trait EngineLinks: Send {
    /// Takes in where an engine listens, and its gate; `None` when it is gone.
    fn place(&mut self, engine: EngineId, place: Option<(SocketAddr, Gate)>);
    /// Starts an attempt; `false` if it was not sent and never will be.
    fn start(&mut self, order: Order, now: Instant) -> bool;
    /// Gives an attempt up; `true` if news follows once its engine has been told.
    fn stop(&mut self, key: AttemptKey) -> bool;
    /// Changes its priority.
    fn boost(&mut self, key: AttemptKey, priority: u8);
    /// The attempt has ended by itself; its place is free.
    fn over(&mut self, key: AttemptKey);
    /// From now on this share of the connections may be held, the rest is another process's.
    fn share(&mut self, share: f64);
}
