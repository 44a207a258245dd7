//! The link to the platform's runners: attempts, the giving up of attempts, probes, and the pool of
//! connections below them. It owns what is on the wire for each attempt and every connection to a
//! runner, and says of each attempt once how it ended. It must never send one again by itself, have
//! two attempts of a request at one runner, or call an attempt unsent whose last byte was written.

use crate::core::{AttemptId, Ending, Input};
use crate::limits::Limits;
use crate::runtime::{Job, Link, Runtime};
use actix_codec::{AsyncRead, AsyncWrite, ReadBuf};
use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_tls::connect::{ConnectError as TcpError, ConnectInfo, Connection};
use awc::error::{ConnectError, SendRequestError};
use awc::http::{StatusCode, Uri, header::HeaderMap};
use awc::{Client, Connector};
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use sablerun as sr;
use sablerun_settings::Tables;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::task::AbortHandle;

/// An attempt that is out.
struct Out {
    id: Rc<str>,
    runner: String,
    /// The runner has answered 202: giving up takes a call of its own.
    taken: Rc<Cell<bool>>,
    task: AbortHandle,
}

/// What a runner says to an attempt.
enum Answered {
    Taken,
    /// The request itself is at fault.
    Unusable,
    Ended(Ending),
}

/// A job, by its id, at a runner, by its name.
type JobAt = (Rc<str>, String);

/// The link.
pub struct Runners {
    runtime: Weak<Runtime>,
    client: Client,
    pool: Pool,
    addresses: RefCell<HashMap<String, SocketAddr>>,
    out: RefCell<HashMap<AttemptId, Out>>,
    /// Jobs being given up, by id and runner: a further attempt there waits for the end of that.
    given_up: RefCell<HashMap<JobAt, Rc<Notify>>>,
    this: Weak<Runners>,
}

impl Runners {
    pub fn new(runtime: &Rc<Runtime>) -> Rc<Runners> {
        let pool = Pool::new(&runtime.limits);
        let client = pool.client(&runtime.limits);
        let sweep = pool.clone();
        let pause = runtime.limits.sweep;
        actix_rt::spawn(async move {
            loop {
                tokio::time::sleep(pause).await;
                sweep.close_idle(sweep.idle, |_| true);
            }
        });
        Rc::new_cyclic(|this| Runners {
            runtime: Rc::downgrade(runtime),
            client,
            pool,
            addresses: RefCell::default(),
            out: RefCell::default(),
            given_up: RefCell::default(),
            this: this.clone(),
        })
    }

    /// Notes where a runner listens.
    pub fn address(&self, runner: &str, at: SocketAddr) {
        let before = self.addresses.borrow_mut().insert(runner.to_owned(), at);
        if let Some(before) = before.filter(|before| *before != at) {
            self.pool.close_idle(Duration::ZERO, |address| address == before);
        }
    }

    /// Makes one attempt: what the runner answers, if only that it has taken it.
    async fn attempt(&self, at: SocketAddr, id: &str, job: &Job, wait: Duration) -> Answered {
        let mut request = self
            .client
            .post(format!("http://{at}{}", job.target))
            .address(at)
            .no_decompress()
            .insert_header(("X-Request-ID", id))
            .insert_header(("X-Timeout", format!("{}m", wait.as_millis())))
            .insert_header(("X-Priority-Class", job.class.as_str()));
        if let Some(tenant) = &job.tenant {
            request = request.insert_header(("X-Tenant-Id", tenant.as_str()));
        }
        if let Some(key) = &job.key {
            request = request.insert_header(("Idempotency-Key", key.as_str()));
        }
        if let Some(kind) = &job.content_type {
            request = request.insert_header(("Content-Type", kind.as_str()));
        }
        let mut response = match request.send_body(job.body.clone()).await {
            Ok(response) => response,
            Err(e) => {
                log::debug!("attempt {id} at {at}: {e}");
                return Answered::Ended(Ending::bare(unanswered(&e)));
            }
        };
        let (status, report) = (response.status(), self.header_report(response.headers()));
        let turned_away = response.headers().get("X-Not-Processed").is_some_and(|v| v.as_bytes() == b"1");
        let ended = |outcome| Answered::Ended(Ending { outcome, result: Bytes::new(), report });
        let answered = match status {
            StatusCode::ACCEPTED => Answered::Taken,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away => {
                ended(sr::Outcome::Full)
            }
            StatusCode::INTERNAL_SERVER_ERROR => ended(sr::Outcome::Error),
            StatusCode::BAD_REQUEST => {
                log::info!("runner at {at} can't use request {id}");
                Answered::Unusable
            }
            other => {
                log::warn!("runner at {at} answered {other} to attempt {id}: taken for an error");
                ended(sr::Outcome::Error)
            }
        };
        // What a body holds is of no use, but unread it would cost the connection.
        if let Some(runtime) = self.runtime.upgrade() {
            let (wait, most) = (runtime.limits.give_up, runtime.limits.body);
            actix_rt::spawn(async move {
                let _ = tokio::time::timeout(wait, response.body().limit(most)).await;
            });
        }
        answered
    }

