//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        Self {
            file: Arc::new(Mutex::new(File::create(path).expect("the record file"))),
            started: Instant::now(),
        }
    }

    /// Adds a line with the time since the start, in seconds.
    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        writeln!(self.file.lock().expect("the record"), "{at:8.3} {text}")
            .expect("the record file");
    }
}
