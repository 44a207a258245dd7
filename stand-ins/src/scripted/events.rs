//! Things that happened, for a test to wait on. It owns the waiting; it must never wait for a time to pass.

use super::EVENT_TIMEOUT;
use std::sync::{Arc, Condvar, Mutex};

/// Things that happened, for a test to wait on.
#[derive(Clone, Default)]
pub struct Events(Arc<(Mutex<Vec<String>>, Condvar)>);

impl Events {
    pub fn push(&self, event: impl Into<String>) {
        self.0.0.lock().unwrap().push(event.into());
        self.0.1.notify_all();
    }

    pub fn all(&self) -> Vec<String> {
        self.0.0.lock().unwrap().clone()
    }

    pub fn count(&self, part: &str) -> usize {
        self.all().iter().filter(|event| event.contains(part)).count()
    }

    /// Waits until this many events hold the text; the last of them.
    pub fn wait(&self, part: &str, times: usize) -> String {
        let found =
            |all: &Vec<String>| all.iter().filter(|event| event.contains(part)).nth(times - 1).cloned();
        let (all, _) = self
            .0
            .1
            .wait_timeout_while(self.0.0.lock().unwrap(), EVENT_TIMEOUT, |all| found(all).is_none())
            .unwrap();
        found(&all).unwrap_or_else(|| panic!("no {part:?} x{times} among {all:#?}"))
    }
}
