//! The pool of connections to runners. Opens connections within the limit and closes idle ones; never one
//! on which a response is awaited. Reads and writes nothing by itself.

use super::permit::SEND_PERMIT;
use crate::limits::Limits;
use crate::net::head_scanner::HeadScanner;
use crate::shared::Quota;
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
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// The state of one pooled connection.
pub(super) struct PooledConnection {
    stream: RefCell<Option<TcpStream>>,
    address: SocketAddr,
    /// Something was written and nothing has been read since.
    awaiting_response: Cell<bool>,
    last_activity: Cell<Instant>,
    /// The head of the response that is read; `None` once it is complete.
    response_head: Cell<Option<HeadScanner>>,
    max_head_bytes: usize,
}

impl PooledConnection {
    /// Takes the stream away from the pool.
    pub fn take_stream(&self) -> Option<TcpStream> {
        self.stream.take()
    }

    /// Follows the response's head.
    ///
    /// # Errors
    ///
    /// It is longer than allowed; the HTTP library would buffer it up to many times as much.
    fn scan_response(&self, read: &[u8]) -> io::Result<()> {
        let Some(mut head) = self.response_head.get() else { return Ok(()) };
        let (_, complete) = head.scan(read);
        if head.bytes() > self.max_head_bytes {
            self.stream.borrow_mut().take();
            return Err(io::Error::new(io::ErrorKind::InvalidData, "the head of the response is too long"));
        }
        self.response_head.set((!complete).then_some(head));
        Ok(())
    }
}

/// A connection as awc holds it. awc drops idle connections only when it next wants one to the same address,
/// so the pool closes the stream underneath; awc then reads the end of the stream and drops its part.
#[derive(Clone)]
pub struct PooledStream(Rc<PooledConnection>);

impl std::fmt::Debug for PooledStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "connection to {}", self.0.address)
    }
}

impl PooledStream {
    /// Polls the stream, or returns `closed` if the pool has closed it.
    fn poll_open<T>(&self, closed: T, poll: impl FnOnce(Pin<&mut TcpStream>) -> Poll<T>) -> Poll<T> {
        self.0.last_activity.set(Instant::now());
        match self.0.stream.borrow_mut().as_mut() {
            Some(stream) => poll(Pin::new(stream)),
            None => Poll::Ready(closed),
        }
    }
}

fn broken() -> io::Error {
    io::ErrorKind::BrokenPipe.into()
}

impl AsyncRead for PooledStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = self.poll_open(Ok(()), |stream| stream.poll_read(cx, buf));
        let read = &buf.filled()[before..];
        if !read.is_empty() {
            self.0.awaiting_response.set(false);
            self.0.scan_response(read)?;
        }
        polled
    }
}

impl AsyncWrite for PooledStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if !SEND_PERMIT.try_with(|permit| permit.begin(&self.0)).unwrap_or(true) {
            return Poll::Ready(Err(broken()));
        }
        self.0.awaiting_response.set(true);
        self.0.response_head.set(Some(HeadScanner::default()));
        self.poll_open(Err(broken()), |stream| stream.poll_write(cx, buf))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_open(Err(broken()), |stream| stream.poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_open(Ok(()), |stream| stream.poll_shutdown(cx))
    }
}

impl ActixStream for PooledStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.poll_open(Err(broken()), |stream| ActixStream::poll_read_ready(&*stream, cx))
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.poll_open(Err(broken()), |stream| ActixStream::poll_write_ready(&*stream, cx))
    }
}

/// Opens connections within a limit and closes idle ones.
#[derive(Clone)]
pub struct ConnectionPool {
    connections: Rc<RefCell<Vec<Weak<PooledConnection>>>>,
    limit: Arc<Quota>,
    pub idle_timeout: Duration,
    min_idle: Duration,
    max_head_bytes: usize,
}

impl ConnectionPool {
    /// Creates a pool of at most as many connections as `limit` has, which other processes may share.
    pub fn new(limits: &Limits, limit: Arc<Quota>) -> ConnectionPool {
        ConnectionPool {
            connections: Rc::default(),
            limit,
            idle_timeout: limits.idle_timeout,
            min_idle: limits.evict_idle_after,
            max_head_bytes: limits.max_head_bytes,
        }
    }

    /// Returns a client over this pool without redirects, timeouts or default headers.
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

    /// Adds a connection, which counts against the limit until it is dropped. It does not count as idle.
    pub fn adopt(&self, stream: TcpStream, address: SocketAddr) -> PooledStream {
        let connection = Rc::new(PooledConnection {
            stream: Some(stream).into(),
            address,
            awaiting_response: true.into(),
            last_activity: Instant::now().into(),
            response_head: Cell::default(),
            max_head_bytes: self.max_head_bytes,
        });
        self.connections.borrow_mut().push(Rc::downgrade(&connection));
        PooledStream(connection)
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|connection| {
            connection.upgrade().is_some_and(|connection| connection.stream.borrow().is_some())
        });
        connections.len()
    }

    /// Closes connections to the selected addresses that have been idle for longer than `idle`.
    pub fn close_idle(&self, idle: Duration, selected: impl Fn(SocketAddr) -> bool) {
        let (now, idle) = (Instant::now(), idle.max(self.min_idle));
        for connection in self.connections.borrow().iter().filter_map(Weak::upgrade) {
            if selected(connection.address)
                && !connection.awaiting_response.get()
                && now - connection.last_activity.get() > idle
            {
                connection.stream.borrow_mut().take();
            }
        }
    }

    /// Closes what has been idle for too long, and gives other processes what is not in use. Closes all idle
    /// connections where another process leaves too little.
    pub fn sweep(&self) {
        self.close_idle(self.idle_timeout, |_| true);
        if self.count() > self.limit.available() {
            self.close_idle(Duration::ZERO, |_| true);
        }
        self.limit.release_beyond(self.count());
    }

    /// Makes room for one more connection; an error if all are in use.
    fn make_room(&self) -> io::Result<()> {
        for idle in [self.idle_timeout, self.idle_timeout / 4, Duration::ZERO] {
            if self.limit.ensure(self.count() + 1) {
                return Ok(());
            }
            self.close_idle(idle, |_| true);
        }
        let fits = self.limit.ensure(self.count() + 1);
        fits.then_some(()).ok_or_else(|| io::Error::other("too many connections to runners"))
    }
}

impl actix_service::Service<ConnectInfo<Uri>> for ConnectionPool {
    type Response = Connection<Uri, PooledStream>;
    type Error = TcpError;
    type Future = LocalBoxFuture<'static, Result<Connection<Uri, PooledStream>, TcpError>>;

    actix_service::always_ready!();

    fn call(&self, info: ConnectInfo<Uri>) -> Self::Future {
        let pool = self.clone();
        Box::pin(async move {
            let address = info.addrs().next().ok_or(TcpError::Unresolved)?;
            pool.make_room().map_err(TcpError::Io)?;
            log::debug!("connection to {address}");
            let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
            let socket = socket.map_err(TcpError::Io)?;
            // The last of several small writes must not wait for the acknowledgement of the first. Set
            // before the connect, where the descriptor is a bare `int`: some builds read it from the
            // connected stream together with the field next to it and passed that in the register's upper
            // half to setsockopt. The kernel ignores that half, but the bench's socket layer answered
            // EBADF.
            socket.set_nodelay(true).map_err(TcpError::Io)?;
            let stream = socket.connect(address).await.map_err(TcpError::Io)?;
            let uri = info.request().clone();
            Ok(Connection::new(uri, pool.adopt(stream, address)))
        })
    }
}
