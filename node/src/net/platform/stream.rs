//! The stream between an accepted socket and actix-http. Limits how much a client may send and how slowly,
//! passes one message at a time to the parser, and notices a client's close behind unread input. Responses
//! pass through unchanged and undelayed; the only ones made here are to a head that is too long or too slow.

use crate::limits::Limits;
use crate::net::platform::connection::Connection;
use crate::net::platform::lifecycle::{CloseMode, HeadTooLong, Stage};
use actix_codec::{AsyncRead, AsyncWrite, ReadBuf};
use bytes::BytesMut;
use socket2::SockRef;
use std::future::Future;
use std::io::{self, Read};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// Largest read, in bytes.
const CHUNK_BYTES: usize = 8 * 1024;

/// The timeout that a connection is under.
#[derive(Clone, Copy, PartialEq)]
enum Timeout {
    /// For the end of a head: from the connection or the head's first byte on.
    Head,
    /// For the next request, or for the client to read its response.
    KeepAlive,
}

/// An accepted stream that enforces the limits, whatever is sent on it. actix-http alone leaves gaps:
/// it reads on behind a request, parses that at once and then reads no more, so that it misses the client's
/// close; a first head may grow to 128 KiB and a later one take for ever; and its closes drop the socket over
/// unread bytes, which resets the connection and may destroy a response in transit.
pub(super) struct GuardedStream {
    /// None once it is handed to [`lingering_close`].
    stream: Option<TcpStream>,
    pub connection: Rc<Connection>,
    /// Bytes read that may not be parsed yet.
    buffered: BytesMut,
    /// The peer has closed its side.
    peer_closed: bool,
    max_head_bytes: usize,
    head_timeout: Duration,
    keep_alive: Duration,
    timer: Option<(Timeout, Pin<Box<Sleep>>)>,
}

impl GuardedStream {
    pub fn new(stream: TcpStream, connection: Rc<Connection>, limits: &Limits) -> GuardedStream {
        let Limits { max_head_bytes, head_timeout, keep_alive, .. } = *limits;
        let (stream, buffered, peer_closed, timer) = (Some(stream), BytesMut::new(), false, None);
        Self { stream, connection, buffered, peer_closed, max_head_bytes, head_timeout, keep_alive, timer }
    }

    fn stream(&mut self) -> io::Result<&mut TcpStream> {
        self.stream.as_mut().ok_or_else(|| io::ErrorKind::NotConnected.into())
    }

    /// Responds in place of actix-http, which would wait for the end of the head, and stops the reading.
    fn reject(&mut self, status: &str) -> Poll<io::Result<()>> {
        let response = format!("HTTP/1.1 {status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        // A peer whose window is full of responses that it does not read will not miss this one.
        let _ = self.stream()?.try_write(response.as_bytes());
        self.connection.update(|lifecycle| lifecycle.close());
        Poll::Ready(Ok(()))
    }

    /// Buffers bytes; behind a request at most a head's worth, so that no client can fill the memory.
    fn buffer(&mut self, read: &[u8]) {
        self.connection.last_activity.set(Instant::now());
        let stage = self.connection.lifecycle.get().stage();
        let behind_request = matches!(stage, Stage::AwaitingResponse | Stage::WritingResponse);
        if behind_request && self.buffered.len() + read.len() > self.max_head_bytes {
            self.connection.update(|lifecycle| lifecycle.discarded_input());
            self.buffered.clear();
        } else {
            self.buffered.extend_from_slice(read);
        }
    }

    /// Reads once; ready if there was anything, the peer's close included.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut scratch = [0; CHUNK_BYTES];
        let mut read = ReadBuf::new(&mut scratch);
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

    /// Returns pending, with the reader registered so that a request to close the connection wakes it.
    fn pending(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut reader = self.connection.reader.borrow_mut();
        if !reader.as_ref().is_some_and(|reader| reader.will_wake(cx.waker())) {
            *reader = Some(cx.waker().clone());
        }
        Poll::Pending
    }

    /// Whether the timeout has expired; it starts when it differs from the last one asked for.
    fn timed_out(&mut self, timeout: Option<Timeout>, cx: &mut Context<'_>) -> bool {
        let Some(timeout) = timeout else {
            self.timer = None;
            return false;
        };
        if self.timer.as_ref().is_none_or(|(running, _)| *running != timeout) {
            let time = if timeout == Timeout::Head { self.head_timeout } else { self.keep_alive };
            self.timer = Some((timeout, Box::pin(tokio::time::sleep(time))));
        }
        self.timer.as_mut().is_some_and(|(_, timer)| timer.as_mut().poll(cx).is_ready())
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let connection = this.connection.clone();
        loop {
            let fits = this.buffered.len().min(buf.remaining());
            let passed = connection.update(|s| s.pass_to_parser(&this.buffered[..fits], this.max_head_bytes));
            let Ok(passed) = passed.map_err(|HeadTooLong| ()) else {
                return this.reject("431 Request Header Fields Too Large");
            };
            let stage = connection.lifecycle.get().stage();
            if passed > 0 {
                buf.put_slice(&this.buffered.split_to(passed));
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
            let timed_out = this.timed_out(timeout, cx);
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

impl AsyncWrite for GuardedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        match Pin::new(this.stream()?).poll_write(cx, buf) {
            // The client does not read its response: end it after a time, or at once if it is evicted.
            Poll::Pending
                if this.connection.lifecycle.get().write_stalled()
                    || this.timed_out(Some(Timeout::KeepAlive), cx) =>
            {
                Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
            }
            Poll::Ready(Ok(written)) => {
                this.connection.last_activity.set(Instant::now());
                this.timer = None;
                Poll::Ready(Ok(written))
            }
            polled => polled,
        }
    }

    /// actix-http flushes once it has written everything, so the response is complete then.
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(Pin::new(this.stream()?).poll_flush(cx))?;
        if this.connection.lifecycle.get().stage() == Stage::WritingResponse {
            this.connection.update(|lifecycle| lifecycle.response_flushed());
            // Buffered input can be parsed now, and a request to close takes effect.
            cx.waker().wake_by_ref();
        }
        Poll::Ready(Ok(()))
    }

    /// Does nothing: everything has been written, and [`lingering_close`] shuts the socket down.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

impl Drop for GuardedStream {
    fn drop(&mut self) {
        self.connection.update(|lifecycle| lifecycle.close());
        *self.connection.closing_stream.borrow_mut() = self.stream.take();
    }
}

/// Shuts down the writing side, and reads and drops for a while what the peer still sends: closing a socket
/// over unread bytes resets the connection, which may destroy the last response.
pub(super) async fn lingering_close(mut stream: TcpStream, linger: Duration) {
    let closing = async {
        if stream.shutdown().await.is_ok() {
            let mut scratch = vec![0; CHUNK_BYTES];
            while stream.read(&mut scratch).await.is_ok_and(|count| count > 0) {}
        }
    };
    let _ = tokio::time::timeout(linger, closing).await;
}
