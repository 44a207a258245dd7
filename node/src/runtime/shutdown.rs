//! The shutdown state, and the times that it takes.

use super::Runtime;
use sablerun as sr;
use std::time::Duration;

impl Runtime {
    /// Whether shutdown has begun: connections are no longer kept open.
    pub fn stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Begins the shutdown: connections close after their answers.
    pub fn begin_shutdown(&self) {
        self.stopping.set(true);
    }

    /// The number of tickets without a final answer.
    pub fn open(&self) -> usize {
        self.core.borrow().open()
    }

    /// Records the longest deadline of the settings in force, which determines the shutdown times.
    pub fn update_longest_deadline(&self, settings: &sr::Settings) {
        let longest = settings.classes.iter().map(|class| class.deadline.0).max().unwrap_or(0);
        self.longest_deadline.set(Duration::from_nanos(longest));
    }

    /// For how long clients are served as usual after SIGTERM, and after how long the program answers what is
    /// unanswered and ends, under the settings in force now.
    pub fn shutdown_times(&self) -> (Duration, Duration) {
        self.limits.shutdown_times(self.longest_deadline.get())
    }
}