    fn header_report(&self, headers: &HeaderMap) -> Option<sr::Report> {
        let text = headers.get("X-Server-Load")?.to_str().ok()?;
        self.runtime.upgrade()?.with_tables(|tables| load_text(tables, text))
    }

    async fn probed(&self, at: SocketAddr) -> Option<Option<sr::Report>> {
        let request = self.client.get(format!("http://{at}/metrics/load")).address(at).no_decompress();
        let mut response = request.send().await.ok()?;
        let head = self.header_report(response.headers());
        let runtime = self.runtime.upgrade()?;
        let body = response.body().limit(runtime.limits.body).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        log::trace!("probe at {at}: {}", String::from_utf8_lossy(&body));
        Some(head.or_else(|| runtime.with_tables(|tables| load_body(tables, &body))))
    }

    /// Lets a runner know that a job is given up, and those who wait for it that it does.
    fn withdraw(&self, id: Rc<str>, runner: String) {
        let Some(&at) = self.addresses.borrow().get(&runner) else { return };
        let (Some(this), Some(runtime)) = (self.this.upgrade(), self.runtime.upgrade()) else { return };
        let key = (id, runner);
        let done = Rc::new(Notify::new());
        self.given_up.borrow_mut().insert(key.clone(), done.clone());
        actix_rt::spawn(async move {
            let url = format!("http://{at}/jobs/{}", key.0);
            let call = async {
                let mut response = this.client.delete(url).address(at).no_decompress().send().await.ok()?;
                response.body().limit(runtime.limits.body).await.ok()
            };
            if !matches!(tokio::time::timeout(runtime.limits.give_up, call).await, Ok(Some(_))) {
                log::debug!("runner {} did not confirm that it gives {} up", key.1, key.0);
            }
            this.given_up.borrow_mut().remove(&key);
            done.notify_waiters();
        });
    }
}

impl Link for Runners {
    fn leads_to(&self, runner: &str) -> bool {
        self.addresses.borrow().contains_key(runner)
    }

    fn start(&self, attempt: AttemptId, id: Rc<str>, runner: &str, job: Rc<Job>, deadline: sr::Time) {
        let (Some(this), Some(runtime)) = (self.this.upgrade(), self.runtime.upgrade()) else { return };
        let Some(&at) = self.addresses.borrow().get(runner) else { return };
        let taken = Rc::new(Cell::new(false));
        let (key, took) = ((id.clone(), runner.to_owned()), taken.clone());
        let task = actix_rt::spawn(async move {
            loop {
                let giving_up = this.given_up.borrow().get(&key).cloned();
                let Some(giving_up) = giving_up else { break };
                giving_up.notified().await;
            }
            let wait = Duration::from_nanos((deadline - runtime.clock.now()).0);
            let answered = this.attempt(at, &key.0, &job, wait).await;
            // Written whole unless it never got that far.
            if !matches!(&answered, Answered::Ended(e) if e.outcome == sr::Outcome::ConnectFailed) {
                crate::figures::Figures::add(&runtime.figures.sends);
            }
            match answered {
                Answered::Taken => {
                    log::debug!("runner {} took {}", key.1, key.0);
                    took.set(true);
                }
                Answered::Unusable => runtime.feed(Input::Unusable(attempt)),
                Answered::Ended(ending) => runtime.feed(Input::Ended(attempt, ending)),
            }
        });
        let out = Out { id, runner: runner.to_owned(), taken, task: task.abort_handle() };
        self.out.borrow_mut().insert(attempt, out);
    }

