//! The platform's front: clients' requests, runners' call-backs and the ready check, all on the one
//! address that the dispatcher is given. It owns the listener and the connections accepted there,
//! checks what clients write, how much and how fast, and words the answers. It must never give an
//! answer of its own to a request it has handed to the core, nor keep one back.

use crate::core::{Answer, Arrival, Input};
use crate::figures::Counted;
use crate::limits::Limits;
use crate::net::callbacks::{self, CallBack};
use crate::net::peers::{Handed, Peers};
use crate::runtime::{Here, Job, Runtime};
use actix_codec::{AsyncRead, AsyncWrite, ReadBuf};
use actix_http::header::{self, HeaderMap, HeaderName};
use actix_http::{HttpMessage, HttpService, KeepAlive, Method, Request, Response, StatusCode};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use sablerun as sr;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::Sleep;

/// Binds the dispatcher's address.
pub fn listen(at: SocketAddr, backlog: u32) -> std::io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // Guards against a restart that finds its address held by connections of the one before.
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(backlog)
}

/// What a connection has carried.
#[derive(Clone, Copy, PartialEq)]
enum Carried {
    Nothing,
    Requests,
    CallBacks,
}

/// One accepted connection.
struct Connection {
    /// Requests read from it that have no whole answer yet: one at the most.
    busy: Cell<u32>,
    /// What came over it so far.
    carried: Cell<Carried>,
    /// When it was opened, last read from or last answered.
    touched: Cell<Instant>,
    /// The head that it is in, or waits for.
    scan: Cell<Scan>,
    /// Nothing more is answered on it.
    closing: Cell<bool>,
}

impl Connection {
    /// Who goes first, and among those the one that has rested the longest, where there is no room.
    /// Guards against bad clients that keep others out by silence; could do harm where a usual client's
    /// first request takes longer than `silent`, so nobody is closed sooner, and a runner's last.
    fn rank(&self, limits: &Limits) -> Option<(u8, Instant)> {
        let (touched, rested) = (self.touched.get(), self.touched.get().elapsed());
        let (rank, least) = match self.carried.get() {
            _ if self.busy.get() > 0 => return None,
            _ if self.closing.get() => (0, Duration::ZERO),
            Carried::Nothing => (1, limits.silent),
            Carried::Requests => (2, limits.sweep),
            Carried::CallBacks => (3, limits.sweep),
        };
        (rested > least).then_some((rank, touched))
    }
}

/// The front.
pub struct Front {
    runtime: Rc<Runtime>,
    connections: RefCell<HashMap<u64, (Rc<Connection>, AbortHandle)>>,
    next: Cell<u64>,
    closed: Notify,
    /// Told when no more connections are to be accepted.
    no_more: Notify,
    /// Where call-backs about another process's jobs go, while a process replaces another.
    peers: RefCell<Option<Rc<Peers>>>,
}

impl Front {
    pub fn new(runtime: &Rc<Runtime>) -> Rc<Front> {
        Rc::new(Front {
            runtime: runtime.clone(),
            connections: RefCell::default(),
            next: Cell::new(0),
            closed: Notify::new(),
            no_more: Notify::new(),
            peers: RefCell::default(),
        })
    }

