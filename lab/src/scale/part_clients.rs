//! The part of the scale run that plays the clients of real dispatchers. Each open request has a connection
//! of its own; idle connections are reused. A request is retried only in the case that the protocol names: a
//! reused connection that the dispatcher closed while the request was written.

use super::part;
use super::protocol::{Command, Counts, Layout, Ready, Setup, now_us};
use super::record_writers::{OpenRequest, RequestLog};
use super::stream::Arrivals;
use sablerun_stand_ins::http::{Connection, Message};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Threads that serve all clients.
const WORKERS: usize = 2;
/// The interval between checks whether all requests have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Plays the part until standard input ends.
///
/// # Errors
///
/// If it could not start.
pub fn run() -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(WORKERS).enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    runtime.block_on(part::run(Clients::start, async |clients, command| clients.execute(command).await))
}

/// The clients of all real dispatchers.
pub struct Clients {
    layout: Arc<Layout>,
    request_log: RequestLog,
    /// Idle connections by dispatcher.
    idle: Arc<Vec<Mutex<Vec<Connection>>>>,
    /// The number of connections with an open request.
    busy: Arc<AtomicUsize>,
    streams: JoinSet<()>,
}

/// What the clients of one dispatcher need.
#[derive(Clone)]
struct ClientContext {
    layout: Arc<Layout>,
    dispatcher: usize,
    request_log: RequestLog,
    idle: Arc<Vec<Mutex<Vec<Connection>>>>,
    busy: Arc<AtomicUsize>,
}

impl Clients {
    /// Prepares the clients; none connects yet.
    ///
    /// # Errors
    ///
    /// Names the file that cannot be created.
    pub async fn start(setup: Setup) -> Result<(Clients, Ready), String> {
        let (layout, deadline) = (Arc::new(setup.layout), Duration::from_secs_f64);
        let deadline = deadline(layout.stream.deadline_s);
        let request_log = RequestLog::create(&layout.folder, "requests-clients.csv", deadline)?;
        let idle = Arc::new(layout.dispatchers.iter().map(|_| Mutex::default()).collect());
        let (busy, streams) = (Arc::default(), JoinSet::new());
        Ok((Clients { layout, request_log, idle, busy, streams }, Ready::default()))
    }

    /// Executes a command; a command for other roles only returns the counts.
    ///
    /// # Errors
    ///
    /// If records cannot be written.
    pub async fn execute(&mut self, command: Command) -> Result<Counts, String> {
        match command {
            Command::Play => self.play(Instant::now()),
            Command::End => {
                self.request_log.end_stream();
                // This also ends the streams' requests and their connections, each when its task is next
                // polled.
                self.streams.shutdown().await;
                // A row is written slightly after its connection is closed.
                while self.request_log.counts()["requests.out"] > 0.0 {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
                for idle in self.idle.iter() {
                    lock(idle).clear();
                }
            }
            _ => {}
        }
        self.request_log.flush()?;
        let mut values = self.request_log.counts();
        let idle: usize = self.idle.iter().map(|idle| lock(idle).len()).sum();
        values.insert("connections.idle".to_owned(), idle as f64);
        values.insert("connections.busy".to_owned(), self.busy.load(Relaxed) as f64);
        Ok(Counts { at_us: now_us(), values, ..Counts::default() })
    }

    fn play(&mut self, play_start: Instant) {
        let real = self.layout.dispatchers.iter().enumerate().filter(|(_, d)| !d.hollow);
        for (dispatcher, entry) in real {
            let (layout, request_log) = (self.layout.clone(), self.request_log.clone());
            let context = ClientContext {
                layout,
                dispatcher,
                request_log,
                idle: self.idle.clone(),
                busy: self.busy.clone(),
            };
            let arrivals = Arrivals::new(&self.layout.stream, self.layout.seed, dispatcher, entry.share);
            self.streams.spawn(async move {
                let mut requests = JoinSet::new();
                for arrival in arrivals {
                    tokio::time::sleep_until((play_start + arrival.at).into()).await;
                    let (context, request) =
                        (context.clone(), context.request_log.open(context.dispatcher, arrival));
                    requests.spawn(async move { context.send(request).await });
                    while requests.try_join_next().is_some() {}
                }
                while requests.join_next().await.is_some() {}
            });
        }
    }
}

fn lock(idle: &Mutex<Vec<Connection>>) -> std::sync::MutexGuard<'_, Vec<Connection>> {
    idle.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Counts a connection as busy until it is dropped.
struct BusyGuard(Arc<AtomicUsize>);

impl BusyGuard {
    fn new(count: &Arc<AtomicUsize>) -> BusyGuard {
        count.fetch_add(1, Relaxed);
        BusyGuard(count.clone())
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Relaxed);
    }
}

impl ClientContext {
    async fn send(&self, request: OpenRequest) {
        let stream = &self.layout.stream;
        let tenant = match stream.tenants {
            0 => String::new(),
            _ => format!("\r\nX-Tenant-Id: tenant-{}", request.arrival.tenant),
        };
        let head = format!(
            "POST /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {}\r\nX-Priority-Class: {}{tenant}\r\n\
             X-Timeout: {}m",
            request.arrival.id,
            request.arrival.class(),
            (stream.deadline_s * 1e3) as u64
        );
        let body = request.arrival.body();
        let answer =
            tokio::time::timeout(self.request_log.answer_timeout(), self.exchange(&head, body.as_bytes()))
                .await;
        request.finish(match answer {
            Err(_) => "lost",
            // Either nothing listens there or the connection ended without an answer. The run knows which
            // dispatchers it has killed and counts such requests of all others as lost.
            Ok(None) => "cut",
            Ok(Some(answer)) => match answer.status {
                200 => "served",
                429 | 503 => "refused",
                _ => "failed",
            },
        });
    }

    /// Sends a request and returns its answer, or `None` if no connection can be opened or it ends without an
    /// answer.
    async fn exchange(&self, head: &str, body: &[u8]) -> Option<Message> {
        let idle = &self.idle[self.dispatcher];
        let _busy = BusyGuard::new(&self.busy);
        let reused = lock(idle).pop();
        let mut exchanged = match reused {
            Some(mut connection) => {
                exchange_on(&mut connection, head, body).await.map(|answer| (answer, connection))
            }
            None => None,
        };
        if exchanged.is_none() {
            let to = self.layout.dispatchers[self.dispatcher].listen;
            let mut connection = Connection::open(to, self.request_log.answer_timeout()).await.ok()?;
            exchanged = exchange_on(&mut connection, head, body).await.map(|answer| (answer, connection));
        }
        let (answer, connection) = exchanged?;
        if !answer.header("connection").eq_ignore_ascii_case("close") {
            lock(idle).push(connection);
        }
        Some(answer)
    }
}

/// Writes a request to a connection and reads its answer.
async fn exchange_on(connection: &mut Connection, head: &str, body: &[u8]) -> Option<Message> {
    connection.write(head, body).await.ok()?;
    connection.read().await.ok()?
}
