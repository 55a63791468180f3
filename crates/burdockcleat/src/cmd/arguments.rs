//! Reads the values and options of a subcommand.

use super::{CommandError, progress};
use crate::operator::{ClientError, ClientSettings, OperatorClient, is_operation_id};
use burdockcleat_core::document::ConfigDocument;
use lexopt::{Arg, Parser, ValueExt};
use std::collections::BTreeMap;
use std::env;
use std::fs;
use std::io::Write;
use std::str::FromStr;
use std::time::Duration;

/// Environment variable with the URLs of the control instances.
const CONTROL_VARIABLE: &str = "BURDOCKCLEAT_CONTROL";

/// Environment variable with the operators' token.
const TOKEN_VARIABLE: &str = "BURDOCKCLEAT_OPERATOR_TOKEN";

/// Options without a value.
const FLAGS: [&str; 1] = ["json"];

/// A subcommand.
pub struct CommandSpec {
    /// Name on the command line.
    pub name: &'static str,
    /// One line for the overview.
    pub summary: &'static str,
    /// Text of `--help`.
    pub help: &'static str,
    /// Names of the values, all required.
    pub values: &'static [&'static str],
    /// Names of the options.
    pub options: &'static [&'static str],
    /// The command itself.
    pub run: fn(&Arguments, &mut dyn Write) -> Result<(), CommandError>,
}

/// Values and options of a subcommand.
pub struct Arguments {
    command: &'static str,
    names: &'static [&'static str],
    values: Vec<String>,
    options: BTreeMap<&'static str, String>,
}

impl Arguments {
    /// Reads the rest of the command line; `None` if it asks for help.
    pub(super) fn read(
        spec: &'static CommandSpec,
        mut parser: Parser,
    ) -> Result<Option<Self>, CommandError> {
        let (command, names) = (spec.name, spec.values);
        let mut arguments = Self { command, names, values: Vec::new(), options: BTreeMap::new() };
        while let Some(argument) = parser.next()? {
            match argument {
                Arg::Long("help") | Arg::Short('h') => return Ok(None),
                Arg::Value(value) if arguments.values.len() < names.len() => {
                    arguments.values.push(value.string()?);
                }
                Arg::Long(name) => {
                    let Some(name) = spec.options.iter().find(|known| **known == name) else {
                        return Err(argument.unexpected().into());
                    };
                    let value = if FLAGS.contains(name) {
                        String::new()
                    } else {
                        parser.value()?.string()?
                    };
                    if arguments.options.insert(name, value).is_some() {
                        return Err(arguments.usage(&format!("--{name} is given twice")));
                    }
                }
                other => return Err(other.unexpected().into()),
            }
        }
        match names.get(arguments.values.len()) {
            Some(missing) => Err(arguments.usage(&format!("{missing} is missing"))),
            None => Ok(Some(arguments)),
        }
    }

    /// An error of usage that points to the help of the command.
    pub(super) fn usage(&self, message: &str) -> CommandError {
        CommandError::Usage(format!("{message}; see burdockcleat {} --help", self.command))
    }

    /// The value of this name. All values are present after reading.
    pub(super) fn value(&self, name: &str) -> &str {
        let position = self.names.iter().position(|known| *known == name);
        position.and_then(|position| self.values.get(position)).map_or("", String::as_str)
    }

    pub(super) fn option(&self, name: &str) -> Option<&str> {
        self.options.get(name).map(String::as_str)
    }

    /// Reads an option as a number or another type.
    pub(super) fn parsed<T: FromStr>(&self, name: &str) -> Result<Option<T>, CommandError> {
        self.option(name)
            .map(|text| {
                text.parse().map_err(|_| self.usage(&format!("--{name} cannot be {text:?}")))
            })
            .transpose()
    }

    pub(super) fn json(&self) -> bool {
        self.options.contains_key("json")
    }

    /// Time of `--wait`.
    pub(super) fn wait(&self) -> Result<Option<Duration>, CommandError> {
        Ok(self.parsed("wait")?.map(Duration::from_secs))
    }

    /// Who runs the command, for the history.
    pub(super) fn author(&self) -> String {
        let user = || env::var("USER").ok().filter(|name| !name.is_empty());
        self.option("author").map(str::to_owned).or_else(user).unwrap_or_else(|| "unknown".into())
    }

    /// The operation id of `--operation-id`, or a new one.
    pub(super) fn operation_id(&self) -> Result<String, CommandError> {
        let Some(id) = self.option("operation-id") else {
            return Ok(format!("{:032x}", rand::random::<u128>()));
        };
        if !is_operation_id(id) {
            let text = "--operation-id must have 1 to 128 printable characters without spaces";
            return Err(self.usage(text));
        }
        Ok(id.to_owned())
    }

    /// Times of the client, with the reply timeout of `--timeout`.
    pub(super) fn client_settings(&self) -> Result<ClientSettings, CommandError> {
        let mut settings = ClientSettings::default();
        if let Some(seconds) = self.parsed::<u64>("timeout")? {
            if !(1..=600).contains(&seconds) {
                return Err(self.usage("--timeout must be 1 to 600 seconds"));
            }
            settings.reply_timeout = Duration::from_secs(seconds);
        }
        Ok(settings)
    }

    /// Token of `--token`, or else of the environment.
    pub(super) fn token(&self) -> Option<String> {
        let variable = || env::var(TOKEN_VARIABLE).ok();
        self.option("token").map(str::to_owned).or_else(variable).filter(|token| !token.is_empty())
    }

    /// Opens a client for `--control`, or else for the URLs in the environment.
    pub(super) fn client(&self) -> Result<OperatorClient, CommandError> {
        let variable = || env::var(CONTROL_VARIABLE).ok();
        let list = self.option("control").map(str::to_owned).or_else(variable).unwrap_or_default();
        let urls: Vec<String> = list
            .split(',')
            .map(str::trim)
            .filter(|url| !url.is_empty())
            .map(str::to_owned)
            .collect();
        let client = OperatorClient::open(&urls, self.client_settings()?);
        let client = client.map(|client| client.with_token(self.token()));
        client.map(|client| client.with_notice(progress)).map_err(|error| match error {
            ClientError::NoUrl | ClientError::BadUrl(_) => self.usage(&error.to_string()),
            other => CommandError::Client(other),
        })
    }
}

/// Reads a file.
pub(super) fn read_file(path: &str) -> Result<String, CommandError> {
    fs::read_to_string(path).map_err(|source| CommandError::File { path: path.to_owned(), source })
}

/// Reads and validates a document file.
pub(super) fn read_document(path: &str) -> Result<(String, ConfigDocument), CommandError> {
    let text = read_file(path)?;
    let document = parse_document(path, &text)?;
    Ok((text, document))
}

/// Validates a document; `source` says where it comes from.
pub(super) fn parse_document(source: &str, text: &str) -> Result<ConfigDocument, CommandError> {
    ConfigDocument::parse(text).map_err(|faults| CommandError::Faults {
        source_name: source.to_owned(),
        faults: faults.iter().map(Into::into).collect(),
    })
}
