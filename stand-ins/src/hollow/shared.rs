//! What all hollow runners of a process have in common. It owns the meaning of a request's id; it must never hold
//! anything that is one runner's.

use super::metrics::RunnerMetrics;
use super::profile::Profile;
use super::{Dispatcher, OnStart, View};
use crate::metrics::TrafficSource;
use crate::region_link::RegionLink;
use tokio::time::Instant;

/// What all runners have in common.
pub struct Shared {
    pub manner: Profile,
    pub views: Vec<View>,
    pub dispatchers: Vec<Dispatcher>,
    pub link: RegionLink,
    pub tally: RunnerMetrics,
    pub began: OnStart,
    /// Times of slots count from here.
    pub epoch: Instant,
}

impl Shared {
    /// The dispatcher that an id names by its first digits, if it has the form of one.
    pub fn dispatcher(&self, id: &str) -> Option<usize> {
        let formed = id.len() == 16 && id.bytes().all(|b| b.is_ascii_hexdigit());
        let number = usize::from_str_radix(id.get(..4).filter(|_| formed)?, 16).ok()?;
        (number < self.dispatchers.len()).then_some(number)
    }

    /// From where a dispatcher sees runners.
    pub fn view(&self, dispatcher: usize) -> View {
        self.views[self.dispatchers[dispatcher].view]
    }

    /// The side of a dispatcher.
    pub fn side(&self, dispatcher: usize) -> TrafficSource {
        self.view(dispatcher).source
    }

    pub fn now_us(&self) -> u64 {
        self.epoch.elapsed().as_micros() as u64
    }
}
