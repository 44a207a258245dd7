//! Discovery: the watch on the list of runners and single calls for the whole of it. It owns the
//! version that the dispatcher holds and the watch, turns hosts into the core's list, and tells the
//! link where runners listen. It must never hold a change back, nor decide when or where to ask
//! again: a watch that breaks or falls silent is reported, and the module asks. A silent one is read on
//! until the next one tells something: it may only have been late.

use crate::core::{Input, Listed, Source};
use crate::net::objects::Objects;
use crate::net::runners::{Pool, Runners};
use crate::runtime::{Roster, Runtime};
use awc::Client;
use awc::http::StatusCode;
use futures_util::StreamExt;
use sablerun as sr;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use tokio::task::AbortHandle;

/// A list or a change of it, as discovery writes it.
#[derive(Clone, Debug, Default, serde::Deserialize)]
pub struct Hosts {
    #[serde(default)]
    pub seq: u64,
    #[serde(default)]
    pub whole: bool,
    #[serde(default)]
    pub hosts: Vec<Host>,
}

/// One runner, as discovery writes it.
#[derive(Clone, Debug, serde::Deserialize)]
pub struct Host {
    host: String,
    dial: String,
    #[serde(default)]
    site: String,
    #[serde(default)]
    class: String,
    #[serde(default)]
    block: u32,
    health: String,
    #[serde(default)]
    share: Option<f64>,
    #[serde(default)]
    born_ms: u64,
}

/// The way to discovery.
pub struct Discovery {
    runtime: Weak<Runtime>,
    runners: Rc<Runners>,
    client: Client,
    seq: Cell<u64>,
    /// Where `seq` was told, the number of the watch that counts, and that watch.
    at: Cell<Option<SocketAddr>>,
    number: Cell<u64>,
    watch: RefCell<Option<AbortHandle>>,
    /// Earlier watches that have not ended, until the new one tells something: what an old address still
    /// tells binds too, a silent watch may only be late, and nothing may fall between the two.
    before: RefCell<Vec<AbortHandle>>,
    this: Weak<Discovery>,
}

impl Discovery {
    pub fn new(runtime: &Rc<Runtime>, runners: &Rc<Runners>) -> Rc<Discovery> {
        let pool = Pool::new(&runtime.limits);
        Rc::new_cyclic(|this| Discovery {
            runtime: Rc::downgrade(runtime),
            runners: runners.clone(),
            client: pool.client(&runtime.limits),
            seq: Cell::new(0),
            at: Cell::new(None),
            number: Cell::new(0),
            watch: RefCell::default(),
            before: RefCell::default(),
            this: this.clone(),
        })
    }

    /// Takes a list or a change of it.
    pub fn take(&self, kind: sr::ListKind, hosts: Hosts) {
        // Guards against a change that a newer list has overtaken; a whole list always holds.
        if kind == sr::ListKind::Delta && hosts.seq < self.seq.get() {
            return;
        }
        self.seq.set(hosts.seq);
        self.list(kind, hosts);
    }

    fn list(&self, kind: sr::ListKind, hosts: Hosts) {
        let Some(runtime) = self.runtime.upgrade() else { return };
        let mut listed = Vec::with_capacity(hosts.hosts.len());
        for host in hosts.hosts {
            let standing = match host.health.as_str() {
                "active" => sr::Standing::Ready,
                "leaving" => sr::Standing::Draining,
                "left" => sr::Standing::Gone,
                other => {
                    // Whatever it means, it is not a call for work.
                    log::warn!("discovery says {other:?} of runner {}: taken for draining", host.host);
                    sr::Standing::Draining
                }
            };
            match host.dial.parse() {
                Ok(at) => self.runners.address(&host.host, at),
                Err(e) if standing == sr::Standing::Ready => {
                    log::warn!("discovery: address {:?} of runner {}: {e}", host.dial, host.host);
                    continue;
                }
                Err(_) => {}
            }
            listed.push(Listed {
                name: host.host,
                zone: host.site,
                kind: host.class,
                cell: host.block,
                standing,
                size: host.share.unwrap_or(1.0),
                up_since: runtime.clock.unix_ms(host.born_ms),
            });
        }
        log::debug!("list {kind:?} {}: {} entries", hosts.seq, listed.len());
        runtime.feed(Input::List(Source::Discovery, kind, listed));
    }

