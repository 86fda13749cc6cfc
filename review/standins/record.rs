//! What was sent, answered and run, with times from the start.

use std::{
    fs, io,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// Lines of the record, in the order in which they were noted.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { start: Instant::now(), lines: Arc::default() }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn note(&self, line: &str) {
        let line = format!("{:9.3} s  {line}", self.now().as_secs_f64());
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self, file: &str) -> io::Result<()> {
        fs::write(file, self.lines.lock().unwrap().join("\n") + "\n")
    }
}
