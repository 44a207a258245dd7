//! Checks arriving requests against the other processes of this dispatcher.

use super::Runtime;
use super::job::Job;
use crate::core::{Input, PeerConflict};
use std::rc::Rc;

/// The part of the memory for keys by which the store may grow between two looks at the other process.
const KEY_GROWTH_FRACTION: usize = 4;

impl Runtime {
    /// Claims a place among the open requests for an arriving request. Returns the input for the core, which tells of
    /// the conflict if there is none.
    pub(super) fn claim_for(&self, input: Input<Rc<Job>>) -> Input<Rc<Job>> {
        let Input::Arrived(arrival) = input else { return input };
        match self.resources.open_requests.ensure(self.open() + 1) {
            true => Input::Arrived(arrival),
            false => Input::RuledOutByPeer(arrival.ticket, PeerConflict::NoRoom),
        }
    }

    /// Takes memory for the keys that may come until the next call, as far as the other process leaves it.
    pub fn share_key_memory(&self) {
        let limit = &self.resources.key_memory;
        let Some(used) = self.with_keys(|_, store| store.bytes()) else { return };
        let wanted = (used + limit.capacity() / KEY_GROWTH_FRACTION).min(limit.capacity());
        let granted = if limit.ensure(wanted) { wanted } else { limit.held() };
        limit.release_beyond(wanted);
        self.feed(Input::KeyMemory(granted));
    }

    /// Gives back places among the open requests that are not in use.
    pub(super) fn release_open_requests(&self) {
        self.resources.open_requests.release_beyond(self.open());
    }
}
