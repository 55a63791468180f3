//! `apply`: applies a configuration document.

use super::arguments::read_document;
use super::wait::wait_until;
use super::{Arguments, CommandError, CommandSpec, print_progress, write_json};
use crate::operator::{ApplyRequest, StatusReply};
use serde_json::json;
use std::io::Write;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "apply",
    summary: "put a document file into force",
    help: "\
Puts FILE into force if version BASE is still in force, and prints the new version.

Usage: burdockcleat apply FILE --base VERSION [OPTIONS]

  --base VERSION      version that the edit started from; `diff` and `status` show it
  --operation-id ID   id of the edit, 1 to 128 printable characters (default: random). A resend
                      with the same id gets the first result and applies nothing twice
  --author NAME       who makes the edit, for the history (default: $USER)
  --wait SECS         wait until every entry reports the new version
  --control URLS      control instances, separated by commas (default: BURDOCKCLEAT_CONTROL)
  --token TOKEN       token of operators (default: BURDOCKCLEAT_OPERATOR_TOKEN, which other users
                      of the machine cannot see)
  --timeout SECS      longest wait for a reply, 1 to 600 (default 10)
  --json              print {\"version\", \"operation_id\"} instead of text

Exit status: 0 in force, 1 faults or conflict, 2 wrong usage or unreadable file, 3 no leading
control instance in reach (not applied), 4 the reply was lost: the document may be in force;
run the same command again with the printed --operation-id, 5 in force, but not yet reported by
every entry after --wait.
",
    positionals: &["FILE"],
    options: &["base", "operation-id", "author", "wait", "control", "token", "timeout", "json"],
    run,
};

fn run(arguments: &Arguments, out: &mut dyn Write) -> Result<(), CommandError> {
    let base_version = arguments
        .parse_option("base")?
        .ok_or_else(|| arguments.usage_error("--base is missing"))?;
    let wait = arguments.wait_limit()?;
    let operation_id = arguments.operation_id()?;
    let (document, _) = read_document(arguments.positional("FILE"))?;
    let client = arguments.client()?;
    // Printed before the request is sent, so the id is known even if this command is interrupted.
    print_progress(&format!("operation id {operation_id}"));
    let author = arguments.author();
    let request = ApplyRequest { base_version, operation_id, author, document };
    let version = client.apply(&request)?.version;
    if arguments.json() {
        let reply = json!({"version": version, "operation_id": request.operation_id});
        write_json(out, &reply)?;
    } else {
        writeln!(out, "version {version} is in force")?;
    }
    wait.map_or(Ok(()), |limit| {
        wait_until(&client, limit, |status| rollout_progress(status, version))
    })
}

/// Returns `Ok` once every entry reports the version or a later one, and otherwise how many do.
fn rollout_progress(status: &StatusReply, version: u64) -> Result<(), String> {
    let total = status.entries.len();
    let updated = status.entries.iter().filter(|entry| entry.config_version >= version).count();
    if updated == total {
        return Ok(());
    }
    Err(format!("{updated} of {total} entries have version {version}"))
}
