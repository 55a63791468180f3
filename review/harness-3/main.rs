//! Stand-ins and cases of the third review. Usage: harness CASE RECORD-FILE, from the root of the
//! repository. Exits with 1 if the rule of the case was broken, 0 if it held and 2 if it could not run.

mod deployment;
mod engine;
mod http;
mod leave;
mod poison;
mod record;

use record::Record;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, file] = arguments.as_slice() else {
        eprintln!("usage: harness CASE RECORD-FILE");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(file);
    let run = || match case.as_str() {
        "poison" => poison::run(poison::Variant::AfterFirstEvent, &record, trouble),
        "poison-few-parts" => poison::run(poison::Variant::FewParts, &record, trouble),
        "poison-many-parts" => poison::run(poison::Variant::ManyParts, &record, trouble),
        "late-heartbeat" => leave::run(&record, trouble),
        _ => panic!("no such case: {case}"),
    };
    // A panic means that the case could not run. Nodes are ended while it unwinds.
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run));
    let code = match result {
        Ok(broken) => u8::from(broken),
        Err(_) => 2,
    };
    record.line(&format!("exit {code}"));
    std::process::exit(code.into())
}
