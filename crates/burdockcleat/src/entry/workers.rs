//! Threads that are kept for the next request.
//!
//! A new thread waits longer for a processor on a busy machine than one that is woken up, and each
//! model request needs two.

use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

/// Stack of a worker, which only moves buffers.
const STACK_BYTES: usize = 256 << 10;
/// Idle threads that are kept. More are only needed in bursts, and each holds a stack.
const MAX_IDLE: usize = 16;

type Work = Box<dyn FnOnce() + Send>;
type IdleWorkers = Arc<Mutex<Vec<Sender<Work>>>>;

/// Starts work on an idle thread, or on a new one if there is none.
#[derive(Clone)]
pub struct WorkerPool {
    name: &'static str,
    idle: IdleWorkers,
}

impl WorkerPool {
    /// Opens a pool without threads; `name` is the name of its threads.
    pub fn open(name: &'static str) -> Self {
        Self { name, idle: Arc::default() }
    }

    /// Starts the work at once, however many threads are busy.
    ///
    /// # Errors
    /// Fails if a thread is needed and cannot be created; the work is dropped.
    pub fn start(&self, work: impl FnOnce() + Send + 'static) -> std::io::Result<()> {
        let mut work: Work = Box::new(work);
        loop {
            let Some(worker) = lock(&self.idle).pop() else { break };
            match worker.send(work) {
                Ok(()) => return Ok(()),
                Err(returned) => work = returned.0,
            }
        }
        let idle = Arc::clone(&self.idle);
        let builder = thread::Builder::new().name(self.name.into()).stack_size(STACK_BYTES);
        builder.spawn(move || serve(work, &idle)).map(|_| ())
    }

    /// Number of threads that wait for work.
    pub fn idle_count(&self) -> usize {
        lock(&self.idle).len()
    }
}

/// Does one piece of work after the other until enough other threads are idle.
fn serve(first: Work, idle: &IdleWorkers) {
    first();
    let (worker, inbox) = channel();
    loop {
        {
            let mut idle = lock(idle);
            if idle.len() >= MAX_IDLE {
                return;
            }
            idle.push(worker.clone());
        }
        let Ok(work) = inbox.recv() else { return };
        work();
    }
}

fn lock(idle: &IdleWorkers) -> MutexGuard<'_, Vec<Sender<Work>>> {
    // The list stays consistent between statements, so a panic elsewhere does not spoil it.
    idle.lock().unwrap_or_else(PoisonError::into_inner)
}
