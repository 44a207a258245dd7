//! The Faktory front: the Faktory work protocol, with the dispatcher as the server that clients push to and
//! workers fetch from. It is a front and a link at once: a PUSH becomes a request with one final answer,
//! and an attempt goes to the worker that the balancer chose, whether or not that is parked in FETCH. Never
//! chooses a worker, repeats a job or hands one to a quiet worker. An ACK or FAIL of a finished job changes
//! nothing. In the protocol a `wid` is the id of a worker process, and a `jid` that of a job.

mod config;
mod transport;

pub use config::{Custom, FaktoryConfig, Identity, Role, Route};

use crate::core::{Answer, Arrival, AttemptEnd, AttemptId, Input, ListedRunner, Source};
use crate::memory::MemoryBudget;
use crate::net::runners::result_bytes;
use crate::net::spiffe::{self, Identities};
use crate::runtime::{ClientGuard, Job, Link, Runtime};
use bytes::Bytes;
use sablerun as sr;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpListener;
use tokio::sync::{Notify, oneshot};
use tokio_rustls::TlsAcceptor;
use transport::{Disconnect, Transport};

/// Most queues that a worker may name.
const MAX_QUEUES: usize = 64;
/// Longest name of a queue, in bytes.
const MAX_QUEUE_NAME_BYTES: usize = 256;

/// The peer of a connection and its permissions.
#[derive(Clone)]
pub struct Peer {
    name: String,
    is_client: bool,
    is_worker: bool,
    member: Option<String>,
    zone: Option<String>,
    kind: Option<String>,
}

/// A job queued for its worker's next FETCH.
struct QueuedJob {
    attempt: AttemptId,
    jid: Rc<str>,
    queue: String,
    frame: Bytes,
}

/// A job handed to a worker.
struct RunningJob {
    /// `None` once the attempt was cancelled: the worker may go on, but its result is ignored.
    attempt: Option<AttemptId>,
    connection: u64,
    /// The job was written whole to the connection.
    written: bool,
    started: Instant,
}

/// A job to write to the connection of a parked FETCH.
struct Delivery {
    jid: Rc<str>,
    frame: Bytes,
}

/// A FETCH that waits for a job, which is a free slot of its worker.
struct ParkedFetch {
    connection: u64,
    queues: Vec<String>,
    delivery: oneshot::Sender<Delivery>,
}

/// A worker process, identified by its wid.
struct Worker {
    /// The name of the peer that registered it.
    peer: String,
    zone: String,
    kind: String,
    up_since: sr::Time,
    /// The numbers of its connections; those of an earlier process with the same wid are not among them.
    connections: HashSet<u64>,
    last_beat: Instant,
    /// It reported that it takes no more jobs.
    quiet: bool,
    /// The queues that its FETCHes have named so far.
    queues: HashSet<String>,
    parked: VecDeque<ParkedFetch>,
    queued: VecDeque<QueuedJob>,
    running: HashMap<Rc<str>, RunningJob>,
    /// Moving average of the service time, in seconds.
    latency: Option<f64>,
}

impl Worker {
    fn report(&self) -> sr::Report {
        sr::Report {
            inflight: Some((self.running.len() + self.queued.len()) as f64),
            latency: self.latency.map(sr::Span::from_secs),
            free_slots: Some(self.parked.len() as f64),
            ..sr::Report::default()
        }
    }
}

/// The Faktory front, which is also the link to its workers.
pub struct Faktory {
    runtime: Rc<Runtime>,
    /// The memory for frames, also while their jobs are open.
    memory: MemoryBudget,
    config: FaktoryConfig,
    password: Option<String>,
    identities: Option<Arc<Identities>>,
    workers: RefCell<HashMap<String, Worker>>,
    /// The wids of removed workers whose places among the runners other workers may take.
    vacant: RefCell<BTreeSet<String>>,
    /// The wid and the jid of each attempt.
    attempts: RefCell<HashMap<AttemptId, (String, Rc<str>)>>,
    connections: Cell<usize>,
    connection_closed: Notify,
    /// The number of the latest connection.
    last_connection: Cell<u64>,
    command_count: Cell<u64>,
}

/// Returns the runner name of a worker. The prefix keeps wids apart from the names of discovery's hosts.
fn runner_name(wid: &str) -> String {
    format!("wid:{wid}")
}

/// Why a pushed job is not taken.
enum PushError {
    /// What is wrong with it.
    Malformed(String),
    /// There is no memory for it.
    OutOfMemory,
}

impl From<String> for PushError {
    fn from(reason: String) -> PushError {
        PushError::Malformed(reason)
    }
}

impl From<&str> for PushError {
    fn from(reason: &str) -> PushError {
        PushError::Malformed(reason.to_owned())
    }
}

impl PushError {
    /// Returns the error reply; a job for which there is no memory may be pushed again after `retry_after`.
    fn reply(&self, retry_after: Duration) -> String {
        match self {
            PushError::Malformed(reason) => format!("MALFORMED PUSH: {reason}"),
            PushError::OutOfMemory => format!("REFUSED retry_after={:.3}", retry_after.as_secs_f64()),
        }
    }
}

