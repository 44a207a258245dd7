//! What the front knows of an accepted connection, apart from its socket: what it has carried and whether
//! it can be spared. It must never read, write or close anything.

use crate::limits::Limits;
use crate::net::platform::stream::Scan;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// What a connection has carried.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Carried {
    Nothing,
    Requests,
    CallBacks,
}

/// One accepted connection.
pub(super) struct Connection {
    /// Requests read from it that have no whole answer yet: one at the most.
    pub busy: Cell<u32>,
    /// What came over it so far.
    pub carried: Cell<Carried>,
    /// When it was opened, last read from or last answered.
    pub touched: Cell<Instant>,
    /// The head that it is in, or waits for.
    pub scan: Cell<Scan>,
    /// Nothing more is answered on it.
    pub closing: Cell<bool>,
}

impl Connection {
    /// Who goes first, and among those the one that has rested the longest, where there is no room.
    /// Guards against bad clients that keep others out by silence; could do harm where a usual client's
    /// first request takes longer than `silent`, so nobody is closed sooner, and a runner's last.
    pub fn rank(&self, limits: &Limits) -> Option<(u8, Instant)> {
        let (touched, rested) = (self.touched.get(), self.touched.get().elapsed());
        let (rank, least) = match self.carried.get() {
            _ if self.busy.get() > 0 => return None,
            _ if self.closing.get() => (0, Duration::ZERO),
            Carried::Nothing => (1, limits.silent),
            Carried::Requests => (2, limits.sweep),
            Carried::CallBacks => (3, limits.sweep),
        };
        (rested > least).then_some((rank, touched))
    }
}
