//! A fake engine with continuous batching and a prefix cache with LRU eviction.

use crate::waste_causes::RecomputeCause;
use burdockcleat_core::registry::{CacheChange, CacheEvent, LoadReport, TargetAnnouncement};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

/// Prompt tokens per cache block.
pub const BLOCK_TOKENS: u32 = 64;
/// Length of a simulation step in milliseconds.
pub const STEP_MS: u64 = 10;
/// Share of the prefill rate that remains while other streams decode.
const PREFILL_SHARE_WHILE_DECODING: f64 = 0.8;
/// Share of the decode rate that remains while a prompt is computed.
const DECODE_SHARE_WHILE_PREFILLING: f64 = 0.8;
/// Slowdown of each stream for each other stream in the batch.
const BATCH_SLOWDOWN_PER_STREAM: f64 = 0.04;

/// Static properties of an engine.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    pub name: String,
    pub generation: &'static str,
    pub failure_domain: &'static str,
    /// Prompt tokens per millisecond.
    pub prefill_rate: f64,
    /// Tokens per stream and millisecond in a batch of one.
    pub decode_rate: f64,
    pub slots: u32,
    pub cache_blocks: usize,
}

/// A request that runs on an engine.
#[derive(Clone, Debug)]
pub struct EngineStream {
    pub request: usize,
    /// Start time in milliseconds.
    pub started: u64,
    pub cached_blocks: usize,
    /// Computed prompt tokens.
    pub computed: f64,
    pub prompt_tokens_left: f64,
    pub hashes: Vec<u64>,
    /// Time of the first token in milliseconds.
    pub first_token: Option<u64>,
    /// Output tokens so far.
    pub tokens: f64,
    /// Output tokens of the complete response.
    pub output: f64,
}

/// An event of a simulation step.
pub enum EngineEvent {
    /// A prompt has been computed. `blocks` are those from position `cached` on, which were not
    /// cached when the request started.
    Prefilled { request: usize, cached: usize, blocks: Vec<(u64, RecomputeCause)> },
    /// The response is complete.
    Completed(EngineStream),
}

/// An LRU cache of block hashes.
#[derive(Default)]
struct BlockCache {
    /// Sequence number of the last use of each hash.
    last_use: HashMap<u64, u64>,
    /// Hashes by the sequence number of their last use.
    by_last_use: BTreeMap<u64, u64>,
    next: u64,
}

impl BlockCache {
    fn touch(&mut self, hash: u64) {
        self.next += 1;
        if let Some(old) = self.last_use.insert(hash, self.next) {
            self.by_last_use.remove(&old);
        }
        self.by_last_use.insert(self.next, hash);
    }

    fn evict(&mut self, limit: usize) -> Vec<u64> {
        let mut removed = Vec::new();
        while self.last_use.len() > limit
            && let Some((_, hash)) = self.by_last_use.pop_first()
        {
            self.last_use.remove(&hash);
            removed.push(hash);
        }
        removed
    }
}

/// A fake engine.
pub struct FakeEngine {
    pub spec: EngineSpec,
    /// Factor of all rates; 1.0 is the normal speed.
    pub speed: f64,
    pub up: bool,
    pub incarnation: u64,
    pub streams: Vec<EngineStream>,
    cache: BlockCache,
    /// Blocks that the current incarnation has ever cached.
    held: HashSet<u64>,
    /// Blocks that earlier incarnations have ever cached.
    held_by_earlier_incarnations: HashSet<u64>,
    events: Vec<CacheEvent>,
    event_sequence: u64,
    report_sequence: u64,
    /// Reports that are not yet delivered, with their times.
    reports: VecDeque<(u64, TargetAnnouncement)>,
}

