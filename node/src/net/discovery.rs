//! Discovery: the watch on the list of runners and single calls for the whole of it. It owns the
//! version that the dispatcher holds and the watch, turns hosts into the core's list, and tells the
//! link where runners listen. It must never hold a change back, nor decide when or where to ask
//! again: a watch that breaks or falls silent is reported, and the module asks. One that is late, with its
//! first list or later, is read on until the next one tells something.

use crate::core::{Input, ListedRunner, Source};
use crate::net::hosts::Hosts;
use crate::net::json_stream::JsonStream;
use crate::net::loss::{Due, Loss, Lost};
use crate::net::runners::{Pool, RunnerLink};
use crate::runtime::{RunnerListSource, Runtime};
use awc::Client;
use awc::http::StatusCode;
use futures_util::StreamExt;
use sablerun as sr;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use tokio::task::AbortHandle;

/// The way to discovery.
pub struct DiscoveryClient {
    runtime: Weak<Runtime>,
    runners: Rc<RunnerLink>,
    client: Client,
    seq: Cell<u64>,
    /// Where `seq` was told, how often that has changed, the number of the watch that counts, and that watch.
    at: Cell<Option<SocketAddr>>,
    moves: Cell<u64>,
    number: Cell<u64>,
    watch: RefCell<Option<AbortHandle>>,
    /// A loss was reported, and nothing has shown since that the list is up to date.
    lost: Cell<bool>,
    /// It has told a list since the start.
    told: Cell<bool>,
    /// Earlier watches that have not ended, until the new one tells something: what an old address still
    /// tells binds too, a silent watch may only be late, and nothing may fall between the two.
    before: RefCell<Vec<AbortHandle>>,
    this: Weak<DiscoveryClient>,
}

impl DiscoveryClient {
    pub fn new(runtime: &Rc<Runtime>, runners: &Rc<RunnerLink>) -> Rc<DiscoveryClient> {
        let pool = Pool::new(&runtime.limits);
        Rc::new_cyclic(|this| DiscoveryClient {
            runtime: Rc::downgrade(runtime),
            runners: runners.clone(),
            client: pool.client(&runtime.limits),
            seq: Cell::new(0),
            at: Cell::new(None),
            moves: Cell::new(0),
            number: Cell::new(0),
            watch: RefCell::default(),
            lost: Cell::default(),
            told: Cell::default(),
            before: RefCell::default(),
            this: this.clone(),
        })
    }

    /// Takes a list or a change of it.
    pub fn apply_list(&self, kind: sr::ListKind, hosts: Hosts) {
        self.seq.set(hosts.seq);
        self.list(kind, hosts);
    }

    /// Whether newer news has overtaken a list or a change, asked for when `asked` was the version here. A whole
    /// list older than that is of a discovery that counts anew: it holds.
    fn overtaken(&self, asked: u64, hosts: &Hosts) -> bool {
        hosts.seq < self.seq.get() && (!hosts.whole || hosts.seq >= asked)
    }

    /// The list was up to date just now.
    fn alive(&self) {
        if let Some(runtime) = self.runtime.upgrade().filter(|_| self.lost.take()) {
            runtime.feed(Input::List(Source::Discovery, sr::ListKind::Delta, Vec::new()));
        }
    }

    fn list(&self, kind: sr::ListKind, hosts: Hosts) {
        let Some(runtime) = self.runtime.upgrade() else { return };
        let mut listed = Vec::with_capacity(hosts.hosts.len());
        for host in hosts.hosts {
            let standing = host.standing();
            match host.dial.parse() {
                Ok(at) => self.runners.set_address(&host.host, at),
                Err(e) if standing == sr::WorkerState::Ready => {
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
                state: standing,
                size: host.share.unwrap_or(1.0),
                up_since: runtime.clock.unix_ms(host.born_ms),
            });
        }
        log::debug!("list {kind:?} {}: {} entries", hosts.seq, listed.len());
        if let Some(observer) = runtime.observer() {
            observer.listed(hosts.seq);
        }
        self.told.set(self.told.get() || kind != sr::ListKind::Saved);
        runtime.feed(Input::List(Source::Discovery, kind, listed));
    }

    /// Takes what was told to a call made after so many moves and at a version.
    fn take_from(&self, moves: u64, asked: u64, hosts: Hosts) {
        let kind = if hosts.whole { sr::ListKind::Full } else { sr::ListKind::Delta };
        match self.moves.get() == moves {
            true if self.overtaken(asked, &hosts) => log::debug!("list {kind:?} {}: overtaken", hosts.seq),
            true => self.apply_list(kind, hosts),
            // Its versions are another address's.
            false => self.list(kind, hosts),
        }
    }

