//! The timeout that an accepted connection is under.

use crate::limits::Limits;
use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::time::Duration;
use tokio::time::Sleep;

/// The kinds of timeouts.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Timeout {
    /// For the end of a head: from the connection or the head's first byte on.
    Head,
    /// For the next request.
    KeepAlive,
    /// For the client to read its response.
    Write,
}

/// The running timeout of a connection, if there is one.
pub(super) struct StreamTimer {
    head_timeout: Duration,
    keep_alive: Duration,
    write_timeout: Duration,
    running: Option<(Timeout, Pin<Box<Sleep>>)>,
}

impl StreamTimer {
    /// Creates a timer with no timeout running.
    pub fn new(limits: &Limits) -> StreamTimer {
        let Limits { head_timeout, keep_alive, write_timeout, .. } = *limits;
        StreamTimer { head_timeout, keep_alive, write_timeout, running: None }
    }

    /// Stops the running timeout.
    pub fn stop(&mut self) {
        self.running = None;
    }

    /// Whether the timeout has expired; it starts when it differs from the last one asked for.
    pub fn expired(&mut self, timeout: Option<Timeout>, cx: &mut Context<'_>) -> bool {
        let Some(timeout) = timeout else {
            self.stop();
            return false;
        };
        if self.running.as_ref().is_none_or(|(running, _)| *running != timeout) {
            let time = match timeout {
                Timeout::Head => self.head_timeout,
                Timeout::KeepAlive => self.keep_alive,
                Timeout::Write => self.write_timeout,
            };
            self.running = Some((timeout, Box::pin(tokio::time::sleep(time))));
        }
        self.running.as_mut().is_some_and(|(_, timer)| timer.as_mut().poll(cx).is_ready())
    }
}
