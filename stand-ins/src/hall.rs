//! Halls (a site's groups of runners, called pick nodes): slots, a FIFO queue, speed, deduplication of keys
//! across a hall, call-backs and injected faults. Records as ground truth which key was executed how often,
//! and where. A node follows the platform's public protocol and knows nothing of a dispatcher but its
//! call-back address.

mod dedup;
mod job;
mod node;

pub use dedup::Key;

use crate::installation::{Class, Faults, Hall};
use dedup::RepeatFilter;
use node::Node;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// What was really executed, to check dispatchers' claims against.
#[derive(Default)]
pub struct GroundTruth {
    executions: Mutex<HashMap<Key, Vec<String>>>,
    /// Attempts received.
    pub attempts: AtomicUsize,
    /// Repeats that were dropped as duplicates of a key.
    pub repeats_dropped: AtomicUsize,
    /// Faults injected.
    pub faults: AtomicUsize,
}

impl GroundTruth {
    /// Returns the number of keys that were executed more than once.
    pub fn duplicated_keys(&self) -> usize {
        self.executions.lock().expect("no holder panics").values().filter(|halls| halls.len() > 1).count()
    }

    /// Returns the number of keys that were executed in more than one hall.
    pub fn keys_duplicated_across_halls(&self) -> usize {
        let across = |halls: &&Vec<String>| halls.iter().any(|hall| *hall != halls[0]);
        self.executions.lock().expect("no holder panics").values().filter(across).count()
    }

    /// Returns the number of keys that were executed.
    pub fn executed_keys(&self) -> usize {
        self.executions.lock().expect("no holder panics").len()
    }
}

/// All halls of an installation.
pub struct Halls {
    /// What was really executed.
    pub ground_truth: Arc<GroundTruth>,
    /// The entries of the runner list, for each dispatcher.
    pub hosts: Vec<Vec<Value>>,
}

impl Halls {
    /// Starts the nodes of all halls. Each node listens on a separate address for each dispatcher.
    ///
    /// # Errors
    ///
    /// If no address is free.
    pub async fn start(
        halls: &[Hall],
        classes: &[Class],
        faults: &Faults,
        seed: u64,
        dispatchers: &[SocketAddr],
    ) -> std::io::Result<Halls> {
        let ground_truth = Arc::new(GroundTruth::default());
        let installation_filter = Arc::new(RepeatFilter::default());
        let mut hosts = vec![Vec::new(); dispatchers.len()];
        let mut rng = fastrand::Rng::with_seed(seed);
        for hall in halls {
            let hall_filter = Arc::new(RepeatFilter::default());
            for number in 0..hall.nodes {
                let node = Arc::new(Node {
                    name: format!("{}-{number}", hall.name),
                    hall: hall.name.clone(),
                    speed: hall.speed,
                    slots: hall.slots,
                    free_slots: Semaphore::new(hall.slots),
                    classes: classes.iter().map(|class| (class.name.clone(), class.clone())).collect(),
                    faults: faults.clone(),
                    rng: Mutex::new(rng.fork()),
                    hall_filter: hall_filter.clone(),
                    installation_filter: installation_filter.clone(),
                    ground_truth: ground_truth.clone(),
                    jobs: Mutex::default(),
                    dispatchers: dispatchers.to_vec(),
                    idle_connections: Mutex::default(),
                });
                for (dispatcher, hosts) in hosts.iter_mut().enumerate() {
                    let listener = TcpListener::bind("127.0.0.1:0").await?;
                    let dial = listener.local_addr()?.to_string();
                    hosts
                        .push(json!({"host": node.name, "dial": dial, "site": hall.name, "class": "k4-full",
                                      "block": 0, "health": "active", "share": 1.0, "born_ms": 0}));
                    tokio::spawn(node.clone().listen(dispatcher, listener));
                }
            }
        }
        Ok(Halls { ground_truth, hosts })
    }
}
