//! One pick node: its connections from dispatchers, what is answered to each request, and the faults that are
//! drawn for it. It owns those answers; it must never run a job itself.

use super::GroundTruth;
use super::memory::Memory;
use crate::http::Connection;
use crate::installation::{Class, Faults};
use serde_json::json;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Arc, Mutex};
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore};

pub(super) struct Node {
    pub(super) name: String,
    pub(super) hall: String,
    pub(super) speed: f64,
    pub(super) slots: usize,
    pub(super) free: Semaphore,
    pub(super) classes: HashMap<String, Class>,
    pub(super) faults: Faults,
    pub(super) random: Mutex<fastrand::Rng>,
    pub(super) of_hall: Arc<Memory>,
    pub(super) of_all: Arc<Memory>,
    pub(super) truth: Arc<GroundTruth>,
    pub(super) jobs: Mutex<HashMap<String, Arc<Notify>>>,
    /// Where call-backs go, and connections to there.
    pub(super) dispatchers: Vec<SocketAddr>,
    pub(super) idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

/// What is done to an attempt.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Fault {
    None,
    /// The job runs, but the connection ends before the 202.
    Reset,
    /// The job runs, but nobody is told.
    Silent,
    /// The job runs and fails.
    Error,
    /// Turned away unseen.
    Away,
    /// The job takes longer.
    Slow,
}

impl Node {
    pub(super) async fn listen(self: Arc<Self>, dispatcher: usize, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let node = self.clone();
            tokio::spawn(async move {
                let _ = node.serve(dispatcher, Connection::new(stream)).await;
            });
        }
    }

    async fn serve(self: Arc<Self>, dispatcher: usize, mut connection: Connection) -> std::io::Result<()> {
        while let Some(request) = connection.read().await? {
            match request.method.as_str() {
                "DELETE" => {
                    let id = request.target.rsplit('/').next().unwrap_or("");
                    if let Some(job) = self.jobs.lock().expect("no holder panics").get(id) {
                        job.notify_one();
                    }
                    connection.write("HTTP/1.1 200 OK", b"").await?;
                }
                "POST" if request.header("x-request-id").is_empty() => {
                    connection.write("HTTP/1.1 404 Not Found", b"").await?;
                }
                "POST" => {
                    self.truth.attempts.fetch_add(1, Relaxed);
                    let fault = self.fault();
                    if fault == Fault::Away || !self.classes.contains_key(request.header("x-priority-class"))
                    {
                        let head = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1";
                        connection.write(head, b"").await?;
                        continue;
                    }
                    // Before its first await, so that a repeat behind it finds the key taken.
                    tokio::spawn(self.clone().job(dispatcher, request, fault));
                    if fault == Fault::Reset {
                        return Ok(());
                    }
                    connection.write("HTTP/1.1 202 Accepted", b"").await?;
                }
                _ => {
                    let load = json!({"outstanding": self.inflight(), "x0": self.free.available_permits()});
                    connection.write("HTTP/1.1 200 OK", load.to_string().as_bytes()).await?;
                }
            }
        }
        Ok(())
    }

    pub(super) fn inflight(&self) -> usize {
        self.jobs.lock().expect("no holder panics").len()
    }

    fn fault(&self) -> Fault {
        let f = &self.faults;
        let mut point = self.random.lock().expect("no holder panics").f64();
        for (share, fault) in [
            (f.reset, Fault::Reset),
            (f.silent, Fault::Silent),
            (f.error, Fault::Error),
            (f.away, Fault::Away),
            (f.slow, Fault::Slow),
        ] {
            if point < share {
                self.truth.faults.fetch_add(1, Relaxed);
                return fault;
            }
            point -= share;
        }
        Fault::None
    }
}
