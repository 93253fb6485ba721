//! The record of a case: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// A file of lines that all stand-ins of a case write to.
#[derive(Debug, Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file, or replaces it.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { start: Instant::now(), file })
    }

    /// Returns the time since the start of the case in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let at_s = self.now_ms() as f64 / 1_000.0;
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at_s:9.3} s  {}", text.trim_end());
    }
}
