//! A message body that is handed to the HTTP library in slices, so that its write buffers stay small.

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Largest slice, in bytes.
const SLICE_BYTES: usize = 8 * 1024;

/// A body of known length that is written in slices.
pub struct SlicedBody {
    rest: Bytes,
    length: u64,
    /// Called once the HTTP library has taken everything.
    on_end: Option<Box<dyn FnOnce()>>,
}

impl SlicedBody {
    /// Creates a body from its bytes.
    pub fn new(body: Bytes) -> SlicedBody {
        SlicedBody { length: body.len() as u64, rest: body, on_end: None }
    }

    /// Creates a body that calls `on_end` once the HTTP library has taken everything. Not called for an empty
    /// body, which is never asked for.
    pub fn with_end(body: Bytes, on_end: impl FnOnce() + 'static) -> SlicedBody {
        SlicedBody { on_end: Some(Box::new(on_end)), ..SlicedBody::new(body) }
    }
}

impl MessageBody for SlicedBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.length)
    }

    fn poll_next(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Result<Bytes, Infallible>>> {
        let this = self.get_mut();
        if this.rest.is_empty() {
            // The memory of the body is not needed any more, although the library keeps this value.
            this.rest = Bytes::new();
            if let Some(on_end) = this.on_end.take() {
                on_end();
            }
            return Poll::Ready(None);
        }
        let slice = this.rest.split_to(this.rest.len().min(SLICE_BYTES));
        Poll::Ready(Some(Ok(slice)))
    }
}
