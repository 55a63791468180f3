//! Classifies the requests of a deployment by their outcome, from the logs of its nodes.

use std::collections::BTreeMap;
use std::fmt::Write;

/// Number of route ranks within one workspace rank. Nodes log `workspace rank * 16 + route rank`.
const ROUTE_RANKS: u64 = 16;
/// A late request counts as delayed by its queue wait if the wait exceeds the objective divided by
/// this number.
const WAIT_DIVISOR: u64 = 2;

/// Time in ms that stands for the origin of a shared clock.
const SHARED_CLOCK_ORIGIN_MS: f64 = 1e6;

/// Outcome of a request, with the main cause if it missed its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestCategory {
    /// Answered within its objective, and no pause of the stream was too long.
    OnTime,
    /// Late only because of the time that earlier attempts of the caller took.
    LateResend,
    /// Late, mostly because of the wait for a target.
    LateWait,
    /// Late because the target took too long to send the first event.
    LateFirstEvent,
    /// The first event was in time, but the stream paused for too long.
    LatePause,
    /// The target answered with a 5xx status.
    TargetFailed,
    /// Refused because the wait for a target would be too long.
    RefusedWait,
    /// Refused because its workspace exceeded its allowance.
    RefusedAllowance,
    /// Refused or abandoned for another reason.
    RefusedOther,
    /// The stream ended before it was complete.
    StreamEnded,
}

impl RequestCategory {
    /// All categories, in the order of the table columns.
    pub const ALL: [Self; 10] = [
        Self::OnTime,
        Self::LateResend,
        Self::LateWait,
        Self::LateFirstEvent,
        Self::LatePause,
        Self::TargetFailed,
        Self::RefusedWait,
        Self::RefusedAllowance,
        Self::RefusedOther,
        Self::StreamEnded,
    ];

    const fn title(self) -> &'static str {
        match self {
            Self::OnTime => "on time",
            Self::LateResend => "late: came back",
            Self::LateWait => "late: wait",
            Self::LateFirstEvent => "late: first event",
            Self::LatePause => "late: pause",
            Self::TargetFailed => "target failed",
            Self::RefusedWait => "refused: wait",
            Self::RefusedAllowance => "refused: allowance",
            Self::RefusedOther => "refused: other",
            Self::StreamEnded => "stream cut",
        }
    }
}

/// One attempt of a caller, from the log line that its node wrote at the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoggedRequest {
    /// Category of its outcome.
    pub category: RequestCategory,
    /// Rank of its route within its workspace, if the line contains it.
    pub rank: Option<u64>,
    /// Arrival in ms since the Unix epoch, or since the start of the process if no start was
    /// logged.
    pub arrived_ms: u64,
}

/// Parses log lines of any number of nodes.
#[derive(Debug, Default)]
pub struct LogReader {
    /// Start time of each node, in ms since the Unix epoch.
    starts: BTreeMap<String, u64>,
    /// Whether each line begins with the seconds of a clock that all nodes share.
    shared_clock: bool,
}

impl LogReader {
    /// Creates a reader of lines that begin with the seconds of a clock that all nodes share. It is
    /// used in place of the nodes' wall clocks, which may be wrong.
    pub fn with_shared_clock() -> Self {
        Self { shared_clock: true, ..Self::default() }
    }

    /// Parses a line. Returns `None` if the line does not report the end of a request.
    pub fn read(&mut self, line: &str) -> Option<LoggedRequest> {
        let fields = LogFields(line);
        let node = fields.text("node")?;
        let now_ms = fields.number("t")?;
        let event = fields.text("event")?;
        if event == "node.started" {
            let wall_ms = fields.number("wall_ms")?;
            self.starts.insert(node.to_owned(), wall_ms.saturating_sub(now_ms));
            return None;
        }
        let category = match event {
            "request.answered" => answered_category(&fields)?,
            "request.refused" => refused_category(line),
            "stream.ended" => RequestCategory::StreamEnded,
            _ => return None,
        };
        let at_ms = self.time_of(&fields)?;
        let after_ms = fields.number("after_ms").unwrap_or(0);
        let rank = fields.number("rank").map(|rank| rank % ROUTE_RANKS);
        Some(LoggedRequest { category, rank, arrived_ms: at_ms.saturating_sub(after_ms) })
    }

