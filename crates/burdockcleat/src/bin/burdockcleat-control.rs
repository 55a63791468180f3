//! Control daemon.

use burdockcleat::control::server::ControlServer;
use burdockcleat::settings::{ControlSettings, settings_or_help, shutdown_signals};
use burdockcleat::telemetry::install_logger;
use eyre::{Result, WrapErr};
use std::time::Duration;

/// Interval at which the daemon checks for signals and for a failed control thread.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

fn main() -> Result<()> {
    let flags = std::env::args_os().skip(1);
    let settings = ControlSettings::read(flags, |name| std::env::var(name).ok());
    let Some(settings) = settings_or_help(settings)? else { return Ok(()) };
    install_logger(settings.log_level, &settings.name)?;
    let mut signals = shutdown_signals().wrap_err("installing signal handlers")?;
    let server = ControlServer::bind(settings)?;
    while server.is_running() && signals.pending().next().is_none() {
        std::thread::sleep(POLL_INTERVAL);
    }
    server.stop()?;
    Ok(())
}
