//! The part of the scale run that plays the clients of real dispatchers, each request that is out on a connection
//! of its own. It owns these connections, kept while they are idle; it must never try a request again, but for the
//! one case that the protocol names: a kept connection that its dispatcher closed as the request was written.

use super::part;
use super::records::{Answers, Out};
use super::stream::Arrivals;
use super::words::{Begin, Command, Counts, Layout, Ready, now_us};
use sablerun_stand_ins::http::{Connection, Message};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Threads that serve all clients.
const WORKERS: usize = 2;
/// Time between two looks whether all requests have ended.
const LOOK: Duration = Duration::from_millis(5);

/// Plays the part until standard input ends.
///
/// # Errors
///
/// If it could not begin.
pub fn run() -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(WORKERS).enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    runtime.block_on(part::run(Clients::begin, async |clients, command| clients.carry_out(command).await))
}

/// The clients of all real dispatchers.
pub struct Clients {
    layout: Arc<Layout>,
    answers: Answers,
    /// Idle connections, by dispatcher.
    idle: Arc<Vec<Mutex<Vec<Connection>>>>,
    /// Connections that are open.
    open: Arc<AtomicUsize>,
    streams: JoinSet<()>,
}

/// What a client needs of its dispatcher.
#[derive(Clone)]
struct Way {
    layout: Arc<Layout>,
    dispatcher: usize,
    answers: Answers,
    idle: Arc<Vec<Mutex<Vec<Connection>>>>,
    open: Arc<AtomicUsize>,
}

impl Clients {
    /// Nobody connects yet.
    ///
    /// # Errors
    ///
    /// Names the file that can't be made.
    pub async fn begin(begin: Begin) -> Result<(Clients, Ready), String> {
        let (layout, deadline) = (Arc::new(begin.layout), Duration::from_secs_f64);
        let deadline = deadline(layout.stream.deadline_s);
        let answers = Answers::create(&layout.folder, "requests-clients.csv", deadline)?;
        let idle = Arc::new(layout.dispatchers.iter().map(|_| Mutex::default()).collect());
        let (open, streams) = (Arc::default(), JoinSet::new());
        Ok((Clients { layout, answers, idle, open, streams }, Ready::default()))
    }

    /// Carries out a command; what is not for clients only counts.
    ///
    /// # Errors
    ///
    /// If records can't be written.
    pub async fn carry_out(&mut self, command: Command) -> Result<Counts, String> {
        match command {
            Command::Play => self.play(Instant::now()),
            Command::End => {
                self.answers.over();
                // With a stream its requests end too, and their connections with them: each as its task is
                // next looked at.
                self.streams.shutdown().await;
                // A row is written a moment after its connection has gone: the rows are waited for.
                while self.answers.counts()["requests.out"] > 0.0 {
                    tokio::time::sleep(LOOK).await;
                }
                for idle in self.idle.iter() {
                    held(idle).clear();
                }
            }
            _ => {}
        }
        self.answers.flush()?;
        let mut values = self.answers.counts();
        let idle: usize = self.idle.iter().map(|idle| held(idle).len()).sum();
        values.insert("connections.idle".to_owned(), idle as f64);
        values.insert("connections.busy".to_owned(), self.open.load(Relaxed) as f64);
        Ok(Counts { at_us: now_us(), values, ..Counts::default() })
    }

    fn play(&mut self, begun: Instant) {
        let real = self.layout.dispatchers.iter().enumerate().filter(|(_, d)| !d.hollow);
        for (dispatcher, told) in real {
            let (layout, answers) = (self.layout.clone(), self.answers.clone());
            let way = Way { layout, dispatcher, answers, idle: self.idle.clone(), open: self.open.clone() };
            let arrivals = Arrivals::new(&self.layout.stream, self.layout.seed, dispatcher, told.share);
            self.streams.spawn(async move {
                let mut requests = JoinSet::new();
                for arrival in arrivals {
                    tokio::time::sleep_until((begun + arrival.at).into()).await;
                    let (way, out) = (way.clone(), way.answers.out(way.dispatcher, arrival));
                    requests.spawn(async move { way.request(out).await });
                    while requests.try_join_next().is_some() {}
                }
                while requests.join_next().await.is_some() {}
            });
        }
    }
}

fn held(idle: &Mutex<Vec<Connection>>) -> std::sync::MutexGuard<'_, Vec<Connection>> {
    idle.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Counts a request's connection as open while it lives.
struct Busy(Arc<AtomicUsize>);

impl Busy {
    fn new(open: &Arc<AtomicUsize>) -> Busy {
        open.fetch_add(1, Relaxed);
        Busy(open.clone())
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Relaxed);
    }
}

impl Way {
    async fn request(&self, out: Out) {
        let stream = &self.layout.stream;
        let tenant = match stream.tenants {
            0 => String::new(),
            _ => format!("\r\nX-Tenant-Id: tenant-{}", out.arrival.tenant),
        };
        let head = format!(
            "POST /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {}\r\nX-Priority-Class: {}{tenant}\r\n\
             X-Timeout: {}m",
            out.arrival.id,
            out.arrival.class(),
            (stream.deadline_s * 1e3) as u64
        );
        let body = out.arrival.body();
        let answer =
            tokio::time::timeout(self.answers.patience(), self.exchange(&head, body.as_bytes())).await;
        out.answered(match answer {
            Err(_) => "lost",
            // Nobody listens there, or whoever did ended the connection without an answer: the run knows which
            // dispatchers it has killed; of any other one such a request is lost.
            Ok(None) => "cut",
            Ok(Some(answer)) => match answer.status {
                200 => "served",
                429 | 503 => "refused",
                _ => "failed",
            },
        });
    }

    /// One exchange; `None` where there is no connection, or it ends without an answer.
    async fn exchange(&self, head: &str, body: &[u8]) -> Option<Message> {
        let idle = &self.idle[self.dispatcher];
        let _busy = Busy::new(&self.open);
        let kept = held(idle).pop();
        let mut once = match kept {
            Some(mut connection) => {
                said(&mut connection, head, body).await.map(|answer| (answer, connection))
            }
            None => None,
        };
        if once.is_none() {
            let to = self.layout.dispatchers[self.dispatcher].listen;
            let mut connection = Connection::open(to, self.answers.patience()).await.ok()?;
            once = said(&mut connection, head, body).await.map(|answer| (answer, connection));
        }
        let (answer, connection) = once?;
        if !answer.header("connection").eq_ignore_ascii_case("close") {
            held(idle).push(connection);
        }
        Some(answer)
    }
}

/// Writes a request and reads its answer.
async fn said(connection: &mut Connection, head: &str, body: &[u8]) -> Option<Message> {
    connection.write(head, body).await.ok()?;
    connection.read().await.ok()?
}