    /// Reads the watch until it ends; says why it did.
    async fn follow(&self, at: SocketAddr, number: u64) -> Result<(), Loss> {
        let runtime = self.runtime.upgrade().ok_or("the program ends")?;
        let limits = &runtime.limits;
        let (asked, moves) = (self.seq.get(), self.moves.get());
        let url = format!("http://{at}/discovery/hosts?stream=1&index={asked}");
        // A connection of its own: one kept from an earlier call may be closed as this is written.
        let request = self.client.get(url).address(at).no_decompress().force_close().send();
        let mut due = Due::new(limits.list_timeout, limits.late_watch_timeout);
        let late = |why: &str, lost| {
            if self.number.get() == number {
                self.lose("watch", Loss { why: why.to_owned(), lost });
            }
        };
        let mut response = due.wait(request, || late("no answer", Lost::Failed)).await??;
        if response.status() != StatusCode::OK {
            return Err(format!("answered {}", response.status()).into());
        }
        let (mut objects, mut heard) = (JsonStream::new(limits.max_watch_line_bytes), false);
        loop {
            let told = due.wait(response.next(), || match heard {
                true => late("silent", Lost::Silent),
                false => late("no list", Lost::Failed),
            });
            let Some(chunk) = told.await? else { return Err("ended".to_owned().into()) };
            objects.extend(&chunk.map_err(|e| e.to_string())?);
            let mut told = false;
            while let Some(hosts) = objects.next()? {
                told = true;
                self.take_from(moves, asked, hosts);
            }
            heard |= told;
            // Bytes alone are no sign of life: a whole object is, and then an empty line, which comes every 2 s.
            if told || heard && objects.line() {
                due = Due::new(limits.watch_silence_timeout, limits.late_watch_timeout);
                if self.moves.get() == moves {
                    self.alive();
                }
                if self.number.get() == number {
                    self.before.take().iter().for_each(AbortHandle::abort);
                }
            }
        }
    }

    async fn whole(&self, at: SocketAddr) -> Result<(), Loss> {
        let runtime = self.runtime.upgrade().ok_or("the program ends")?;
        let (asked, moves) = (self.seq.get(), self.moves.get());
        let url = format!("http://{at}/discovery/hosts");
        let call = async {
            let request = self.client.get(url).address(at).no_decompress().force_close();
            let mut response = request.send().await?;
            if response.status() != StatusCode::OK {
                return Err(format!("answered {}", response.status()).into());
            }
            let body = response.body().limit(runtime.limits.max_watch_line_bytes).await;
            body.map_err(|e| Loss::from(e.to_string()))
        };
        let body =
            tokio::time::timeout(runtime.limits.list_timeout, call).await.map_err(|_| "no answer")??;
        let hosts = serde_json::from_slice(&body).map_err(|e| format!("the list can't be read: {e}"))?;
        self.take_from(moves, asked, hosts);
        Ok(())
    }

    fn lose(&self, what: &str, loss: Loss) {
        log::warn!("discovery: {what} failed: {}", loss.why);
        if let Some(runtime) = self.runtime.upgrade() {
            self.lost.set(true);
            runtime.feed(match loss.lost {
                Lost::Failed => Input::ListFailed,
                Lost::Silent => Input::ListSilent,
            });
        }
    }
}

impl RunnerListSource for DiscoveryClient {
    fn subscribe(&self, at: SocketAddr) {
        let Some(this) = self.this.upgrade() else { return };
        let moved = self.at.replace(Some(at)).is_some_and(|before| before != at);
        if moved {
            // Another address may count its versions otherwise: the whole list is asked for.
            self.seq.set(0);
            self.moves.set(self.moves.get() + 1);
        }
        let number = self.number.get() + 1;
        self.number.set(number);
        let task = actix_rt::spawn(async move {
            if let Err(loss) = this.follow(at, number).await {
                if this.number.get() == number {
                    this.lose("watch", loss);
                } else {
                    log::debug!("discovery: the watch before ended: {}", loss.why);
                }
            }
        });
        let last = self.watch.borrow_mut().replace(task.abort_handle());
        let mut before = self.before.borrow_mut();
        before.extend(last);
        before.retain(|watch| !watch.is_finished());
    }

    fn fetch(&self, at: SocketAddr) {
        let Some(this) = self.this.upgrade() else { return };
        actix_rt::spawn(async move {
            if let Err(loss) = this.whole(at).await {
                this.lose("call", loss);
            }
        });
    }

    fn has_list(&self) -> bool {
        self.told.get()
    }
}
