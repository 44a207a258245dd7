//! The faults of a point, each at its time: what is taken away, and how it comes back. It owns their carrying out
//! and the record of when they were; it must never judge what they cost.

use super::changes::Changes;
use super::point::{Fault, What};
use super::processes::Processes;
use super::words::{Command, Way, now_us};
use fastrand::Rng;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Time after a restart of many for which discovery's and the runners' load is counted.
const AFTER: Duration = Duration::from_secs(10);

/// A fault that was.
#[derive(Clone, Debug)]
pub struct Done {
    /// Its name.
    pub name: String,
    /// When it began, and when all was back, in microseconds of Unix time.
    pub at_us: u64,
    /// As above.
    pub back_us: u64,
    /// Dispatchers that were killed.
    pub killed: Vec<usize>,
    /// Runners whose machines vanished.
    pub gone: Vec<usize>,
    /// What the parts counted in the time after it, where that is of interest.
    pub load: BTreeMap<String, f64>,
}

/// Carries out all faults of a point, from now on; they may overlap.
///
/// # Errors
///
/// Says what could not be done.
pub async fn play(
    faults: &[Fault],
    processes: &Arc<Processes>,
    changes: &Arc<Changes>,
) -> Result<Vec<Done>, String> {
    let (start, mut under_way) = (Instant::now(), JoinSet::new());
    for (number, fault) in faults.iter().cloned().enumerate() {
        let (processes, changes) = (processes.clone(), changes.clone());
        // Each has its own numbers, whatever the others do.
        let random = Rng::with_seed(processes.layout.seed ^ (number as u64 + 1) << 20);
        under_way.spawn(async move {
            tokio::time::sleep_until(start + Duration::from_secs_f64(fault.at_s)).await;
            let one = One { fault, processes, changes };
            one.play(random).await.map_err(|e| format!("fault {}: {e}", one.fault.name))
        });
    }
    let mut done = Vec::new();
    while let Some(fault) = under_way.join_next().await {
        done.push(fault.map_err(|e| e.to_string())??);
    }
    done.sort_by_key(|done: &Done| done.at_us);
    Ok(done)
}

struct One {
    fault: Fault,
    processes: Arc<Processes>,
    changes: Arc<Changes>,
}

impl One {
    async fn play(&self, mut random: Rng) -> Result<Done, String> {
        let layout = &self.processes.layout;
        let (at_us, mut load, mut back_us) = (now_us(), BTreeMap::new(), 0);
        let (mut killed, mut gone) = (Vec::new(), Vec::new());
        let runners = 0..layout.runners.len();
        match self.fault.what {
            What::Runners => {
                let count = self.fault.count;
                gone = self.runners(random.choose_multiple(runners, count)).await?;
            }
            What::Rack => {
                let rack = random.choice(&layout.runners).map_or(0, |runner| runner.rack);
                let own = runners.filter(|n| layout.runners[*n].rack == rack);
                gone = self.runners(own.collect()).await?;
            }
            What::Zone => {
                let zone = random.usize(..layout.zones.len());
                let own = runners.filter(|n| layout.runners[*n].zone == zone);
                gone = self.runners(own.collect()).await?;
            }
            What::Dispatchers => {
                let real = random.choose_multiple(0..self.processes.real.len(), self.fault.count);
                let hollow = self.processes.real.len()..layout.dispatchers.len();
                let hollow = random.choose_multiple(hollow, self.fault.count);
                killed = self.dispatchers(&real, hollow).await?;
            }
            What::Half => {
                let before = self.processes.tell(&Command::Count).await?;
                let half = |numbers: std::ops::Range<usize>| numbers.step_by(2).collect::<Vec<_>>();
                let real = self.processes.real.len();
                let hollow = half(real..layout.dispatchers.len());
                killed = self.dispatchers(&half(0..real), hollow).await?;
                back_us = now_us();
                tokio::time::sleep(AFTER).await;
                for (role, after) in self.processes.tell(&Command::Count).await? {
                    for (name, value) in &after.values {
                        let was = before.get(role).and_then(|counts| counts.values.get(name));
                        load.insert(format!("{role}.{name}"), value - was.copied().unwrap_or(0.0));
                    }
                }
            }
            What::Publisher => {
                if let Some(publisher) = &self.processes.publisher {
                    publisher.down().await;
                    self.away().await;
                    publisher.up().await?;
                }
            }
            What::Link => self.link(Way::Both).await?,
            What::LinkBack => self.link(Way::Back).await?,
            What::RollOut => {
                let seconds = self.fault.back_s.max(0.1);
                self.changes.steadily(self.fault.count as f64 / seconds, seconds).await?;
            }
        }
        // What a restart bore is counted until long after it.
        let back_us = if back_us == 0 { now_us() } else { back_us };
        Ok(Done { name: self.fault.name.clone(), at_us, back_us, killed, gone, load })
    }

    async fn away(&self) {
        tokio::time::sleep(Duration::from_secs_f64(self.fault.back_s)).await;
    }

    /// Machines vanish; discovery hears of it, and of their return, as its agents would tell it.
    async fn runners(&self, runners: Vec<usize>) -> Result<Vec<usize>, String> {
        self.processes.tell(&Command::RunnersDown { runners: runners.clone() }).await?;
        self.changes.runners(&runners, "left", false).await?;
        self.away().await;
        self.processes.tell(&Command::RunnersUp { runners: runners.clone() }).await?;
        self.changes.runners(&runners, "active", true).await?;
        Ok(runners)
    }

    /// Kills them and starts them again; all that were.
    async fn dispatchers(&self, real: &[usize], hollow: Vec<usize>) -> Result<Vec<usize>, String> {
        let mut restarts = JoinSet::new();
        let back = Duration::from_secs_f64(self.fault.back_s);
        for number in real {
            let dispatcher = self.processes.real[*number].clone();
            restarts.spawn(async move { dispatcher.kill(back).await });
        }
        self.processes.tell(&Command::DispatchersDown { dispatchers: hollow.clone() }).await?;
        self.away().await;
        self.processes.tell(&Command::DispatchersUp { dispatchers: hollow.clone() }).await?;
        while let Some(restart) = restarts.join_next().await {
            restart.map_err(|e| e.to_string())??;
        }
        Ok(real.iter().copied().chain(hollow).collect())
    }

    async fn link(&self, way: Way) -> Result<(), String> {
        self.processes.tell(&Command::Link { cut: Some(way) }).await?;
        self.away().await;
        self.processes.tell(&Command::Link { cut: None }).await.map(drop)
    }
}
