//! State that the processes of one dispatcher share while one replaces another: how much of the memory and of the
//! descriptors each uses, and which request ids are open.
//!
//! Everything is held by locks on byte ranges of one file (open file description locks, `fcntl(2)`). The kernel
//! decides who gets a lock, whether or not the other process runs just then, and releases the locks of a process
//! that ends, however it ends. A process without a shared file has everything for itself.

mod file;
mod id_records;
mod quota;
mod request_ids;

pub use file::SharedFile;
pub use quota::{Quota, Resource};
pub use request_ids::{IdClaim, RequestIds};

use crate::limits::Limits;
use std::sync::Arc;

/// What the processes of one dispatcher have together, as this one sees it.
pub struct SharedResources {
    /// Connections of the platform's clients and runners.
    pub client_connections: Arc<Quota>,
    /// Connections of Faktory peers.
    pub faktory_connections: Arc<Quota>,
    /// Connections to runners.
    pub runner_connections: Arc<Quota>,
    /// Requests that wait for their answers.
    pub open_requests: Arc<Quota>,
    /// Memory for messages of the platform's peers, in bytes.
    pub message_memory: Arc<Quota>,
    /// Memory for messages of Faktory peers, in bytes.
    pub faktory_memory: Arc<Quota>,
    /// Memory for lists that are being read, in bytes.
    pub list_memory: Arc<Quota>,
    /// Memory for idempotency keys and their results, in bytes.
    pub key_memory: Arc<Quota>,
    /// Ids of open requests; `None` for a process alone.
    pub request_ids: Option<RequestIds>,
    file: Option<Arc<SharedFile>>,
}

impl SharedResources {
    /// Divides these limits among the processes that use the file; without one, this process has all.
    pub fn new(limits: &Limits, file: Option<Arc<SharedFile>>) -> SharedResources {
        let share = limits.second_process_share;
        let quota = |resource, capacity, second_process| match &file {
            Some(file) => Arc::new(Quota::shared(file.clone(), resource, capacity, second_process)),
            None => Arc::new(Quota::alone(capacity)),
        };
        SharedResources {
            client_connections: quota(Resource::ClientConnections, limits.max_client_connections, share),
            faktory_connections: quota(Resource::FaktoryConnections, limits.max_faktory_connections, share),
            runner_connections: quota(Resource::RunnerConnections, limits.max_runner_connections, share),
            open_requests: quota(Resource::OpenRequests, limits.max_open, 0.0),
            message_memory: quota(Resource::MessageMemory, limits.message_memory_bytes, share),
            faktory_memory: quota(Resource::FaktoryMemory, limits.faktory_memory_bytes, share),
            list_memory: quota(Resource::ListMemory, limits.list_memory_bytes, share),
            key_memory: quota(
                Resource::KeyMemory,
                limits.key_bounds.map_or(0, |bounds| bounds.max_bytes),
                0.0,
            ),
            request_ids: file.clone().map(RequestIds::new),
            file,
        }
    }

    /// Looks whether another process is there, and what it leaves. Returns whether there is one.
    pub fn refresh(&self) -> bool {
        let Some(file) = &self.file else { return false };
        let has_peers = file.refresh_peers();
        for quota in [
            &self.client_connections,
            &self.faktory_connections,
            &self.runner_connections,
            &self.open_requests,
            &self.message_memory,
            &self.faktory_memory,
            &self.list_memory,
            &self.key_memory,
        ] {
            quota.refresh();
        }
        has_peers
    }
}