    /// Accepts connections; never ends.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let limits = &self.runtime.limits;
        let front = self.clone();
        let service = HttpService::build()
            .keep_alive(KeepAlive::Timeout(limits.keep_alive))
            // Only a first head's; the stream looks after every head.
            .client_request_timeout(Duration::ZERO)
            // A client that closes its connection while it waits has gone away.
            .h1_allow_half_closed(false)
            .on_connect_ext(|stream: &Guarded, extensions| {
                extensions.insert(stream.connection.clone());
            })
            .h1(fn_service(move |request| front.clone().answer(request)))
            .new_service(())
            .await;
        let Ok(service) = service else { return };
        loop {
            // At the limit the rest waits in the listener's queue, unless somebody can be closed.
            while self.connections.borrow().len() >= limits.clients {
                self.close_one();
                let _ = tokio::time::timeout(limits.accept_pause, self.closed.notified()).await;
            }
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                // The listener goes with this: where it is shared, the others take what comes.
                () = self.no_more.notified() => return,
            };
            let (stream, peer) = match accepted {
                Ok(accepted) => accepted,
                Err(e) => {
                    log::warn!("accept: {e}");
                    tokio::time::sleep(limits.accept_pause).await;
                    continue;
                }
            };
            let connection = Rc::new(Connection {
                busy: Cell::new(0),
                carried: Cell::new(Carried::Nothing),
                touched: Cell::new(Instant::now()),
                scan: Cell::default(),
                closing: Cell::new(false),
            });
            let _ = stream.set_nodelay(true);
            let stream = Guarded::new(stream, connection.clone(), limits);
            let handling = service.call((stream, Some(peer)));
            let number = self.next.get();
            self.next.set(number + 1);
            let front = self.clone();
            let task = actix_rt::spawn(async move {
                let ended = Ended { front, number };
                if let Err(e) = handling.await {
                    log::debug!("connection from {peer}: {e}");
                }
                drop(ended);
            });
            self.connections.borrow_mut().insert(number, (connection, task.abort_handle()));
        }
    }

    /// Accepts no more connections, and lets go of the listener. For a listener that other processes
    /// share: a graceful restart, where the process that replaces this one accepts from now on.
    pub fn stop_accepting(&self) {
        self.no_more.notify_one();
    }

    /// Hands call-backs about jobs that are not known here on to the other processes of this register.
    pub fn hand_on_to(&self, peers: Peers) {
        *self.peers.borrow_mut() = Some(Rc::new(peers));
    }

    /// Nothing is under way here any more: others hand nothing on to this process, which still does.
    pub fn leave_register(&self) {
        if let Some(peers) = &*self.peers.borrow() {
            peers.leave();
        }
    }

    /// Closes the connection that can best be spared, if there is one.
    fn close_one(&self) {
        let connections = self.connections.borrow();
        let spare = connections.values().filter_map(|(c, task)| Some((c.rank(&self.runtime.limits)?, task)));
        if let Some((_, task)) = spare.min_by_key(|(rank, _)| *rank) {
            task.abort();
        }
    }

    /// Closes clients' connections on which no request is under way. Guards against closing one that
    /// carries call-backs, which the jobs under way still need, or one whose first request is on its way.
    pub fn close_idle(&self) {
        for (connection, task) in self.connections.borrow().values() {
            if connection.busy.get() == 0 && connection.carried.get() == Carried::Requests {
                task.abort();
            }
        }
    }

    /// Waits until every connection is closed, `most` at the longest.
    pub async fn drained(&self, most: Duration) {
        let end = tokio::time::Instant::now() + most;
        while !self.connections.borrow().is_empty() {
            if tokio::time::timeout_at(end, self.closed.notified()).await.is_err() {
                break;
            }
        }
    }

    async fn answer(self: Rc<Self>, mut request: Request) -> Result<Response<Bytes>, Infallible> {
        let arrived = self.runtime.clock.now();
        let connection = request.conn_data::<Rc<Connection>>().cloned();
        if let Some(connection) = &connection {
            connection.busy.set(connection.busy.get() + 1);
            let runners = request.path() == "/v1/job-events";
            connection.carried.set(if runners { Carried::CallBacks } else { Carried::Requests });
        }
        let reply = match (request.path(), request.method()) {
            ("/api", &Method::POST) => self.job(arrived, &mut request).await,
            ("/v1/job-events", &Method::POST) => self.call_back(&mut request).await,
            ("/up", &Method::GET) => Reply::new(StatusCode::OK, ""),
            ("/api" | "/v1/job-events", _) => Reply::not_allowed("POST"),
            ("/up", _) => Reply::not_allowed("GET"),
            _ => Reply::new(StatusCode::NOT_FOUND, "no such path"),
        };
        if let Some(connection) = &connection {
            connection.busy.set(connection.busy.get() - 1);
            connection.touched.set(Instant::now());
            connection.scan.set(Scan::default());
        }
        let mut response = Response::build(reply.status);
        if let Some((name, value)) = reply.header {
            response.insert_header((name, value));
        }
        // Near the limit connections are not kept, so that those who wait for one get their turn. Silent
        // ones don't count: they are closed for those who wait, and must not cost clients theirs.
        let used = |(c, _): &&(Rc<Connection>, AbortHandle)| c.carried.get() != Carried::Nothing;
        let crowded =
            self.connections.borrow().values().filter(used).count() * 10 >= self.runtime.limits.clients * 9;
        let to_client = request.path() != "/v1/job-events";
        if reply.close || crowded || to_client && self.runtime.stopping() {
            response.force_close();
        }
        Ok(response.message_body(reply.body).unwrap_or_else(|_| {
            let plain = Response::with_body(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new());
            log::error!("an answer could not be worded");
            plain
        }))
    }

    /// A client's request, from its head to its final answer.
    async fn job(&self, arrived: sr::Time, request: &mut Request) -> Reply {
        let head = match self.read_head(request) {
            Ok(head) => head,
            Err(what) => {
                log::debug!("a request is turned away: {what}");
                self.turned_away(request);
                return Reply::bad(what);
            }
        };
        let body = match self.read_body(request).await {
            Ok(body) => body,
            Err(reply) => {
                self.turned_away(request);
                return reply;
            }
        };
        let content_type = text(request.headers(), &header::CONTENT_TYPE).ok().flatten().map(str::to_owned);
        let target = request.uri().path_and_query().map_or("/api", |target| target.as_str());
        let job = Job {
            target: target.to_owned(),
            body,
            key: head.key,
            content_type,
            class: head.class_name,
            tenant: head.tenant_name,
            queue: None,
            original: None,
        };
        let key = self.runtime.key_of(head.class, &job);
        let (ticket, answer) = self.runtime.ticket(head.class);
        // Dropped with this future when the connection closes before the answer.
        let _here = Here::new(&self.runtime, ticket);
        self.runtime.feed(Input::Arrived(Arrival {
            ticket,
            id: head.id.into(),
            class: head.class,
            tenant: head.tenant,
            deadline: arrived + head.patience,
            slots: head.slots,
            memory: head.memory,
            estimate: head.estimate,
            retry: head.retry,
            key,
            job: Rc::new(job),
        }));
        match answer.await {
            Ok(Answer::Served(result)) => Reply { body: result, ..Reply::new(StatusCode::OK, "") },
            Ok(Answer::Refused(hold_off)) => {
                let mut reply = Reply::new(StatusCode::SERVICE_UNAVAILABLE, "refused: no runner has room");
                if hold_off.0 > 0 {
                    reply.header = Some((header::RETRY_AFTER, format!("{:.3}", hold_off.secs())));
                }
                reply
            }
            Ok(Answer::Failed(why)) => Reply::new(StatusCode::BAD_GATEWAY, why),
            Ok(Answer::Unfit(why)) => Reply::new(StatusCode::UNPROCESSABLE_ENTITY, why),
            Err(_) => Reply::new(StatusCode::INTERNAL_SERVER_ERROR, "no answer was made"),
        }
    }

    /// Counts a job turned away before it was handed in as errored for the class it names, known or not:
    /// operators count a class that clients send before this process knows it. Off the path of the jobs
    /// that are handed in, which the runtime counts.
    fn turned_away(&self, request: &Request) {
        let named = text(request.headers(), &HeaderName::from_static("x-priority-class")).ok().flatten();
        if let Some(class) = named.and_then(|name| self.runtime.figures.class_if_room(name)) {
            class.count(Counted::Errored);
        }
    }

    fn read_head(&self, request: &Request) -> Result<Head, String> {
        let headers = request.headers();
        let optional = |name: &'static str| text(headers, &HeaderName::from_static(name));
        let needed = |name: &'static str| optional(name)?.ok_or_else(|| format!("{name} is missing"));
        let id = needed("x-request-id")?;
        // It becomes part of a path when an attempt is given up.
        let plain = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
        if id.is_empty() || id.len() > 128 || !id.bytes().all(plain) {
            return Err("x-request-id is malformed".to_owned());
        }
        let class_name = needed("x-priority-class")?;
        // Only jobs of a keyed class carry a key: one that must never run twice may come without.
        let known = |number, class: &sr::Class| (number, matches!(class.effect, sr::Effect::Keyed(_)));
        let class = self.runtime.with_class(class_name, known);
        let (class, keyed) = class.ok_or("x-priority-class names no known class")?;
        let tenant_name = optional("x-tenant-id")?;
        let tenant = self.runtime.tenant(tenant_name);
        let tenant = tenant.map_err(|()| "x-tenant-id is missing or names no known tenant")?;
        let key = optional("idempotency-key")?;
        if keyed && key.is_none_or(str::is_empty) {
            return Err("idempotency-key is missing".to_owned());
        }
        let patience = timeout(needed("x-timeout")?).ok_or("x-timeout is malformed")?;
        let cost = optional("x-cost")?.map(|text| number(text).ok_or("x-cost is malformed")).transpose()?;
        let (mut slots, mut memory) = (1.0, 0.0);
        for part in optional("x-attrs")?.unwrap_or("").split(',').filter(|part| !part.trim().is_empty()) {
            let (name, value) = part.split_once('=').ok_or("x-attrs is malformed")?;
            match name.trim() {
                "slots" | "needs" => slots = number(value).ok_or("x-attrs: slots is malformed")?,
                "memory" => memory = number(value).ok_or("x-attrs: memory is malformed")?,
                _ => {}
            }
        }
        Ok(Head {
            id: id.to_owned(),
            class,
            class_name: class_name.to_owned(),
            tenant,
            tenant_name: tenant_name.map(str::to_owned),
            key: key.map(str::to_owned),
            patience,
            slots,
            memory,
            estimate: sr::Span::from_secs(cost.unwrap_or(0.0) / 1e6),
            retry: optional("x-retried")? == Some("1"),
        })
    }

    async fn read_body(&self, request: &mut Request) -> Result<Bytes, Reply> {
        let limits = &self.runtime.limits;
        let told = text(request.headers(), &header::CONTENT_LENGTH).ok().flatten();
        if told.and_then(|length| length.parse::<usize>().ok()).is_some_and(|length| length > limits.body) {
            return Err(Reply::too_large());
        }
        let mut payload = request.take_payload();
        let reading = async {
            let mut body = BytesMut::new();
            while let Some(chunk) = payload.next().await {
                let chunk = chunk.map_err(|e| Reply::bad(format!("body: {e}")))?;
                if body.len() + chunk.len() > limits.body {
                    return Err(Reply::too_large());
                }
                body.extend_from_slice(&chunk);
            }
            Ok(body.freeze())
        };
        let late = Reply { close: true, ..Reply::new(StatusCode::REQUEST_TIMEOUT, "body: too slow") };
        tokio::time::timeout(limits.body_wait, reading).await.unwrap_or(Err(late))
    }

    /// A runner tells what became of a job. Whatever it is about, it hears at once that it arrived.
    async fn call_back(&self, request: &mut Request) -> Reply {
        let body = match self.read_body(request).await {
            Ok(body) => body,
            Err(reply) => return reply,
        };
        let told: CallBack = match serde_json::from_slice(&body) {
            Ok(told) => told,
            Err(e) => {
                log::warn!("call-back that can't be read: {e}");
                return Reply::bad(format!("body: {e}"));
            }
        };
        log::trace!("call-back {}", String::from_utf8_lossy(&body));
        let known = self.runtime.knows(&told.id);
        let peers = self.peers.borrow().clone().filter(|_| !known);
        if let Some(peers) = peers {
            // On one line, as the door takes it: in JSON a line's end is white space only, never in a text.
            let line = String::from_utf8_lossy(&body).replace(['\r', '\n'], " ");
            return match peers.hand_on(&line).await {
                Handed::Taken | Handed::Nowhere => Reply::new(StatusCode::OK, ""),
                Handed::Unreached => {
                    log::warn!(id = told.id.as_str(); "call-back not handed on: the other process is silent");
                    Reply::new(StatusCode::SERVICE_UNAVAILABLE, "not handed on: tell it again")
                }
            };
        }
        callbacks::take(&self.runtime, told);
        Reply::new(StatusCode::OK, "")
    }
}

