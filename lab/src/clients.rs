//! Simulated clients: send the requests of a phase at their intended times, independent of earlier answers
//! (an open loop), with retries and duplicates, and count the outcomes. Latency counts from the intended
//! time.

mod arrivals;
mod counts;

pub use counts::ClientCounts;

use crate::dispatcher_process::DispatcherProcess;
use crate::experiment::Experiment;
use arrivals::Arrival;
use counts::{TryOutcome, outcome_of};
use sablerun_stand_ins::http::Connection;
use sablerun_stand_ins::installation::Class;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The time beyond a try's deadline that an answer may need to arrive on a busy machine.
const ANSWER_SLACK: Duration = Duration::from_millis(250);

/// The clients of an installation.
pub struct Clients {
    classes: Vec<Class>,
    retries: u32,
    retry_wait: Duration,
    marks_retries: bool,
    dispatchers: Vec<Arc<DispatcherProcess>>,
    /// Idle connections by dispatcher.
    idle: Vec<Mutex<Vec<Connection>>>,
    counts: Mutex<ClientCounts>,
}

impl Clients {
    /// Creates the clients of these dispatchers.
    pub fn new(experiment: &Experiment, dispatchers: &[Arc<DispatcherProcess>]) -> Arc<Clients> {
        Arc::new(Clients {
            classes: experiment.class.clone(),
            retries: experiment.clients.retries,
            retry_wait: Duration::from_millis(experiment.clients.wait_ms),
            marks_retries: experiment.clients.marks,
            dispatchers: dispatchers.to_vec(),
            idle: dispatchers.iter().map(|_| Mutex::default()).collect(),
            counts: Mutex::new(ClientCounts::new()),
        })
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> ClientCounts {
        self.counts.lock().expect("no holder panics").clone()
    }

    /// Sends all requests of a phase and waits until all have ended; `tick` is called with the time since the
    /// start of the phase, in seconds.
    pub async fn send_requests(
        self: &Arc<Self>,
        experiment: &Experiment,
        seconds: f64,
        wander: f64,
        tick: impl Fn(f64),
    ) {
        let arrivals = self.draw_arrivals(experiment, seconds, wander);
        let began = Instant::now();
        let mut tasks = tokio::task::JoinSet::new();
        for arrival in arrivals {
            let due = began + arrival.at;
            if due > Instant::now() {
                tokio::time::sleep_until(due.into()).await;
                tick(arrival.at.as_secs_f64());
            }
            tasks.spawn(self.clone().send_request(arrival, due));
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
    }

    /// Sends a request with all its tries, and counts it.
    async fn send_request(self: Arc<Self>, arrival: Arrival, due: Instant) {
        {
            let mut counts = self.counts.lock().expect("no holder panics");
            counts.requests += 1;
            counts.keyed_requests += u64::from(self.classes[arrival.class].group.is_some());
        }
        let arrival = Arc::new(arrival);
        let main = self.clone().send_tries(arrival.clone(), due, false);
        let results = match arrival.duplicate_after {
            None => vec![main.await],
            Some(delay) => {
                let duplicate = async {
                    tokio::time::sleep(delay).await;
                    self.clone().send_tries(arrival.clone(), Instant::now(), true).await
                };
                let (main, duplicate) = tokio::join!(main, duplicate);
                vec![main, duplicate]
            }
        };
        let mut served = results.into_iter().flatten();
        let Some((first, at)) = served.next() else { return };
        let class = &self.classes[arrival.class];
        let took = at.duration_since(due);
        let limit_ms = class.objective_ms as f64 + 2.0 * arrival.work_ms;
        let mut counts = self.counts.lock().expect("no holder panics");
        counts.served_requests += 1;
        counts.in_time_requests += u64::from(took.as_secs_f64() * 1e3 <= limit_ms);
        let _ = counts.latency_us.record(took.as_micros() as u64);
        counts.unlike_results += u64::from(class.group.is_some() && served.any(|(other, _)| other != first));
    }

    /// Sends a try and its retries; returns the result and the time of the answer, if one was served.
    async fn send_tries(
        self: Arc<Self>,
        arrival: Arc<Arrival>,
        due: Instant,
        duplicate: bool,
    ) -> Option<(String, Instant)> {
        for number in 0..=self.retries {
            let repeat = duplicate || number > 0;
            let to = if repeat && arrival.changes_dispatcher {
                arrival.other_dispatcher
            } else {
                arrival.dispatcher
            };
            let disconnects = arrival.disconnects && !repeat;
            let began = if number == 0 { due } else { Instant::now() };
            let outcome = self.send_try(&arrival, to, repeat, disconnects, began).await;
            {
                let mut counts = self.counts.lock().expect("no holder panics");
                counts.tries += 1;
                let count = match &outcome {
                    TryOutcome::Served(_) => &mut counts.served_tries,
                    TryOutcome::Refused(_) => &mut counts.refused_tries,
                    TryOutcome::Failed => &mut counts.failed_tries,
                    TryOutcome::Cut => &mut counts.cut_tries,
                    TryOutcome::Left => &mut counts.left_tries,
                    TryOutcome::Lost => &mut counts.lost,
                    TryOutcome::Odd(..) => &mut counts.odd_tries,
                };
                *count += 1;
                if matches!(outcome, TryOutcome::Odd(..) | TryOutcome::Lost) && counts.remarks.len() < 5 {
                    let took = began.elapsed().as_millis();
                    let class = &self.classes[arrival.class].name;
                    counts.remarks.push(format!(
                        "{outcome:?}: try {number} of a {class} at dispatcher {to}, {took} ms"
                    ));
                }
            }
            match outcome {
                TryOutcome::Served(result) => return Some((result, Instant::now())),
                TryOutcome::Refused(Some(retry_after)) => {
                    tokio::time::sleep(retry_after.min(Duration::from_secs(2))).await
                }
                // A killed dispatcher is restarted only after a while.
                TryOutcome::Cut => tokio::time::sleep(self.retry_wait.max(Duration::from_millis(200))).await,
                _ => tokio::time::sleep(self.retry_wait).await,
            }
        }
        None
    }

    /// Sends one try to the dispatcher `to` and returns its outcome.
    async fn send_try(
        &self,
        arrival: &Arrival,
        to: usize,
        repeat: bool,
        disconnects: bool,
        began: Instant,
    ) -> TryOutcome {
        let class = &self.classes[arrival.class];
        let dispatcher = &self.dispatchers[to];
        let epoch_before = dispatcher.epoch.load(SeqCst);
        let deadline = Duration::from_millis(class.deadline_ms);
        let key = if class.group.is_some() {
            format!("\r\nIdempotency-Key: {}", arrival.key)
        } else {
            String::new()
        };
        let mark = if repeat && self.marks_retries { "\r\nX-Retried: 1" } else { "" };
        let head = format!(
            "POST /api?sid={} HTTP/1.1\r\nHost: t\r\nX-Request-ID: {:016x}\r\nX-Priority-Class: {}\r\n\
             X-Tenant-Id: {}\r\nX-Timeout: {}m\r\nX-Cost: {}{key}{mark}",
            &arrival.key[..8],
            fastrand::u64(..),
            class.name,
            arrival.tenant,
            class.deadline_ms,
            (arrival.work_ms * 1e3) as u64
        );
        let body = format!("{{\"work_ms\":{}}}", arrival.work_ms);
        let exchange = async {
            // The dispatcher may have closed an idle connection between two requests: if one fails, takes
            // another. `Err(true)` means that the request was sent on a new connection, but not answered.
            loop {
                let idle = self.idle[to].lock().expect("no holder panics").pop();
                let reused = idle.is_some();
                let mut connection = match idle {
                    Some(connection) => connection,
                    None => match Connection::open(dispatcher.address, deadline).await {
                        Ok(connection) => connection,
                        Err(_) => return Err(false),
                    },
                };
                if connection.write(&head, body.as_bytes()).await.is_err() {
                    if reused { continue } else { return Err(false) }
                }
                match connection.read().await {
                    Ok(Some(answer)) => return Ok((answer, connection)),
                    _ if reused => {}
                    _ => return Err(true),
                }
            }
        };
        let timeout = if disconnects { Duration::from_millis(20) } else { deadline + ANSWER_SLACK };
        let timeout = timeout.saturating_sub(began.elapsed().min(deadline));
        let ran_since = |epoch: u64| epoch == dispatcher.epoch.load(SeqCst) && epoch.is_multiple_of(2);
        match tokio::time::timeout(timeout, exchange).await {
            Err(_) if disconnects => TryOutcome::Left,
            Err(_) | Ok(Err(true)) if ran_since(epoch_before) => TryOutcome::Lost,
            Err(_) | Ok(Err(_)) => TryOutcome::Cut,
            Ok(Ok((answer, connection))) => {
                if answer.header("connection") != "close" {
                    self.idle[to].lock().expect("no holder panics").push(connection);
                }
                outcome_of(answer)
            }
        }
    }
}
