//! What the core tells of its state, and what it reports besides.

use super::{Core, Tally};
use sablerun_settings::Tables;

impl<J: Clone> Core<J> {
    /// The name tables, for fronts that check the names that clients send.
    pub fn tables(&self) -> &Tables {
        &self.tables
    }

    /// Reports each request that is removed from now on.
    pub fn report_removed_requests(&mut self) {
        self.report_removed = true;
    }

    /// Whether a request with this id is present, answered or not.
    pub fn has_request(&self, id: &str) -> bool {
        self.requests_by_id.contains_key(id)
    }

    /// The number of tickets without a final answer.
    pub fn open(&self) -> usize {
        self.requests_by_ticket.len()
    }

    /// The number of requests in memory, answered or not, and of their ids; both are 0 when idle.
    pub fn retained(&self) -> (usize, usize) {
        (self.requests.len(), self.requests_by_id.len())
    }

    /// The counters since the start.
    pub fn tally(&self) -> Tally {
        self.tally
    }
}
