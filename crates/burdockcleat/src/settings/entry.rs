//! Settings of the entry daemon.

use super::{SettingSpec, SettingsError, SettingsReader};
use std::ffi::OsString;
use std::net::SocketAddr;

const SPECS: &[SettingSpec] = &[
    SettingSpec { name: "name", help: "name of this instance", default: None },
    SettingSpec { name: "failure-domain", help: "failure domain of this instance", default: None },
    SettingSpec { name: "listen", help: "address for callers", default: None },
    SettingSpec {
        name: "operator-listen",
        help: "address for probes, dump and metrics",
        default: None,
    },
    SettingSpec {
        name: "control",
        help: "link addresses of all control instances, separated by commas",
        default: None,
    },
    SettingSpec { name: "secret", help: "shared secret of the deployment", default: None },
    SettingSpec {
        name: "max-connections",
        help: "callers' connections at a time",
        default: Some("1024"),
    },
    SettingSpec {
        name: "drain-grace-ms",
        help: "time between withdrawn readiness and the end of accepting",
        default: Some("3000"),
    },
    SettingSpec { name: "log-level", help: "error, warn, info, debug", default: Some("info") },
];

/// Settings of the entry daemon.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Name of this instance, unique in the deployment.
    pub name: String,
    /// Failure domain of this instance.
    pub failure_domain: String,
    /// Address to listen on for callers.
    pub listen: SocketAddr,
    /// Address to listen on for health checks, dumps and metrics.
    pub operator_listen: SocketAddr,
    /// Link addresses of all control instances.
    pub control: Vec<SocketAddr>,
    /// Shared secret of the deployment.
    pub secret: String,
    /// Maximum number of open connections from callers.
    pub max_connections: usize,
    /// Time in milliseconds between reporting not ready and accepting no further connections.
    pub drain_grace_ms: u64,
    /// Least severe level to log.
    pub log_level: log::LevelFilter,
}

impl EntrySettings {
    /// Reads and validates all settings.
    ///
    /// # Errors
    /// Returns all errors, or the help text if `--help` was given.
    pub fn read(
        flags: impl IntoIterator<Item = OsString>,
        environment: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, SettingsError> {
        let mut reader = SettingsReader::read("burdockcleat-entry", SPECS, flags, environment)?;
        let settings = Self::collect(&mut reader);
        reader.finish(settings)
    }

    fn collect(reader: &mut SettingsReader) -> Option<Self> {
        // All values are read before the first `?`, so that all errors are reported together.
        let name = reader.nonempty("name");
        let failure_domain = reader.nonempty("failure-domain");
        let secret = reader.nonempty("secret");
        let control = reader.addresses("control");
        let listen = reader.parsed("listen", "an address such as 10.0.0.1:8080");
        let operator_listen = reader.parsed("operator-listen", "an address such as 10.0.0.1:8081");
        let max_connections = reader.parsed("max-connections", "a number of connections");
        let drain_grace_ms = reader.parsed("drain-grace-ms", "a number of milliseconds");
        let log_level = reader.parsed("log-level", "error, warn, info or debug");
        Some(Self {
            name,
            failure_domain,
            listen: listen?,
            operator_listen: operator_listen?,
            control,
            secret,
            max_connections: max_connections?,
            drain_grace_ms: drain_grace_ms?,
            log_level: log_level?,
        })
    }
}
