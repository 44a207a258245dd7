//! Stand-ins that do as a test says: a dispatcher started for it, discovery, runners that do what a job's
//! text says, Faktory workers and clients. Their faces block, as tests do; what serves stands on the same
//! HTTP and the same discovery as the experiments'. They wait for events, never for a time to pass, and
//! panic where a test would.

#![allow(missing_docs, reason = "the tests' own words")]

mod events;
mod faktory;
mod program;
mod runner;

pub use events::Events;
pub use faktory::{FaktoryConnection, job, worker};
pub use program::{GATEWAY_CONFIG, Program, settings, test_dir};
pub use runner::{Discovery, Runner, host};

use crate::http::{Message, call_blocking};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Longest that any wait for an event may take before the test fails.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// One exchange on a connection of its own.
pub fn call(at: SocketAddr, head: &str, body: &str) -> Message {
    call_blocking(at, head, body).expect("an answer")
}

fn word_of(text: &str) -> &'static str {
    let words = ["error", "away", "reset", "hang", "early", "mute", "unusable"];
    words.into_iter().find(|word| text.contains(word)).unwrap_or("serve")
}

/// A client's request on the platform's front.
pub fn api_request(class: &str, id: &str, timeout: &str, more: &str) -> String {
    format!(
        "POST /api?sid=7f3a HTTP/1.1\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
         X-Tenant-Id: mehran-dist\r\nX-Timeout: {timeout}\r\nIdempotency-Key: key-{id}{more}"
    )
}

/// An id that no other job of this test run has.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed))
}
