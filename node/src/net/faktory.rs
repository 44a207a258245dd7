//! The second front: the Faktory work protocol, with the dispatcher as the server that clients push
//! to and workers fetch from. It owns the operator's file, the Faktory connections, the workers that
//! came over them and the jobs those hold. It is a front and a link at once: a PUSH becomes a request
//! and its one final answer, and an attempt goes to the worker that the module drew, parked in FETCH
//! or not. It must never choose a worker, repeat a job by itself or hand one out after its worker
//! went quiet; what a worker says of a job already settled changes nothing.

use crate::core::{Answer, Arrival, AttemptEnd, AttemptId, Input, ListedRunner, Source};
use crate::limits::Limits;
use crate::net::runners::result_bytes;
use crate::net::spiffe::{self, Identities, SpiffeId};
use crate::runtime::{ClientGuard, Job, Link, Runtime};
use bytes::{Buf, Bytes, BytesMut};
use sablerun as sr;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::{Notify, oneshot};
use tokio_rustls::TlsAcceptor;

/// The section `faktory` of the operator's file.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaktoryConfig {
    pub listen: SocketAddr,
    /// No TLS and no identities; said so on purpose.
    #[serde(default)]
    pub plaintext: bool,
    /// A file that holds the password of HELLO, if one is asked for.
    pub password_file: Option<PathBuf>,
    /// Whose share counts where neither identity nor route says it.
    pub member: Option<String>,
    /// Where workers stand and of what machine kind they are, unless their identity says it.
    pub zone: Option<String>,
    pub kind: Option<String>,
    #[serde(default = "default_fetch_wait")]
    pub fetch_wait_ms: u64,
    #[serde(default = "default_beat_limit")]
    pub beat_limit_s: f64,
    /// Jobs that may wait for a worker's next FETCH.
    #[serde(default = "default_queue")]
    pub queue_per_worker: usize,
    pub tls: Option<spiffe::Files>,
    #[serde(default)]
    pub identity: Vec<Identity>,
    #[serde(default)]
    pub route: Vec<Route>,
    #[serde(default)]
    pub custom: Custom,
}

fn default_fetch_wait() -> u64 {
    2000
}

fn default_beat_limit() -> f64 {
    60.0
}

fn default_queue() -> usize {
    8
}

/// What an identity may do, and for whom.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// A SPIFFE ID, or the start of some followed by `/*`.
    pub id: String,
    pub role: Role,
    pub member: Option<String>,
    pub zone: Option<String>,
    pub kind: Option<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    Client,
    Worker,
    Both,
}

/// What a queue's or job type's jobs are to the dispatcher; the first that matches counts.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    pub queue: Option<String>,
    pub jobtype: Option<String>,
    pub class: String,
    pub member: Option<String>,
    /// The client's patience; the class's if it is left out.
    pub deadline_ms: Option<u64>,
    /// Path under which runners of the platform get the job.
    #[serde(default = "default_target")]
    pub target: String,
}

fn default_target() -> String {
    "/api".to_owned()
}

/// The keys of a job's `custom` that count.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Custom {
    pub class: String,
    pub member: String,
    pub timeout_ms: String,
    pub cost_us: String,
    pub slots: String,
    pub key: String,
    /// True where the client's own later try is marked.
    pub retry: String,
}

impl Default for Custom {
    fn default() -> Custom {
        let name = str::to_owned;
        Custom {
            class: name("class"),
            member: name("member"),
            timeout_ms: name("timeout_ms"),
            cost_us: name("cost_us"),
            slots: name("slots"),
            key: name("key"),
            retry: name("retry"),
        }
    }
}

impl FaktoryConfig {
    /// Whether the file makes sense with these settings.
    ///
    /// # Errors
    ///
    /// Names the key at fault.
    pub fn check(&self, tables: &sablerun_settings::Tables) -> Result<(), String> {
        let known = |what: &sablerun_settings::NameTable, name: &Option<String>, key: &str| match name {
            Some(name) if what.get(name).is_none() => Err(format!("{key}: {name:?} is not in the settings")),
            _ => Ok(()),
        };
        if self.plaintext == self.tls.is_some() {
            return Err("plaintext: either it is true or there is a section tls".to_owned());
        }
        if self.plaintext != self.identity.is_empty() {
            return Err("identity: there must be some with tls, and none in plaintext".to_owned());
        }
        if self.fetch_wait_ms == 0 || self.fetch_wait_ms > 60_000 {
            return Err("fetch_wait_ms: from 1 to 60000".to_owned());
        }
        if !(0.1..=86_400.0).contains(&self.beat_limit_s) {
            return Err("beat_limit_s: from 0.1 to 86400".to_owned());
        }
        if self.tls.as_ref().is_some_and(|tls| !(0.05..=86_400.0).contains(&tls.reload_s)) {
            return Err("tls.reload_s: from 0.05 to 86400".to_owned());
        }
        known(&tables.tenants, &self.member, "member")?;
        known(&tables.zones, &self.zone, "zone")?;
        known(&tables.kinds, &self.kind, "kind")?;
        for identity in &self.identity {
            let id = identity.id.strip_suffix("/*").unwrap_or(&identity.id);
            SpiffeId::parse(id).map_err(|e| format!("identity.id: {e}"))?;
            known(&tables.tenants, &identity.member, "identity.member")?;
            known(&tables.zones, &identity.zone, "identity.zone")?;
            known(&tables.kinds, &identity.kind, "identity.kind")?;
        }
        if self.route.is_empty() {
            return Err("route: there is none".to_owned());
        }
        for route in &self.route {
            known(&tables.classes, &Some(route.class.clone()), "route.class")?;
            known(&tables.tenants, &route.member, "route.member")?;
            if !route.target.starts_with('/') {
                return Err("route.target: must begin with /".to_owned());
            }
        }
        Ok(())
    }
}

