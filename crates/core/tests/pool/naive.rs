//! Reference scheduler for the differential test. It recomputes every decision by a full scan.
//!
//! It covers one model, routing by in-flight count, overtaking by cached blocks, and targets that
//! never leave and never evict blocks. Service times are constant, because no request completes
//! successfully in the test.

use burdockcleat_core::message::SubmitRequest;
use burdockcleat_core::outcome::ReasonCode;
use burdockcleat_core::pool::PoolSettings;
use std::collections::{HashMap, HashSet};

const MAX_FAILED_SEARCHES: usize = 32;

/// Output of the scheduler without the retry-after time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NaiveOutput {
    Place { number: u32, target: usize, above: bool },
    Cancel { number: u32 },
    Refuse { number: u32, deadline: bool },
}

#[derive(Clone, Debug)]
struct NaiveRequest {
    number: u32,
    tier: u8,
    flow: usize,
    idempotent: bool,
    submitted: u64,
    deadline: u64,
    cost: f64,
    service_ms: f64,
    prompt_tokens: f64,
    hashes: Vec<u64>,
    /// Prompt tokens that were predicted to be cached when the request was placed.
    cached_tokens: f64,
    first_token: bool,
    /// Target, if the request runs.
    target: Option<usize>,
    claimed: bool,
    cancelled: Option<u64>,
    above: bool,
    /// Whether a request of a higher tier replaced this one above the limit, so that its end frees
    /// no slot.
    replaced: bool,
    partner: Option<u32>,
    urgent: bool,
    expired: bool,
}

pub struct NaiveScheduler {
    settings: PoolSettings,
    slots: Vec<usize>,
    /// Blocks of the prompts that were dispatched to each target.
    blocks: Vec<HashSet<u64>>,
    /// Requests in arrival order.
    requests: Vec<NaiveRequest>,
    placements: Vec<(u64, u8, f64)>,
    virtual_times: HashMap<(u8, usize), u64>,
    /// Workspaces in the order of their first requests, which breaks ties between equal virtual
    /// times.
    workspaces: Vec<String>,
    clocks: HashMap<u8, u64>,
    outputs: Vec<NaiveOutput>,
}

impl NaiveScheduler {
    pub fn new(settings: PoolSettings, slots: Vec<usize>) -> Self {
        Self {
            settings,
            blocks: vec![HashSet::new(); slots.len()],
            slots,
            requests: Vec::new(),
            placements: Vec::new(),
            virtual_times: HashMap::new(),
            workspaces: Vec::new(),
            clocks: HashMap::new(),
            outputs: Vec::new(),
        }
    }

    pub fn submit(&mut self, now: u64, number: u32, request: &SubmitRequest) {
        if !self.workspaces.contains(&request.workspace) {
            self.workspaces.push(request.workspace.clone());
        }
        let known = self.workspaces.iter().position(|name| *name == request.workspace);
        let (tier, flow) = (request.tier, known.unwrap_or_default());
        if !self.requests.iter().any(|other| other.queued() && other.is_in(tier, flow)) {
            let clock = self.clocks.get(&tier).copied().unwrap_or(0);
            let time = self.virtual_times.entry((tier, flow)).or_insert(0);
            *time = clock.max(*time);
        }
        let rates = &self.settings.rates;
        let (prompt, output) = (f64::from(request.prompt_tokens), f64::from(request.output_tokens));
        self.requests.push(NaiveRequest {
            number,
            tier,
            flow,
            idempotent: request.idempotent,
            submitted: now,
            deadline: now + u64::from(request.deadline_in_ms),
            cost: prompt + output,
            service_ms: prompt / (rates.prefill_tokens_per_s / 1_000.0)
                + output / (rates.decode_tokens_per_s / 1_000.0),
            prompt_tokens: prompt,
            hashes: request.prefix_hashes.clone(),
            cached_tokens: 0.0,
            first_token: false,
            target: None,
            claimed: false,
            cancelled: None,
            above: false,
            replaced: false,
            partner: None,
            urgent: false,
            expired: false,
        });
    }

    pub fn commit(&mut self, number: u32) {
        if let Some(index) = self.find(number) {
            self.requests[index].claimed = true;
        }
    }

    pub fn first_token(&mut self, number: u32) {
        if let Some(index) = self.find(number) {
            self.requests[index].first_token = true;
        }
    }

    /// Removes a request that has ended or was withdrawn.
    pub fn end(&mut self, number: u32) {
        let Some(index) = self.find(number) else { return };
        self.unpair(number);
        self.requests.remove(index);
    }

