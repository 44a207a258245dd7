//! A buffer for a message that arrives in pieces, whose memory is reserved before it is allocated.

use super::{MemoryBudget, OutOfMemory, Reservation};
use bytes::{BufMut, Bytes};
use std::io;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt};

/// A buffer that grows in steps, each reserved from a budget. Its first [`ReceiveBuffer::PREPAID_BYTES`] are not
/// reserved: the limit of connections covers them.
pub struct ReceiveBuffer {
    bytes: Vec<u8>,
    budget: MemoryBudget,
    reservation: Reservation,
    /// Memory that receiving takes besides the buffer, in bytes.
    overhead_bytes: usize,
    /// The stated length of the message, or 0: reserved at once, so that memory is waited for only once.
    expected_bytes: usize,
}

impl ReceiveBuffer {
    /// The capacity that every connection has without a reservation, in bytes.
    pub const PREPAID_BYTES: usize = 4 * 1024;

    /// Creates an empty buffer.
    pub fn new(budget: &MemoryBudget) -> ReceiveBuffer {
        ReceiveBuffer::expecting(budget, 0, 0)
    }

    /// Creates an empty buffer for a message of a stated length, or 0, whose receiving takes `overhead_bytes` of
    /// memory besides.
    pub fn expecting(budget: &MemoryBudget, expected_bytes: usize, overhead_bytes: usize) -> ReceiveBuffer {
        ReceiveBuffer {
            bytes: Vec::new(),
            budget: budget.clone(),
            reservation: budget.reservation(),
            overhead_bytes,
            expected_bytes,
        }
    }

    /// Returns the bytes to reserve for a capacity.
    fn reserved_bytes(&self, capacity: usize) -> usize {
        self.overhead_bytes + capacity.saturating_sub(Self::PREPAID_BYTES)
    }

    /// The bytes received.
    pub fn as_slice(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns the number of bytes received.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether nothing has been received.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the room that is left without another reservation.
    pub fn spare(&self) -> usize {
        self.bytes.capacity() - self.bytes.len()
    }

    /// Returns the next capacity, at most `max_bytes`; `None` if there is room or the buffer can't grow.
    fn next_capacity(&self, max_bytes: usize) -> Option<usize> {
        let least = Self::PREPAID_BYTES.max(self.expected_bytes);
        let capacity = (self.bytes.capacity() * 2).max(least).min(max_bytes);
        (self.spare() == 0 && capacity > self.bytes.len()).then_some(capacity)
    }

    fn set_capacity(&mut self, capacity: usize) {
        self.bytes.reserve_exact(capacity - self.bytes.len());
    }

    /// Makes room for more bytes, up to a capacity of `max_bytes`. Waits up to `timeout` for memory.
    ///
    /// # Errors
    ///
    /// There is no memory, or the message was evicted.
    pub async fn make_room(&mut self, max_bytes: usize, timeout: Duration) -> Result<(), OutOfMemory> {
        if let Some(capacity) = self.next_capacity(max_bytes) {
            self.reservation.resize(self.reserved_bytes(capacity), timeout).await?;
            self.set_capacity(capacity);
        }
        Ok(())
    }

    /// As [`ReceiveBuffer::try_make_room`], for input that can be done without.
    ///
    /// # Errors
    ///
    /// More than half of the budget would be in use, or the message was evicted.
    pub fn try_make_room_low_priority(&mut self, max_bytes: usize) -> Result<(), OutOfMemory> {
        if let Some(capacity) = self.next_capacity(max_bytes) {
            self.reservation.try_resize_low_priority(self.reserved_bytes(capacity))?;
            self.set_capacity(capacity);
        }
        Ok(())
    }

    /// As [`ReceiveBuffer::make_room`], without waiting.
    ///
    /// # Errors
    ///
    /// There is no memory, or the message was evicted.
    pub fn try_make_room(&mut self, max_bytes: usize) -> Result<(), OutOfMemory> {
        if let Some(capacity) = self.next_capacity(max_bytes) {
            self.reservation.try_resize(self.reserved_bytes(capacity))?;
            self.set_capacity(capacity);
        }
        Ok(())
    }

    /// Adds bytes, for which room must have been made.
    pub fn extend(&mut self, bytes: &[u8]) {
        debug_assert!(bytes.len() <= self.spare());
        self.bytes.extend_from_slice(bytes);
        self.reservation.progressed();
    }

    /// Adds bytes, making room for them without waiting.
    ///
    /// # Errors
    ///
    /// There is no memory, or the buffer would be longer than `max_bytes`.
    pub fn try_extend(&mut self, mut bytes: &[u8], max_bytes: usize) -> Result<(), OutOfMemory> {
        while !bytes.is_empty() {
            self.try_make_room(max_bytes)?;
            let fits = bytes.len().min(self.spare());
            if fits == 0 {
                return Err(OutOfMemory);
            }
            self.extend(&bytes[..fits]);
            bytes = &bytes[fits..];
        }
        Ok(())
    }

    /// Reads once into the room that has been made; returns the number of bytes, 0 at the end of the stream.
    pub async fn read_from(&mut self, stream: &mut (impl AsyncRead + Unpin)) -> io::Result<usize> {
        let spare = self.spare();
        let count = stream.read_buf(&mut (&mut self.bytes).limit(spare)).await?;
        self.reservation.progressed();
        Ok(count)
    }

    /// Ready once the message is to be given up; wakes the task then.
    pub fn poll_evicted(&self, context: &Context<'_>) -> Poll<()> {
        self.reservation.eviction.poll_requested(context)
    }

    /// Returns a future that waits until the message is to be given up.
    pub fn eviction(&self) -> impl Future<Output = ()> + use<> {
        let eviction = self.reservation.eviction.clone();
        std::future::poll_fn(move |context| eviction.poll_requested(context))
    }

    /// Drops the bytes and their memory.
    pub fn clear(&mut self) {
        (self.bytes, self.reservation) = (Vec::new(), self.budget.reservation());
    }

    /// Takes the first `count` bytes out, with their memory. What follows them stays in the buffer.
    pub fn split_to(&mut self, count: usize) -> Bytes {
        let rest = self.bytes.split_off(count);
        let mut reservation = self.budget.reservation();
        reservation.set(self.reserved_bytes(rest.capacity()));
        let taken = ReceiveBuffer {
            bytes: std::mem::replace(&mut self.bytes, rest),
            budget: self.budget.clone(),
            reservation: std::mem::replace(&mut self.reservation, reservation),
            overhead_bytes: self.overhead_bytes,
            expected_bytes: self.expected_bytes,
        };
        taken.into_bytes()
    }

    /// Returns the message, which keeps its memory reserved as long as any part of it is in use.
    pub fn into_bytes(self) -> Bytes {
        let ReceiveBuffer { mut bytes, mut reservation, .. } = self;
        bytes.shrink_to_fit();
        if bytes.len() <= Self::PREPAID_BYTES {
            return bytes.into();
        }
        reservation.set(bytes.capacity());
        reservation.hold(bytes)
    }
}