/// Takes a connection off the table when its task ends, however it ends.
struct Ended {
    front: Rc<Front>,
    number: u64,
}

impl Drop for Ended {
    fn drop(&mut self) {
        self.front.connections.borrow_mut().remove(&self.number);
        self.front.closed.notify_one();
    }
}

/// How far into a head the bytes read so far go.
#[derive(Clone, Copy, Default)]
struct Scan {
    bytes: usize,
    /// Bytes of the line that is not ended yet.
    line: usize,
    /// A line that is not empty has been read: an empty one ends the head.
    begun: bool,
    done: bool,
}

impl Scan {
    fn take(&mut self, read: &[u8]) {
        for &byte in read {
            if self.done {
                return;
            }
            self.bytes += 1;
            match byte {
                b'\n' => {
                    self.done = self.begun && self.line == 0;
                    self.line = 0;
                }
                b'\r' => {}
                _ => (self.begun, self.line) = (true, self.line + 1),
            }
        }
    }
}

/// An accepted stream that keeps to the limits, whatever is sent on it. Guards against what actix-http
/// leaves open: a first head may grow to 128 KiB and a later one take for ever, and closing with bytes
/// unread resets the connection, which may destroy the answer on its way.
struct Guarded {
    stream: TcpStream,
    connection: Rc<Connection>,
    head_bytes: usize,
    head: Duration,
    linger: Duration,
    /// While a head is awaited: until when; while it closes: how long it is read on.
    timer: Option<Pin<Box<Sleep>>>,
    shut: bool,
}

