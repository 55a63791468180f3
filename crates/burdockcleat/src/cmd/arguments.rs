//! Parses the positional arguments and options of a subcommand.

use super::{CommandError, print_progress};
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

/// Environment variable with the operator token.
const TOKEN_VARIABLE: &str = "BURDOCKCLEAT_OPERATOR_TOKEN";

/// Options that take no value.
const FLAGS: [&str; 1] = ["json"];

/// Definition of a subcommand.
pub struct CommandSpec {
    /// Name on the command line.
    pub name: &'static str,
    /// One-line summary for `burdockcleat --help`.
    pub summary: &'static str,
    /// Text that `burdockcleat NAME --help` prints.
    pub help: &'static str,
    /// Names of the positional arguments, all of them required.
    pub positionals: &'static [&'static str],
    /// Names of the accepted options, without the leading dashes.
    pub options: &'static [&'static str],
    /// Function that runs the command and writes its result.
    pub run: fn(&Arguments, &mut dyn Write) -> Result<(), CommandError>,
}

/// Parsed positional arguments and options of a subcommand.
pub struct Arguments {
    command: &'static str,
    positional_names: &'static [&'static str],
    positionals: Vec<String>,
    options: BTreeMap<&'static str, String>,
}

impl Arguments {
    /// Parses the rest of the command line; returns `None` if it asks for help.
    pub(super) fn parse(
        spec: &'static CommandSpec,
        mut parser: Parser,
    ) -> Result<Option<Self>, CommandError> {
        let (command, positional_names) = (spec.name, spec.positionals);
        let mut arguments =
            Self { command, positional_names, positionals: Vec::new(), options: BTreeMap::new() };
        while let Some(argument) = parser.next()? {
            match argument {
                Arg::Long("help") | Arg::Short('h') => return Ok(None),
                Arg::Value(value) if arguments.positionals.len() < positional_names.len() => {
                    arguments.positionals.push(value.string()?);
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
                        return Err(arguments.usage_error(&format!("--{name} is given twice")));
                    }
                }
                other => return Err(other.unexpected().into()),
            }
        }
        match positional_names.get(arguments.positionals.len()) {
            Some(missing) => Err(arguments.usage_error(&format!("{missing} is missing"))),
            None => Ok(Some(arguments)),
        }
    }

    /// Returns a usage error that points to the help of the command.
    pub(super) fn usage_error(&self, message: &str) -> CommandError {
        CommandError::Usage(format!("{message}; see burdockcleat {} --help", self.command))
    }

    /// Returns a positional argument by name. Parsing ensures that all of them are present.
    pub(super) fn positional(&self, name: &str) -> &str {
        let position = self.positional_names.iter().position(|known| *known == name);
        position.and_then(|position| self.positionals.get(position)).map_or("", String::as_str)
    }

    /// Returns the value of an option, if it is given.
    pub(super) fn option(&self, name: &str) -> Option<&str> {
        self.options.get(name).map(String::as_str)
    }

    /// Parses the value of an option, if it is given.
    pub(super) fn parse_option<T: FromStr>(&self, name: &str) -> Result<Option<T>, CommandError> {
        self.option(name)
            .map(|text| {
                text.parse().map_err(|_| self.usage_error(&format!("--{name} cannot be {text:?}")))
            })
            .transpose()
    }

    /// Whether `--json` is given.
    pub(super) fn json(&self) -> bool {
        self.options.contains_key("json")
    }

    /// Returns the time limit of `--wait`, if it is given.
    pub(super) fn wait_limit(&self) -> Result<Option<Duration>, CommandError> {
        Ok(self.parse_option("wait")?.map(Duration::from_secs))
    }

    /// Returns the author for the history: `--author`, else `$USER`, else `unknown`.
    pub(super) fn author(&self) -> String {
        let user = || env::var("USER").ok().filter(|name| !name.is_empty());
        self.option("author").map(str::to_owned).or_else(user).unwrap_or_else(|| "unknown".into())
    }

    /// Returns the operation id of `--operation-id`, or a random one.
    pub(super) fn operation_id(&self) -> Result<String, CommandError> {
        let Some(id) = self.option("operation-id") else {
            return Ok(format!("{:032x}", rand::random::<u128>()));
        };
        if !is_operation_id(id) {
            let text = "--operation-id must have 1 to 128 printable characters without spaces";
            return Err(self.usage_error(text));
        }
        Ok(id.to_owned())
    }

    /// Returns the client settings, with the reply timeout of `--timeout`.
    pub(super) fn client_settings(&self) -> Result<ClientSettings, CommandError> {
        let mut settings = ClientSettings::default();
        if let Some(seconds) = self.parse_option::<u64>("timeout")? {
            if !(1..=600).contains(&seconds) {
                return Err(self.usage_error("--timeout must be 1 to 600 seconds"));
            }
            settings.reply_timeout = Duration::from_secs(seconds);
        }
        Ok(settings)
    }

    /// Returns the token of `--token`, or else of the environment.
    pub(super) fn token(&self) -> Option<String> {
        let variable = || env::var(TOKEN_VARIABLE).ok();
        self.option("token").map(str::to_owned).or_else(variable).filter(|token| !token.is_empty())
    }

    /// Creates a client for the URLs of `--control`, or else of the environment.
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
        client.map(|client| client.with_failure_callback(print_progress)).map_err(|error| {
            match error {
                ClientError::NoUrl | ClientError::BadUrl(_) => self.usage_error(&error.to_string()),
                other => CommandError::Client(other),
            }
        })
    }
}

/// Reads a text file.
pub(super) fn read_file(path: &str) -> Result<String, CommandError> {
    fs::read_to_string(path).map_err(|source| CommandError::File { path: path.to_owned(), source })
}

/// Reads and validates a document file; returns its text and the parsed document.
pub(super) fn read_document(path: &str) -> Result<(String, ConfigDocument), CommandError> {
    let text = read_file(path)?;
    let document = parse_document(path, &text)?;
    Ok((text, document))
}

/// Parses and validates a document; `source` is the name that errors show for it.
pub(super) fn parse_document(source: &str, text: &str) -> Result<ConfigDocument, CommandError> {
    ConfigDocument::parse(text).map_err(|faults| CommandError::Faults {
        source_name: source.to_owned(),
        faults: faults.iter().map(Into::into).collect(),
    })
}
