//! Deduplication of keys, shared by the nodes of a hall or of all halls.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// The tenant, the class and the idempotency key.
pub type Key = (String, String, String);

/// The state of the job that claimed a key.
#[derive(Clone, Debug)]
pub(super) enum JobState {
    Running,
    Done(String),
    /// The job was cancelled before it started and was never executed.
    Cancelled,
}

/// The claimed keys, shared by the nodes of a hall or of all halls.
#[derive(Default)]
pub(super) struct RepeatFilter(Mutex<HashMap<Key, (Instant, watch::Receiver<JobState>)>>);

pub(super) enum Claim {
    First(watch::Sender<JobState>),
    Repeat(watch::Receiver<JobState>),
}

impl RepeatFilter {
    /// Claims a key. Claims after the first within the window are repeats, whose jobs are not executed.
    pub(super) fn claim(&self, key: &Key, window: Duration) -> Claim {
        let mut claims = self.0.lock().expect("no holder panics");
        if let Some((claimed_at, state)) = claims.get(key)
            && claimed_at.elapsed() < window
            && !matches!(*state.borrow(), JobState::Cancelled)
        {
            return Claim::Repeat(state.clone());
        }
        let (send, receive) = watch::channel(JobState::Running);
        claims.insert(key.clone(), (Instant::now(), receive));
        Claim::First(send)
    }
}
