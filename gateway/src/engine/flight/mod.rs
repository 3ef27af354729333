//! Links to engines over Arrow Flight SQL. Each attempt is a task that holds a call on a multiplexed channel;
//! giving it up drops the call, which resets its stream.

mod call;

use super::pool::{Handle, Heard, Pool};
use crate::broker::{AttemptKey, EngineLinks, Input, Order};
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

// A channel that breaks connects again by itself.
impl Handle for Channel {
    fn closed(&self) -> bool {
        false
    }
}

/// All links of this front end to its engines.
pub struct Links {
    pool: Pool<Channel>,
    tasks: HashMap<AttemptKey, AbortHandle>,
    sockets: Arc<Sockets>,
    queue: mpsc::Sender<Input>,
}

impl Links {
    /// Links that report to the broker's queue, on at most so many connections.
    pub fn new(sockets: Arc<Sockets>, connections_most: usize, queue: mpsc::Sender<Input>) -> Self {
        Self {
            pool: Pool::new(sockets.clone(), connections_most, None),
            tasks: HashMap::new(),
            sockets,
            queue,
        }
    }
}

/// A channel that connects with its first call, and gives that up at an instant counted from then.
fn channel(address: SocketAddr, heard: Arc<Heard>, within: Duration) -> Channel {
    let connect = move |_: Uri| {
        let (by, heard) = (Instant::now() + within, heard.clone());
        async move {
            let stream = timeout_at(by, TcpStream::connect(address)).await??;
            stream.set_nodelay(true)?;
            heard.now();
            Ok::<_, std::io::Error>(TokioIo::new(stream))
        }
    };
    // The name in the URI is never looked up: the connector has the address.
    Endpoint::from_static("http://engine").connect_with_connector_lazy(tower::service_fn(connect))
}

impl EngineLinks for Links {
    fn place(&mut self, engine: EngineId, address: Option<SocketAddr>) {
        self.pool.place(engine, address);
    }

    fn start(&mut self, order: Order, now: Instant) -> bool {
        let within = self.sockets.connect_within;
        let picked = self.pool.pick(&order, now, |address, heard| channel(address, heard, within));
        let Some((channel, heard)) = picked else { return false };
        let class = self.sockets.classes.get(order.class.0).cloned().unwrap_or_default();
        let key = order.key;
        let call = call::Call::new(channel.clone(), heard.clone(), order, class);
        let queue = self.queue.clone();
        let task = tokio::spawn(async move { call.run(queue).await });
        self.tasks.insert(key, task.abort_handle());
        true
    }

    fn stop(&mut self, key: AttemptKey) {
        self.tasks.remove(&key).into_iter().for_each(|t| t.abort());
        self.pool.release(key, true);
    }

    /// Flight SQL has no word for the priority of what already runs: it holds from the next attempt on.
    fn boost(&mut self, _: AttemptKey, _: u8) {}

    fn over(&mut self, key: AttemptKey) {
        self.tasks.remove(&key);
        self.pool.release(key, false);
    }
}