    /// Returns the time of a line in ms, on the same clock as the arrivals.
    pub(crate) fn time_of(&self, fields: &LogFields<'_>) -> Option<u64> {
        if self.shared_clock {
            let seconds: f64 = fields.0.split_whitespace().next()?.parse().ok()?;
            // Lines from before the origin of the clock count as well.
            return Some((seconds * 1_000.0 + SHARED_CLOCK_ORIGIN_MS).max(0.0) as u64);
        }
        let start_ms = self.starts.get(fields.text("node")?).copied().unwrap_or(0);
        Some(start_ms + fields.number("t")?)
    }
}

fn answered_category(fields: &LogFields<'_>) -> Option<RequestCategory> {
    let objective_ms = fields.number("objective_ms")?;
    let allowed_pause_ms = fields.number("allowed_pause_ms")?;
    if fields.number("status")? >= 500 {
        return Some(RequestCategory::TargetFailed);
    }
    let first_ms = fields.number("first_ms")?;
    let spent_ms = fields.number("spent_ms")?;
    Some(if first_ms > objective_ms {
        let waited_ms = fields.number("waited_ms")?;
        let waited = waited_ms * WAIT_DIVISOR > objective_ms;
        if waited { RequestCategory::LateWait } else { RequestCategory::LateFirstEvent }
    } else if first_ms + spent_ms > objective_ms {
        RequestCategory::LateResend
    } else if allowed_pause_ms > 0 && fields.number("pause_ms")? > allowed_pause_ms {
        RequestCategory::LatePause
    } else {
        RequestCategory::OnTime
    })
}

fn refused_category(line: &str) -> RequestCategory {
    if line.contains("reason=\"the wait for a target") {
        RequestCategory::RefusedWait
    } else if line.contains("reason=\"over the allowance") {
        RequestCategory::RefusedAllowance
    } else {
        RequestCategory::RefusedOther
    }
}

/// Fields of a log line: `name=value`, separated by spaces.
pub(crate) struct LogFields<'a>(pub(crate) &'a str);

impl<'a> LogFields<'a> {
    pub(crate) fn text(&self, name: &str) -> Option<&'a str> {
        self.0.split(' ').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
    }

    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.text(name)?.parse().ok()
    }
}

/// Number of requests by row key and category.
#[derive(Debug, Default)]
pub struct CategoryTable {
    rows: BTreeMap<u64, BTreeMap<RequestCategory, u64>>,
}

impl CategoryTable {
    /// Adds a request to a row.
    pub fn count(&mut self, row: u64, category: RequestCategory) {
        *self.rows.entry(row).or_default().entry(category).or_default() += 1;
    }

    /// Renders the counts as a Markdown table whose last row is the total.
    pub fn render(&self, key_title: &str) -> String {
        let mut text = format!("| {key_title} |");
        let mut rule = String::from("|---|");
        for category in RequestCategory::ALL {
            // Writing to a string cannot fail.
            let _ = write!(text, " {} |", category.title());
            rule.push_str("---|");
        }
        let _ = writeln!(text, "\n{rule}");
        let mut all: BTreeMap<RequestCategory, u64> = BTreeMap::new();
        for (key, counts) in &self.rows {
            render_row(&mut text, &key.to_string(), counts);
            for (category, count) in counts {
                *all.entry(*category).or_default() += count;
            }
        }
        render_row(&mut text, "all", &all);
        text
    }
}

fn render_row(text: &mut String, key: &str, counts: &BTreeMap<RequestCategory, u64>) {
    let _ = write!(text, "| {key} |");
    for category in RequestCategory::ALL {
        let _ = write!(text, " {} |", counts.get(&category).copied().unwrap_or(0));
    }
    text.push('\n');
}
