//! Command line for operators, with one module per subcommand.

mod apply;
mod arguments;
mod check;
mod diff;
mod drain;
mod dump;
mod error;
mod history;
mod order;
mod show;
mod status;
mod wait;

pub use arguments::{Arguments, CommandSpec};
pub use error::{CommandError, ExitStatus};

use lexopt::Parser;
use std::io::Write;

/// Subcommands in the order of the help text.
const COMMANDS: [&CommandSpec; 9] = [
    &check::SPEC,
    &show::SPEC,
    &diff::SPEC,
    &apply::SPEC,
    &status::SPEC,
    &history::SPEC,
    &dump::SPEC,
    &drain::SPEC,
    &order::SPEC,
];

/// Help text before the list of subcommands.
const HELP_HEADER: &str = "\
Operates burdockcleat: checks, compares and applies the configuration, shows the state.

Usage: burdockcleat COMMAND [VALUES] [OPTIONS]
       burdockcleat COMMAND --help

Commands:
";

/// Help text after the list of subcommands.
const HELP_FOOTER: &str = "
Environment:
  BURDOCKCLEAT_CONTROL         URLs of the control instances, separated by commas, used without
                               --control
  BURDOCKCLEAT_OPERATOR_TOKEN  token of operators, used without --token

With --json, an error is printed as {\"error\", ...} on standard output as well.

Exit status:
  0  done
  1  refused: the document has faults, or another edit came first (conflict)
  2  wrong usage, or a file that cannot be read
  3  no leading control instance in reach; nothing has taken effect
  4  the reply was lost and the outcome is unknown; resend with the same --operation-id
  5  the time of --wait passed; the request itself has taken effect
";

/// Parses the command line and runs the subcommand that it names.
///
/// Writes the result to `out`. With `--json`, an error of the subcommand is written there too.
///
/// # Errors
/// Returns the error of the command line or of the subcommand; [`CommandError::exit_status`] maps
/// it to an exit status.
pub fn run(mut parser: Parser, out: &mut dyn Write) -> Result<(), CommandError> {
    let Some(first) = parser.next()? else {
        return Err(CommandError::Usage(format!("no command given\n\n{}", help_text())));
    };
    let name = match first {
        lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => {
            return Ok(out.write_all(help_text().as_bytes())?);
        }
        lexopt::Arg::Value(name) => name.to_string_lossy().into_owned(),
        other => return Err(other.unexpected().into()),
    };
    let spec = COMMANDS.into_iter().find(|spec| spec.name == name).ok_or_else(|| {
        CommandError::Usage(format!("there is no command {name:?}\n\n{}", help_text()))
    })?;
    let Some(arguments) = Arguments::parse(spec, parser)? else {
        return Ok(out.write_all(spec.help.as_bytes())?);
    };
    let result = (spec.run)(&arguments, out);
    if let (Err(error), true) = (&result, arguments.json()) {
        write_json(out, &error.to_json())?;
    }
    result
}

/// Returns the text of `burdockcleat --help`, with one line per subcommand.
fn help_text() -> String {
    let lines: String =
        COMMANDS.iter().map(|spec| format!("  {:8} {}\n", spec.name, spec.summary)).collect();
    format!("{HELP_HEADER}{lines}{HELP_FOOTER}")
}

/// Writes a value as one line of JSON.
fn write_json<T: serde::Serialize>(out: &mut dyn Write, value: &T) -> Result<(), CommandError> {
    // Serialization fails only for maps whose keys are not strings; no output contains one.
    let text = serde_json::to_string(value).unwrap_or_default();
    Ok(writeln!(out, "{text}")?)
}

/// Prints a progress message on standard error; standard output carries only the result.
fn print_progress(message: &str) {
    eprintln!("burdockcleat: {message}");
}
