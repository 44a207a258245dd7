//! What is passed on of a request. It owns no more than its parts; it must never know a wire.

use bytes::Bytes;

/// What is passed on of a request, the same for every wire.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Job {
    /// Path and query, unchanged.
    pub target: String,
    pub body: Bytes,
    /// The key under which runners drop repeats.
    pub key: Option<String>,
    pub content_type: Option<String>,
    pub class: String,
    pub tenant: Option<String>,
    /// Where its client named them: the queue it stands in, and the job as the client wrote it.
    pub queue: Option<String>,
    pub original: Option<Bytes>,
}
