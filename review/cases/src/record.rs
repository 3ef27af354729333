//! The record of a run: one line for each event, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record; clones write to the same file.
#[derive(Clone, Debug)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates `record.txt` in the folder that the variable `RECORD_FOLDER` names.
    ///
    /// # Panics
    ///
    /// If the file can't be created.
    pub fn create() -> Self {
        let folder = PathBuf::from(std::env::var_os("RECORD_FOLDER").expect("RECORD_FOLDER is not set"));
        let file = File::create(folder.join("record.txt")).expect("record.txt can't be created");
        Self { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    /// Writes a line.
    ///
    /// # Panics
    ///
    /// If the file can't be written.
    pub fn line(&self, text: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("a writer of the record has panicked");
        writeln!(file, "{seconds:8.3} {text}").expect("record.txt can't be written");
    }
}
