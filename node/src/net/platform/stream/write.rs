//! The writing side of an accepted stream.

use super::GuardedStream;
use crate::net::platform::lifecycle::Stage;
use crate::net::platform::timer::Timeout;
use actix_codec::AsyncWrite;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Instant;

impl AsyncWrite for GuardedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        match Pin::new(this.stream()?).poll_write(cx, buf) {
            // The client does not read its response: end it after a time, or at once if it is evicted.
            Poll::Pending
                if this.connection.lifecycle.get().write_stalled()
                    || this.timer.expired(Some(Timeout::Write), cx) =>
            {
                Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
            }
            Poll::Ready(Ok(written)) => {
                this.connection.last_activity.set(Instant::now());
                this.timer.stop();
                Poll::Ready(Ok(written))
            }
            polled => polled,
        }
    }

    /// actix-http flushes whenever its buffer is full. The response is complete once it has taken the whole of it.
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(Pin::new(this.stream()?).poll_flush(cx))?;
        let complete = !this.connection.response_incomplete.get();
        if complete && this.connection.lifecycle.get().stage() == Stage::WritingResponse {
            this.input.release_head();
            this.connection.update(|lifecycle| lifecycle.response_flushed());
            // Buffered input can be parsed now, and a request to close takes effect.
            cx.waker().wake_by_ref();
        }
        Poll::Ready(Ok(()))
    }

    /// Does nothing: everything has been written, and [`crate::net::platform::linger::lingering_close`] shuts the socket down.
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
