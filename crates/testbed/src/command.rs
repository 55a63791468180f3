//! Runs the operators' command line tool against a deployment.

use crate::deployment::{DeploymentError, OPERATOR_TOKEN, daemon_path};
use serde_json::Value;
use std::process::{Child, Command, Stdio};

/// Output and exit status of a command.
#[derive(Clone, Debug)]
pub struct CommandOutput {
    /// Exit status, or -1 if a signal ended the command.
    pub status: i32,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

impl CommandOutput {
    /// Parses the standard output as JSON. Returns null if it is not valid.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap_or(Value::Null)
    }
}

/// Command line tool with the URLs of the control instances and the token in its environment.
#[derive(Clone, Debug)]
pub struct OperatorCommand {
    control: String,
    token: String,
}

impl OperatorCommand {
    /// Creates a command for these control instances.
    pub fn new(urls: &[String]) -> Self {
        Self { control: urls.join(","), token: OPERATOR_TOKEN.to_owned() }
    }

    /// Replaces the operator token.
    #[must_use]
    pub fn with_token(self, token: &str) -> Self {
        Self { token: token.to_owned(), ..self }
    }

    /// Starts the tool with these arguments.
    ///
    /// # Errors
    /// Fails if the tool cannot be started, for example because it was not built.
    pub fn spawn(&self, arguments: &[&str]) -> Result<Child, DeploymentError> {
        let program = daemon_path("burdockcleat");
        Command::new(&program)
            .args(arguments)
            .env("BURDOCKCLEAT_CONTROL", &self.control)
            .env("BURDOCKCLEAT_OPERATOR_TOKEN", &self.token)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|source| DeploymentError::Start { program, source })
    }

    /// Runs the tool with these arguments to its end.
    ///
    /// # Errors
    /// Fails if the tool cannot be started, for example because it was not built.
    pub fn run(&self, arguments: &[&str]) -> Result<CommandOutput, DeploymentError> {
        wait_for_output(self.spawn(arguments)?)
    }
}

/// Waits until a command ends and returns its output.
///
/// # Errors
/// Fails if the command cannot be waited for.
pub fn wait_for_output(child: Child) -> Result<CommandOutput, DeploymentError> {
    let output = child.wait_with_output().map_err(|source| DeploymentError::Start {
        program: daemon_path("burdockcleat"),
        source,
    })?;
    Ok(CommandOutput {
        status: output.status.code().unwrap_or(-1),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    })
}
