//! Processor time and memory of a process, as the system reports them.

use std::fs;

/// Clock ticks per second of the times in `/proc` on Linux.
const TICKS_PER_SECOND: u64 = 100;

/// What a process has used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Processor time since the start, in milliseconds.
    pub cpu_ms: u64,
    /// Resident memory, in KiB.
    pub resident_kib: u64,
}

impl ProcessUsage {
    /// Reads the usage of a process, or nothing if it has ended.
    pub fn read(process: u32) -> Option<Self> {
        let stat = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
        // The second field is the program name in parentheses and may contain spaces.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks: u64 =
            fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let resident_kib = resident.split_whitespace().next()?.parse().ok()?;
        Some(Self { cpu_ms: ticks * 1_000 / TICKS_PER_SECOND, resident_kib })
    }
}
