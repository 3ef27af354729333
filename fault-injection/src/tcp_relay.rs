//! A TCP relay in front of one target: it delays, throttles, stalls or resets the connections through it. A fault that is
//! set applies to open connections as well.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Bytes that one direction of a connection reads at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// The faults of the connections through a relay. By default there are none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ConnectionFault {
    /// Bytes from the client to the target are held back until the fault is lifted, as in a network that is partitioned
    /// and heals. Connections are still accepted, since the kernel does that.
    pub stall_requests: bool,
    /// Bytes from the target to the client are held back in the same way.
    pub stall_responses: bool,
    /// All connections are reset, open ones and new ones.
    pub reset: bool,
    /// Delay of all bytes, in each direction.
    pub delay: Duration,
    /// Bytes per second in each direction of each connection; `None` means no limit.
    pub bytes_per_second: Option<f64>,
}

impl ConnectionFault {
    /// Holds back all bytes in both directions.
    pub fn stalled() -> Self {
        Self { stall_requests: true, stall_responses: true, ..Self::default() }
    }

    /// Resets all connections.
    pub fn reset() -> Self {
        Self { reset: true, ..Self::default() }
    }
}

/// How many connections of a relay met a fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionFaultCounts {
    /// Connections that have ended and on which bytes were held back.
    pub stalled: u64,
    /// Connections that were reset.
    pub reset: u64,
}

#[derive(Debug, Default)]
struct Counters {
    stalled: AtomicU64,
    reset: AtomicU64,
}

/// A relay in front of one target. Clones share the relay.
#[derive(Clone, Debug)]
pub struct TcpRelay {
    /// The address to which clients connect to reach the target.
    pub address: SocketAddr,
    fault: Arc<watch::Sender<ConnectionFault>>,
    counters: Arc<Counters>,
}

impl TcpRelay {
    /// Starts a relay to `target` on a free port of the loopback interface; its tasks run on `runtime`.
    ///
    /// # Panics
    /// Panics if no socket can be opened.
    pub fn start(target: SocketAddr, runtime: &Handle) -> Self {
        let _guard = runtime.enter();
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("failed to bind a loopback socket");
        listener.set_nonblocking(true).expect("failed to make the socket non-blocking");
        let listener =
            TcpListener::from_std(listener).expect("failed to register the socket with the runtime");
        let address = listener.local_addr().expect("failed to read the local address of the socket");
        let (fault, fault_receiver) = watch::channel(ConnectionFault::default());
        let counters = Arc::new(Counters::default());
        let connection_counters = counters.clone();
        runtime.spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(relay_connection(
                    client,
                    target,
                    fault_receiver.clone(),
                    connection_counters.clone(),
                ));
            }
        });
        Self { address, fault: Arc::new(fault), counters }
    }

    /// Applies this fault to all connections from now on, replacing the previous one.
    pub fn set_fault(&self, fault: ConnectionFault) {
        self.fault.send_replace(fault);
    }

    /// How many connections met a fault so far.
    pub fn fault_counts(&self) -> ConnectionFaultCounts {
        ConnectionFaultCounts {
            stalled: self.counters.stalled.load(Ordering::Relaxed),
            reset: self.counters.reset.load(Ordering::Relaxed),
        }
    }
}

/// Makes the kernel reset the connection when the stream is dropped.
fn reset_on_drop(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn relay_connection(
    client: TcpStream,
    target: SocketAddr,
    mut faults: watch::Receiver<ConnectionFault>,
    counters: Arc<Counters>,
) {
    if faults.borrow_and_update().reset {
        counters.reset.fetch_add(1, Ordering::Relaxed);
        reset_on_drop(&client);
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        reset_on_drop(&client);
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let was_stalled = AtomicBool::new(false);
    let is_reset = {
        let (mut client_reader, mut client_writer) = (StreamHalf(&client), StreamHalf(&client));
        let (mut server_reader, mut server_writer) = (StreamHalf(&server), StreamHalf(&server));
        let requests = relay_direction(
            &mut client_reader,
            &mut server_writer,
            faults.clone(),
            |fault| fault.stall_requests,
            &was_stalled,
        );
        let responses = relay_direction(
            &mut server_reader,
            &mut client_writer,
            faults.clone(),
            |fault| fault.stall_responses,
            &was_stalled,
        );
        tokio::select! {
            () = requests => false,
            () = responses => false,
            _ = faults.wait_for(|fault| fault.reset) => true,
        }
    };
    if was_stalled.into_inner() {
        counters.stalled.fetch_add(1, Ordering::Relaxed);
    }
    if is_reset {
        counters.reset.fetch_add(1, Ordering::Relaxed);
        reset_on_drop(&client);
        reset_on_drop(&server);
    }
}

/// One half of a stream, for reading or for writing.
struct StreamHalf<'a>(&'a TcpStream);

impl StreamHalf<'_> {
    async fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        loop {
            self.0.readable().await?;
            match self.0.try_read(buffer) {
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                result => return result,
            }
        }
    }

    async fn write_all(&mut self, mut bytes: &[u8]) -> std::io::Result<()> {
        while !bytes.is_empty() {
            self.0.writable().await?;
            match self.0.try_write(bytes) {
                Ok(written) => bytes = &bytes[written..],
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}

/// Copies one direction of a connection until an end closes it, with the faults that are set when bytes arrive.
async fn relay_direction(
    reader: &mut StreamHalf<'_>,
    writer: &mut StreamHalf<'_>,
    mut faults: watch::Receiver<ConnectionFault>,
    is_stalled: impl Fn(&ConnectionFault) -> bool,
    was_stalled: &AtomicBool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(size @ 1..) = reader.read(&mut buffer).await else { return };
        let arrived_at = Instant::now();
        let fault = *faults.borrow_and_update();
        if is_stalled(&fault) {
            was_stalled.store(true, Ordering::Relaxed);
            if faults.wait_for(|fault| !is_stalled(fault)).await.is_err() {
                return;
            }
        }
        let delay = fault.delay + transfer_time(size, fault.bytes_per_second);
        if !delay.is_zero() {
            sleep_until(arrived_at + delay).await;
        }
        if writer.write_all(&buffer[..size]).await.is_err() {
            return;
        }
    }
}

/// How long `size` bytes take at this rate; zero without a limit.
fn transfer_time(size: usize, bytes_per_second: Option<f64>) -> Duration {
    bytes_per_second.map_or(Duration::ZERO, |rate| Duration::from_secs_f64(size as f64 / rate))
}

#[cfg(test)]
mod tests;
