//! The platform's front: clients' requests, runners' call-backs and the ready check, all on the one
//! address that the dispatcher is given. It owns the listener and the table of connections accepted
//! there. It must never read or word a message itself.

mod closing;
mod connection;
mod head;
pub mod lifecycle;
mod reply;
mod requests;
pub mod shutdown;
mod stream;

use crate::net::peers::PeerRegistry;
use crate::net::platform::connection::Connection;
use crate::net::platform::stream::{Guarded, farewell};
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

/// Binds the dispatcher's address.
pub fn listen(at: SocketAddr, backlog: u32) -> std::io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // Guards against a restart that finds its address held by connections of the one before.
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(backlog)
}

/// The front.
pub struct Front {
    runtime: Rc<Runtime>,
    connections: RefCell<HashMap<u64, (Rc<Connection>, AbortHandle)>>,
    next: Cell<u64>,
    closed: Notify,
    /// Told when no more connections are to be accepted.
    no_more: Notify,
    /// Who wants to know first how many wait to be accepted.
    look: RefCell<Option<oneshot::Sender<usize>>>,
    /// Where call-backs about another process's jobs go, while a process replaces another.
    peers: RefCell<Option<Rc<PeerRegistry>>>,
}

impl Front {
    pub fn new(runtime: &Rc<Runtime>) -> Rc<Front> {
        Rc::new(Front {
            runtime: runtime.clone(),
            connections: RefCell::default(),
            next: Cell::new(0),
            closed: Notify::new(),
            no_more: Notify::new(),
            look: RefCell::default(),
            peers: RefCell::default(),
        })
    }

    /// Connections accepted and not ended.
    pub fn connections(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Accepts connections; never ends.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let limits = &self.runtime.limits;
        let front = self.clone();
        let service = HttpService::build()
            // The stream looks after idle connections and after every head: these here would drop the
            // socket over a request that is there and not read, and see to a first head only.
            .keep_alive(KeepAlive::Os)
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
        let take = |stream: TcpStream, peer: SocketAddr| {
            let connection = Rc::new(Connection::new());
            let _ = stream.set_nodelay(true);
            let stream = Guarded::new(stream, connection.clone(), limits);
            let handling = service.call((stream, Some(peer)));
            let number = self.next.get();
            self.next.set(number + 1);
            let (front, its) = (self.clone(), connection.clone());
            let task = actix_rt::spawn(async move {
                let linger = front.runtime.limits.linger_timeout;
                let ended = Ended { front, number };
                if let Err(e) = handling.await {
                    log::debug!("connection from {peer}: {e}");
                }
                let left = its.left.borrow_mut().take();
                if let Some(stream) = left {
                    farewell(stream, linger).await;
                }
                drop(ended);
            });
            self.connections.borrow_mut().insert(number, (connection, task.abort_handle()));
        };
        loop {
            self.make_room();
            // At the limit the rest waits in the listener's queue, unless somebody can be closed.
            while self.connections.borrow().len() >= limits.max_client_connections {
                let _ = tokio::time::timeout(limits.accept_pause, self.closed.notified()).await;
                self.make_room();
            }
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                // The listener goes with this: where it is shared, the others take what comes.
                () = self.no_more.notified() => {
                    let Some(tell) = self.look.borrow_mut().take() else { return };
                    let mut queued = 0;
                    while let Some((stream, peer)) = accept_now(&listener) {
                        take(stream, peer);
                        queued += 1;
                    }
                    let _ = tell.send(queued);
                    if queued == 0 {
                        return;
                    }
                    continue;
                }
            };
            match accepted {
                Ok((stream, peer)) => take(stream, peer),
                Err(e) => {
                    log::warn!("accept: {e}");
                    tokio::time::sleep(limits.accept_pause).await;
                }
            }
        }
    }

    /// Accepts no more connections, and lets go of the listener. For a listener that other processes
    /// share: a graceful restart, where the process that replaces this one accepts from now on.
    pub fn stop_accepting(&self) {
        self.no_more.notify_one();
    }

    /// Hands call-backs about jobs that are not known here on to the other processes of this register.
    pub fn forward_call_backs_to(&self, peers: PeerRegistry) {
        *self.peers.borrow_mut() = Some(Rc::new(peers));
    }

    /// Nothing is under way here any more: others hand nothing on to this process, which still does.
    pub fn unregister(&self) {
        if let Some(peers) = &*self.peers.borrow() {
            peers.unregister();
        }
    }
}

/// Somebody who waits to be accepted, without asking the runtime, whose word may be old.
fn accept_now(listener: &TcpListener) -> Option<(TcpStream, SocketAddr)> {
    let (socket, peer) = SockRef::from(listener).accept().ok()?;
    socket.set_nonblocking(true).ok()?;
    let stream = TcpStream::from_std(socket.into()).ok()?;
    Some((stream, peer.as_socket()?))
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
