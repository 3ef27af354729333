//! The network that carries gossip between gateways. The others reach each gateway at an address of this network, which relays
//! the datagrams it receives; each direction of each pair of gateways thus has its own fault, which can change at any time.

use crate::fault::{AppliedFaults, DatagramFault, Delivery, FaultSampler};
use reedwalk_gossip::SigningKeys;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;
use tokio::net::UdpSocket;
use tokio::runtime::Handle;

/// Maximum size of a datagram that is relayed without truncation, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// Receive buffer of each socket, in bytes: large enough that only a fault of this network loses a datagram.
const RECEIVE_BUFFER_BYTES: usize = 1 << 20;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// One datagram that a gateway has sent.
#[derive(Clone, Copy)]
struct SentDatagram {
    /// When it arrived at this network.
    arrived_at: Instant,
    /// When it was sent, by its own timestamp: microseconds of the Unix clock.
    sent_at_us: u64,
    size_bytes: usize,
}

struct State {
    sampler: FaultSampler,
    applied: AppliedFaults,
    /// The fault of all links that have no specific fault.
    default_fault: DatagramFault,
    /// Faults by sender and receiver.
    link_faults: HashMap<(usize, usize), DatagramFault>,
    /// The group of each gateway while the network is partitioned; nothing passes between groups.
    partition: Option<Vec<usize>>,
    /// Gateways by the address that they send from.
    senders: HashMap<SocketAddr, usize>,
    /// The source address of each gateway, once it is known.
    gateway_addresses: Vec<Option<SocketAddr>>,
    /// All datagrams of each gateway.
    sent: Vec<Vec<SentDatagram>>,
    /// The keys that decode datagrams, to read their timestamps.
    keys: SigningKeys,
    largest_datagram_bytes: usize,
}

/// A datagram's deliveries, and the socket and address that they are sent from and to.
struct Forwarding {
    deliveries: Vec<Delivery>,
    sender: usize,
    receiver_address: SocketAddr,
}

impl State {
    /// Counts a datagram and samples its fault; `None` where its sender or receiver is unknown.
    fn forward(&mut self, bytes: &[u8], from: SocketAddr, receiver: usize) -> Option<Forwarding> {
        let sender = self.senders.get(&from).copied();
        let (Some(sender), Some(receiver_address)) = (sender, self.gateway_addresses[receiver]) else {
            self.applied.unknown_sender += 1;
            return None;
        };
        self.record_sent(sender, bytes);
        let fault = self.fault_between(sender, receiver);
        let deliveries = self.sampler.sample(&fault, bytes, &mut self.applied);
        Some(Forwarding { deliveries, sender, receiver_address })
    }

    fn record_sent(&mut self, sender: usize, bytes: &[u8]) {
        // A datagram that can't be decoded is recorded with the timestamp of its sender's previous one.
        let last_sent_at_us = self.sent[sender].last().map_or(0, |sent| sent.sent_at_us);
        let sent_at_us = self.keys.decode(bytes).map_or(last_sent_at_us, |datagram| datagram.sent);
        let size_bytes = bytes.len();
        self.sent[sender].push(SentDatagram { arrived_at: Instant::now(), sent_at_us, size_bytes });
        self.largest_datagram_bytes = self.largest_datagram_bytes.max(size_bytes);
    }

    fn fault_between(&self, sender: usize, receiver: usize) -> DatagramFault {
        let is_partitioned = self.partition.as_ref().is_some_and(|groups| groups[sender] != groups[receiver]);
        if is_partitioned {
            return DatagramFault::blocked();
        }
        self.link_faults.get(&(sender, receiver)).copied().unwrap_or(self.default_fault)
    }
}

/// The network between gateways. Clones share the network.
#[derive(Clone)]
pub struct GossipNetwork {
    state: Arc<Mutex<State>>,
    sockets: Arc<Vec<UdpSocket>>,
    /// The address at which the others reach each gateway.
    pub addresses: Arc<Vec<SocketAddr>>,
}