impl Guarded {
    fn new(stream: TcpStream, connection: Rc<Connection>, limits: &Limits) -> Guarded {
        let Limits { head_bytes, head, linger, .. } = *limits;
        Guarded { stream, connection, head_bytes, head, linger, timer: None, shut: false }
    }

    /// Answers in place of actix-http, which waits for the end of a head, and ends the reading.
    fn cut(&mut self, status: &str) -> Poll<io::Result<()>> {
        let answer = format!("HTTP/1.1 {status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        // A peer whose window is full of answers it does not read can do without this one.
        let _ = self.stream.try_write(answer.as_bytes());
        self.connection.closing.set(true);
        Poll::Ready(Ok(()))
    }

    /// Whether the time since the timer was last set is over.
    fn over(&mut self, after: Duration, cx: &mut Context<'_>) -> bool {
        let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep(after)));
        timer.as_mut().poll(cx).is_ready()
    }
}

impl AsyncRead for Guarded {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.connection.closing.get() {
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(cx, buf);
        let answering = this.connection.busy.get() > 0;
        let mut scan = this.connection.scan.get();
        if buf.filled().len() > before {
            this.connection.touched.set(Instant::now());
            if !answering {
                scan.take(&buf.filled()[before..]);
                this.connection.scan.set(scan);
                if !scan.done && scan.bytes > this.head_bytes {
                    buf.set_filled(before);
                    return this.cut("431 Request Header Fields Too Large");
                }
            }
        }
        // Between requests a connection may rest; a head that is begun, or the first, may not.
        let fresh = this.connection.carried.get() == Carried::Nothing;
        if answering || scan.done || !scan.begun && !fresh {
            this.timer = None;
        } else if this.over(this.head, cx) && polled.is_pending() {
            return this.cut("408 Request Timeout");
        }
        polled
    }
}

