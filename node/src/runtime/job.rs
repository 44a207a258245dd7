//! The payload of a request that links forward to a runner.

use bytes::Bytes;

/// The payload of a request, independent of the wire protocol.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Job {
    /// Path and query, unchanged.
    pub target: String,
    pub body: Bytes,
    /// The key under which runners deduplicate repeats.
    pub key: Option<String>,
    pub content_type: Option<String>,
    pub class: String,
    pub tenant: Option<String>,
    /// The queue, if the client named one.
    pub queue: Option<String>,
    /// The job as the client wrote it, if it came over a protocol with its own job format.
    pub original: Option<Bytes>,
}
