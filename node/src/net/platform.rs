//! The platform's HTTP front: clients' requests, runners' call-backs and the readiness check on one
//! address. This file holds the listener and the table of accepted connections; messages are read and
//! written by the submodules.

mod body;
pub mod chunk_scanner;
mod closing;
mod connection;
mod head;
mod headers;
mod input;
pub mod lifecycle;
mod linger;
mod reply;
mod requests;
pub mod shutdown;
mod stream;
mod timer;

use crate::net::peers::PeerRegistry;
use crate::net::platform::connection::Connection;
use crate::net::platform::linger::lingering_close;
use crate::net::platform::stream::GuardedStream;
use crate::runtime::Runtime;
use actix_http::{HttpService, KeepAlive};
use actix_service::{Service, ServiceFactory, fn_service};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, oneshot};
use tokio::task::AbortHandle;

/// Bytes of a response that are buffered before they are written.
const WRITE_BUFFER_BYTES: usize = 8 * 1024;

/// Binds the dispatcher's address and listens on it.
pub fn listen(address: SocketAddr, backlog: u32) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // Without it a restart fails while connections of the previous process hold the address.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

/// The HTTP front of the platform.
pub struct Front {
    runtime: Rc<Runtime>,
    /// The open connections by number, each with the handle of its task.
    connections: RefCell<HashMap<u64, (Rc<Connection>, AbortHandle)>>,
    next_number: Cell<u64>,
    connection_closed: Notify,
    /// Notified when no more connections are to be accepted.
    stop_accepting: Notify,
    /// Set for a final accept: receives how many queued connections were accepted before the listener closes.
    final_accept: RefCell<Option<oneshot::Sender<usize>>>,
    /// Receives call-backs about another process's jobs during an upgrade.
    peers: RefCell<Option<Rc<PeerRegistry>>>,
}

impl Front {
    pub fn new(runtime: &Rc<Runtime>) -> Rc<Front> {
        Rc::new(Front {
            runtime: runtime.clone(),
            connections: RefCell::default(),
            next_number: Cell::new(0),
            connection_closed: Notify::new(),
            stop_accepting: Notify::new(),
            final_accept: RefCell::default(),
            peers: RefCell::default(),
        })
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Accepts connections until [`Front::stop_accepting`] or the final accept of a shutdown.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let limits = &self.runtime.limits;
        let limit = &self.runtime.resources.client_connections;
        let front = self.clone();
        let service = HttpService::build()
            // `GuardedStream` enforces the timeouts of idle connections and of every head. actix-http's own
            // would drop the socket over an unread request, and cover only the first head of a connection.
            .keep_alive(KeepAlive::Os)
            .client_request_timeout(Duration::ZERO)
            // A client that closes its side while it waits for a response counts as gone.
            .h1_allow_half_closed(false)
            .h1_write_buffer_size(WRITE_BUFFER_BYTES)
            .on_connect_ext(|stream: &GuardedStream, extensions| {
                extensions.insert(stream.connection.clone());
            })
            .h1(fn_service(move |request| front.clone().handle(request)))
            .new_service(())
            .await;
        let Ok(service) = service else { return };
        let spawn_handler = |stream: TcpStream, peer_address: SocketAddr| {
            let connection = Rc::new(Connection::default());
            let _ = stream.set_nodelay(true);
            let stream = GuardedStream::new(stream, connection.clone(), &self.runtime);
            let handling = service.call((stream, Some(peer_address)));
            let number = self.next_number.get();
            self.next_number.set(number + 1);
            let (front, task_connection) = (self.clone(), connection.clone());
            let task = actix_rt::spawn(async move {
                let linger = front.runtime.limits.linger_timeout;
                let table_entry = TableEntry { front, number };
                if let Err(e) = handling.await {
                    log::debug!("connection from {peer_address}: {e}");
                }
                let closing = task_connection.closing_stream.borrow_mut().take();
                if let Some(stream) = closing {
                    lingering_close(stream, linger).await;
                }
                drop(table_entry);
            });
            self.connections.borrow_mut().insert(number, (connection, task.abort_handle()));
        };
        loop {
            self.make_room();
            // At the limit, new connections wait in the listen queue until one closes or is evicted.
            while !limit.ensure(self.connections() + 1) {
                let _ = tokio::time::timeout(limits.accept_pause, self.connection_closed.notified()).await;
                self.make_room();
            }
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                // Returning drops the listener; the other processes of a shared socket accept what follows.
                () = self.stop_accepting.notified() => {
                    let Some(count) = self.final_accept.borrow_mut().take() else { return };
                    let mut queued = 0;
                    while let Some((stream, peer_address)) = try_accept(&listener) {
                        spawn_handler(stream, peer_address);
                        queued += 1;
                    }
                    let _ = count.send(queued);
                    if queued == 0 {
                        return;
                    }
                    continue;
                }
            };
            match accepted {
                Ok((stream, peer_address)) => spawn_handler(stream, peer_address),
                Err(e) => {
                    log::warn!("accept: {e}");
                    tokio::time::sleep(limits.accept_pause).await;
                }
            }
        }
    }

    /// Accepts no more connections and closes the listener. For a graceful restart on a shared listener,
    /// where the replacing process accepts from now on.
    pub fn stop_accepting(&self) {
        self.stop_accepting.notify_one();
    }

    /// Forwards call-backs about jobs unknown here to the other processes of this registry.
    pub fn forward_call_backs_to(&self, peers: PeerRegistry) {
        *self.peers.borrow_mut() = Some(Rc::new(peers));
    }

    /// Removes this process from the registry once it has no work left: it receives no forwarded call-backs
    /// from then on, but still forwards its own.
    pub fn unregister(&self) {
        if let Some(peers) = &*self.peers.borrow() {
            peers.unregister();
        }
    }
}

/// Accepts a queued connection with a direct system call: tokio's cached readiness may be out of date.
fn try_accept(listener: &TcpListener) -> Option<(TcpStream, SocketAddr)> {
    let (socket, peer_address) = SockRef::from(listener).accept().ok()?;
    socket.set_nonblocking(true).ok()?;
    let stream = TcpStream::from_std(socket.into()).ok()?;
    Some((stream, peer_address.as_socket()?))
}

/// Removes a connection from the table when its task ends, also when the task is aborted.
struct TableEntry {
    front: Rc<Front>,
    number: u64,
}

impl Drop for TableEntry {
    fn drop(&mut self) {
        self.front.connections.borrow_mut().remove(&self.number);
        let limit = &self.front.runtime.resources.client_connections;
        limit.release_beyond(self.front.connections());
        self.front.connection_closed.notify_one();
    }
}
