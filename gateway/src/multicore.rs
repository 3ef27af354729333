//! The runtimes that a gateway runs on. Each core is a thread with a runtime of its own; core 0 runs the broker, and
//! connections live on whichever core `reedwalk-multicore` places them. With one core all of it is the caller's runtime.

use reedwalk_multicore::{ConnectionGuard, CoreEvent, LoadTable, StallDetector, connection_shares};
use slog::{Logger, error, info, warn};
use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::runtime::{Builder, Handle};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{AbortHandle, JoinHandle};
use tokio::time::{Instant, sleep_until};

/// How often each core writes its heartbeat, and how often that is checked.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// A core without a heartbeat for this long has stalled.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Descriptors that a core needs at least: its own, and connections worth a core.
pub const MIN_DESCRIPTORS_PER_CORE: usize = 64;

/// The heartbeat of a core's thread, for the task that watches it.
#[derive(Debug)]
struct Heartbeat {
    /// Microseconds from the start of all cores.
    at: AtomicU64,
    ended: AtomicBool,
}

/// Marks the end of a core's thread, also if that ends by a panic.
struct MarkEndedOnDrop(Arc<Heartbeat>);

impl Drop for MarkEndedOnDrop {
    fn drop(&mut self) {
        self.0.ended.store(true, Ordering::Release);
    }
}

#[derive(Debug)]
struct Core {
    handle: Handle,
    heartbeat: Arc<Heartbeat>,
    /// Dropped to end the core.
    stop: Mutex<Option<oneshot::Sender<()>>>,
}

#[derive(Debug)]
struct Inner {
    cores: Vec<Core>,
    load_table: LoadTable,
    epoch: Instant,
}

/// All cores; cheap to clone. Without threads of its own, it is the runtime that it is used on.
#[derive(Clone, Debug)]
pub struct Multicore(Arc<Inner>);

/// The core that a connection was placed on, until the last copy of this is dropped.
#[derive(Clone, Debug)]
pub struct ConnectionSlot {
    load: Option<Arc<ConnectionGuard>>,
    handle: Option<Handle>,
}

impl ConnectionSlot {
    /// On the runtime that this is used on.
    const CURRENT: Self = Self { load: None, handle: None };
}

impl Multicore {
    /// Everything on the runtime that this is used on.
    pub fn single() -> Self {
        Self(Arc::new(Inner {
            cores: Vec::new(),
            load_table: LoadTable::new(connection_shares(1)),
            epoch: Instant::now(),
        }))
    }

    /// Starts `count` cores; up to one is [`Multicore::single`].
    ///
    /// # Errors
    /// Where a thread or its runtime can't be started.
    pub fn start(count: usize) -> std::io::Result<Self> {
        if count <= 1 {
            return Ok(Self::single());
        }
        let epoch = Instant::now();
        let cores = (0..count).map(|number| start_core(number, epoch)).collect::<Result<_, _>>()?;
        Ok(Self(Arc::new(Inner { cores, load_table: LoadTable::new(connection_shares(count)), epoch })))
    }

    /// Whether there are several cores.
    pub fn is_multicore(&self) -> bool {
        !self.0.cores.is_empty()
    }

