//! Clients: requests drawn ahead and sent when their time has come, whatever became of those before (an
//! open loop), each with the retries its habits allow. They own what they were answered; latency counts
//! from the intended time.

mod arrivals;
mod counts;

pub use counts::Seen;

use crate::dispatcher_process::DispatcherProcess;
use crate::experiment::Experiment;
use arrivals::Drawn;
use counts::{End, ended};
use sablerun_stand_ins::http::Connection;
use sablerun_stand_ins::installation::Class;
use std::sync::atomic::Ordering::SeqCst;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Beyond a try's deadline, what an answer may need to arrive on a busy machine.
const SLACK: Duration = Duration::from_millis(250);

/// The clients of an installation.
pub struct Clients {
    classes: Vec<Class>,
    retries: u32,
    wait: Duration,
    marks: bool,
    dispatchers: Vec<Arc<DispatcherProcess>>,
    idle: Vec<Mutex<Vec<Connection>>>,
    seen: Mutex<Seen>,
}

impl Clients {
    /// Clients of these dispatchers.
    pub fn new(experiment: &Experiment, dispatchers: &[Arc<DispatcherProcess>]) -> Arc<Clients> {
        Arc::new(Clients {
            classes: experiment.class.clone(),
            retries: experiment.clients.retries,
            wait: Duration::from_millis(experiment.clients.wait_ms),
            marks: experiment.clients.marks,
            dispatchers: dispatchers.to_vec(),
            idle: dispatchers.iter().map(|_| Mutex::default()).collect(),
            seen: Mutex::new(Seen::new()),
        })
    }

    /// What they saw so far.
    pub fn seen(&self) -> Seen {
        self.seen.lock().expect("no holder panics").clone()
    }

    /// Sends all requests of a phase and waits for their ends; `tick` hears the time now and then.
    pub async fn play(
        self: &Arc<Self>,
        experiment: &Experiment,
        seconds: f64,
        wander: f64,
        tick: impl Fn(f64),
    ) {
        let drawn = self.draw(experiment, seconds, wander);
        let begun = Instant::now();
        let mut tasks = tokio::task::JoinSet::new();
        for request in drawn {
            let due = begun + request.at;
            if due > Instant::now() {
                tokio::time::sleep_until(due.into()).await;
                tick(request.at.as_secs_f64());
            }
            tasks.spawn(self.clone().request(request, due));
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
    }

    /// A request, from its first try to its last.
    async fn request(self: Arc<Self>, drawn: Drawn, due: Instant) {
        {
            let mut seen = self.seen.lock().expect("no holder panics");
            seen.requests += 1;
            seen.keyed += u64::from(self.classes[drawn.class].group.is_some());
        }
        let drawn = Arc::new(drawn);
        let main = self.clone().tries(drawn.clone(), due, false);
        let results = match drawn.eager {
            None => vec![main.await],
            Some(wait) => {
                let eager = async {
                    tokio::time::sleep(wait).await;
                    self.clone().tries(drawn.clone(), Instant::now(), true).await
                };
                let (main, eager) = tokio::join!(main, eager);
                vec![main, eager]
            }
        };
        let mut served = results.into_iter().flatten();
        let Some((first, at)) = served.next() else { return };
        let class = &self.classes[drawn.class];
        let took = at.duration_since(due);
        let aim = class.objective_ms as f64 + 2.0 * drawn.work_ms;
        let mut seen = self.seen.lock().expect("no holder panics");
        seen.done += 1;
        seen.in_time += u64::from(took.as_secs_f64() * 1e3 <= aim);
        let _ = seen.latency.record(took.as_micros() as u64);
        seen.unlike += u64::from(class.group.is_some() && served.any(|(other, _)| other != first));
    }

    /// A try and its retries; the result that served, and when.
    async fn tries(
        self: Arc<Self>,
        drawn: Arc<Drawn>,
        due: Instant,
        repeat: bool,
    ) -> Option<(String, Instant)> {
        for number in 0..=self.retries {
            let later = repeat || number > 0;
            let to = if later && drawn.wanders { drawn.other } else { drawn.dispatcher };
            let leaves = drawn.leaves && !later;
            let begun = if number == 0 { due } else { Instant::now() };
            let end = self.one(&drawn, to, later, leaves, begun).await;
            {
                let mut seen = self.seen.lock().expect("no holder panics");
                seen.tries += 1;
                let count = match &end {
                    End::Served(_) => &mut seen.served,
                    End::Refused(_) => &mut seen.refused,
                    End::Failed => &mut seen.failed,
                    End::Cut => &mut seen.cut,
                    End::Left => &mut seen.left,
                    End::Lost => &mut seen.lost,
                    End::Odd(..) => &mut seen.odd,
                };
                *count += 1;
                if matches!(end, End::Odd(..) | End::Lost) && seen.remarks.len() < 5 {
                    let took = begun.elapsed().as_millis();
                    let class = &self.classes[drawn.class].name;
                    seen.remarks
                        .push(format!("{end:?}: try {number} of a {class} at dispatcher {to}, {took} ms"));
                }
            }
            match end {
                End::Served(result) => return Some((result, Instant::now())),
                End::Refused(Some(wait)) => tokio::time::sleep(wait.min(Duration::from_secs(2))).await,
                // Nobody listens there for a while.
                End::Cut => tokio::time::sleep(self.wait.max(Duration::from_millis(200))).await,
                _ => tokio::time::sleep(self.wait).await,
            }
        }
        None
    }

    async fn one(&self, drawn: &Drawn, to: usize, later: bool, leaves: bool, begun: Instant) -> End {
        let class = &self.classes[drawn.class];
        let dispatcher = &self.dispatchers[to];
        let epoch = dispatcher.epoch.load(SeqCst);
        let deadline = Duration::from_millis(class.deadline_ms);
        let key =
            if class.group.is_some() { format!("\r\nIdempotency-Key: {}", drawn.key) } else { String::new() };
        let mark = if later && self.marks { "\r\nX-Retried: 1" } else { "" };
        let head = format!(
            "POST /api?sid={} HTTP/1.1\r\nHost: t\r\nX-Request-ID: {:016x}\r\nX-Priority-Class: {}\r\n\
             X-Tenant-Id: {}\r\nX-Timeout: {}m\r\nX-Cost: {}{key}{mark}",
            &drawn.key[..8],
            fastrand::u64(..),
            class.name,
            drawn.member,
            class.deadline_ms,
            (drawn.work_ms * 1e3) as u64
        );
        let body = format!("{{\"work_ms\":{}}}", drawn.work_ms);
        let exchange = async {
            // A connection that the dispatcher closed between two requests is replaced, once.
            loop {
                let idle = self.idle[to].lock().expect("no holder panics").pop();
                let reused = idle.is_some();
                let mut connection = match idle {
                    Some(connection) => connection,
                    None => match Connection::open(dispatcher.at, deadline).await {
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
        let patience = if leaves { Duration::from_millis(20) } else { deadline + SLACK };
        let patience = patience.saturating_sub(begun.elapsed().min(deadline));
        let alive = |was: u64| was == dispatcher.epoch.load(SeqCst) && was.is_multiple_of(2);
        match tokio::time::timeout(patience, exchange).await {
            Err(_) if leaves => End::Left,
            Err(_) | Ok(Err(true)) if alive(epoch) => End::Lost,
            Err(_) | Ok(Err(_)) => End::Cut,
            Ok(Ok((answer, connection))) => {
                if answer.header("connection") != "close" {
                    self.idle[to].lock().expect("no holder panics").push(connection);
                }
                ended(answer)
            }
        }
    }
}
