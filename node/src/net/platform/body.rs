//! Reads the body of a request. Its bytes are passed to the parser only as far as memory is reserved for them,
//! so that no framing makes the parser hold more.

use crate::memory::{OutOfMemory, ReceiveBuffer};
use crate::net::platform::Front;
use crate::net::platform::connection::Connection;
use crate::net::platform::head::header_text;
use crate::net::platform::lifecycle::{BodyRest, Stage};
use crate::net::platform::reply::Reply;
use actix_http::{HttpMessage, Payload, Request, header};
use bytes::Bytes;
use futures_util::Stream;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;

/// Most bytes of a chunked body that the parser gets at a time: it keeps a record for each chunk, which takes
/// several times as much as the shortest chunk.
const CHUNKED_PIECE_BYTES: usize = 1024;
/// Most bytes of any other body that the parser gets at a time.
const SIZED_PIECE_BYTES: usize = 4 * 1024;

/// Memory that the parser takes for a chunked body besides its bytes: the records of its chunks, and a buffer
/// beside the one that the head occupies.
const CHUNKED_OVERHEAD_BYTES: usize = 28 * 1024;
/// The same for any other body that is not read along with its head.
const SIZED_OVERHEAD_BYTES: usize = 20 * 1024;

/// How a body is passed to the parser.
#[derive(Clone, Copy)]
struct Passing {
    /// Most bytes at a time.
    piece_bytes: usize,
    overhead_bytes: usize,
    /// The stated length, or 0.
    expected_bytes: usize,
}

impl Passing {
    fn of(stage: Stage) -> Passing {
        let (piece_bytes, overhead_bytes, expected_bytes) = match stage {
            Stage::ReadingBody(BodyRest::Chunked(_)) => (CHUNKED_PIECE_BYTES, CHUNKED_OVERHEAD_BYTES, 0),
            Stage::ReadingBody(BodyRest::Sized(length)) if length > ReceiveBuffer::PREPAID_BYTES => {
                (SIZED_PIECE_BYTES, SIZED_OVERHEAD_BYTES, length)
            }
            Stage::ReadingBody(BodyRest::UntilClose) => (SIZED_PIECE_BYTES, SIZED_OVERHEAD_BYTES, 0),
            _ => (SIZED_PIECE_BYTES, 0, 0),
        };
        Passing { piece_bytes, overhead_bytes, expected_bytes }
    }
}

/// The body of a request, which is read without the request's headers.
pub(super) struct RequestBody {
    payload: Payload,
    /// The stated length, or 0.
    declared_bytes: usize,
}

impl RequestBody {
    /// Takes the body out of a request.
    pub fn take(request: &mut Request) -> RequestBody {
        let declared = header_text(request.headers(), &header::CONTENT_LENGTH).ok().flatten();
        let declared_bytes = declared.and_then(|length| length.parse().ok()).unwrap_or(0);
        RequestBody { payload: request.take_payload(), declared_bytes }
    }
}

/// The next event of a body that is being read.
enum BodyEvent {
    Chunk(Bytes),
    /// The parser has used up what it was granted.
    GrantUsed,
    End,
}

impl Front {
    /// Reads a request's body within its limits of size, time and memory.
    pub(super) async fn read_body(&self, body: RequestBody, connection: &Connection) -> Result<Bytes, Reply> {
        let limits = &self.runtime.limits;
        let RequestBody { payload, declared_bytes } = body;
        if declared_bytes > limits.max_body_bytes {
            return Err(Reply::too_large());
        }
        let passing = Passing::of(connection.lifecycle.get().stage());
        let reading = self.read_payload(payload, passing, connection);
        tokio::time::timeout(limits.body_timeout, reading).await.unwrap_or(Err(Reply::too_slow()))
    }

    async fn read_payload(
        &self,
        mut payload: Payload,
        passing: Passing,
        connection: &Connection,
    ) -> Result<Bytes, Reply> {
        let limits = &self.runtime.limits;
        let out_of_memory = |OutOfMemory| {
            log::debug!("a body is refused: no memory for it");
            Reply::out_of_memory()
        };
        let Passing { piece_bytes, overhead_bytes, expected_bytes } = passing;
        let mut body = ReceiveBuffer::expecting(&self.runtime.memory, expected_bytes, overhead_bytes);
        loop {
            match next_event(&mut payload, &body, connection).await? {
                BodyEvent::Chunk(chunk) if body.len() + chunk.len() > limits.max_body_bytes => {
                    return Err(Reply::too_large());
                }
                BodyEvent::Chunk(chunk) => {
                    // A grant is never larger than the room, so this needs memory only for what was read along
                    // with the head.
                    body.try_extend(&chunk, limits.max_body_bytes).map_err(out_of_memory)?;
                }
                BodyEvent::GrantUsed => {
                    let making_room = body.make_room(limits.max_body_bytes, limits.memory_timeout);
                    making_room.await.map_err(out_of_memory)?;
                    // Without any room only the framing may follow, or the body is too large.
                    connection.grant_body_bytes(body.spare().clamp(1, piece_bytes));
                }
                BodyEvent::End => return Ok(body.into_bytes()),
            }
        }
    }
}

/// Waits for the next event of a body.
async fn next_event(
    payload: &mut Payload,
    body: &ReceiveBuffer,
    connection: &Connection,
) -> Result<BodyEvent, Reply> {
    poll_fn(|context| match Pin::new(&mut *payload).poll_next(context) {
        Poll::Ready(Some(Ok(chunk))) => Poll::Ready(Ok(BodyEvent::Chunk(chunk))),
        Poll::Ready(Some(Err(e))) => Poll::Ready(Err(Reply::bad_request(format!("body: {e}")))),
        Poll::Ready(None) => Poll::Ready(Ok(BodyEvent::End)),
        Poll::Pending if connection.is_evicted() => Poll::Ready(Err(Reply::too_slow())),
        Poll::Pending if connection.body_grant.get() == 0 => Poll::Ready(Ok(BodyEvent::GrantUsed)),
        Poll::Pending => body.poll_evicted(context).map(|()| Err(Reply::out_of_memory())),
    })
    .await
}
