//! What the runtime asks of the wires: ways to runners and to discovery. It must never name one of them.

use crate::core::AttemptId;
use crate::runtime::Job;
use sablerun as sr;
use std::net::SocketAddr;
use std::rc::Rc;

/// A way to runners: carries attempts to those that it knows.
pub trait Link {
    /// Whether this link leads to a runner.
    fn reaches(&self, runner: &str) -> bool;
    /// Begins an attempt; tells the runtime how it ends.
    fn start(&self, attempt: AttemptId, id: Rc<str>, runner: &str, job: Rc<Job>, deadline: sr::Time);
    /// Stops waiting for an attempt and lets its runner know. Attempts that are not its own are ignored.
    fn cancel(&self, attempt: AttemptId);
    /// Lets go of an attempt that has ended.
    fn forget(&self, attempt: AttemptId);
    /// Asks a runner for its load.
    fn probe(&self, runner: &str);
    /// Closes idle connections to a runner.
    fn close_idle(&self, runner: &str);
}

/// The way to a load digest.
pub trait DigestSource {
    /// Asks for the whole anew.
    fn fetch_full(&self);
}

/// The way to discovery.
pub trait RunnerListSource {
    /// Asks this address for changes from now on.
    fn subscribe(&self, at: SocketAddr);
    /// Asks this address for the whole list once.
    fn fetch(&self, at: SocketAddr);
    /// Whether discovery has told a list since the start.
    fn has_list(&self) -> bool;
}