impl FakeEngine {
    pub fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            speed: 1.0,
            up: true,
            incarnation: 1,
            streams: Vec::new(),
            cache: BlockCache::default(),
            held: HashSet::new(),
            held_by_earlier_incarnations: HashSet::new(),
            events: Vec::new(),
            event_sequence: 0,
            report_sequence: 0,
            reports: VecDeque::new(),
        }
    }

    /// Starts a request.
    pub fn admit(&mut self, now: u64, request: usize, prompt: u32, output: u32, hashes: &[u64]) {
        let cached = self.cached_blocks(hashes);
        for hash in hashes[..cached].iter().rev() {
            self.cache.touch(*hash);
        }
        let cached_tokens = (cached as u32 * BLOCK_TOKENS).min(prompt.saturating_sub(1));
        self.streams.push(EngineStream {
            request,
            started: now,
            cached_blocks: cached,
            computed: 0.0,
            prompt_tokens_left: f64::from(prompt - cached_tokens),
            hashes: hashes.to_vec(),
            first_token: None,
            tokens: 0.0,
            output: f64::from(output),
        });
    }

    /// Runs one step of [`STEP_MS`].
    pub fn advance(&mut self, now: u64) -> Vec<EngineEvent> {
        let mut events = Vec::new();
        let decoding = self.streams.iter().filter(|stream| stream.first_token.is_some()).count();
        let prefilling = decoding < self.streams.len();
        let span = STEP_MS as f64 * self.speed;
        let share = if decoding > 0 { PREFILL_SHARE_WHILE_DECODING } else { 1.0 };
        let mut budget = self.spec.prefill_rate * span * share;
        let slowdown = 1.0 + BATCH_SLOWDOWN_PER_STREAM * decoding.saturating_sub(1) as f64;
        let share = if prefilling { DECODE_SHARE_WHILE_PREFILLING } else { 1.0 };
        let tokens = self.spec.decode_rate * span * share / slowdown;
        let mut stored = Vec::new();
        for stream in &mut self.streams {
            if stream.first_token.is_some() {
                stream.tokens += tokens;
                continue;
            }
            let part = budget.min(stream.prompt_tokens_left);
            budget -= part;
            stream.computed += part;
            stream.prompt_tokens_left -= part;
            if stream.prompt_tokens_left <= 0.0 {
                stream.first_token = Some(now);
                stream.tokens = 1.0;
                stored.push((stream.request, stream.hashes.clone(), stream.cached_blocks));
            }
        }
        for (request, hashes, cached) in stored {
            let blocks =
                hashes[cached..].iter().map(|hash| (*hash, self.recompute_cause(*hash))).collect();
            for hash in hashes.iter().rev() {
                self.cache.touch(*hash);
            }
            let uncached = hashes[cached..].to_vec();
            self.held.extend(&uncached);
            self.record(CacheChange::Stored(uncached));
            events.push(EngineEvent::Prefilled { request, cached, blocks });
        }
        let removed = self.cache.evict(self.spec.cache_blocks);
        if !removed.is_empty() {
            self.record(CacheChange::Removed(removed));
        }
        let (done, left): (Vec<_>, Vec<_>) = std::mem::take(&mut self.streams)
            .into_iter()
            .partition(|stream| stream.tokens >= stream.output);
        self.streams = left;
        events.extend(done.into_iter().map(EngineEvent::Completed));
        events
    }

    /// Returns the number of blocks at the start of a prompt that are cached.
    pub fn cached_blocks(&self, hashes: &[u64]) -> usize {
        hashes.iter().take_while(|hash| self.cache.last_use.contains_key(hash)).count()
    }

    /// Returns why a block had to be computed, if it had been computed before.
    fn recompute_cause(&self, hash: u64) -> RecomputeCause {
        if self.cache.last_use.contains_key(&hash) {
            RecomputeCause::ComputedConcurrently
        } else if self.held.contains(&hash) {
            RecomputeCause::Evicted
        } else if self.held_by_earlier_incarnations.contains(&hash) {
            RecomputeCause::Crashed
        } else {
            RecomputeCause::NeverCached
        }
    }

    pub fn remove(&mut self, request: usize) -> Option<EngineStream> {
        let index = self.streams.iter().position(|stream| stream.request == request)?;
        Some(self.streams.remove(index))
    }

    /// Stops the engine, clears its cache and returns the interrupted streams.
    pub fn crash(&mut self) -> Vec<EngineStream> {
        self.up = false;
        self.cache = BlockCache::default();
        self.held_by_earlier_incarnations.extend(self.held.drain());
        self.events.clear();
        self.event_sequence = 0;
        self.report_sequence = 0;
        self.reports.clear();
        std::mem::take(&mut self.streams)
    }

    pub fn restart(&mut self) {
        self.up = true;
        self.incarnation += 1;
    }

    /// Creates a report and returns the newest one that is at least `lag` milliseconds old. It
    /// includes the cache events of the older reports that were not returned.
    pub fn report(&mut self, now: u64, lag: u64, pool: &str, model: &str) -> TargetAnnouncement {
        self.report_sequence += 1;
        let waiting = self.streams.iter().filter(|stream| stream.first_token.is_none()).count();
        let announcement = TargetAnnouncement {
            name: self.spec.name.clone(),
            incarnation: self.incarnation,
            address: "127.0.0.1:1".into(),
            pool: pool.into(),
            generation: self.spec.generation.into(),
            failure_domain: self.spec.failure_domain.into(),
            models: vec![model.into()],
            slots: self.spec.slots,
            load: LoadReport {
                running: (self.streams.len() - waiting) as u32,
                waiting: waiting as u32,
                sequence: self.report_sequence,
            },
            cache_events: std::mem::take(&mut self.events),
            ..TargetAnnouncement::default()
        };
        self.reports.push_back((now, announcement.clone()));
        let mut old = TargetAnnouncement {
            load: LoadReport::default(),
            cache_events: Vec::new(),
            ..announcement
        };
        while self.reports.front().is_some_and(|(at, _)| at + lag <= now)
            && let Some((_, report)) = self.reports.pop_front()
        {
            let mut events = std::mem::take(&mut old.cache_events);
            events.extend(report.cache_events.iter().cloned());
            old = TargetAnnouncement { cache_events: events, ..report };
        }
        old
    }

    fn record(&mut self, change: CacheChange) {
        self.event_sequence += 1;
        self.events.push(CacheEvent { sequence: self.event_sequence, change });
    }
}
