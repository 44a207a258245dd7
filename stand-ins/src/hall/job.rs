//! Runs one job at a pick node: claims its key, waits for slots, runs for its time, and reports the outcome
//! by call-back. The request itself is answered in `node`.

use super::dedup::{Claim, JobState};
use super::node::{Fault, Node};
use crate::http::{Connection, Message};
use crate::installation::{Class, Group};
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use tokio::sync::Notify;

impl Node {
    pub(super) async fn run_job(self: Arc<Self>, dispatcher: usize, request: Message, fault: Fault) {
        let id = request.header("x-request-id").to_owned();
        let class = &self.classes[request.header("x-priority-class")];
        let cancelled = Arc::new(Notify::new());
        self.jobs.lock().expect("no holder panics").insert(id.clone(), cancelled.clone());
        let outcome = self.execute(dispatcher, &id, class, &request, fault, &cancelled).await;
        self.jobs.lock().expect("no holder panics").remove(&id);
        if let Some((state, result)) = outcome.filter(|_| fault != Fault::Silent) {
            self.call_back(dispatcher, &id, state, &result).await;
        }
    }

    /// Runs a job, or waits for the first job of its key if it is a repeat. Returns the state and the
    /// result to report, or `None` if the job was cancelled before it started.
    async fn execute(
        &self,
        dispatcher: usize,
        id: &str,
        class: &Class,
        request: &Message,
        fault: Fault,
        cancelled: &Notify,
    ) -> Option<(&'static str, String)> {
        let key = match request.header("idempotency-key") {
            "" => None,
            key => Some((request.header("x-tenant-id").to_owned(), class.name.clone(), key.to_owned())),
        };
        let filter = match class.group {
            Some(Group::Zone) => Some(&self.hall_filter),
            Some(Group::All) => Some(&self.installation_filter),
            None => None,
        };
        let mut claim = None;
        if let (Some(filter), Some(key)) = (filter, &key) {
            loop {
                match filter.claim(key, Duration::from_millis(class.window_ms)) {
                    Claim::First(state) => {
                        claim = Some(state);
                        break;
                    }
                    Claim::Repeat(mut state) => {
                        self.ground_truth.repeats_dropped.fetch_add(1, Relaxed);
                        let ended = async {
                            state
                                .wait_for(|state| !matches!(state, JobState::Running))
                                .await
                                .ok()
                                .map(|state| state.clone())
                        };
                        tokio::select! {
                            state = ended => match state {
                                Some(JobState::Done(result)) => return Some(("done", result)),
                                _ => continue,
                            },
                            () = cancelled.notified() => return None,
                        }
                    }
                }
            }
        }
        let slots = u32::try_from(class.slots.min(self.slots)).unwrap_or(1);
        let permit = tokio::select! {
            permit = self.free_slots.acquire_many(slots) => permit.ok()?,
            () = cancelled.notified() => {
                if let Some(state) = claim {
                    state.send_replace(JobState::Cancelled);
                }
                return None;
            }
        };
        if fault != Fault::Silent {
            self.call_back(dispatcher, id, "started", "").await;
        }
        let work_ms = serde_json::from_str::<Value>(&request.body).ok().and_then(|b| b["work_ms"].as_f64());
        let slowdown = if fault == Fault::Slow { self.faults.slow_by } else { 1.0 };
        let running_time = Duration::from_secs_f64(work_ms.unwrap_or(1.0) / 1e3 / self.speed * slowdown);
        // Cancelling a running job does not stop it.
        tokio::time::sleep(running_time).await;
        drop(permit);
        let result = format!("{} by {}", key.as_ref().map_or(id, |key| &key.2), self.name);
        if let Some(key) = key {
            let mut executions = self.ground_truth.executions.lock().expect("no holder panics");
            executions.entry(key).or_default().push(self.hall.clone());
        }
        if let Some(state) = claim {
            state.send_replace(JobState::Done(result.clone()));
        }
        Some((if fault == Fault::Error { "failed" } else { "done" }, result))
    }

    /// Sends a call-back to the dispatcher, and repeats it until it is answered, at most ten times.
    async fn call_back(&self, dispatcher: usize, id: &str, state: &str, result: &str) {
        let address = self.dispatchers[dispatcher];
        let free_slots = self.free_slots.available_permits();
        let body = json!({"id": id, "from": self.name, "state": state, "result": result,
            "load": {"inflight": self.inflight(), "latency_ms": 20.0 / self.speed,
                     "x0": free_slots, "eps": 0}});
        let (head, body) = ("POST /v1/job-events HTTP/1.1\r\nHost: t", body.to_string());
        for _ in 0..10 {
            let idle =
                self.idle_connections.lock().expect("no holder panics").get_mut(&address).and_then(Vec::pop);
            let exchange = async {
                let mut connection = match idle {
                    Some(connection) => connection,
                    None => Connection::open(address, Duration::from_millis(250)).await.ok()?,
                };
                connection.write(head, body.as_bytes()).await.ok()?;
                let answer = connection.read().await.ok()??;
                let reusable = answer.header("connection") != "close";
                if reusable {
                    self.idle_connections
                        .lock()
                        .expect("no holder panics")
                        .entry(address)
                        .or_default()
                        .push(connection);
                }
                Some(())
            };
            if let Ok(Some(())) = tokio::time::timeout(Duration::from_secs(1), exchange).await {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}
