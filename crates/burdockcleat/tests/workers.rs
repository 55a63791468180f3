//! Tests of the thread pool of the entry.

use burdockcleat::entry::workers::WorkerPool;
use std::collections::HashSet;
use std::sync::mpsc::channel;
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

const WAIT_LIMIT: Duration = Duration::from_secs(10);

fn wait_idle(pool: &WorkerPool, count: usize) {
    let started = Instant::now();
    while pool.idle_count() != count {
        assert!(started.elapsed() < WAIT_LIMIT, "{} threads are idle", pool.idle_count());
        thread::sleep(Duration::from_millis(1));
    }
}

// Guards against a pool that starts a thread for each job.
#[test]
fn an_idle_thread_takes_the_next_job() {
    let pool = WorkerPool::open("test");
    let mut threads = HashSet::new();
    for _ in 0..20 {
        let (done, ended) = channel();
        pool.start(move || done.send(thread::current().id()).unwrap()).unwrap();
        threads.insert(ended.recv_timeout(WAIT_LIMIT).unwrap());
        wait_idle(&pool, 1);
    }
    assert_eq!(threads.len(), 1);
}

// Guards against jobs that wait for other jobs to end, and against an unlimited number of idle
// threads.
#[test]
fn all_jobs_run_at_once_and_few_threads_stay() {
    const COUNT: usize = 60;
    let pool = WorkerPool::open("test");
    for _ in 0..3 {
        let barrier = Arc::new(Barrier::new(COUNT + 1));
        let (done, ended) = channel();
        for _ in 0..COUNT {
            let (barrier, done) = (barrier.clone(), done.clone());
            pool.start(move || {
                barrier.wait();
                done.send(()).unwrap();
            })
            .unwrap();
        }
        barrier.wait();
        for _ in 0..COUNT {
            ended.recv_timeout(WAIT_LIMIT).unwrap();
        }
        wait_idle(&pool, 16);
    }
}

// Guards against sending a job to a thread that has panicked.
#[test]
fn jobs_run_after_a_panic() {
    let pool = WorkerPool::open("test");
    for _ in 0..5 {
        pool.start(|| panic!("expected by the test")).unwrap();
        let (done, ended) = channel();
        pool.start(move || done.send(()).unwrap()).unwrap();
        ended.recv_timeout(WAIT_LIMIT).unwrap();
    }
}
