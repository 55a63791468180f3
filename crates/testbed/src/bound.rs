//! Upper bound of the value that a deployment could have served on time, from its nodes' logs.
//!
//! For each window, the requests that were first asked in it are taken in order of value per slot
//! time until the slots of the usable targets are full. Slot times come from the speeds that the
//! answers show for each target. A window whose bound is far above the reached value was limited by
//! the order of the requests or by failures, one whose bound is reached by its capacity.

use crate::account::{LogFields, LogReader, RequestCategory};
use burdockcleat_core::clock::ClockTime;
use burdockcleat_edge::placement::{SizeRule, SpeedEstimate, SpeedModel};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// Interval between two state lines of the placement coordinator, in ms.
const STATE_INTERVAL_MS: f64 = 1_000.0;

/// Values of requests.
#[derive(Clone, Debug, Default)]
pub struct RequestValues {
    /// Mean value of the requests of each rank; 1 if not set.
    pub ranks: BTreeMap<u64, f64>,
    /// Values within a rank.
    pub sizes: SizeRule,
}

/// Period of time, in ms.
#[derive(Clone, Copy, Debug)]
struct TimeSpan {
    from: u64,
    length: u64,
}

impl TimeSpan {
    const fn contains(self, ms: u64) -> bool {
        ms >= self.from && ms - self.from < self.length
    }
}

/// What the answers of a route show about all its requests.
#[derive(Clone, Debug, Default)]
struct RouteFacts {
    service: String,
    objective_ms: f64,
    /// Longest output that callers state, in tokens.
    output_limit: f64,
}

/// Attempt of a caller.
#[derive(Clone, Debug)]
struct LoggedAttempt {
    route: String,
    rank: u64,
    arrived_ms: u64,
    prompt_tokens: u32,
    output_tokens: f64,
    /// Whether the caller had not been refused before.
    first: bool,
    answered: bool,
    on_time: bool,
}

/// Answer of a target.
#[derive(Clone, Copy, Debug)]
struct TargetAnswer {
    granted: ClockTime,
    first_event: ClockTime,
    ended: ClockTime,
    prompt_tokens: u32,
    output_tokens: f64,
}

/// Report of the usable slots of a service.
#[derive(Clone, Debug)]
struct SlotReport {
    at_ms: u64,
    service: String,
    usable_targets: f64,
    slots_per_target: f64,
}

/// Collects what the bound needs from log lines.
#[derive(Debug, Default)]
pub struct BoundReader {
    requests: LogReader,
    attempts: Vec<LoggedAttempt>,
    answers: BTreeMap<String, Vec<TargetAnswer>>,
    routes: BTreeMap<String, RouteFacts>,
    target_services: BTreeMap<String, String>,
    reports: Vec<SlotReport>,
    allowance_refusals: Vec<u64>,
}

/// Bound and reached value of one window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WindowBound {
    /// Start, in ms since the first request.
    pub start_ms: u64,
    /// Value of the requests that were first asked in the window.
    pub offered: f64,
    /// Value of those that a target could answer within their objective if it ran nothing else.
    pub feasible: f64,
    /// Value that fits into the slot time of the usable targets.
    pub bound: f64,
    /// Value that fits into the slot time that the answered requests took: what another order could
    /// have reached.
    pub best_order: f64,
    /// Value that was answered on time.
    pub reached: f64,
    /// Slot time of the feasible requests, relative to that of the usable targets.
    pub load: f64,
    /// Slot time of all answered requests, relative to that of the usable targets. If it stays below
    /// 1 although requests wait, the targets are slower than their speeds promise.
    pub used: f64,
    /// Number of refusals for an exceeded allowance.
    pub allowance_refusals: usize,
}

impl BoundReader {
    /// Creates a reader of lines that begin with the seconds of a clock that all nodes share.
    pub fn with_shared_clock() -> Self {
        Self { requests: LogReader::with_shared_clock(), ..Self::default() }
    }

