//! Reads the CPU time and memory of a process from `/proc`.

use std::collections::BTreeMap;
use std::fs;

/// Clock ticks per second of the times in `/proc` on Linux.
const TICKS_PER_SECOND: u64 = 100;

/// CPU time and memory of a process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// CPU time since the start, in milliseconds. Includes threads that have ended.
    pub cpu_ms: u64,
    /// CPU time of the threads that still run, by thread name, in milliseconds.
    pub thread_cpu_ms: BTreeMap<String, u64>,
    /// Resident memory, in KiB.
    pub resident_kib: u64,
    /// Peak resident memory since the start, in KiB.
    pub peak_kib: u64,
    /// Number of threads.
    pub threads: u64,
}

impl ProcessUsage {
    /// Reads the usage of a process. Returns `None` if it has ended.
    pub fn read(process: u32) -> Option<Self> {
        let (_, cpu_ms) = read_stat(&format!("/proc/{process}/stat"))?;
        let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
        let field = |name: &str| -> Option<u64> {
            let line = status.lines().find_map(|line| line.strip_prefix(name))?;
            line.split_whitespace().next()?.parse().ok()
        };
        let mut thread_cpu_ms = BTreeMap::new();
        for task in fs::read_dir(format!("/proc/{process}/task")).ok()?.flatten() {
            // A thread may end between the listing and the read.
            if let Some((name, ms)) = read_stat(&task.path().join("stat").to_string_lossy()) {
                *thread_cpu_ms.entry(name).or_default() += ms;
            }
        }
        Some(Self {
            cpu_ms,
            thread_cpu_ms,
            resident_kib: field("VmRSS:")?,
            peak_kib: field("VmHWM:")?,
            threads: field("Threads:")?,
        })
    }

    /// Returns the CPU time of the running threads with a name since an earlier reading, in
    /// milliseconds.
    pub fn thread_ms_since(&self, earlier: &Self, name: &str) -> u64 {
        let of = |usage: &Self| usage.thread_cpu_ms.get(name).copied().unwrap_or_default();
        of(self).saturating_sub(of(earlier))
    }
}

/// Reads the name and the CPU time in milliseconds from the `stat` file of a process or thread.
fn read_stat(path: &str) -> Option<(String, u64)> {
    let stat = fs::read_to_string(path).ok()?;
    // The second field is the name in parentheses, which may contain spaces.
    let (head, rest) = stat.rsplit_once(')')?;
    let name = head.split_once('(')?.1.to_owned();
    let mut times = rest.split_whitespace().skip(11);
    let user: u64 = times.next()?.parse().ok()?;
    let system: u64 = times.next()?.parse().ok()?;
    Some((name, (user + system) * 1_000 / TICKS_PER_SECOND))
}