    fn give_up(&self, attempt: AttemptId) {
        let Some(out) = self.out.borrow_mut().remove(&attempt) else { return };
        if out.taken.get() {
            self.withdraw(out.id, out.runner);
        } else {
            // Before the 202 the end of the connection says it.
            out.task.abort();
        }
    }

    fn over(&self, attempt: AttemptId) {
        // A call-back may come before the 202: the task that reads it ends by itself.
        self.out.borrow_mut().remove(&attempt);
    }

    fn probe(&self, runner: &str) {
        let (Some(this), Some(runtime)) = (self.this.upgrade(), self.runtime.upgrade()) else { return };
        let Some(&at) = self.addresses.borrow().get(runner) else { return };
        let runner = runner.to_owned();
        actix_rt::spawn(async move {
            let probed = tokio::time::timeout(runtime.limits.probe, this.probed(at)).await.ok().flatten();
            runtime.feed(Input::Probed { runner, ok: probed.is_some(), report: probed.flatten() });
        });
    }

    fn release(&self, runner: &str) {
        if let Some(&at) = self.addresses.borrow().get(runner) {
            self.pool.close_idle(Duration::ZERO, |address| address == at);
        }
    }
}

/// The outcome of an attempt that got no answer. Only what failed before the request's last byte was
/// written proves that it never ran. Guards against awc's word for a connection that ended while the
/// answer was awaited: it is a `Connect` error too.
fn unanswered(error: &SendRequestError) -> sr::Outcome {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => sr::Outcome::Reset,
        SendRequestError::Connect(_) | SendRequestError::Send(_) | SendRequestError::Url(_) => {
            sr::Outcome::ConnectFailed
        }
        _ => sr::Outcome::Reset,
    }
}

/// A load report written as `TEXT name=value, name=value`.
pub fn load_text(tables: &Tables, text: &str) -> Option<sr::Report> {
    let text = text.trim();
    let text = text.strip_prefix("TEXT").unwrap_or(text);
    let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
    let values: Vec<_> = pairs.filter_map(|(n, v)| Some((n.trim(), v.trim().parse().ok()?))).collect();
    (!values.is_empty()).then(|| tables.named_report(values))
}

/// A load report written as an object.
pub fn load_object(tables: &Tables, load: &serde_json::Value) -> Option<sr::Report> {
    let values = load.as_object()?.iter();
    Some(tables.named_report(values.filter_map(|(name, value)| Some((name.as_str(), value.as_f64()?)))))
}

/// A load report in either form.
fn load_body(tables: &Tables, body: &[u8]) -> Option<sr::Report> {
    match serde_json::from_slice(body) {
        Ok(value) => load_object(tables, &value),
        Err(_) => load_text(tables, std::str::from_utf8(body).ok()?),
    }
}

/// A call-back's result as the body of the answer: text as it is, anything else as JSON.
pub fn result_bytes(result: serde_json::Value) -> Bytes {
    match result {
        serde_json::Value::Null => Bytes::new(),
        serde_json::Value::String(text) => Bytes::from(text),
        other => Bytes::from(other.to_string()),
    }
}

// ---- the pool's connections ----

/// What is behind one pooled connection.
struct Wire {
    stream: RefCell<Option<TcpStream>>,
    at: SocketAddr,
    /// Something was written and nothing has been read since.
    awaiting: Cell<bool>,
    touched: Cell<Instant>,
}

/// A connection as awc holds it. awc drops idle ones only when it next wants one to the same place,
/// so the pool can close what is below: awc reads the end of the stream then, and drops its part.
#[derive(Clone)]
pub struct Io(Rc<Wire>);

impl std::fmt::Debug for Io {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "connection to {}", self.0.at)
    }
}

