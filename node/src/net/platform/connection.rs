//! What the front knows of an accepted connection: where it stands, what it has carried and whether it can
//! be spared. It must never read, write or close anything.

use crate::limits::Limits;
use crate::net::platform::lifecycle::{CloseMode, Lifecycle, Stage};
use std::cell::{Cell, RefCell};
use std::task::Waker;
use std::time::Instant;
use tokio::net::TcpStream;

/// What a connection has carried.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Carried {
    Nothing,
    Requests,
    CallBacks,
}

/// One accepted connection.
pub(super) struct Connection {
    pub life: Cell<Lifecycle>,
    /// What came over it so far.
    pub carried: Cell<Carried>,
    /// When it was opened, last read from or last written to.
    pub touched: Cell<Instant>,
    /// Wakes whoever reads from it.
    pub reader: RefCell<Option<Waker>>,
    /// Its socket, once nothing more is answered on it.
    pub left: RefCell<Option<TcpStream>>,
}

impl Connection {
    pub fn new() -> Connection {
        Connection {
            life: Cell::default(),
            carried: Cell::new(Carried::Nothing),
            touched: Cell::new(Instant::now()),
            reader: RefCell::default(),
            left: RefCell::default(),
        }
    }

    /// Changes where it stands.
    pub fn change<T>(&self, change: impl FnOnce(&mut Lifecycle) -> T) -> T {
        let mut life = self.life.get();
        let result = change(&mut life);
        self.life.set(life);
        result
    }

    /// Asks it to leave; its reader sees to it.
    pub fn ask(&self, how: CloseMode) {
        self.change(|life| life.request_close(how));
        if let Some(reader) = &*self.reader.borrow() {
            reader.wake_by_ref();
        }
    }

    /// Its answers have been written: what is left of it is its end.
    pub fn ends(&self) -> bool {
        self.life.get().stage() == Stage::Closed
    }

    /// It is on its way out, or asked to go at once.
    pub fn leaves(&self) -> bool {
        self.ends() || self.life.get().close_requested() == Some(CloseMode::Immediate)
    }

    /// Who goes first, and among those the one that has rested the longest, where there is no room.
    /// Guards against bad clients that keep others out by silence; could do harm where a usual client's
    /// first request takes longer than `silent`, so nobody is closed sooner, and a runner's last.
    pub fn rank(&self, limits: &Limits) -> Option<(u8, Instant)> {
        let (touched, rested) = (self.touched.get(), self.touched.get().elapsed());
        let (rank, least) = match (self.life.get().stage(), self.carried.get()) {
            _ if self.leaves() => return None,
            (Stage::HeadRead | Stage::ReadingBody(_) | Stage::AwaitingResponse, _) => return None,
            // Its client takes nothing of the answer.
            (Stage::WritingResponse, _) => (0, limits.head_timeout),
            (_, Carried::Nothing) => (1, limits.evict_silent_after),
            (_, Carried::Requests) => (2, limits.sweep_interval),
            (_, Carried::CallBacks) => (3, limits.sweep_interval),
        };
        (rested > least).then_some((rank, touched))
    }
}