impl AsyncWrite for Guarded {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    /// Ends the writing, and reads on for a while what the peer still sends.
    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if !std::mem::replace(&mut this.shut, true) {
            this.connection.closing.set(true);
            this.timer = None;
        }
        std::task::ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
        let mut scratch = [0; 16 * 1024];
        // So many reads at a time: others want their turn.
        for _ in 0..16 {
            let mut unread = ReadBuf::new(&mut scratch);
            match Pin::new(&mut this.stream).poll_read(cx, &mut unread) {
                Poll::Ready(Ok(())) if !unread.filled().is_empty() => {}
                Poll::Ready(_) => return Poll::Ready(Ok(())),
                Poll::Pending if this.over(this.linger, cx) => return Poll::Ready(Ok(())),
                Poll::Pending => return Poll::Pending,
            }
        }
        if this.over(this.linger, cx) {
            return Poll::Ready(Ok(()));
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}

/// What a request's head says.
struct Head {
    id: String,
    class: u32,
    class_name: String,
    tenant: Option<u32>,
    tenant_name: Option<String>,
    key: Option<String>,
    patience: sr::Span,
    slots: f64,
    memory: f64,
    estimate: sr::Span,
    retry: bool,
}

/// An answer before it is written.
struct Reply {
    status: StatusCode,
    header: Option<(HeaderName, String)>,
    body: Bytes,
    close: bool,
}

impl Reply {
    fn new(status: StatusCode, body: &'static str) -> Reply {
        Reply { status, header: None, body: Bytes::from_static(body.as_bytes()), close: false }
    }

    fn bad(what: String) -> Reply {
        // Whoever wrote that has nothing to say that would be worth a place.
        Reply { body: what.into(), close: true, ..Reply::new(StatusCode::BAD_REQUEST, "") }
    }

    fn too_large() -> Reply {
        // The rest of the body is not read, so the connection can't be kept.
        Reply { close: true, ..Reply::new(StatusCode::PAYLOAD_TOO_LARGE, "body: too large") }
    }

    fn not_allowed(allowed: &str) -> Reply {
        let header = Some((header::ALLOW, allowed.to_owned()));
        Reply { header, ..Reply::new(StatusCode::METHOD_NOT_ALLOWED, "") }
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, String> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    value.to_str().map(|text| Some(text.trim())).map_err(|_| format!("{name} is malformed"))
}

/// A figure that is neither negative nor senseless.
fn number(text: &str) -> Option<f64> {
    text.trim().parse::<f64>().ok().filter(|x| x.is_finite() && *x >= 0.0)
}

/// A time with its unit: `m` for milliseconds or `u` for microseconds.
fn timeout(text: &str) -> Option<sr::Span> {
    let unit = match text.as_bytes().last()? {
        b'm' => 1e-3,
        b'u' => 1e-6,
        _ => return None,
    };
    // No client waits for more than a day.
    Some(sr::Span::from_secs(number(&text[..text.len() - 1])?.min(86_400.0 / unit) * unit))
}
