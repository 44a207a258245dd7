//! Checks arriving requests against the other processes of this dispatcher.

use super::Runtime;
use super::job::Job;
use crate::core::{Arrival, Input, PeerConflict};
use crate::shared::{IdClaim, RequestIds};
use std::rc::Rc;

/// The part of the memory for keys by which the store may grow between two looks at the other process.
const KEY_GROWTH_FRACTION: usize = 4;
const NANOSECONDS_PER_MILLISECOND: u64 = 1_000_000;

impl Runtime {
    /// Claims what an arriving request needs: its id, and a place among the open requests. Returns the input for the
    /// core, which tells of the conflict if another process has one of them.
    pub(super) fn claim_for(&self, input: Input<Rc<Job>>) -> Input<Rc<Job>> {
        let Some(ids) = &self.resources.request_ids else { return input };
        let Input::Arrived(arrival) = input else { return input };
        match self.peer_conflict(ids, &arrival) {
            Some(conflict) => Input::RuledOutByPeer(arrival.ticket, conflict),
            None => Input::Arrived(arrival),
        }
    }

    fn peer_conflict(&self, ids: &RequestIds, arrival: &Arrival<Rc<Job>>) -> Option<PeerConflict> {
        let core = self.core.borrow();
        if core.has_request(&arrival.id) {
            // Claimed already: the core decides.
            return None;
        }
        if !self.resources.open_requests.ensure(core.open() + 1) {
            return Some(PeerConflict::NoRoom);
        }
        let job = &arrival.job;
        let key =
            arrival.key.as_ref().map(|key| [&*key.text, &job.class, job.tenant.as_deref().unwrap_or("")]);
        let milliseconds = |time: sablerun::Time| time.0 / NANOSECONDS_PER_MILLISECOND;
        let (now, deadline) = (milliseconds(self.clock.now()), milliseconds(arrival.deadline));
        match ids.claim(&arrival.id, key, now, deadline) {
            IdClaim::Granted => None,
            IdClaim::Taken => Some(PeerConflict::IdTaken),
            IdClaim::TakenBySameKey => Some(PeerConflict::IdTakenBySameKey),
        }
    }

    /// Releases an id, unless the core has a request of it.
    pub(super) fn release_id(&self, id: &str) {
        if let Some(ids) = self.resources.request_ids.as_ref().filter(|_| !self.has_request(id)) {
            ids.release(id);
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
