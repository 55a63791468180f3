//! Entry daemon.

use burdockcleat::entry::server::EntryServer;
use burdockcleat::settings::{EntrySettings, settings_or_help, shutdown_signals};
use burdockcleat::telemetry::install_logger;
use eyre::{Result, WrapErr};
use std::time::Duration;

/// Interval at which the daemon checks for signals and for a drain request.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

fn main() -> Result<()> {
    let flags = std::env::args_os().skip(1);
    let settings = EntrySettings::read(flags, |name| std::env::var(name).ok());
    let Some(settings) = settings_or_help(settings)? else { return Ok(()) };
    install_logger(settings.log_level, &settings.name)?;
    let mut signals = shutdown_signals().wrap_err("installing signal handlers")?;
    let server = EntryServer::bind(settings)?;
    while !server.drain_requested() && signals.pending().next().is_none() {
        std::thread::sleep(POLL_INTERVAL);
    }
    server.drain();
    Ok(())
}
