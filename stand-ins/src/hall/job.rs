//! One job at a pick node: its key, its slots, its time, and the telling of what became of it. It owns the truth of
//! its effect; it must never answer the request that brought it.

use super::memory::{Claim, Fate};
use super::node::{Fault, Node};
use crate::http::{Connection, Message};
use crate::installation::{Class, Group};
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use tokio::sync::Notify;

impl Node {
    pub(super) async fn job(self: Arc<Self>, dispatcher: usize, request: Message, fault: Fault) {
        let id = request.header("x-request-id").to_owned();
        let class = &self.classes[request.header("x-priority-class")];
        let given_up = Arc::new(Notify::new());
        self.jobs.lock().expect("no holder panics").insert(id.clone(), given_up.clone());
        let told = self.run(dispatcher, &id, class, &request, fault, &given_up).await;
        self.jobs.lock().expect("no holder panics").remove(&id);
        if let Some((state, result)) = told.filter(|_| fault != Fault::Silent) {
            self.call_back(dispatcher, &id, state, &result).await;
        }
    }

    /// Runs a job, or drops it for a repeat; what is to be told, if anybody still wants to hear it.
    async fn run(
        &self,
        dispatcher: usize,
        id: &str,
        class: &Class,
        request: &Message,
        fault: Fault,
        given_up: &Notify,
    ) -> Option<(&'static str, String)> {
        let key = match request.header("idempotency-key") {
            "" => None,
            key => Some((request.header("x-tenant-id").to_owned(), class.name.clone(), key.to_owned())),
        };
        let memory = match class.group {
            Some(Group::Zone) => Some(&self.of_hall),
            Some(Group::All) => Some(&self.of_all),
            None => None,
        };
        let mut claim = None;
        if let (Some(memory), Some(key)) = (memory, &key) {
            loop {
                match memory.claim(key, Duration::from_millis(class.window_ms)) {
                    Claim::Mine(fate) => {
                        claim = Some(fate);
                        break;
                    }
                    Claim::Repeat(mut fate) => {
                        self.truth.repeats_dropped.fetch_add(1, Relaxed);
                        let ended = async {
                            fate.wait_for(|fate| !matches!(fate, Fate::Running)).await.ok().map(|f| f.clone())
                        };
                        tokio::select! {
                            fate = ended => match fate {
                                Some(Fate::Done(result)) => return Some(("done", result)),
                                _ => continue,
                            },
                            () = given_up.notified() => return None,
                        }
                    }
                }
            }
        }
        let slots = u32::try_from(class.slots.min(self.slots)).unwrap_or(1);
        let permit = tokio::select! {
            permit = self.free.acquire_many(slots) => permit.ok()?,
            () = given_up.notified() => {
                if let Some(fate) = claim {
                    fate.send_replace(Fate::Withdrawn);
                }
                return None;
            }
        };
        if fault != Fault::Silent {
            self.call_back(dispatcher, id, "started", "").await;
        }
        let work = serde_json::from_str::<Value>(&request.body).ok().and_then(|b| b["work_ms"].as_f64());
        let slower = if fault == Fault::Slow { self.faults.slow_by } else { 1.0 };
        let time = Duration::from_secs_f64(work.unwrap_or(1.0) / 1e3 / self.speed * slower);
        // Work that runs goes on to its end, whoever gives it up.
        tokio::time::sleep(time).await;
        drop(permit);
        let result = format!("{} by {}", key.as_ref().map_or(id, |key| &key.2), self.name);
        if let Some(key) = key {
            let mut effects = self.truth.effects.lock().expect("no holder panics");
            effects.entry(key).or_default().push(self.hall.clone());
        }
        if let Some(fate) = claim {
            fate.send_replace(Fate::Done(result.clone()));
        }
        Some((if fault == Fault::Error { "failed" } else { "done" }, result))
    }

    /// Tells the dispatcher, again until it answers, ten times at most.
    async fn call_back(&self, dispatcher: usize, id: &str, state: &str, result: &str) {
        let at = self.dispatchers[dispatcher];
        let free = self.free.available_permits();
        let body = json!({"id": id, "from": self.name, "state": state, "result": result,
            "load": {"inflight": self.inflight(), "latency_ms": 20.0 / self.speed, "x0": free, "eps": 0}});
        let (head, body) = ("POST /v1/job-events HTTP/1.1\r\nHost: t", body.to_string());
        for _ in 0..10 {
            let idle = self.idle.lock().expect("no holder panics").get_mut(&at).and_then(Vec::pop);
            let exchange = async {
                let mut connection = match idle {
                    Some(connection) => connection,
                    None => Connection::open(at, Duration::from_millis(250)).await.ok()?,
                };
                connection.write(head, body.as_bytes()).await.ok()?;
                let answer = connection.read().await.ok()??;
                let kept = answer.header("connection") != "close";
                if kept {
                    self.idle.lock().expect("no holder panics").entry(at).or_default().push(connection);
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