impl Faktory {
    /// Creates the front from its section of the operator's file, and reads the files named there.
    ///
    /// # Errors
    ///
    /// Names the key at fault.
    pub fn new(runtime: &Rc<Runtime>, config: FaktoryConfig) -> Result<Rc<Faktory>, String> {
        let read = |path: &PathBuf| {
            let text = std::fs::read_to_string(path);
            text.map_err(|e| format!("password_file: {}: {e}", path.display()))
        };
        let password = config.password_file.as_ref().map(read).transpose()?;
        let identities = config.tls.clone().map(Identities::load).transpose()?;
        Ok(Rc::new(Faktory {
            runtime: runtime.clone(),
            memory: MemoryBudget::with_quota(
                runtime.resources.faktory_memory.clone(),
                runtime.limits.evict_from_memory_after,
            ),
            config,
            password: password.map(|text| text.trim().to_owned()),
            identities,
            workers: RefCell::default(),
            vacant: RefCell::default(),
            attempts: RefCell::default(),
            connections: Cell::new(0),
            connection_closed: Notify::new(),
            last_connection: Cell::new(0),
            command_count: Cell::new(0),
        }))
    }

    /// Accepts connections; never ends.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let acceptor = match self.identities.as_ref().map(Identities::server_config).transpose() {
            Ok(config) => config.map(TlsAcceptor::from),
            Err(e) => return log::error!("tls: {e}"),
        };
        loop {
            let limit = &self.runtime.resources.faktory_connections;
            while !limit.ensure(self.connections.get() + 1) {
                // The other process of a replacement may give a place back at any time.
                let closed = self.connection_closed.notified();
                let _ = tokio::time::timeout(self.runtime.limits.peer_check_interval, closed).await;
            }
            let (stream, from) = match listener.accept().await {
                Ok(accepted) => accepted,
                Err(e) => {
                    log::warn!("faktory: accept: {e}");
                    tokio::time::sleep(self.runtime.limits.accept_pause).await;
                    continue;
                }
            };
            let _ = stream.set_nodelay(true);
            self.connections.set(self.connections.get() + 1);
            let (front, acceptor) = (self.clone(), acceptor.clone());
            actix_rt::spawn(async move {
                let _counted = ConnectionCount(front.clone());
                match acceptor {
                    None => front.clone().serve_connection(stream, front.plaintext_peer(from)).await,
                    Some(acceptor) => {
                        let tls_handshake =
                            tokio::time::timeout(front.runtime.limits.head_timeout, acceptor.accept(stream));
                        match tls_handshake.await {
                            Ok(Ok(stream)) => match front.tls_peer(stream.get_ref().1) {
                                Ok(peer) => front.serve_connection(stream, peer).await,
                                Err(reason) => log::warn!("faktory: peer at {from} refused: {reason}"),
                            },
                            Ok(Err(e)) => log::warn!("faktory: no TLS with {from}: {e}"),
                            Err(_) => log::warn!("faktory: no TLS with {from}: too slow"),
                        }
                    }
                }
            });
        }
    }

    /// Runs the periodic tasks: removes workers without heartbeats and reloads rotated files.
    pub async fn run_maintenance(self: Rc<Self>) {
        let beat_timeout = Duration::from_secs_f64(self.config.beat_limit_s);
        let reload_interval = self.config.tls.as_ref().map_or(f64::MAX, |tls| tls.reload_s);
        let sweep = self.runtime.limits.sweep_interval.as_secs_f64();
        let interval = (beat_timeout.as_secs_f64() / 10.0).min(sweep).min(reload_interval);
        let mut last_reload = Instant::now();
        loop {
            tokio::time::sleep(Duration::from_secs_f64(interval)).await;
            let silent = |worker: &Worker| worker.last_beat.elapsed() > beat_timeout;
            let workers = self.workers.borrow();
            let silent_wids: Vec<_> =
                workers.iter().filter(|(_, w)| silent(w)).map(|(wid, _)| wid.clone()).collect();
            drop(workers);
            // A cancelled job counts as running only for the time for which its worker may go on with it.
            let expired = |job: &RunningJob| {
                job.attempt.is_none() && job.started.elapsed() > self.runtime.limits.orphan_timeout
            };
            let mut workers = self.workers.borrow_mut();
            workers.values_mut().for_each(|worker| worker.running.retain(|_, job| !expired(job)));
            drop(workers);
            for wid in silent_wids {
                log::warn!("faktory: worker {wid} missed its heartbeats: removed");
                self.disconnect(&wid, None);
                self.remove_worker(&mut self.workers.borrow_mut(), &wid);
            }
            if last_reload.elapsed().as_secs_f64() >= reload_interval {
                last_reload = Instant::now();
                self.reload();
            }
        }
    }

    /// Reloads the SVID and the bundles if their files have changed.
    pub fn reload(&self) {
        match self.identities.as_ref().map(|identities| identities.reload()) {
            Some(Ok(true)) => log::info!("faktory: SVID and bundles reloaded"),
            Some(Err(e)) => {
                log::error!("faktory: SVID and bundles not reloaded, the previous ones stay in use: {e}")
            }
            Some(Ok(false)) | None => {}
        }
    }

    /// Returns the peer of a connection without TLS, which may be a client and a worker.
    pub fn plaintext_peer(&self, address: SocketAddr) -> Peer {
        let name = address.ip().to_string();
        Peer { name, is_client: true, is_worker: true, member: None, zone: None, kind: None }
    }

    /// Returns the peer that a client certificate identifies.
    fn tls_peer(&self, tls: &rustls::ServerConnection) -> Result<Peer, String> {
        let leaf = tls.peer_certificates().and_then(|chain| chain.first()).ok_or("no certificate")?;
        let id = spiffe::id_of(leaf)?;
        let rule = self.config.identity.iter().find(|rule| match rule.id.strip_suffix("/*") {
            Some(prefix) => id.as_str().strip_prefix(prefix).is_some_and(|rest| rest.starts_with('/')),
            None => rule.id == id.as_str(),
        });
        let rule = rule.ok_or_else(|| format!("{} is in no identity of the file", id.as_str()))?;
        Ok(Peer {
            name: id.as_str().to_owned(),
            is_client: rule.role != Role::Worker,
            is_worker: rule.role != Role::Client,
            member: rule.member.clone(),
            zone: rule.zone.clone(),
            kind: rule.kind.clone(),
        })
    }

    // ---- sessions ----

    /// Runs a session on an accepted connection until it ends.
    pub async fn serve_connection<S: AsyncRead + AsyncWrite + Unpin>(self: Rc<Self>, stream: S, peer: Peer) {
        self.last_connection.set(self.last_connection.get() + 1);
        let number = self.last_connection.get();
        let mut transport = Transport::new(stream, &self.runtime.limits, &self.memory);
        let mut session = Session { front: self.clone(), number, wid: None };
        let ended = self.handshake(&mut transport, &peer, &mut session).await;
        let ended = match ended {
            Ok(()) => self.serve_commands(&mut transport, &peer, &session).await,
            Err(disconnect) => Err(disconnect),
        };
        // The attempts on this connection end before the error reply is written.
        drop(session);
        if let Err(Disconnect::WithError(error)) = ended {
            let reply = format!("-ERR {error}\r\n");
            let _ = tokio::time::timeout(self.runtime.limits.head_timeout, transport.send(&reply)).await;
            log::info!("faktory: connection of {} closed: {error}", peer.name);
            // Closing over unread input resets the connection, which may destroy the reply in transit.
            let _ = tokio::time::timeout(self.runtime.limits.linger_timeout, transport.linger()).await;
        }
    }

    /// Sends HI and checks the client's HELLO.
    async fn handshake<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        transport: &mut Transport<S>,
        peer: &Peer,
        session: &mut Session,
    ) -> Result<(), Disconnect> {
        let salt = format!("{:016x}", new_salt(session.number, &self.runtime));
        let greeting = match &self.password {
            Some(_) => json!({"v": 2, "i": PASSWORD_HASH_ROUNDS, "s": salt}),
            None => json!({"v": 2}),
        };
        transport.send(&format!("+HI {greeting}\r\n")).await?;
        let line = tokio::time::timeout(self.runtime.limits.head_timeout, transport.read_line()).await;
        let line = line.map_err(|_| Disconnect::WithError("MALFORMED no HELLO in time".to_owned()))??;
        let line = line_text(&line)?;
        let malformed = |what: &str| Disconnect::WithError(format!("MALFORMED HELLO: {what}"));
        let hello = line.strip_prefix("HELLO ").ok_or_else(|| malformed("it comes first"))?;
        let hello: Value = serde_json::from_str(hello).map_err(|_| malformed("no JSON object"))?;
        if hello["v"].as_u64() != Some(2) {
            return Err(malformed("the version spoken here is 2"));
        }
        if let Some(password) = &self.password {
            let presented = hello["pwdhash"].as_str().unwrap_or("");
            let expected = password_hash(password, &salt, PASSWORD_HASH_ROUNDS);
            if !constant_time_eq(presented.as_bytes(), expected.as_bytes()) {
                log::warn!("faktory: {} gave a wrong password", peer.name);
                return Err(Disconnect::WithError("DENIED invalid password".to_owned()));
            }
        }
        match &hello["wid"] {
            Value::Null => {}
            Value::String(wid) if !wid.is_empty() && wid.len() <= 128 && wid.is_ascii() => {
                self.register_worker(wid, peer, session.number)?;
                session.wid = Some(wid.clone());
            }
            _ => return Err(malformed("wid")),
        }
        Ok(transport.send("+OK\r\n").await?)
    }

    /// Adds a connection to its worker, which is created for a new wid.
    fn register_worker(&self, wid: &str, peer: &Peer, connection: u64) -> Result<(), Disconnect> {
        if !peer.is_worker {
            log::warn!("faktory: {} said HELLO as worker {wid}, but has no worker's role", peer.name);
            return Err(Disconnect::WithError("DENIED this identity is not a worker's".to_owned()));
        }
        let mut workers = self.workers.borrow_mut();
        if workers.get(wid).is_some_and(|worker| worker.peer != peer.name) {
            log::warn!("faktory: {} used wid {wid}, which belongs to another peer", peer.name);
            return Err(Disconnect::WithError("DENIED this wid is another's".to_owned()));
        }
        if !workers.contains_key(wid) && workers.len() >= self.runtime.limits.max_faktory_connections {
            // Each connection has one worker, so that there is one without a connection.
            let absent = workers.iter().filter(|(_, worker)| worker.connections.is_empty());
            let longest = absent.min_by_key(|(_, worker)| worker.last_beat).map(|(wid, _)| wid.clone());
            if let Some(longest) = longest {
                self.remove_worker(&mut workers, &longest);
            }
        }
        let or_default = |own: &Option<String>, default: &Option<String>| own.clone().or(default.clone());
        let worker = workers.entry(wid.to_owned()).or_insert_with(|| Worker {
            peer: peer.name.clone(),
            zone: or_default(&peer.zone, &self.config.zone).unwrap_or_default(),
            kind: or_default(&peer.kind, &self.config.kind).unwrap_or_default(),
            // An unknown wid is taken for a process that has just started, and is in its slow start.
            up_since: self.runtime.clock.now(),
            connections: HashSet::new(),
            last_beat: Instant::now(),
            quiet: false,
            queues: HashSet::new(),
            parked: VecDeque::new(),
            queued: VecDeque::new(),
            running: HashMap::new(),
            latency: None,
        });
        worker.connections.insert(connection);
        worker.last_beat = Instant::now();
        let reconnected = worker.connections.len() == 1 && !worker.queues.is_empty();
        drop(workers);
        if reconnected {
            log::info!("faktory: worker {wid} of {} reconnected", peer.name);
            self.report_worker(wid);
        }
        Ok(())
    }

    /// Removes a worker without connections. Its place among the runners becomes vacant if it was ever listed.
    fn remove_worker(&self, workers: &mut HashMap<String, Worker>, wid: &str) {
        if workers.remove(wid).is_some_and(|worker| !worker.queues.is_empty()) {
            self.vacant.borrow_mut().insert(wid.to_owned());
        }
    }

    /// Gives a worker that is listed for the first time its own former place among the runners, or a vacant one.
    fn take_vacant_place(&self, wid: &str) {
        let mut vacant = self.vacant.borrow_mut();
        if vacant.remove(wid) {
            return;
        }
        if let Some(removed) = vacant.pop_first() {
            drop(vacant);
            let (runner, successor) = (runner_name(&removed), runner_name(wid));
            self.runtime.feed(Input::RunnerReplaced { runner, successor });
        }
    }

    /// Reports a worker's state to the core.
    fn report_worker(&self, wid: &str) {
        let workers = self.workers.borrow();
        let Some(worker) = workers.get(wid) else { return };
        let state = match worker {
            worker if worker.connections.is_empty() => sr::WorkerState::Gone,
            Worker { quiet: true, .. } => sr::WorkerState::Draining,
            _ => sr::WorkerState::Ready,
        };
        let listed = ListedRunner {
            name: runner_name(wid),
            zone: worker.zone.clone(),
            kind: worker.kind.clone(),
            cell: 0,
            state,
            size: 1.0,
            up_since: Some(worker.up_since),
        };
        drop(workers);
        self.runtime.feed(Input::List(Source::SelfRegistered, sr::ListKind::Delta, vec![listed]));
    }

    /// Serves commands until END or the end of the connection.
    async fn serve_commands<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        transport: &mut Transport<S>,
        peer: &Peer,
        session: &Session,
    ) -> Result<(), Disconnect> {
        loop {
            let line = transport.read_line().await?;
            self.command_count.set(self.command_count.get() + 1);
            let text = line_text(&line)?;
            let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
            let reply = match (verb, &session.wid) {
                ("PUSH", _) if !peer.is_client => Err("DENIED this identity is not a client's".to_owned()),
                ("PUSH", _) => match self.parse_job(rest, line.slice_ref(rest.as_bytes()), peer) {
                    Ok(arrival) => self.handle_push(transport, arrival).await?,
                    Err(error) => Err(error.reply(self.runtime.limits.memory_timeout)),
                },
                ("FETCH", Some(wid)) if !self.has_connection(wid, session.number) => Err(worker_removed()),
                ("FETCH", Some(wid)) => {
                    self.handle_fetch(transport, session.number, wid, rest).await?;
                    continue;
                }
                ("ACK" | "FAIL" | "BEAT", Some(wid)) if !self.has_connection(wid, session.number) => {
                    Err(worker_removed())
                }
                ("ACK", Some(wid)) => self.finish_job(wid, rest, sr::Outcome::Ok),
                ("FAIL", Some(wid)) => self.finish_job(wid, rest, sr::Outcome::Error),
                ("BEAT", Some(wid)) => self.handle_beat(wid, rest),
                ("FETCH" | "ACK" | "FAIL" | "BEAT", None) => {
                    Err(format!("DENIED {verb} is for workers: HELLO gave no wid"))
                }
                ("INFO", _) => {
                    transport.send_bulk(self.info().as_bytes()).await?;
                    continue;
                }
                ("FLUSH", _) => Err("DENIED FLUSH: jobs that were taken are not dropped here".to_owned()),
                ("END", _) => return Ok(()),
                (verb, _) => Err(format!("UNKNOWN command {}", printable(verb))),
            };
            match reply {
                Ok(()) => transport.send("+OK\r\n").await?,
                Err(error) => transport.send(&format!("-ERR {error}\r\n")).await?,
            }
        }
    }

    // ---- clients ----

    /// Parses a pushed job into the core's request, without its ticket.
    fn parse_job(&self, text: &str, original: Bytes, peer: &Peer) -> Result<Arrival<Rc<Job>>, PushError> {
        let job: Value = serde_json::from_str(text).map_err(|_| "no JSON".to_owned())?;
        let jid = job["jid"].as_str().ok_or("jid is missing")?;
        // The jid becomes part of a URL path when the job is cancelled at a runner of the platform.
        let unreserved = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
        if jid.len() < 8 || jid.len() > 128 || !jid.bytes().all(unreserved) {
            return Err("jid is malformed".into());
        }
        let jobtype = job["jobtype"].as_str().filter(|t| !t.is_empty()).ok_or("jobtype is missing")?;
        let args = Some(&job["args"]).filter(|args| args.is_array()).ok_or("args is no array")?;
        let queue = match &job["queue"] {
            Value::Null => "default",
            queue => queue.as_str().ok_or("queue is malformed")?,
        };
        if !matches!(&job["at"], Value::Null) {
            return Err("at: jobs for later are not taken".into());
        }
        let (names, custom) = (&self.config.custom, &job["custom"]);
        let string = |key: &str| match &custom[key] {
            Value::Null => Ok(None),
            value => value.as_str().map(Some).ok_or_else(|| format!("custom.{key} is malformed")),
        };
        let number = |key: &str| match &custom[key] {
            Value::Null => Ok(None),
            value => {
                let number = value.as_f64().filter(|x| x.is_finite() && *x >= 0.0);
                number.map(Some).ok_or_else(|| format!("custom.{key} is malformed"))
            }
        };
        let matches =
            |pattern: &Option<String>, name: &str| pattern.as_deref().is_none_or(|pattern| pattern == name);
        let mut routes = self.config.route.iter();
        let route = routes.find(|r| matches(&r.queue, queue) && matches(&r.jobtype, jobtype));
        let class_name = match (string(&names.class)?, route) {
            (Some(class), _) => class,
            (None, Some(route)) => &route.class,
            (None, None) => return Err("queue and jobtype match no route".into()),
        };
        let class = self.runtime.with_class(class_name, |number, class| (number, class.deadline));
        let (class, deadline) = class.ok_or("custom names no known class")?;
        // An identity acts for its own member only. The job may name one where neither identity nor route
        // does.
        let assigned = peer.member.as_deref().or(route.and_then(|r| r.member.as_deref()));
        let named = string(&names.member)?;
        let member = assigned.or(named).or(self.config.member.as_deref());
        let tenant = self.runtime.tenant(member);
        let tenant = tenant.map_err(|()| "no known member: neither identity, route nor custom names one")?;
        let timeout = match (number(&names.timeout_ms)?, route.and_then(|r| r.deadline_ms)) {
            (Some(ms), _) => sr::Span::from_secs(ms.min(86_400_000.0) / 1e3),
            (None, Some(ms)) => sr::Span::from_secs(ms as f64 / 1e3),
            (None, None) => deadline,
        };
        let key = string(&names.key)?;
        // The key becomes a header when the job goes to a runner of the platform.
        let visible = |key: &&str| !key.is_empty() && key.bytes().all(|b| (0x20..0x7f).contains(&b));
        if key.is_some_and(|key| !visible(&key)) {
            return Err(format!("custom.{} must be visible ASCII, and not empty", names.key).into());
        }
        let job = Job {
            target: route.map_or_else(config::default_target, |r| r.target.clone()),
            body: self.held_text(args).ok_or(PushError::OutOfMemory)?,
            key: Some(key.unwrap_or(jid).to_owned()),
            content_type: Some("application/json".to_owned()),
            class: class_name.to_owned(),
            tenant: member.map(str::to_owned),
            queue: Some(queue.to_owned()),
            original: Some(original),
        };
        Ok(Arrival {
            ticket: crate::core::Ticket(0),
            id: jid.into(),
            class,
            tenant,
            deadline: self.runtime.clock.now() + timeout,
            slots: number(&names.slots)?.unwrap_or(1.0),
            memory: 0.0,
            estimate: sr::Span::from_secs(number(&names.cost_us)?.unwrap_or(0.0) / 1e6),
            retry: custom[&names.retry].as_bool().unwrap_or(false),
            key: self.runtime.idempotency_key(class, &job),
            job: Rc::new(job),
        })
    }

    /// Hands a job to the core and waits for its final answer or the client's disconnect.
    async fn handle_push<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        transport: &mut Transport<S>,
        mut arrival: Arrival<Rc<Job>>,
    ) -> Result<Result<(), String>, Disconnect> {
        let (ticket, mut answer) = self.runtime.ticket(arrival.class);
        arrival.ticket = ticket;
        let _client_guard = ClientGuard::new(&self.runtime, ticket);
        self.runtime.feed(Input::Arrived(arrival));
        let answer = loop {
            tokio::select! {
                biased;
                answer = &mut answer => break answer,
                more = transport.fill_behind_command() => more?,
            }
        };
        Ok(match answer {
            Ok(Answer::Served(_)) => Ok(()),
            Ok(Answer::Refused(hold_off)) => Err(format!("REFUSED retry_after={:.3}", hold_off.secs())),
            Ok(Answer::Failed(reason)) => Err(format!("FAILED {reason}")),
            Ok(Answer::Unfit(reason)) => Err(format!("MALFORMED PUSH: {reason}")),
            Err(_) => Err("FAILED no answer was made".to_owned()),
        })
    }

    // ---- workers ----

    /// Parks a FETCH and writes the job that it is given, or no job after the wait.
    async fn handle_fetch<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        transport: &mut Transport<S>,
        connection: u64,
        wid: &str,
        queues: &str,
    ) -> Result<(), Disconnect> {
        let queues = match self.parse_queues(wid, queues) {
            Ok(queues) => queues,
            Err(error) => return Ok(transport.send(&format!("-ERR {error}\r\n")).await?),
        };
        let (delivery, mut delivered) = oneshot::channel();
        self.park_fetch(wid, ParkedFetch { connection, queues, delivery });
        let deadline = tokio::time::Instant::now() + Duration::from_millis(self.config.fetch_wait_ms);
        let job = loop {
            tokio::select! {
                biased;
                job = &mut delivered => break job.ok(),
                more = transport.fill_behind_command() => more?,
                () = tokio::time::sleep_until(deadline) => {
                    if let Some(worker) = self.workers.borrow_mut().get_mut(wid) {
                        worker.parked.retain(|parked| parked.connection != connection);
                    }
                    // A job may have been delivered at the very end of the wait.
                    break delivered.try_recv().ok();
                }
            }
        };
        let Some(Delivery { jid, frame }) = job else { return Ok(transport.send("$-1\r\n").await?) };
        if !self.may_hand_over(wid, &jid) {
            return Ok(transport.send("$-1\r\n").await?);
        }
        transport.send_bulk(&frame).await?;
        crate::metrics::Metrics::add(&self.runtime.metrics.sends);
        let attempt = self.workers.borrow_mut().get_mut(wid).and_then(|worker| {
            let running = worker.running.get_mut(&jid)?;
            running.written = true;
            running.attempt
        });
        if attempt.is_some() {
            self.runtime.feed(Input::Started { id: jid.to_string(), from: runner_name(wid) });
        }
        Ok(())
    }

    /// Whether a job that was delivered to a FETCH may still be written; takes it from its worker if not.
    fn may_hand_over(&self, wid: &str, jid: &Rc<str>) -> bool {
        let mut workers = self.workers.borrow_mut();
        let Some(worker) = workers.get_mut(wid) else { return false };
        let Some(attempt) = worker.running.get(jid).map(|running| running.attempt) else { return false };
        if attempt.is_some_and(|attempt| self.runtime.may_begin(attempt)) {
            return true;
        }
        worker.running.remove(jid);
        drop(workers);
        self.end_attempts(attempt.into_iter().collect(), sr::Outcome::Moot);
        false
    }

    /// Parses the queues of a FETCH. All that a worker has named count against the limit.
    fn parse_queues(&self, wid: &str, text: &str) -> Result<Vec<String>, String> {
        let names = || text.split_whitespace();
        if names().any(|name| name.len() > MAX_QUEUE_NAME_BYTES) {
            return Err(format!(
                "MALFORMED FETCH: a queue's name is longer than {MAX_QUEUE_NAME_BYTES} bytes"
            ));
        }
        let workers = self.workers.borrow();
        let known = workers.get(wid).map(|worker| &worker.queues);
        let is_new = |name: &&str| known.is_none_or(|known| !known.contains(*name));
        if names().count() > MAX_QUEUES
            || known.map_or(0, HashSet::len) + names().filter(is_new).count() > MAX_QUEUES
        {
            return Err(format!("MALFORMED FETCH: a worker may name {MAX_QUEUES} queues"));
        }
        let queues: Vec<_> = names().map(str::to_owned).collect();
        Ok(if queues.is_empty() { vec!["default".to_owned()] } else { queues })
    }

    /// Whether the worker is registered with this connection.
    fn has_connection(&self, wid: &str, connection: u64) -> bool {
        self.workers.borrow().get(wid).is_some_and(|worker| worker.connections.contains(&connection))
    }

    /// Parks a FETCH, and hands it a queued job if there is one.
    fn park_fetch(&self, wid: &str, parked: ParkedFetch) {
        let mut workers = self.workers.borrow_mut();
        let Some(worker) = workers.get_mut(wid) else { return };
        // A worker is listed from its first FETCH on. Before that its queues are unknown, and it might be
        // chosen for jobs that it does not take.
        let first = worker.queues.is_empty();
        worker.queues.extend(parked.queues.iter().cloned());
        worker.parked.push_back(parked);
        if first {
            log::info!("faktory: worker {wid} of {} connected", worker.peer);
        }
        drop(workers);
        if first {
            self.take_vacant_place(wid);
            self.report_worker(wid);
        }
        self.serve_parked_fetches(wid);
    }

    /// Takes out the queued jobs whose attempts may not begin any more: their windows or deadlines have passed, their
    /// requests are answered, or the worker is taken out of service.
    fn withdraw_lapsed_jobs(&self, wid: &str) {
        let mut workers = self.workers.borrow_mut();
        let Some(worker) = workers.get_mut(wid) else { return };
        let mut lapsed = Vec::new();
        worker.queued.retain(|job| {
            let may_begin = self.runtime.may_begin(job.attempt);
            if !may_begin {
                lapsed.push(job.attempt);
            }
            may_begin
        });
        drop(workers);
        self.end_attempts(lapsed, sr::Outcome::Moot);
    }

    /// Hands queued jobs to parked FETCHes that take their queues, each FETCH's first queue first.
    fn serve_parked_fetches(&self, wid: &str) {
        self.withdraw_lapsed_jobs(wid);
        let mut workers = self.workers.borrow_mut();
        let Some(worker) = workers.get_mut(wid).filter(|worker| !worker.quiet) else { return };
        let mut index = 0;
        while index < worker.parked.len() {
            let (parked, queued) = (&worker.parked[index], &worker.queued);
            let next = parked.queues.iter().find_map(|q| queued.iter().position(|job| job.queue == *q));
            let Some(next) = next else {
                index += 1;
                continue;
            };
            let Some(parked) = worker.parked.remove(index) else { return };
            let Some(job) = worker.queued.remove(next) else { return };
            let QueuedJob { attempt, jid, frame, .. } = job;
            let running = RunningJob {
                attempt: Some(attempt),
                connection: parked.connection,
                written: false,
                started: Instant::now(),
            };
            worker.running.insert(jid.clone(), running);
            // Fails if the connection has just closed: `disconnect` ends the attempt then.
            let _ = parked.delivery.send(Delivery { jid, frame });
        }
    }

    /// Handles a worker's ACK or FAIL. One for a finished job, or for a job of another worker, changes
    /// nothing.
    fn finish_job(&self, wid: &str, text: &str, outcome: sr::Outcome) -> Result<(), String> {
        let verb = if outcome == sr::Outcome::Ok { "ACK" } else { "FAIL" };
        let mut body: Value = serde_json::from_str(text).map_err(|_| format!("MALFORMED {verb}: no JSON"))?;
        let jid = body["jid"].as_str().ok_or_else(|| format!("MALFORMED {verb}: jid is missing"))?.to_owned();
        let mut workers = self.workers.borrow_mut();
        let Some(worker) = workers.get_mut(wid) else { return Ok(()) };
        worker.last_beat = Instant::now();
        let Some(running) = worker.running.remove(jid.as_str()) else {
            log::debug!("faktory: {verb} of {jid} by {wid}, which does not hold it");
            return Ok(());
        };
        let took = running.started.elapsed().as_secs_f64();
        worker.latency = Some(worker.latency.map_or(took, |average| average + 0.5 * (took - average)));
        let report = Some(worker.report());
        drop(workers);
        if let Some(attempt) = running.attempt {
            let result = if outcome == sr::Outcome::Ok { body["result"].take() } else { Value::Null };
            let end = AttemptEnd { outcome, result: result_bytes(result, &self.runtime.memory), report };
            self.runtime.feed(Input::AttemptEnded(attempt, end));
        }
        Ok(())
    }

    /// Handles a worker's heartbeat, which may also make it quiet.
    fn handle_beat(&self, wid: &str, text: &str) -> Result<(), String> {
        let beat: Value = serde_json::from_str(text).map_err(|_| "MALFORMED BEAT: no JSON".to_owned())?;
        if beat["wid"].as_str() != Some(wid) {
            return Err("MALFORMED BEAT: wid is not that of HELLO".to_owned());
        }
        let quiet = matches!(beat["current_state"].as_str(), Some("quiet" | "terminate"));
        let mut workers = self.workers.borrow_mut();
        let Some(worker) = workers.get_mut(wid) else { return Err(worker_removed()) };
        worker.last_beat = Instant::now();
        if !quiet || worker.quiet {
            return Ok(());
        }
        worker.quiet = true;
        // Handing out the queued jobs would be new work for a worker that drains.
        let returned: Vec<_> = worker.queued.drain(..).map(|job| job.attempt).collect();
        drop(workers);
        log::info!("faktory: worker {wid} is quiet: draining");
        self.report_worker(wid);
        self.end_attempts(returned, sr::Outcome::Full);
        Ok(())
    }

    fn end_attempts(&self, attempts: Vec<AttemptId>, outcome: sr::Outcome) {
        for attempt in attempts {
            self.runtime.feed(Input::AttemptEnded(attempt, AttemptEnd::without_report(outcome)));
        }
    }

    /// Removes a connection of a worker, or all of them, and ends the attempts that depended on it.
    fn disconnect(&self, wid: &str, connection: Option<u64>) {
        let mut workers = self.workers.borrow_mut();
        let Some(worker) = workers.get_mut(wid) else { return };
        // A connection of an earlier process with this wid may end only now, which must not affect this one.
        if connection.is_some_and(|connection| !worker.connections.remove(&connection)) {
            return;
        }
        let lost = |number: u64| connection.is_none_or(|connection| connection == number);
        worker.parked.retain(|parked| !lost(parked.connection));
        if connection.is_none() {
            worker.connections.clear();
        }
        let gone = worker.connections.is_empty();
        let (mut interrupted, mut unsent) = (Vec::new(), Vec::new());
        worker.running.retain(|_, running| {
            if lost(running.connection) {
                let attempts = if running.written { &mut interrupted } else { &mut unsent };
                attempts.extend(running.attempt);
            }
            !lost(running.connection)
        });
        if gone {
            unsent.extend(worker.queued.drain(..).map(|job| job.attempt));
        }
        drop(workers);
        if gone {
            log::info!("faktory: worker {wid} disconnected");
            self.report_worker(wid);
        }
        self.end_attempts(interrupted, sr::Outcome::Reset);
        self.end_attempts(unsent, sr::Outcome::ConnectFailed);
    }

    /// Returns the reply to INFO.
    fn info(&self) -> String {
        let workers = self.workers.borrow();
        let worker_infos = workers.iter().map(|(wid, worker)| {
            json!({
                "wid": wid,
                "connections": worker.connections.len(),
                "quiet": worker.quiet,
                "parked": worker.parked.len(),
                "waiting": worker.queued.len(),
                "running": worker.running.len(),
            })
        });
        let tally = self.runtime.tally();
        json!({
            "faktory": {
                "total_enqueued": workers.values().map(|w| w.queued.len()).sum::<usize>(),
                "total_processed": tally.served,
                "total_failures": tally.refused + tally.failed,
                "total_queues": workers.values().flat_map(|w| &w.queues).collect::<HashSet<_>>().len(),
                "workers": worker_infos.collect::<Vec<_>>(),
            },
            "server": {
                "description": "sablerun",
                "faktory_version": env!("CARGO_PKG_VERSION"),
                "connections": self.connections.get(),
                "command_count": self.command_count.get(),
            },
        })
        .to_string()
    }

    /// Returns a value as text whose memory counts against the budget; `None` if there is no memory for it.
    fn held_text(&self, value: &Value) -> Option<Bytes> {
        let mut text = value.to_string().into_bytes();
        text.shrink_to_fit();
        self.memory.try_adopt(text).ok()
    }

    /// Returns a job's queue and frame: the frame as its client pushed it, or one made from the job, if there
    /// is memory for it.
    fn job_frame(&self, id: &str, job: &Job) -> (String, Option<Bytes>) {
        if let (Some(queue), Some(original)) = (&job.queue, &job.original) {
            return (queue.clone(), Some(original.clone()));
        }
        let route = self.config.route.iter().find(|route| route.class == job.class);
        let named = |name: Option<&String>| name.cloned().unwrap_or_else(|| job.class.clone());
        let queue = named(route.and_then(|route| route.queue.as_ref()));
        let names = &self.config.custom;
        let mut custom = json!({"target": job.target});
        let texts = [(&names.class, Some(&job.class)), (&names.member, job.tenant.as_ref())];
        for (name, value) in texts.into_iter().chain([(&names.key, job.key.as_ref())]) {
            custom[name] = json!(value);
        }
        let frame = json!({
            "jid": id,
            "queue": queue,
            "jobtype": named(route.and_then(|route| route.jobtype.as_ref())),
            "args": [String::from_utf8_lossy(&job.body)],
            "custom": custom,
        });
        (queue, self.held_text(&frame))
    }
}

