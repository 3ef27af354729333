//! A relay for questions and answers over UDP, such as those to the name server: each asker has a way of its own through
//! it, and each direction a fault.

use crate::fault::{AppliedFaults, Fault, FaultSampler};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::net::UdpSocket;
use tokio::runtime::Handle;

/// Askers at most; the first to come have a way, and a run with more has failed.
const ASKERS: usize = 1024;

struct Inner {
    sampler: FaultSampler,
    there: Fault,
    back: Fault,
    applied: AppliedFaults,
}

/// A relay in front of one target; cheap to clone.
#[derive(Clone)]
pub struct UdpRelay {
    pub address: SocketAddr,
    inner: Arc<Mutex<Inner>>,
}

impl UdpRelay {
    pub fn open(target: SocketAddr, seed: u64, runtime: &Handle) -> Self {
        let _guard = runtime.enter();
        let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_nonblocking(true).unwrap();
        let socket = Arc::new(UdpSocket::from_std(socket).unwrap());
        let address = socket.local_addr().unwrap();
        let (there, back, applied) = (Fault::default(), Fault::default(), AppliedFaults::default());
        let inner = Arc::new(Mutex::new(Inner { sampler: FaultSampler::new(seed), there, back, applied }));
        let relay = Self { address, inner };
        runtime.spawn(relay.clone().carry(socket, target));
        relay
    }

    /// How what is asked passes, and what is answered.
    pub fn set(&self, there: Fault, back: Fault) {
        let mut inner = self.inner.lock().unwrap();
        (inner.there, inner.back) = (there, back);
    }

    pub fn applied_faults(&self) -> AppliedFaults {
        self.inner.lock().unwrap().applied
    }

    async fn carry(self, socket: Arc<UdpSocket>, target: SocketAddr) {
        let (mut ways, mut buffer) = (HashMap::<SocketAddr, Arc<UdpSocket>>::new(), vec![0; 16 * 1024]);
        loop {
            let Ok((size, asker)) = socket.recv_from(&mut buffer).await else { continue };
            if !ways.contains_key(&asker) {
                assert!(ways.len() < ASKERS, "too many askers");
                let way = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
                way.connect(target).await.unwrap();
                tokio::spawn(self.clone().answers(way.clone(), socket.clone(), asker));
                ways.insert(asker, way);
            }
            let way = ways[&asker].clone();
            self.pass(true, &buffer[..size], move |bytes| {
                let way = way.clone();
                async move { _ = way.send(&bytes).await }
            });
        }
    }

    async fn answers(self, way: Arc<UdpSocket>, socket: Arc<UdpSocket>, asker: SocketAddr) {
        let mut buffer = vec![0; 16 * 1024];
        loop {
            let Ok(size) = way.recv(&mut buffer).await else { continue };
            let socket = socket.clone();
            self.pass(false, &buffer[..size], move |bytes| {
                let socket = socket.clone();
                async move { _ = socket.send_to(&bytes, asker).await }
            });
        }
    }

    fn pass<F: Future<Output = ()> + Send + 'static>(
        &self,
        there: bool,
        bytes: &[u8],
        send: impl Fn(Vec<u8>) -> F,
    ) {
        let thrown = {
            let mut inner = self.inner.lock().unwrap();
            let inner = &mut *inner;
            let fault = if there { inner.there } else { inner.back };
            inner.sampler.sample(&fault, bytes, &mut inner.applied)
        };
        for (delay, bytes) in thrown {
            let sent = send(bytes);
            tokio::spawn(async move {
                if !delay.is_zero() {
                    tokio::time::sleep(delay).await;
                }
                sent.await;
            });
        }
    }
}

#[cfg(test)]
mod tests;
