//! The memory of keys that the nodes of a hall share, or those of all halls. It owns which key is whose and what
//! became of it; it must never run anything.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Whose key of which class.
pub type Key = (String, String, String);

/// What became of a key in the memory of a hall.
#[derive(Clone, Debug)]
pub(super) enum JobState {
    Running,
    Done(String),
    /// Its job was withdrawn unstarted: it never ran.
    Cancelled,
}

/// The memory that nodes share: those of a hall, or all of them.
#[derive(Default)]
pub(super) struct RepeatFilter(Mutex<HashMap<Key, (Instant, watch::Receiver<JobState>)>>);

pub(super) enum Claim {
    First(watch::Sender<JobState>),
    Repeat(watch::Receiver<JobState>),
}

impl RepeatFilter {
    /// The first within the window has the key; the rest are repeats, which are dropped.
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
