//! Halls of pick nodes: slots, a queue in order, speed, the memory of repeats that the nodes of a hall
//! share, call-backs, and the faults that are injected. They own the truth: which key had its effect how
//! often, and where. A node does what the platform's pages say of one, and knows nothing of dispatchers
//! beyond the address that its calls go to.

mod job;
mod memory;
mod node;

pub use memory::Key;

use crate::installation::{Class, Faults, Hall};
use memory::Memory;
use node::Node;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// What truly happened.
#[derive(Default)]
pub struct GroundTruth {
    effects: Mutex<HashMap<Key, Vec<String>>>,
    /// Attempts taken.
    pub attempts: AtomicUsize,
    /// Repeats that a hall's memory dropped.
    pub repeats_dropped: AtomicUsize,
    /// Faults injected.
    pub faults: AtomicUsize,
}

impl GroundTruth {
    /// Keys that had their effect more than once.
    pub fn duplicated_keys(&self) -> usize {
        self.effects.lock().expect("no holder panics").values().filter(|halls| halls.len() > 1).count()
    }

    /// The same, where the effects were in different halls.
    pub fn keys_duplicated_across_halls(&self) -> usize {
        let across = |halls: &&Vec<String>| halls.iter().any(|hall| *hall != halls[0]);
        self.effects.lock().expect("no holder panics").values().filter(across).count()
    }

    /// Keys that had their effect.
    pub fn executed_keys(&self) -> usize {
        self.effects.lock().expect("no holder panics").len()
    }
}

/// All halls of an installation.
pub struct Halls {
    /// What truly happened.
    pub ground_truth: Arc<GroundTruth>,
    /// The entries of discovery's list, for each dispatcher.
    pub hosts: Vec<Vec<Value>>,
}

impl Halls {
    /// Starts the nodes of all halls, each with an address for each dispatcher.
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
        let of_all = Arc::new(Memory::default());
        let mut hosts = vec![Vec::new(); dispatchers.len()];
        let mut random = fastrand::Rng::with_seed(seed);
        for hall in halls {
            let of_hall = Arc::new(Memory::default());
            for number in 0..hall.nodes {
                let node = Arc::new(Node {
                    name: format!("{}-{number}", hall.name),
                    hall: hall.name.clone(),
                    speed: hall.speed,
                    slots: hall.slots,
                    free: Semaphore::new(hall.slots),
                    classes: classes.iter().map(|class| (class.name.clone(), class.clone())).collect(),
                    faults: faults.clone(),
                    random: Mutex::new(random.fork()),
                    of_hall: of_hall.clone(),
                    of_all: of_all.clone(),
                    truth: ground_truth.clone(),
                    jobs: Mutex::default(),
                    dispatchers: dispatchers.to_vec(),
                    idle: Mutex::default(),
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
