//! The network link between regions: intact, or partitioned in one or both directions.

use crate::metrics::TrafficSource;
use tokio::sync::watch;

/// The direction in which the link is partitioned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Partition {
    /// Nothing passes.
    BothDirections,
    /// What dispatchers send arrives, but nothing passes back to them.
    ToDispatchers,
}

/// A group of dispatchers to which a stand-in is reachable at an address of its own, so that a partition
/// and the traffic of each source can be told apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct View {
    /// The region that the dispatchers are in.
    pub region: usize,
    /// The traffic source under which their traffic is counted.
    pub source: TrafficSource,
}

/// The link between regions.
pub struct RegionLink(watch::Sender<Option<Partition>>);

impl Default for RegionLink {
    fn default() -> RegionLink {
        RegionLink(watch::channel(None).0)
    }
}

impl RegionLink {
    /// Partitions the link; `None` restores it.
    pub fn set(&self, partition: Option<Partition>) {
        self.0.send_replace(partition);
    }

    /// Returns the partition between two regions.
    pub fn partition(&self, one: usize, other: usize) -> Option<Partition> {
        (one != other).then(|| *self.0.borrow()).flatten()
    }

    /// Returns once the link between two regions is intact.
    pub async fn wait_restored(&self, one: usize, other: usize) {
        if one != other {
            // Cannot fail: `self` holds the sender.
            let _ = self.0.subscribe().wait_for(Option::is_none).await;
        }
    }
}
