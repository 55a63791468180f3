//! Measures the bytes per claim and the time per command of the claim table at several sizes.
//!
//! Run with `cargo run --release -p burdockcleat-core --example claim_table`. Arguments replace
//! the default sizes, in claims. Resident memory is read from `/proc/self/statm`. The tables of all
//! smaller sizes stay allocated, so that no table reuses memory that another one has freed.

use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::keys::{
    ClaimNumber, NodeId, RequestFingerprint, RequestKey, TargetIdentity,
};
use burdockcleat_core::outcome::RequestOutcome;
use burdockcleat_core::state::{
    ClaimReply, ClaimRequest, CommandReply, IDEMPOTENT_RETENTION_MS, ReplicatedState,
    StampedCommand, StateCommand,
};
use std::collections::VecDeque;
use std::hint::black_box;
use std::time::Instant;

/// Numbers of claims in the tables.
const TABLE_SIZES: [usize; 4] = [10_000, 100_000, 500_000, 1_000_000];
/// Number of open claims while the table is filled. All other claims have ended.
const OPEN_CLAIMS: usize = 3_000;
const TARGETS: u64 = 760;
const ENTRY_NODES: u64 = 360;
const WORKSPACES: u64 = 7_100;
const POOLS: u64 = 12;
const PAGE_BYTES: usize = 4_096;

fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|size| size.parse().ok()).collect();
    let sizes = if sizes.is_empty() { TABLE_SIZES.to_vec() } else { sizes };
    let mut tables = Vec::new();
    for &size in &sizes {
        tables.push(measure_memory(size));
    }
    drop(tables);
    println!("times in ns per command: median, p99, largest");
    for size in sizes {
        measure_times(size);
    }
}

/// Fills a table and prints its memory.
fn measure_memory(size: usize) -> ReplicatedState {
    let before = resident_bytes();
    let mut timed = TimedState::new();
    let (mut times, mut open) = (Vec::new(), VecDeque::new());
    for number in 0..size {
        timed.fill(number, &mut open, &mut times);
        times.clear();
    }
    let resident = resident_bytes().saturating_sub(before);
    let counted = timed.state.summary().claim_bytes;
    println!(
        "{size} claims: {:.1} bytes per claim in rows and index, {:.1} resident",
        counted as f64 / size as f64,
        resident as f64 / size as f64,
    );
    timed.state
}

type OpenClaim = (RequestKey, ClaimNumber);

/// Replicated state that records how long each command takes.
struct TimedState {
    state: ReplicatedState,
    /// Index of the last applied command.
    index: u64,
}

impl TimedState {
    fn new() -> Self {
        Self { state: ReplicatedState::new(), index: 0 }
    }

    fn apply(&mut self, at: u64, command: StateCommand, times: &mut Vec<u64>) -> CommandReply {
        self.index += 1;
        let stamped = StampedCommand { at: ClockTime::from_ms(at), command };
        let start = Instant::now();
        let reply = black_box(self.state.apply(self.index, black_box(&stamped)));
        times.push(start.elapsed().as_nanos() as u64);
        reply
    }

    fn claim(&mut self, number: usize, times: &mut Vec<u64>) -> CommandReply {
        let request = claim_request(number as u64);
        self.apply(0, StateCommand::Claim(request), times)
    }

    /// Claims a key, and finishes the oldest open claim if there are more than [`OPEN_CLAIMS`].
    /// Adds the times of these commands to `times`, in this order.
    fn fill(&mut self, number: usize, open: &mut VecDeque<OpenClaim>, times: &mut Vec<u64>) {
        let reply = self.claim(number, times);
        let CommandReply::Claim(ClaimReply::Created(claim)) = reply else { return };
        open.push_back((request_key(number as u64), claim));
        if open.len() > OPEN_CLAIMS
            && let Some((key, claim)) = open.pop_front()
        {
            let (outcome, reason) = (RequestOutcome::Completed, None);
            self.apply(0, StateCommand::Finish { key, claim, outcome, reason }, times);
        }
    }
}

fn request_key(number: u64) -> RequestKey {
    RequestKey::derive("workspace", &number.to_string())
}

