//! The async runtimes of a gateway. Each core is a thread with its own single-threaded runtime. Core 0 runs the broker;
//! `reedwalk-multicore` decides on which core a connection is placed. With one core, everything runs on the caller's
//! runtime.

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

/// Interval at which each core writes its heartbeat and at which the heartbeats are checked.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// A core is considered stalled after this long without a heartbeat.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum number of file descriptors for each core: its own, and enough connections to make a core worthwhile.
pub const MIN_DESCRIPTORS_PER_CORE: usize = 64;

/// The heartbeat of a core's thread, read by the task that watches the cores.
#[derive(Debug)]
struct Heartbeat {
    /// Time of the last heartbeat, in microseconds since the cores started.
    last_us: AtomicU64,
    ended: AtomicBool,
}

/// Marks a core's thread as ended when it is dropped, including when the thread panics.
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
    /// Dropping the sender stops the core.
    stop: Mutex<Option<oneshot::Sender<()>>>,
}

#[derive(Debug)]
struct Inner {
    cores: Vec<Core>,
    load_table: LoadTable,
    epoch: Instant,
}

/// All cores; cheap to clone. With a single core it has no threads of its own and uses the caller's runtime.
#[derive(Clone, Debug)]
pub struct Multicore(Arc<Inner>);

/// A connection's place on a core. The connection counts towards the core's load until the last clone is dropped.
#[derive(Clone, Debug)]
pub struct ConnectionSlot {
    load: Option<Arc<ConnectionGuard>>,
    handle: Option<Handle>,
}

impl ConnectionSlot {
    /// A slot on the caller's runtime.
    const CURRENT: Self = Self { load: None, handle: None };
}

impl Multicore {
    /// A single core: everything runs on the caller's runtime.
    pub fn single() -> Self {
        Self(Arc::new(Inner {
            cores: Vec::new(),
            load_table: LoadTable::new(connection_shares(1)),
            epoch: Instant::now(),
        }))
    }

    /// Starts `count` cores; 0 or 1 is the same as [`Multicore::single`].
    ///
    /// # Errors
    /// A thread or its runtime can't be started.
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

    /// Starts the broker's task on core 0.
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
            let load = load_table.place();
            let number = load.core();
            let Some(core) = self.0.cores.get(number) else { return ConnectionSlot::CURRENT };
            // Skips a core that has ended since the last check, unless no core accepts connections.
            if core.heartbeat.ended.load(Ordering::Acquire) && load_table.is_accepting(number) {
                load_table.set_accepting(number, false);
                continue;
            }
            return ConnectionSlot { handle: Some(core.handle.clone()), load: Some(Arc::new(load)) };
        }
    }

    /// Number of connections on each core.
    pub fn connections_per_core(&self) -> Vec<usize> {
        (0..self.0.cores.len()).map(|core| self.0.load_table.connections(core)).collect()
    }

    /// Whether a core accepts new connections: not while it is stalled, and not after it has ended.
    pub fn accepts_connections(&self, core: usize) -> bool {
        self.0.load_table.is_accepting(core)
    }

    /// Stops a core: its tasks are dropped and its connections close. The other cores continue.
    pub fn stop(&self, core: usize) {
        if let Some(core) = self.0.cores.get(core) {
            core.stop.lock().unwrap_or_else(PoisonError::into_inner).take();
        }
    }

    /// Stops all cores.
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

    /// Watches the cores until `ended_cores` is closed: logs stalled cores, places no new connections on them, and sends
    /// the number of each core whose thread has ended.
    pub async fn watch(self, ended_cores: mpsc::Sender<usize>, log: Logger) {
        let inner = &*self.0;
        let mut stall_detector = StallDetector::new(inner.cores.len(), STALL_TIMEOUT.as_micros() as u64);
        let mut next_check = Instant::now();
        while self.is_multicore() {
            tokio::select! {
                () = sleep_until(next_check) => {}
                () = ended_cores.closed() => return,
            }
            next_check = Instant::now() + HEARTBEAT_INTERVAL;
            let now = inner.epoch.elapsed().as_micros() as u64;
            let heartbeat = |core: &Core| {
                let Heartbeat { last_us, ended } = &*core.heartbeat;
                (last_us.load(Ordering::Relaxed), ended.load(Ordering::Acquire))
            };
            for event in stall_detector.check(now, inner.cores.iter().map(heartbeat)) {
                if let Some(core) = self.on_core_event(event, &log)
                    && ended_cores.send(core).await.is_err()
                {
                    return;
                }
            }
        }
    }

    /// Logs and applies a change of a core's state. Returns the number of the core if it has ended.
    fn on_core_event(&self, event: CoreEvent, log: &Logger) -> Option<usize> {
        match event {
            CoreEvent::Stalled(core, stalled_us) => {
                warn!(log, "worker thread stalled"; "core" => core, "stalled_ms" => stalled_us / 1000);
                self.0.load_table.set_accepting(core, false);
                None
            }
            CoreEvent::Recovered(core, stalled_us) => {
                info!(log, "worker thread resumed"; "core" => core, "stalled_ms" => stalled_us / 1000);
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
    /// Starts a task on this core. The slot is held until the task has ended.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) -> AbortHandle {
        let load = self.load.clone();
        let task = async move {
            task.await;
            drop(load);
        };
        match &self.handle {
            Some(handle) => handle.spawn(task).abort_handle(),
            None => tokio::spawn(task).abort_handle(),
        }
    }

    /// Calls `function` in the context of this core's runtime, as code that spawns its own tasks needs.
    pub fn enter<T>(&self, function: impl FnOnce() -> T) -> T {
        let _entered = self.handle.as_ref().map(Handle::enter);
        function()
    }

    /// Moves a socket to this core; a socket is otherwise bound to the runtime that created it.
    ///
    /// # Errors
    /// The socket can't be registered with this core's runtime.
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
    let heartbeat = Arc::new(Heartbeat { last_us: AtomicU64::new(now()), ended: false.into() });
    let (stop, mut stopped) = oneshot::channel();
    let mark_ended = MarkEndedOnDrop(heartbeat.clone());
    std::thread::Builder::new().name(format!("core-{number}")).spawn(move || {
        let heartbeat = &mark_ended.0;
        runtime.block_on(async {
            loop {
                tokio::select! {
                    _ = &mut stopped => return,
                    () = sleep_until(Instant::now() + HEARTBEAT_INTERVAL) => {
                        heartbeat.last_us.store(now(), Ordering::Relaxed);
                    }
                }
            }
        });
        // The runtime and its tasks are dropped before the core is marked as ended: whoever sees the mark can rely on all
        // attempts of this core having reported their results.
        drop(runtime);
        drop(mark_ended);
    })?;
    Ok(Core { handle, heartbeat, stop: Mutex::new(Some(stop)) })
}
