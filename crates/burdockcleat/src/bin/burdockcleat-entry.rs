//! The entry daemon.

use burdockcleat::entry::server::EntryServer;
use burdockcleat::settings::{EntrySettings, SettingsError};
use burdockcleat::telemetry::install_logger;
use eyre::{Result, WrapErr};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::time::Duration;

/// Interval at which the daemon looks for signals and for a drain request.
const POLL: Duration = Duration::from_millis(100);

fn main() -> Result<()> {
    let flags = std::env::args_os().skip(1);
    let settings = match EntrySettings::read(flags, |name| std::env::var(name).ok()) {
        Err(SettingsError::Help(text)) => {
            print!("{text}");
            return Ok(());
        }
        settings => settings?,
    };
    install_logger(settings.log_level, &settings.name)?;
    let mut signals = Signals::new([SIGTERM, SIGINT]).wrap_err("installing signal handlers")?;
    let server = EntryServer::bind(settings)?;
    while !server.drain_asked() && signals.pending().next().is_none() {
        std::thread::sleep(POLL);
    }
    server.drain();
    Ok(())
}
