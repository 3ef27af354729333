//! The task that owns a modelled engine's model and running queries.

use crate::model::{Admission, Model, Shape};
use crate::request_log::{AttemptEvent, RequestLog};
use crate::wire::put_array;
use bytes::{Bytes, BytesMut};
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

/// Operating condition of an engine, which may be changed while it runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineBehavior {
    /// Works as its shape defines.
    #[default]
    Healthy,
    /// Its process is dead: connections are reset, new ones closed at once.
    Dead,
    /// It accepts attempts and sends nothing more.
    Silent,
    /// It answers all attempts with an error immediately.
    Failing,
    /// It works eight times slower than normal.
    Slow,
}

/// How many times slower than normal a slow engine works.
const SLOWDOWN: f64 = 8.0;
/// Time between two progress reports of a query.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);
/// The rows of every answer.
pub(super) const ROWS: &[u8] = b"a\tb\tc\n";

/// A query that a connection has received.
pub(super) struct Query {
    /// Number of the query at its engine.
    pub(super) id: u64,
    /// Channel to its connection.
    pub(super) answers: mpsc::UnboundedSender<Bytes>,
    pub(super) trace: Bytes,
    /// Work in seconds on one core.
    pub(super) work_s: f64,
    pub(super) threads: f64,
    /// Its idempotency key.
    pub(super) key: Option<String>,
}

impl Query {
    fn trace(&self) -> &str {
        std::str::from_utf8(&self.trace).unwrap()
    }

    /// Answers with the result, and a load report of this utilization.
    fn answer_result(&self, utilization: f64) {
        let elapsed_ms = self.work_s * 1000.0;
        let fields =
            format!("total=1,elapsed={elapsed_ms:.1},rss=16,rep=util:{utilization:.2};x0:0.1;x1:0.1");
        self.send(b"200", fields.as_bytes(), ROWS);
    }

    /// Answers with an error of this code.
    fn answer_error(&self, code: &[u8]) {
        self.send(code, b"-", ROWS);
    }

    fn report_progress(&self) {
        self.send(b"status", b"why=queued,datum=0", b"");
    }

    fn send(&self, kind: &[u8], fields: &[u8], body: &[u8]) {
        let mut output = BytesMut::new();
        put_array(&mut output, &[&self.trace, kind, fields, body]);
        let _ = self.answers.send(output.freeze());
    }
}

/// An event that the engine's task receives.
pub(super) enum EngineEvent {
    /// An attempt arrived.
    Began(Query),
    /// A query was cancelled: its number and trace id.
    Cancelled(u64, Bytes),
    /// An attempt with this trace id was answered with an error by its connection.
    Failed(Bytes),
    /// The behavior has changed.
    Behavior(EngineBehavior),
}

/// The state of the engine's task.
pub(super) struct Engine {
    name: String,
    log: RequestLog,
    model: Model,
    /// Slowdown of its shape.
    normal_slowdown: f64,
    /// Start of the model's time.
    started: Instant,
    queries: HashMap<u64, Query>,
}

impl Engine {
    pub(super) fn new(name: String, shape: Shape, log: RequestLog) -> Self {
        let normal_slowdown = shape.slowdown;
        let (model, queries) = (Model::new(shape), HashMap::new());
        Self { name, log, model, normal_slowdown, started: Instant::now(), queries }
    }

    /// Runs until all connections and handles of the engine are dropped.
    pub(super) async fn run(mut self, mut events: mpsc::UnboundedReceiver<EngineEvent>) {
        self.started = Instant::now();
        let mut next_report = self.started + PROGRESS_INTERVAL;
        loop {
            let next_step = self.model.next_step_s().map(|s| Instant::now() + Duration::from_secs_f64(s));
            let wake_at = next_step.unwrap_or(next_report).min(next_report);
            let mut batch = Vec::new();
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => batch.push(event),
                    None => return,
                },
                () = sleep_until(wake_at) => {}
            }
            while let Ok(event) = events.try_recv() {
                batch.push(event);
            }
            self.end_completed();
            for event in batch {
                self.on_event(event);
            }
            if Instant::now() >= next_report {
                next_report = Instant::now() + PROGRESS_INTERVAL;
                self.queries.values().for_each(Query::report_progress);
            }
        }
    }

    fn record(&self, trace: &str, event: AttemptEvent) {
        self.log.record(&self.name, trace, event);
    }

    /// Advances the model to now, and answers the completed queries.
    fn end_completed(&mut self) {
        for id in self.model.advance(self.started.elapsed().as_secs_f64()) {
            if let Some(query) = self.queries.remove(&id) {
                self.record(query.trace(), AttemptEvent::Ended);
                query.answer_result(self.model.utilization());
            }
        }
    }

    fn on_event(&mut self, event: EngineEvent) {
        match event {
            EngineEvent::Began(query) => self.begin(query),
            EngineEvent::Cancelled(id, trace) => self.cancel(id, &trace),
            EngineEvent::Failed(trace) => {
                let trace = std::str::from_utf8(&trace).unwrap();
                self.record(trace, AttemptEvent::Began { work: Duration::ZERO, key: None });
                self.record(trace, AttemptEvent::Ended);
            }
            EngineEvent::Behavior(behavior) => self.on_behavior(behavior),
        }
    }

    fn cancel(&mut self, id: u64, trace: &[u8]) {
        self.model.cancel(id);
        if self.queries.remove(&id).is_some() {
            self.record(std::str::from_utf8(trace).unwrap(), AttemptEvent::Cancelled);
        }
    }

    fn on_behavior(&mut self, behavior: EngineBehavior) {
        match behavior {
            EngineBehavior::Slow => self.model.set_slowdown(SLOWDOWN * self.normal_slowdown),
            EngineBehavior::Healthy | EngineBehavior::Failing => {
                self.model.set_slowdown(self.normal_slowdown);
            }
            EngineBehavior::Dead | EngineBehavior::Silent => self.drop_queries(),
        }
    }

    /// Ends all queries without an answer.
    fn drop_queries(&mut self) {
        for (id, query) in std::mem::take(&mut self.queries) {
            self.model.cancel(id);
            self.record(query.trace(), AttemptEvent::Ended);
        }
    }

    fn begin(&mut self, mut query: Query) {
        let work = Duration::from_secs_f64(query.work_s);
        let began = AttemptEvent::Began { work, key: query.key.take() };
        self.record(query.trace(), began);
        match self.model.admit(query.id, query.work_s, query.threads) {
            Admission::Running => {
                self.queries.insert(query.id, query);
            }
            Admission::Full => {
                self.record(query.trace(), AttemptEvent::Ended);
                query.answer_error(b"503");
            }
            Admission::EngineFailed => {
                self.record(query.trace(), AttemptEvent::EngineFailed);
                self.queries.insert(query.id, query);
                self.fail_queries();
            }
        }
    }

    /// Ends all queries with an error.
    fn fail_queries(&mut self) {
        for (_, query) in std::mem::take(&mut self.queries) {
            self.record(query.trace(), AttemptEvent::Ended);
            query.answer_error(b"500");
        }
    }
}
