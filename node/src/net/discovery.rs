//! The discovery client: the watch on the runner list, and single calls for the whole of it. Converts entries
//! to the core's list and sets the addresses of the runner link. Passes every change on at once, and never
//! decides when or where to ask again: a watch that breaks or falls silent is reported, and the balancer
//! asks for the next. A watch that is late, with its first list or later, is read on until its successor
//! delivers something.

mod source;

use crate::core::{Input, ListedRunner, Source};
use crate::memory::MemoryBudget;
use crate::net::hosts::Hosts;
use crate::net::json_stream::JsonStream;
use crate::net::runners::{ConnectionPool, RunnerLink, into_body, read_body};
use crate::net::watch::{FailureKind, GraceTimeout, WatchError};
use crate::runtime::Runtime;
use crate::shared::Quota;
use awc::Client;
use awc::http::StatusCode;
use futures_util::StreamExt;
use sablerun as sr;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use tokio::task::AbortHandle;

/// The client of discovery.
pub struct DiscoveryClient {
    runtime: Weak<Runtime>,
    runners: Rc<RunnerLink>,
    client: Client,
    /// The memory of lists that are being read.
    memory: MemoryBudget,
    /// The version of the list held here.
    version: Cell<u64>,
    /// The address that counts these versions.
    address: Cell<Option<SocketAddr>>,
    /// How often the address has changed.
    address_changes: Cell<u64>,
    /// The number of the current watch, and the handle of its task.
    watch_number: Cell<u64>,
    watch: RefCell<Option<AbortHandle>>,
    /// A failure was reported, and nothing has shown since that the list is up to date.
    failure_reported: Cell<bool>,
    /// Discovery has sent a list since the start.
    list_received: Cell<bool>,
    /// Earlier watches that have not ended, kept until the current one delivers something: changes that an
    /// old address still sends count too, a silent watch may only be late, and no change may fall between
    /// the two.
    previous_watches: RefCell<Vec<AbortHandle>>,
    this: Weak<DiscoveryClient>,
}

impl DiscoveryClient {
    pub fn new(runtime: &Rc<Runtime>, runners: &Rc<RunnerLink>) -> Rc<DiscoveryClient> {
        let pool = ConnectionPool::new(
            &runtime.limits,
            Arc::new(Quota::alone(runtime.limits.max_runner_connections)),
        );
        Rc::new_cyclic(|this| DiscoveryClient {
            runtime: Rc::downgrade(runtime),
            runners: runners.clone(),
            client: pool.client(&runtime.limits),
            memory: MemoryBudget::with_quota(
                runtime.resources.list_memory.clone(),
                runtime.limits.evict_silent_after,
            ),
            version: Cell::new(0),
            address: Cell::new(None),
            address_changes: Cell::new(0),
            watch_number: Cell::new(0),
            watch: RefCell::default(),
            failure_reported: Cell::default(),
            list_received: Cell::default(),
            previous_watches: RefCell::default(),
            this: this.clone(),
        })
    }

    /// Applies a list or a change of it, and takes on its version.
    pub fn apply_list(&self, kind: sr::ListKind, hosts: Hosts) {
        self.version.set(hosts.seq);
        self.feed_list(kind, hosts);
    }

    /// Whether a newer version has overtaken a list or a change, asked for when `asked_version` was held
    /// here. A whole list older than that comes from a discovery whose versions have restarted: it is
    /// valid.
    fn overtaken(&self, asked_version: u64, hosts: &Hosts) -> bool {
        hosts.seq < self.version.get() && (!hosts.whole || hosts.seq >= asked_version)
    }

    /// Reports the list as up to date if a failure was reported before.
    fn confirm_up_to_date(&self) {
        if let Some(runtime) = self.runtime.upgrade().filter(|_| self.failure_reported.take()) {
            runtime.feed(Input::List(Source::Discovery, sr::ListKind::Delta, Vec::new()));
        }
    }

    /// Hands a list or a change of it to the core, and the addresses to the runner link.
    fn feed_list(&self, kind: sr::ListKind, hosts: Hosts) {
        let Some(runtime) = self.runtime.upgrade() else { return };
        let mut listed = Vec::with_capacity(hosts.hosts.len());
        for host in hosts.hosts {
            let state = host.state();
            match host.dial.parse() {
                Ok(address) => self.runners.set_address(&host.host, address),
                Err(e) if state == sr::WorkerState::Ready => {
                    log::warn!("discovery: address {:?} of runner {}: {e}", host.dial, host.host);
                    continue;
                }
                Err(_) => {}
            }
            listed.push(ListedRunner {
                name: host.host,
                zone: host.site,
                kind: host.class,
                cell: host.block,
                state,
                size: host.share.unwrap_or(1.0),
                up_since: runtime.clock.unix_ms(host.born_ms),
            });
        }
        log::debug!("list {kind:?} {}: {} entries", hosts.seq, listed.len());
        if let Some(observer) = runtime.observer() {
            observer.listed(hosts.seq);
        }
        self.list_received.set(self.list_received.get() || kind != sr::ListKind::Saved);
        runtime.feed(Input::List(Source::Discovery, kind, listed));
    }

