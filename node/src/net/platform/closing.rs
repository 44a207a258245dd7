//! Connections asked to leave: one by one where there is no room, and all of them at the program's end. It
//! owns who is asked and when the listener is let go; it must never close a connection over a request.

use crate::net::platform::Front;
use crate::net::platform::connection::{Carried, Connection};
use crate::net::platform::lifecycle::{CloseMode, Stage};
use crate::net::platform::shutdown::{Observation, Phase, Shutdown};
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

impl Front {
    /// Has so many connections on their way out that those who come next find room, where any can be
    /// spared: a connection takes its time to end.
    pub(super) fn make_room(&self) {
        let limits = &self.runtime.limits;
        let connections = self.connections.borrow();
        let wanted = (connections.len() + limits.max_client_connections / 16 + 1)
            .saturating_sub(limits.max_client_connections);
        let leaving = connections.values().filter(|(c, _)| c.leaves()).count();
        if wanted > leaving {
            let mut spare: Vec<_> =
                connections.values().filter_map(|(c, _)| Some((c.rank(limits)?, c))).collect();
            spare.sort_by_key(|(rank, _)| *rank);
            spare
                .iter()
                .take(wanted - leaving)
                .for_each(|(_, connection)| connection.ask(CloseMode::Immediate));
        }
        if connections.len() >= limits.max_client_connections {
            // Its last answer has been out for a while, and its client does not end its side.
            let ended = |(c, _): &&(Rc<Connection>, AbortHandle)| {
                c.ends() && c.touched.get().elapsed() > limits.flush_timeout
            };
            if let Some((_, task)) = connections.values().find(ended) {
                task.abort();
            }
        }
    }

    /// Near the limit connections are not kept, so that those who wait for one get their turn. Silent ones
    /// don't count: they are closed for those who wait, and must not cost clients theirs.
    pub(super) fn crowded(&self) -> bool {
        let used = |(c, _): &&(Rc<Connection>, AbortHandle)| c.carried.get() != Carried::Nothing;
        let used = self.connections.borrow().values().filter(used).count();
        used * 10 >= self.runtime.limits.max_client_connections * 9
    }

    /// The way to the program's end. A shared socket has a successor behind it: new connections are its,
    /// at once, and clients leave idle ones for it. Else the platform needs a spell to notice, in which
    /// clients find this process as usual.
    pub async fn shut_down(&self, mut ending: Shutdown, shared: bool) {
        let told = Instant::now();
        if shared {
            self.stop_accepting();
        }
        let mut seen = Observation::default();
        loop {
            let before = ending.phase();
            seen.elapsed = told.elapsed();
            seen.active = self.runtime.open() + self.under_way();
            seen.connections = self.connections.borrow().len();
            match ending.step(&seen) {
                Phase::Draining if before == Phase::Serving => {
                    log::info!("lets clients go: {}", self.runtime.summary());
                    self.runtime.begin_shutdown();
                    // But not runners, whose call-backs the jobs under way still need.
                    self.ask_all(|c| c.carried.get() == Carried::Requests, CloseMode::Graceful);
                }
                Phase::FinalAccept => seen.accepted = if shared { 0 } else { self.last_look().await },
                Phase::Closing if before == Phase::FinalAccept => {
                    self.unregister();
                    self.ask_all(
                        |c| matches!(c.life.get().stage(), Stage::New | Stage::Idle),
                        CloseMode::Immediate,
                    );
                    self.ask_all(|_| true, CloseMode::Graceful);
                }
                Phase::Done => return,
                _ => {}
            }
            let pause = ending.next_check().saturating_sub(told.elapsed());
            tokio::time::sleep(pause.max(self.runtime.limits.shutdown_poll_interval)).await;
        }
    }

    fn ask_all(&self, whom: impl Fn(&Connection) -> bool, how: CloseMode) {
        self.connections.borrow().values().filter(|(c, _)| whom(c)).for_each(|(c, _)| c.ask(how));
    }

    /// Connections with something being read or written.
    fn under_way(&self) -> usize {
        self.connections.borrow().values().filter(|(c, _)| c.life.get().is_active()).count()
    }

    /// Accepts whoever waits for it; how many. If nobody does, the listener closes in the same breath.
    async fn last_look(&self) -> usize {
        let (tell, told) = oneshot::channel();
        *self.look.borrow_mut() = Some(tell);
        self.no_more.notify_one();
        // Where the table is full nobody is accepted, but may be soon.
        let told = tokio::time::timeout(self.runtime.limits.accept_pause, told).await;
        told.map_or(1, |told| told.unwrap_or(0))
    }
}
