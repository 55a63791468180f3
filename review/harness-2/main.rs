//! Runs one case of the review: `review-2 CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it
//! held and 2 if the case could not run.

mod engine;
mod founding;
mod support;
mod versions;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use std::process::ExitCode;
use support::Record;

/// Whether the rule of a case was broken; `None` if the case could not run.
type Outcome = Option<bool>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let run: fn(&Record) -> Outcome = match case.as_str() {
        "founded-twice" => founding::founded_twice,
        "founded-with-two" => founding::founded_with_two,
        "version-from-memory" => versions::version_from_memory,
        _ => {
            eprintln!("no such case: {case}");
            return ExitCode::from(2);
        }
    };
    let record = Record::create(&Path::new(folder).join("record.txt"));
    record.line(&format!("case {case}, disturbance: {}", support::trouble()));
    // All processes are ended also if a step fails.
    let outcome = catch_unwind(AssertUnwindSafe(|| run(&record))).unwrap_or(None);
    let (text, code) = match outcome {
        Some(true) => ("the rule was broken", 1),
        Some(false) => ("the rule held", 0),
        None => ("the case could not run", 2),
    };
    record.line(&format!("result: {text}"));
    ExitCode::from(code)
}
