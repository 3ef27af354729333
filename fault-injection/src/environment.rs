//! What a cluster needs of its own process: runtimes in threads of their own, and a temporary folder.

use std::os::unix::fs::DirBuilderExt;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::runtime::Handle;

/// A runtime in a thread of its own, until this is dropped.
pub struct RuntimeThread {
    pub handle: Handle,
    stop: Option<tokio::sync::oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl RuntimeThread {
    pub fn new() -> Self {
        let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
        let (send, receive) = std::sync::mpsc::channel();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            send.send(runtime.handle().clone()).unwrap();
            let _ = runtime.block_on(stopped);
            // Tasks that were spawned on it end with it.
        });
        Self { handle: receive.recv().unwrap(), stop: Some(stop), thread: Some(thread) }
    }
}

impl Drop for RuntimeThread {
    fn drop(&mut self) {
        drop(self.stop.take());
        let _ = self.thread.take().map(std::thread::JoinHandle::join);
    }
}

/// A folder that is removed when this is dropped.
pub struct TemporaryFolder(pub PathBuf);

impl TemporaryFolder {
    pub fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("reedwalk-fleet-{}-{number}", std::process::id()));
        std::fs::DirBuilder::new().mode(0o700).create(&path).unwrap();
        Self(path)
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
