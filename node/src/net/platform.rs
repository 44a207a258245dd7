//! The platform's front: clients' requests, runners' call-backs and the ready check, all on the one
//! address that the dispatcher is given. It owns the listener and the table of connections accepted
//! there, and which of them are closed to make room. It must never read or word a message itself.

mod connection;
mod head;
mod reply;
mod requests;
mod stream;

use crate::net::peers::Peers;
use crate::net::platform::connection::{Carried, Connection};
use crate::net::platform::stream::Guarded;
use crate::runtime::Runtime;
use actix_http::{HttpService, KeepAlive};
use actix_service::{Service, ServiceFactory, fn_service};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::Notify;
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
