//! Fault injection: wraps a store and makes its commits fail or delay as planned. For tests.

use crate::{JobStore, StoreContents, StoreError};
use sablerun_ledger::Change;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The fault of one commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// The disk is full; nothing is written.
    Full,
    /// The sync fails although the changes are written.
    SyncWritten,
    /// The sync fails and nothing is written.
    SyncLost,
    /// The commit is delayed.
    Slow(Duration),
}

/// A store with injected faults.
pub struct FaultyStore<S> {
    store: S,
    plan: Arc<Mutex<VecDeque<Fault>>>,
}

impl<S: JobStore> FaultyStore<S> {
    /// Wraps a store. Each commit uses up one planned fault; commits after the last one succeed.
    pub fn new(store: S, plan: impl IntoIterator<Item = Fault>) -> FaultyStore<S> {
        FaultyStore { store, plan: Arc::new(Mutex::new(plan.into_iter().collect())) }
    }

    /// Returns the plan, so that faults can be added while the store is in use.
    pub fn plan(&self) -> Arc<Mutex<VecDeque<Fault>>> {
        self.plan.clone()
    }
}

impl<S: JobStore> JobStore for FaultyStore<S> {
    fn load(&mut self) -> Result<StoreContents, StoreError> {
        self.store.load()
    }

    fn commit(&mut self, changes: &[Change]) -> Result<(), StoreError> {
        let fault = self.plan.lock().map_or(None, |mut plan| plan.pop_front());
        match fault.unwrap_or(Fault::None) {
            Fault::None => self.store.commit(changes),
            Fault::Full => Err(StoreError::DiskFull),
            Fault::SyncLost => Err(StoreError::Io("the sync failed".to_owned())),
            Fault::SyncWritten => {
                self.store.commit(changes)?;
                Err(StoreError::Io("the sync failed".to_owned()))
            }
            Fault::Slow(delay) => {
                std::thread::sleep(delay);
                self.store.commit(changes)
            }
        }
    }

    fn size(&self) -> u64 {
        self.store.size()
    }
}
