//! Cases of the first start: two core machines stand still while the register is founded.

use crate::support::{CONFIG_APPLY, CONTACT_TIMEOUT, Deployment, Operator, Record, trouble};
use std::net::SocketAddrV4;
use std::thread;
use std::time::{Duration, Instant};

/// Pause of the operator between two changes; `gap_s` of `config_storm`.
const STORM_GAP: Duration = Duration::from_millis(330);

/// `max_extension_ms` of the deployments.
const MAX_EXTENSION: Duration = Duration::from_millis(5_000);
/// `recovery_s` of the deployments.
const RECOVERY: Duration = Duration::from_secs(12);
/// Length of the freezes of core machines that have a set length, within `for_s` of `node_freeze` on the
/// core in the site files.
const FREEZE: Duration = Duration::from_millis(4_000);

fn document(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-1","hostname":"shop.example","path_prefix":"/a/","route_kind":"idempotent","timeout_ms":{},"target_latency_ms":400,"priority":0,"service":"app","max_attempts":1,"auth_exempt":true,"session_affinity":false,"stream_resumption":false}}],"services":[{{"name":"app","health_path":"/health","connection_limit":130,"protocol":"h1","tls_enabled":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        3_000 + version
    )
}

fn sleep_until(time: Instant) {
    thread::sleep(time.saturating_duration_since(Instant::now()));
}

/// Reads the configuration again and again for `contact_timeout_ms`, as the operator does at the end
/// of a day, and returns whether an answer was older than `newest` or none came.
fn read_back(record: &Record, nodes: &[SocketAddrV4], newest: u64, time: Duration) -> bool {
    let operator = Operator { record };
    let started = Instant::now();
    let (mut older, mut came) = (false, false);
    while started.elapsed() < time {
        for node in nodes {
            let (_, version) = operator.read(*node);
            came |= version.is_some();
            if version.is_some_and(|version| version < newest) {
                record.line(&format!("BROKEN: version {newest} was acknowledged before"));
                older = true;
            }
        }
        thread::sleep(Duration::from_millis(300));
    }
    if !came {
        record.line("BROKEN: the configuration does not come");
    }
    older || !came
}

/// Two of three core machines freeze at the first start while the third one founds the register. It
/// does so twice under one ballot, with different replicas. The frozen machines take the first form.
pub fn founded_twice(record: &Record) -> Option<bool> {
    let mut nodes = Deployment::prepare(3, 0, record);
    let operator = Operator { record };
    let controls: Vec<_> = (0..3).map(|node| nodes.control(node)).collect();
    let started = Instant::now();
    nodes.start_all();
    sleep_until(started + Duration::from_millis(1_250));
    let frozen = Instant::now();
    if trouble() {
        nodes.signal(1, "STOP");
        nodes.signal(2, "STOP");
    }
    // The first configuration is sent within the 10 s before the traffic, and a second one soon after.
    sleep_until(started + Duration::from_millis(5_300));
    let limit = Duration::from_secs(10);
    for version in [3, 5] {
        operator.put(&controls, version, &document(version), limit)?;
        if version == 3 {
            thread::sleep(STORM_GAP);
        }
    }
    if trouble() {
        nodes.signal(0, "STOP");
        thread::sleep(Duration::from_millis(50));
        nodes.signal(1, "CONT");
        nodes.signal(2, "CONT");
        record.line(&format!("nodes 1 and 2 stood still for {} ms", frozen.elapsed().as_millis()));
    }
    let thawed = Instant::now();
    let acknowledged = operator.put(&controls[1..], 12, &document(12), limit)?;
    operator.read(controls[1]);
    sleep_until(thawed + FREEZE);
    if trouble() {
        nodes.signal(0, "CONT");
    }
    // Until all machines are in touch again.
    sleep_until(thawed + FREEZE + CONTACT_TIMEOUT);
    sleep_until(acknowledged + CONFIG_APPLY + MAX_EXTENSION);
    Some(read_back(record, &controls, 12, CONTACT_TIMEOUT + Duration::from_secs(1)))
}

/// One of three core machines freezes at the first start. The register is founded with the two others as
/// its only replicas. One of them loses its disk right after it has acknowledged the first configuration.
pub fn founded_with_two(record: &Record) -> Option<bool> {
    let mut nodes = Deployment::prepare(3, 2, record);
    let operator = Operator { record };
    let controls: Vec<_> = (0..5).map(|node| nodes.control(node)).collect();
    let started = Instant::now();
    nodes.start_all();
    sleep_until(started + Duration::from_millis(300));
    if trouble() {
        nodes.signal(1, "STOP");
    }
    // Before the traffic, and once the register is founded.
    sleep_until(started + Duration::from_millis(2_000));
    operator.put(&controls, 3, &document(3), Duration::from_secs(8))?;
    if trouble() {
        nodes.kill(0);
        nodes.wipe(0);
        thread::sleep(Duration::from_millis(1_000));
        nodes.start(0, false);
        sleep_until(started + Duration::from_millis(300) + FREEZE);
        nodes.signal(1, "CONT");
    }
    // All machines are back now. Service may be suspended for recovery_s.
    let back = Instant::now();
    sleep_until(back + RECOVERY);
    let broken = read_back(record, &controls, 3, CONTACT_TIMEOUT + Duration::from_secs(1));
    let next = operator.put(&controls, 7, &document(7), Duration::from_secs(8));
    record.line(&format!("the next version was acknowledged: {}", next.is_some()));
    Some(broken)
}
