//! The link between regions: whole, or silent one way or both. It owns that state and the waiting for it; it must
//! never touch a connection.

use crate::metrics::TrafficSource;
use tokio::sync::watch;

/// How the link is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Partition {
    /// Nothing passes.
    BothDirections,
    /// What dispatchers send arrives; nothing comes back to them.
    ToDispatchers,
}

/// From where dispatchers see a stand-in: each of these has an address of its own, so that a cut link and each
/// side's bytes can be told apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct View {
    /// The region that they stand in.
    pub region: usize,
    /// What they cause is counted under this.
    pub source: TrafficSource,
}

/// The link.
pub struct RegionLink(watch::Sender<Option<Partition>>);

impl Default for RegionLink {
    fn default() -> RegionLink {
        RegionLink(watch::channel(None).0)
    }
}

impl RegionLink {
    /// Cuts it, or makes it whole.
    pub fn set(&self, cut: Option<Partition>) {
        self.0.send_replace(cut);
    }

    /// How it is cut, for two ends that stand in these regions.
    pub fn partition(&self, one: usize, other: usize) -> Option<Partition> {
        (one != other).then(|| *self.0.borrow()).flatten()
    }

    /// Returns once it is whole for two ends in these regions.
    pub async fn wait_restored(&self, one: usize, other: usize) {
        if one != other {
            // The sender is alive: it is part of this.
            let _ = self.0.subscribe().wait_for(Option::is_none).await;
        }
    }
}
