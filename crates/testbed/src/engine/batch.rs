//! Continuous batching: one thread computes all running requests in steps.

use super::EngineCore;
use super::stream::StreamBuffer;
use crate::announce::CacheChange;
use crate::journal::DispatchEnd;
use crate::prompt::{TOKENS_PER_BLOCK, seeded_text};
use crate::sync::locked;
use serde_json::json;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Maximum lag that the loop makes up for. A longer one is dropped from the schedule.
const MAX_LAG: Duration = Duration::from_millis(100);
/// Interval at which the loop checks for work while there is nothing to compute.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Request inside the engine, waiting or running.
pub(crate) struct BatchItem {
    pub(crate) stream: Arc<StreamBuffer>,
    pub(crate) model: String,
    pub(crate) blocks: Vec<u64>,
    pub(crate) prompt_tokens: u32,
    pub(crate) max_tokens: u32,
    pub(crate) journal_slot: Option<usize>,
    pub(crate) cached_tokens: u32,
    pub(crate) uncomputed: u32,
    pub(crate) produced: u32,
}

impl BatchItem {
    fn is_complete(&self) -> bool {
        self.uncomputed == 0 && self.produced >= self.max_tokens
    }
}

/// State of the batching thread.
pub(crate) struct BatchLoop {
    core: Arc<EngineCore>,
    running: Vec<BatchItem>,
    due: Instant,
}

impl BatchLoop {
    pub(crate) fn new(core: Arc<EngineCore>) -> Self {
        Self { core, running: Vec::new(), due: Instant::now() }
    }

    pub(crate) fn run(mut self) {
        while !self.core.is_stopped() {
            self.remove_cancelled();
            self.admit();
            let fault = locked(&self.core.fault).clone();
            if self.running.is_empty() || fault.freeze {
                self.core.wait_for_work(self.running.is_empty(), IDLE_POLL_INTERVAL);
                self.due = Instant::now();
                continue;
            }
            self.step(fault.straggler_factor);
        }
    }

    fn admit(&mut self) {
        let limit = self.core.settings.batch_limit.max(1);
        let mut waiting = locked(&self.core.waiting);
        while self.running.len() < limit {
            let Some(mut item) = waiting.pop_front() else { break };
            let cached = locked(&self.core.cache).lookup(&item.model, &item.blocks);
            let cached_tokens = u32::try_from(cached).unwrap_or(u32::MAX) * TOKENS_PER_BLOCK;
            // The last prompt token is always computed, because the first output token depends on
            // it.
            item.cached_tokens = cached_tokens.min(item.prompt_tokens.saturating_sub(1));
            item.uncomputed = item.prompt_tokens - item.cached_tokens;
            let computed = item.blocks[cached..].to_vec();
            locked(&self.core.journal).update(item.journal_slot, |record| {
                record.cached_tokens = item.cached_tokens;
                record.computed_blocks = computed;
            });
            self.running.push(item);
        }
        drop(waiting);
        self.core.set_running(self.running.len());
    }

    fn remove_cancelled(&mut self) {
        let core = &self.core;
        let keep = |item: &BatchItem| {
            let cancelled = item.stream.is_cancelled();
            if cancelled {
                core.record_end(item, DispatchEnd::Cancelled);
            }
            !cancelled
        };
        self.running.retain(keep);
        locked(&core.waiting).retain(keep);
    }

    /// Computes one step: a chunk of prompt tokens and one token of each decoding request.
    fn step(&mut self, straggler_factor: f64) {
        let settings = &self.core.settings;
        let decoding: Vec<bool> = self.running.iter().map(|item| item.uncomputed == 0).collect();
        let decoders = decoding.iter().filter(|decodes| **decodes).count();
        let mut budget = settings.prefill_chunk.max(1);
        let shares: Vec<u32> = self
            .running
            .iter()
            .map(|item| {
                let share = item.uncomputed.min(budget);
                budget -= share;
                share
            })
            .collect();
        let prompt_tokens: u32 = shares.iter().sum();
        let mut seconds = f64::from(prompt_tokens) / settings.prefill_rate.max(1.0);
        if decoders > 0 {
            let slowdown = 1.0 + settings.batch_slowdown * (decoders as f64 - 1.0);
            seconds += slowdown / settings.decode_rate.max(0.1);
        }
        self.sleep_until_due(seconds * straggler_factor.max(0.01));
        for (position, share) in shares.into_iter().enumerate() {
            self.advance(position, share, decoding[position]);
        }
        self.finish_completed();
    }

    fn sleep_until_due(&mut self, seconds: f64) {
        self.due += Duration::from_secs_f64(seconds.min(60.0));
        let now = Instant::now();
        if self.due > now {
            thread::sleep(self.due - now);
        } else if now - self.due > MAX_LAG {
            self.due = now;
        }
    }

    fn advance(&mut self, position: usize, share: u32, decodes: bool) {
        let item = &mut self.running[position];
        if share > 0 {
            item.uncomputed -= share;
            locked(&self.core.journal)
                .update(item.journal_slot, |record| record.computed_tokens += share);
            if item.uncomputed == 0 {
                self.core.store_prefix(&item.model, &item.blocks);
            }
        }
        // The step that completes the prompt also yields the first token.
        if (decodes || (share > 0 && item.uncomputed == 0)) && item.produced < item.max_tokens {
            let text = seeded_text(item.stream.prompt_hash, item.produced);
            item.stream.append(token_event(&item.stream.id, item.produced, &text));
            item.produced += 1;
        }
    }

    fn finish_completed(&mut self) {
        let core = &self.core;
        self.running.retain(|item| {
            if !item.is_complete() {
                return true;
            }
            item.stream.append(usage_event(item));
            item.stream.end();
            core.record_end(item, DispatchEnd::Completed);
            false
        });
        core.set_running(self.running.len());
    }
}

/// Formats the event of one token.
pub(crate) fn token_event(id: &str, index: u32, text: &str) -> String {
    json!({ "id": id, "index": index, "text": text }).to_string()
}

fn usage_event(item: &BatchItem) -> String {
    let usage = json!({
        "prompt_tokens": item.prompt_tokens,
        "cached_tokens": item.cached_tokens,
        "completion_tokens": item.produced,
    });
    json!({ "id": item.stream.id, "usage": usage }).to_string()
}

impl EngineCore {
    pub(crate) fn record_end(&self, item: &BatchItem, end: DispatchEnd) {
        locked(&self.journal).update(item.journal_slot, |record| {
            record.end = end;
            record.output_tokens = item.produced;
        });
    }

    fn store_prefix(&self, model: &str, blocks: &[u64]) {
        let (added, removed) = locked(&self.cache).insert(model, blocks);
        let mut events = locked(&self.events);
        events.append(CacheChange::Stored(added));
        for group in removed.chunk_by(|left, right| left.0 == right.0) {
            let hashes = group.iter().map(|(_, hash)| *hash).collect();
            events.append(CacheChange::Removed(hashes));
        }
    }
}