    /// Applies the answer to a call, made at this count of address changes and with this version held.
    fn apply_answer(&self, address_changes: u64, asked_version: u64, hosts: Hosts) {
        let kind = if hosts.whole { sr::ListKind::Full } else { sr::ListKind::Delta };
        match self.address_changes.get() == address_changes {
            true if self.overtaken(asked_version, &hosts) => {
                log::debug!("list {kind:?} {}: overtaken", hosts.seq)
            }
            true => self.apply_list(kind, hosts),
            // Its version was counted by an earlier address, so the entries count but the version does not.
            false => self.feed_list(kind, hosts),
        }
    }

    /// Reads a watch until it ends, and returns why it did.
    async fn read_watch(&self, address: SocketAddr, number: u64) -> Result<(), WatchError> {
        let runtime = self.runtime.upgrade().ok_or("the program ends")?;
        let limits = &runtime.limits;
        let (asked_version, address_changes) = (self.version.get(), self.address_changes.get());
        let url = format!("http://{address}/discovery/hosts?stream=1&index={asked_version}");
        // On a connection of its own: one kept from an earlier call may be closed while this is written.
        let request = self.client.get(url).address(address).no_decompress().force_close().send();
        let mut timeout = GraceTimeout::new(limits.list_timeout, limits.late_watch_timeout);
        let report_late = |reason: &str, kind| {
            if self.watch_number.get() == number {
                self.report_failure("watch", WatchError { reason: reason.to_owned(), kind });
            }
        };
        let response = timeout.wait(request, || report_late("no answer", FailureKind::Failed)).await??;
        if response.status() != StatusCode::OK {
            return Err(format!("answered {}", response.status()).into());
        }
        let mut body = into_body(response);
        let stream = JsonStream::new(limits.max_watch_line_bytes);
        let (mut stream, mut any_list) = (stream.with_memory(&self.memory), false);
        loop {
            let next_chunk = async {
                tokio::select! {
                    chunk = body.next() => Ok(chunk),
                    () = stream.evicted() => Err("an unfinished list makes room for another"),
                }
            };
            let next = timeout.wait(next_chunk, || match any_list {
                true => report_late("silent", FailureKind::Silent),
                false => report_late("no list", FailureKind::Failed),
            });
            let Some(chunk) = next.await?? else { return Err("ended".to_owned().into()) };
            stream.extend(&chunk.map_err(|e| e.to_string())?);
            let mut list = false;
            while let Some(hosts) = stream.next()? {
                list = true;
                self.apply_answer(address_changes, asked_version, hosts);
            }
            any_list |= list;
            // Bytes alone don't show that discovery is alive: a whole object does, and after the first one an
            // empty line, which comes every 2 s.
            if list || any_list && stream.take_blank_line() {
                timeout = GraceTimeout::new(limits.watch_silence_timeout, limits.late_watch_timeout);
                if self.address_changes.get() == address_changes {
                    self.confirm_up_to_date();
                }
                if self.watch_number.get() == number {
                    self.previous_watches.take().iter().for_each(AbortHandle::abort);
                }
            }
        }
    }

    /// Asks for the whole list once and applies it.
    async fn fetch_list(&self, address: SocketAddr) -> Result<(), WatchError> {
        let runtime = self.runtime.upgrade().ok_or("the program ends")?;
        let (asked_version, address_changes) = (self.version.get(), self.address_changes.get());
        let url = format!("http://{address}/discovery/hosts");
        let call = async {
            let request = self.client.get(url).address(address).no_decompress().force_close();
            let response = request.send().await?;
            if response.status() != StatusCode::OK {
                return Err(format!("answered {}", response.status()).into());
            }
            let body = read_body(response, runtime.limits.max_watch_line_bytes, &self.memory).await;
            body.ok_or_else(|| WatchError::from("the list is too long, or can't be read"))
        };
        let body =
            tokio::time::timeout(runtime.limits.list_timeout, call).await.map_err(|_| "no answer")??;
        let hosts = serde_json::from_slice(&body).map_err(|e| format!("the list can't be read: {e}"))?;
        self.apply_answer(address_changes, asked_version, hosts);
        Ok(())
    }

    fn report_failure(&self, what: &str, error: WatchError) {
        log::warn!("discovery: {what} failed: {}", error.reason);
        if let Some(runtime) = self.runtime.upgrade() {
            self.failure_reported.set(true);
            runtime.feed(match error.kind {
                FailureKind::Failed => Input::ListFailed,
                FailureKind::Silent => Input::ListSilent,
            });
        }
    }
}
