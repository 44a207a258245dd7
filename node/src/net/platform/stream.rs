//! An accepted stream between the socket and actix-http. It owns how much a client may write and how
//! fast, hands on one message at a time and sees a client's end over whatever was written before it. It
//! must never answer a whole request, nor keep an answer back.

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

/// Most that is read at a time.
const CHUNK: usize = 8 * 1024;

/// What is waited for.
#[derive(Clone, Copy, PartialEq)]
enum Wait {
    /// The end of a head: from the connection or the head's first byte on.
    Head,
    /// The next request, or the client's taking of its answer.
    Rest,
}

/// An accepted stream that keeps to the limits, whatever is sent on it. Guards against what actix-http
/// leaves open: it reads on behind a request, parses that at once and then reads no more, so that the
/// client's end goes unseen; a first head may grow to 128 KiB and a later one take for ever; and its ends
/// drop the socket over unread bytes, which resets the connection and may destroy the answer on its way.
pub(super) struct Guarded {
    /// Until it is left to [`farewell`].
    stream: Option<TcpStream>,
    pub connection: Rc<Connection>,
    /// What has been read and may not be parsed yet.
    held: BytesMut,
    /// The peer has ended its side.
    ended: bool,
    head_bytes: usize,
    head: Duration,
    keep_alive: Duration,
    timer: Option<(Wait, Pin<Box<Sleep>>)>,
}

impl Guarded {
    pub fn new(stream: TcpStream, connection: Rc<Connection>, limits: &Limits) -> Guarded {
        let Limits { max_head_bytes: head_bytes, head_timeout: head, keep_alive, .. } = *limits;
        let (stream, held) = (Some(stream), BytesMut::new());
        Guarded { stream, connection, held, ended: false, head_bytes, head, keep_alive, timer: None }
    }

    fn stream(&mut self) -> io::Result<&mut TcpStream> {
        self.stream.as_mut().ok_or_else(|| io::ErrorKind::NotConnected.into())
    }

    /// Answers in place of actix-http, which waits for the end of a head, and ends the reading.
    fn cut(&mut self, status: &str) -> Poll<io::Result<()>> {
        let answer = format!("HTTP/1.1 {status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        // A peer whose window is full of answers it does not read can do without this one.
        let _ = self.stream()?.try_write(answer.as_bytes());
        self.connection.change(|life| life.close());
        Poll::Ready(Ok(()))
    }

    /// Keeps what was read; behind a request no more than a head's worth, so that nobody fills the memory.
    fn keep(&mut self, read: &[u8]) {
        self.connection.touched.set(Instant::now());
        let behind =
            matches!(self.connection.life.get().stage(), Stage::AwaitingResponse | Stage::WritingResponse);
        if behind && self.held.len() + read.len() > self.head_bytes {
            self.connection.change(|life| life.discarded_input());
            self.held.clear();
        } else {
            self.held.extend_from_slice(read);
        }
    }

    /// Reads once; whether there was anything, the peer's end included.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut scratch = [0; CHUNK];
        let mut read = ReadBuf::new(&mut scratch);
        ready!(Pin::new(self.stream()?).poll_read(cx, &mut read))?;
        match read.filled() {
            [] => self.ended = true,
            read => self.keep(read),
        }
        Poll::Ready(Ok(()))
    }

    /// Reads once without asking the runtime, whose word on what is there may be old.
    fn fill_now(&mut self) -> io::Result<bool> {
        let mut scratch = [0; CHUNK];
        match (&*SockRef::from(&*self.stream()?)).read(&mut scratch) {
            Ok(0) => self.ended = true,
            Ok(count) => self.keep(&scratch[..count]),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(false),
            Err(e) => return Err(e),
        }
        Ok(true)
    }

    /// Nothing for now: whoever asks the connection to leave wakes its reader.
    fn later(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut reader = self.connection.reader.borrow_mut();
        if !reader.as_ref().is_some_and(|reader| reader.will_wake(cx.waker())) {
            *reader = Some(cx.waker().clone());
        }
        Poll::Pending
    }