    /// Starts the broker's task, on core 0.
    pub fn spawn_broker<T: Send + 'static>(
        &self,
        task: impl Future<Output = T> + Send + 'static,
    ) -> JoinHandle<T> {
        match self.0.cores.first() {
            Some(core) => core.handle.spawn(task),
            None => tokio::spawn(task),
        }
    }

    /// Places a new connection on a core.
    pub fn place_connection(&self) -> ConnectionSlot {
        if !self.is_multicore() {
            return ConnectionSlot::CURRENT;
        }
        let load_table = &self.0.load_table;
        loop {
            let held = load_table.place();
            let number = held.core();
            let Some(core) = self.0.cores.get(number) else { return ConnectionSlot::CURRENT };
            // A core that has ended since the last check is passed over, unless there is no other.
            if core.heartbeat.ended.load(Ordering::Acquire) && load_table.is_accepting(number) {
                load_table.set_accepting(number, false);
                continue;
            }
            return ConnectionSlot { handle: Some(core.handle.clone()), load: Some(Arc::new(held)) };
        }
    }

    /// Number of connections on each core.
    pub fn connections_per_core(&self) -> Vec<usize> {
        (0..self.0.cores.len()).map(|core| self.0.load_table.connections(core)).collect()
    }

    /// Whether a core gets new connections: not while it has stalled, nor once it has ended.
    pub fn takes_connections(&self, core: usize) -> bool {
        self.0.load_table.is_accepting(core)
    }

    /// Ends a core: what runs there is dropped, and its connections close. The others continue.
    pub fn stop(&self, core: usize) {
        if let Some(core) = self.0.cores.get(core) {
            core.stop.lock().unwrap_or_else(PoisonError::into_inner).take();
        }
    }

    /// Ends all cores.
    pub fn stop_all(&self) {
        for core in 0..self.0.cores.len() {
            self.stop(core);
        }
    }

    /// Runs a task on a core.
    pub fn spawn_on(&self, core: usize, task: impl Future<Output = ()> + Send + 'static) {
        if let Some(core) = self.0.cores.get(core) {
            core.handle.spawn(task);
        }
    }

    /// Watches the cores until `lost` is closed: logs which have stalled, gives those no new connections, and sends the
    /// number of each whose thread has ended.
    pub async fn watch(self, lost: mpsc::Sender<usize>, log: Logger) {
        let inner = &*self.0;
        let mut watch = StallDetector::new(inner.cores.len(), STALL_TIMEOUT.as_micros() as u64);
        let mut next_check = Instant::now();
        while self.is_multicore() {
            tokio::select! {
                () = sleep_until(next_check) => {}
                () = lost.closed() => return,
            }
            next_check = Instant::now() + HEARTBEAT_INTERVAL;
            let now = inner.epoch.elapsed().as_micros() as u64;
            let heartbeat = |core: &Core| {
                let Heartbeat { at, ended } = &*core.heartbeat;
                (at.load(Ordering::Relaxed), ended.load(Ordering::Acquire))
            };
            for event in watch.check(now, inner.cores.iter().map(heartbeat)) {
                if let Some(ended) = self.on_core_event(event, &log)
                    && lost.send(ended).await.is_err()
                {
                    return;
                }
            }
        }
    }

    /// Applies a change of a core's state. Returns the number of a core that has ended.
    fn on_core_event(&self, event: CoreEvent, log: &Logger) -> Option<usize> {
        match event {
            CoreEvent::Stalled(core, since) => {
                warn!(log, "worker thread stalled"; "core" => core, "stalled_ms" => since / 1000);
                self.0.load_table.set_accepting(core, false);
                None
            }
            CoreEvent::Recovered(core, after) => {
                info!(log, "worker thread resumed"; "core" => core, "stalled_ms" => after / 1000);
                self.0.load_table.set_accepting(core, true);
                None
            }
            CoreEvent::Ended(core) => {
                error!(log, "worker thread ended"; "core" => core);
                self.0.load_table.set_accepting(core, false);
                Some(core)
            }
        }
    }
}

impl ConnectionSlot {
    /// Starts a task on this core; the place is held until the task has ended.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) -> AbortHandle {
        let held = self.load.clone();
        let task = async move {
            task.await;
            drop(held);
        };
        match &self.handle {
            Some(handle) => handle.spawn(task).abort_handle(),
            None => tokio::spawn(task).abort_handle(),
        }
    }

    /// Calls `act` inside this core's runtime, as is needed for whatever starts tasks by itself.
    pub fn enter<T>(&self, act: impl FnOnce() -> T) -> T {
        let _entered = self.handle.as_ref().map(Handle::enter);
        act()
    }

    /// Moves a socket to this core: it belongs to the runtime that it was made on.
    ///
    /// # Errors
    /// Where the system does not move it.
    pub fn adopt_stream(&self, stream: TcpStream) -> std::io::Result<TcpStream> {
        if self.handle.is_none() {
            return Ok(stream);
        }
        let stream = stream.into_std()?;
        self.enter(|| TcpStream::from_std(stream))
    }
}

/// Starts a core's thread.
fn start_core(number: usize, epoch: Instant) -> std::io::Result<Core> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let handle = runtime.handle().clone();
    let now = move || epoch.elapsed().as_micros() as u64;
    let heartbeat = Arc::new(Heartbeat { at: AtomicU64::new(now()), ended: false.into() });
    let (stop, mut stopped) = oneshot::channel();
    let mark_ended = MarkEndedOnDrop(heartbeat.clone());
    std::thread::Builder::new().name(format!("core-{number}")).spawn(move || {
        let heartbeat = &mark_ended.0;
        runtime.block_on(async {
            loop {
                tokio::select! {
                    _ = &mut stopped => return,
                    () = sleep_until(Instant::now() + HEARTBEAT_INTERVAL) => {
                        heartbeat.at.store(now(), Ordering::Relaxed);
                    }
                }
            }
        });
        // What ran here is dropped before the end is marked: a task that learns of it finds that all its attempts have
        // reported their ends.
        drop(runtime);
        drop(mark_ended);
    })?;
    Ok(Core { handle, heartbeat, stop: Mutex::new(Some(stop)) })
}