impl Link for Faktory {
    fn reaches(&self, runner: &str) -> bool {
        runner.strip_prefix("wid:").is_some_and(|wid| self.workers.borrow().contains_key(wid))
    }

    fn start(&self, attempt: AttemptId, id: Rc<str>, runner: &str, job: Rc<Job>, _: sr::Time) {
        let wid = runner.strip_prefix("wid:").unwrap_or(runner);
        let (queue, frame) = self.job_frame(&id, &job);
        let mut workers = self.workers.borrow_mut();
        let outcome = match workers.get_mut(wid) {
            None => sr::Outcome::ConnectFailed,
            Some(worker) if worker.connections.is_empty() => sr::Outcome::ConnectFailed,
            Some(worker) => {
                // A worker has one attempt of a request at a time, and a cancelled one may still run there.
                let present = worker.running.contains_key(&id) || worker.queued.iter().any(|w| w.jid == id);
                let parked = worker.parked.iter().any(|parked| parked.queues.contains(&queue));
                let room = parked || worker.queued.len() < self.config.queue_per_worker;
                let accepts = !worker.quiet && room && worker.queues.contains(&queue);
                if let Some(frame) = frame.filter(|_| accepts && !present) {
                    worker.queued.push_back(QueuedJob { attempt, jid: id.clone(), queue, frame });
                    drop(workers);
                    self.attempts.borrow_mut().insert(attempt, (wid.to_owned(), id));
                    self.serve_parked_fetches(wid);
                    return;
                }
                sr::Outcome::Full
            }
        };
        let report = workers.get(wid).map(Worker::report);
        drop(workers);
        self.runtime
            .feed(Input::AttemptEnded(attempt, AttemptEnd { report, ..AttemptEnd::without_report(outcome) }));
    }

