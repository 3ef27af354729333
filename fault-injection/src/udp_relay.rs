//! A UDP relay for requests and responses, such as those of the discovery server. The relay opens a separate socket to the
//! target for each client and applies a separate fault to each direction.

use crate::fault::{AppliedFaults, DatagramFault, Delivery, FaultSampler};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::net::UdpSocket;
use tokio::runtime::Handle;

/// Maximum number of clients of a relay. A run with more fails.
const MAX_CLIENTS: usize = 1024;

/// Maximum size of a datagram that is relayed without truncation, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

#[derive(Clone, Copy)]
enum Direction {
    Request,
    Response,
}

struct State {
    sampler: FaultSampler,
    request_fault: DatagramFault,
    response_fault: DatagramFault,
    applied: AppliedFaults,
}

/// A relay in front of one target. Clones share the relay.
#[derive(Clone)]
pub struct UdpRelay {
    /// The address to which clients send their requests.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl UdpRelay {
    /// Starts a relay to `target` on a free port of the loopback interface; its tasks run on `runtime`. `seed` seeds the
    /// sampling of faults.
    ///
    /// # Panics
    /// Panics if no socket can be opened.
    pub fn start(target: SocketAddr, seed: u64, runtime: &Handle) -> Self {
        let _guard = runtime.enter();
        let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("failed to bind a loopback socket");
        socket.set_nonblocking(true).expect("failed to make the socket non-blocking");
        let socket =
            Arc::new(UdpSocket::from_std(socket).expect("failed to register the socket with the runtime"));
        let address = socket.local_addr().expect("failed to read the local address of the socket");
        let state = State {
            sampler: FaultSampler::new(seed),
            request_fault: DatagramFault::default(),
            response_fault: DatagramFault::default(),
            applied: AppliedFaults::default(),
        };
        let relay = Self { address, state: Arc::new(Mutex::new(state)) };
        runtime.spawn(relay.clone().relay_requests(socket, target));
        relay
    }

    /// Sets the faults of requests and of responses, replacing the previous ones.
    ///
    /// # Panics
    /// Panics if a task of the relay has panicked.
    pub fn set_faults(&self, request_fault: DatagramFault, response_fault: DatagramFault) {
        let mut state = self.state.lock().unwrap();
        state.request_fault = request_fault;
        state.response_fault = response_fault;
    }

    /// Counts of the faults applied to datagrams so far.
    ///
    /// # Panics
    /// Panics if a task of the relay has panicked.
    pub fn applied_faults(&self) -> AppliedFaults {
        self.state.lock().unwrap().applied
    }

    async fn relay_requests(self, socket: Arc<UdpSocket>, target: SocketAddr) {
        let mut target_sockets = HashMap::<SocketAddr, Arc<UdpSocket>>::new();
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((size, client)) = socket.recv_from(&mut buffer).await else { continue };
            if !target_sockets.contains_key(&client) {
                assert!(target_sockets.len() < MAX_CLIENTS, "too many clients");
                let target_socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
                target_socket.connect(target).await.unwrap();
                tokio::spawn(self.clone().relay_responses(target_socket.clone(), socket.clone(), client));
                target_sockets.insert(client, target_socket);
            }
            let target_socket = target_sockets[&client].clone();
            self.deliver(Direction::Request, &buffer[..size], move |bytes| {
                let target_socket = target_socket.clone();
                async move { _ = target_socket.send(&bytes).await }
            });
        }
    }

    async fn relay_responses(
        self,
        target_socket: Arc<UdpSocket>,
        socket: Arc<UdpSocket>,
        client: SocketAddr,
    ) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok(size) = target_socket.recv(&mut buffer).await else { continue };
            let socket = socket.clone();
            self.deliver(Direction::Response, &buffer[..size], move |bytes| {
                let socket = socket.clone();
                async move { _ = socket.send_to(&bytes, client).await }
            });
        }
    }

    /// Sends the copies of a datagram that the fault of its direction lets through, each after its delay.
    fn deliver<F: Future<Output = ()> + Send + 'static>(
        &self,
        direction: Direction,
        bytes: &[u8],
        send: impl Fn(Vec<u8>) -> F,
    ) {
        for Delivery { delay, bytes } in self.sample(direction, bytes) {
            let sending = send(bytes);
            tokio::spawn(async move {
                if !delay.is_zero() {
                    tokio::time::sleep(delay).await;
                }
                sending.await;
            });
        }
    }

    fn sample(&self, direction: Direction, bytes: &[u8]) -> Vec<Delivery> {
        let mut state = self.state.lock().unwrap();
        let state = &mut *state;
        let fault = match direction {
            Direction::Request => state.request_fault,
            Direction::Response => state.response_fault,
        };
        state.sampler.sample(&fault, bytes, &mut state.applied)
    }
}

#[cfg(test)]
mod tests;
