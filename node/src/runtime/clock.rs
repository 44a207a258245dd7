//! The program's clock. The only module that reads the system's time of day.

use sablerun as sr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The system's time since the Unix epoch.
pub fn unix_now() -> sr::Time {
    sr::Time(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64)
}

/// A monotonic clock that is set to the system's time at the start, so that times from other machines are
/// comparable with its own.
pub struct Clock {
    started: Instant,
    /// The system's time at the start, in nanoseconds since the Unix epoch.
    started_unix_ns: u64,
}

impl Clock {
    pub fn new() -> Clock {
        Clock { started: Instant::now(), started_unix_ns: unix_now().0 }
    }

    pub fn now(&self) -> sr::Time {
        sr::Time(self.started_unix_ns + self.started.elapsed().as_nanos() as u64)
    }

    /// Time since the start.
    pub fn age(&self) -> Duration {
        self.started.elapsed()
    }

    /// Converts a time of this clock to an [`Instant`].
    pub fn instant(&self, at: sr::Time) -> Instant {
        self.started + Duration::from_nanos(at.0.saturating_sub(self.started_unix_ns))
    }

    /// Converts Unix milliseconds; 0 means a time long past and gives `None`.
    pub fn unix_ms(&self, ms: u64) -> Option<sr::Time> {
        (ms > 0).then(|| sr::Time(ms.saturating_mul(1_000_000)))
    }
}