    pub fn running(&self) -> Vec<u32> {
        self.requests.iter().filter(|r| r.target.is_some()).map(|r| r.number).collect()
    }

    pub fn cancelled(&self) -> Vec<u32> {
        self.requests.iter().filter(|r| r.cancelled.is_some()).map(|r| r.number).collect()
    }

    pub fn waiting(&self) -> Vec<u32> {
        self.requests.iter().filter(|r| r.target.is_none()).map(|r| r.number).collect()
    }

    /// Returns the outputs that follow from the event applied before.
    pub fn run_step(&mut self, now: u64) -> Vec<NaiveOutput> {
        self.run_timers(now);
        self.dispatch(now);
        self.shed(now);
        self.preempt_for_urgent(now);
        self.refuse_expired();
        std::mem::take(&mut self.outputs)
    }

    fn find(&self, number: u32) -> Option<usize> {
        self.requests.iter().position(|request| request.number == number)
    }

    fn slack_end(&self, request: &NaiveRequest) -> u64 {
        request.deadline.saturating_sub(request.service_ms as u64 + self.settings.preempt_slack_ms)
    }

    fn run_timers(&mut self, now: u64) {
        let mut overdue = Vec::new();
        for number in self.waiting() {
            let Some(index) = self.find(number) else { continue };
            let request = self.requests[index].clone();
            if request.expired {
                continue;
            }
            let preempt_at = request.submitted + self.settings.tier(request.tier).preempt_after_ms;
            if now >= request.deadline {
                self.unpair(number);
                self.requests[index].expired = true;
            } else if let Some(victim) = request.partner {
                let since = self.find(victim).and_then(|victim| self.requests[victim].cancelled);
                let at = since.map_or(0, |at| at + self.settings.cancel_timeout_ms);
                overdue.push((at.max(self.slack_end(&request)), index, number, victim));
            } else if now >= preempt_at || now >= self.slack_end(&request) {
                self.requests[index].urgent = true;
            }
        }
        overdue.retain(|(at, ..)| *at <= now);
        overdue.sort_unstable();
        for (_, _, number, victim) in overdue {
            self.place_above_limit(now, number, victim);
        }
    }

    fn dispatch(&mut self, now: u64) {
        loop {
            let load = |target: usize| {
                self.requests.iter().filter(|request| request.target == Some(target)).count()
            };
            let target = (0..self.slots.len())
                .filter(|target| load(*target) < self.slots[*target])
                .min_by_key(|target| (load(*target), *target));
            let next = self
                .requests
                .iter()
                .enumerate()
                .filter(|(_, request)| request.queued())
                .min_by_key(|(index, request)| {
                    let time = self.virtual_times[&(request.tier, request.flow)];
                    (request.tier, time, request.flow, request.deadline, *index)
                })
                .map(|(_, request)| request.number);
            let (Some(target), Some(number)) = (target, next) else { return };
            let number = self.overtaking_request(now, number, target).unwrap_or(number);
            self.unpair(number);
            self.place(now, number, target, false);
        }
    }

    fn cached_tokens(&self, request: &NaiveRequest, target: usize) -> f64 {
        let blocks = &self.blocks[target];
        let known = request.hashes.iter().take_while(|hash| blocks.contains(hash)).count();
        (known as f64 * f64::from(self.settings.prefix.block_tokens)).min(request.prompt_tokens)
    }

    /// Returns the cached prompt tokens without those that a running request is still computing.
    fn reusable_tokens(&self, request: &NaiveRequest, target: usize) -> f64 {
        let block = f64::from(self.settings.prefix.block_tokens);
        let computing = self.requests.iter().filter(|r| r.target == Some(target) && !r.first_token);
        let computed_again = computing.map(|other| {
            let same = |index: &usize| request.hashes.get(*index) == other.hashes.get(*index);
            let shared = (0..other.hashes.len()).take_while(same).count();
            shared as f64 * block - other.cached_tokens
        });
        self.cached_tokens(request, target) - computed_again.fold(0.0, f64::max)
    }

    fn slack_is_short(&self, now: u64, request: &NaiveRequest) -> bool {
        now + self.settings.preempt_slack_ms >= self.slack_end(request)
            || (request.urgent && self.runs_below(request.tier))
    }

