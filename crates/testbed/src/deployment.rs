//! Starts and controls a deployment of real processes on loopback addresses.

mod error;
mod network;

pub use error::DeploymentError;

use crate::relay::{PartitionRelay, PartitionSet};
use burdockcleat_core::clock::ClockTime;
use network::LoopbackNetwork;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;
use tempfile::TempDir;

/// Port for callers on an entry, and for operators on a control instance.
const HTTP_PORT: u16 = 7300;
/// Port for operators on an entry, and for links on a control instance.
const SECOND_PORT: u16 = 7301;
/// Port for the console on a control instance.
const CONSOLE_PORT: u16 = 7302;
/// Offset from the host number of a control instance to that of its relay.
const RELAY_HOST_OFFSET: usize = 50;
/// Time for a process to freeze after its signal, in milliseconds.
const FREEZE_TIMEOUT_MS: u64 = 5_000;
/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Bearer token that operators present in these deployments.
pub const OPERATOR_TOKEN: &str = "testbed-operator";
/// Bearer token that targets present in these deployments.
pub const TARGET_TOKEN: &str = "testbed-target";
/// Shared secret of the links.
const SECRET: &str = "testbed-secret";

/// Signals that tests send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Ends the process at once.
    Kill,
    /// Asks for a graceful shutdown.
    Terminate,
    /// Freezes the process.
    Stop,
    /// Resumes a frozen process.
    Continue,
}

impl ProcessSignal {
    fn flag(self) -> &'static str {
        match self {
            Self::Kill => "-KILL",
            Self::Terminate => "-TERM",
            Self::Stop => "-STOP",
            Self::Continue => "-CONT",
        }
    }
}

/// Running process of the deployment, with the command that started it.
struct ProcessRecord {
    child: Child,
    command: Vec<String>,
}

/// Control instances and entries as processes on loopback addresses. Dropping it ends them.
pub struct Deployment {
    folder: TempDir,
    network: LoopbackNetwork,
    controls: usize,
    form_group: bool,
    control_flags: Vec<String>,
    /// Whether the links go through relays, which can partition them.
    relayed: bool,
    partitions: PartitionSet,
    processes: BTreeMap<String, ProcessRecord>,
}

impl Deployment {
    /// Prepares a deployment with this number of control instances, without starting any process.
    ///
    /// # Errors
    /// Fails if no temporary folder can be created.
    pub fn open(controls: usize) -> Result<Self, DeploymentError> {
        let mut deployment = Self::open_without_relays(controls)?;
        deployment.relayed = true;
        for index in 0..controls {
            let (relay, target) =
                (deployment.control_link_address(index), deployment.control_listen_address(index));
            PartitionRelay::spawn(relay, target, deployment.partitions.clone())
                .map_err(DeploymentError::Relay)?;
        }
        Ok(deployment)
    }

    /// Prepares a deployment whose links cannot be partitioned, for measurements of time. A relay
    /// would add two thread hand-offs to each message.
    ///
    /// # Errors
    /// Fails if no temporary folder can be created.
    pub fn open_without_relays(controls: usize) -> Result<Self, DeploymentError> {
        let folder = tempfile::tempdir().map_err(DeploymentError::Folder)?;
        let network = LoopbackNetwork::open()?;
        let (partitions, processes) = (PartitionSet::default(), BTreeMap::new());
        Ok(Self {
            folder,
            network,
            controls,
            form_group: true,
            control_flags: Vec::new(),
            relayed: false,
            partitions,
            processes,
        })
    }

    /// Sets `form-group` of the control instances that are started from now on.
    pub fn set_form_group(&mut self, form_group: bool) {
        self.form_group = form_group;
    }

    /// Adds a flag to the control instances that are started from now on.
    pub fn add_control_flag(&mut self, flag: &str) {
        self.control_flags.push(flag.to_owned());
    }

    /// Partitions two processes: their links carry no more bytes but stay open.
    pub fn partition(&self, left: &str, right: &str) {
        self.partitions.partition(self.source_ip(left), self.source_ip(right));
    }

    /// Partitions a process from all other control instances.
    pub fn isolate(&self, name: &str) {
        for index in 0..self.controls {
            let control = Self::control_name(index);
            if control != name {
                self.partition(name, &control);
            }
        }
    }

    /// Partitions a control instance from this number of entries.
    pub fn isolate_from_entries(&self, control: &str, entries: usize) {
        for index in 0..entries {
            self.partition(control, &Self::entry_name(index));
        }
    }

    /// Heals all partitions.
    pub fn heal(&self) {
        self.partitions.heal();
    }

    /// Returns the address from which a process connects.
    fn source_ip(&self, name: &str) -> IpAddr {
        let number = name.rsplit('-').next().and_then(|digits| digits.parse().ok()).unwrap_or(0);
        let host = match name.starts_with("control") {
            true => Self::control_host(number),
            false => Self::entry_host(number),
        };
        self.address(host, SECOND_PORT).ip()
    }

