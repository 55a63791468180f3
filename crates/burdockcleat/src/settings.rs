//! Settings of a process, from flags and environment variables.
//!
//! A flag `--link-listen` has the environment variable `BURDOCKCLEAT_LINK_LISTEN`; the flag
//! wins. All settings are read and checked before anything starts, and every fault is reported.

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

/// One setting that a process knows.
#[derive(Clone, Copy, Debug)]
pub struct SettingSpec {
    /// Name of the flag without dashes.
    pub name: &'static str,
    /// What the value means, for `--help`.
    pub help: &'static str,
    /// Value that is used if none is given; a setting without one is required.
    pub default: Option<&'static str>,
}

/// One fault in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Error)]
pub enum SettingFault {
    /// A flag that the process does not know.
    #[error("unknown flag {0}")]
    Unknown(String),
    /// A flag without its value, or a value that is not valid Unicode.
    #[error("reading the flags: {0}")]
    Flag(String),
    /// A required setting is missing.
    #[error("--{0} (or {1}) is required")]
    Missing(&'static str, String),
    /// A value that does not parse.
    #[error("--{name}: `{value}` is not {expected}")]
    Value {
        /// Name of the setting.
        name: &'static str,
        /// Value as given.
        value: String,
        /// What the value must be.
        expected: &'static str,
    },
}

/// Why a process does not start.
#[derive(Debug)]
#[derive(Error)]
pub enum SettingsError {
    /// `--help` was asked for; the text belongs on standard output.
    #[error("{0}")]
    Help(String),
    /// The settings have faults.
    #[error("checking the settings:{}", FaultList(.0))]
    Faults(Vec<SettingFault>),
}

struct FaultList<'a>(&'a [SettingFault]);

impl fmt::Display for FaultList<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|fault| write!(formatter, "\n  {fault}"))
    }
}

/// Reads settings by name and collects the faults.
pub struct SettingsReader {
    values: BTreeMap<&'static str, String>,
    faults: Vec<SettingFault>,
}

impl SettingsReader {
    /// Reads flags and, where a flag is missing, the environment, then the defaults.
    ///
    /// # Errors
    /// Fails if `--help` is among the flags.
    pub fn read(
        program: &str,
        specs: &[SettingSpec],
        flags: impl IntoIterator<Item = OsString>,
        environment: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, SettingsError> {
        let mut reader = Self { values: BTreeMap::new(), faults: Vec::new() };
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
                    .faults
                    .push(SettingFault::Missing(spec.name, environment_variable(spec.name))),
            }
        }
        Ok(reader)
    }

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
                        self.faults.push(SettingFault::Unknown(format!("--{name}")));
                        // A value attached with `=` must be taken before the next flag.
                        let _ = parser.optional_value();
                        continue;
                    };
                    match parser.value().map(OsString::into_string) {
                        Ok(Ok(value)) => {
                            self.values.insert(spec.name, value);
                        }
                        Ok(Err(_)) => self.faults.push(SettingFault::Value {
                            name: spec.name,
                            value: "(not Unicode)".into(),
                            expected: "valid Unicode",
                        }),
                        Err(error) => self.faults.push(SettingFault::Flag(error.to_string())),
                    }
                }
                Ok(Some(other)) => {
                    self.faults.push(SettingFault::Unknown(format!("{other:?}")));
                }
                Err(error) => {
                    self.faults.push(SettingFault::Flag(error.to_string()));
                    return Ok(());
                }
            }
        }
    }

    /// The value of a setting, or an empty string if it is missing.
    pub fn text(&mut self, name: &'static str) -> String {
        self.values.get(name).cloned().unwrap_or_default()
    }

    /// A value that must not be empty.
    pub fn nonempty(&mut self, name: &'static str) -> String {
        let value = self.text(name);
        if value.is_empty() && self.values.contains_key(name) {
            self.faults.push(SettingFault::Value { name, value, expected: "a non-empty text" });
            return String::new();
        }
        value
    }

    /// A value of another type.
    pub fn parsed<T: FromStr>(&mut self, name: &'static str, expected: &'static str) -> Option<T> {
        let value = self.values.get(name)?;
        let Ok(parsed) = value.parse() else {
            let value = value.clone();
            self.faults.push(SettingFault::Value { name, value, expected });
            return None;
        };
        Some(parsed)
    }

    /// A list of addresses, separated by commas.
    pub fn addresses(&mut self, name: &'static str) -> Vec<SocketAddr> {
        let text = self.text(name);
        let mut addresses = Vec::new();
        for part in text.split(',').map(str::trim).filter(|part| !part.is_empty()) {
            match part.parse() {
                Ok(address) => addresses.push(address),
                Err(_) => self.faults.push(SettingFault::Value {
                    name,
                    value: part.into(),
                    expected: "an address such as 10.0.0.1:7000",
                }),
            }
        }
        addresses
    }

    /// Builds the settings unless there are faults.
    ///
    /// # Errors
    /// Returns every fault that was found.
    pub fn finish<T>(self, settings: Option<T>) -> Result<T, SettingsError> {
        match settings {
            Some(settings) if self.faults.is_empty() => Ok(settings),
            _ => Err(SettingsError::Faults(self.faults)),
        }
    }
}

/// Name of the environment variable of a setting.
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
