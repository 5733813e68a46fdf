//! What processes take of the machine: their own processor time, never elapsed time, and resident memory.

use std::fs;
use std::ops::Sub;

/// Clock ticks a second, as the system's process tables count them.
const TICKS: f64 = 100.0;

/// What a process has taken so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Processor time, user and system, seconds.
    pub cpu_s: f64,
    /// Resident memory now, MB of 1,000,000 bytes.
    pub rss_mb: f64,
    /// The most that was resident, MB.
    pub peak_mb: f64,
}

impl Sub for Usage {
    type Output = Self;

    /// The processor time since, and how much more memory is resident; the peak stays.
    fn sub(self, before: Self) -> Self {
        Self { cpu_s: self.cpu_s - before.cpu_s, rss_mb: self.rss_mb - before.rss_mb, peak_mb: self.peak_mb }
    }
}

/// Nanoseconds on a processor of all threads, where the system tells them: ticks are far too coarse for short spans.
fn nanoseconds(pid: u32) -> Option<f64> {
    let mut sum = 0.0;
    for task in fs::read_dir(format!("/proc/{pid}/task")).ok()? {
        let told = fs::read_to_string(task.ok()?.path().join("schedstat")).ok()?;
        sum += told.split_whitespace().next()?.parse::<f64>().ok()?;
    }
    Some(sum)
}

fn ticks(pid: u32) -> Option<f64> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let field = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok());
    Some(field(11)? + field(12)?)
}

/// What a process has taken so far; nothing if there is none.
pub fn usage(pid: u32) -> Option<Usage> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let kib = |name: &str| {
        let line = status.lines().find_map(|l| l.strip_prefix(name))?;
        line.split_whitespace().next()?.parse::<f64>().ok()
    };
    let cpu_s = nanoseconds(pid).map(|n| n / 1e9).or_else(|| ticks(pid).map(|t| t / TICKS))?;
    let mb = |kib: f64| kib * 1_024.0 / 1e6;
    Some(Usage { cpu_s, rss_mb: mb(kib("VmRSS:")?), peak_mb: mb(kib("VmHWM:")?) })
}

/// Most descriptors that a process of this user may have, as it stands; nothing here raises it.
pub fn descriptors() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    limit.current.map_or(usize::MAX, |n| n as usize)
}
