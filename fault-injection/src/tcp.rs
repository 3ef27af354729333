//! A relay for connections: what passes through it can be held, slowed, cut one way or both, or reset, and changes
//! while connections are open.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// How the connections through a relay behave.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Flow {
    /// Nothing passes towards the target, or back from it; what was sent stays until it does, as it does for a network
    /// that is cut and heals. Connections are still taken: the kernel does that.
    pub held_there: bool,
    pub held_back: bool,
    /// All connections are reset, new ones too.
    pub reset: bool,
    pub delay: Duration,
    /// Bytes a second in each direction, if there is a limit.
    pub rate: Option<f64>,
}

impl Flow {
    pub fn silent() -> Self {
        Self { held_there: true, held_back: true, ..Self::default() }
    }

    pub fn reset() -> Self {
        Self { reset: true, ..Self::default() }
    }
}

#[derive(Debug, Default)]
struct Counts {
    held: AtomicU64,
    reset: AtomicU64,
}

/// A relay in front of one target.
#[derive(Clone, Debug)]
pub struct TcpRelay {
    pub address: SocketAddr,
    flow: Arc<watch::Sender<Flow>>,
    counts: Arc<Counts>,
}

impl TcpRelay {
    pub fn open(target: SocketAddr, runtime: &Handle) -> Self {
        let _guard = runtime.enter();
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let listener = TcpListener::from_std(listener).unwrap();
        let address = listener.local_addr().unwrap();
        let (flow, flows) = watch::channel(Flow::default());
        let counts = Arc::new(Counts::default());
        let seen = counts.clone();
        runtime.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(connection(stream, target, flows.clone(), seen.clone()));
            }
        });
        Self { address, flow: Arc::new(flow), counts }
    }

    pub fn set(&self, flow: Flow) {
        self.flow.send_replace(flow);
    }

    /// Connections on which something was held, and that were reset.
    pub fn applied_faults(&self) -> (u64, u64) {
        (self.counts.held.load(Ordering::Relaxed), self.counts.reset.load(Ordering::Relaxed))
    }
}

fn abort(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn connection(
    client: TcpStream,
    target: SocketAddr,
    mut flows: watch::Receiver<Flow>,
    counts: Arc<Counts>,
) {
    if flows.borrow_and_update().reset {
        counts.reset.fetch_add(1, Ordering::Relaxed);
        abort(&client);
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        abort(&client);
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let held = std::sync::atomic::AtomicBool::new(false);
    let reset = {
        let (mut client_in, mut client_out) = (Half(&client), Half(&client));
        let (mut server_in, mut server_out) = (Half(&server), Half(&server));
        let there = pump(&mut client_in, &mut server_out, flows.clone(), |f| f.held_there, &held);
        let back = pump(&mut server_in, &mut client_out, flows.clone(), |f| f.held_back, &held);
        tokio::select! {
            () = there => false,
            () = back => false,
            _ = flows.wait_for(|f| f.reset) => true,
        }
    };
    if held.into_inner() {
        counts.held.fetch_add(1, Ordering::Relaxed);
    }
    if reset {
        counts.reset.fetch_add(1, Ordering::Relaxed);
        abort(&client);
        abort(&server);
    }
}

/// One direction of a stream.
struct Half<'a>(&'a TcpStream);

impl Half<'_> {
    async fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        loop {
            self.0.readable().await?;
            match self.0.try_read(buffer) {
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                other => return other,
            }
        }
    }

    async fn write_all(&mut self, mut bytes: &[u8]) -> std::io::Result<()> {
        while !bytes.is_empty() {
            self.0.writable().await?;
            match self.0.try_write(bytes) {
                Ok(n) => bytes = &bytes[n..],
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}

async fn pump(
    from: &mut Half<'_>,
    to: &mut Half<'_>,
    mut flows: watch::Receiver<Flow>,
    is_held: impl Fn(&Flow) -> bool,
    held: &std::sync::atomic::AtomicBool,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let Ok(size @ 1..) = from.read(&mut buffer).await else { return };
        let came = Instant::now();
        let flow = *flows.borrow_and_update();
        if is_held(&flow) {
            held.store(true, Ordering::Relaxed);
            if flows.wait_for(|f| !is_held(f)).await.is_err() {
                return;
            }
        }
        let slow = flow.rate.map_or(Duration::ZERO, |rate| Duration::from_secs_f64(size as f64 / rate));
        if !(flow.delay + slow).is_zero() {
            sleep_until(came + flow.delay + slow).await;
        }
        if to.write_all(&buffer[..size]).await.is_err() {
            return;
        }
    }
}

/// For tests of the relay itself: sends this and reads as much back.
pub async fn echo(address: SocketAddr, bytes: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(bytes).await?;
    let mut back = vec![0; bytes.len()];
    stream.read_exact(&mut back).await?;
    Ok(back)
}

#[cfg(test)]
mod tests;
