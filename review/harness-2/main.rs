//! Runs one case of the review: `review-2 CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it
//! held and 2 if the case could not run.

mod early;
mod engine;
mod founding;
mod support;
mod takeups;
mod versions;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use std::process::ExitCode;
use support::Record;

/// Whether the rule of a case was broken; `None` if the case could not run.
type Outcome = Option<bool>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, role, rest @ ..] = arguments.as_slice()
        && role == "engine"
    {
        // Returns only if it could not start.
        let _ = early::run_engine(rest);
        return ExitCode::from(2);
    }
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let run: fn(&Record, &str) -> Outcome = match case.as_str() {
        "founded-twice" => |record, _| founding::founded_twice(record),
        "founded-with-two" => |record, _| founding::founded_with_two(record),
        "version-from-memory" => |record, _| versions::version_from_memory(record),
        "part-as-whole" => early::part_as_whole,
        "refused-take-ups" => |record, _| takeups::refused_take_ups(record),
        _ => {
            eprintln!("no such case: {case}");
            return ExitCode::from(2);
        }
    };
    let record = Record::create(&Path::new(folder).join("record.txt"));
    record.line(&format!("case {case}, disturbance: {}", support::trouble()));
    // All processes are ended also if a step fails.
    let outcome = catch_unwind(AssertUnwindSafe(|| run(&record, folder))).unwrap_or(None);
    let (text, code) = match outcome {
        Some(true) => ("the rule was broken", 1),
        Some(false) => ("the rule held", 0),
        None => ("the case could not run", 2),
    };
    record.line(&format!("result: {text}"));
    ExitCode::from(code)
}
