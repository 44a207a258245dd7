//! An accepted stream between the socket and actix-http. It owns how much a client may write and how
//! fast, and how a connection ends. It must never answer a whole request, nor keep an answer back.

use crate::limits::Limits;
use crate::net::platform::connection::{Carried, Connection};
use actix_codec::{AsyncRead, AsyncWrite, ReadBuf};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// How far into a head the bytes read so far go.
#[derive(Clone, Copy, Default)]
pub(super) struct Scan {
    bytes: usize,
    /// Bytes of the line that is not ended yet.
    line: usize,
    /// A line that is not empty has been read: an empty one ends the head.
    begun: bool,
    done: bool,
}

impl Scan {
    fn take(&mut self, read: &[u8]) {
        for &byte in read {
            if self.done {
                return;
            }
            self.bytes += 1;
            match byte {
                b'\n' => {
                    self.done = self.begun && self.line == 0;
                    self.line = 0;
                }
                b'\r' => {}
                _ => (self.begun, self.line) = (true, self.line + 1),
            }
        }
    }
}

/// An accepted stream that keeps to the limits, whatever is sent on it. Guards against what actix-http
/// leaves open: a first head may grow to 128 KiB and a later one take for ever, and closing with bytes
/// unread resets the connection, which may destroy the answer on its way.
pub(super) struct Guarded {
    stream: TcpStream,
    pub connection: Rc<Connection>,
    head_bytes: usize,
    head: Duration,
    linger: Duration,
    /// While a head is awaited: until when; while it closes: how long it is read on.
    timer: Option<Pin<Box<Sleep>>>,
    shut: bool,
}

impl Guarded {
    pub fn new(stream: TcpStream, connection: Rc<Connection>, limits: &Limits) -> Guarded {
        let Limits { head_bytes, head, linger, .. } = *limits;
        Guarded { stream, connection, head_bytes, head, linger, timer: None, shut: false }
    }

    /// Answers in place of actix-http, which waits for the end of a head, and ends the reading.
    fn cut(&mut self, status: &str) -> Poll<io::Result<()>> {
        let answer = format!("HTTP/1.1 {status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        // A peer whose window is full of answers it does not read can do without this one.
        let _ = self.stream.try_write(answer.as_bytes());
        self.connection.closing.set(true);
        Poll::Ready(Ok(()))
    }

    /// Whether the time since the timer was last set is over.
    fn over(&mut self, after: Duration, cx: &mut Context<'_>) -> bool {
        let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep(after)));
        timer.as_mut().poll(cx).is_ready()
    }
}

impl AsyncRead for Guarded {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.connection.closing.get() {
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(cx, buf);
        let answering = this.connection.busy.get() > 0;
        let mut scan = this.connection.scan.get();
        if buf.filled().len() > before {
            this.connection.touched.set(Instant::now());
            if !answering {
                scan.take(&buf.filled()[before..]);
                this.connection.scan.set(scan);
                if !scan.done && scan.bytes > this.head_bytes {
                    buf.set_filled(before);
                    return this.cut("431 Request Header Fields Too Large");
                }
            }
        }
        // Between requests a connection may rest; a head that is begun, or the first, may not.
        let fresh = this.connection.carried.get() == Carried::Nothing;
        if answering || scan.done || !scan.begun && !fresh {
            this.timer = None;
        } else if this.over(this.head, cx) && polled.is_pending() {
            return this.cut("408 Request Timeout");
        }
        polled
    }
}

impl AsyncWrite for Guarded {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    /// Ends the writing, and reads on for a while what the peer still sends.
    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if !std::mem::replace(&mut this.shut, true) {
            this.connection.closing.set(true);
            this.timer = None;
        }
        std::task::ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
        let mut scratch = [0; 16 * 1024];
        // So many reads at a time: others want their turn.
        for _ in 0..16 {
            let mut unread = ReadBuf::new(&mut scratch);
            match Pin::new(&mut this.stream).poll_read(cx, &mut unread) {
                Poll::Ready(Ok(())) if !unread.filled().is_empty() => {}
                Poll::Ready(_) => return Poll::Ready(Ok(())),
                Poll::Pending if this.over(this.linger, cx) => return Poll::Ready(Ok(())),
                Poll::Pending => return Poll::Pending,
            }
        }
        if this.over(this.linger, cx) {
            return Poll::Ready(Ok(()));
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}
