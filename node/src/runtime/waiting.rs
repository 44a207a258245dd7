//! Who waits for which answer. It owns the tickets' table and the counters of their classes, and must
//! never decide an answer.

use super::{Runtime, Ticket};
use crate::core::{Answer, Input};
use crate::metrics::ClassMetrics;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::oneshot;

/// A client that waits for its answer; once dropped without it, the client has gone away.
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

/// Who waits for a ticket's answer, and the counters of its class.
pub(super) type Waiting = (oneshot::Sender<Answer>, Arc<ClassMetrics>);

impl Runtime {
    /// A ticket for a new request of a class, and where its answer will arrive.
    pub fn ticket(&self, class: u32) -> (Ticket, oneshot::Receiver<Answer>) {
        self.tickets.set(self.tickets.get() + 1);
        let ticket = Ticket(self.tickets.get());
        let (send, receive) = oneshot::channel();
        let figures = self.class_figures(class);
        self.waiting.borrow_mut().insert(ticket, (send, figures));
        (ticket, receive)
    }

    fn class_figures(&self, class: u32) -> Arc<ClassMetrics> {
        let mut classes = self.classes.borrow_mut();
        while classes.len() <= class as usize {
            let name = self.with_tables(|tables| tables.classes.name(classes.len() as u32).to_owned());
            classes.push(self.metrics.class(&name));
        }
        classes[class as usize].clone()
    }

    /// Shows the figures of every class from now on, those without a job yet too.
    pub fn register_classes(&self) {
        let all = self.with_tables(|tables| tables.classes.all().len());
        if let Some(last) = all.checked_sub(1) {
            self.class_figures(last as u32);
        }
    }

    /// The client of a ticket has left; nothing happens if it was answered.
    pub fn client_gone(&self, ticket: Ticket) {
        if self.waiting.borrow_mut().remove(&ticket).is_some() {
            log::debug!("a client has left, ticket {}", ticket.0);
            self.feed(Input::ClientGone(ticket));
        }
    }
}
