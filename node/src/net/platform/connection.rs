//! State that the front keeps for an accepted connection: its stage, its traffic so far and whether it can be
//! evicted. Performs no I/O.

use crate::limits::Limits;
use crate::net::platform::lifecycle::{CloseMode, Lifecycle, Stage};
use std::cell::{Cell, RefCell};
use std::task::Waker;
use std::time::Instant;
use tokio::net::TcpStream;

/// The kind of traffic that a connection has carried.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Traffic {
    Nothing,
    Requests,
    CallBacks,
}

/// One accepted connection.
pub(super) struct Connection {
    pub lifecycle: Cell<Lifecycle>,
    /// What it has carried so far.
    pub traffic: Cell<Traffic>,
    /// When it was opened, last read from or last written to.
    pub last_activity: Cell<Instant>,
    /// Wakes the task that reads from it.
    reader: RefCell<Option<Waker>>,
    /// Its socket, once no more responses are written to it.
    pub closing_stream: RefCell<Option<TcpStream>>,
    /// Bytes of the request's body that may still be passed to the parser.
    pub body_grant: Cell<usize>,
    /// The HTTP library has not taken the whole response yet.
    pub response_incomplete: Cell<bool>,
}

impl Default for Connection {
    fn default() -> Connection {
        Connection {
            lifecycle: Cell::default(),
            traffic: Cell::new(Traffic::Nothing),
            last_activity: Cell::new(Instant::now()),
            reader: RefCell::default(),
            closing_stream: RefCell::default(),
            body_grant: Cell::default(),
            response_incomplete: Cell::default(),
        }
    }
}

impl Connection {
    /// Updates its lifecycle and returns the result of the update.
    pub fn update<T>(&self, update: impl FnOnce(&mut Lifecycle) -> T) -> T {
        let mut lifecycle = self.lifecycle.get();
        let result = update(&mut lifecycle);
        self.lifecycle.set(lifecycle);
        result
    }

    /// Asks it to close, which its reader does.
    pub fn request_close(&self, mode: CloseMode) {
        self.update(|lifecycle| lifecycle.request_close(mode));
        self.wake_reader();
    }

    /// Allows the reader to pass this many bytes of the body to the parser.
    pub fn grant_body_bytes(&self, bytes: usize) {
        self.body_grant.set(bytes);
        self.wake_reader();
    }

    /// Registers the task that reads from it.
    pub fn register_reader(&self, waker: &Waker) {
        let mut reader = self.reader.borrow_mut();
        if !reader.as_ref().is_some_and(|reader| reader.will_wake(waker)) {
            *reader = Some(waker.clone());
        }
    }

    fn wake_reader(&self) {
        if let Some(reader) = &*self.reader.borrow() {
            reader.wake_by_ref();
        }
    }

    /// Whether its last response has been written and only the close is left.
    pub fn is_closing(&self) -> bool {
        self.lifecycle.get().stage() == Stage::Closed
    }

    /// Whether it was asked to close immediately.
    pub fn is_evicted(&self) -> bool {
        self.lifecycle.get().close_requested() == Some(CloseMode::Immediate)
    }

    /// Whether it is closing, or was asked to close immediately.
    pub fn is_closing_or_evicted(&self) -> bool {
        self.is_closing() || self.is_evicted()
    }

    /// The order of eviction when there is no room: by rank, and within a rank the longest idle first.
    /// None if it can't be evicted now. Keeps bad clients from locking others out with silent connections.
    /// Could harm a normal client whose first request takes longer than `evict_silent_after`, so a silent
    /// connection is never evicted sooner. Connections of runners go last.
    pub fn eviction_rank(&self, limits: &Limits) -> Option<(u8, Instant)> {
        let (last_activity, idle) = (self.last_activity.get(), self.last_activity.get().elapsed());
        let (rank, min_idle) = match (self.lifecycle.get().stage(), self.traffic.get()) {
            _ if self.is_closing_or_evicted() => return None,
            (Stage::HeadRead | Stage::AwaitingResponse, _) => return None,
            // Its client does not read the response.
            (Stage::WritingResponse, _) => (0, limits.head_timeout),
            // Its client does not go on with the body; it gets an error.
            (Stage::ReadingBody(_), _) => (0, limits.evict_stalled_after),
            (_, Traffic::Nothing) => (1, limits.evict_silent_after),
            (_, Traffic::Requests) => (2, limits.sweep_interval),
            (_, Traffic::CallBacks) => (3, limits.sweep_interval),
        };
        (idle > min_idle).then_some((rank, last_activity))
    }
}
