//! Process settings, read from command-line flags and environment variables.
//!
//! The flag `--link-listen` corresponds to the environment variable `BURDOCKCLEAT_LINK_LISTEN` and
//! takes precedence over it. All settings are read and validated before anything starts, and every
//! error is reported.

mod control;
mod entry;
mod startup;

pub use control::ControlSettings;
pub use entry::EntrySettings;
pub use startup::{settings_or_help, shutdown_signals};

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use thiserror::Error;

/// Description of one setting.
#[derive(Clone, Copy, Debug)]
pub struct SettingSpec {
    /// Name of the flag, without the leading dashes.
    pub name: &'static str,
    /// Description of the value for `--help`.
    pub help: &'static str,
    /// Default value. A setting without one is required.
    pub default: Option<&'static str>,
}

/// One error in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum InvalidSetting {
    /// The flag does not exist.
    #[error("unknown flag {0}")]
    Unknown(String),
    /// The flags could not be parsed, for example because a value is missing.
    #[error("reading the flags: {0}")]
    Flag(String),
    /// A required setting is missing. Names its flag and its environment variable.
    #[error("--{0} (or {1}) is required")]
    Missing(&'static str, String),
    /// The value of a setting is invalid.
    #[error("--{name}: `{value}` is not {expected}")]
    Value {
        /// Name of the setting.
        name: &'static str,
        /// The value that was given.
        value: String,
        /// Description of a valid value.
        expected: &'static str,
    },
}

/// Reason why reading the settings ended without settings.
#[derive(Debug)]
#[derive(Error)]
pub enum SettingsError {
    /// `--help` was requested. Holds the text to print on standard output.
    #[error("{0}")]
    Help(String),
    /// The settings are invalid.
    #[error("invalid settings:{}", ErrorList(.0))]
    Invalid(Vec<InvalidSetting>),
}

/// Formats each error on a line of its own.
struct ErrorList<'a>(&'a [InvalidSetting]);

impl fmt::Display for ErrorList<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|error| write!(formatter, "\n  {error}"))
    }
}

/// Reads settings by name and collects their errors.
pub struct SettingsReader {
    values: BTreeMap<&'static str, String>,
    errors: Vec<InvalidSetting>,
}

impl SettingsReader {
    /// Reads each setting from its flag, its environment variable or its default, in this order.
    ///
    /// # Errors
    /// Returns the help text if `--help` is among the flags.
    pub fn read(
        program: &str,
        specs: &[SettingSpec],
        flags: impl IntoIterator<Item = OsString>,
        environment: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, SettingsError> {
        let mut reader = Self { values: BTreeMap::new(), errors: Vec::new() };
        reader.read_flags(program, specs, flags)?;
        for spec in specs {
            if reader.values.contains_key(spec.name) {
                continue;
            }
            let value =
                environment(&environment_variable(spec.name)).or(spec.default.map(String::from));
            match value {
                Some(value) => {
                    reader.values.insert(spec.name, value);
                }
                None => reader
                    .errors
                    .push(InvalidSetting::Missing(spec.name, environment_variable(spec.name))),
            }
        }
        Ok(reader)
    }

    /// Reads the flags up to the first one that cannot be parsed.
    fn read_flags(
        &mut self,
        program: &str,
        specs: &[SettingSpec],
        flags: impl IntoIterator<Item = OsString>,
    ) -> Result<(), SettingsError> {
        let mut parser = lexopt::Parser::from_args(flags);
        loop {
            match parser.next() {
                Ok(None) => return Ok(()),
                Ok(Some(lexopt::Arg::Long("help") | lexopt::Arg::Short('h'))) => {
                    return Err(SettingsError::Help(help_text(program, specs)));
                }
                Ok(Some(lexopt::Arg::Long(name))) => {
                    let Some(spec) = specs.iter().find(|spec| spec.name == name) else {
                        self.errors.push(InvalidSetting::Unknown(format!("--{name}")));
                        // A value attached with `=` must be consumed before the next flag is read.
                        let _ = parser.optional_value();
                        continue;
                    };
                    match parser.value().map(OsString::into_string) {
                        Ok(Ok(value)) => {
                            self.values.insert(spec.name, value);
                        }
                        Ok(Err(_)) => self.errors.push(InvalidSetting::Value {
                            name: spec.name,
                            value: "(not Unicode)".into(),
                            expected: "valid Unicode",
                        }),
                        Err(error) => self.errors.push(InvalidSetting::Flag(error.to_string())),
                    }
                }
                Ok(Some(other)) => {
                    self.errors.push(InvalidSetting::Unknown(format!("{other:?}")));
                }
                Err(error) => {
                    self.errors.push(InvalidSetting::Flag(error.to_string()));
                    return Ok(());
                }
            }
        }
    }

    /// Returns the value of a setting, or an empty string if it is missing.
    pub fn text(&mut self, name: &'static str) -> String {
        self.values.get(name).cloned().unwrap_or_default()
    }

    /// Returns a value that must not be empty.
    pub fn nonempty(&mut self, name: &'static str) -> String {
        let value = self.text(name);
        if value.is_empty() && self.values.contains_key(name) {
            self.errors.push(InvalidSetting::Value { name, value, expected: "a non-empty text" });
            return String::new();
        }
        value
    }

    /// Parses a value. Returns `None` if it is missing or invalid.
    pub fn parsed<T: FromStr>(&mut self, name: &'static str, expected: &'static str) -> Option<T> {
        let value = self.values.get(name)?;
        let Ok(parsed) = value.parse() else {
            let value = value.clone();
            self.errors.push(InvalidSetting::Value { name, value, expected });
            return None;
        };
        Some(parsed)
    }

    /// Parses a comma-separated list of addresses.
    pub fn addresses(&mut self, name: &'static str) -> Vec<SocketAddr> {
        let text = self.text(name);
        let mut addresses = Vec::new();
        for part in text.split(',').map(str::trim).filter(|part| !part.is_empty()) {
            match part.parse() {
                Ok(address) => addresses.push(address),
                Err(_) => self.errors.push(InvalidSetting::Value {
                    name,
                    value: part.into(),
                    expected: "an address such as 10.0.0.1:7000",
                }),
            }
        }
        addresses
    }

    /// Returns the settings if no error was found.
    ///
    /// # Errors
    /// Returns all errors that were found.
    pub fn finish<T>(self, settings: Option<T>) -> Result<T, SettingsError> {
        match settings {
            Some(settings) if self.errors.is_empty() => Ok(settings),
            _ => Err(SettingsError::Invalid(self.errors)),
        }
    }
}

/// Returns the name of the environment variable for a setting.
fn environment_variable(name: &str) -> String {
    format!("BURDOCKCLEAT_{}", name.replace('-', "_").to_uppercase())
}

fn help_text(program: &str, specs: &[SettingSpec]) -> String {
    let mut text = format!("Usage: {program} [--SETTING VALUE]...\n\nSettings:\n");
    for spec in specs {
        let default = match spec.default {
            Some("") => " [optional]".to_owned(),
            Some(default) => format!(" [default: {default}]"),
            None => " [required]".to_owned(),
        };
        text.push_str(&format!("  --{:<18} {}{default}\n", spec.name, spec.help));
    }
    text.push_str("\nEach setting may be given as environment variable BURDOCKCLEAT_<SETTING>.\n");
    text
}
