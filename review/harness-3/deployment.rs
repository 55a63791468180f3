//! Small deployment on loopback addresses: real node processes with settings files, and calls to them.

use crate::http::{self, Answer};
use std::fs;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Bounds of the small deployments on the users' sheets, as the settings state them.
const SETTINGS: &str = "heartbeat_interval_ms=1200
fault_tolerance.machine_failures=1
contract_parameters.contact_timeout_ms=3000
contract_parameters.drain_timeout_ms=2000
contract_parameters.grace_period_s=8
contract_parameters.loss_slack_ms=200
contract_parameters.config_apply_ms=2000
contract_parameters.retry_budget_ratio=0.2
contract_parameters.retry_budget_extra=64
contract_parameters.budget_window_s=10
contract_parameters.quota_window_s=8
contract_parameters.quota_overshoot=0.1
contract_parameters.quota_tolerance=110000
limits.memory_limit_mb=260
limits.file_descriptor_limit=4100
";
/// Parts of the rules that are in force on the first sheets.
pub const CONTRACTS: &str =
    "active_contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota\n";
/// Program that the deploy file runs, from the root of the repository.
const PROGRAM: &str = "target/release/burdockcleat-node";

/// Ports that all machines use.
#[derive(Clone, Copy)]
struct Ports {
    callers: u16,
    ready: u16,
    control: u16,
    peers: u16,
}

/// Machine of the deployment.
struct Machine {
    zone: &'static str,
    disk: bool,
    process: Option<Child>,
}

pub struct Deployment {
    folder: PathBuf,
    network: [u8; 3],
    ports: Ports,
    machines: Vec<Machine>,
    contracts: &'static str,
    /// Holds the network until the end.
    _lock: TcpListener,
}

impl Deployment {
    /// Starts one node for each `(zone, has a disk)`.
    pub fn start(machines: &[(&'static str, bool)], contracts: &'static str) -> Self {
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let (network, lock) = reserve_network();
        let first = lock.local_addr().expect("an address").port();
        let ports =
            Ports { callers: first + 1, ready: first + 2, control: first + 3, peers: first + 4 };
        let machines =
            machines.iter().map(|(zone, disk)| Machine { zone, disk: *disk, process: None });
        let mut deployment =
            Self { folder, network, ports, machines: machines.collect(), contracts, _lock: lock };
        for machine in 0..deployment.machines.len() {
            deployment.start_node(machine);
        }
        deployment
    }

    pub fn address(&self, host: u8, port: u16) -> SocketAddrV4 {
        let [a, b, c] = self.network;
        SocketAddrV4::new(Ipv4Addr::new(a, b, c, host), port)
    }

    fn machine_address(&self, machine: usize, port: u16) -> SocketAddrV4 {
        self.address(u8::try_from(machine + 1).expect("few machines"), port)
    }

    pub fn callers(&self, machine: usize) -> SocketAddrV4 {
        self.machine_address(machine, self.ports.callers)
    }

    pub fn ready(&self, machine: usize) -> SocketAddrV4 {
        self.machine_address(machine, self.ports.ready)
    }

    pub fn control(&self, machine: usize) -> SocketAddrV4 {
        self.machine_address(machine, self.ports.control)
    }

    pub fn controls(&self) -> Vec<SocketAddrV4> {
        (0..self.machines.len()).map(|machine| self.control(machine)).collect()
    }

    /// Returns the address of engine `number`.
    pub fn engine(&self, number: usize) -> SocketAddrV4 {
        self.address(u8::try_from(100 + number).expect("few engines"), self.ports.callers)
    }

    fn start_node(&mut self, machine: usize) {
        let Machine { zone, disk, .. } = self.machines[machine];
        let Ports { callers, ready, control, peers } = self.ports;
        let ip = *self.control(machine).ip();
        let seeds: Vec<_> = (0..3).map(|seed| self.control(seed).to_string()).collect();
        let mut settings = format!(
            "node_name=node-{machine}\nrole=node\nserved_roles=edge,controller\nip_address={ip}\nzone={zone}\n\
             listen_addresses.frontend={ip}:{callers}\nlisten_addresses.ready={ip}:{ready}\n\
             listen_addresses.control_plane={ip}:{control}\ninternal_port_range={peers},{}\n\
             seed_nodes={}\nfirst_start=true\nfailure_counted={disk}\n{SETTINGS}{}",
            peers + 15,
            seeds.join(","),
            self.contracts
        );
        if disk {
            let data = self.folder.join(format!("disk-{machine}"));
            fs::create_dir_all(&data).expect("a folder for a disk");
            settings.push_str(&format!("data_directory={}\n", data.display()));
        }
        let path = self.folder.join(format!("settings-{machine}"));
        fs::write(&path, settings).expect("a settings file");
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("log-{machine}")))
            .expect("a log file");
        let mut command = Command::new(PROGRAM);
        command.env("BURDOCKCLEAT_NODE_FILE", &path).stdin(Stdio::null());
        command.stdout(log.try_clone().expect("a log file")).stderr(log);
        self.machines[machine].process = Some(command.spawn().expect("the node's program"));
    }

    /// Sends a configuration to the nodes in turn until it is acknowledged.
    pub fn configure(&self, document: &str) {
        let put = |machine| {
            http::call(self.control(machine), "PUT", "/api/configuration", &[], document.as_bytes())
        };
        wait_for("an acknowledged configuration", || {
            (0..self.machines.len())
                .any(|machine| put(machine).is_some_and(|answer| answer.status == 200))
        });
    }

    /// Waits until all nodes say that they are ready.
    pub fn wait_until_ready(&self) {
        wait_for("ready nodes", || (0..self.machines.len()).all(|machine| self.is_ready(machine)));
    }

    fn is_ready(&self, machine: usize) -> bool {
        let answer: Option<Answer> =
            http::call(self.ready(machine), "GET", "/api/readiness", &[], b"");
        answer.is_some_and(|answer| answer.status == 200)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            if let Some(mut process) = machine.process.take() {
                // The process may have ended already.
                let _ = process.kill();
                let _ = process.wait();
            }
        }
        if std::env::var_os("KEEP_LOGS").is_some() {
            eprintln!("logs in {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Finds a loopback network and a range of ports that are free on it.
fn reserve_network() -> ([u8; 3], TcpListener) {
    let start = std::process::id();
    for number in 0..2_000_u32 {
        let mixed = start.wrapping_mul(11).wrapping_add(number * 17);
        let network = [127, 60 + (mixed % 30) as u8, (mixed / 30 % 250) as u8];
        let port = 20_000 + (mixed % 400) as u16 * 30;
        let [a, b, c] = network;
        let free = |port| TcpListener::bind((Ipv4Addr::new(a, b, c, 1), port)).is_ok();
        if let Ok(lock) = TcpListener::bind((Ipv4Addr::new(a, b, c, 254), port))
            && (port..port + 24).all(free)
        {
            return (network, lock);
        }
    }
    panic!("no loopback network is free");
}

/// Waits until a condition holds. Ends the program with 2 if it takes too long.
pub fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < Duration::from_secs(30), "timed out waiting for {what}");
        thread::sleep(Duration::from_millis(50));
    }
}