/// Who is at the other end of a connection, and what that allows.
#[derive(Clone)]
pub struct Peer {
    name: String,
    client: bool,
    worker: bool,
    member: Option<String>,
    zone: Option<String>,
    kind: Option<String>,
}

/// A job that waits for its worker's next FETCH.
struct Waiting {
    attempt: AttemptId,
    jid: Rc<str>,
    queue: String,
    frame: Bytes,
}

/// A job that a worker has been given.
struct Running {
    /// `None` once it was given up: the worker may go on, but nobody waits.
    attempt: Option<AttemptId>,
    connection: u64,
    /// It went out whole on its connection.
    written: bool,
    since: Instant,
}

/// A job on its way to a connection.
struct Handed {
    jid: Rc<str>,
    frame: Bytes,
}

/// A FETCH that waits for a job: a free slot.
struct Parked {
    connection: u64,
    queues: Vec<String>,
    hand_over: oneshot::Sender<Handed>,
}

/// A worker process, by its wid.
struct Worker {
    peer: String,
    zone: String,
    kind: String,
    since: sr::Time,
    /// Its connections, by number: one of a process of that wid given up before is not among them.
    connections: HashSet<u64>,
    beat: Instant,
    quiet: bool,
    queues: HashSet<String>,
    parked: VecDeque<Parked>,
    waiting: VecDeque<Waiting>,
    running: HashMap<Rc<str>, Running>,
    /// Service time of late, in seconds.
    latency: Option<f64>,
}

impl Worker {
    fn report(&self) -> sr::Report {
        sr::Report {
            inflight: Some((self.running.len() + self.waiting.len()) as f64),
            latency: self.latency.map(sr::Span::from_secs),
            free_slots: Some(self.parked.len() as f64),
            ..sr::Report::default()
        }
    }
}

/// The front.
pub struct Faktory {
    runtime: Rc<Runtime>,
    gateway: FaktoryConfig,
    password: Option<String>,
    identities: Option<Arc<Identities>>,
    workers: RefCell<HashMap<String, Worker>>,
    attempts: RefCell<HashMap<AttemptId, (String, Rc<str>)>>,
    connections: Cell<usize>,
    closed: Notify,
    numbers: Cell<u64>,
    commands: Cell<u64>,
}

/// Wids live in a name space of their own beside discovery's hosts.
fn runner_name(wid: &str) -> String {
    format!("wid:{wid}")
}

/// The front's own end of a conversation: close the connection, with or without a last word.
enum End {
    Closed,
    Say(String),
}

impl From<io::Error> for End {
    fn from(_: io::Error) -> End {
        End::Closed
    }
}

impl Faktory {
    /// The front that an operator's file sets up; reads the files it names.
    ///
    /// # Errors
    ///
    /// Names the key at fault.
    pub fn new(runtime: &Rc<Runtime>, gateway: FaktoryConfig) -> Result<Rc<Faktory>, String> {
        let read = |path: &PathBuf| {
            let text = std::fs::read_to_string(path);
            text.map_err(|e| format!("password_file: {}: {e}", path.display()))
        };
        let password = gateway.password_file.as_ref().map(read).transpose()?;
        let identities = gateway.tls.clone().map(Identities::load).transpose()?;
        Ok(Rc::new(Faktory {
            runtime: runtime.clone(),
            gateway,
            password: password.map(|text| text.trim().to_owned()),
            identities,
            workers: RefCell::default(),
            attempts: RefCell::default(),
            connections: Cell::new(0),
            closed: Notify::new(),
            numbers: Cell::new(0),
            commands: Cell::new(0),
        }))
    }

