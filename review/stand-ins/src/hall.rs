//! What the pick nodes of a hall share: the keys that they have seen, so that a repeat within the window is
//! dropped. Also the ground truth of a run: which jobs had their effect, where and how often.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

enum KeyState {
    /// Waiting or running.
    Held,
    Done(String),
}

/// The keys that the nodes of a hall have seen.
pub struct Hall {
    pub name: &'static str,
    window: Duration,
    keys: Mutex<HashMap<String, (Instant, KeyState)>>,
    changed: Condvar,
}

impl Hall {
    pub fn new(name: &'static str, window: Duration) -> Hall {
        Hall { name, window, keys: Mutex::default(), changed: Condvar::new() }
    }

    /// Claims a key for a job that arrives now. A repeat within the window waits for the end of the first, and
    /// gets its result.
    pub fn claim(&self, key: &str) -> Option<String> {
        let arrived = Instant::now();
        let mut keys = self.keys.lock().unwrap();
        loop {
            match keys.get(key) {
                Some((_, KeyState::Held)) => keys = self.changed.wait(keys).unwrap(),
                Some((since, KeyState::Done(result))) if arrived < *since + self.window => {
                    return Some(result.clone());
                }
                _ => {
                    keys.insert(key.to_owned(), (arrived, KeyState::Held));
                    return None;
                }
            }
        }
    }

    /// Frees the key of a job that never ran.
    pub fn free(&self, key: &str) {
        self.keys.lock().unwrap().remove(key);
        self.changed.notify_all();
    }

    /// Keeps the result of a job, for repeats.
    pub fn finish(&self, key: &str, result: &str) {
        if let Some((_, state)) = self.keys.lock().unwrap().get_mut(key) {
            *state = KeyState::Done(result.to_owned());
        }
        self.changed.notify_all();
    }
}

/// What all pick nodes of a run took and ran.
#[derive(Default)]
pub struct Effects {
    /// The places at which each job had its effect, by the job's key (or id, where it has none).
    places: Mutex<BTreeMap<String, Vec<String>>>,
    /// The ids of the requests that a node took.
    taken: Mutex<HashSet<String>>,
}

impl Effects {
    /// Notes that a node has taken a request.
    pub fn take(&self, id: &str) {
        self.taken.lock().unwrap().insert(id.to_owned());
    }

    /// Whether a node has taken this request.
    pub fn was_taken(&self, id: &str) -> bool {
        self.taken.lock().unwrap().contains(id)
    }

    /// Notes that a job has had its effect.
    pub fn add(&self, key: &str, place: &str) {
        self.places.lock().unwrap().entry(key.to_owned()).or_default().push(place.to_owned());
    }

    /// The jobs that had their effect more than once.
    pub fn repeated(&self) -> Vec<(String, Vec<String>)> {
        let effects = self.places.lock().unwrap();
        effects.iter().filter(|(_, places)| places.len() > 1).map(|(k, p)| (k.clone(), p.clone())).collect()
    }

    pub fn count(&self) -> usize {
        self.places.lock().unwrap().len()
    }
}
