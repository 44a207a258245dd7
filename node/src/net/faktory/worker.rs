//! A worker process: its connections, the jobs that it has or that wait for it, and the FETCHes that wait for a job.

use crate::core::AttemptId;
use bytes::Bytes;
use sablerun as sr;
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::oneshot;

/// A job queued for its worker's next FETCH.
pub(super) struct QueuedJob {
    pub attempt: AttemptId,
    pub jid: Rc<str>,
    pub queue: String,
    pub frame: Bytes,
}

/// A job handed to a worker.
pub(super) struct RunningJob {
    /// `None` once the attempt was cancelled: the worker may go on, but its result is ignored.
    pub attempt: Option<AttemptId>,
    pub connection: u64,
    /// The job was written whole to the connection.
    pub written: bool,
    pub started: Instant,
}

/// A job to write to the connection of a parked FETCH.
pub(super) struct Delivery {
    pub jid: Rc<str>,
    pub frame: Bytes,
}

/// A FETCH that waits for a job, which is a free slot of its worker.
pub(super) struct ParkedFetch {
    pub connection: u64,
    pub queues: Vec<String>,
    pub delivery: oneshot::Sender<Delivery>,
}

/// A worker process, identified by its wid.
pub(super) struct Worker {
    /// The name of the peer that registered it.
    pub peer: String,
    pub zone: String,
    pub kind: String,
    pub up_since: sr::Time,
    /// The numbers of its connections; those of an earlier process with the same wid are not among them.
    pub connections: HashSet<u64>,
    pub last_beat: Instant,
    /// It reported that it takes no more jobs.
    pub quiet: bool,
    /// The queues that its FETCHes have named so far.
    pub queues: HashSet<String>,
    pub parked: VecDeque<ParkedFetch>,
    pub queued: VecDeque<QueuedJob>,
    pub running: HashMap<Rc<str>, RunningJob>,
    /// Moving average of the service time, in seconds.
    pub latency: Option<f64>,
}

impl Worker {
    pub fn report(&self) -> sr::Report {
        sr::Report {
            inflight: Some((self.running.len() + self.queued.len()) as f64),
            latency: self.latency.map(sr::Span::from_secs),
            free_slots: Some(self.parked.len() as f64),
            ..sr::Report::default()
        }
    }
}

/// Returns the runner name of a worker. The prefix keeps wids apart from the names of discovery's hosts.
pub(super) fn runner_name(wid: &str) -> String {
    format!("wid:{wid}")
}