    /// Accepts connections; never ends.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let acceptor = match self.identities.as_ref().map(Identities::server_config).transpose() {
            Ok(config) => config.map(TlsAcceptor::from),
            Err(e) => return log::error!("tls: {e}"),
        };
        loop {
            while self.connections.get() >= self.runtime.limits.max_faktory_connections {
                self.closed.notified().await;
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
                let _closed = Counted(front.clone());
                match acceptor {
                    None => front.clone().serve_connection(stream, front.plaintext_peer(from)).await,
                    Some(acceptor) => {
                        let shaken =
                            tokio::time::timeout(front.runtime.limits.head_timeout, acceptor.accept(stream));
                        match shaken.await {
                            Ok(Ok(stream)) => match front.tls_peer(stream.get_ref().1) {
                                Ok(peer) => front.serve_connection(stream, peer).await,
                                Err(why) => log::warn!("faktory: peer at {from} refused: {why}"),
                            },
                            Ok(Err(e)) => log::warn!("faktory: no TLS with {from}: {e}"),
                            Err(_) => log::warn!("faktory: no TLS with {from}: too slow"),
                        }
                    }
                }
            });
        }
    }

    /// Looks after what time alone brings about: workers without beats, files that rotated.
    pub async fn run_maintenance(self: Rc<Self>) {
        let limit = Duration::from_secs_f64(self.gateway.beat_limit_s);
        let reload = self.gateway.tls.as_ref().map_or(f64::MAX, |tls| tls.reload_s);
        let sweep = self.runtime.limits.sweep_interval.as_secs_f64();
        let pause = (limit.as_secs_f64() / 10.0).min(sweep).min(reload);
        let mut looked = Instant::now();
        loop {
            tokio::time::sleep(Duration::from_secs_f64(pause)).await;
            let silent = |worker: &Worker| worker.beat.elapsed() > limit;
            let workers = self.workers.borrow();
            let gone: Vec<_> =
                workers.iter().filter(|(_, w)| silent(w)).map(|(wid, _)| wid.clone()).collect();
            drop(workers);
            // A job that nobody waits for is kept in mind only while its worker may rightly run it.
            let old = |job: &Running| {
                job.attempt.is_none() && job.since.elapsed() > self.runtime.limits.orphan_timeout
            };
            let mut workers = self.workers.borrow_mut();
            workers.values_mut().for_each(|worker| worker.running.retain(|_, job| !old(job)));
            drop(workers);
            for wid in gone {
                log::warn!("faktory: worker {wid} has missed its beats: gone");
                self.lose(&wid, None);
                self.workers.borrow_mut().remove(&wid);
            }
            if looked.elapsed().as_secs_f64() >= reload {
                looked = Instant::now();
                self.reload();
            }
        }
    }

    /// Reads SVID and bundles anew if their files changed.
    pub fn reload(&self) {
        match self.identities.as_ref().map(|identities| identities.reload()) {
            Some(Ok(true)) => log::info!("faktory: SVID and bundles reloaded"),
            Some(Err(e)) => log::error!("faktory: SVID and bundles not reloaded, the old ones stay: {e}"),
            Some(Ok(false)) | None => {}
        }
    }

    pub fn plaintext_peer(&self, from: SocketAddr) -> Peer {
        let name = from.ip().to_string();
        Peer { name, client: true, worker: true, member: None, zone: None, kind: None }
    }

    fn tls_peer(&self, tls: &rustls::ServerConnection) -> Result<Peer, String> {
        let leaf = tls.peer_certificates().and_then(|chain| chain.first()).ok_or("no certificate")?;
        let id = spiffe::id_of(leaf)?;
        let rule = self.gateway.identity.iter().find(|rule| match rule.id.strip_suffix("/*") {
            Some(start) => id.as_str().strip_prefix(start).is_some_and(|rest| rest.starts_with('/')),
            None => rule.id == id.as_str(),
        });
        let rule = rule.ok_or_else(|| format!("{} is in no identity of the file", id.as_str()))?;
        Ok(Peer {
            name: id.as_str().to_owned(),
            client: rule.role != Role::Worker,
            worker: rule.role != Role::Client,
            member: rule.member.clone(),
            zone: rule.zone.clone(),
            kind: rule.kind.clone(),
        })
    }

    // ---- conversations ----

    pub async fn serve_connection<S: AsyncRead + AsyncWrite + Unpin>(self: Rc<Self>, stream: S, peer: Peer) {
        self.numbers.set(self.numbers.get() + 1);
        let number = self.numbers.get();
        let Limits { max_frame_bytes: most, body_timeout: pace, .. } = self.runtime.limits;
        let mut wire = Wire { stream, buffer: BytesMut::new(), most, pace };
        let mut session = Session { front: self.clone(), number, wid: None };
        let ended = self.hello(&mut wire, &peer, &mut session).await;
        let ended = match ended {
            Ok(()) => self.commands(&mut wire, &peer, &session).await,
            Err(end) => Err(end),
        };
        // Whatever this connection was given and did not finish ends before its last word is written.
        drop(session);
        if let Err(End::Say(word)) = ended {
            let last = format!("-ERR {word}\r\n");
            let _ = tokio::time::timeout(self.runtime.limits.head_timeout, wire.say(&last)).await;
            log::info!("faktory: connection of {} closed: {word}", peer.name);
            // Guards against a reset by what is unread, which may destroy the last word on its way.
            let _ = tokio::time::timeout(self.runtime.limits.linger_timeout, wire.read_on()).await;
        }
    }

    async fn hello<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        wire: &mut Wire<S>,
        peer: &Peer,
        session: &mut Session,
    ) -> Result<(), End> {
        let salt = format!("{:016x}", salt(session.number, &self.runtime));
        let greeting = match &self.password {
            Some(_) => json!({"v": 2, "i": HASHES, "s": salt}),
            None => json!({"v": 2}),
        };
        wire.say(&format!("+HI {greeting}\r\n")).await?;
        let line = tokio::time::timeout(self.runtime.limits.head_timeout, wire.line()).await;
        let line = line.map_err(|_| End::Say("MALFORMED no HELLO in time".to_owned()))??;
        let malformed = |what: &str| End::Say(format!("MALFORMED HELLO: {what}"));
        let hello = line.strip_prefix("HELLO ").ok_or_else(|| malformed("it comes first"))?;
        let hello: Value = serde_json::from_str(hello).map_err(|_| malformed("no JSON object"))?;
        if hello["v"].as_u64() != Some(2) {
            return Err(malformed("the version spoken here is 2"));
        }
        if let Some(password) = &self.password {
            let told = hello["pwdhash"].as_str().unwrap_or("");
            if !same(told.as_bytes(), password_hash(password, &salt, HASHES).as_bytes()) {
                log::warn!("faktory: {} gave a wrong password", peer.name);
                return Err(End::Say("DENIED invalid password".to_owned()));
            }
        }
        match &hello["wid"] {
            Value::Null => {}
            Value::String(wid) if !wid.is_empty() && wid.len() <= 128 && wid.is_ascii() => {
                self.join(wid, peer, session.number)?;
                session.wid = Some(wid.clone());
            }
            _ => return Err(malformed("wid")),
        }
        Ok(wire.say("+OK\r\n").await?)
    }

    /// A worker's connection has said who it is.
    fn join(&self, wid: &str, peer: &Peer, connection: u64) -> Result<(), End> {
        if !peer.worker {
            log::warn!("faktory: {} came as worker {wid}, but is none", peer.name);
            return Err(End::Say("DENIED this identity is not a worker's".to_owned()));
        }
        let mut workers = self.workers.borrow_mut();
        if workers.get(wid).is_some_and(|worker| worker.peer != peer.name) {
            log::warn!("faktory: {} came under another's wid {wid}", peer.name);
            return Err(End::Say("DENIED this wid is another's".to_owned()));
        }
        let place = |own: &Option<String>, file: &Option<String>| own.clone().or(file.clone());
        let worker = workers.entry(wid.to_owned()).or_insert_with(|| Worker {
            peer: peer.name.clone(),
            zone: place(&peer.zone, &self.gateway.zone).unwrap_or_default(),
            kind: place(&peer.kind, &self.gateway.kind).unwrap_or_default(),
            // A wid not met before is a process that has just started, and cold.
            since: self.runtime.clock.now(),
            connections: HashSet::new(),
            beat: Instant::now(),
            quiet: false,
            queues: HashSet::new(),
            parked: VecDeque::new(),
            waiting: VecDeque::new(),
            running: HashMap::new(),
            latency: None,
        });
        worker.connections.insert(connection);
        worker.beat = Instant::now();
        let back = worker.connections.len() == 1 && !worker.queues.is_empty();
        drop(workers);
        if back {
            log::info!("faktory: worker {wid} of {} is back", peer.name);
            self.list(wid);
        }
        Ok(())
    }

    /// Tells the core where a worker stands.
    fn list(&self, wid: &str) {
        let workers = self.workers.borrow();
        let Some(worker) = workers.get(wid) else { return };
        let standing = match worker {
            worker if worker.connections.is_empty() => sr::WorkerState::Gone,
            Worker { quiet: true, .. } => sr::WorkerState::Draining,
            _ => sr::WorkerState::Ready,
        };
        let listed = ListedRunner {
            name: runner_name(wid),
            zone: worker.zone.clone(),
            kind: worker.kind.clone(),
            cell: 0,
            state: standing,
            size: 1.0,
            up_since: Some(worker.since),
        };
        drop(workers);
        self.runtime.feed(Input::List(Source::SelfRegistered, sr::ListKind::Delta, vec![listed]));
    }

    async fn commands<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        wire: &mut Wire<S>,
        peer: &Peer,
        session: &Session,
    ) -> Result<(), End> {
        loop {
            let line = wire.line().await?;
            self.commands.set(self.commands.get() + 1);
            let (verb, rest) = line.split_once(' ').unwrap_or((&line, ""));
            let reply = match (verb, &session.wid) {
                ("PUSH", _) if !peer.client => Err("DENIED this identity is not a client's".to_owned()),
                ("PUSH", _) => match self.read_job(rest, peer) {
                    Ok(arrival) => self.push(wire, arrival).await?,
                    Err(what) => Err(format!("MALFORMED PUSH: {what}")),
                },
                ("FETCH", Some(wid)) if !self.holds(wid, session.number) => Err(given_up()),
                ("FETCH", Some(wid)) => {
                    self.fetch(wire, session.number, wid, rest).await?;
                    continue;
                }
                ("ACK" | "FAIL" | "BEAT", Some(wid)) if !self.holds(wid, session.number) => Err(given_up()),
                ("ACK", Some(wid)) => self.settle(wid, rest, sr::Outcome::Ok),
                ("FAIL", Some(wid)) => self.settle(wid, rest, sr::Outcome::Error),
                ("BEAT", Some(wid)) => self.beat(wid, rest),
                ("FETCH" | "ACK" | "FAIL" | "BEAT", None) => {
                    Err(format!("DENIED {verb} is for workers: HELLO gave no wid"))
                }
                ("INFO", _) => {
                    wire.bulk(self.info().as_bytes()).await?;
                    continue;
                }
                ("FLUSH", _) => Err("DENIED FLUSH: jobs that were taken are not dropped here".to_owned()),
                ("END", _) => return Ok(()),
                (verb, _) => Err(format!("UNKNOWN command {}", printable(verb))),
            };
            match reply {
                Ok(()) => wire.say("+OK\r\n").await?,
                Err(word) => wire.say(&format!("-ERR {word}\r\n")).await?,
            }
        }
    }

    // ---- clients ----

    /// A pushed job as the core's request, but for its ticket.
    fn read_job(&self, text: &str, peer: &Peer) -> Result<Arrival<Rc<Job>>, String> {
        let job: Value = serde_json::from_str(text).map_err(|_| "no JSON".to_owned())?;
        let jid = job["jid"].as_str().ok_or("jid is missing")?;
        // It becomes part of a path where a runner of the platform has to give the job up.
        let plain = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
        if jid.len() < 8 || jid.len() > 128 || !jid.bytes().all(plain) {
            return Err("jid is malformed".to_owned());
        }
        let jobtype = job["jobtype"].as_str().filter(|t| !t.is_empty()).ok_or("jobtype is missing")?;
        let args = job["args"].as_array().ok_or("args is no array")?;
        let queue = match &job["queue"] {
            Value::Null => "default",
            queue => queue.as_str().ok_or("queue is malformed")?,
        };
        if !matches!(&job["at"], Value::Null) {
            return Err("at: jobs for later are not taken".to_owned());
        }
        let (names, custom) = (&self.gateway.custom, &job["custom"]);
        let string = |key: &str| match &custom[key] {
            Value::Null => Ok(None),
            value => value.as_str().map(Some).ok_or_else(|| format!("custom.{key} is malformed")),
        };
        let figure = |key: &str| match &custom[key] {
            Value::Null => Ok(None),
            value => {
                let figure = value.as_f64().filter(|x| x.is_finite() && *x >= 0.0);
                figure.map(Some).ok_or_else(|| format!("custom.{key} is malformed"))
            }
        };
        let matches = |want: &Option<String>, is: &str| want.as_deref().is_none_or(|want| want == is);
        let mut routes = self.gateway.route.iter();
        let route = routes.find(|r| matches(&r.queue, queue) && matches(&r.jobtype, jobtype));
        let class_name = match (string(&names.class)?, route) {
            (Some(class), _) => class,
            (None, Some(route)) => &route.class,
            (None, None) => return Err("queue and jobtype match no route".to_owned()),
        };
        let class = self.runtime.with_class(class_name, |number, class| (number, class.deadline));
        let (class, deadline) = class.ok_or("custom names no known class")?;
        // An identity speaks for its member alone; only where nothing says it may the job.
        let settled = peer.member.as_deref().or(route.and_then(|r| r.member.as_deref()));
        let named = string(&names.member)?;
        let member = settled.or(named).or(self.gateway.member.as_deref());
        let tenant = self.runtime.tenant(member);
        let tenant = tenant.map_err(|()| "no known member: neither identity, route nor custom names one")?;
        let patience = match (figure(&names.timeout_ms)?, route.and_then(|r| r.deadline_ms)) {
            (Some(ms), _) => sr::Span::from_secs(ms.min(86_400_000.0) / 1e3),
            (None, Some(ms)) => sr::Span::from_secs(ms as f64 / 1e3),
            (None, None) => deadline,
        };
        let key = string(&names.key)?;
        // It becomes a header where a runner of the platform gets the job.
        let visible = |key: &&str| !key.is_empty() && key.bytes().all(|b| (0x20..0x7f).contains(&b));
        if key.is_some_and(|key| !visible(&key)) {
            return Err(format!("custom.{} must be visible ASCII, and not empty", names.key));
        }
        let job = Job {
            target: route.map_or_else(default_target, |r| r.target.clone()),
            body: Value::from(args.clone()).to_string().into(),
            key: Some(key.unwrap_or(jid).to_owned()),
            content_type: Some("application/json".to_owned()),
            class: class_name.to_owned(),
            tenant: member.map(str::to_owned),
            queue: Some(queue.to_owned()),
            original: Some(Bytes::copy_from_slice(text.as_bytes())),
        };
        Ok(Arrival {
            ticket: crate::core::Ticket(0),
            id: jid.into(),
            class,
            tenant,
            deadline: self.runtime.clock.now() + patience,
            slots: figure(&names.slots)?.unwrap_or(1.0),
            memory: 0.0,
            estimate: sr::Span::from_secs(figure(&names.cost_us)?.unwrap_or(0.0) / 1e6),
            retry: custom[&names.retry].as_bool().unwrap_or(false),
            key: self.runtime.idempotency_key(class, &job),
            job: Rc::new(job),
        })
    }

    /// Hands a job in and waits for its final answer, or for the client to leave.
    async fn push<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        wire: &mut Wire<S>,
        mut arrival: Arrival<Rc<Job>>,
    ) -> Result<Result<(), String>, End> {
        let (ticket, mut answer) = self.runtime.ticket(arrival.class);
        arrival.ticket = ticket;
        let _here = ClientGuard::new(&self.runtime, ticket);
        self.runtime.feed(Input::Arrived(arrival));
        let answer = loop {
            tokio::select! {
                biased;
                answer = &mut answer => break answer,
                more = wire.fill() => more?,
            }
        };
        Ok(match answer {
            Ok(Answer::Served(_)) => Ok(()),
            Ok(Answer::Refused(hold_off)) => Err(format!("REFUSED retry_after={:.3}", hold_off.secs())),
            Ok(Answer::Failed(why)) => Err(format!("FAILED {why}")),
            Ok(Answer::Unfit(why)) => Err(format!("MALFORMED PUSH: {why}")),
            Err(_) => Err("FAILED no answer was made".to_owned()),
        })
    }

    // ---- workers ----

    async fn fetch<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        wire: &mut Wire<S>,
        connection: u64,
        wid: &str,
        queues: &str,
    ) -> Result<(), End> {
        let mut queues: Vec<String> = queues.split_whitespace().map(str::to_owned).collect();
        if queues.is_empty() {
            queues.push("default".to_owned());
        }
        let (hand_over, mut handed) = oneshot::channel();
        self.park(wid, Parked { connection, queues, hand_over });
        let end = tokio::time::Instant::now() + Duration::from_millis(self.gateway.fetch_wait_ms);
        let job = loop {
            tokio::select! {
                biased;
                job = &mut handed => break job.ok(),
                more = wire.fill() => more?,
                () = tokio::time::sleep_until(end) => {
                    if let Some(worker) = self.workers.borrow_mut().get_mut(wid) {
                        worker.parked.retain(|parked| parked.connection != connection);
                    }
                    // Guards against a job handed over at the very end of the wait.
                    break handed.try_recv().ok();
                }
            }
        };
        let Some(Handed { jid, frame }) = job else { return Ok(wire.say("$-1\r\n").await?) };
        wire.bulk(&frame).await?;
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

    /// Whether a connection is one of a worker's that is not given up.
    fn holds(&self, wid: &str, connection: u64) -> bool {
        self.workers.borrow().get(wid).is_some_and(|worker| worker.connections.contains(&connection))
    }

    /// Notes a free slot, and gives it what waits for one.
    fn park(&self, wid: &str, parked: Parked) {
        let mut workers = self.workers.borrow_mut();
        let Some(worker) = workers.get_mut(wid) else { return };
        // Guards against jobs drawn for a worker that has not said yet which queues it takes: it comes
        // to the list with its first FETCH.
        let first = worker.queues.is_empty();
        worker.queues.extend(parked.queues.iter().cloned());
        worker.parked.push_back(parked);
        if first {
            log::info!("faktory: worker {wid} of {} is here", worker.peer);
        }
        drop(workers);
        if first {
            self.list(wid);
        }
        self.serve_parked(wid);
    }

    /// Hands waiting jobs to parked FETCHes that take their queues, each FETCH's first queue first.
    fn serve_parked(&self, wid: &str) {
        let mut workers = self.workers.borrow_mut();
        let Some(worker) = workers.get_mut(wid).filter(|worker| !worker.quiet) else { return };
        let mut at = 0;
        while at < worker.parked.len() {
            let (parked, waiting) = (&worker.parked[at], &worker.waiting);
            let next = parked.queues.iter().find_map(|q| waiting.iter().position(|job| job.queue == *q));
            let Some(next) = next else {
                at += 1;
                continue;
            };
            let Some(parked) = worker.parked.remove(at) else { return };
            let Some(job) = worker.waiting.remove(next) else { return };
            let Waiting { attempt, jid, frame, .. } = job;
            let running = Running {
                attempt: Some(attempt),
                connection: parked.connection,
                written: false,
                since: Instant::now(),
            };
            worker.running.insert(jid.clone(), running);
            crate::metrics::Metrics::add(&self.runtime.metrics.sends);
            // If its connection has just gone, its end tells what becomes of the job.
            let _ = parked.hand_over.send(Handed { jid, frame });
        }
    }

    /// A worker says how a job ended. One that is settled, or not its own, changes nothing.
    fn settle(&self, wid: &str, text: &str, outcome: sr::Outcome) -> Result<(), String> {
        let verb = if outcome == sr::Outcome::Ok { "ACK" } else { "FAIL" };
        let mut told: Value = serde_json::from_str(text).map_err(|_| format!("MALFORMED {verb}: no JSON"))?;
        let jid = told["jid"].as_str().ok_or_else(|| format!("MALFORMED {verb}: jid is missing"))?.to_owned();
        let mut workers = self.workers.borrow_mut();
        let Some(worker) = workers.get_mut(wid) else { return Ok(()) };
        worker.beat = Instant::now();
        let Some(running) = worker.running.remove(jid.as_str()) else {
            log::debug!("faktory: {verb} of {jid} by {wid}, which does not hold it");
            return Ok(());
        };
        let took = running.since.elapsed().as_secs_f64();
        worker.latency = Some(worker.latency.map_or(took, |before| before + 0.5 * (took - before)));
        let report = Some(worker.report());
        drop(workers);
        if let Some(attempt) = running.attempt {
            let result = if outcome == sr::Outcome::Ok { told["result"].take() } else { Value::Null };
            let ending = AttemptEnd { outcome, result: result_bytes(result), report };
            self.runtime.feed(Input::AttemptEnded(attempt, ending));
        }
        Ok(())
    }

    fn beat(&self, wid: &str, text: &str) -> Result<(), String> {
        let beat: Value = serde_json::from_str(text).map_err(|_| "MALFORMED BEAT: no JSON".to_owned())?;
        if beat["wid"].as_str() != Some(wid) {
            return Err("MALFORMED BEAT: wid is not that of HELLO".to_owned());
        }
        let quiet = matches!(beat["current_state"].as_str(), Some("quiet" | "terminate"));
        let mut workers = self.workers.borrow_mut();
        let Some(worker) = workers.get_mut(wid) else { return Err(given_up()) };
        worker.beat = Instant::now();
        if !quiet || worker.quiet {
            return Ok(());
        }
        worker.quiet = true;
        // Handing out what waits here would be new work to a worker that drains.
        let handed_back: Vec<_> = worker.waiting.drain(..).map(|job| job.attempt).collect();
        drop(workers);
        log::info!("faktory: worker {wid} is quiet: it drains");
        self.list(wid);
        self.end(handed_back, sr::Outcome::Full);
        Ok(())
    }

    fn end(&self, attempts: Vec<AttemptId>, outcome: sr::Outcome) {
        for attempt in attempts {
            self.runtime.feed(Input::AttemptEnded(attempt, AttemptEnd::without_report(outcome)));
        }
    }

    /// What a lost connection, or all of a worker's, takes with it.
    fn lose(&self, wid: &str, connection: Option<u64>) {
        let mut workers = self.workers.borrow_mut();
        let Some(worker) = workers.get_mut(wid) else { return };
        // Guards against the late end of a connection of a process of that wid given up before.
        if connection.is_some_and(|connection| !worker.connections.remove(&connection)) {
            return;
        }
        let lost = |of: u64| connection.is_none_or(|connection| connection == of);
        worker.parked.retain(|parked| !lost(parked.connection));
        if connection.is_none() {
            worker.connections.clear();
        }
        let gone = worker.connections.is_empty();
        let (mut broken, mut unsent) = (Vec::new(), Vec::new());
        worker.running.retain(|_, running| {
            if lost(running.connection) {
                let list = if running.written { &mut broken } else { &mut unsent };
                list.extend(running.attempt);
            }
            !lost(running.connection)
        });
        if gone {
            unsent.extend(worker.waiting.drain(..).map(|job| job.attempt));
        }
        drop(workers);
        if gone {
            log::info!("faktory: worker {wid} has no connection left");
            self.list(wid);
        }
        self.end(broken, sr::Outcome::Reset);
        self.end(unsent, sr::Outcome::ConnectFailed);
    }

    fn info(&self) -> String {
        let workers = self.workers.borrow();
        let each = workers.iter().map(|(wid, worker)| {
            json!({
                "wid": wid,
                "connections": worker.connections.len(),
                "quiet": worker.quiet,
                "parked": worker.parked.len(),
                "waiting": worker.waiting.len(),
                "running": worker.running.len(),
            })
        });
        let tally = self.runtime.tally();
        json!({
            "faktory": {
                "total_enqueued": workers.values().map(|w| w.waiting.len()).sum::<usize>(),
                "total_processed": tally.served,
                "total_failures": tally.refused + tally.failed,
                "total_queues": workers.values().flat_map(|w| &w.queues).collect::<HashSet<_>>().len(),
                "workers": each.collect::<Vec<_>>(),
            },
            "server": {
                "description": "sablerun",
                "faktory_version": env!("CARGO_PKG_VERSION"),
                "connections": self.connections.get(),
                "command_count": self.commands.get(),
            },
        })
        .to_string()
    }

    /// The job as a worker gets it: as its client pushed it, or in a frame made for it.
    fn frame(&self, id: &str, job: &Job) -> (String, Bytes) {
        if let (Some(queue), Some(original)) = (&job.queue, &job.original) {
            return (queue.clone(), original.clone());
        }
        let route = self.gateway.route.iter().find(|route| route.class == job.class);
        let named = |name: Option<&String>| name.cloned().unwrap_or_else(|| job.class.clone());
        let queue = named(route.and_then(|route| route.queue.as_ref()));
        let names = &self.gateway.custom;
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
        (queue, frame.to_string().into())
    }
}

