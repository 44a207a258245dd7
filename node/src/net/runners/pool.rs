//! The pool of connections to runners. It owns every connection, from its opening within the limit to its
//! close, and knows which are idle. It must never read or write anything by itself, nor close a connection on
//! which an answer is awaited.

use crate::limits::Limits;
use actix_codec::{AsyncRead, AsyncWrite, ReadBuf};
use actix_rt::net::{ActixStream, Ready, TcpSocket, TcpStream};
use actix_tls::connect::{ConnectError as TcpError, ConnectInfo, Connection};
use awc::http::Uri;
use awc::{Client, Connector};
use futures_util::future::LocalBoxFuture;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

tokio::task_local! {
    /// The leave of the attempt that the task makes; other requests need none.
    pub static LEAVE: Rc<Leave>;
}

/// An attempt's leave to begin. The first byte of a request may be long in coming, by a connection that comes
/// up late or a give-up that its runner has to confirm first: whether it may go out is asked in that moment.
pub struct Leave {
    granted: Box<dyn Fn() -> bool>,
    refused: Cell<bool>,
    /// The connection on which the attempt has begun.
    wire: RefCell<Option<Weak<Wire>>>,
}

impl Leave {
    pub fn new(granted: impl Fn() -> bool + 'static) -> Rc<Leave> {
        Rc::new(Leave { granted: Box::new(granted), refused: Cell::default(), wire: RefCell::default() })
    }

    fn begin(&self, on: &Rc<Wire>) -> bool {
        let begins = self.wire.borrow().is_some() || (self.granted)();
        if begins {
            self.wire.borrow_mut().get_or_insert_with(|| Rc::downgrade(on));
        }
        self.refused.set(!begins);
        begins
    }

    /// Whether the attempt came to its connection and was not let on it: its runner is not to blame.
    pub fn refused(&self) -> bool {
        self.refused.get()
    }

    /// Takes the connection on which the attempt went out away from the pool: nothing that comes over it will
    /// be taken for the answer to another request. None if the attempt has not begun.
    pub fn take(&self) -> Option<TcpStream> {
        self.wire.borrow().as_ref().and_then(Weak::upgrade)?.stream.take()
    }
}

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
        if !LEAVE.try_with(|leave| leave.begin(&self.0)).unwrap_or(true) {
            return Poll::Ready(Err(broken()));
        }
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
    pub idle: Duration,
    resting: Duration,
}

impl Pool {
    pub fn new(limits: &Limits) -> Pool {
        let Limits { max_runner_connections: most, idle_timeout: idle, evict_idle_after: resting, .. } =
            *limits;
        Pool { wires: Rc::default(), most, idle, resting }
    }

    /// A client over this pool that adds nothing by itself: no redirects, time-outs or headers.
    pub fn client(&self, limits: &Limits) -> Client {
        let connector = Connector::new()
            .connector(self.clone())
            .timeout(limits.connect_timeout)
            .conn_keep_alive(limits.idle_timeout)
            .conn_lifetime(limits.max_connection_age)
            .limit(limits.max_runner_connections);
        Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish()
    }

    /// Counts a connection in, until it is dropped; it is not idle.
    pub fn adopt(&self, stream: TcpStream, at: SocketAddr) -> Io {
        let (stream, awaiting, touched) = (Some(stream).into(), true.into(), Instant::now().into());
        let wire = Rc::new(Wire { stream, at, awaiting, touched });
        self.wires.borrow_mut().push(Rc::downgrade(&wire));
        Io(wire)
    }

    /// Connections that are open.
    pub fn count(&self) -> usize {
        let mut wires = self.wires.borrow_mut();
        wires.retain(|wire| wire.upgrade().is_some_and(|wire| wire.stream.borrow().is_some()));
        wires.len()
    }

    /// Closes connections that have been idle for so long to the addresses chosen.
    pub fn close_idle(&self, idle: Duration, chosen: impl Fn(SocketAddr) -> bool) {
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
            let socket = if at.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
            let socket = socket.map_err(TcpError::Io)?;
            // The last of several small writes must not wait for the answer to the first. Set on the bare
            // descriptor, before anything stands beside it that the compiler could hand over with it.
            socket.set_nodelay(true).map_err(TcpError::Io)?;
            let stream = socket.connect(at).await.map_err(TcpError::Io)?;
            let uri = info.request().clone();
            Ok(Connection::new(uri, pool.adopt(stream, at)))
        })
    }
}
