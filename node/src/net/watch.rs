//! Errors and the timeout of a watch on discovery or a call for its list. An error is never taken to show
//! whether discovery could be reached: a refusal, a 503 or a reset says nothing of the time before it, in
//! which there may have been changes.

use awc::error::SendRequestError;
use std::pin::pin;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The kind of a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// The call or watch failed, for whatever reason.
    Failed,
    /// The watch is connected but delivers nothing.
    Silent,
}

/// Why a watch or a call failed.
pub struct WatchError {
    pub reason: String,
    pub kind: FailureKind,
}

impl From<String> for WatchError {
    fn from(reason: String) -> WatchError {
        WatchError { reason, kind: FailureKind::Failed }
    }
}

impl From<&str> for WatchError {
    fn from(reason: &str) -> WatchError {
        reason.to_owned().into()
    }
}

impl From<SendRequestError> for WatchError {
    fn from(e: SendRequestError) -> WatchError {
        e.to_string().into()
    }
}

/// A timeout with a grace period: expiry is reported first, and the watch is read on until the grace period
/// ends.
pub struct GraceTimeout {
    deadline: Instant,
    grace: Duration,
    expired: bool,
}

impl GraceTimeout {
    pub fn new(timeout: Duration, grace: Duration) -> GraceTimeout {
        GraceTimeout { deadline: Instant::now() + timeout, grace, expired: false }
    }

    /// Waits for the future. Calls `on_expiry` once the timeout expires, and waits for the grace period then.
    ///
    /// # Errors
    ///
    /// The grace period has ended too.
    pub async fn wait<T>(
        &mut self,
        future: impl Future<Output = T>,
        on_expiry: impl FnOnce(),
    ) -> Result<T, WatchError> {
        let mut future = pin!(future);
        if !self.expired {
            if let Ok(output) = timeout_at(self.deadline, &mut future).await {
                return Ok(output);
            }
            on_expiry();
            (self.deadline, self.expired) = (self.deadline + self.grace, true);
        }
        timeout_at(self.deadline, future).await.map_err(|_| "still nothing".into())
    }
}
