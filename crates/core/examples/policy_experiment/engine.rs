//! A fake engine: continuous batching, and a prefix cache with least-recently-used removal.

use crate::waste::BlockOrigin;
use burdockcleat_core::registry::{CacheChange, CacheEvent, LoadReport, TargetAnnouncement};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

/// Prompt tokens per cache block.
pub const BLOCK_TOKENS: u32 = 64;
/// Length of a simulation step in milliseconds.
pub const STEP_MS: u64 = 10;
/// Share of the prefill rate that is left while other streams decode.
const PREFILL_SHARE: f64 = 0.8;
/// Share of the decode rate that is left while a prompt is computed.
const DECODE_SHARE: f64 = 0.8;
/// Slowdown of each stream per other stream of the batch.
const BATCH_SLOWDOWN: f64 = 0.04;

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

/// A request at an engine.
#[derive(Clone, Debug)]
pub struct EngineStream {
    pub request: usize,
    pub started: u64,
    pub cached_blocks: usize,
    pub computed: f64,
    pub prompt_left: f64,
    pub hashes: Vec<u64>,
    pub first_token: Option<u64>,
    pub tokens: f64,
    pub output: f64,
}

/// What happened in a step.
pub enum EngineEvent {
    /// The prompt is computed; `blocks` are those from position `cached` on, which were not cached.
    Prefilled { request: usize, cached: usize, blocks: Vec<(u64, BlockOrigin)> },
    /// The response is complete.
    Completed(EngineStream),
}

#[derive(Default)]
struct BlockCache {
    stamps: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    next: u64,
}

impl BlockCache {
    fn touch(&mut self, hash: u64) {
        self.next += 1;
        if let Some(old) = self.stamps.insert(hash, self.next) {
            self.order.remove(&old);
        }
        self.order.insert(self.next, hash);
    }

    fn evict(&mut self, limit: usize) -> Vec<u64> {
        let mut removed = Vec::new();
        while self.stamps.len() > limit
            && let Some((_, hash)) = self.order.pop_first()
        {
            self.stamps.remove(&hash);
            removed.push(hash);
        }
        removed
    }
}

pub struct FakeEngine {
    pub spec: EngineSpec,
    pub speed: f64,
    pub up: bool,
    pub incarnation: u64,
    pub streams: Vec<EngineStream>,
    cache: BlockCache,
    /// Blocks that this incarnation has held, and those of earlier ones.
    held: HashSet<u64>,
    held_before: HashSet<u64>,
    events: Vec<CacheEvent>,
    event_sequence: u64,
    report_sequence: u64,
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
            held_before: HashSet::new(),
            events: Vec::new(),
            event_sequence: 0,
            report_sequence: 0,
            reports: VecDeque::new(),
        }
    }

    pub fn admit(&mut self, now: u64, request: usize, prompt: u32, output: u32, hashes: &[u64]) {
        let cached = self.cached_blocks(hashes);
        for hash in hashes[..cached].iter().rev() {
            self.cache.touch(*hash);
        }
        let reused = (cached as u32 * BLOCK_TOKENS).min(prompt.saturating_sub(1));
        self.streams.push(EngineStream {
            request,
            started: now,
            cached_blocks: cached,
            computed: 0.0,
            prompt_left: f64::from(prompt - reused),
            hashes: hashes.to_vec(),
            first_token: None,
            tokens: 0.0,
            output: f64::from(output),
        });
    }

    pub fn advance(&mut self, now: u64) -> Vec<EngineEvent> {
        let mut events = Vec::new();
        let decoding = self.streams.iter().filter(|stream| stream.first_token.is_some()).count();
        let prefilling = decoding < self.streams.len();
        let span = STEP_MS as f64 * self.speed;
        let share = if decoding > 0 { PREFILL_SHARE } else { 1.0 };
        let mut budget = self.spec.prefill_rate * span * share;
        let slowdown = 1.0 + BATCH_SLOWDOWN * decoding.saturating_sub(1) as f64;
        let share = if prefilling { DECODE_SHARE } else { 1.0 };
        let tokens = self.spec.decode_rate * span * share / slowdown;
        let mut stored = Vec::new();
        for stream in &mut self.streams {
            if stream.first_token.is_some() {
                stream.tokens += tokens;
                continue;
            }
            let part = budget.min(stream.prompt_left);
            budget -= part;
            stream.computed += part;
            stream.prompt_left -= part;
            if stream.prompt_left <= 0.0 {
                stream.first_token = Some(now);
                stream.tokens = 1.0;
                stored.push((stream.request, stream.hashes.clone(), stream.cached_blocks));
            }
        }
        for (request, hashes, cached) in stored {
            let blocks = hashes[cached..].iter().map(|hash| (*hash, self.origin(*hash))).collect();
            for hash in hashes.iter().rev() {
                self.cache.touch(*hash);
            }
            let fresh = hashes[cached..].to_vec();
            self.held.extend(&fresh);
            self.record(CacheChange::Stored(fresh));
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

    /// Blocks of a prompt that the cache holds, from its start.
    pub fn cached_blocks(&self, hashes: &[u64]) -> usize {
        hashes.iter().take_while(|hash| self.cache.stamps.contains_key(hash)).count()
    }

    fn origin(&self, hash: u64) -> BlockOrigin {
        if self.cache.stamps.contains_key(&hash) {
            BlockOrigin::AtOnce
        } else if self.held.contains(&hash) {
            BlockOrigin::Evicted
        } else if self.held_before.contains(&hash) {
            BlockOrigin::Crashed
        } else {
            BlockOrigin::Absent
        }
    }

    pub fn remove(&mut self, request: usize) -> Option<EngineStream> {
        let index = self.streams.iter().position(|stream| stream.request == request)?;
        Some(self.streams.remove(index))
    }

    /// Stops the engine and returns the streams that were cut.
    pub fn crash(&mut self) -> Vec<EngineStream> {
        self.up = false;
        self.cache = BlockCache::default();
        self.held_before.extend(self.held.drain());
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

    /// Takes a report now and returns the newest one that is at least `lag` old.
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
