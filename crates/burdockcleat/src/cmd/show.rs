//! `show`: prints the configuration document in force or an earlier version.

use super::{Arguments, CommandError, CommandSpec, write_json};
use std::io::Write;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "show",
    summary: "print the document in force or an earlier one",
    help: "\
Prints the document in force as it was applied, with its comments. `show --version N > FILE` and
`apply FILE` bring an earlier version back as a new one.

Usage: burdockcleat show [OPTIONS]

  --version N      print this version instead, if it is among the last 64
  --control URLS   control instances, separated by commas (default: BURDOCKCLEAT_CONTROL)
  --token TOKEN    token of operators (default: BURDOCKCLEAT_OPERATOR_TOKEN, which other users of
                   the machine cannot see)
  --timeout SECS   longest wait for a reply, 1 to 600 (default 10)
  --json           print {\"version\", \"document\"} instead of the document

Exit status: 0 printed, 1 refused, for example for a version that is not kept, 2 wrong usage,
3 no leading control instance in reach.
",
    positionals: &[],
    options: &["version", "control", "token", "timeout", "json"],
    run,
};

fn run(arguments: &Arguments, out: &mut dyn Write) -> Result<(), CommandError> {
    let version = arguments.parse_option("version")?;
    let client = arguments.client()?;
    let reply = version.map_or_else(|| client.config(), |version| client.config_at(version))?;
    match arguments.json() {
        true => write_json(out, &reply),
        false => Ok(out.write_all(reply.document.as_bytes())?),
    }
}
