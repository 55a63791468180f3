//! Stand-ins and processes for the cases: nodes of a small deployment on loopback addresses, a plain
//! HTTP client, an operator, engines and the record of what was seen.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Program of the deploy file, started in the root of the repository as the deploy file says.
const NODE_PROGRAM: &str = "target/release/burdockcleat-node";
const FRONTEND_PORT: u16 = 28_221;
const READY_PORT: u16 = 28_224;
const CONTROL_PORT: u16 = 28_229;
const INTERNAL_PORTS: (u16, u16) = (27_600, 27_615);
const ENGINE_PORT: u16 = 28_080;
/// Port that is bound to reserve a loopback network for one run.
const LOCK_PORT: u16 = 27_999;

/// What the settings of a deployment have of their own.
struct Site {
    memory_mb: u32,
    link_mbps: u32,
    /// Further lines of the settings, separated by spaces.
    parameters: &'static str,
}

const KHANGAI: Site = Site {
    memory_mb: 110,
    link_mbps: 1_000,
    parameters: "limits.cpu_fraction=0.45 active_contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,quota \
        fault_tolerance.machine_failures=1 contract_parameters.contact_timeout_ms=3000 \
        contract_parameters.ack_timeout_ms=4000 contract_parameters.catch_up_s=4 \
        contract_parameters.drain_timeout_ms=2000 contract_parameters.config_apply_ms=2000 \
        contract_parameters.max_extension_ms=5000 contract_parameters.retry_budget_extra=64 \
        contract_parameters.quota_tolerance=110000 contract_parameters.recovery_s=12 \
        contract_parameters.forward_pass_ms=120 contract_parameters.retry_after_s=7.1",
};

const QUITO: Site = Site {
    memory_mb: 88,
    link_mbps: 10,
    parameters: "limits.cpu_fraction=0.12 active_contracts=base,drain,config,cost,retry,recover,health,pool,engine,stream,tenants,quota,rollout,pressure \
        fault_tolerance.machine_failures=2 contract_parameters.contact_timeout_ms=4000 \
        contract_parameters.ack_timeout_ms=5000 contract_parameters.catch_up_s=6 \
        contract_parameters.drain_timeout_ms=2500 contract_parameters.config_apply_ms=2500 \
        contract_parameters.max_extension_ms=6000 contract_parameters.retry_budget_extra=166 \
        contract_parameters.quota_tolerance=72000 contract_parameters.recovery_s=15 \
        contract_parameters.forward_pass_ms=200 contract_parameters.retry_after_s=5.6 \
        contract_parameters.canary_share=0.1 contract_parameters.canary_tolerance=50 \
        contract_parameters.rollback_timeout_ms=5000",
};

/// `config_apply_ms` of the deployments.
pub const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// `contact_timeout_ms` of the deployments.
pub const CONTACT_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Returns whether the run has its disturbance (`TROUBLE` is not 0).
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// What was sent, answered and run, with the time since the start of the run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        File::create(path).expect("creating the record");
        let file = File::options().append(true).open(path).expect("opening the record");
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    /// Continues the record of another process, which began `start_ms` ms after the Unix epoch.
    pub fn append(path: &Path, start_ms: u64) -> Self {
        let file = File::options().append(true).open(path).expect("opening the record");
        let passed = Duration::from_millis(wall_ms().saturating_sub(start_ms));
        let start = Instant::now().checked_sub(passed).unwrap_or_else(Instant::now);
        Self { file: Arc::new(Mutex::new(file)), start }
    }

    /// Returns the start of the record, in ms after the Unix epoch.
    pub fn start_ms(&self) -> u64 {
        wall_ms().saturating_sub(self.start.elapsed().as_millis() as u64)
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let line = format!("{at:8.3} {text}\n");
        print!("{line}");
        let mut file = self.file.lock().expect("the record");
        file.write_all(line.as_bytes()).expect("writing the record");
    }
}

/// Nodes of one deployment with their settings and disks.
pub struct Deployment {
    folder: PathBuf,
    network: [u8; 2],
    _lock: TcpListener,
    pub nodes: Vec<Option<Child>>,
    disks: usize,
    site: Site,
    record: Record,
}

impl Deployment {
    /// Prepares `disks` nodes with a disk and `others` without one. Nothing is started.
    pub fn prepare(disks: usize, others: usize, record: &Record) -> Self {
        let (network, lock) = reserve_network();
        let name = format!("burdockcleat-review-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).expect("creating the temporary folder");
        Self {
            folder,
            network,
            _lock: lock,
            nodes: (0..disks + others).map(|_| None).collect(),
            disks,
            site: KHANGAI,
            record: record.clone(),
        }
    }

    /// Takes the settings of apsct-quito-grown in place of those of khangai-hinge.
    pub fn of_quito(mut self) -> Self {
        self.site = QUITO;
        self
    }

    pub fn ip(&self, node: usize) -> Ipv4Addr {
        let [a, b] = self.network;
        Ipv4Addr::new(127, a, b, u8::try_from(node + 1).expect("few nodes"))
    }

    pub fn control(&self, node: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(node), CONTROL_PORT)
    }

