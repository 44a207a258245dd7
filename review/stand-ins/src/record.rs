//! The record of a run: what was sent, answered and run, with the time since the run's start.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// A record file.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record { started: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let seconds = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} {}", text.as_ref());
    }

    /// Writes a line, and shows it to the caller of the script.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}
