//! A part of a memory budget, and its eviction.

use super::{Holder, MemoryBudget, OutOfMemory};
use bytes::Bytes;
use futures_util::task::AtomicWaker;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Interval at which a waiting reservation looks again for a message that has stalled.
const RETRY_INTERVAL: Duration = Duration::from_millis(25);

/// A request to give a reservation up.
#[derive(Default)]
pub(super) struct Eviction {
    requested: AtomicBool,
    waker: AtomicWaker,
}

impl Eviction {
    pub(super) fn poll_requested(&self, context: &Context<'_>) -> Poll<()> {
        self.waker.register(context.waker());
        match self.requested.load(Ordering::Acquire) {
            true => Poll::Ready(()),
            false => Poll::Pending,
        }
    }

    pub(super) fn request(&self) {
        self.requested.store(true, Ordering::Release);
        self.waker.wake();
    }
}

/// A part of the budget, released when it is dropped.
pub struct Reservation {
    budget: MemoryBudget,
    /// Its number among the holders; `None` as long as it never held anything.
    holder: Option<u64>,
    bytes: usize,
    pub(super) eviction: Arc<Eviction>,
}

impl Reservation {
    pub(super) fn new(budget: &MemoryBudget) -> Reservation {
        Reservation { budget: budget.clone(), holder: None, bytes: 0, eviction: Arc::default() }
    }

    /// Changes the reservation to this many bytes, without waiting. Shrinking always succeeds.
    ///
    /// # Errors
    ///
    /// There is no room in the budget; the reservation is unchanged, and stalled messages are evicted.
    pub fn try_resize(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        if bytes > self.bytes && self.is_evicted() {
            return Err(OutOfMemory);
        }
        let total_bytes = self.budget.used_bytes() - self.bytes + bytes;
        let limit = &self.budget.0.limit;
        if bytes > self.bytes && !limit.ensure(total_bytes) {
            self.budget.evict_stalled(total_bytes.saturating_sub(limit.available()).max(1));
            return Err(OutOfMemory);
        }
        self.set(bytes);
        Ok(())
    }

    /// As [`Reservation::try_resize`], for input that can be done without: leaves half of the budget to others.
    ///
    /// # Errors
    ///
    /// More than half of the budget would be in use.
    pub fn try_resize_low_priority(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        let others = self.budget.used_bytes() - self.bytes;
        if bytes > self.bytes && others + bytes > self.budget.0.limit.available() / 2 {
            return Err(OutOfMemory);
        }
        self.try_resize(bytes)
    }

    /// Changes the reservation to this many bytes. Waits up to `timeout` for memory that others release, in turn
    /// with others that wait.
    ///
    /// # Errors
    ///
    /// There was no room in time, or the reservation was evicted.
    pub async fn resize(&mut self, bytes: usize, timeout: Duration) -> Result<(), OutOfMemory> {
        let nobody_waits = self.budget.state().waiting.is_empty();
        if (nobody_waits || bytes <= self.bytes) && self.try_resize(bytes).is_ok() {
            return Ok(());
        }
        let turn = Turn::wait_for(&self.budget);
        let deadline = Instant::now() + timeout;
        while !self.is_evicted() {
            if turn.has_come() && self.try_resize(bytes).is_ok() {
                return Ok(());
            }
            let time_left = deadline.saturating_duration_since(Instant::now());
            if time_left.is_zero() {
                break;
            }
            let changed = turn.budget.0.changed.notified();
            let _ = tokio::time::timeout(RETRY_INTERVAL.min(time_left), changed).await;
        }
        Err(OutOfMemory)
    }

    /// Sets the size whether or not there is room in the budget.
    pub(super) fn set(&mut self, bytes: usize) {
        if bytes == self.bytes {
            return;
        }
        let mut state = self.budget.state();
        state.used_bytes = state.used_bytes - self.bytes + bytes;
        let released = bytes < self.bytes;
        self.bytes = bytes;
        match self.holder {
            Some(number) => {
                if let Some(holder) = state.holders.get_mut(&number) {
                    holder.bytes = bytes;
                }
            }
            None => {
                let number = state.next_number();
                let (last_progress, eviction) = (Some(Instant::now()), self.eviction.clone());
                state.holders.insert(number, Holder { bytes, last_progress, eviction });
                self.holder = Some(number);
            }
        }
        let used_bytes = state.used_bytes;
        drop(state);
        if released {
            self.budget.0.limit.release_beyond(used_bytes);
            self.budget.0.changed.notify_waiters();
        }
    }

    fn update_progress(&self, last_progress: Option<Instant>) {
        let Some(number) = self.holder else { return };
        if let Some(holder) = self.budget.state().holders.get_mut(&number) {
            holder.last_progress = last_progress;
        }
    }

    /// Notes that bytes have arrived.
    pub fn progressed(&self) {
        self.update_progress(Some(Instant::now()));
    }

    /// Protects the reservation from eviction: the message is complete. A request to give it up is dropped.
    pub fn protect(&self) {
        self.update_progress(None);
        self.eviction.requested.store(false, Ordering::Release);
    }

    /// Whether it is to be given up.
    pub fn is_evicted(&self) -> bool {
        self.eviction.requested.load(Ordering::Acquire)
    }

    /// Ready once it is to be given up; wakes the task then.
    pub fn poll_evicted(&self, context: &Context<'_>) -> Poll<()> {
        self.eviction.poll_requested(context)
    }

    /// Ties the reservation to a message: it lasts as long as any part of the message is in use.
    pub(super) fn hold(self, message: Vec<u8>) -> Bytes {
        self.protect();
        Bytes::from_owner(HeldMessage { message, _reservation: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let Some(number) = self.holder else { return };
        let mut state = self.budget.state();
        state.used_bytes -= self.bytes;
        state.holders.remove(&number);
        let used_bytes = state.used_bytes;
        drop(state);
        self.budget.0.limit.release_beyond(used_bytes);
        self.budget.0.changed.notify_waiters();
    }
}

/// The place of a waiting reservation among the others.
struct Turn {
    budget: MemoryBudget,
    number: u64,
}

impl Turn {
    fn wait_for(budget: &MemoryBudget) -> Turn {
        let mut state = budget.state();
        let number = state.next_number();
        state.waiting.insert(number);
        Turn { budget: budget.clone(), number }
    }

    fn has_come(&self) -> bool {
        self.budget.state().waiting.first() == Some(&self.number)
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.budget.state().waiting.remove(&self.number);
        self.budget.0.changed.notify_waiters();
    }
}

/// A message with the reservation of its memory.
struct HeldMessage {
    message: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for HeldMessage {
    fn as_ref(&self) -> &[u8] {
        &self.message
    }
}
