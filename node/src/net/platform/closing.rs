//! Closing of connections: eviction when the table is full, and all of them at shutdown. Never closes a
//! connection whose request has no response yet, nor an idle one over a request that waits to be read.

use crate::net::platform::Front;
use crate::net::platform::connection::{Connection, Traffic};
use crate::net::platform::lifecycle::{CloseMode, Stage};
use crate::net::platform::shutdown::{Observation, Phase, Shutdown};
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

impl Front {
    /// Evicts connections ahead of need where any can be evicted, because a connection takes time to close.
    pub fn make_room(&self) {
        let limits = &self.runtime.limits;
        let most = self.runtime.resources.client_connections.available();
        let connections = self.connections.borrow();
        let wanted = (connections.len() + most / 16 + 1).saturating_sub(most);
        let closing = connections.values().filter(|(c, _)| c.is_closing_or_evicted()).count();
        if wanted > closing {
            let mut evictable: Vec<_> =
                connections.values().filter_map(|(c, _)| Some((c.eviction_rank(limits)?, c))).collect();
            evictable.sort_by_key(|(rank, _)| *rank);
            evictable
                .iter()
                .take(wanted - closing)
                .for_each(|(_, connection)| connection.request_close(CloseMode::Immediate));
        }
        if connections.len() >= most {
            // The last response was written a while ago and the client has not closed its side.
            let lingering = |(c, _): &&(Rc<Connection>, AbortHandle)| {
                c.is_closing() && c.last_activity.get().elapsed() > limits.flush_timeout
            };
            if let Some((_, task)) = connections.values().find(lingering) {
                task.abort();
            }
        }
    }

    /// Whether the table is at 90 % of its limit: then connections close after each response, so that
    /// clients in the listen queue get their turn. Connections without traffic don't count: they are evicted
    /// on demand, and must not cost active clients theirs.
    pub(super) fn near_limit(&self) -> bool {
        let used = |(c, _): &&(Rc<Connection>, AbortHandle)| c.traffic.get() != Traffic::Nothing;
        let used = self.connections.borrow().values().filter(used).count();
        used * 10 >= self.runtime.resources.client_connections.available() * 9
    }

    /// Shuts down gracefully. On a shared socket the successor accepts new connections at once, and
    /// clients' idle connections close at once, so that clients reconnect to it. Otherwise the platform needs a
    /// grace period to notice, in which clients are served as usual.
    pub async fn shut_down(&self, mut shutdown: Shutdown, shared: bool) {
        let started = Instant::now();
        if shared {
            self.stop_accepting();
        }
        let mut observed = Observation::default();
        loop {
            let before = shutdown.phase();
            observed.elapsed = started.elapsed();
            observed.active = self.runtime.open() + self.active_connections();
            observed.connections = self.connections.borrow().len();
            match shutdown.step(&observed) {
                Phase::Draining if before == Phase::Serving => {
                    log::info!("closing client connections: {}", self.runtime.summary());
                    self.runtime.begin_shutdown();
                    // Not runners' connections: the jobs in progress still need their call-backs.
                    self.request_close_of(|c| c.traffic.get() == Traffic::Requests, CloseMode::Graceful);
                }
                Phase::FinalAccept => observed.accepted = if shared { 0 } else { self.accept_queued().await },
                Phase::Closing if before == Phase::FinalAccept => {
                    self.unregister();
                    self.request_close_of(
                        |c| matches!(c.lifecycle.get().stage(), Stage::New | Stage::Idle),
                        CloseMode::Immediate,
                    );
                    self.request_close_of(|_| true, CloseMode::Graceful);
                }
                Phase::Done => return,
                _ => {}
            }
            let pause = shutdown.next_check().saturating_sub(started.elapsed());
            tokio::time::sleep(pause.max(self.runtime.limits.shutdown_poll_interval)).await;
        }
    }

    fn request_close_of(&self, selected: impl Fn(&Connection) -> bool, mode: CloseMode) {
        let connections = self.connections.borrow();
        connections.values().filter(|(c, _)| selected(c)).for_each(|(c, _)| c.request_close(mode));
    }

    /// Returns the number of connections on which something is being read, awaited or written.
    fn active_connections(&self) -> usize {
        self.connections.borrow().values().filter(|(c, _)| c.lifecycle.get().is_active()).count()
    }

    /// Accepts all queued connections and returns their number. If there are none, the listener closes
    /// without another chance for one to be queued in between.
    async fn accept_queued(&self) -> usize {
        let (sender, accepted) = oneshot::channel();
        *self.final_accept.borrow_mut() = Some(sender);
        self.stop_accepting.notify_one();
        // While the table is full nothing is accepted: report one, so that the caller tries again.
        let accepted = tokio::time::timeout(self.runtime.limits.accept_pause, accepted).await;
        accepted.map_or(1, |accepted| accepted.unwrap_or(0))
    }
}
