//! Thread pool without a limit on running threads.
//!
//! On a busy machine, a new thread waits longer for a CPU than an idle one that is woken up. Each
//! model request needs two threads.

use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

/// Stack size of a worker, which only moves buffers.
const WORKER_STACK_BYTES: usize = 256 << 10;
/// Maximum number of idle threads that are kept. More are needed only in bursts, and each one holds
/// a stack.
const MAX_IDLE: usize = 16;

type Job = Box<dyn FnOnce() + Send>;
type IdleWorkers = Arc<Mutex<Vec<Sender<Job>>>>;

/// Pool that runs a job on an idle thread, or on a new thread if none is idle.
#[derive(Clone)]
pub struct WorkerPool {
    name: &'static str,
    idle: IdleWorkers,
}

impl WorkerPool {
    /// Creates a pool without threads. `name` is the name of its threads.
    pub fn open(name: &'static str) -> Self {
        Self { name, idle: Arc::default() }
    }

    /// Runs a job immediately, however many threads are busy.
    ///
    /// # Errors
    /// Fails if a new thread is needed and cannot be created. The job is then dropped.
    pub fn start(&self, job: impl FnOnce() + Send + 'static) -> std::io::Result<()> {
        let mut job: Job = Box::new(job);
        loop {
            let Some(worker) = lock(&self.idle).pop() else { break };
            match worker.send(job) {
                Ok(()) => return Ok(()),
                Err(returned) => job = returned.0,
            }
        }
        let idle = Arc::clone(&self.idle);
        let builder = thread::Builder::new().name(self.name.into()).stack_size(WORKER_STACK_BYTES);
        builder.spawn(move || run_jobs(job, &idle)).map(|_| ())
    }

    /// Returns the number of threads that wait for a job.
    pub fn idle_count(&self) -> usize {
        lock(&self.idle).len()
    }
}

/// Runs jobs one after the other. Ends the thread if [`MAX_IDLE`] other threads are idle.
fn run_jobs(first: Job, idle: &IdleWorkers) {
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
        let Ok(job) = inbox.recv() else { return };
        job();
    }
}

fn lock(idle: &IdleWorkers) -> MutexGuard<'_, Vec<Sender<Job>>> {
    // The list is consistent after every statement, so a poisoned lock can be used.
    idle.lock().unwrap_or_else(PoisonError::into_inner)
}