impl Io {
    fn with<T>(&self, closed: T, poll: impl FnOnce(Pin<&mut TcpStream>) -> Poll<T>) -> Poll<T> {
        self.0.touched.set(Instant::now());
        match self.0.stream.borrow_mut().as_mut() {
            Some(stream) => poll(Pin::new(stream)),
            None => Poll::Ready(closed),
        }
    }
}

fn broken() -> io::Error {
    io::ErrorKind::BrokenPipe.into()
}

impl AsyncRead for Io {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = self.with(Ok(()), |stream| stream.poll_read(cx, buf));
        if buf.filled().len() > before {
            self.0.awaiting.set(false);
        }
        polled
    }
}

impl AsyncWrite for Io {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.0.awaiting.set(true);
        self.with(Err(broken()), |stream| stream.poll_write(cx, buf))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with(Err(broken()), |stream| stream.poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.with(Ok(()), |stream| stream.poll_shutdown(cx))
    }
}

impl ActixStream for Io {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.with(Err(broken()), |stream| ActixStream::poll_read_ready(&*stream, cx))
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.with(Err(broken()), |stream| ActixStream::poll_write_ready(&*stream, cx))
    }
}

/// Opens connections within the limit and closes those that have been idle.
#[derive(Clone)]
pub struct Pool {
    wires: Rc<RefCell<Vec<Weak<Wire>>>>,
    most: usize,
    idle: Duration,
    resting: Duration,
}

impl Pool {
    pub fn new(limits: &Limits) -> Pool {
        let Limits { runners: most, idle, resting, .. } = *limits;
        Pool { wires: Rc::default(), most, idle, resting }
    }

    /// A client over this pool that adds nothing by itself: no redirects, time-outs or headers.
    pub fn client(&self, limits: &Limits) -> Client {
        let connector = Connector::new()
            .connector(self.clone())
            .timeout(limits.connect)
            .conn_keep_alive(limits.idle)
            .conn_lifetime(limits.lifetime)
            .limit(limits.runners);
        Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish()
    }

    fn count(&self) -> usize {
        let mut wires = self.wires.borrow_mut();
        wires.retain(|wire| wire.upgrade().is_some_and(|wire| wire.stream.borrow().is_some()));
        wires.len()
    }

    /// Closes connections that have been idle for so long to the addresses chosen.
    fn close_idle(&self, idle: Duration, chosen: impl Fn(SocketAddr) -> bool) {
        let (now, idle) = (Instant::now(), idle.max(self.resting));
        for wire in self.wires.borrow().iter().filter_map(Weak::upgrade) {
            if chosen(wire.at) && !wire.awaiting.get() && now - wire.touched.get() > idle {
                wire.stream.borrow_mut().take();
            }
        }
    }

    /// Makes room for one more; an error if all connections are in use.
    fn make_room(&self) -> io::Result<()> {
        for idle in [self.idle, self.idle / 4, Duration::ZERO] {
            if self.count() < self.most {
                return Ok(());
            }
            self.close_idle(idle, |_| true);
        }
        if self.count() < self.most {
            Ok(())
        } else {
            Err(io::Error::other("too many connections to runners"))
        }
    }
}

impl actix_service::Service<ConnectInfo<Uri>> for Pool {
    type Response = Connection<Uri, Io>;
    type Error = TcpError;
    type Future = LocalBoxFuture<'static, Result<Connection<Uri, Io>, TcpError>>;

    actix_service::always_ready!();

    fn call(&self, info: ConnectInfo<Uri>) -> Self::Future {
        let pool = self.clone();
        Box::pin(async move {
            let at = info.addrs().next().ok_or(TcpError::Unresolved)?;
            pool.make_room().map_err(TcpError::Io)?;
            log::debug!("connection to {at}");
            let stream = TcpStream::connect(at).await.map_err(TcpError::Io)?;
            // The last of several small writes must not wait for the answer to the first.
            stream.set_nodelay(true).map_err(TcpError::Io)?;
            let wire = Rc::new(Wire {
                stream: RefCell::new(Some(stream)),
                at,
                awaiting: Cell::new(true),
                touched: Cell::new(Instant::now()),
            });
            pool.wires.borrow_mut().push(Rc::downgrade(&wire));
            let uri = info.request().clone();
            Ok(Connection::new(uri, Io(wire)))
        })
    }
}
