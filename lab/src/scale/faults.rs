//! Injects the faults of a point, each at its time, and ends them; records when each happened and what it
//! hit. Their costs are computed in `costs`.

use super::changes::ChangeDriver;
use super::point::{Fault, FaultKind};
use super::processes::Processes;
use super::protocol::{Command, PartitionDirection, now_us};
use fastrand::Rng;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Time after the restart of half of the dispatchers for which the parts' counts are taken.
const LOAD_TIME: Duration = Duration::from_secs(10);

/// A fault that was injected and is over.
#[derive(Clone, Debug)]
pub struct InjectedFault {
    /// Its name.
    pub name: String,
    /// When it began, in microseconds of Unix time.
    pub at_us: u64,
    /// When everything was back, in microseconds of Unix time.
    pub back_us: u64,
    /// Dispatchers that were killed.
    pub killed: Vec<usize>,
    /// Runners whose machines failed.
    pub failed_runners: Vec<usize>,
    /// What the parts counted in the 10 s after it; only of [`FaultKind::Half`].
    pub load: BTreeMap<String, f64>,
}

/// Injects all faults of a point, timed from now; they may overlap.
///
/// # Errors
///
/// Names the fault and the step that failed.
pub async fn inject(
    faults: &[Fault],
    processes: &Arc<Processes>,
    changes: &Arc<ChangeDriver>,
) -> Result<Vec<InjectedFault>, String> {
    let (start, mut tasks) = (Instant::now(), JoinSet::new());
    for (number, fault) in faults.iter().cloned().enumerate() {
        let (processes, changes) = (processes.clone(), changes.clone());
        // Each fault has a random generator of its own, so that the others do not change what it hits.
        let random = Rng::with_seed(processes.layout.seed ^ (number as u64 + 1) << 20);
        tasks.spawn(async move {
            tokio::time::sleep_until(start + Duration::from_secs_f64(fault.at_s)).await;
            let injection = Injection { fault, processes, changes };
            injection.run(random).await.map_err(|e| format!("fault {}: {e}", injection.fault.name))
        });
    }
    let mut injected = Vec::new();
    while let Some(fault) = tasks.join_next().await {
        injected.push(fault.map_err(|e| e.to_string())??);
    }
    injected.sort_by_key(|injected: &InjectedFault| injected.at_us);
    Ok(injected)
}

struct Injection {
    fault: Fault,
    processes: Arc<Processes>,
    changes: Arc<ChangeDriver>,
}

impl Injection {
    async fn run(&self, mut random: Rng) -> Result<InjectedFault, String> {
        let layout = &self.processes.layout;
        let (at_us, mut load, mut back_us) = (now_us(), BTreeMap::new(), 0);
        let (mut killed, mut failed_runners) = (Vec::new(), Vec::new());
        let runners = 0..layout.runners.len();
        match self.fault.what {
            FaultKind::Runners => {
                let count = self.fault.count;
                failed_runners = self.fail_runners(random.choose_multiple(runners, count)).await?;
            }
            FaultKind::Rack => {
                let rack = random.choice(&layout.runners).map_or(0, |runner| runner.rack);
                let runners_in_rack = runners.filter(|n| layout.runners[*n].rack == rack);
                failed_runners = self.fail_runners(runners_in_rack.collect()).await?;
            }
            FaultKind::Zone => {
                let zone = random.usize(..layout.zones.len());
                let runners_in_zone = runners.filter(|n| layout.runners[*n].zone == zone);
                failed_runners = self.fail_runners(runners_in_zone.collect()).await?;
            }
            FaultKind::Dispatchers => {
                let real = random.choose_multiple(0..self.processes.real.len(), self.fault.count);
                let hollow = self.processes.real.len()..layout.dispatchers.len();
                let hollow = random.choose_multiple(hollow, self.fault.count);
                killed = self.restart_dispatchers(&real, hollow).await?;
            }
            FaultKind::Half => {
                let before = self.processes.send_all(&Command::Count).await?;
                let half = |numbers: std::ops::Range<usize>| numbers.step_by(2).collect::<Vec<_>>();
                let real = self.processes.real.len();
                let hollow = half(real..layout.dispatchers.len());
                killed = self.restart_dispatchers(&half(0..real), hollow).await?;
                back_us = now_us();
                tokio::time::sleep(LOAD_TIME).await;
                for (role, after) in self.processes.send_all(&Command::Count).await? {
                    for (name, value) in &after.values {
                        let value_before = before.get(role).and_then(|counts| counts.values.get(name));
                        load.insert(format!("{role}.{name}"), value - value_before.copied().unwrap_or(0.0));
                    }
                }
            }
            FaultKind::Publisher => {
                if let Some(publisher) = &self.processes.publisher {
                    publisher.kill().await;
                    self.wait_for_end().await;
                    publisher.spawn().await?;
                }
            }
            FaultKind::Link => self.partition_link(PartitionDirection::Both).await?,
            FaultKind::LinkBack => self.partition_link(PartitionDirection::Back).await?,
            FaultKind::RollOut => {
                let seconds = self.fault.back_s.max(0.1);
                self.changes.run_at_rate(self.fault.count as f64 / seconds, seconds).await?;
            }
        }
        // `Half` has set it before the time in which its load is counted.
        let back_us = if back_us == 0 { now_us() } else { back_us };
        Ok(InjectedFault { name: self.fault.name.clone(), at_us, back_us, killed, failed_runners, load })
    }

    /// Waits for as long as the fault lasts.
    async fn wait_for_end(&self) {
        tokio::time::sleep(Duration::from_secs_f64(self.fault.back_s)).await;
    }

    /// Machines fail and return; discovery is notified of both, as its agents would do. Returns the runners.
    async fn fail_runners(&self, runners: Vec<usize>) -> Result<Vec<usize>, String> {
        self.processes.send_all(&Command::RunnersDown { runners: runners.clone() }).await?;
        self.changes.report_runners(&runners, "left", false).await?;
        self.wait_for_end().await;
        self.processes.send_all(&Command::RunnersUp { runners: runners.clone() }).await?;
        self.changes.report_runners(&runners, "active", true).await?;
        Ok(runners)
    }

    /// Kills dispatchers and starts them again; returns all of them.
    async fn restart_dispatchers(&self, real: &[usize], hollow: Vec<usize>) -> Result<Vec<usize>, String> {
        let mut restarts = JoinSet::new();
        let back = Duration::from_secs_f64(self.fault.back_s);
        for number in real {
            let dispatcher = self.processes.real[*number].clone();
            restarts.spawn(async move { dispatcher.kill_and_restart(back).await });
        }
        self.processes.send_all(&Command::DispatchersDown { dispatchers: hollow.clone() }).await?;
        self.wait_for_end().await;
        self.processes.send_all(&Command::DispatchersUp { dispatchers: hollow.clone() }).await?;
        while let Some(restart) = restarts.join_next().await {
            restart.map_err(|e| e.to_string())??;
        }
        Ok(real.iter().copied().chain(hollow).collect())
    }

    async fn partition_link(&self, direction: PartitionDirection) -> Result<(), String> {
        self.processes.send_all(&Command::Link { cut: Some(direction) }).await?;
        self.wait_for_end().await;
        self.processes.send_all(&Command::Link { cut: None }).await.map(drop)
    }
}
