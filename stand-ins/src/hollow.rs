//! Hollow runners: many of the platform's runners in one process. Each has its own slots, queue, speed, addresses
//! and connections, and keeps the platform's protocol; what a request does is to hold its slot for the time that
//! its body states. They own the truth of what began when; they must never leave the loopback addresses, nor know
//! anything of dispatchers but where calls go.
//!
//! What a real runner does and these don't: results hold nothing, nothing fails, repeats of a key are not dropped,
//! a cold one that is flooded stays up, and while a link is cut no try of a call-back is used up.

mod connections;
pub mod metrics;
pub mod profile;
mod runner;
mod shared;
pub mod slots;
mod telling;

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

/// Time between looks at connections that rest.
const SWEEP: Duration = Duration::from_secs(1);

/// A dispatcher, whose number is the first four hexadecimal digits of its requests' ids.
#[derive(Clone, Copy, Debug)]
pub struct Dispatcher {
    /// Where call-backs go.
    pub callback_address: SocketAddr,
    /// Its place among the views.
    pub view: usize,
}

/// A runner to be.
#[derive(Clone, Debug)]
pub struct RunnerSpec {
    /// Its name in discovery's list.
    pub name: String,
    /// The region that it stands in.
    pub region: usize,
    /// Requests that run at once.
    pub slots: u32,
}

/// Told of each request that begins to run: its id, and the runner's number.
pub type OnStart = Box<dyn Fn(&str, usize) + Send + Sync>;

/// All runners.
pub struct Runners {
    all: Vec<Arc<Runner>>,
    shared: Arc<Shared>,
}

impl Runners {
    /// Starts them, warm and empty.
    ///
    /// # Errors
    ///
    /// If an address can't be had.
    pub async fn start(
        planned: &[RunnerSpec],
        views: &[View],
        dispatchers: &[Dispatcher],
        manner: Profile,
        began: OnStart,
    ) -> io::Result<Runners> {
        let shared = Arc::new(Shared {
            manner,
            views: views.to_vec(),
            dispatchers: dispatchers.to_vec(),
            link: RegionLink::default(),
            tally: RunnerMetrics::default(),
            began,
            epoch: tokio::time::Instant::now(),
        });
        let mut all = Vec::with_capacity(planned.len());
        for (number, planned) in planned.iter().enumerate() {
            all.push(Runner::start(number, planned, shared.clone()).await?);
        }
        let (swept, rest) = (all.clone(), shared.clone());
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(SWEEP).await;
                swept.iter().for_each(|runner| runner.sweep(rest.manner.callback_idle_timeout));
            }
        });
        Ok(Runners { all, shared })
    }

    /// Where they listen, by runner and view.
    pub fn addresses(&self) -> Vec<Vec<SocketAddr>> {
        self.all.iter().map(|runner| runner.dial().to_vec()).collect()
    }

    /// Their machines vanish: connections are reset, new ones refused, work is lost.
    ///
    /// # Errors
    ///
    /// If there is no such runner, or if its address was lost to another process.
    pub async fn crash(&self, runners: &[usize]) -> io::Result<()> {
        for runner in self.chosen(runners)? {
            runner.down().await?;
        }
        Ok(())
    }

    /// They are back at their addresses, empty and cold.
    ///
    /// # Errors
    ///
    /// If there is no such runner, or if it can't listen.
    pub fn restart(&self, runners: &[usize]) -> io::Result<()> {
        self.chosen(runners)?.into_iter().try_for_each(|runner| runner.up())
    }

    /// Cuts the link between regions, or makes it whole.
    pub fn set_partition(&self, cut: Option<Partition>) {
        self.shared.link.set(cut);
    }

    /// What was counted.
    pub fn metrics(&self) -> &RunnerMetrics {
        &self.shared.tally
    }

    fn chosen(&self, runners: &[usize]) -> io::Result<Vec<&Arc<Runner>>> {
        let one = |&number: &usize| {
            self.all.get(number).ok_or_else(|| io::Error::other(format!("there is no runner {number}")))
        };
        runners.iter().map(one).collect()
    }
}
