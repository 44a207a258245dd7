//! Decodes a stream of JSON objects from chunks that may end anywhere, with any white space. Buffers the
//! bytes of an unfinished object up to a limit.

use crate::memory::{MemoryBudget, Reservation};
use bytes::{Buf, BytesMut};
use serde::de::DeserializeOwned;
use std::future::{pending, poll_fn};

/// A decoder with the bytes that it has not decoded yet.
pub struct JsonStream {
    bytes: BytesMut,
    max_object_bytes: usize,
    /// Bytes that may end an object have arrived since the last try.
    may_end: bool,
    /// A line has ended outside of any object since this was last taken.
    blank_line: bool,
    /// The memory of the bytes, where it counts against a budget.
    reservation: Option<Reservation>,
    out_of_memory: bool,
}

impl JsonStream {
    /// Creates a decoder that buffers at most this many bytes of an unfinished object.
    pub fn new(max_object_bytes: usize) -> JsonStream {
        JsonStream {
            bytes: BytesMut::new(),
            max_object_bytes,
            may_end: false,
            blank_line: false,
            reservation: None,
            out_of_memory: false,
        }
    }

    /// Counts the buffered bytes against a budget.
    pub fn with_memory(self, memory: &MemoryBudget) -> JsonStream {
        JsonStream { reservation: Some(memory.reservation()), ..self }
    }

    /// Waits until the unfinished object is to be given up, which happens only where a budget counts.
    pub async fn evicted(&self) {
        match &self.reservation {
            Some(reservation) => poll_fn(|context| reservation.poll_evicted(context)).await,
            None => pending().await,
        }
    }

    /// Adapts the reservation to the buffer.
    fn update_reservation(&mut self) {
        let bytes = self.bytes.capacity();
        let Some(reservation) = &mut self.reservation else { return };
        self.out_of_memory |= reservation.try_resize(bytes).is_err();
        reservation.progressed();
    }

    /// Adds the next bytes.
    pub fn extend(&mut self, chunk: &[u8]) {
        // Only a bracket ends an object: without one, decoding the whole buffer again would be in vain.
        self.may_end |= chunk.contains(&b'}');
        self.bytes.extend_from_slice(chunk);
        self.update_reservation();
    }

    /// Returns the next whole object, if there is one.
    ///
    /// # Errors
    ///
    /// The bytes are no object of this type, or are longer than the limit.
    pub fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, String> {
        if self.out_of_memory {
            return Err("no memory for an object".to_owned());
        }
        if self.may_end {
            let mut values = serde_json::Deserializer::from_slice(&self.bytes).into_iter::<T>();
            match values.next() {
                Some(Ok(value)) => {
                    let decoded = values.byte_offset();
                    self.bytes.advance(decoded);
                    return Ok(Some(value));
                }
                Some(Err(e)) if !e.is_eof() => return Err(format!("an object can't be read: {e}")),
                Some(Err(_)) | None => self.may_end = false,
            }
        }
        let blank = self.bytes.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
        self.blank_line |= self.bytes[..blank].contains(&b'\n');
        self.bytes.advance(blank);
        if self.bytes.first().is_some_and(|byte| *byte != b'{') {
            return Err("what comes is no object".to_owned());
        }
        if self.bytes.is_empty() {
            // A long list is rarely followed by another one.
            self.bytes = BytesMut::new();
            self.update_reservation();
        }
        if self.bytes.len() > self.max_object_bytes {
            return Err(format!("an object is longer than {} bytes", self.max_object_bytes));
        }
        Ok(None)
    }

    /// Returns whether a line has ended outside of any object since the last call.
    pub fn take_blank_line(&mut self) -> bool {
        std::mem::take(&mut self.blank_line)
    }
}
