//! Measures the processor time of admission per request, by number of targets.
//!
//! Run with `cargo run --release -p burdockcleat-core --example admission_scale`. One thread sends
//! submits, commits, first tokens and finishes, with half of the slots in use.

use burdockcleat_core::admission::{AdmissionController, StepTime};
use burdockcleat_core::clock::ClockTime;
use burdockcleat_core::document::ConfigDocument;
use burdockcleat_core::keys::{NodeId, RequestFingerprint, RequestKey};
use burdockcleat_core::message::{
    ControlMessage, EntryMessage, FinishReport, StreamProgress, SubmitRequest,
};
use burdockcleat_core::outcome::RequestOutcome;
use burdockcleat_core::registry::{TargetAnnouncement, TargetRegistry};
use burdockcleat_core::state::{ReplicatedState, StampedCommand};
use std::collections::VecDeque;
use std::time::Instant;

/// Numbers of targets, one run each.
const TARGET_COUNTS: [u32; 4] = [95, 190, 380, 760];
const SLOTS_PER_TARGET: u32 = 16;
const REQUESTS_PER_RUN: u64 = 20_000;
const ENTRY: NodeId = NodeId(1);
const BLOCKS_PER_PROMPT: u64 = 20;
/// Number of different prompts. Requests with the same prompt share all its blocks.
const PREFIXES: u64 = 50;
/// Time from the grant to the report of the first token.
const FIRST_TOKEN_MS: u64 = 40;

/// An admission controller with its state, and the reports that are due to it.
struct AdmissionBench {
    state: ReplicatedState,
    admission: AdmissionController,
    /// Index of the last applied command.
    index: u64,
    /// Time in milliseconds.
    now: u64,
    /// Finish reports of the requests that were granted since the list was last emptied.
    granted: VecDeque<FinishReport>,
    /// First tokens to report, with the times of the reports.
    first_tokens: VecDeque<(u64, RequestKey)>,
}

fn main() {
    println!(
        "| targets | submit to grant, µs | first token, µs | finish, µs | tick, µs | granted |\n\
        |---|---|---|---|---|---|"
    );
    for targets in TARGET_COUNTS {
        let mut bench = AdmissionBench::new(targets);
        let (mut submit_us, mut token_us, mut finish_us, mut tick_us) = (0.0, 0.0, 0.0, 0.0);
        let (mut running, mut finished) = (VecDeque::new(), 0_u64);
        for number in 0..REQUESTS_PER_RUN {
            let started = Instant::now();
            bench.submit(number);
            submit_us += started.elapsed().as_secs_f64() * 1e6;
            let started = Instant::now();
            bench.report_first_tokens();
            token_us += started.elapsed().as_secs_f64() * 1e6;
            running.append(&mut bench.granted);
            if running.len() > (targets * SLOTS_PER_TARGET / 2) as usize
                && let Some(report) = running.pop_front()
            {
                let started = Instant::now();
                bench.finish(report);
                finished += 1;
                finish_us += started.elapsed().as_secs_f64() * 1e6;
            }
            if number % 100 == 0 {
                let started = Instant::now();
                bench.tick(targets);
                tick_us += started.elapsed().as_secs_f64() * 1e6;
            }
        }
        let count = REQUESTS_PER_RUN as f64;
        println!(
            "| {targets} | {:.1} | {:.1} | {:.1} | {:.1} | {} |",
            submit_us / count,
            token_us / count,
            finish_us / (finished as f64).max(1.0),
            tick_us / (count / 100.0),
            finished + running.len() as u64,
        );
    }
}

