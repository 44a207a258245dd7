//! How a watch or a call for the list is lost: when it counts as late, and what its error says of discovery.
//! It must never decide what follows from that.

use awc::error::{ConnectError, SendRequestError};
use std::io::ErrorKind;
use std::pin::pin;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// What is known of discovery by a loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lost {
    /// Nothing.
    Failed,
    /// Its watch stands and brings nothing.
    Silent,
    /// Nobody listens there: whatever there is to tell, it could not be had by now.
    Away,
}

/// Whether calls fail because discovery is down: it ends its watches as it goes. What fails in the first while
/// after the end of a watch that stood is its outage; later it may as well be its many callers. Guards
/// against refusing work all through an outage, in which nothing can be told; could do harm where it is back
/// early and then overbooked to the end of that while, and for as long as a list holds after it.
#[derive(Debug, Default)]
pub struct Outage {
    stood: bool,
    since: Option<Instant>,
}

impl Outage {
    /// The watch has told something.
    pub fn told(&mut self) {
        *self = Outage { stood: true, since: None };
    }

    /// What a loss at `now` says, where failures count as an outage for so long.
    pub fn judge(&mut self, lost: Lost, now: Instant, most: Duration) -> Lost {
        if std::mem::take(&mut self.stood) {
            self.since = (lost == Lost::Failed).then_some(now);
            return lost;
        }
        let out = self.since.is_some_and(|since| now - since < most);
        if out && lost == Lost::Failed { Lost::Away } else { lost }
    }
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
        let lost = match &e {
            SendRequestError::Connect(ConnectError::Io(io)) if io.kind() == ErrorKind::ConnectionRefused => {
                Lost::Away
            }
            _ => Lost::Failed,
        };
        Loss { why: e.to_string(), lost }
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