    fn cancel(&self, attempt: AttemptId) {
        let Some((wid, jid)) = self.attempts.borrow_mut().remove(&attempt) else { return };
        if let Some(worker) = self.workers.borrow_mut().get_mut(&wid) {
            worker.queued.retain(|job| job.attempt != attempt);
            // The protocol can't cancel a fetched job, so its result will be ignored.
            if let Some(running) = worker.running.get_mut(&jid) {
                running.attempt = running.attempt.filter(|current| *current != attempt);
            }
        }
    }

    fn forget(&self, attempt: AttemptId) {
        self.attempts.borrow_mut().remove(&attempt);
    }

    fn probe(&self, runner: &str) {
        // The load is known here, so nothing is sent to the worker.
        let wid = runner.strip_prefix("wid:").unwrap_or(runner);
        let report = self.workers.borrow().get(wid).filter(|w| !w.connections.is_empty()).map(Worker::report);
        self.runtime.feed(Input::Probed { runner: runner.to_owned(), ok: report.is_some(), report });
    }

    fn close_idle(&self, _: &str) {
        // The connections were opened by the workers, which close them too.
    }
}

/// The session of one connection. Dropping it ends the attempts that the connection holds.
struct Session {
    front: Rc<Faktory>,
    number: u64,
    wid: Option<String>,
}

