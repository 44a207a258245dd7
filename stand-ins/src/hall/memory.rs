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
pub(super) enum Fate {
    Running,
    Done(String),
    /// Its job was withdrawn unstarted: it never ran.
    Withdrawn,
}

/// The memory that nodes share: those of a hall, or all of them.
#[derive(Default)]
pub(super) struct Memory(Mutex<HashMap<Key, (Instant, watch::Receiver<Fate>)>>);

pub(super) enum Claim {
    Mine(watch::Sender<Fate>),
    Repeat(watch::Receiver<Fate>),
}

impl Memory {
    /// The first within the window has the key; the rest are repeats, which are dropped.
    pub(super) fn claim(&self, key: &Key, window: Duration) -> Claim {
        let mut held = self.0.lock().expect("no holder panics");
        if let Some((at, fate)) = held.get(key)
            && at.elapsed() < window
            && !matches!(*fate.borrow(), Fate::Withdrawn)
        {
            return Claim::Repeat(fate.clone());
        }
        let (send, receive) = watch::channel(Fate::Running);
        held.insert(key.clone(), (Instant::now(), receive));
        Claim::Mine(send)
    }
}
