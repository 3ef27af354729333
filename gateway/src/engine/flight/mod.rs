//! Links to engines over Arrow Flight SQL. Each attempt is a task that holds a call on a multiplexed channel;
//! giving it up drops the call, which resets its stream.

mod call;

use super::Gate;
use super::pool::{Handle, Heard, Pool};
use crate::broker::{AttemptKey, EngineLinks, Input, Order};
use crate::cores::{Cores, Seat};
use crate::figures::Figures;
use hyper_util::rt::TokioIo;
use reedwalk_core::EngineId;
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
    seat: Seat,
}

// A channel that breaks connects again by itself.
impl Handle for Connection {
    fn closed(&self) -> bool {
        false
    }
}

/// All links of this front end to its engines.
pub struct Links {
    pool: Pool<Connection>,
    tasks: HashMap<AttemptKey, AbortHandle>,
    sockets: Arc<Sockets>,
    queue: mpsc::Sender<Input>,
    figures: Arc<Figures>,
    cores: Cores,
}

impl Links {
    /// Links that report to the broker's queue, on at most so many connections.
    pub fn new(
        sockets: Arc<Sockets>,
        connections_most: usize,
        queue: mpsc::Sender<Input>,
        figures: Arc<Figures>,
        cores: Cores,
    ) -> Self {
        Self {
            pool: Pool::new(sockets.clone(), connections_most, None),
            tasks: HashMap::new(),
            sockets,
            queue,
            figures,
            cores,
        }
    }
}

/// A channel that connects with its first call, and gives that up at an instant counted from then.
fn channel(address: SocketAddr, heard: Arc<Heard>, gate: Gate, within: Duration) -> Channel {
    let connect = move |_: Uri| {
        let (by, heard, gate) = (Instant::now() + within, heard.clone(), gate.clone());
        async move {
            let stream = timeout_at(by, TcpStream::connect(address)).await??;
            stream.set_nodelay(true)?;
            heard.now();
            if !gate.open(Instant::now()) {
                // Its engine takes nothing new, or another has its address by now.
                return Err(std::io::ErrorKind::ConnectionRefused.into());
            }
            Ok::<_, std::io::Error>(TokioIo::new(stream))
        }
    };
    // The name in the URI is never looked up: the connector has the address.
    Endpoint::from_static("http://engine").connect_with_connector_lazy(tower::service_fn(connect))
}

impl EngineLinks for Links {
    fn place(&mut self, engine: EngineId, place: Option<(SocketAddr, Gate)>) {
        self.pool.place(engine, place);
    }

    fn start(&mut self, order: Order, now: Instant) -> bool {
        let within = self.sockets.connect_within;
        let cores = &self.cores;
        let picked = self.pool.pick(&order, now, |address, heard, gate| {
            let seat = cores.seat();
            // The channel's own task is started with it.
            let channel = seat.within(|| channel(address, heard, gate.clone(), within));
            Connection { channel, seat }
        });
        let Some((connection, heard, gate)) = picked else { return false };
        let class = self.sockets.classes.get(order.class.0).cloned().unwrap_or_default();
        let key = order.key;
        let (channel, figures) = (connection.channel.clone(), self.figures.clone());
        let call = call::Call::new(channel, heard.clone(), gate.clone(), order, class, figures);
        let queue = self.queue.clone();
        let task = connection.seat.spawn(async move { call.run(queue).await });
        self.tasks.insert(key, task);
        true
    }

    fn stop(&mut self, key: AttemptKey) -> bool {
        self.tasks.remove(&key).into_iter().for_each(|t| t.abort());
        self.pool.release(key, true);
        false
    }

    /// Flight SQL has no word for the priority of what already runs: it holds from the next attempt on.
    fn boost(&mut self, _: AttemptKey, _: u8) {}

    fn over(&mut self, key: AttemptKey) {
        self.tasks.remove(&key);
        self.pool.release(key, false);
    }

    fn share(&mut self, share: f64) {
        self.pool.share(share);
    }
}