impl Drop for Session {
    fn drop(&mut self) {
        if let Some(wid) = &self.wid {
            self.front.disconnect(wid, Some(self.number));
        }
    }
}

/// Counts an accepted connection until it is dropped.
struct ConnectionCount(Rc<Faktory>);

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
        self.0.runtime.resources.faktory_connections.release_beyond(self.0.connections.get());
        self.0.connection_closed.notify_one();
    }
}

/// Rounds of the password hash.
const PASSWORD_HASH_ROUNDS: u32 = 1735;

/// Returns the hash that proves a password, as the Faktory protocol defines it.
fn password_hash(password: &str, salt: &str, rounds: u32) -> String {
    let mut hash = Sha256::digest(format!("{password}{salt}").as_bytes());
    for _ in 1..rounds {
        hash = Sha256::digest(hash);
    }
    hash.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Whether two texts are equal, in a time that does not depend on where they differ.
fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |differ, (x, y)| differ | (x ^ y)) == 0
}

/// Returns a salt that no other connection gets, from the system's randomness through the standard library.
fn new_salt(connection: u64, runtime: &Runtime) -> u64 {
    use std::hash::{BuildHasher, RandomState};
    RandomState::new().hash_one((connection, runtime.clock.now().0))
}

/// Returns the text of a line without its ending.
fn line_text(line: &Bytes) -> Result<&str, Disconnect> {
    let text = std::str::from_utf8(line);
    text.map(str::trim_end).map_err(|_| Disconnect::WithError("MALFORMED not UTF-8".to_owned()))
}

fn worker_removed() -> String {
    "DENIED this worker was given up: say HELLO again".to_owned()
}

fn printable(text: &str) -> String {
    text.chars().filter(|c| c.is_ascii_graphic()).take(32).collect()
}
