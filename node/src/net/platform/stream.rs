//! The stream between an accepted socket and actix-http. Limits how much a client may send and how slowly,
//! passes one message at a time to the parser, and notices a client's close behind unread input. Responses
//! pass through unchanged and undelayed; the only ones made here are to a head that is too long or too slow.

mod write;

use crate::net::platform::connection::Connection;
use crate::net::platform::headers::release_pooled_headers;
use crate::net::platform::input::InputBuffer;
use crate::net::platform::lifecycle::{CloseMode, HeadTooLong, Stage};
use crate::net::platform::timer::{StreamTimer, Timeout};
use crate::runtime::Runtime;
use actix_codec::{AsyncRead, ReadBuf};
use socket2::SockRef;
use std::io::{self, Read};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Instant;
use tokio::net::TcpStream;

/// Largest read, in bytes.
const CHUNK_BYTES: usize = 4 * 1024;
/// The response to a head for which there is no memory.
const OUT_OF_MEMORY: &str = "503 Service Unavailable\r\nRetry-After: 0.250";

/// An accepted stream that enforces the limits, whatever is sent on it. actix-http alone leaves gaps:
/// it reads on behind a request, parses that at once and then reads no more, so that it misses the client's
/// close; a first head may grow to 128 KiB and a later one take for ever; and its closes drop the socket over
/// unread bytes, which resets the connection and may destroy a response in transit.
pub(super) struct GuardedStream {
    /// None once it is handed to [`super::linger::lingering_close`].
    stream: Option<TcpStream>,
    pub connection: Rc<Connection>,
    /// Bytes read that may not be parsed yet.
    input: InputBuffer,
    /// The peer has closed its side.
    peer_closed: bool,
    /// The parser has got a piece of a body and uses it before it gets another.
    parser_busy: bool,
    max_head_bytes: usize,
    timer: StreamTimer,
}

impl GuardedStream {
    pub fn new(stream: TcpStream, connection: Rc<Connection>, runtime: &Runtime) -> GuardedStream {
        Self {
            stream: Some(stream),
            connection,
            input: InputBuffer::new(&runtime.memory),
            peer_closed: false,
            parser_busy: false,
            max_head_bytes: runtime.limits.max_head_bytes,
            timer: StreamTimer::new(&runtime.limits),
        }
    }

    fn stream(&mut self) -> io::Result<&mut TcpStream> {
        self.stream.as_mut().ok_or_else(|| io::ErrorKind::NotConnected.into())
    }

    /// Responds in place of actix-http, which would wait for the end of the head, and stops the reading.
    fn reject(&mut self, status: &str) -> Poll<io::Result<()>> {
        let response = format!("HTTP/1.1 {status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        // A peer that does not read its responses will not miss this one.
        let _ = self.stream()?.try_write(response.as_bytes());
        self.connection.update(|lifecycle| lifecycle.close());
        Poll::Ready(Ok(()))
    }

    /// Buffers bytes; behind a request at most a head's worth, so that no client can fill the memory.
    fn buffer(&mut self, read: &[u8]) {
        self.connection.last_activity.set(Instant::now());
        let lifecycle = self.connection.lifecycle.get();
        if !matches!(lifecycle.stage(), Stage::AwaitingResponse | Stage::WritingResponse) {
            return self.input.push(read);
        }
        if self.input.push_behind_request(read, lifecycle.head_bytes(), self.max_head_bytes).is_err() {
            self.connection.update(|lifecycle| lifecycle.discarded_input());
        }
    }

    /// Reads once; ready if there was anything, the peer's close included. Of a body, no more is read than may
    /// be passed to the parser.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut scratch = [0; CHUNK_BYTES];
        let most = match self.connection.lifecycle.get().stage() {
            Stage::ReadingBody(_) => self.connection.body_grant.get().min(CHUNK_BYTES),
            _ => CHUNK_BYTES,
        };
        let mut read = ReadBuf::new(&mut scratch[..most]);
        ready!(Pin::new(self.stream()?).poll_read(cx, &mut read))?;
        match read.filled() {
            [] => self.peer_closed = true,
            read => self.buffer(read),
        }
        Poll::Ready(Ok(()))
    }

    /// Reads once past tokio's cached readiness, which may be out of date; whether there was anything.
    fn try_fill(&mut self) -> io::Result<bool> {
        let mut scratch = [0; CHUNK_BYTES];
        match (&*SockRef::from(&*self.stream()?)).read(&mut scratch) {
            Ok(0) => self.peer_closed = true,
            Ok(count) => self.buffer(&scratch[..count]),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(false),
            Err(e) => return Err(e),
        }
        Ok(true)
    }

