//! How a watch or a call for the list is lost, and when it counts as late. It must never decide what follows from
//! that, nor guess from an error whether discovery could be reached: a refusal, a 503 or a reset shows that it could
//! not just then, and nothing of the time before, in which there may have been something to tell.

use awc::error::SendRequestError;
use std::pin::pin;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// What is known of discovery by a loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lost {
    /// Nothing, whatever the error.
    Failed,
    /// Its watch stands and brings nothing.
    Silent,
}

/// Why a watch or a call brings nothing more.
pub struct Loss {
    pub why: String,
    pub lost: Lost,
}

impl From<String> for Loss {
    fn from(why: String) -> Loss {
        Loss { why, lost: Lost::Failed }
    }
}

impl From<&str> for Loss {
    fn from(why: &str) -> Loss {
        why.to_owned().into()
    }
}

impl From<SendRequestError> for Loss {
    fn from(e: SendRequestError) -> Loss {
        e.to_string().into()
    }
}

/// When a watch has to have told something, for how long it is read on after that, and whether it is late.
pub struct Due {
    at: Instant,
    more: Duration,
    late: bool,
}

impl Due {
    pub fn new(wait: Duration, more: Duration) -> Due {
        Due { at: Instant::now() + wait, more, late: false }
    }

    /// Waits for what comes; once it is late that is told of, and it is waited for a while longer.
    ///
    /// # Errors
    ///
    /// Nothing has come by then either.
    pub async fn wait<T>(&mut self, what: impl Future<Output = T>, late: impl FnOnce()) -> Result<T, Loss> {
        let mut what = pin!(what);
        if !self.late {
            if let Ok(come) = timeout_at(self.at, &mut what).await {
                return Ok(come);
            }
            late();
            (self.at, self.late) = (self.at + self.more, true);
        }
        timeout_at(self.at, what).await.map_err(|_| "still nothing".into())
    }
}
