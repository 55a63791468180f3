//! `drain`: starts draining an entry or a target.

use super::wait::wait_until;
use super::{Arguments, CommandError, CommandSpec, print_progress, write_json};
use crate::operator::{DrainKind, DrainRequest, StatusReply};
use serde_json::json;
use std::io::Write;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "drain",
    summary: "ask an entry or a target to drain",
    help: "\
Asks an entry to stop accepting callers, or stops new work for a target. Requests that run there
are finished.

Usage: burdockcleat drain entry NAME [OPTIONS]
       burdockcleat drain target NAME [OPTIONS]

  --operation-id ID   id of the request (default: random); a resend with the same id has no
                      further effect
  --author NAME       who asks (default: $USER)
  --wait SECS         wait until nothing runs there any more
  --control URLS      control instances, separated by commas (default: BURDOCKCLEAT_CONTROL)
  --token TOKEN       token of operators (default: BURDOCKCLEAT_OPERATOR_TOKEN, which other users
                      of the machine cannot see)
  --timeout SECS      longest wait for a reply, 1 to 600 (default 10)
  --json              print {\"running\", \"operation_id\"} instead of text

Exit status: 0 draining (with --wait: drained), 1 refused, for example for an unknown name,
2 wrong usage, 3 no leading control instance in reach, 4 the reply was lost: run the same command
again with the printed --operation-id, 5 requests still run there after --wait.
",
    positionals: &["KIND", "NAME"],
    options: &["operation-id", "author", "wait", "control", "token", "timeout", "json"],
    run,
};

fn run(arguments: &Arguments, out: &mut dyn Write) -> Result<(), CommandError> {
    let kind = match arguments.positional("KIND") {
        "entry" => DrainKind::Entry,
        "target" => DrainKind::Target,
        other => {
            return Err(arguments.usage_error(&format!("{other:?} is neither entry nor target")));
        }
    };
    let wait = arguments.wait_limit()?;
    let (name, author) = (arguments.positional("NAME").to_owned(), arguments.author());
    let request = DrainRequest { kind, name, operation_id: arguments.operation_id()?, author };
    let client = arguments.client()?;
    print_progress(&format!("operation id {}", request.operation_id));
    let running = client.drain(&request)?.running;
    if arguments.json() {
        write_json(out, &json!({"running": running, "operation_id": request.operation_id}))?;
    } else {
        writeln!(out, "{} is draining; {running} requests are running there", request.name)?;
    }
    wait.map_or(Ok(()), |limit| {
        wait_until(&client, limit, |status| drain_progress(status, &request))
    })
}

/// Returns `Ok` once no requests run at the entry or target, and otherwise how many do.
///
/// An entry or target that the status does not list counts as drained.
fn drain_progress(status: &StatusReply, request: &DrainRequest) -> Result<(), String> {
    let running = match request.kind {
        DrainKind::Entry => {
            status.entries.iter().find(|item| item.name == request.name).map(|item| item.running)
        }
        DrainKind::Target => {
            status.targets.iter().find(|item| item.name == request.name).map(|item| item.running)
        }
    };
    match running.unwrap_or(0) {
        0 => Ok(()),
        running => Err(format!("{running} requests are running at {}", request.name)),
    }
}