    /// Pending while the parser uses a piece of a body, or may not have another piece yet.
    fn poll_body_wait(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if std::mem::take(&mut self.parser_busy) {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let in_body = matches!(self.connection.lifecycle.get().stage(), Stage::ReadingBody(_));
        if in_body && self.connection.body_grant.get() == 0 { Poll::Pending } else { Poll::Ready(()) }
    }

    /// Returns pending, with the reader registered so that a request to close the connection wakes it.
    fn pending(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.register_reader(cx.waker());
        Poll::Pending
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let connection = this.connection.clone();
        // A request that has started has dropped its headers.
        let lifecycle = connection.lifecycle.get();
        if !matches!(lifecycle.stage(), Stage::New | Stage::ReadingHead | Stage::HeadRead) {
            this.input.release_header_table(lifecycle);
        }
        loop {
            if this.poll_body_wait(cx).is_pending() {
                return this.pending(cx);
            }
            let in_body = matches!(connection.lifecycle.get().stage(), Stage::ReadingBody(_));
            let allowed = if in_body { connection.body_grant.get() } else { usize::MAX };
            let fits = this.input.len().min(buf.remaining()).min(allowed);
            let passed = connection.update(|s| s.pass_to_parser(this.input.first(fits), this.max_head_bytes));
            let Ok(passed) = passed.map_err(|HeadTooLong| ()) else {
                return this.reject("431 Request Header Fields Too Large");
            };
            let stage = connection.lifecycle.get().stage();
            if passed > 0 && in_body {
                connection.body_grant.set(connection.body_grant.get() - passed);
                this.parser_busy = true;
            } else if passed > 0 && this.input.reserve_head(connection.lifecycle.get()).is_err() {
                return this.reject(OUT_OF_MEMORY);
            }
            if passed > 0 {
                buf.put_slice(&this.input.take(passed));
                if stage == Stage::HeadRead {
                    // Read again once the head is parsed and the length of the body is known.
                    cx.waker().wake_by_ref();
                }
                return Poll::Ready(Ok(()));
            }
            if this.peer_closed || stage == Stage::Closed {
                return Poll::Ready(Ok(()));
            }
            // Nothing is read behind a head until it has been parsed.
            if stage != Stage::HeadRead && this.poll_fill(cx)?.is_ready() {
                continue;
            }
            let timeout = match stage {
                Stage::New | Stage::ReadingHead | Stage::HeadRead => Some(Timeout::Head),
                Stage::Idle => Some(Timeout::KeepAlive),
                // `poll_write` has its own timeout.
                Stage::WritingResponse => return this.pending(cx),
                Stage::ReadingBody(_) | Stage::AwaitingResponse | Stage::Closed => None,
            };
            let timed_out = this.timer.expired(timeout, cx);
            if timed_out && stage == Stage::Idle {
                connection.update(|lifecycle| lifecycle.request_close(CloseMode::Graceful));
            }
            let lifecycle = connection.lifecycle.get();
            let evicted = lifecycle.close_requested() == Some(CloseMode::Immediate);
            match stage {
                Stage::WritingResponse if timed_out || lifecycle.write_stalled() => {
                    return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
                }
                Stage::New | Stage::Idle if lifecycle.may_close() => {
                    if this.try_fill()? {
                        continue;
                    }
                    connection.update(|lifecycle| lifecycle.close());
                    return Poll::Ready(Ok(()));
                }
                Stage::New | Stage::HeadRead if timed_out => return this.reject("408 Request Timeout"),
                Stage::ReadingHead if this.input.poll_evicted(cx).is_ready() => {
                    return this.reject(OUT_OF_MEMORY);
                }
                Stage::ReadingHead if timed_out || evicted => {
                    if this.try_fill()? {
                        continue;
                    }
                    return this.reject("408 Request Timeout");
                }
                _ => {}
            }
            return this.pending(cx);
        }
    }
}

impl Drop for GuardedStream {
    fn drop(&mut self) {
        if self.connection.lifecycle.get().stage() == Stage::HeadRead {
            // The parser rejected the head and dropped its request.
            release_pooled_headers();
        }
        self.connection.update(|lifecycle| lifecycle.close());
        *self.connection.closing_stream.borrow_mut() = self.stream.take();
    }
}