    /// Reads a line of a node.
    pub fn read(&mut self, line: &str) {
        let fields = LogFields(line);
        match fields.text("event") {
            Some("target.usable") => {
                if let (Some(target), Some(service)) =
                    (fields.text("target"), fields.text("service"))
                {
                    self.target_services.insert(target.to_owned(), service.to_owned());
                }
            }
            Some("placement.state") => self.reports.extend(self.slot_report(&fields)),
            _ => {}
        }
        let Some(request) = self.requests.read(line) else { return };
        if request.category == RequestCategory::RefusedAllowance {
            self.allowance_refusals.push(request.arrived_ms);
        }
        let number = |name: &str| fields.number(name).map(|number| number as f64);
        let (Some(route), Some(rank), Some(prompt)) =
            (fields.text("route"), request.rank, fields.number("prompt"))
        else {
            return;
        };
        let prompt_tokens = u32::try_from(prompt).unwrap_or(u32::MAX);
        let output_tokens = number("hint").or_else(|| number("expected_output")).unwrap_or(0.0);
        self.attempts.push(LoggedAttempt {
            route: route.to_owned(),
            rank,
            arrived_ms: request.arrived_ms,
            prompt_tokens,
            output_tokens,
            first: fields.number("spent_ms") == Some(0),
            answered: fields.text("event") == Some("request.answered"),
            on_time: request.category == RequestCategory::OnTime,
        });
        let (Some(target), Some(waited), Some(first), Some(after)) = (
            fields.text("target"),
            fields.number("waited_ms"),
            fields.number("first_ms"),
            fields.number("after_ms"),
        ) else {
            return;
        };
        let arrived = ClockTime::from_ms(request.arrived_ms);
        self.answers.entry(target.to_owned()).or_default().push(TargetAnswer {
            granted: arrived.plus(waited),
            first_event: arrived.plus(first),
            ended: arrived.plus(after),
            prompt_tokens,
            output_tokens,
        });
        let facts = self.routes.entry(route.to_owned()).or_default();
        facts.objective_ms = number("objective_ms").unwrap_or(facts.objective_ms);
        facts.output_limit = number("output").unwrap_or(0.0).max(facts.output_limit);
        if let Some(service) = self.target_services.get(target) {
            facts.service.clone_from(service);
        }
    }

    fn slot_report(&self, fields: &LogFields<'_>) -> Option<SlotReport> {
        let number = |name: &str| fields.text(name)?.parse::<f64>().ok();
        let targets = number("targets").filter(|targets| *targets > 0.0)?;
        Some(SlotReport {
            at_ms: self.requests.time_of(fields)?,
            service: fields.text("service")?.to_owned(),
            usable_targets: number("usable")?,
            slots_per_target: number("slots")? / targets,
        })
    }

    /// Returns the bound of each window of `period_ms`.
    pub fn windows(mut self, period_ms: u64, values: &RequestValues) -> Vec<WindowBound> {
        let Some(first_ms) = self.attempts.iter().map(|attempt| attempt.arrived_ms).min() else {
            return Vec::new();
        };
        let mut speeds: BTreeMap<String, Vec<SpeedModel>> = BTreeMap::new();
        for (target, answers) in &mut self.answers {
            if let Some(service) = self.target_services.get(target) {
                speeds.entry(service.clone()).or_default().push(fit_speed(answers));
            }
        }
        let mean_sizes = self.mean_sizes(&values.sizes);
        let value = |attempt: &LoggedAttempt| {
            let mean = mean_sizes.get(&attempt.rank).copied().unwrap_or(0.0);
            let relative = values.sizes.value(self.size(attempt, &values.sizes), mean);
            relative * values.ranks.get(&attempt.rank).copied().unwrap_or(1.0)
        };
        // Windows without requests are left out: after a clock that was set ahead there are many.
        let indexes: BTreeSet<_> = self
            .attempts
            .iter()
            .map(|attempt| (attempt.arrived_ms - first_ms) / period_ms)
            .collect();
        let window = |index: u64| {
            let span = TimeSpan { from: first_ms + index * period_ms, length: period_ms };
            let start_ms = index * period_ms;
            WindowBound { start_ms, ..self.window(span, &speeds, &value) }
        };
        indexes.into_iter().map(window).collect()
    }

