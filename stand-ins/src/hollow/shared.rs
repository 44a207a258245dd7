//! State shared by all hollow runners of a process, and the mapping from request ids to dispatchers.

use super::metrics::RunnerMetrics;
use super::profile::Profile;
use super::{Dispatcher, OnStart, View};
use crate::metrics::TrafficSource;
use crate::region_link::RegionLink;
use tokio::time::Instant;

/// State shared by all runners.
pub struct Shared {
    pub profile: Profile,
    pub views: Vec<View>,
    pub dispatchers: Vec<Dispatcher>,
    pub link: RegionLink,
    pub metrics: RunnerMetrics,
    pub on_start: OnStart,
    /// The origin of the times in `slots`.
    pub epoch: Instant,
}

impl Shared {
    /// Returns the dispatcher named by the first digits of a request id, if the id is well formed.
    pub fn dispatcher_of(&self, id: &str) -> Option<usize> {
        let well_formed = id.len() == 16 && id.bytes().all(|b| b.is_ascii_hexdigit());
        let number = usize::from_str_radix(id.get(..4).filter(|_| well_formed)?, 16).ok()?;
        (number < self.dispatchers.len()).then_some(number)
    }

    /// Returns the view of a dispatcher.
    pub fn view(&self, dispatcher: usize) -> View {
        self.views[self.dispatchers[dispatcher].view]
    }

    /// Returns the traffic source of a dispatcher.
    pub fn source(&self, dispatcher: usize) -> TrafficSource {
        self.view(dispatcher).source
    }

    pub fn now_us(&self) -> u64 {
        self.epoch.elapsed().as_micros() as u64
    }
}
