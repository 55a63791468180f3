//! Non-blocking logger on standard output. A background thread writes lines from a bounded buffer;
//! lines that do not fit are dropped and counted.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use thiserror::Error;

/// Capacity of the log buffer, in bytes.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Interval between two writes, in ms. One write contains many lines.
const FLUSH_INTERVAL_MS: u64 = 100;

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Error while installing the logger.
#[derive(Debug)]
#[derive(Error)]
pub enum LogError {
    /// Another logger is already installed.
    #[error("cannot install the logger: another logger is already installed")]
    Installed(#[from] log::SetLoggerError),
    /// The writer thread could not be started.
    #[error("cannot start the log writer thread")]
    Thread(#[from] std::io::Error),
}

/// Returns the number of lines dropped since the start of the process.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

#[derive(Default)]
struct LogBuffer {
    bytes: Mutex<Vec<u8>>,
}

impl LogBuffer {
    fn push(&self, line: &str) {
        let mut bytes = self.bytes.lock().unwrap_or_else(PoisonError::into_inner);
        if bytes.len() + line.len() >= MAX_BUFFERED_BYTES {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            return;
        }
        bytes.extend_from_slice(line.as_bytes());
        bytes.push(b'\n');
    }

    fn take(&self) -> Vec<u8> {
        std::mem::take(&mut self.bytes.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Handle of the installed logger.
pub struct LogHandle {
    buffer: Arc<LogBuffer>,
}

impl LogHandle {
    /// Writes all buffered lines. Called before the process exits.
    pub fn flush(&self) {
        write_out(&self.buffer.take());
    }
}

/// Installs the logger of the process. Each line starts with the time since the process start in
/// ms, the level and the node name.
///
/// # Errors
/// Fails if another logger is already installed or the writer thread cannot be started.
pub fn install(level: log::LevelFilter, node: &str) -> Result<LogHandle, LogError> {
    let buffer = Arc::new(LogBuffer::default());
    let (node, sink) = (node.to_owned(), buffer.clone());
    fern::Dispatch::new()
        .level(level.min(log::LevelFilter::Warn))
        .level_for("burdockcleat", level)
        .chain(fern::Output::call(move |record| {
            let time = burdockcleat_core::clock::ClockTime::monotonic().as_ms();
            let level = record.level();
            sink.push(&format!("t={time} level={level} node={node} {}", record.args()));
        }))
        .apply()?;
    let source = buffer.clone();
    std::thread::Builder::new().name("log".into()).spawn(move || {
        loop {
            std::thread::sleep(Duration::from_millis(FLUSH_INTERVAL_MS));
            write_out(&source.take());
        }
    })?;
    Ok(LogHandle { buffer })
}

fn write_out(bytes: &[u8]) {
    if bytes.is_empty() {
        return;
    }
    if std::io::stdout().lock().write_all(bytes).is_err() {
        // A failed write can only be reported in the metrics.
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
    }
}