impl GossipNetwork {
    /// Starts a network for `count` gateways that sign with these keys; its tasks run on `runtime`. `seed` seeds the
    /// sampling of faults.
    ///
    /// # Panics
    /// Panics if no socket can be opened.
    pub fn start(count: usize, keys: SigningKeys, seed: u64, runtime: &Handle) -> Self {
        let _guard = runtime.enter();
        let sockets: Vec<_> = (0..count).map(|_| open_socket()).collect();
        let address =
            |socket: &UdpSocket| socket.local_addr().expect("failed to read the local address of the socket");
        let addresses = sockets.iter().map(address).collect();
        let state = State {
            sampler: FaultSampler::new(seed),
            applied: AppliedFaults::default(),
            default_fault: DatagramFault::default(),
            link_faults: HashMap::new(),
            partition: None,
            senders: HashMap::new(),
            gateway_addresses: vec![None; count],
            sent: vec![Vec::new(); count],
            keys,
            largest_datagram_bytes: 0,
        };
        let network = Self {
            state: Arc::new(Mutex::new(state)),
            sockets: Arc::new(sockets),
            addresses: Arc::new(addresses),
        };
        for receiver in 0..count {
            runtime.spawn(network.clone().relay_to(receiver));
        }
        network
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("a task of the network has panicked")
    }

    /// Sets the address that a gateway sends from, after each start of its process.
    pub fn set_gateway_address(&self, gateway: usize, address: SocketAddr) {
        let mut state = self.state();
        state.senders.retain(|_, sender| *sender != gateway);
        state.senders.insert(address, gateway);
        state.gateway_addresses[gateway] = Some(address);
    }

    /// Sets the fault of all links that have no specific fault.
    pub fn set_default_fault(&self, fault: DatagramFault) {
        self.state().default_fault = fault;
    }

    /// Sets the fault of one direction of one link.
    pub fn set_link_fault(&self, sender: usize, receiver: usize, fault: DatagramFault) {
        self.state().link_faults.insert((sender, receiver), fault);
    }

    /// Partitions the network: nothing passes between gateways of different groups. `groups` has the group of each gateway.
    pub fn partition(&self, groups: Vec<usize>) {
        self.state().partition = Some(groups);
    }

    /// Heals a partition.
    pub fn heal(&self) {
        self.state().partition = None;
    }

    /// Counts of the faults applied to datagrams so far.
    pub fn applied_faults(&self) -> AppliedFaults {
        self.state().applied
    }

    /// Size of the largest datagram that any gateway has sent, in bytes.
    pub fn largest_datagram_bytes(&self) -> usize {
        self.state().largest_datagram_bytes
    }

    /// The most bytes that a gateway has sent in any second, by the timestamps of its datagrams: on a loaded machine,
    /// datagrams that were sent over a longer time may arrive at once.
    pub fn max_bytes_per_second(&self, gateway: usize) -> usize {
        let mut sent = self.state().sent[gateway].clone();
        sent.sort_unstable_by_key(|datagram| (datagram.sent_at_us, datagram.size_bytes));
        let (mut window_start, mut window_bytes, mut max_bytes) = (0, 0, 0);
        for datagram in &sent {
            window_bytes += datagram.size_bytes;
            while datagram.sent_at_us - sent[window_start].sent_at_us >= MICROS_PER_SECOND {
                window_bytes -= sent[window_start].size_bytes;
                window_start += 1;
            }
            max_bytes = max_bytes.max(window_bytes);
        }
        max_bytes
    }

    /// Bytes of a gateway that arrived here at `since` or later.
    pub fn bytes_sent_since(&self, gateway: usize, since: Instant) -> usize {
        let state = self.state();
        let sent = state.sent[gateway].iter().filter(|datagram| datagram.arrived_at >= since);
        sent.map(|datagram| datagram.size_bytes).sum()
    }

    async fn relay_to(self, receiver: usize) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((size, from)) = self.sockets[receiver].recv_from(&mut buffer).await else { continue };
            let forwarding = self.state().forward(&buffer[..size], from, receiver);
            if let Some(forwarding) = forwarding {
                self.deliver(forwarding).await;
            }
        }
    }

    /// Sends each copy from the address at which the receiver reaches the sender.
    async fn deliver(&self, forwarding: Forwarding) {
        let Forwarding { deliveries, sender, receiver_address } = forwarding;
        for Delivery { delay, bytes } in deliveries {
            if delay.is_zero() {
                let _ = self.sockets[sender].send_to(&bytes, receiver_address).await;
                continue;
            }
            let sockets = self.sockets.clone();
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                let _ = sockets[sender].send_to(&bytes, receiver_address).await;
            });
        }
    }
}

fn open_socket() -> UdpSocket {
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("failed to bind a loopback socket");
    socket.set_nonblocking(true).expect("failed to make the socket non-blocking");
    let buffer = socket2::SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    buffer.expect("failed to set the size of the receive buffer");
    UdpSocket::from_std(socket).expect("failed to register the socket with the runtime")
}
