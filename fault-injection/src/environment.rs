//! Resources of a cluster in the test process: runtimes on dedicated threads and a temporary folder.

use std::os::unix::fs::DirBuilderExt;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::runtime::Handle;

/// Permissions of the temporary folder, which only its owner may read.
const PRIVATE_FOLDER_MODE: u32 = 0o700;

/// A single-threaded runtime on a dedicated thread. Dropping it cancels its tasks and joins the thread.
pub struct RuntimeThread {
    pub handle: Handle,
    stop: Option<tokio::sync::oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl RuntimeThread {
    pub fn new() -> Self {
        let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
        let (handle_sender, handle_receiver) = std::sync::mpsc::channel();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
            handle_sender.send(runtime.handle().clone()).unwrap();
            // Tasks that were spawned on the runtime end with it.
            let _ = runtime.block_on(stopped);
        });
        Self { handle: handle_receiver.recv().unwrap(), stop: Some(stop), thread: Some(thread) }
    }
}

impl Drop for RuntimeThread {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A folder that is removed when this is dropped.
pub struct TemporaryFolder(pub PathBuf);

impl TemporaryFolder {
    pub fn new() -> Self {
        static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("reedwalk-cluster-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::DirBuilder::new().mode(PRIVATE_FOLDER_MODE).create(&path).unwrap();
        Self(path)
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
