//! A stand-in of the platform's clients: one job on a connection, and the wait for its answer.

use crate::http::read_message;
use crate::record::Record;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// A client's job.
#[derive(Clone)]
pub struct Job {
    pub class: &'static str,
    pub tenant: &'static str,
    pub key: String,
    /// The running time.
    pub run_ms: u64,
    /// How long the client waits for the answer of this try.
    pub timeout: Duration,
    /// A client's repeat.
    pub retried: bool,
}

/// How a try ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// A whole answer: its status and body.
    Answered(u16, String),
    /// The connection broke or was refused.
    Cut(String),
    /// Nothing came, 0.6 s after the time that the client had given.
    Silence,
}

impl End {
    pub fn is_served(&self) -> bool {
        matches!(self, End::Answered(200, _))
    }
}

static IDS: AtomicUsize = AtomicUsize::new(0);

/// Returns an id that no request of this run has had.
pub fn new_id() -> String {
    format!("{:08x}{:08x}", std::process::id(), IDS.fetch_add(1, Ordering::Relaxed))
}

/// Hands in a job under a new id and waits for its end.
pub fn submit(dispatcher: SocketAddr, job: &Job, record: &Record) -> End {
    submit_as(dispatcher, job, &new_id(), record)
}

/// Hands in a job under this id and waits for its end.
pub fn submit_as(dispatcher: SocketAddr, job: &Job, id: &str, record: &Record) -> End {
    let marked = if job.retried { " (marked retry)" } else { "" };
    record.line(format!("client sends {id}, key {}{marked}", job.key));
    let end = match exchange(dispatcher, job, id) {
        Ok((status, body)) => End::Answered(status, body),
        Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => End::Silence,
        Err(e) => End::Cut(e.to_string()),
    };
    record.line(format!("client's {id}, key {}: {end:?}", job.key));
    end
}

fn exchange(dispatcher: SocketAddr, job: &Job, id: &str) -> io::Result<(u16, String)> {
    let Job { class, tenant, key, run_ms, timeout, retried } = job;
    let mut stream = TcpStream::connect(dispatcher)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(*timeout + Duration::from_millis(600)))?;
    let body = run_ms.to_string();
    let retried = if *retried { "X-Retried: 1\r\n" } else { "" };
    let text = format!(
        "POST /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
         X-Tenant-Id: {tenant}\r\nX-Timeout: {}m\r\nIdempotency-Key: {key}\r\nX-Cost: {}\r\n{retried}\
         Content-Length: {}\r\n\r\n{body}",
        timeout.as_millis(),
        run_ms * 1000,
        body.len()
    );
    stream.write_all(text.as_bytes())?;
    let answer = read_message(&mut BufReader::new(stream))?.ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok((answer.status(), String::from_utf8_lossy(&answer.body).into_owned()))
}
