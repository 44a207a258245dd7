//! Reads the bodies of responses within their limits of size and memory. A response's headers take many times
//! the bytes that were received: they are dropped before its body is read.

use crate::memory::{MemoryBudget, ReceiveBuffer};
use awc::ClientResponse;
use awc::error::PayloadError;
use bytes::Bytes;
use futures_util::{Stream, StreamExt};

/// Returns a response's body alone: its headers are dropped.
pub fn into_body<S>(
    mut response: ClientResponse<S>,
) -> impl Stream<Item = Result<Bytes, PayloadError>> + Unpin + use<S>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    actix_http::HttpMessage::take_payload(&mut response)
}

/// Reads a body and drops it. Returns whether it ended within `max_bytes`.
pub async fn drain<S>(response: ClientResponse<S>, max_bytes: usize) -> bool
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let mut body = into_body(response);
    let mut read_bytes = 0;
    while let Some(chunk) = body.next().await {
        let Ok(chunk) = chunk else { return false };
        read_bytes += chunk.len();
        if read_bytes > max_bytes {
            return false;
        }
    }
    true
}

/// Reads a body; `None` if it is longer than `max_bytes`, can't be read, or there is no memory for it.
pub async fn read_body<S>(
    response: ClientResponse<S>,
    max_bytes: usize,
    memory: &MemoryBudget,
) -> Option<Bytes>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let mut body = into_body(response);
    let mut received = ReceiveBuffer::new(memory);
    while let Some(chunk) = body.next().await {
        received.try_extend(&chunk.ok()?, max_bytes).ok()?;
    }
    Some(received.into_bytes())
}