    fn window<V>(
        &self,
        span: TimeSpan,
        speeds: &BTreeMap<String, Vec<SpeedModel>>,
        value: &V,
    ) -> WindowBound
    where
        V: Fn(&LoggedAttempt) -> f64,
    {
        let attempts: Vec<_> =
            self.attempts.iter().filter(|attempt| span.contains(attempt.arrived_ms)).collect();
        let first = || attempts.iter().filter(|attempt| attempt.first);
        let mut window = WindowBound {
            offered: first().map(|attempt| value(attempt)).sum(),
            reached: first().filter(|a| a.on_time).map(|attempt| value(attempt)).sum(),
            allowance_refusals: self
                .allowance_refusals
                .iter()
                .filter(|ms| span.contains(**ms))
                .count(),
            ..WindowBound::default()
        };
        let (mut demand_ms, mut used_ms, mut capacity_ms) = (0.0, 0.0, 0.0);
        for (service, models) in speeds {
            let reports: Vec<_> = self
                .reports
                .iter()
                .filter(|report| &report.service == service && span.contains(report.at_ms))
                .collect();
            let Some(report) = reports.first().copied() else { continue };
            let own: Vec<_> =
                attempts.iter().copied().filter(|a| self.serves(service, a)).collect();
            let cost = |attempt: &LoggedAttempt| self.slot_time(attempt, models, report);
            let asked: Vec<_> = own
                .iter()
                .filter(|attempt| attempt.first)
                .filter_map(|attempt| Some((value(attempt), cost(attempt)?)))
                .collect();
            let answered = own.iter().filter(|attempt| attempt.answered);
            let answered_ms: f64 = answered.filter_map(|attempt| cost(attempt)).sum();
            let available_ms = capacity(&reports, models, &own, span.length as f64);
            window.feasible += asked.iter().map(|(value, _)| value).sum::<f64>();
            window.bound += best_value(asked.clone(), available_ms);
            window.best_order += best_value(asked.clone(), answered_ms);
            demand_ms += asked.iter().map(|(_, cost)| cost).sum::<f64>();
            used_ms += answered_ms;
            capacity_ms += available_ms;
        }
        window.load = demand_ms / f64::max(capacity_ms, f64::EPSILON);
        window.used = used_ms / f64::max(capacity_ms, f64::EPSILON);
        window
    }

    fn serves(&self, service: &str, attempt: &LoggedAttempt) -> bool {
        self.routes.get(&attempt.route).is_some_and(|facts| facts.service == service)
    }

    fn size(&self, attempt: &LoggedAttempt, rule: &SizeRule) -> f64 {
        let limit = self.routes.get(&attempt.route).map_or(0.0, |facts| facts.output_limit);
        rule.size(attempt.prompt_tokens, limit)
    }

    fn mean_sizes(&self, rule: &SizeRule) -> BTreeMap<u64, f64> {
        let mut sums: BTreeMap<u64, (f64, f64)> = BTreeMap::new();
        for attempt in &self.attempts {
            let (sum, count) = sums.entry(attempt.rank).or_default();
            *sum += self.size(attempt, rule);
            *count += 1.0;
        }
        sums.into_iter().map(|(rank, (sum, count))| (rank, sum / count)).collect()
    }

    /// Returns the slot time of a request on the target that is fastest for it, in ms. `None` if no
    /// target can send its first event within the objective.
    fn slot_time(
        &self,
        attempt: &LoggedAttempt,
        models: &[SpeedModel],
        report: &SlotReport,
    ) -> Option<f64> {
        let objective_ms = self.routes.get(&attempt.route)?.objective_ms;
        let work = f64::from(attempt.prompt_tokens);
        let slots = report.slots_per_target;
        models
            .iter()
            .filter(|model| model.first_event_ms(work) <= objective_ms)
            .map(|model| model.load_ms(work, attempt.output_tokens, slots))
            .min_by(f64::total_cmp)
    }
}

