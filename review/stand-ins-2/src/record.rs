//! The record of a run: one line for each thing sent, answered or run, with its time.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes `record.txt`.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Begins the record in a case's folder.
    pub fn create(folder: &Path) -> std::io::Result<Record> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record { started: Instant::now(), file: Arc::new(Mutex::new(file)) })
    }

    /// Adds a line, and prints it.
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.started.elapsed().as_secs_f64(), text.as_ref());
        print!("{line}");
        let mut file = self.file.lock().expect("no writer panics");
        let _ = file.write_all(line.as_bytes());
    }
}