fn claim_request(number: u64) -> ClaimRequest {
    let target = number % TARGETS;
    ClaimRequest {
        key: request_key(number),
        fingerprint: RequestFingerprint(number),
        target: TargetIdentity { name: format!("engine-{target}"), incarnation: 1 },
        address: format!("10.0.{}.{}:9000", target / 250, target % 250),
        entry: NodeId(number % ENTRY_NODES),
        workspace: format!("workspace-{}", number % WORKSPACES),
        pool: format!("pool-{}", number % POOLS),
        tier: 0,
        idempotent: true,
        deadline: ClockTime::from_ms(60_000),
    }
}

fn measure_times(size: usize) {
    let mut timed = TimedState::new();
    let (mut claims, mut finishes) = (Vec::new(), Vec::new());
    let (mut times, mut open) = (Vec::new(), VecDeque::new());
    for number in 0..size {
        timed.fill(number, &mut open, &mut times);
        claims.push(times[0]);
        finishes.extend(times.get(1));
        times.clear();
    }
    println!("{size} claims");
    print_times("claim, while the table grows", claims);
    print_times("finish, while the table grows", finishes);
    measure_full_table(&mut timed, size);
    measure_snapshot(&timed.state);
    measure_during_snapshot(&mut timed, size);
    measure_expiry(&mut timed);
}

/// Measures commands that leave the size of the full table unchanged.
fn measure_full_table(timed: &mut TimedState, size: usize) {
    let samples = size.min(100_000);
    let stride = size / samples;
    let (mut repeats, mut claims, mut releases) = (Vec::new(), Vec::new(), Vec::new());
    for sample in 0..samples {
        timed.claim(sample * stride, &mut repeats);
        let number = size + sample;
        let reply = timed.claim(number, &mut claims);
        let CommandReply::Claim(ClaimReply::Created(claim)) = reply else { continue };
        let key = request_key(number as u64);
        timed.apply(0, StateCommand::Release { key, claim }, &mut releases);
    }
    print_times("claim of an ended key", repeats);
    print_times("claim of a new key", claims);
    print_times("release", releases);
}

fn measure_snapshot(state: &ReplicatedState) {
    let start = Instant::now();
    let copy = black_box(state.clone());
    let clone_ms = start.elapsed().as_millis();
    drop(copy);
    let start = Instant::now();
    let snapshot = state.snapshot();
    let write_ms = start.elapsed().as_millis();
    let start = Instant::now();
    let restored = ReplicatedState::restore(&snapshot);
    let read_ms = start.elapsed().as_millis();
    let same = restored.is_ok_and(|restored| restored.applied() == state.applied());
    let mib = snapshot.len() as f64 / f64::from(1 << 20);
    println!(
        "    snapshot: {mib:.1} MiB, clone {clone_ms} ms, write {write_ms} ms, \
         restore {read_ms} ms, same {same}"
    );
}

/// Measures commands while a clone of the state shares its rows, as during a snapshot.
fn measure_during_snapshot(timed: &mut TimedState, size: usize) {
    let (mut claims, mut releases) = (Vec::new(), Vec::new());
    let clone = black_box(timed.state.clone());
    for number in 2 * size..2 * size + size.min(20_000) {
        let reply = timed.claim(number, &mut claims);
        let CommandReply::Claim(ClaimReply::Created(claim)) = reply else { continue };
        let key = request_key(number as u64);
        timed.apply(0, StateCommand::Release { key, claim }, &mut releases);
    }
    drop(clone);
    print_times("claim during a snapshot", claims);
    print_times("release during a snapshot", releases);
}

fn measure_expiry(timed: &mut TimedState) {
    let (mut times, mut removed) = (Vec::new(), 0);
    loop {
        let at = IDEMPOTENT_RETENTION_MS + 1;
        let reply = timed.apply(at, StateCommand::ExpireClaims, &mut times);
        let CommandReply::Expired(reply) = reply else { break };
        removed += reply.removed;
        if !reply.more {
            break;
        }
    }
    println!("    expiry removed {removed} claims in {} commands", times.len());
    print_times("expiry of up to 10,000 claims", times);
}

fn print_times(name: &str, mut times: Vec<u64>) {
    times.sort_unstable();
    let Some(last) = times.len().checked_sub(1) else { return };
    println!("    {name}: {}, {}, {}", times[last / 2], times[last * 99 / 100], times[last]);
}

fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
