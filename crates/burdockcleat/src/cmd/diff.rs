//! `diff`: compares a document file with another file or with the configuration in force.

use super::arguments::{parse_document, read_document};
use super::{Arguments, CommandError, CommandSpec, write_json};
use serde_json::json;
use std::io::Write;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "diff",
    summary: "compare a document file with another or with the one in force",
    help: "\
Shows the changes that lead to FILE from another file or from the configuration in force.
Lines start with + (added item), - (removed item) or ~ (changed field, old -> new).

Usage: burdockcleat diff FILE [--against FILE | --control URL[,URL...]] [OPTIONS]

  --against FILE   older document
  --control URLS   compare with the configuration in force; without this option and --against,
                   BURDOCKCLEAT_CONTROL is used
  --token TOKEN    token of operators (default: BURDOCKCLEAT_OPERATOR_TOKEN, which other users of
                   the machine cannot see)
  --timeout SECS   longest wait for a reply, 1 to 600 (default 10)
  --json           print {\"base_version\", \"changes\": [...]} instead of text

Exit status: 0 compared (with or without changes), 1 a document has faults, 2 wrong usage or
unreadable file, 3 no control instance in reach.
",
    positionals: &["FILE"],
    options: &["against", "control", "token", "timeout", "json"],
    run,
};

fn run(arguments: &Arguments, out: &mut dyn Write) -> Result<(), CommandError> {
    let (_, newer) = read_document(arguments.positional("FILE"))?;
    let (older, version) = match (arguments.option("against"), arguments.option("control")) {
        (Some(_), Some(_)) => {
            return Err(arguments.usage_error("--against and --control exclude each other"));
        }
        (Some(path), None) => (read_document(path)?.1, None),
        (None, _) => {
            let reply = arguments.client()?.config()?;
            let source = format!("version {} in force", reply.version);
            (parse_document(&source, &reply.document)?, Some(reply.version))
        }
    };
    let changes = older.changes_to(&newer);
    if arguments.json() {
        return write_json(out, &json!({"base_version": version, "changes": changes}));
    }
    for change in &changes {
        writeln!(out, "{change}")?;
    }
    let base = version.map_or_else(String::new, |version| format!(" from version {version}"));
    Ok(writeln!(out, "{} changes{base}", changes.len())?)
}