    /// Returns the request with cached blocks at the target that overtakes the first one.
    fn overtaking_request(&self, now: u64, first: u32, target: usize) -> Option<u32> {
        let first = &self.requests[self.find(first)?];
        let spare = self.slack_end(first).saturating_sub(first.submitted) as f64;
        let waited = (now - first.submitted) as f64;
        if waited >= spare * self.settings.overtake_share || self.slack_is_short(now, first) {
            return None;
        }
        let time = |flow: usize| self.virtual_times[&(first.tier, flow)];
        let bound = time(first.flow) + (self.settings.overtake_tokens * 1_000.0) as u64;
        let queued = |flow: usize| {
            let requests = self.requests.iter().enumerate();
            let queued = requests.filter(|(_, r)| r.queued() && r.is_in(first.tier, flow));
            let mut queued: Vec<(u64, usize)> =
                queued.map(|(index, r)| (r.deadline, index)).collect();
            queued.sort_unstable();
            queued
        };
        let mut flows: Vec<(u64, usize)> = (0..self.workspaces.len())
            .filter(|flow| !queued(*flow).is_empty() && time(*flow) <= bound)
            .map(|flow| (time(flow), flow))
            .collect();
        flows.sort_unstable();
        let share = self.settings.lookahead.div_ceil(flows.len().max(1));
        flows
            .iter()
            .flat_map(|(_, flow)| queued(*flow).into_iter().take(share))
            .take(self.settings.lookahead)
            .map(|(_, index)| &self.requests[index])
            .filter(|other| other.number != first.number)
            .take_while(|other| !self.slack_is_short(now, other))
            .find(|other| self.reusable_tokens(other, target) > self.reusable_tokens(first, target))
            .map(|other| other.number)
    }

    fn place(&mut self, now: u64, number: u32, target: usize, above: bool) {
        let Some(index) = self.find(number) else { return };
        let cached_tokens = self.cached_tokens(&self.requests[index], target);
        let request = &mut self.requests[index];
        request.cached_tokens = cached_tokens;
        self.blocks[target].extend(&request.hashes);
        request.target = Some(target);
        request.above = above;
        let (tier, cost) = (request.tier, request.cost);
        self.placements.push((now, tier, request.service_ms));
        let time = self.virtual_times.entry((tier, request.flow)).or_insert(0);
        let clock = self.clocks.entry(tier).or_insert(0);
        *clock = (*clock).max(*time);
        *time += (cost * 1_000.0) as u64 + 1;
        self.outputs.push(NaiveOutput::Place { number, target, above });
    }

    fn shed(&mut self, now: u64) {
        while let Some(lowest) = self.lowest_waiting()
            && self.overloaded(now, lowest)
        {
            let newest = self.requests.iter().rposition(|r| r.target.is_none() && r.tier == lowest);
            let Some(index) = newest else { return };
            if self.runs_below(lowest) {
                self.requests[index].urgent = true;
                return;
            }
            self.refuse(index, false);
        }
    }

    fn lowest_waiting(&self) -> Option<u8> {
        self.requests.iter().filter(|r| r.target.is_none()).map(|r| r.tier).max()
    }

    fn runs_below(&self, tier: u8) -> bool {
        self.requests.iter().any(|request| request.target.is_some() && request.tier > tier)
    }

    fn overloaded(&self, now: u64, lowest: u8) -> bool {
        let half_life = self.settings.rates.half_life_ms;
        let served = self.placements.iter().filter(|(_, tier, _)| *tier < lowest);
        let served: f64 = served
            .map(|(at, _, service)| service * (-((now - at) as f64) / half_life).exp2())
            .sum();
        let slots = self.slots.iter().sum::<usize>() as f64;
        let above = served * std::f64::consts::LN_2 / half_life;
        let queued: f64 = self.requests.iter().filter(|r| r.queued()).map(|r| r.service_ms).sum();
        let wait = queued / (slots - above).max(slots * 0.05);
        let newest = self.requests.iter().rfind(|r| r.target.is_none() && r.tier == lowest);
        let remaining = newest.map_or(0, |request| request.deadline.saturating_sub(now));
        let bound = self.settings.tier(lowest).max_queue_ms;
        let bound = if remaining > 0 { bound.min(remaining) } else { bound };
        self.waiting().len() > self.settings.queue_limit || wait > bound as f64
    }

    fn preempt_for_urgent(&mut self, now: u64) {
        let mut urgent: Vec<(u8, u64, usize, u32)> = self
            .requests
            .iter()
            .enumerate()
            .filter(|(_, r)| r.queued() && r.urgent && r.partner.is_none())
            .map(|(index, r)| (r.tier, r.deadline, index, r.number))
            .collect();
        urgent.sort_unstable();
        let mut failed = 0;
        for (tier, _, _, number) in urgent {
            if failed >= MAX_FAILED_SEARCHES || !self.runs_below(tier) {
                return;
            }
            let Some(index) = self.find(number) else { continue };
            let slack_exhausted = now >= self.slack_end(&self.requests[index]);
            if let Some(victim) = self.victim(tier, |r| self.cancellable(now, r)) {
                self.pair(number, victim);
                self.send_cancel(now, victim);
            } else if let Some(victim) = self.victim(tier, |_| true).filter(|_| slack_exhausted) {
                self.place_above_limit(now, number, victim);
            } else if !(slack_exhausted && self.replace_above_limit(now, tier, number)) {
                failed += 1;
            }
        }
    }

