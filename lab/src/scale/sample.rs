//! What the processes of a run use: memory and its parts, processor time, descriptors, from procfs. It owns the
//! reading of one moment and the difference of two; it must never ask a process itself.

use super::processes::Processes;
use super::words::now_us;
use procfs::process::Process;
use std::collections::BTreeMap;

/// What one process uses.
#[derive(Clone, Debug, Default, PartialEq)]
#[allow(missing_docs, reason = "the names say it")]
pub struct Usage {
    pub id: u32,
    pub rss_mb: f64,
    pub anon_mb: f64,
    pub file_mb: f64,
    pub shmem_mb: f64,
    /// Processor time since its start, as the scheduler counts it, in nanoseconds.
    pub cpu_s: f64,
    /// Its parts, in the kernel's ticks of 10 ms.
    pub user_s: f64,
    pub system_s: f64,
    pub descriptors: f64,
}

/// All processes at a moment, by role or by dispatcher's name.
#[derive(Clone, Debug, Default)]
pub struct Sample {
    /// Microseconds of Unix time.
    pub at_us: u64,
    /// By role or by dispatcher's name.
    pub usage: BTreeMap<String, Usage>,
}

/// What one process used between two moments.
#[derive(Clone, Copy, Debug, Default)]
#[allow(missing_docs, reason = "the names say it")]
pub struct Spent {
    /// Parts of a core, in percent.
    pub cpu_pct: f64,
    pub user_pct: f64,
    pub system_pct: f64,
}

impl Sample {
    /// Looks at all processes.
    pub async fn take(processes: &Processes) -> Sample {
        let mut ids: Vec<_> = processes.parts.iter().map(|part| (part.role.to_owned(), part.id)).collect();
        for (number, dispatcher) in processes.real.iter().enumerate() {
            // One that is down has nothing.
            if let Some(id) = dispatcher.id().await {
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

    /// What a process used from this moment to a later one; nothing if it is not the same process any more.
    pub fn spent(&self, later: &Sample, name: &str) -> Option<Spent> {
        let (before, after) = (self.usage.get(name)?, later.usage.get(name)?);
        let seconds = (later.at_us - self.at_us) as f64 / 1e6;
        (before.id == after.id && seconds > 0.0).then(|| Spent {
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

/// Ticks of 10 ms are coarse for a process that uses a thousandth of a core: the scheduler's count of each thread.
fn cpu_s(process: &Process) -> Option<f64> {
    let mut sum = 0;
    for task in process.tasks().ok()? {
        sum += task.ok()?.schedstat().ok()?.sum_exec_runtime;
    }
    Some(sum as f64 / 1e9)
}