/// Returns the slot time of the usable targets of a service, in ms of the fastest target. A slower
/// target counts by the time that it needs for the mean request.
fn capacity(
    reports: &[&SlotReport],
    models: &[SpeedModel],
    attempts: &[&LoggedAttempt],
    period_ms: f64,
) -> f64 {
    let count = attempts.len().max(1) as f64;
    let mean_prompt = attempts.iter().map(|a| f64::from(a.prompt_tokens)).sum::<f64>() / count;
    let mean_output = attempts.iter().map(|a| a.output_tokens).sum::<f64>() / count;
    let slot_times = reports.iter().map(|report| {
        let slots = report.slots_per_target;
        let loads = models.iter().map(|model| model.load_ms(mean_prompt, mean_output, slots));
        let loads: Vec<_> = loads.collect();
        let fastest = loads.iter().copied().fold(f64::MAX, f64::min);
        let mean_rate =
            loads.iter().map(|load| fastest / load).sum::<f64>() / loads.len().max(1) as f64;
        report.usable_targets * slots * mean_rate
    });
    // Two nodes report at the same time while one of them is cut off, so reports are averaged.
    let covered_ms = period_ms.min(reports.len() as f64 * STATE_INTERVAL_MS);
    slot_times.sum::<f64>() / reports.len().max(1) as f64 * covered_ms
}

/// Returns the highest value of requests, given as value and cost, whose costs fit into `limit`.
/// The last one counts in part.
fn best_value(mut requests: Vec<(f64, f64)>, limit: f64) -> f64 {
    requests.sort_by(|left, right| (right.0 / right.1).total_cmp(&(left.0 / left.1)));
    let (mut left, mut sum) = (limit, 0.0);
    for (value, cost) in requests {
        sum += value * (left / cost.max(f64::EPSILON)).clamp(0.0, 1.0);
        left -= cost;
    }
    sum
}

/// Estimates the speed of a target from its answers, with the prompts ahead of each one.
fn fit_speed(answers: &mut [TargetAnswer]) -> SpeedModel {
    answers.sort_by_key(|answer| answer.first_event);
    let mut estimate = SpeedEstimate::new(SpeedModel::PRIOR);
    for answer in answers.iter() {
        let ahead = answers
            .iter()
            .filter(|other| other.granted <= answer.granted && other.first_event > answer.granted);
        let work: f64 = ahead.map(|other| f64::from(other.prompt_tokens)).sum();
        estimate.learn_first_event(work, answer.first_event.since(answer.granted) as f64);
        estimate.learn_output(answer.output_tokens, answer.ended.since(answer.first_event) as f64);
    }
    *estimate.model()
}

/// Renders the windows as a Markdown table whose last row is the whole time.
pub fn render_windows(windows: &[WindowBound]) -> String {
    let mut text = String::from(
        "| from second | offered | feasible | bound | best order | reached | of the bound | load | used | refused: allowance |\n\
         |---|---|---|---|---|---|---|---|---|---|\n",
    );
    let mut all = WindowBound::default();
    for window in windows {
        all.offered += window.offered;
        all.feasible += window.feasible;
        all.bound += window.bound;
        all.best_order += window.best_order;
        all.reached += window.reached;
        all.load += window.load / windows.len() as f64;
        all.used += window.used / windows.len() as f64;
        all.allowance_refusals += window.allowance_refusals;
        render_row(&mut text, &(window.start_ms as f64 / 1_000.0).to_string(), window);
    }
    render_row(&mut text, "all", &all);
    text
}

fn render_row(text: &mut String, title: &str, window: &WindowBound) {
    let part = |value: f64, of: f64| if of > 0.0 { value / of } else { 0.0 };
    // Writing to a string cannot fail.
    let _ = writeln!(
        text,
        "| {title} | {:.0} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {:.2} | {:.2} | {} |",
        window.offered,
        part(window.feasible, window.offered),
        part(window.bound, window.offered),
        part(window.best_order, window.offered),
        part(window.reached, window.offered),
        part(window.reached, window.bound),
        window.load,
        window.used,
        window.allowance_refusals,
    );
}
