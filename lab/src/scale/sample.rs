//! The resource usage of a run's processes (memory, processor time, descriptors), read from procfs at one
//! moment, and the processor usage between two.

use super::processes::Processes;
use super::protocol::now_us;
use procfs::process::Process;
use std::collections::BTreeMap;

/// The resource usage of one process.
#[derive(Clone, Debug, Default, PartialEq)]
#[allow(missing_docs, reason = "the names say it")]
pub struct Usage {
    pub id: u32,
    pub rss_mb: f64,
    pub anon_mb: f64,
    pub file_mb: f64,
    pub shmem_mb: f64,
    /// Processor time since its start in seconds; the scheduler counts it in nanoseconds.
    pub cpu_s: f64,
    /// The processor time in user mode, counted in the kernel's ticks of 10 ms; `system_s` alike.
    pub user_s: f64,
    pub system_s: f64,
    pub descriptors: f64,
}

/// The usage of all processes at one moment.
#[derive(Clone, Debug, Default)]
pub struct Sample {
    /// When it was taken, in microseconds of Unix time.
    pub at_us: u64,
    /// The usage by role or by the dispatcher's name.
    pub usage: BTreeMap<String, Usage>,
}

/// The processor usage of one process between two samples.
#[derive(Clone, Copy, Debug, Default)]
#[allow(missing_docs, reason = "the names say it")]
pub struct CpuUsage {
    /// Percent of one core.
    pub cpu_pct: f64,
    pub user_pct: f64,
    pub system_pct: f64,
}

impl Sample {
    /// Samples all processes.
    pub async fn take(processes: &Processes) -> Sample {
        let mut ids: Vec<_> = processes.parts.iter().map(|part| (part.role.to_owned(), part.id)).collect();
        for (number, dispatcher) in processes.real.iter().enumerate() {
            // A dispatcher that is down has no process.
            if let Some(id) = dispatcher.process_id().await {
                ids.push((format!("n{number}"), id));
            }
        }
        if let Some(publisher) = &processes.publisher
            && let Some(id) = publisher.id().await
        {
            ids.push(("publisher".to_owned(), id));
        }
        let usage = ids.into_iter().filter_map(|(name, id)| Some((name, usage(id)?)));
        Sample { at_us: now_us(), usage: usage.collect() }
    }

    /// Returns the processor usage of a process from this sample to a later one; `None` if it was restarted
    /// between them.
    pub fn cpu_usage_until(&self, later: &Sample, name: &str) -> Option<CpuUsage> {
        let (before, after) = (self.usage.get(name)?, later.usage.get(name)?);
        let seconds = (later.at_us - self.at_us) as f64 / 1e6;
        (before.id == after.id && seconds > 0.0).then(|| CpuUsage {
            cpu_pct: (after.cpu_s - before.cpu_s) / seconds * 100.0,
            user_pct: (after.user_s - before.user_s) / seconds * 100.0,
            system_pct: (after.system_s - before.system_s) / seconds * 100.0,
        })
    }
}

fn usage(id: u32) -> Option<Usage> {
    let process = Process::new(i32::try_from(id).ok()?).ok()?;
    let (status, stat) = (process.status().ok()?, process.stat().ok()?);
    let mb = |kb: Option<u64>| kb.unwrap_or(0) as f64 / 1024.0;
    let seconds = |ticks: u64| ticks as f64 / procfs::ticks_per_second() as f64;
    Some(Usage {
        id,
        rss_mb: mb(status.vmrss),
        anon_mb: mb(status.rssanon),
        file_mb: mb(status.rssfile),
        shmem_mb: mb(status.rssshmem),
        cpu_s: cpu_s(&process).unwrap_or_else(|| seconds(stat.utime + stat.stime)),
        user_s: seconds(stat.utime),
        system_s: seconds(stat.stime),
        descriptors: process.fd_count().unwrap_or(0) as f64,
    })
}

/// Sums the scheduler's processor time of each thread: ticks of 10 ms are too coarse for a process that uses
/// a thousandth of a core.
fn cpu_s(process: &Process) -> Option<f64> {
    let mut sum = 0;
    for task in process.tasks().ok()? {
        sum += task.ok()?.schedstat().ok()?.sum_exec_runtime;
    }
    Some(sum as f64 / 1e9)
}
