//! The link between regions: whole, or silent one way or both. It owns that state and the waiting for it; it must
//! never touch a connection.

use crate::tally::Side;
use tokio::sync::watch;

/// How the link is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Nothing passes.
    Both,
    /// What dispatchers send arrives; nothing comes back to them.
    Back,
}

/// From where dispatchers see a stand-in: each of these has an address of its own, so that a cut link and each
/// side's bytes can be told apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct View {
    /// The region that they stand in.
    pub region: usize,
    /// What they cause is counted under this.
    pub side: Side,
}

/// The link.
pub struct Link(watch::Sender<Option<Cut>>);

impl Default for Link {
    fn default() -> Link {
        Link(watch::channel(None).0)
    }
}

impl Link {
    /// Cuts it, or makes it whole.
    pub fn set(&self, cut: Option<Cut>) {
        self.0.send_replace(cut);
    }

    /// How it is cut, for two ends that stand in these regions.
    pub fn cut(&self, one: usize, other: usize) -> Option<Cut> {
        (one != other).then(|| *self.0.borrow()).flatten()
    }

    /// Returns once it is whole for two ends in these regions.
    pub async fn whole(&self, one: usize, other: usize) {
        if one != other {
            // The sender is alive: it is part of this.
            let _ = self.0.subscribe().wait_for(Option::is_none).await;
        }
    }
}
