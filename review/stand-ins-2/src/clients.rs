//! Clients of the platform's protocol: one request on a connection of its own.

use crate::http::{Message, call};
use std::net::SocketAddr;
use std::time::Duration;

/// A client's job.
#[derive(Clone, Debug)]
pub struct Job {
    pub id: String,
    pub class: String,
    pub tenant: String,
    pub key: String,
    pub retried: bool,
    /// The job's work at the yardstick's speed, which the body tells the runner and `X-Cost` the dispatcher.
    pub work_ms: u64,
    pub timeout_ms: u64,
}

impl Job {
    fn request(&self) -> String {
        let body = format!("job={} work_ms={}", self.key, self.work_ms);
        let retried = if self.retried { "X-Retried: 1\r\n" } else { "" };
        format!(
            "POST /api?sid=7f3a HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {}\r\nX-Priority-Class: {}\r\n\
             X-Tenant-Id: {}\r\nX-Timeout: {}m\r\nX-Cost: {}\r\nIdempotency-Key: {}\r\n{retried}\
             Content-Length: {}\r\n\r\n{body}",
            self.id,
            self.class,
            self.tenant,
            self.timeout_ms,
            self.work_ms * 1000,
            self.key,
            body.len()
        )
    }

    /// Sends the job and waits for its answer: the status and the body, or why there was none.
    pub fn send(&self, dispatcher: SocketAddr) -> Result<(u16, String), String> {
        let timeout = Duration::from_millis(self.timeout_ms + 1000);
        let Message { start, body, .. } =
            call(dispatcher, &self.request(), timeout).map_err(|e| format!("no answer: {e}"))?;
        let status = start.split(' ').nth(1).and_then(|status| status.parse().ok());
        Ok((status.ok_or_else(|| format!("no status: {start}"))?, body))
    }
}
