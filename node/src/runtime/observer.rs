//! Who looks on at a dispatcher from within its process: the lab, which plays many in one and has no log of each.
//! It owns what such a one is shown. It must never change what is done, nor cost anything where nobody looks.

use super::Runtime;
use crate::core::{Effect, Input};
use crate::runtime::Job;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Somebody who looks on.
pub trait Observer {
    /// The core took so long over an input of this kind.
    fn stepped(&self, input: &'static str, took: Duration);
    /// The list, or a change of it, at this version is handed to the core now.
    fn listed(&self, version: u64);
}

impl Runtime {
    /// Lets somebody look on from now on; the first one stays.
    pub fn set_observer(&self, observer: Rc<dyn Observer>) {
        let _ = self.observer.set(observer);
    }

    /// Who looks on, if anybody does.
    pub fn observer(&self) -> Option<&Rc<dyn Observer>> {
        self.observer.get()
    }

    /// One step of the core, timed where somebody looks on.
    pub(super) fn step(&self, input: Input<Rc<Job>>) -> Vec<Effect<Rc<Job>>> {
        let now = self.clock.now();
        let Some(observer) = self.observer() else { return self.core.borrow_mut().step(now, input) };
        let (name, began) = (input.name(), Instant::now());
        let effects = self.core.borrow_mut().step(now, input);
        observer.stepped(name, began.elapsed());
        effects
    }
}
