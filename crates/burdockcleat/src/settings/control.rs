//! Settings of the control daemon.

use super::{SettingSpec, SettingsError, SettingsReader};
use std::ffi::OsString;
use std::net::SocketAddr;
use std::num::NonZeroU64;
use std::path::PathBuf;

const SPECS: &[SettingSpec] = &[
    SettingSpec { name: "name", help: "name of this instance", default: None },
    SettingSpec { name: "failure-domain", help: "failure domain of this instance", default: None },
    SettingSpec { name: "link-listen", help: "address for our own processes", default: None },
    SettingSpec {
        name: "link-address",
        help: "address under which our own processes reach this instance",
        default: Some(""),
    },
    SettingSpec {
        name: "operator-listen",
        help: "address for operators and targets",
        default: None,
    },
    SettingSpec {
        name: "operator-url",
        help: "URL under which operators and targets reach this instance",
        default: Some(""),
    },
    SettingSpec {
        name: "peers",
        help: "link addresses of the other control instances, separated by commas",
        default: Some(""),
    },
    SettingSpec { name: "data-folder", help: "folder for log and snapshot", default: None },
    SettingSpec {
        name: "form-group",
        help: "true: form a new group if all peers are empty too; use once",
        default: Some("false"),
    },
    SettingSpec { name: "secret", help: "shared secret of the deployment", default: None },
    SettingSpec {
        name: "operator-token",
        help: "bearer token that operators present",
        default: None,
    },
    SettingSpec {
        name: "order-issuer",
        help: "name under which targets take orders from this deployment",
        default: Some("burdockcleat"),
    },
    SettingSpec {
        name: "console-listen",
        help: "address of the console of forms; no console without it",
        default: Some(""),
    },
    SettingSpec { name: "target-token", help: "bearer token that targets present", default: None },
    SettingSpec {
        name: "compact-after",
        help: "log records after which a snapshot replaces them",
        default: Some("20000"),
    },
    SettingSpec { name: "log-level", help: "error, warn, info, debug", default: Some("info") },
];

/// Settings of the control daemon.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Name of this instance, unique in the deployment.
    pub name: String,
    /// Failure domain of this instance.
    pub failure_domain: String,
    /// Address to listen on for links from entries and other control instances.
    pub link_listen: SocketAddr,
    /// Address at which entries and other control instances reach this one. Defaults to
    /// `link_listen`.
    pub link_address: SocketAddr,
    /// Address to listen on for the HTTP API of operators and targets.
    pub operator_listen: SocketAddr,
    /// URL at which operators and targets reach this instance. Defaults to `operator_listen`.
    pub operator_url: String,
    /// Link addresses of the other control instances.
    pub peers: Vec<SocketAddr>,
    /// Folder that holds the log and the snapshot.
    pub data_folder: PathBuf,
    /// Whether to form a new group if the data folders of all peers are empty too.
    pub form_group: bool,
    /// Shared secret of the deployment.
    pub secret: String,
    /// Bearer token that operators present.
    pub operator_token: String,
    /// Bearer token that targets present.
    pub target_token: String,
    /// Issuer name that targets must announce to receive orders from this deployment.
    pub order_issuer: String,
    /// Address to listen on for the web console, if it is enabled.
    pub console_listen: Option<SocketAddr>,
    /// Minimum number of log records before a snapshot replaces them.
    pub compact_after: NonZeroU64,
    /// Least severe level to log.
    pub log_level: log::LevelFilter,
}

impl ControlSettings {
    /// Reads and validates all settings.
    ///
    /// # Errors
    /// Returns all errors, or the help text if `--help` was given.
    pub fn read(
        flags: impl IntoIterator<Item = OsString>,
        environment: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, SettingsError> {
        let mut reader = SettingsReader::read("burdockcleat-control", SPECS, flags, environment)?;
        let settings = Self::collect(&mut reader);
        reader.finish(settings)
    }

    fn collect(reader: &mut SettingsReader) -> Option<Self> {
        // All values are read before the first `?`, so that all errors are reported together.
        let name = reader.nonempty("name");
        let failure_domain = reader.nonempty("failure-domain");
        let link_listen: Option<SocketAddr> =
            reader.parsed("link-listen", "an address such as 10.0.0.1:7000");
        let operator_listen = reader.parsed("operator-listen", "an address such as 10.0.0.1:7001");
        let link_address = match reader.text("link-address").is_empty() {
            true => link_listen,
            false => reader.parsed("link-address", "an address such as 10.0.0.1:7000"),
        };
        let operator_url = reader.text("operator-url");
        let peers = reader.addresses("peers");
        let data_folder = reader.nonempty("data-folder");
        let form_group = reader.parsed("form-group", "true or false");
        let secret = reader.nonempty("secret");
        let operator_token = reader.nonempty("operator-token");
        let target_token = reader.nonempty("target-token");
        let order_issuer = reader.nonempty("order-issuer");
        let console_listen = match reader.text("console-listen").is_empty() {
            true => None,
            false => reader.parsed("console-listen", "an address such as 10.0.0.1:7002"),
        };
        let compact_after = reader.parsed("compact-after", "a whole number from 1");
        let log_level = reader.parsed("log-level", "error, warn, info or debug");
        let operator_listen: SocketAddr = operator_listen?;
        Some(Self {
            name,
            failure_domain,
            link_listen: link_listen?,
            link_address: link_address?,
            operator_listen,
            operator_url: match operator_url.is_empty() {
                true => format!("http://{operator_listen}"),
                false => operator_url,
            },
            peers,
            data_folder: data_folder.into(),
            form_group: form_group?,
            secret,
            operator_token,
            target_token,
            order_issuer,
            console_listen,
            compact_after: compact_after?,
            log_level: log_level?,
        })
    }
}
