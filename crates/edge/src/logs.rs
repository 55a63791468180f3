//! Logs on standard output that never block the process: lines go through a bounded buffer to a
//! thread that writes them; what does not fit is counted and dropped.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use thiserror::Error;

/// Bytes that wait for the writer at most.
const BUFFER_BYTES: usize = 256 << 10;
/// Pause between writes, in ms: one write takes many lines.
const FLUSH_MS: u64 = 100;

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Logging that could not be set up.
#[derive(Debug)]
#[derive(Error)]
pub enum LogError {
    /// A logger is installed already.
    #[error("installing the logger, since one is installed already")]
    Installed(#[from] log::SetLoggerError),
    /// The writer thread could not be started.
    #[error("starting the log writer")]
    Thread(#[from] std::io::Error),
}

/// Lines dropped since the start of the process.
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
        if bytes.len() + line.len() >= BUFFER_BYTES {
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

/// Running log writer.
pub struct LogHandle {
    buffer: Arc<LogBuffer>,
}

impl LogHandle {
    /// Writes what is buffered, before the process ends.
    pub fn flush(&self) {
        write_out(&self.buffer.take());
    }
}

/// Installs the logger of the process. Each line begins with the time since the start in ms, the
/// level and the name of the node.
///
/// # Errors
/// Fails if a logger is installed already or the writer cannot be started.
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
            std::thread::sleep(Duration::from_millis(FLUSH_MS));
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
        // There is no other place to report to: the loss shows in the metrics.
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
    }
}