    pub fn frontend(&self, node: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(node), FRONTEND_PORT)
    }

    pub fn engine_address(&self, engine: usize) -> SocketAddrV4 {
        let [a, b] = self.network;
        let last = u8::try_from(100 + engine).expect("few engines");
        SocketAddrV4::new(Ipv4Addr::new(127, a, b, last), ENGINE_PORT)
    }

    fn disk(&self, node: usize) -> PathBuf {
        self.folder.join(format!("disk-{node}"))
    }

    /// Starts a node with the settings of a small deployment.
    pub fn start(&mut self, node: usize, first_start: bool) {
        let ip = self.ip(node);
        let seeds: Vec<_> = (0..3).map(|seed| self.control(seed).to_string()).collect();
        let zone = format!("zone-{}", node % 3);
        let (first, last) = INTERNAL_PORTS;
        let counted = node < self.disks;
        let mut settings = format!(
            "node_name=node-{node}\nrole=node\nmachine_class=edge\nserved_roles=edge,controller\n\
             ip_address={ip}\nzone={zone}\nregion=region\nzones.zone-0=region\n\
             zones.zone-1=region\nzones.zone-2=region\n\
             listen_addresses.frontend={ip}:{FRONTEND_PORT}\n\
             listen_addresses.ready={ip}:{READY_PORT}\n\
             listen_addresses.control_plane={ip}:{CONTROL_PORT}\n\
             internal_port_range={first},{last}\nseed_nodes={}\nfirst_start={first_start}\n\
             failure_counted={counted}\nlimits.core_count=1\n\
             limits.memory_limit_mb={}\nlimits.file_descriptor_limit=4100\n\
             limits.link_bandwidth_mbps={}\ndiscovery_source=registration\n\
             entry_kind=virtual_ip\nheartbeat_interval_ms=1200\n\
             fault_tolerance.zones=0\nfault_tolerance.region_failures=0\n\
             contract_parameters.seed_lag_s=3\ncontract_parameters.address_reuse_s=2\n\
             contract_parameters.grace_period_s=8\ncontract_parameters.loss_slack_ms=200\n\
             contract_parameters.downgrade_slack_ms=250\n\
             contract_parameters.strict_revocation=false\n\
             contract_parameters.revocation_ms=5000\n\
             contract_parameters.retry_budget_ratio=0.2\ncontract_parameters.budget_window_s=10\n\
             contract_parameters.quota_window_s=8\ncontract_parameters.quota_overshoot=0.1\n\
             configuration_mode=highest\n",
            seeds.join(","),
            self.site.memory_mb,
            self.site.link_mbps
        );
        for parameter in self.site.parameters.split_whitespace() {
            settings.push_str(&format!("{parameter}\n"));
        }
        if counted {
            fs::create_dir_all(self.disk(node)).expect("creating a disk folder");
            settings.push_str("limits.disk_capacity_mb=64\n");
            settings.push_str(&format!("data_directory={}\n", self.disk(node).display()));
        }
        let path = self.folder.join(format!("settings-{node}"));
        fs::write(&path, settings).expect("writing the settings");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("log-{node}")))
            .expect("opening a log");
        let child = Command::new(NODE_PROGRAM)
            .env("BURDOCKCLEAT_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        self.nodes[node] = Some(child.expect("starting the node's program"));
        self.record.line(&format!("node {node} started, first_start={first_start}"));
    }

    pub fn start_all(&mut self) {
        for node in 0..self.nodes.len() {
            self.start(node, true);
        }
    }

    /// Sends a signal to a node, as `kill` names it.
    pub fn signal(&self, node: usize, signal: &str) {
        let id = self.nodes[node].as_ref().expect("a running node").id().to_string();
        let sent = Command::new("kill").args([&format!("-{signal}"), &id]).status();
        assert!(sent.is_ok_and(|status| status.success()), "sending a signal");
        self.record.line(&format!("node {node} got SIG{signal}"));
    }

    /// Kills a node and waits for its end.
    pub fn kill(&mut self, node: usize) {
        let mut child = self.nodes[node].take().expect("a running node");
        child.kill().expect("killing a node");
        child.wait().expect("waiting for a node");
        self.record.line(&format!("node {node} got SIGKILL"));
    }

    /// Replaces the disk of a node that does not run by an empty one.
    pub fn wipe(&self, node: usize) {
        fs::remove_dir_all(self.disk(node)).expect("emptying a disk folder");
        self.record.line(&format!("node {node} has lost its disk"));
    }

    /// Copies the logs of the nodes beside the record.
    pub fn keep_logs(&self, folder: &Path) {
        for node in 0..self.nodes.len() {
            let _ = fs::copy(
                self.folder.join(format!("log-{node}")),
                folder.join(format!("node-{node}.log")),
            );
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for child in self.nodes.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if let Ok(folder) = std::env::var("KEEP_LOGS") {
            self.keep_logs(Path::new(&folder));
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn reserve_network() -> ([u8; 2], TcpListener) {
    let start = std::process::id();
    for number in (0..5_000).map(|step| start.wrapping_mul(11).wrapping_add(step * 17)) {
        let network = [(30 + number % 60) as u8, (number / 60 % 250) as u8];
        let address = Ipv4Addr::new(127, network[0], network[1], 254);
        if let Ok(lock) = TcpListener::bind((address, LOCK_PORT)) {
            return (network, lock);
        }
    }
    panic!("no loopback network is free")
}

/// Answer to a call.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether the whole body arrived, by its length or its last chunk.
    pub complete: bool,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// Reads up to the empty line. Returns `None` if the connection ends before.
pub fn read_head(stream: &mut impl Read) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0; 1];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return None,
        }
        if head.len() > 64 << 10 {
            return None;
        }
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}

