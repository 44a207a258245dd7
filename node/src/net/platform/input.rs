//! The input of a connection that may not be parsed yet, and the memory that long heads and input behind a
//! request take.

use crate::memory::{MemoryBudget, OutOfMemory, Reservation};
use crate::net::platform::lifecycle::{Lifecycle, Stage};
use bytes::BytesMut;
use std::task::{Context, Poll};

/// Bytes of a head, and of input behind a request, for which no memory is reserved.
const PREPAID_BYTES: usize = 2 * 1024;
/// Memory for each byte of a longer head: the parser's buffers, the headers, and the job's copies of them.
const HEAD_COST_FACTOR: usize = 4;
/// Header lines for which no memory is reserved: as many as fit the parser's smaller tables.
const PREPAID_HEADER_LINES: usize = 14;
/// Memory for each bucket of the parser's table of headers: a name, up to four values in place, and the
/// table's own byte.
const HEADER_BUCKET_BYTES: usize = 217;
/// Memory for a header's name that the parser copies, with the allocator's share.
const HEADER_NAME_BYTES: usize = 48;
/// Memory for each byte of input behind a request, whose buffer grows by doubling.
const BEHIND_COST_FACTOR: usize = 2;
/// Size by which reservations are rounded up, in bytes.
const RESERVATION_STEP_BYTES: usize = 1024;

/// Returns the bytes beyond the prepaid ones, rounded up.
fn beyond_prepaid(bytes: usize) -> usize {
    bytes.saturating_sub(PREPAID_BYTES).next_multiple_of(RESERVATION_STEP_BYTES)
}

/// Returns the memory that the parsed headers take besides their bytes, by their number: a table that doubles
/// when it is seven eighths full.
fn header_table_bytes(header_lines: usize) -> usize {
    if header_lines <= PREPAID_HEADER_LINES {
        return 0;
    }
    let buckets = (header_lines * 8).div_ceil(7).next_power_of_two();
    buckets * HEADER_BUCKET_BYTES + header_lines * HEADER_NAME_BYTES
}

/// Buffered input with the memory reserved for it and for the head that the parser has.
pub(super) struct InputBuffer {
    bytes: BytesMut,
    reservation: Reservation,
    /// Memory reserved for the parsed headers, in bytes, until they are dropped.
    header_table_bytes: usize,
}

impl InputBuffer {
    /// Creates an empty buffer.
    pub fn new(memory: &MemoryBudget) -> InputBuffer {
        InputBuffer { bytes: BytesMut::new(), reservation: memory.reservation(), header_table_bytes: 0 }
    }

    /// Returns the number of bytes buffered.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns the first `count` bytes.
    pub fn first(&self, count: usize) -> &[u8] {
        &self.bytes[..count]
    }

    /// Takes the first `count` bytes out.
    pub fn take(&mut self, count: usize) -> BytesMut {
        if count == self.bytes.len() {
            // Most of the time there is no input: an idle connection keeps no buffer for it.
            return std::mem::take(&mut self.bytes);
        }
        self.bytes.split_to(count)
    }

    /// Adds bytes that are parsed before the next read.
    pub fn push(&mut self, read: &[u8]) {
        self.bytes.extend_from_slice(read);
    }

    /// Adds bytes that have to wait for the response to a request with a head of `head_bytes`.
    ///
    /// # Errors
    ///
    /// There would be more than `max_bytes`, or there is no memory: all input was dropped.
    pub fn push_behind_request(
        &mut self,
        read: &[u8],
        head_bytes: usize,
        max_bytes: usize,
    ) -> Result<(), OutOfMemory> {
        let total = self.bytes.len() + read.len();
        if total > max_bytes || self.reserve(head_bytes, total).is_err() {
            self.bytes = BytesMut::new();
            self.reserve(head_bytes, 0)?;
            return Err(OutOfMemory);
        }
        self.bytes.extend_from_slice(read);
        Ok(())
    }

    fn reserve(&mut self, head_bytes: usize, behind_request: usize) -> Result<(), OutOfMemory> {
        let head = beyond_prepaid(head_bytes) * HEAD_COST_FACTOR + self.header_table_bytes;
        match behind_request {
            0 => self.reservation.try_resize(head),
            _ => {
                let behind = beyond_prepaid(behind_request) * BEHIND_COST_FACTOR;
                self.reservation.try_resize_low_priority(head + behind)
            }
        }
    }

    /// Reserves memory for the head as far as it was read. Only an unfinished head can be evicted.
    ///
    /// # Errors
    ///
    /// There is no memory for a head of this length, or for as many headers.
    pub fn reserve_head(&mut self, lifecycle: Lifecycle) -> Result<(), OutOfMemory> {
        if lifecycle.stage() == Stage::HeadRead {
            self.header_table_bytes = header_table_bytes(lifecycle.header_lines());
        }
        self.reserve(lifecycle.head_bytes(), 0)?;
        match lifecycle.stage() {
            Stage::ReadingHead => self.reservation.progressed(),
            _ => self.reservation.protect(),
        }
        Ok(())
    }

    /// Releases the memory of the parsed headers, which were dropped.
    pub fn release_header_table(&mut self, lifecycle: Lifecycle) {
        if std::mem::take(&mut self.header_table_bytes) > 0 {
            // Shrinking never fails.
            let _ = self.reserve(lifecycle.head_bytes(), 0);
        }
    }

    /// Releases the memory of a head whose response has been written.
    pub fn release_head(&mut self) {
        // Shrinking never fails.
        let _ = self.reserve(0, self.bytes.len());
    }

    /// Ready once the unfinished head is to be given up; wakes the task then.
    pub fn poll_evicted(&self, context: &Context<'_>) -> Poll<()> {
        self.reservation.poll_evicted(context)
    }
}
