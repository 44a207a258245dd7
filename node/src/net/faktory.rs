//! The Faktory front: the Faktory work protocol, with the dispatcher as the server that clients push to and
//! workers fetch from. It is a front and a link at once: a PUSH becomes a request with one final answer,
//! and an attempt goes to the worker that the balancer chose, whether or not that is parked in FETCH. Never
//! chooses a worker, repeats a job or hands one to a quiet worker. An ACK or FAIL of a finished job changes
//! nothing. In the protocol a `wid` is the id of a worker process, and a `jid` that of a job.

mod config;
mod fetch;
mod info;
mod link;
mod password;
mod peer;
mod push;
mod registry;
mod session;
mod transport;
mod worker;

pub use config::{Custom, FaktoryConfig, Identity, Role, Route};
pub use peer::Peer;

use crate::core::AttemptId;
use crate::memory::MemoryBudget;
use crate::net::spiffe::Identities;
use crate::runtime::Runtime;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio_rustls::TlsAcceptor;
use worker::Worker;

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
