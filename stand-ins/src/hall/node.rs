//! One pick node: its connections from dispatchers, its answers, and the faults drawn for each attempt.
//! Jobs run in `job`.

use super::GroundTruth;
use super::dedup::RepeatFilter;
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
    pub(super) free_slots: Semaphore,
    pub(super) classes: HashMap<String, Class>,
    pub(super) faults: Faults,
    pub(super) rng: Mutex<fastrand::Rng>,
    pub(super) hall_filter: Arc<RepeatFilter>,
    pub(super) installation_filter: Arc<RepeatFilter>,
    pub(super) ground_truth: Arc<GroundTruth>,
    pub(super) jobs: Mutex<HashMap<String, Arc<Notify>>>,
    /// The call-back address of each dispatcher, and the idle connections to them.
    pub(super) dispatchers: Vec<SocketAddr>,
    pub(super) idle_connections: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

/// The fault injected into an attempt.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Fault {
    None,
    /// The job runs, but the connection is closed before the 202.
    Reset,
    /// The job runs, but no call-back is sent.
    Silent,
    /// The job runs and is reported as failed.
    Error,
    /// The attempt is refused with 503 and marked as not processed.
    NotProcessed,
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
                    self.ground_truth.attempts.fetch_add(1, Relaxed);
                    let fault = self.draw_fault();
                    if fault == Fault::NotProcessed
                        || !self.classes.contains_key(request.header("x-priority-class"))
                    {
                        let head = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1";
                        connection.write(head, b"").await?;
                        continue;
                    }
                    // The job claims its key before its first await: a repeat behind it finds it claimed.
                    tokio::spawn(self.clone().run_job(dispatcher, request, fault));
                    if fault == Fault::Reset {
                        return Ok(());
                    }
                    connection.write("HTTP/1.1 202 Accepted", b"").await?;
                }
                _ => {
                    let load =
                        json!({"outstanding": self.inflight(), "x0": self.free_slots.available_permits()});
                    connection.write("HTTP/1.1 200 OK", load.to_string().as_bytes()).await?;
                }
            }
        }
        Ok(())
    }

    pub(super) fn inflight(&self) -> usize {
        self.jobs.lock().expect("no holder panics").len()
    }

    fn draw_fault(&self) -> Fault {
        let faults = &self.faults;
        let mut draw = self.rng.lock().expect("no holder panics").f64();
        for (share, fault) in [
            (faults.reset, Fault::Reset),
            (faults.silent, Fault::Silent),
            (faults.error, Fault::Error),
            (faults.away, Fault::NotProcessed),
            (faults.slow, Fault::Slow),
        ] {
            if draw < share {
                self.ground_truth.faults.fetch_add(1, Relaxed);
                return fault;
            }
            draw -= share;
        }
        Fault::None
    }
}