impl AdmissionBench {
    fn new(targets: u32) -> Self {
        let text = "credential-salt = \"scale\"\n\
            [[tiers]]\nname = \"only\"\nrank = 0\ndefault-deadline-ms = 30000\nmax-queue-ms = 5000\n\
            [[pools]]\nname = \"pool\"\nkind = \"model\"\nmodels = [\"m1\"]\n\
            [[workspaces]]\nname = \"w\"\ncredentials = [\"sha256:0000000000000000000000000000000000000000000000000000000000000000\"]\n\
            in-flight-limit = 100000\ntokens-per-second-limit = 1000000\npools = [\"pool\"]\ntiers = [\"only\"]\n\
            [[rules]]\nname = \"all\"\npool = \"pool\"\ntier = \"only\"\n";
        let document = ConfigDocument::parse(text).expect("the document is valid");
        let state = ReplicatedState::new();
        let registry = TargetRegistry::default();
        let admission = AdmissionController::open(step_time(0), &document, &state, registry);
        let mut bench = Self {
            state,
            admission,
            index: 0,
            now: 2_000,
            granted: VecDeque::new(),
            first_tokens: VecDeque::new(),
        };
        let hello = EntryMessage::Hello {
            name: "entry".into(),
            entry_time: ClockTime::from_ms(0),
            config_version: 1,
            running: Vec::new(),
        };
        bench.admission.receive(step_time(0), ENTRY, hello, &bench.state);
        bench.tick(targets);
        bench
    }

    fn submit(&mut self, number: u64) {
        // Two requests per millisecond approximate 2,100 requests a second, one every 0.48 ms.
        self.now += u64::from(number.is_multiple_of(2));
        let first_block = (number % PREFIXES) << 32;
        let request = SubmitRequest {
            key: RequestKey::derive("w", &number.to_string()),
            attempt: 1,
            fingerprint: RequestFingerprint(number),
            workspace: "w".into(),
            pool: "pool".into(),
            model: "m1".into(),
            tier: 0,
            idempotent: true,
            deadline_in_ms: 30_000,
            prompt_tokens: 320,
            output_tokens: 240,
            prefix_hashes: (0..BLOCKS_PER_PROMPT).map(|block| first_block + block).collect(),
        };
        let message = EntryMessage::Submit(request);
        self.admission.receive(step_time(self.now), ENTRY, message, &self.state);
        self.commit();
    }

    fn report_first_tokens(&mut self) {
        while let Some((at, key)) = self.first_tokens.front().copied()
            && at <= self.now
        {
            self.first_tokens.pop_front();
            let first_token_ms = Some(FIRST_TOKEN_MS as u32);
            let report = StreamProgress { key, tokens: 1, first_token_ms };
            let message = EntryMessage::Progress(vec![report]);
            self.admission.receive(step_time(self.now), ENTRY, message, &self.state);
            self.commit();
        }
    }

    fn finish(&mut self, report: FinishReport) {
        let message = EntryMessage::Finish(report);
        self.admission.receive(step_time(self.now), ENTRY, message, &self.state);
        self.commit();
    }

    /// Applies the proposed commands and schedules the reports of the granted requests.
    fn commit(&mut self) {
        loop {
            let output = self.admission.take_output();
            for (_, message) in output.messages {
                if let ControlMessage::Grant(ticket) = message {
                    self.first_tokens.push_back((self.now + FIRST_TOKEN_MS, ticket.key));
                    self.granted.push_back(FinishReport {
                        key: ticket.key,
                        claim: ticket.claim,
                        outcome: RequestOutcome::Completed,
                        reason: None,
                        cached_tokens: 0,
                        output_tokens: 240,
                        first_token_ms: 40,
                        total_ms: 1_000,
                    });
                }
            }
            if output.commands.is_empty() {
                return;
            }
            for command in output.commands {
                self.index += 1;
                let stamped = StampedCommand { at: step_time(self.now).wall, command };
                let reply = self.state.apply(self.index, &stamped);
                let time = step_time(self.now);
                self.admission.committed(time, &stamped.command, &reply, &self.state);
            }
        }
    }

    /// Repeats the announcements of all targets and runs the timers.
    fn tick(&mut self, targets: u32) {
        for number in 0..targets {
            let announcement = TargetAnnouncement {
                name: format!("target-{number}"),
                incarnation: 1,
                address: "127.0.0.1:9".into(),
                pool: "pool".into(),
                models: vec!["m1".into()],
                slots: SLOTS_PER_TARGET,
                ..TargetAnnouncement::default()
            };
            self.admission.announce(step_time(self.now), announcement).expect("a new target");
        }
        self.admission.tick(step_time(self.now), &self.state);
        self.commit();
    }
}

fn step_time(now: u64) -> StepTime {
    StepTime { now: ClockTime::from_ms(now), wall: ClockTime::from_ms(1_000_000 + now) }
}