    /// Whether what is waited for has taken too long.
    fn late(&mut self, wait: Option<Wait>, cx: &mut Context<'_>) -> bool {
        let Some(wait) = wait else {
            self.timer = None;
            return false;
        };
        if self.timer.as_ref().is_none_or(|(what, _)| *what != wait) {
            let time = if wait == Wait::Head { self.head } else { self.keep_alive };
            self.timer = Some((wait, Box::pin(tokio::time::sleep(time))));
        }
        self.timer.as_mut().is_some_and(|(_, timer)| timer.as_mut().poll(cx).is_ready())
    }
}

impl AsyncRead for Guarded {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let connection = this.connection.clone();
        loop {
            let ready = this.held.len().min(buf.remaining());
            let passed = connection.change(|life| life.pass_to_parser(&this.held[..ready], this.head_bytes));
            let Ok(passed) = passed.map_err(|HeadTooLong| ()) else {
                return this.cut("431 Request Header Fields Too Large");
            };
            let stage = connection.life.get().stage();
            if passed > 0 {
                buf.put_slice(&this.held.split_to(passed));
                if stage == Stage::HeadRead {
                    // Once more after the head is parsed, and it is known how long the body is.
                    cx.waker().wake_by_ref();
                }
                return Poll::Ready(Ok(()));
            }
            if this.ended || stage == Stage::Closed {
                return Poll::Ready(Ok(()));
            }
            // Behind a head nothing is read until it is known what it is.
            if stage != Stage::HeadRead && this.poll_fill(cx)?.is_ready() {
                continue;
            }
            let wait = match stage {
                Stage::New | Stage::ReadingHead | Stage::HeadRead => Some(Wait::Head),
                Stage::Idle => Some(Wait::Rest),
                // The writing looks after its own time.
                Stage::WritingResponse => return this.later(cx),
                Stage::ReadingBody(_) | Stage::AwaitingResponse | Stage::Closed => None,
            };
            let late = this.late(wait, cx);
            if late && stage == Stage::Idle {
                connection.change(|life| life.request_close(CloseMode::Graceful));
            }
            let life = connection.life.get();
            let pressed = life.close_requested() == Some(CloseMode::Immediate);
            match stage {
                Stage::WritingResponse if late || life.write_stalled() => {
                    return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
                }
                Stage::New | Stage::Idle if life.may_close() => {
                    if this.fill_now()? {
                        continue;
                    }
                    connection.change(|life| life.close());
                    return Poll::Ready(Ok(()));
                }
                Stage::New | Stage::HeadRead if late => return this.cut("408 Request Timeout"),
                Stage::ReadingHead if late || pressed => {
                    if this.fill_now()? {
                        continue;
                    }
                    return this.cut("408 Request Timeout");
                }
                _ => {}
            }
            return this.later(cx);
        }
    }
}

impl AsyncWrite for Guarded {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        match Pin::new(this.stream()?).poll_write(cx, buf) {
            // Its client takes nothing: not for ever, and not while others want its place.
            Poll::Pending
                if this.connection.life.get().write_stalled() || this.late(Some(Wait::Rest), cx) =>
            {
                Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
            }
            Poll::Ready(Ok(written)) => {
                this.connection.touched.set(Instant::now());
                this.timer = None;
                Poll::Ready(Ok(written))
            }
            polled => polled,
        }
    }

    /// actix-http flushes once everything that it has to write is written: the answer is out then.
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(Pin::new(this.stream()?).poll_flush(cx))?;
        if this.connection.life.get().stage() == Stage::WritingResponse {
            this.connection.change(|life| life.response_flushed());
            // What was held back has its turn, as has whoever asked this connection to leave.
            cx.waker().wake_by_ref();
        }
        Poll::Ready(Ok(()))
    }

    /// Whatever was to be written has been; the rest is [`farewell`]'s.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

impl Drop for Guarded {
    fn drop(&mut self) {
        self.connection.change(|life| life.close());
        *self.connection.left.borrow_mut() = self.stream.take();
    }
}

/// Ends the writing, and reads on for a while what the peer still sends: a socket closed over unread bytes
/// resets the connection. What is read here is never sent on.
pub(super) async fn farewell(mut stream: TcpStream, linger: Duration) {
    let ending = async {
        if stream.shutdown().await.is_ok() {
            let mut scratch = vec![0; CHUNK];
            while stream.read(&mut scratch).await.is_ok_and(|count| count > 0) {}
        }
    };
    let _ = tokio::time::timeout(linger, ending).await;
}
