//! Transport to engines over Arrow Flight SQL. Each attempt is a task that makes calls on a multiplexed channel;
//! cancelling the task drops its call, which resets the HTTP/2 stream.

mod call;
mod error;
mod response;

use super::pool::{ConnectionHandle, Pool, ReadActivity};
use crate::drain_guard::DrainGuard;
use crate::message::{AttemptId, AttemptRequest, BrokerEvent, EngineAddress, EngineTransport};
use crate::metrics::Metrics;
use crate::multicore::{ConnectionSlot, Multicore};
use hyper_util::rt::TokioIo;
use reedwalk_scheduler::EngineId;
use reedwalk_settings::Sockets;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout_at};
use tokio_util::io::InspectReader;
use tonic::transport::{Channel, Endpoint, Uri};

/// A channel, its only connection, and the thread that it runs on.
struct Connection {
    channel: Channel,
    state: Arc<ConnectionState>,
    slot: ConnectionSlot,
}

impl ConnectionHandle for Connection {
    fn is_closed(&self) -> bool {
        self.state.has_ended.load(Ordering::Relaxed)
    }
}

/// The state of a channel's only connection. A channel would reconnect by itself, and the process that it reaches then may
/// be another one at the same address, to which the tickets of the first mean nothing, or something else.
#[derive(Debug, Default)]
struct ConnectionState {
    was_opened: AtomicBool,
    has_ended: AtomicBool,
}

/// Marks a connection as ended when it is dropped.
struct EndOnDrop(Arc<ConnectionState>);

impl Drop for EndOnDrop {
    fn drop(&mut self) {
        self.0.has_ended.store(true, Ordering::Relaxed);
    }
}

/// Flight SQL connections of this gateway to its engines.
pub struct Transport {
    pool: Pool<Connection>,
    tasks: HashMap<AttemptId, AbortHandle>,
    sockets: Arc<Sockets>,
    events: mpsc::Sender<BrokerEvent>,
    metrics: Arc<Metrics>,
    multicore: Multicore,
}

impl Transport {
    /// Creates a transport with at most `max_connections` that reports to the broker's queue.
    pub fn new(
        sockets: Arc<Sockets>,
        max_connections: usize,
        events: mpsc::Sender<BrokerEvent>,
        metrics: Arc<Metrics>,
        multicore: Multicore,
    ) -> Self {
        Self {
            pool: Pool::new(sockets.clone(), max_connections, None),
            tasks: HashMap::new(),
            sockets,
            events,
            metrics,
            multicore,
        }
    }
}

/// Creates a channel that connects on its first call, within `connect_timeout`, and never again.
fn connect_lazily(
    address: SocketAddr,
    state: Arc<ConnectionState>,
    read_activity: Arc<ReadActivity>,
    drain_guard: DrainGuard,
    connect_timeout: Duration,
) -> Channel {
    let connect = move |_: Uri| {
        let deadline = Instant::now() + connect_timeout;
        let (read_activity, drain_guard) = (read_activity.clone(), drain_guard.clone());
        let end_on_drop = EndOnDrop(state.clone());
        async move {
            if end_on_drop.0.was_opened.swap(true, Ordering::Relaxed) {
                return Err(std::io::ErrorKind::NotConnected.into());
            }
            let stream = timeout_at(deadline, TcpStream::connect(address)).await??;
            stream.set_nodelay(true)?;
            read_activity.record_read();
            if !drain_guard.is_open(Instant::now()) {
                // The engine has drained; another engine may be listening on its address by now.
                return Err(std::io::ErrorKind::ConnectionRefused.into());
            }
            let stream = InspectReader::new(stream, move |_: &[u8]| _ = &end_on_drop);
            Ok::<_, std::io::Error>(TokioIo::new(stream))
        }
    };
    // The host name in the URI is a placeholder: the connector uses `address`.
    Endpoint::from_static("http://engine").connect_with_connector_lazy(tower::service_fn(connect))
}

impl EngineTransport for Transport {
    fn set_endpoint(&mut self, engine: EngineId, address: Option<EngineAddress>) {
        self.pool.set_endpoint(engine, address);
    }

    fn start(&mut self, attempt: AttemptRequest, now: Instant) -> bool {
        let connect_timeout = self.sockets.connect_timeout;
        let multicore = &self.multicore;
        let acquired = self.pool.acquire(&attempt, now, |address, read_activity, drain_guard| {
            let (slot, state) = (multicore.place_connection(), Arc::<ConnectionState>::default());
            // The channel spawns a background task, which must run on the thread of the slot.
            let channel = slot.enter(|| {
                connect_lazily(address, state.clone(), read_activity, drain_guard.clone(), connect_timeout)
            });
            Connection { channel, state, slot }
        });
        let Some((connection, read_activity, drain_guard)) = acquired else { return false };
        let class = self.sockets.classes.get(attempt.class.0).cloned().unwrap_or_default();
        let id = attempt.id;
        let (channel, metrics) = (connection.channel.clone(), self.metrics.clone());
        let call = call::FlightCall::new(
            channel,
            read_activity.clone(),
            drain_guard.clone(),
            attempt,
            class,
            metrics,
        );
        let events = self.events.clone();
        let task = connection.slot.spawn(async move { call.run(events).await });
        self.tasks.insert(id, task);
        true
    }

    fn cancel(&mut self, id: AttemptId) -> bool {
        if let Some(task) = self.tasks.remove(&id) {
            task.abort();
        }
        self.pool.release(id, true);
        false
    }

    /// Does nothing: Flight SQL can't change the priority of a running query. A new priority applies to later attempts.
    fn set_priority(&mut self, _: AttemptId, _: u8) {}

    fn release(&mut self, id: AttemptId) {
        self.tasks.remove(&id);
        self.pool.release(id, false);
    }

    fn set_capacity_share(&mut self, share: f64) {
        self.pool.set_capacity_share(share);
    }
}
