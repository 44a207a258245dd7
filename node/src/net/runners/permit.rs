//! The permission to send an attempt, which is checked at each write: an attempt counts by its last byte.

use super::pool::PooledConnection;
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use tokio::net::TcpStream;

tokio::task_local! {
    /// The send permit of the attempt that the task makes; other requests need none.
    pub static SEND_PERMIT: Rc<SendPermit>;
}

/// Decides whether an attempt may still be sent, at the moment of each write. That may come long after the attempt
/// was started: the connection may be slow to open or to take the body, or the runner may have to confirm a
/// cancellation of the same job first.
pub struct SendPermit {
    granted: Box<dyn Fn() -> bool>,
    denied: Cell<bool>,
    /// The connection on which the attempt is sent, once it has begun.
    connection: RefCell<Option<Weak<PooledConnection>>>,
}

impl SendPermit {
    pub fn new(granted: impl Fn() -> bool + 'static) -> Rc<SendPermit> {
        Rc::new(SendPermit {
            granted: Box::new(granted),
            denied: Cell::default(),
            connection: RefCell::default(),
        })
    }

    /// Returns whether the attempt may write to this connection.
    pub(super) fn begin(&self, connection: &Rc<PooledConnection>) -> bool {
        let begins = (self.granted)();
        if begins {
            self.connection.borrow_mut().get_or_insert_with(|| Rc::downgrade(connection));
        }
        self.denied.set(!begins);
        begins
    }

    /// Whether the attempt had a connection but was not allowed to write all, which is no fault of its runner.
    pub fn denied(&self) -> bool {
        self.denied.get()
    }

    /// Takes the attempt's connection away from the pool, so that nothing that arrives on it can be read as
    /// the response to another request. None if the attempt has not begun.
    pub fn take_connection(&self) -> Option<TcpStream> {
        self.connection.borrow().as_ref().and_then(Weak::upgrade)?.take_stream()
    }
}
