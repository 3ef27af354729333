//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes the lines of `record.txt`; clones share the file.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file `record.txt` in a folder.
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) })
    }

    /// Time since the start of the run, in seconds.
    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Writes one line with the current time, to the file and to standard output.
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} s  {text}", self.seconds());
        println!("{line}");
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{line}");
        }
    }
}
