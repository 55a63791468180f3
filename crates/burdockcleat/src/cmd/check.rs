//! `check`: validates a configuration document in a file.

use super::arguments::read_document;
use super::{Arguments, CommandError, CommandSpec, write_json};
use serde_json::json;
use std::io::Write;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "check",
    summary: "validate a document file",
    help: "\
Validates a document file and reports every fault with its path and the allowed range.

Usage: burdockcleat check FILE [--json]

  --json  print {\"faults\": [{\"path\", \"message\"}], ...} instead of text

Exit status: 0 valid, 1 faults, 2 wrong usage or unreadable file.
",
    positionals: &["FILE"],
    options: &["json"],
    run,
};

fn run(arguments: &Arguments, out: &mut dyn Write) -> Result<(), CommandError> {
    let path = arguments.positional("FILE");
    let (_, document) = read_document(path)?;
    let (tiers, workspaces) = (document.tiers().len(), document.workspaces().len());
    let (pools, rules) = (document.pools().len(), document.rules().len());
    if arguments.json() {
        let counts =
            json!({"tiers": tiers, "workspaces": workspaces, "pools": pools, "rules": rules});
        return write_json(out, &json!({"faults": [], "counts": counts}));
    }
    let line = format!("{tiers} tiers, {workspaces} workspaces, {pools} pools, {rules} rules");
    Ok(writeln!(out, "{path}: valid; {line}")?)
}
