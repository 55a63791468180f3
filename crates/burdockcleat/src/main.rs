//! Command line for operators.

use burdockcleat::cmd::{self, CommandError};
use std::io::{self, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let Err(report) = run() else { return ExitCode::SUCCESS };
    let error = report.downcast_ref::<CommandError>();
    if error.is_some_and(CommandError::is_broken_pipe) {
        return ExitCode::SUCCESS;
    }
    eprintln!("burdockcleat: {report:#}");
    ExitCode::from(error.map_or(2, |error| error.exit_status() as u8))
}

fn run() -> eyre::Result<()> {
    let mut out = io::stdout().lock();
    cmd::run(lexopt::Parser::from_env(), &mut out)?;
    out.flush().map_err(CommandError::Output)?;
    Ok(())
}
