//! A log of events for tests to wait on.

use super::EVENT_TIMEOUT;
use std::sync::{Arc, Condvar, Mutex};

/// A log of events that a test can wait on.
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

    pub fn count(&self, text: &str) -> usize {
        self.all().iter().filter(|event| event.contains(text)).count()
    }

    /// Waits until this many events contain the text. Returns the last of them.
    pub fn wait(&self, text: &str, count: usize) -> String {
        let found =
            |all: &Vec<String>| all.iter().filter(|event| event.contains(text)).nth(count - 1).cloned();
        let (all, _) = self
            .0
            .1
            .wait_timeout_while(self.0.0.lock().unwrap(), EVENT_TIMEOUT, |all| found(all).is_none())
            .unwrap();
        found(&all).unwrap_or_else(|| panic!("{text:?} does not occur {count} times in {all:#?}"))
    }
}
