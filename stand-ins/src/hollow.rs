//! Hollow runners: many simulated runners in one process. Each has its own slots, queue, speed, addresses
//! and connections, and follows the platform's protocol; a request only occupies its slot for the time that
//! its body states. They report when each request started. They use loopback addresses only, and know
//! nothing of a dispatcher but its call-back address.
//!
//! Differences from a real runner: results have no content, no request fails, repeats of a key are not
//! dropped, a cold runner survives overload, and call-backs do not use up their tries while a link is
//! partitioned.

mod callbacks;
mod connections;
pub mod metrics;
pub mod profile;
mod runner;
mod shared;
pub mod slots;

pub use crate::region_link::{Partition, View};

use crate::region_link::RegionLink;
use metrics::RunnerMetrics;
use profile::Profile;
use runner::Runner;
use shared::Shared;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Interval between checks for idle call-back connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// A dispatcher. Its number is the first four hexadecimal digits of the ids of its requests.
#[derive(Clone, Copy, Debug)]
pub struct Dispatcher {
    /// The address for call-backs.
    pub callback_address: SocketAddr,
    /// The index of its view.
    pub view: usize,
}

/// The parameters of a runner.
#[derive(Clone, Debug)]
pub struct RunnerSpec {
    /// The name in the runner list.
    pub name: String,
    /// The region that it is in.
    pub region: usize,
    /// The number of requests that can run at once.
    pub slots: u32,
}

/// Called with the id of each request that starts to run and the runner's number.
pub type OnStart = Box<dyn Fn(&str, usize) + Send + Sync>;

/// All hollow runners of a process.
pub struct Runners {
    runners: Vec<Arc<Runner>>,
    shared: Arc<Shared>,
}

impl Runners {
    /// Starts all runners, with empty queues and at full speed.
    ///
    /// # Errors
    ///
    /// If no address can be bound.
    pub async fn start(
        specs: &[RunnerSpec],
        views: &[View],
        dispatchers: &[Dispatcher],
        profile: Profile,
        on_start: OnStart,
    ) -> io::Result<Runners> {
        let shared = Arc::new(Shared {
            profile,
            views: views.to_vec(),
            dispatchers: dispatchers.to_vec(),
            link: RegionLink::default(),
            metrics: RunnerMetrics::default(),
            on_start,
            epoch: tokio::time::Instant::now(),
        });
        let mut runners = Vec::with_capacity(specs.len());
        for (number, spec) in specs.iter().enumerate() {
            runners.push(Runner::start(number, spec, shared.clone()).await?);
        }
        let (swept, common) = (runners.clone(), shared.clone());
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(SWEEP_INTERVAL).await;
                swept.iter().for_each(|runner| runner.close_idle(common.profile.callback_idle_timeout));
            }
        });
        Ok(Runners { runners, shared })
    }

    /// Returns the listening addresses, by runner and view.
    pub fn addresses(&self) -> Vec<Vec<SocketAddr>> {
        self.runners.iter().map(|runner| runner.addresses().to_vec()).collect()
    }

    /// Crashes the runners' machines: connections are reset, new ones are refused, and work is lost.
    ///
    /// # Errors
    ///
    /// If there is no such runner, or if its address was taken by another process.
    pub async fn crash(&self, runners: &[usize]) -> io::Result<()> {
        for runner in self.select(runners)? {
            runner.crash().await?;
        }
        Ok(())
    }

    /// Restarts crashed runners at their addresses, with empty queues and a cold start.
    ///
    /// # Errors
    ///
    /// If there is no such runner, or if it can't listen.
    pub fn restart(&self, runners: &[usize]) -> io::Result<()> {
        self.select(runners)?.into_iter().try_for_each(|runner| runner.restart())
    }

    /// Partitions the link between regions; `None` restores it.
    pub fn set_partition(&self, partition: Option<Partition>) {
        self.shared.link.set(partition);
    }

    /// Returns the runners' metrics.
    pub fn metrics(&self) -> &RunnerMetrics {
        &self.shared.metrics
    }

    fn select(&self, runners: &[usize]) -> io::Result<Vec<&Arc<Runner>>> {
        let one = |&number: &usize| {
            self.runners.get(number).ok_or_else(|| io::Error::other(format!("there is no runner {number}")))
        };
        runners.iter().map(one).collect()
    }
}