    /// Takes what was told at an address.
    fn take_from(&self, at: SocketAddr, hosts: Hosts) {
        let kind = if hosts.whole { sr::ListKind::Full } else { sr::ListKind::Delta };
        match self.at.get() == Some(at) {
            true => self.take(kind, hosts),
            // Its versions are another address's.
            false => self.list(kind, hosts),
        }
    }

    /// Reads the watch until it ends; says why it did.
    async fn follow(&self, at: SocketAddr, number: u64) -> Result<(), String> {
        let runtime = self.runtime.upgrade().ok_or("the program ends")?;
        let limits = &runtime.limits;
        let url = format!("http://{}/discovery/hosts?stream=1&index={}", at, self.seq.get());
        let request = self.client.get(url).address(at).no_decompress().send();
        let response = tokio::time::timeout(limits.list, request).await;
        let mut response = response.map_err(|_| "no answer")?.map_err(|e| e.to_string())?;
        if response.status() != StatusCode::OK {
            return Err(format!("answered {}", response.status()));
        }
        let mut objects = Objects::new(limits.watch_line);
        let mut silent = false;
        loop {
            // An empty line comes every 2 s: silence is a connection that nobody speaks on any more.
            let chunk = match tokio::time::timeout(limits.watch_silence, response.next()).await {
                Err(_) if silent => return Err("still silent".to_owned()),
                Err(_) => {
                    silent = true;
                    if self.number.get() == number {
                        log::warn!("discovery: watch failed: silent");
                        runtime.feed(Input::ListSilent);
                    }
                    continue;
                }
                Ok(None) => return Err("ended".to_owned()),
                Ok(Some(chunk)) => chunk.map_err(|e| e.to_string())?,
            };
            silent = false;
            objects.extend(&chunk);
            while let Some(hosts) = objects.next()? {
                self.take_from(at, hosts);
                if self.number.get() == number {
                    self.before.take().iter().for_each(AbortHandle::abort);
                }
            }
        }
    }

    async fn whole(&self, at: SocketAddr) -> Result<(), String> {
        let runtime = self.runtime.upgrade().ok_or("the program ends")?;
        let url = format!("http://{at}/discovery/hosts");
        let call = async {
            let request = self.client.get(url).address(at).no_decompress();
            let mut response = request.send().await.map_err(|e| e.to_string())?;
            if response.status() != StatusCode::OK {
                return Err(format!("answered {}", response.status()));
            }
            response.body().limit(runtime.limits.watch_line).await.map_err(|e| e.to_string())
        };
        let body = tokio::time::timeout(runtime.limits.list, call).await.map_err(|_| "no answer")??;
        let hosts = serde_json::from_slice(&body).map_err(|e| format!("the list can't be read: {e}"))?;
        self.take_from(at, hosts);
        Ok(())
    }

    fn failed(&self, what: &str, why: &str) {
        log::warn!("discovery: {what} failed: {why}");
        if let Some(runtime) = self.runtime.upgrade() {
            runtime.feed(Input::ListFailed);
        }
    }
}

impl Roster for Discovery {
    fn subscribe(&self, at: SocketAddr) {
        let Some(this) = self.this.upgrade() else { return };
        let moved = self.at.replace(Some(at)).is_some_and(|before| before != at);
        if moved {
            // Another address may count its versions otherwise: the whole list is asked for.
            self.seq.set(0);
        }
        let number = self.number.get() + 1;
        self.number.set(number);
        let task = actix_rt::spawn(async move {
            if let Err(why) = this.follow(at, number).await {
                if this.number.get() == number {
                    this.failed("watch", &why);
                } else {
                    log::debug!("discovery: the watch before ended: {why}");
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
            if let Err(why) = this.whole(at).await {
                this.failed("call", &why);
            }
        });
    }
}
