//! Hooks for an observer within the process: the lab, which runs many dispatchers in one process and has no
//! log of each. Observation does not change behaviour, and costs nothing without an observer.

use super::Runtime;
use crate::core::{Effect, Input};
use crate::runtime::Job;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Receives events of a dispatcher.
pub trait Observer {
    /// The core processed an input of this kind in this time.
    fn stepped(&self, input: &'static str, took: Duration);
    /// The runner list, or a change of it, at this version is being passed to the core.
    fn listed(&self, version: u64);
}

impl Runtime {
    /// Sets the observer. Ignored if there is one already.
    pub fn set_observer(&self, observer: Rc<dyn Observer>) {
        let _ = self.observer.set(observer);
    }

    /// The observer, if there is one.
    pub fn observer(&self) -> Option<&Rc<dyn Observer>> {
        self.observer.get()
    }

    /// Runs one step of the core, timed if there is an observer.
    pub(super) fn step(&self, input: Input<Rc<Job>>) -> Vec<Effect<Rc<Job>>> {
        let now = self.clock.now();
        let Some(observer) = self.observer() else { return self.core.borrow_mut().step(now, input) };
        let (name, began) = (input.name(), Instant::now());
        let effects = self.core.borrow_mut().step(now, input);
        observer.stepped(name, began.elapsed());
        effects
    }
}