fn read_line(stream: &mut impl Read) -> Option<String> {
    let mut line = Vec::new();
    let mut byte = [0; 1];
    while !line.ends_with(b"\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => line.push(byte[0]),
            _ => return None,
        }
    }
    Some(String::from_utf8_lossy(&line).trim().to_owned())
}

/// Reads a body with a length or in chunks. Tells whether it is complete.
pub fn read_body(stream: &mut impl Read, head: &str) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    if let Some(length) = header(head, "content-length").and_then(|value| value.parse().ok()) {
        body.resize(length, 0);
        let complete = stream.read_exact(&mut body).is_ok();
        return (body, complete);
    }
    if header(head, "transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let Some(size) = read_line(stream) else { return (body, false) };
            let Ok(size) = usize::from_str_radix(size.trim(), 16) else { return (body, false) };
            let mut chunk = vec![0; size + 2];
            if stream.read_exact(&mut chunk).is_err() {
                return (body, false);
            }
            if size == 0 {
                return (body, true);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    (body, true)
}

/// Sends one request on a new connection. Returns `None` without an answer.
pub fn call(
    address: SocketAddrV4,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(address), timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut request = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        request.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    request.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    stream.write_all(request.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    read_answer(&mut io::BufReader::new(stream))
}

pub fn read_answer(stream: &mut impl Read) -> Option<Answer> {
    let head = read_head(stream)?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let (body, complete) = read_body(stream, &head);
    Some(Answer { status, body, complete })
}

/// The operator: sends the same change again, to one node after the other, until it is acknowledged.
pub struct Operator<'a> {
    pub record: &'a Record,
}

impl Operator<'_> {
    /// Returns the time of the acknowledgement, or `None` if there is none by `limit`.
    pub fn put(
        &self,
        nodes: &[SocketAddrV4],
        version: u64,
        document: &str,
        limit: Duration,
    ) -> Option<Instant> {
        let started = Instant::now();
        let mut pause = Duration::from_millis(50);
        let mut turn = 0;
        while started.elapsed() < limit {
            let node = nodes[turn % nodes.len()];
            turn += 1;
            let second = Duration::from_secs(1);
            let answer = call(node, "PUT", "/api/configuration", &[], document.as_bytes(), second);
            let status = answer.map(|answer| answer.status);
            self.record.line(&format!("operator: PUT version {version} to {node}: {status:?}"));
            if status == Some(200) {
                return Some(Instant::now());
            }
            thread::sleep(pause);
            pause = (pause * 3 / 2).min(Duration::from_millis(400));
        }
        None
    }

    /// Reads the configuration at a node. Returns the status and the version that was read.
    pub fn read(&self, node: SocketAddrV4) -> (Option<u16>, Option<u64>) {
        let answer =
            call(node, "GET", "/api/configuration", &[], b"", Duration::from_millis(1_500));
        let status = answer.as_ref().map(|answer| answer.status);
        let version = answer
            .filter(|answer| answer.status == 200)
            .and_then(|answer| document_version(&answer.text()));
        self.record.line(&format!("operator: GET at {node}: {status:?}, version {version:?}"));
        (status, version)
    }
}

pub fn document_version(document: &str) -> Option<u64> {
    let rest = document.split("\"version\":").nth(1)?;
    let digits: String = rest.trim().chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}
