//! `dump`: prints the state of one process.

use super::{Arguments, CommandError, CommandSpec};
use crate::operator::{ClientError, fetch, paths};
use std::io::Write;

/// Path of the dump on the operator port of an entry.
const ENTRY_DUMP: &str = "/dump";

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "dump",
    summary: "print the whole state of one process",
    help: "\
Prints the state of the process at URL as JSON. Other processes are not asked.

Usage: burdockcleat dump URL [OPTIONS]

  URL              http://host:port of a control instance, or of the operator port of an entry;
                   with a path, exactly this path is read
  --token TOKEN    token of operators (default: BURDOCKCLEAT_OPERATOR_TOKEN, which other users of
                   the machine cannot see)
  --timeout SECS   longest wait for the reply, 1 to 600 (default 10)
  --json           accepted as for other commands; the output is always JSON

Exit status: 0 printed, 1 refused, 2 wrong usage, 3 the process is not in reach.
",
    positionals: &["URL"],
    options: &["token", "timeout", "json"],
    run,
};

fn run(arguments: &Arguments, out: &mut dyn Write) -> Result<(), CommandError> {
    let url = arguments.positional("URL").trim_end_matches('/');
    let settings = arguments.client_settings()?;
    let token = arguments.token();
    let fetch = |url: &str| fetch(url, token.as_deref(), settings);
    let has_path = url.strip_prefix("http://").is_some_and(|rest| rest.contains('/'));
    let text = if has_path {
        fetch(url)?
    } else {
        // The URL may belong to a control instance or to an entry, which have different paths.
        match fetch(&format!("{url}{}", paths::DUMP)) {
            Err(ClientError::Refused { status: 404, .. }) => fetch(&format!("{url}{ENTRY_DUMP}"))?,
            other => other?,
        }
    };
    Ok(writeln!(out, "{}", text.trim_end())?)
}
