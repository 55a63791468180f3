//! `history`: lists the kept versions of the configuration.

use super::{Arguments, CommandError, CommandSpec, write_json};
use std::io::Write;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "history",
    summary: "list the kept versions of the configuration",
    help: "\
Lists the kept versions of the configuration, newest first: version, time of the leader's clock
in UTC, number of changes, author and operation id.

Usage: burdockcleat history [OPTIONS]

  --control URLS   control instances, separated by commas (default: BURDOCKCLEAT_CONTROL)
  --token TOKEN    token of operators (default: BURDOCKCLEAT_OPERATOR_TOKEN, which other users of
                   the machine cannot see)
  --timeout SECS   longest wait for a reply, 1 to 600 (default 10)
  --json           print {\"versions\": [...]} instead of text

Exit status: 0 listed, 1 refused, 2 wrong usage, 3 no leading control instance in reach.
",
    positionals: &[],
    options: &["control", "token", "timeout", "json"],
    run,
};

fn run(arguments: &Arguments, out: &mut dyn Write) -> Result<(), CommandError> {
    let reply = arguments.client()?.history()?;
    if arguments.json() {
        return write_json(out, &reply);
    }
    for entry in &reply.versions {
        let (version, time, changes) = (entry.version, entry.time_rfc3339(), entry.changes);
        let (author, operation) = (&entry.author, &entry.operation_id);
        writeln!(out, "{version:>8}  {time}  {changes:>5} changes  {author}  {operation}")?;
    }
    Ok(())
}