    fn cancellable(&self, now: u64, request: &NaiveRequest) -> bool {
        let overdue = |at: u64| now - at >= self.settings.cancel_timeout_ms;
        request.idempotent && request.claimed && !request.cancelled.is_some_and(overdue)
    }

    fn victim(&self, tier: u8, accept: impl Fn(&NaiveRequest) -> bool) -> Option<u32> {
        let victims = self.requests.iter().enumerate().filter(|(_, request)| {
            let unpaired = request.partner.is_none() && !request.replaced;
            let free = request.target.is_some() && unpaired;
            free && request.tier > tier && accept(request)
        });
        victims
            .max_by(|(left_index, left), (right_index, right)| {
                let order = |r: &NaiveRequest| (r.tier, r.cancelled.is_some());
                let by_work = right.work().total_cmp(&left.work());
                order(left).cmp(&order(right)).then(by_work).then(left_index.cmp(right_index))
            })
            .map(|(_, request)| request.number)
    }

    fn replace_above_limit(&mut self, now: u64, tier: u8, number: u32) -> bool {
        let above = self.requests.iter().enumerate().filter(|(_, request)| {
            let paired = request.above && request.partner.is_some();
            paired
                && request.tier > tier
                && request.idempotent
                && request.claimed
                && request.cancelled.is_none()
        });
        let found = above
            .max_by_key(|(index, request)| (request.tier, *index))
            .and_then(|(_, request)| Some((request.number, request.partner?)));
        let Some((above, victim)) = found else { return false };
        self.unpair(above);
        if let Some(index) = self.find(above) {
            self.requests[index].replaced = true;
        }
        self.send_cancel(now, above);
        self.place_above_limit(now, number, victim);
        true
    }

    fn send_cancel(&mut self, now: u64, number: u32) {
        let Some(index) = self.find(number) else { return };
        if self.requests[index].cancelled.replace(now).is_none() {
            self.outputs.push(NaiveOutput::Cancel { number });
        }
    }

    fn place_above_limit(&mut self, now: u64, number: u32, victim: u32) {
        let target = self.find(victim).and_then(|victim| self.requests[victim].target);
        let Some(target) = target else { return };
        self.unpair(number);
        self.place(now, number, target, true);
        self.pair(number, victim);
    }

    fn refuse_expired(&mut self) {
        for tier in (0..=u8::MAX).rev() {
            let held = |r: &NaiveRequest| r.expired && r.target.is_none() && r.tier == tier;
            while !self.runs_below(tier)
                && let Some(index) = self.requests.iter().position(held)
            {
                let below = self.requests.iter().position(|r| r.target.is_none() && r.tier > tier);
                match below {
                    Some(below) => self.refuse(below, false),
                    None => self.refuse(index, true),
                }
            }
        }
    }

    fn refuse(&mut self, index: usize, deadline: bool) {
        let number = self.requests[index].number;
        self.unpair(number);
        self.requests.remove(index);
        self.outputs.push(NaiveOutput::Refuse { number, deadline });
    }

    fn pair(&mut self, left: u32, right: u32) {
        for (one, other) in [(left, right), (right, left)] {
            if let Some(index) = self.find(one) {
                self.requests[index].partner = Some(other);
            }
        }
    }

    fn unpair(&mut self, number: u32) {
        let other = self.find(number).and_then(|index| self.requests[index].partner.take());
        if let Some(index) = other.and_then(|other| self.find(other)) {
            self.requests[index].partner = None;
            self.requests[index].urgent |= self.requests[index].target.is_none();
        }
    }
}

impl NaiveRequest {
    fn queued(&self) -> bool {
        self.target.is_none() && !self.expired
    }

    /// Returns the computed prompt tokens. No request produces output in the test.
    fn work(&self) -> f64 {
        if self.first_token { self.prompt_tokens - self.cached_tokens } else { 0.0 }
    }

    fn is_in(&self, tier: u8, flow: usize) -> bool {
        self.tier == tier && self.flow == flow
    }
}

/// Returns whether a refusal is due to the deadline.
pub fn by_deadline(reason: ReasonCode) -> bool {
    reason == ReasonCode::DeadlinePassed
}