    fn address(&self, host: usize, port: u16) -> SocketAddr {
        self.network.address(u8::try_from(host).unwrap_or(u8::MAX), port)
    }

    fn control_host(index: usize) -> usize {
        index + 1
    }

    fn entry_host(index: usize) -> usize {
        index + 101
    }

    /// Returns the address to which links to a control instance connect. This is the address of its
    /// relay, if it has one.
    pub fn control_link_address(&self, index: usize) -> SocketAddr {
        let relay = if self.relayed { RELAY_HOST_OFFSET } else { 0 };
        self.address(Self::control_host(index) + relay, SECOND_PORT)
    }

    /// Returns the address on which a control instance listens for links.
    fn control_listen_address(&self, index: usize) -> SocketAddr {
        self.address(Self::control_host(index), SECOND_PORT)
    }

    /// Returns the base URL of a control instance for operators.
    pub fn control_url(&self, index: usize) -> String {
        format!("http://{}", self.address(Self::control_host(index), HTTP_PORT))
    }

    /// Returns the base URL of the console of a control instance.
    pub fn console_url(&self, index: usize) -> String {
        format!("http://{}", self.address(Self::control_host(index), CONSOLE_PORT))
    }

    /// Returns the base URLs of all control instances.
    pub fn control_urls(&self) -> Vec<String> {
        (0..self.controls).map(|index| self.control_url(index)).collect()
    }

    /// Returns the base URL of an entry for callers.
    pub fn entry_url(&self, index: usize) -> String {
        format!("http://{}", self.address(Self::entry_host(index), HTTP_PORT))
    }

    /// Returns the base URL of an entry for operators.
    pub fn entry_operator_url(&self, index: usize) -> String {
        format!("http://{}", self.address(Self::entry_host(index), SECOND_PORT))
    }

    /// Returns the name of the process of a control instance.
    pub fn control_name(index: usize) -> String {
        format!("control-{index}")
    }

    /// Returns the name of the process of an entry.
    pub fn entry_name(index: usize) -> String {
        format!("entry-{index}")
    }

    /// Returns the data folder of a control instance.
    pub fn data_folder(&self, index: usize) -> PathBuf {
        self.folder.path().join(Self::control_name(index))
    }

