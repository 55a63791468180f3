//! What became of the requests of a deployment, from the logs of its nodes.

use std::collections::BTreeMap;
use std::fmt::Write;

/// Ranks of routes within one rank of workspaces, as nodes number them.
const ROUTE_RANKS: u64 = 16;
/// Part of the objective beyond which a late request counts as held up by its wait for a target.
const WAIT_PART: u64 = 2;

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestFate {
    /// Answered within its objective, without a pause that was too long.
    OnTime,
    /// Its caller came back, and its objective had passed before.
    LateReturn,
    /// Late, mostly by the wait for a target.
    LateWait,
    /// Late by a first event that took too long at the target.
    LateFirst,
    /// The stream paused for too long.
    LatePause,
    /// The target answered with a failure.
    TargetFailed,
    /// Refused since the wait for a target would be too long.
    RefusedWait,
    /// Refused over the allowance of its workspace.
    RefusedAllowance,
    /// Refused, or given up, for another reason.
    RefusedOther,
    /// The stream ended before it was complete.
    StreamEnded,
}

impl RequestFate {
    /// All fates, in the order of the columns.
    pub const ALL: [Self; 10] = [
        Self::OnTime,
        Self::LateReturn,
        Self::LateWait,
        Self::LateFirst,
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
            Self::LateReturn => "late: came back",
            Self::LateWait => "late: wait",
            Self::LateFirst => "late: first event",
            Self::LatePause => "late: pause",
            Self::TargetFailed => "target failed",
            Self::RefusedWait => "refused: wait",
            Self::RefusedAllowance => "refused: allowance",
            Self::RefusedOther => "refused: other",
            Self::StreamEnded => "stream cut",
        }
    }
}

/// One attempt of a caller, as its node logged the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountedRequest {
    /// What became of it.
    pub fate: RequestFate,
    /// Rank of its route within its workspace, if the line tells it.
    pub rank: Option<u64>,
    /// Arrival, in ms since the Unix epoch; since the start of the process if that was not logged.
    pub arrived_ms: u64,
}

/// Reads log lines of any number of nodes.
#[derive(Debug, Default)]
pub struct LogReader {
    /// Time of day of each node's start, in ms.
    starts: BTreeMap<String, u64>,
}

impl LogReader {
    /// Reads a line; none if it does not tell the end of a request.
    pub fn read(&mut self, line: &str) -> Option<AccountedRequest> {
        let fields = LogFields(line);
        let node = fields.text("node")?;
        let now_ms = fields.number("t")?;
        let event = fields.text("event")?;
        if event == "node.started" {
            let wall_ms = fields.number("wall_ms")?;
            self.starts.insert(node.to_owned(), wall_ms.saturating_sub(now_ms));
            return None;
        }
        let fate = match event {
            "request.answered" => answered_fate(&fields)?,
            "request.refused" => refused_fate(line),
            "stream.ended" => RequestFate::StreamEnded,
            _ => return None,
        };
        let start_ms = self.starts.get(node).copied().unwrap_or(0);
        let after_ms = fields.number("after_ms").unwrap_or(0);
        let rank = fields.number("rank").map(|rank| rank % ROUTE_RANKS);
        Some(AccountedRequest {
            fate,
            rank,
            arrived_ms: (start_ms + now_ms).saturating_sub(after_ms),
        })
    }
}

fn answered_fate(fields: &LogFields<'_>) -> Option<RequestFate> {
    let objective_ms = fields.number("objective_ms")?;
    let allowed_pause_ms = fields.number("allowed_pause_ms")?;
    if fields.number("status")? >= 500 {
        return Some(RequestFate::TargetFailed);
    }
    let first_ms = fields.number("first_ms")?;
    let spent_ms = fields.number("spent_ms")?;
    Some(if first_ms > objective_ms {
        let waited_ms = fields.number("waited_ms")?;
        let waited = waited_ms * WAIT_PART > objective_ms;
        if waited { RequestFate::LateWait } else { RequestFate::LateFirst }
    } else if first_ms + spent_ms > objective_ms {
        RequestFate::LateReturn
    } else if allowed_pause_ms > 0 && fields.number("pause_ms")? > allowed_pause_ms {
        RequestFate::LatePause
    } else {
        RequestFate::OnTime
    })
}

fn refused_fate(line: &str) -> RequestFate {
    if line.contains("reason=\"the wait for a target") {
        RequestFate::RefusedWait
    } else if line.contains("reason=\"over the allowance") {
        RequestFate::RefusedAllowance
    } else {
        RequestFate::RefusedOther
    }
}

/// Fields of a log line, `name=value` between spaces.
struct LogFields<'a>(&'a str);

impl<'a> LogFields<'a> {
    fn text(&self, name: &str) -> Option<&'a str> {
        self.0.split(' ').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
    }

    fn number(&self, name: &str) -> Option<u64> {
        self.text(name)?.parse().ok()
    }
}

/// Counts of requests by a key and their fate.
#[derive(Debug, Default)]
pub struct FateTable {
    rows: BTreeMap<u64, BTreeMap<RequestFate, u64>>,
}

impl FateTable {
    /// Counts a request in a row.
    pub fn count(&mut self, row: u64, fate: RequestFate) {
        *self.rows.entry(row).or_default().entry(fate).or_default() += 1;
    }

    /// The counts as a Markdown table, with a row for all at the end.
    pub fn render(&self, key_title: &str) -> String {
        let mut text = format!("| {key_title} |");
        let mut rule = String::from("|---|");
        for fate in RequestFate::ALL {
            // Writing to a string cannot fail.
            let _ = write!(text, " {} |", fate.title());
            rule.push_str("---|");
        }
        let _ = writeln!(text, "\n{rule}");
        let mut all: BTreeMap<RequestFate, u64> = BTreeMap::new();
        for (key, counts) in &self.rows {
            render_row(&mut text, &key.to_string(), counts);
            for (fate, count) in counts {
                *all.entry(*fate).or_default() += count;
            }
        }
        render_row(&mut text, "all", &all);
        text
    }
}

fn render_row(text: &mut String, key: &str, counts: &BTreeMap<RequestFate, u64>) {
    let _ = write!(text, "| {key} |");
    for fate in RequestFate::ALL {
        let _ = write!(text, " {} |", counts.get(&fate).copied().unwrap_or(0));
    }
    text.push('\n');
}
