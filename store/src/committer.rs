//! Group commit: steps are queued, and a separate thread writes the waiting steps in one commit, up to a
//! limit. A step is reported as durable only after all steps before it. After a failed commit the thread ends
//! and nothing further is written.

use crate::{JobStore, StoreError};
use sablerun_ledger::Change;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;

/// The result of a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// All steps up to this number are durable.
    Durable(u64),
    /// A commit failed. It is unknown whether any step after the last reported one is durable; the store must
    /// be reopened.
    Failed(StoreError),
}

/// Commits steps on a separate thread, fed by a bounded queue.
pub struct Committer {
    queue: SyncSender<(u64, Vec<Change>)>,
    thread: JoinHandle<()>,
    next_step: u64,
}

impl Committer {
    /// Starts the thread. The queue holds up to `queue_len` steps; a commit takes further steps until it
    /// holds `max_changes` changes. `on_outcome` is called on the thread.
    pub fn start(
        store: impl JobStore + 'static,
        queue_len: usize,
        max_changes: usize,
        on_outcome: impl FnMut(CommitOutcome) + Send + 'static,
    ) -> Committer {
        let (send, receive) = sync_channel(queue_len);
        let thread = std::thread::spawn(move || commit_all(store, &receive, max_changes, on_outcome));
        Committer { queue: send, thread, next_step: 1 }
    }

    /// Queues a step and returns its number. Returns `None` if the queue is full or a commit has failed: then
    /// the step must be rejected.
    pub fn enqueue(&mut self, changes: Vec<Change>) -> Option<u64> {
        match self.queue.try_send((self.next_step, changes)) {
            Ok(()) => {
                self.next_step += 1;
                Some(self.next_step - 1)
            }
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => None,
        }
    }

    /// Waits until all queued steps are committed and reported.
    pub fn shutdown(self) {
        drop(self.queue);
        let _ = self.thread.join();
    }
}

fn commit_all(
    mut store: impl JobStore,
    queue: &Receiver<(u64, Vec<Change>)>,
    max_changes: usize,
    mut on_outcome: impl FnMut(CommitOutcome),
) {
    while let Ok((mut last, mut changes)) = queue.recv() {
        while changes.len() < max_changes
            && let Ok((number, more)) = queue.try_recv()
        {
            last = number;
            changes.extend(more);
        }
        match store.commit(&changes) {
            Ok(()) => on_outcome(CommitOutcome::Durable(last)),
            Err(e) => {
                log::error!(step = last; "jobs: nothing is made durable any more: {e}");
                return on_outcome(CommitOutcome::Failed(e));
            }
        }
    }
}
