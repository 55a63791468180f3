//! What the daemons have in common when they start.

use super::SettingsError;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::io;

/// Prints the help text if it was asked for; otherwise returns the settings.
///
/// # Errors
/// Passes on the faults of the settings.
pub fn settings_or_help<T>(read: Result<T, SettingsError>) -> Result<Option<T>, SettingsError> {
    match read {
        Err(SettingsError::Help(text)) => {
            print!("{text}");
            Ok(None)
        }
        settings => settings.map(Some),
    }
}

/// Catches the signals that ask a daemon to shut down.
///
/// # Errors
/// Fails if the handlers cannot be installed.
pub fn shutdown_signals() -> io::Result<Signals> {
    Signals::new([SIGTERM, SIGINT])
}
