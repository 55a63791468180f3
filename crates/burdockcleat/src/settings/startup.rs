//! Startup helpers shared by the daemons.

use super::SettingsError;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::io;

/// Returns the settings, or prints the help text and returns `None` if `--help` was given.
///
/// # Errors
/// Returns the errors of the settings.
pub fn settings_or_help<T>(read: Result<T, SettingsError>) -> Result<Option<T>, SettingsError> {
    match read {
        Err(SettingsError::Help(text)) => {
            print!("{text}");
            Ok(None)
        }
        settings => settings.map(Some),
    }
}

/// Installs handlers for the signals that ask a daemon to shut down.
///
/// # Errors
/// Fails if the handlers cannot be installed.
pub fn shutdown_signals() -> io::Result<Signals> {
    Signals::new([SIGTERM, SIGINT])
}
