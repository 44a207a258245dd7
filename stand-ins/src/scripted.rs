//! Scripted stand-ins for the node's tests: the dispatcher process, discovery, runners whose behaviour a
//! job's text selects, and Faktory workers and clients. Their interfaces block, as the tests do; underneath
//! they use the same HTTP and discovery code as the experiments. They wait for events and never for a fixed
//! time, and panic where a test would fail.

#![allow(missing_docs, reason = "the names say it, and only tests use them")]

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

/// The maximum time that a test waits for an event.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Makes one exchange on a new connection.
pub fn call(at: SocketAddr, head: &str, body: &str) -> Message {
    call_blocking(at, head, body).expect("no answer")
}

fn behaviour_of(text: &str) -> &'static str {
    let behaviours = ["error", "away", "reset", "hang", "early", "mute", "unusable"];
    behaviours.into_iter().find(|behaviour| text.contains(behaviour)).unwrap_or("serve")
}

/// Returns the head of a client's request to the platform's front.
pub fn api_request(class: &str, id: &str, timeout: &str, more_headers: &str) -> String {
    format!(
        "POST /api?sid=7f3a HTTP/1.1\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
         X-Tenant-Id: mehran-dist\r\nX-Timeout: {timeout}\r\nIdempotency-Key: key-{id}{more_headers}"
    )
}

/// Returns an id that is unique in this test run.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed))
}
