//! What processes and the machine use, as `/proc` says.

use std::fs;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What one process has used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Processor time in user and system mode since its start, in microseconds, in steps of 10 ms.
    pub processor_us: u64,
    /// Resident memory now, in kB.
    pub resident_kb: u64,
}

impl Usage {
    /// Of a process; `None` once it has ended.
    pub fn of(pid: u32) -> Option<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // proc(5): utime and stime are the 14th and 15th field; the 2nd may hold spaces.
        let fields = stat.rsplit(") ").next()?.split(' ').skip(11).take(2);
        let ticks: u64 = fields.filter_map(|field| field.parse::<u64>().ok()).sum();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let resident_kb = line.trim().trim_end_matches(" kB").parse().ok()?;
        Some(Self { processor_us: ticks * TICK_US, resident_kb })
    }
}

impl Usage {
    /// What was used since then; memory as it is now.
    pub fn since(self, before: Self) -> Self {
        Self { processor_us: self.processor_us.saturating_sub(before.processor_us), ..self }
    }
}

impl std::iter::Sum for Usage {
    fn sum<I: Iterator<Item = Self>>(all: I) -> Self {
        all.fold(Self::default(), |sum, one| Self {
            processor_us: sum.processor_us + one.processor_us,
            resident_kb: sum.resident_kb + one.resident_kb,
        })
    }
}

/// A tick of processor time (USER_HZ is 100 on every Linux that Rust supports).
const TICK_US: u64 = 10_000;

/// Processor time of the whole machine, in ticks.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    busy: u64,
    all: u64,
}

impl Machine {
    /// Since the machine's start.
    pub fn now() -> Self {
        let stat = fs::read_to_string("/proc/stat").unwrap_or_default();
        let line = stat.lines().next().unwrap_or_default();
        let ticks: Vec<u64> =
            line.split_whitespace().skip(1).take(8).filter_map(|f| f.parse().ok()).collect();
        let all = ticks.iter().sum();
        // The fourth and fifth are idle and waiting for I/O.
        let idle: u64 = ticks.iter().skip(3).take(2).sum();
        Self { busy: all - idle, all }
    }

    /// The share of all processors that was busy since then, 0 to 1.
    pub fn busy_since(&self, before: Self) -> f64 {
        let all = self.all.saturating_sub(before.all);
        self.busy.saturating_sub(before.busy) as f64 / all.max(1) as f64
    }
}

/// More of the machine's processors busy than this, and what is measured is the machine.
const MAX_BUSY: f64 = 0.93;

/// How short of processors the machine was while something was measured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shortage {
    /// Lateness of the slowest loop, its 99th percentile.
    pub late: Duration,
    /// The share of all processors that was busy, 0 to 1.
    pub busy: f64,
}

impl Shortage {
    /// Why it was too short for what was measured to count, if it was: loops later than this, or hardly a
    /// processor free.
    pub fn beyond(self, late: Duration) -> Option<String> {
        if self.late > late {
            return Some(format!("loops {} ms late", self.late.as_millis()));
        }
        (self.busy > MAX_BUSY).then(|| format!("machine {:.0}% busy", self.busy * 100.0))
    }
}

/// Datagrams that the system dropped because a socket's buffer was full, since the machine's start.
pub fn datagrams_dropped() -> u64 {
    let snmp = fs::read_to_string("/proc/net/snmp").unwrap_or_default();
    let mut lines = snmp.lines().filter_map(|line| line.strip_prefix("Udp: "));
    let (Some(names), Some(values)) = (lines.next(), lines.next()) else { return 0 };
    let fields = names.split(' ').zip(values.split(' '));
    fields
        .filter(|(name, _)| *name == "RcvbufErrors")
        .filter_map(|(_, value)| value.parse::<u64>().ok())
        .sum()
}

/// How many descriptors this process may hold.
pub fn descriptor_limit() -> u64 {
    let limits = fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// A duration in seconds for a rate.
pub fn seconds(duration: Duration) -> f64 {
    duration.as_secs_f64().max(f64::EPSILON)
}
