//! The way between front ends: each one is known to all the others by an address of the cluster's, through which all that
//! is sent to it comes. So each direction of each pair has a fault of its own, which may change at any time.

use crate::fault::{AppliedFaults, Fault, FaultSampler};
use reedwalk_gossip::SigningKeys;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;
use tokio::net::UdpSocket;
use tokio::runtime::Handle;

struct Inner {
    sampler: FaultSampler,
    applied: AppliedFaults,
    usual: Fault,
    pairs: HashMap<(usize, usize), Fault>,
    /// Where nothing passes between those of unlike number.
    groups: Option<Vec<usize>>,
    /// Front ends by the address that they send from, and that address of each.
    from: HashMap<SocketAddr, usize>,
    real: Vec<Option<SocketAddr>>,
    /// All that each has sent: when it came here, when it was sent by the datagram's own word in microseconds, and how
    /// many bytes.
    sent: Vec<Vec<(Instant, u64, usize)>>,
    /// To read that word with.
    keys: SigningKeys,
    largest: usize,
}

/// The network between front ends; cheap to clone.
#[derive(Clone)]
pub struct PeerNet {
    inner: Arc<Mutex<Inner>>,
    sockets: Arc<Vec<UdpSocket>>,
    pub addresses: Arc<Vec<SocketAddr>>,
}

impl PeerNet {
    /// Opens it for so many front ends that sign with these keys, on the runtime of this handle.
    pub fn open(count: usize, keys: SigningKeys, seed: u64, runtime: &Handle) -> Self {
        let _guard = runtime.enter();
        let socket = |_| {
            let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
            socket.set_nonblocking(true).unwrap();
            // What is late must be late by our word only.
            socket2::SockRef::from(&socket).set_recv_buffer_size(1 << 20).unwrap();
            UdpSocket::from_std(socket).unwrap()
        };
        let sockets: Vec<_> = (0..count).map(socket).collect();
        let addresses = sockets.iter().map(|s| s.local_addr().unwrap()).collect();
        let inner = Inner {
            sampler: FaultSampler::new(seed),
            applied: AppliedFaults::default(),
            usual: Fault::default(),
            pairs: HashMap::new(),
            groups: None,
            from: HashMap::new(),
            real: vec![None; count],
            sent: vec![Vec::new(); count],
            keys,
            largest: 0,
        };
        let net = Self {
            inner: Arc::new(Mutex::new(inner)),
            sockets: Arc::new(sockets),
            addresses: Arc::new(addresses),
        };
        for to in 0..count {
            runtime.spawn(net.clone().carry(to));
        }
        net
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap()
    }

    /// This front end sends from here from now on.
    pub fn place(&self, front: usize, real: SocketAddr) {
        let mut inner = self.inner();
        inner.from.retain(|_, f| *f != front);
        inner.from.insert(real, front);
        inner.real[front] = Some(real);
    }

    /// How all links behave that have no fault of their own.
    pub fn usual(&self, fault: Fault) {
        self.inner().usual = fault;
    }

    /// How one direction of one link behaves.
    pub fn link(&self, from: usize, to: usize, fault: Fault) {
        self.inner().pairs.insert((from, to), fault);
    }

    /// Nothing passes between front ends of unlike group; with none all is whole again.
    pub fn split(&self, groups: Option<Vec<usize>>) {
        self.inner().groups = groups;
    }

    pub fn applied_faults(&self) -> AppliedFaults {
        self.inner().applied
    }

    /// The longest datagram that was sent.
    pub fn largest(&self) -> usize {
        self.inner().largest
    }

    /// The most bytes that a front end has sent in any second, by the times at which it sent them: on a machine that is
    /// full, what was sent over a while may all come here in one moment.
    pub fn most_in_a_second(&self, front: usize) -> usize {
        let mut sent: Vec<_> = self.inner().sent[front].iter().map(|s| (s.1, s.2)).collect();
        sent.sort_unstable();
        let (mut first, mut bytes, mut most) = (0, 0, 0);
        for (at, more) in &sent {
            bytes += more;
            while at - sent[first].0 >= 1_000_000 {
                bytes -= sent[first].1;
                first += 1;
            }
            most = most.max(bytes);
        }
        most
    }

    /// Bytes that a front end has sent since then.
    pub fn sent_since(&self, front: usize, since: Instant) -> usize {
        self.inner().sent[front].iter().filter(|s| s.0 >= since).map(|s| s.2).sum()
    }

    async fn carry(self, to: usize) {
        let mut buffer = [0; 2048];
        loop {
            let Ok((size, from)) = self.sockets[to].recv_from(&mut buffer).await else { continue };
            let (thrown, sender, real) = {
                let mut inner = self.inner();
                let inner = &mut *inner;
                let (Some(&sender), Some(real)) = (inner.from.get(&from), inner.real[to]) else {
                    inner.applied.unknown += 1;
                    continue;
                };
                // What can't be read counts beside what its sender sent last.
                let last = inner.sent[sender].last().map_or(0, |s| s.1);
                let stamp = inner.keys.open(&buffer[..size]).map_or(last, |d| d.sent);
                inner.sent[sender].push((Instant::now(), stamp, size));
                inner.largest = inner.largest.max(size);
                let apart = inner.groups.as_ref().is_some_and(|g| g[sender] != g[to]);
                let own = inner.pairs.get(&(sender, to)).copied().unwrap_or(inner.usual);
                let fault = if apart { Fault::cut() } else { own };
                (inner.sampler.sample(&fault, &buffer[..size], &mut inner.applied), sender, real)
            };
            for (delay, bytes) in thrown {
                if delay.is_zero() {
                    let _ = self.sockets[sender].send_to(&bytes, real).await;
                } else {
                    let sockets = self.sockets.clone();
                    tokio::spawn(async move {
                        tokio::time::sleep(delay).await;
                        let _ = sockets[sender].send_to(&bytes, real).await;
                    });
                }
            }
        }
    }
}
