//! Tickets: the clients that wait for an answer, and the metrics of their classes.

use super::{Runtime, Ticket};
use crate::core::{Answer, Input};
use crate::metrics::ClassMetrics;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::oneshot;

/// Represents a waiting client. Dropping it before the answer means that the client has disconnected.
pub struct ClientGuard {
    runtime: Rc<Runtime>,
    ticket: Ticket,
}

impl ClientGuard {
    pub fn new(runtime: &Rc<Runtime>, ticket: Ticket) -> ClientGuard {
        ClientGuard { runtime: runtime.clone(), ticket }
    }
}

impl Drop for ClientGuard {
    fn drop(&mut self) {
        self.runtime.client_gone(self.ticket);
    }
}

/// The channel for a ticket's answer, and the counters of its class.
pub(super) type Waiter = (oneshot::Sender<Answer>, Arc<ClassMetrics>);

impl Runtime {
    /// Creates a ticket for a new request of a class, and the channel on which its answer arrives.
    pub fn ticket(&self, class: u32) -> (Ticket, oneshot::Receiver<Answer>) {
        self.last_ticket.set(self.last_ticket.get() + 1);
        let ticket = Ticket(self.last_ticket.get());
        let (sender, receiver) = oneshot::channel();
        let metrics = self.class_metrics(class);
        self.waiters.borrow_mut().insert(ticket, (sender, metrics));
        (ticket, receiver)
    }

    fn class_metrics(&self, class: u32) -> Arc<ClassMetrics> {
        let mut classes = self.metrics_by_class.borrow_mut();
        while classes.len() <= class as usize {
            let name = self.with_tables(|tables| tables.classes.name(classes.len() as u32).to_owned());
            classes.push(self.metrics.class(&name));
        }
        classes[class as usize].clone()
    }

    /// Registers the metrics of every class, so that classes without a job are shown too.
    pub fn register_classes(&self) {
        let all = self.with_tables(|tables| tables.classes.all().len());
        if let Some(last) = all.checked_sub(1) {
            self.class_metrics(last as u32);
        }
    }

    /// Handles a client's disconnection. Does nothing if its ticket is already answered.
    pub fn client_gone(&self, ticket: Ticket) {
        if self.waiters.borrow_mut().remove(&ticket).is_some() {
            log::debug!("a client has left, ticket {}", ticket.0);
            self.feed(Input::ClientGone(ticket));
        }
    }
}
