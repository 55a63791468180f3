//! The entry daemon.

use burdockcleat::entry::server::EntryServer;
use burdockcleat::settings::{EntrySettings, SettingsError};
use burdockcleat::telemetry::install_logger;
use eyre::{Result, WrapErr};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

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
    signals.forever().next();
    server.drain();
    Ok(())
}
