//! Case of streams that callers take up after the loss of one node, while new ones begin.

use crate::engine::{Engine, EngineProfile};
use crate::support::{Deployment, Operator, Record, trouble};
use crate::versions::{CallerStream, DOCUMENT, attempt_stream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Engines of each version. Each has the slots of the deployment.
const OLD_ENGINES: usize = 4;
const NEW_ENGINES: usize = 6;
const SLOTS: u32 = 5;
/// Long streams through the node that is lost, and through another one.
const LOST_NODE_STREAMS: usize = 16;
const OTHER_STREAMS: usize = 4;
/// Streams that begin each second through the other nodes.
const RATE: f64 = 10.0;
/// Pause of a caller before its only retry; the sheet says "requester's retries: 1".
const RETRY_PAUSE: Duration = Duration::from_millis(300);
const DEADLINE: Duration = Duration::from_millis(15_000);
/// Take-ups from which the rule counts.
const COUNTED: usize = 12;
/// Node without a disk, so the core stays stable.
const LOST_NODE: usize = 3;

/// What became of a long stream.
#[derive(Default)]
struct LongStream {
    taken_up: bool,
    went_on: bool,
}

fn take_long_stream(
    number: usize,
    nodes: &[std::net::SocketAddrV4],
    record: &Record,
) -> LongStream {
    let first = if number < LOST_NODE_STREAMS { LOST_NODE } else { 0 };
    let started = Instant::now();
    let mut stream = CallerStream::default();
    attempt_stream(&mut stream, &format!("long-{number}-0"), nodes[first], DEADLINE, record);
    let before = stream.last;
    if stream.complete || before == 0 {
        return LongStream::default();
    }
    thread::sleep(RETRY_PAUSE);
    let left = DEADLINE.saturating_sub(started.elapsed());
    let next = nodes[number % LOST_NODE];
    attempt_stream(&mut stream, &format!("long-{number}-1"), next, left, record);
    LongStream { taken_up: true, went_on: stream.last > before }
}

/// A node without a disk is killed. Its callers take their streams up at the other nodes, while engines of
/// another version have room for new streams.
pub fn refused_take_ups(record: &Record) -> Option<bool> {
    let mut nodes = Deployment::prepare(3, 4, record);
    let operator = Operator { record };
    let controls: Vec<_> = (0..3).map(|node| nodes.control(node)).collect();
    let frontends: Vec<_> = (0..=LOST_NODE).map(|node| nodes.frontend(node)).collect();
    nodes.start_all();
    operator.put(&controls, 4, DOCUMENT, Duration::from_secs(15))?;
    let profile = |number: usize, events: u64| EngineProfile {
        id: format!("i-{number}"),
        service: "llm".into(),
        zone: format!("zone-{}", number % 3),
        address: nodes.engine_address(number),
        slots: SLOTS,
        controls: controls.clone(),
        events,
        event_pause: Duration::from_millis(100),
        work: Duration::ZERO,
    };
    let start = |number, events, version| Engine::start(&profile(number, events), version, record);
    let mut engines: Vec<_> = (0..OLD_ENGINES).map(|number| start(number, 110, "v1")).collect();
    thread::sleep(Duration::from_millis(1_500));
    let long: Vec<_> = (0..LOST_NODE_STREAMS + OTHER_STREAMS)
        .map(|number| {
            let (nodes, record) = (frontends.clone(), record.clone());
            thread::spawn(move || take_long_stream(number, &nodes, &record))
        })
        .collect();
    thread::sleep(Duration::from_millis(1_000));
    let all = OLD_ENGINES..OLD_ENGINES + NEW_ENGINES;
    engines.extend(all.map(|number| start(number, 20, "v2")));
    thread::sleep(Duration::from_millis(500));
    let (stop, begun): (Arc<AtomicBool>, Arc<Mutex<Vec<bool>>>) = Default::default();
    let load = {
        let (stop, begun, record) = (stop.clone(), begun.clone(), record.clone());
        let nodes = frontends.clone();
        thread::spawn(move || {
            let mut callers = Vec::new();
            for number in 0.. {
                if stop.load(Ordering::SeqCst) {
                    break;
                }
                let (begun, record) = (begun.clone(), record.clone());
                let node = nodes[number % LOST_NODE];
                callers.push(thread::spawn(move || {
                    let mut stream = CallerStream::default();
                    attempt_stream(&mut stream, &format!("new-{number}"), node, DEADLINE, &record);
                    begun.lock().expect("streams").push(stream.last > 0);
                }));
                thread::sleep(Duration::from_secs_f64(1.0 / RATE));
            }
            callers.into_iter().for_each(|caller| drop(caller.join()));
        })
    };
    thread::sleep(Duration::from_millis(2_500));
    if trouble() {
        nodes.kill(LOST_NODE);
    }
    thread::sleep(Duration::from_millis(4_000));
    stop.store(true, Ordering::SeqCst);
    let long: Vec<_> = long.into_iter().filter_map(|caller| caller.join().ok()).collect();
    load.join().ok()?;
    let taken_up = long.iter().filter(|stream| stream.taken_up).count();
    let went_on = long.iter().filter(|stream| stream.went_on).count();
    let begun = begun.lock().expect("streams");
    let new = begun.iter().filter(|begun| **begun).count();
    record.line(&format!(
        "{taken_up} streams taken up, {went_on} went on; {} new streams, {new} began",
        begun.len()
    ));
    for engine in &engines {
        engine.crash();
    }
    let share = |part: usize, whole: usize| part as f64 / whole.max(1) as f64;
    let under_half = share(went_on, taken_up) < share(new, begun.len()) / 2.0;
    Some(taken_up >= COUNTED && under_half)
}