impl Link for Faktory {
    fn reaches(&self, runner: &str) -> bool {
        runner.strip_prefix("wid:").is_some_and(|wid| self.workers.borrow().contains_key(wid))
    }

    fn start(&self, attempt: AttemptId, id: Rc<str>, runner: &str, job: Rc<Job>, _: sr::Time) {
        let wid = runner.strip_prefix("wid:").unwrap_or(runner);
        let (queue, frame) = self.frame(&id, &job);
        let mut workers = self.workers.borrow_mut();
        let outcome = match workers.get_mut(wid) {
            None => sr::Outcome::ConnectFailed,
            Some(worker) if worker.connections.is_empty() => sr::Outcome::ConnectFailed,
            Some(worker) => {
                // One attempt of a request at a time: one given up may still run there.
                let there = worker.running.contains_key(&id) || worker.waiting.iter().any(|w| w.jid == id);
                let parked = worker.parked.iter().any(|parked| parked.queues.contains(&queue));
                let room = parked || worker.waiting.len() < self.gateway.queue_per_worker;
                if worker.quiet || there || !room || !worker.queues.contains(&queue) {
                    sr::Outcome::Full
                } else {
                    worker.waiting.push_back(Waiting { attempt, jid: id.clone(), queue, frame });
                    drop(workers);
                    self.attempts.borrow_mut().insert(attempt, (wid.to_owned(), id));
                    self.serve_parked(wid);
                    return;
                }
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
            worker.waiting.retain(|job| job.attempt != attempt);
            // The protocol has no word to call a fetched job back: its end will be passed over.
            if let Some(running) = worker.running.get_mut(&jid) {
                running.attempt = running.attempt.filter(|held| *held != attempt);
            }
        }
    }

    fn forget(&self, attempt: AttemptId) {
        self.attempts.borrow_mut().remove(&attempt);
    }

    fn probe(&self, runner: &str) {
        // What a probe would ask for is known here already.
        let wid = runner.strip_prefix("wid:").unwrap_or(runner);
        let report = self.workers.borrow().get(wid).filter(|w| !w.connections.is_empty()).map(Worker::report);
        self.runtime.feed(Input::Probed { runner: runner.to_owned(), ok: report.is_some(), report });
    }

    fn close_idle(&self, _: &str) {
        // Connections are the workers' own.
    }
}

/// One conversation; its end takes with it what its connection held.
struct Session {
    front: Rc<Faktory>,
    number: u64,
    wid: Option<String>,
}

impl Drop for Session {
    fn drop(&mut self) {
        if let Some(wid) = &self.wid {
            self.front.lose(wid, Some(self.number));
        }
    }
}

/// An accepted connection, counted.
struct Counted(Rc<Faktory>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
        self.0.closed.notify_one();
    }
}

