//! The program's clock. It owns how its times and those of other machines are told; nothing else may ask
//! the system for the time of day.

use sablerun as sr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The system's time, since the Unix epoch.
pub fn unix_now() -> sr::Time {
    sr::Time(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64)
}

/// The program's clock: monotonic, and at its start the system's, so that other machines' times can
/// be read on it.
pub struct Clock {
    started: Instant,
    unix: u64,
}

impl Clock {
    pub fn new() -> Clock {
        Clock { started: Instant::now(), unix: unix_now().0 }
    }

    pub fn now(&self) -> sr::Time {
        sr::Time(self.unix + self.started.elapsed().as_nanos() as u64)
    }

    /// Time since the start.
    pub fn age(&self) -> Duration {
        self.started.elapsed()
    }

    /// A moment of the clock as the runtime's timers know it.
    pub fn instant(&self, at: sr::Time) -> Instant {
        self.started + Duration::from_nanos(at.0.saturating_sub(self.unix))
    }

    /// A time in Unix milliseconds; 0 means long ago.
    pub fn unix_ms(&self, ms: u64) -> Option<sr::Time> {
        (ms > 0).then(|| sr::Time(ms.saturating_mul(1_000_000)))
    }
}
