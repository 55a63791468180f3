//! The operators' command line: one module per subcommand.

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

const HEAD: &str = "\
Operates burdockcleat: checks, compares and applies the configuration, shows the state.

Usage: burdockcleat COMMAND [VALUES] [OPTIONS]
       burdockcleat COMMAND --help

Commands:
";

const TAIL: &str = "
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

/// Runs the command that the arguments name.
///
/// # Errors
/// The exit status of an error is [`CommandError::exit_status`].
pub fn run(mut parser: Parser, out: &mut dyn Write) -> Result<(), CommandError> {
    let Some(first) = parser.next()? else {
        return Err(CommandError::Usage(format!("no command given\n\n{}", overview())));
    };
    let name = match first {
        lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => {
            return Ok(out.write_all(overview().as_bytes())?);
        }
        lexopt::Arg::Value(name) => name.to_string_lossy().into_owned(),
        other => return Err(other.unexpected().into()),
    };
    let spec = COMMANDS.into_iter().find(|spec| spec.name == name).ok_or_else(|| {
        CommandError::Usage(format!("there is no command {name:?}\n\n{}", overview()))
    })?;
    let Some(arguments) = Arguments::read(spec, parser)? else {
        return Ok(out.write_all(spec.help.as_bytes())?);
    };
    let result = (spec.run)(&arguments, out);
    if let (Err(error), true) = (&result, arguments.json()) {
        write_json(out, &error.to_json())?;
    }
    result
}

fn overview() -> String {
    let lines: String =
        COMMANDS.iter().map(|spec| format!("  {:8} {}\n", spec.name, spec.summary)).collect();
    format!("{HEAD}{lines}{TAIL}")
}

/// Writes a value as one line of JSON.
fn write_json<T: serde::Serialize>(out: &mut dyn Write, value: &T) -> Result<(), CommandError> {
    // Encoding fails only for maps with keys that are no strings; the outputs have none.
    let text = serde_json::to_string(value).unwrap_or_default();
    Ok(writeln!(out, "{text}")?)
}

/// Reports progress on standard error, which keeps standard output for the result.
fn progress(message: &str) {
    eprintln!("burdockcleat: {message}");
}
