//! Group commit: steps are queued, and a thread of its own makes as many of them durable in one commit as
//! wait by then. It owns the queue's bound and the order: a step is told to be durable only after all
//! before it. After a commit that failed it makes nothing durable any more.

use crate::{JobStore, StoreError};
use sablerun_ledger::Change;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;

/// What became of the steps up to a number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// All up to this one are durable.
    Durable(u64),
    /// A commit failed: of the steps after the last that was told, none may be relied on. The store is to
    /// be opened anew.
    Failed(StoreError),
}

/// A thread that commits.
pub struct Committer {
    queue: SyncSender<(u64, Vec<Change>)>,
    thread: JoinHandle<()>,
    next: u64,
}

impl Committer {
    /// Starts it with a queue of so many steps; `told` hears the outcomes, on that thread.
    pub fn start(
        store: impl JobStore + 'static,
        queue: usize,
        most: usize,
        told: impl FnMut(CommitOutcome) + Send + 'static,
    ) -> Committer {
        let (send, receive) = sync_channel(queue);
        let thread = std::thread::spawn(move || commit_all(store, &receive, most, told));
        Committer { queue: send, thread, next: 1 }
    }

    /// Queues a step; its number. `None` if the queue is full or the disk has failed: the step must not
    /// be taken then.
    pub fn enqueue(&mut self, changes: Vec<Change>) -> Option<u64> {
        match self.queue.try_send((self.next, changes)) {
            Ok(()) => {
                self.next += 1;
                Some(self.next - 1)
            }
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => None,
        }
    }

    /// Waits until all that was queued has been told.
    pub fn shutdown(self) {
        drop(self.queue);
        let _ = self.thread.join();
    }
}

fn commit_all(
    mut store: impl JobStore,
    queue: &Receiver<(u64, Vec<Change>)>,
    most: usize,
    mut told: impl FnMut(CommitOutcome),
) {
    while let Ok((mut last, mut changes)) = queue.recv() {
        while changes.len() < most
            && let Ok((number, more)) = queue.try_recv()
        {
            last = number;
            changes.extend(more);
        }
        match store.commit(&changes) {
            Ok(()) => told(CommitOutcome::Durable(last)),
            Err(e) => {
                log::error!(step = last; "jobs: nothing is made durable any more: {e}");
                return told(CommitOutcome::Failed(e));
            }
        }
    }
}