/// Lines in, replies out.
struct Wire<S> {
    stream: S,
    buffer: BytesMut,
    most: usize,
    /// Time for a frame, from its first byte on.
    pace: Duration,
}

impl<S: AsyncRead + AsyncWrite + Unpin> Wire<S> {
    /// Reads more; an end of the stream, or more than one frame can be, ends the conversation.
    async fn fill(&mut self) -> Result<(), End> {
        if self.buffer.len() > self.most {
            return Err(End::Say(format!("MALFORMED a frame is longer than {} bytes", self.most)));
        }
        match self.stream.read_buf(&mut self.buffer).await? {
            0 => Err(End::Closed),
            _ => Ok(()),
        }
    }

    /// The next frame. A peer may rest between two, but not in the midst of one.
    async fn line(&mut self) -> Result<String, End> {
        if self.buffer.is_empty() {
            self.fill().await?;
        }
        let late = End::Say("MALFORMED a frame is too slow".to_owned());
        tokio::time::timeout(self.pace, self.rest_of_line()).await.unwrap_or(Err(late))
    }

    /// Ends the writing and reads on to the peer's end.
    async fn read_on(&mut self) -> io::Result<()> {
        self.stream.shutdown().await?;
        loop {
            self.buffer.clear();
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Ok(());
            }
        }
    }

    async fn rest_of_line(&mut self) -> Result<String, End> {
        let mut searched = 0;
        loop {
            if let Some(at) = self.buffer[searched..].iter().position(|&b| b == b'\n') {
                if searched + at > self.most {
                    return Err(End::Say(format!("MALFORMED a frame is longer than {} bytes", self.most)));
                }
                let line = self.buffer.split_to(searched + at);
                self.buffer.advance(1);
                let line = line.strip_suffix(b"\r").unwrap_or(&line);
                let line =
                    std::str::from_utf8(line).map_err(|_| End::Say("MALFORMED not UTF-8".to_owned()))?;
                return Ok(line.trim_end().to_owned());
            }
            searched = self.buffer.len();
            self.fill().await?;
        }
    }

    async fn say(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes()).await?;
        self.stream.flush().await
    }

    async fn bulk(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut frame = BytesMut::with_capacity(bytes.len() + 16);
        frame.extend_from_slice(format!("${}\r\n", bytes.len()).as_bytes());
        frame.extend_from_slice(bytes);
        frame.extend_from_slice(b"\r\n");
        self.stream.write_all(&frame).await?;
        self.stream.flush().await
    }
}

/// Rounds of the password's hash.
const HASHES: u32 = 1735;

/// The hash that proves a password, after the protocol's page.
fn password_hash(password: &str, salt: &str, rounds: u32) -> String {
    let mut hash = Sha256::digest(format!("{password}{salt}").as_bytes());
    for _ in 1..rounds {
        hash = Sha256::digest(hash);
    }
    hash.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Whether two texts are the same, in a time that does not tell where they differ.
fn same(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |differ, (x, y)| differ | (x ^ y)) == 0
}

/// A salt that no other connection gets: the system's randomness, as the standard library hands it out.
fn salt(number: u64, runtime: &Runtime) -> u64 {
    use std::hash::{BuildHasher, RandomState};
    RandomState::new().hash_one((number, runtime.clock.now().0))
}

fn given_up() -> String {
    "DENIED this worker was given up: say HELLO again".to_owned()
}

fn printable(text: &str) -> String {
    text.chars().filter(|c| c.is_ascii_graphic()).take(32).collect()
}
