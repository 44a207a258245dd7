//! A budget for the memory that peers make the program hold: unfinished messages, open jobs and unread results.
//!
//! Memory is reserved before it is allocated, by its capacity and not by the bytes that have arrived. What a
//! connection needs at least is covered by the limit of connections, so that small messages never wait. When
//! the budget is used up, the unfinished message that has stalled for longest is evicted; a message that was
//! received whole is kept until it is answered.

mod buffer;
mod reservation;
mod trim;

pub use buffer::ReceiveBuffer;
pub use reservation::Reservation;
pub use trim::release_freed_memory;

use crate::shared::Quota;
use bytes::Bytes;
use reservation::Eviction;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// The error of a reservation for which there is no memory, or which was evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutOfMemory;

/// What a reservation holds.
struct Holder {
    bytes: usize,
    /// When bytes last arrived for it; `None` once it can't be evicted any more.
    last_progress: Option<Instant>,
    eviction: Arc<Eviction>,
}

#[derive(Default)]
struct State {
    used_bytes: usize,
    last_number: u64,
    holders: BTreeMap<u64, Holder>,
    /// The numbers of the reservations that wait, which are served in this order.
    waiting: BTreeSet<u64>,
}

impl State {
    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}

struct Shared {
    limit: Arc<Quota>,
    /// Time without progress after which a message may be evicted.
    stall_timeout: Duration,
    state: Mutex<State>,
    /// Memory was released, or the next waiting reservation may take its turn.
    changed: Notify,
}

/// A budget of memory, shared by all that reserve from it.
#[derive(Clone)]
pub struct MemoryBudget(Arc<Shared>);

impl MemoryBudget {
    /// Creates a budget of this many bytes. A message that makes no progress for `stall_timeout` may be evicted
    /// when the budget is used up.
    pub fn new(limit_bytes: usize, stall_timeout: Duration) -> MemoryBudget {
        MemoryBudget::with_quota(Arc::new(Quota::alone(limit_bytes)), stall_timeout)
    }

    /// Creates a budget within a limit that other processes may share.
    pub fn with_quota(limit: Arc<Quota>, stall_timeout: Duration) -> MemoryBudget {
        let (state, changed) = (Mutex::default(), Notify::new());
        MemoryBudget(Arc::new(Shared { limit, stall_timeout, state, changed }))
    }

    /// Returns the reserved bytes.
    pub fn used_bytes(&self) -> usize {
        self.state().used_bytes
    }

    /// Returns an empty reservation.
    pub fn reservation(&self) -> Reservation {
        Reservation::new(self)
    }

    /// Takes over a message whose memory is already allocated, even if the budget is exceeded by it.
    pub fn adopt(&self, message: Vec<u8>) -> Bytes {
        if message.capacity() <= ReceiveBuffer::PREPAID_BYTES {
            return message.into();
        }
        let mut reservation = self.reservation();
        reservation.set(message.capacity());
        reservation.hold(message)
    }

    /// Takes over a message whose memory is already allocated.
    ///
    /// # Errors
    ///
    /// There is no room for it in the budget.
    pub fn try_adopt(&self, message: Vec<u8>) -> Result<Bytes, OutOfMemory> {
        if message.capacity() <= ReceiveBuffer::PREPAID_BYTES {
            return Ok(message.into());
        }
        let mut reservation = self.reservation();
        reservation.try_resize(message.capacity())?;
        Ok(reservation.hold(message))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Evicts unfinished messages that have stalled, the longest first, until they release this many bytes.
    fn evict_stalled(&self, needed_bytes: usize) {
        let state = self.state();
        let mut stalled: Vec<_> = state
            .holders
            .values()
            .filter_map(|holder| Some((holder.last_progress?, holder)))
            .filter(|(since, holder)| holder.bytes > 0 && since.elapsed() >= self.0.stall_timeout)
            .collect();
        stalled.sort_by_key(|(since, _)| *since);
        let mut released_bytes = 0;
        let mut evicted = Vec::new();
        for (_, holder) in stalled {
            if released_bytes >= needed_bytes {
                break;
            }
            released_bytes += holder.bytes;
            evicted.push(holder.eviction.clone());
        }
        drop(state);
        evicted.iter().for_each(|eviction| eviction.request());
    }
}