    /// Returns the path of the log file of a process.
    pub fn log_file(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("{name}.log"))
    }

    /// Starts a control instance on its data folder, which may be empty.
    ///
    /// # Errors
    /// Fails if the daemon cannot be started.
    pub fn start_control(&mut self, index: usize) -> Result<(), DeploymentError> {
        let peers: Vec<String> = (0..self.controls)
            .filter(|peer| *peer != index)
            .map(|peer| self.control_link_address(peer).to_string())
            .collect();
        let name = Self::control_name(index);
        let mut command = vec![
            "burdockcleat-control".into(),
            format!("--name={name}"),
            format!("--failure-domain=domain-{}", index % 3),
            format!("--link-listen={}", self.control_listen_address(index)),
            format!("--link-address={}", self.control_link_address(index)),
            format!("--operator-listen={}", self.address(Self::control_host(index), HTTP_PORT)),
            format!("--console-listen={}", self.address(Self::control_host(index), CONSOLE_PORT)),
            format!("--peers={}", peers.join(",")),
            format!("--data-folder={}", self.data_folder(index).display()),
            format!("--form-group={}", self.form_group),
            format!("--secret={SECRET}"),
            format!("--operator-token={OPERATOR_TOKEN}"),
            format!("--target-token={TARGET_TOKEN}"),
        ];
        command.extend(self.control_flags.iter().cloned());
        self.start(name, command)
    }

    /// Starts an entry.
    ///
    /// # Errors
    /// Fails if the daemon cannot be started.
    pub fn start_entry(&mut self, index: usize) -> Result<(), DeploymentError> {
        let control: Vec<String> =
            (0..self.controls).map(|peer| self.control_link_address(peer).to_string()).collect();
        let name = Self::entry_name(index);
        let command = vec![
            "burdockcleat-entry".into(),
            format!("--name={name}"),
            format!("--failure-domain=domain-{}", index % 3),
            format!("--listen={}", self.address(Self::entry_host(index), HTTP_PORT)),
            format!("--operator-listen={}", self.address(Self::entry_host(index), SECOND_PORT)),
            format!("--control={}", control.join(",")),
            format!("--secret={SECRET}"),
            "--drain-grace-ms=500".into(),
        ];
        self.start(name, command)
    }

    /// Restarts a process with the same command line. Kills it first if it still runs.
    ///
    /// # Errors
    /// Fails if the daemon cannot be started.
    pub fn restart(&mut self, name: &str) -> Result<(), DeploymentError> {
        let Some(mut record) = self.processes.remove(name) else { return Ok(()) };
        // The process has either ended before or ends here. Errors of either case need no handling.
        let _ = record.child.kill();
        let _ = record.child.wait();
        self.start(name.to_owned(), record.command)
    }

    fn start(&mut self, name: String, command: Vec<String>) -> Result<(), DeploymentError> {
        let program = daemon_path(&command[0]);
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.log_file(&name))
            .map_err(DeploymentError::Folder)?;
        let child = Command::new(&program)
            .args(&command[1..])
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|source| DeploymentError::Start { program, source })?;
        self.processes.insert(name, ProcessRecord { child, command });
        Ok(())
    }

    /// Sends a signal to a process of this deployment. After `Kill` and `Stop`, waits until the
    /// process has ended or is frozen.
    ///
    /// # Errors
    /// Fails if the signal cannot be sent, or the process does not freeze in time.
    pub fn signal(&mut self, name: &str, signal: ProcessSignal) -> Result<(), DeploymentError> {
        let Some(record) = self.processes.get_mut(name) else { return Ok(()) };
        let status = Command::new("kill")
            .args([signal.flag(), &record.child.id().to_string()])
            .status()
            .map_err(|source| DeploymentError::Signal { name: name.to_owned(), source })?;
        if signal == ProcessSignal::Kill && status.success() {
            let _ = record.child.wait();
        }
        if signal == ProcessSignal::Stop {
            // One thread receives the signal and stops the others. On a busy machine, the other
            // threads keep running for a while after the signal was sent.
            let process = record.child.id();
            wait_until(&format!("{name} to freeze"), FREEZE_TIMEOUT_MS, || is_frozen(process))?;
        }
        Ok(())
    }

    /// Returns the operating system's id of a process.
    pub fn process_id(&self, name: &str) -> Option<u32> {
        self.processes.get(name).map(|record| record.child.id())
    }

    /// Waits for a process to end by itself and returns its exit status.
    ///
    /// # Errors
    /// Fails if it does not end in time.
    pub fn wait_exit(
        &mut self,
        name: &str,
        timeout_ms: u64,
    ) -> Result<Option<ExitStatus>, DeploymentError> {
        let Some(record) = self.processes.get_mut(name) else { return Ok(None) };
        let mut status = None;
        wait_until(&format!("{name} to exit"), timeout_ms, || {
            status = record.child.try_wait().ok().flatten();
            status.is_some()
        })?;
        Ok(status)
    }

    /// Removes the data folder of a control instance that is not running.
    ///
    /// # Errors
    /// Fails if the folder cannot be removed.
    pub fn remove_data_folder(&self, index: usize) -> Result<(), DeploymentError> {
        std::fs::remove_dir_all(self.data_folder(index)).map_err(DeploymentError::Folder)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for record in self.processes.values_mut() {
            let _ = record.child.kill();
            let _ = record.child.wait();
        }
        if std::thread::panicking() {
            self.print_logs();
        }
    }
}

impl Deployment {
    /// Prints the last lines of each process's log when a test fails.
    fn print_logs(&self) {
        const LINES: usize = 40;
        for name in self.processes.keys() {
            let text = std::fs::read_to_string(self.log_file(name)).unwrap_or_default();
            let lines: Vec<&str> = text.lines().collect();
            eprintln!("--- {name}");
            for line in &lines[lines.len().saturating_sub(LINES)..] {
                eprintln!("{line}");
            }
        }
    }
}

/// Whether all threads of a process are stopped.
fn is_frozen(process: u32) -> bool {
    let Ok(threads) = std::fs::read_dir(format!("/proc/{process}/task")) else { return false };
    threads.flatten().all(|thread| {
        let stat = std::fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
        // The state follows the name of the thread, which is in parentheses.
        stat.rsplit_once(") ").is_some_and(|(_, fields)| fields.starts_with('T'))
    })
}

/// Returns the path of a built program of this Cargo workspace.
pub fn daemon_path(name: &str) -> PathBuf {
    daemon_folder().join(name)
}

/// Returns the folder of the built daemons: that of the current program, or its parent if the
/// program is in `deps`.
fn daemon_folder() -> PathBuf {
    let program = std::env::current_exe().unwrap_or_default();
    let folder = program.parent().unwrap_or_else(|| Path::new("."));
    match folder.file_name().is_some_and(|name| name == "deps") {
        true => folder.parent().unwrap_or(folder).to_path_buf(),
        false => folder.to_path_buf(),
    }
}

/// Polls a condition until it holds. `what` describes it in the error message.
///
/// # Errors
/// Fails if it does not hold in time.
pub fn wait_until(
    what: &str,
    timeout_ms: u64,
    mut condition: impl FnMut() -> bool,
) -> Result<(), DeploymentError> {
    let limit = ClockTime::monotonic().plus(timeout_ms);
    while !condition() {
        if ClockTime::monotonic() >= limit {
            return Err(DeploymentError::Timeout { what: what.to_owned(), timeout_ms });
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}
