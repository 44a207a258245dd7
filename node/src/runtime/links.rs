//! The interfaces that the runtime uses to reach runners, the load digest and discovery.

use crate::core::AttemptId;
use crate::runtime::{Job, Runtime};
use sablerun as sr;
use std::net::SocketAddr;
use std::rc::Rc;

/// A connector to one kind of runner: sends attempts to the runners that it reaches.
pub trait Link {
    /// Whether this link reaches a runner.
    fn reaches(&self, runner: &str) -> bool;
    /// Begins an attempt, and reports its end to the runtime.
    fn start(&self, attempt: AttemptId, id: Rc<str>, runner: &str, job: Rc<Job>, deadline: sr::Time);
    /// Stops waiting for an attempt and notifies its runner. Ignores other links' attempts.
    fn cancel(&self, attempt: AttemptId);
    /// Drops the state of an attempt that has ended.
    fn forget(&self, attempt: AttemptId);
    /// Asks a runner for its load.
    fn probe(&self, runner: &str);
    /// Closes idle connections to a runner.
    fn close_idle(&self, runner: &str);
}

/// The connection to the publisher of a load digest.
pub trait DigestSource {
    /// Requests the full digest again.
    fn fetch_full(&self);
}

/// The connection to discovery.
pub trait RunnerListSource {
    /// Watches the list at this address from now on.
    fn subscribe(&self, address: SocketAddr);
    /// Fetches the full list from this address once.
    fn fetch(&self, address: SocketAddr);
    /// Whether discovery has delivered a list since the start.
    fn has_list(&self) -> bool;
}

impl Runtime {
    /// Adds a connector to runners. Earlier ones take precedence.
    pub fn add_link(&self, link: Rc<dyn Link>) {
        self.links.borrow_mut().push(link);
    }

    pub fn set_list_source(&self, source: Rc<dyn RunnerListSource>) {
        *self.list_source.borrow_mut() = Some(source);
    }

    /// Follows a digest with a frame every `interval`, which is fresh for `max_silence` after each.
    pub fn set_digest_source(&self, source: Rc<dyn DigestSource>, interval: sr::Span, max_silence: sr::Span) {
        self.core.borrow_mut().follow_digest(interval, max_silence);
        *self.digest_source.borrow_mut() = Some(source);
    }
}
