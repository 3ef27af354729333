//! Transport to engines over Arrow Flight SQL. Each attempt is a task that holds a call on a multiplexed channel;
//! giving it up drops the call, which resets its stream.

mod call;

use super::pool::{Handle, Heard, Pool};
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
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout_at};
use tonic::transport::{Channel, Endpoint, Uri};

/// A channel, and the core that it lives on.
struct Connection {
    channel: Channel,
    seat: ConnectionSlot,
}

// A channel that breaks connects again by itself.
impl Handle for Connection {
    fn closed(&self) -> bool {
        false
    }
}

/// All links of this front end to its engines.
pub struct Transport {
    pool: Pool<Connection>,
    tasks: HashMap<AttemptId, AbortHandle>,
    sockets: Arc<Sockets>,
    queue: mpsc::Sender<BrokerEvent>,
    metrics: Arc<Metrics>,
    cores: Multicore,
}

impl Transport {
    /// Transport that report to the broker's queue, on at most so many connections.
    pub fn new(
        sockets: Arc<Sockets>,
        connections_most: usize,
        queue: mpsc::Sender<BrokerEvent>,
        metrics: Arc<Metrics>,
        cores: Multicore,
    ) -> Self {
        Self {
            pool: Pool::new(sockets.clone(), connections_most, None),
            tasks: HashMap::new(),
            sockets,
            queue,
            metrics,
            cores,
        }
    }
}

/// A channel that connects with its first call, and gives that up at an instant counted from then.
fn channel(address: SocketAddr, heard: Arc<Heard>, drain_guard: DrainGuard, within: Duration) -> Channel {
    let connect = move |_: Uri| {
        let (by, heard, drain_guard) = (Instant::now() + within, heard.clone(), drain_guard.clone());
        async move {
            let stream = timeout_at(by, TcpStream::connect(address)).await??;
            stream.set_nodelay(true)?;
            heard.now();
            if !drain_guard.is_open(Instant::now()) {
                // Its engine takes nothing new, or another has its address by now.
                return Err(std::io::ErrorKind::ConnectionRefused.into());
            }
            Ok::<_, std::io::Error>(TokioIo::new(stream))
        }
    };
    // The name in the URI is never looked up: the connector has the address.
    Endpoint::from_static("http://engine").connect_with_connector_lazy(tower::service_fn(connect))
}

impl EngineTransport for Transport {
    fn set_endpoint(&mut self, engine: EngineId, address: Option<EngineAddress>) {
        self.pool.set_endpoint(engine, address);
    }

    fn start(&mut self, attempt: AttemptRequest, now: Instant) -> bool {
        let within = self.sockets.connect_within;
        let cores = &self.cores;
        let picked = self.pool.pick(&attempt, now, |address, heard, drain_guard| {
            let seat = cores.place_connection();
            // The channel's own task is started with it.
            let channel = seat.enter(|| channel(address, heard, drain_guard.clone(), within));
            Connection { channel, seat }
        });
        let Some((connection, heard, drain_guard)) = picked else { return false };
        let class = self.sockets.classes.get(attempt.class.0).cloned().unwrap_or_default();
        let id = attempt.id;
        let (channel, metrics) = (connection.channel.clone(), self.metrics.clone());
        let call = call::Call::new(channel, heard.clone(), drain_guard.clone(), attempt, class, metrics);
        let queue = self.queue.clone();
        let task = connection.seat.spawn(async move { call.run(queue).await });
        self.tasks.insert(id, task);
        true
    }

    fn cancel(&mut self, id: AttemptId) -> bool {
        self.tasks.remove(&id).into_iter().for_each(|t| t.abort());
        self.pool.release(id, true);
        false
    }

    /// Flight SQL has no word for the priority of what already runs: it holds from the next attempt on.
    fn set_priority(&mut self, _: AttemptId, _: u8) {}

    fn release(&mut self, id: AttemptId) {
        self.tasks.remove(&id);
        self.pool.release(id, false);
    }

    fn set_capacity_share(&mut self, share: f64) {
        self.pool.set_capacity_share(share);
    }
}
