//! A store that fails as told, before another one: for tests of what is promised when the disk does not
//! hold. It owns no data.

use crate::{JobStore, StoreContents, StoreError};
use sablerun_ledger::Change;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What a commit meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It goes well.
    None,
    /// There is no room; nothing is written.
    Full,
    /// The sync fails, and nobody can tell what is written: it is.
    SyncWritten,
    /// The sync fails, and nothing is written.
    SyncLost,
    /// It takes so long.
    Slow(Duration),
}

/// A store with faults before it.
pub struct FaultyStore<S> {
    store: S,
    plan: Arc<Mutex<VecDeque<Fault>>>,
}

impl<S: JobStore> FaultyStore<S> {
    /// Puts planned faults before a store; after them all goes well.
    pub fn new(store: S, plan: impl IntoIterator<Item = Fault>) -> FaultyStore<S> {
        FaultyStore { store, plan: Arc::new(Mutex::new(plan.into_iter().collect())) }
    }

    /// The plan, to add to while it runs.
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
            Fault::Slow(time) => {
                std::thread::sleep(time);
                self.store.commit(changes)
            }
        }
    }

    fn size(&self) -> u64 {
        self.store.size()
    }
}
