//! The link to the platform's runners: attempts, the giving up of attempts and probes. It owns what is
//! on the wire for each attempt, and says of each once how it ended. It must never send one again by
//! itself, have two attempts of a request at one runner, or call an attempt unsent whose last byte was
//! written.

mod attempt;
mod pool;
mod report;

pub use pool::Pool;
pub use report::{load_object, result_bytes};

use crate::core::{AttemptEnd, AttemptId, Input};
use crate::runtime::{Job, Link, Runtime};
use attempt::Answered;
use awc::Client;
use awc::http::{StatusCode, header::HeaderMap};
use bytes::Bytes;
use pool::{LEAVE, Leave};
use report::{load_body, load_text};
use sablerun as sr;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

/// How often a runner is told that a job is given up, if it does not answer.
const TELLINGS: usize = 3;

/// An attempt that is out.
struct Out {
    id: Rc<str>,
    runner: String,
    /// The runner has answered 202: giving up takes a call of its own.
    taken: Rc<Cell<bool>>,
    leave: Rc<Leave>,
    task: AbortHandle,
}

/// A job, by its id, at a runner, by its name.
type JobAt = (Rc<str>, String);

/// The link.
pub struct RunnerLink {
    runtime: Weak<Runtime>,
    client: Client,
    pool: Pool,
    addresses: RefCell<HashMap<String, SocketAddr>>,
    out: RefCell<HashMap<AttemptId, Out>>,
    /// Jobs being given up, by id and runner: a further attempt there waits for the end of that.
    given_up: RefCell<HashMap<JobAt, Rc<Notify>>>,
    this: Weak<RunnerLink>,
}

impl RunnerLink {
    pub fn new(runtime: &Rc<Runtime>) -> Rc<RunnerLink> {
        let pool = Pool::new(&runtime.limits);
        let client = pool.client(&runtime.limits);
        let sweep = pool.clone();
        let pause = runtime.limits.sweep_interval;
        actix_rt::spawn(async move {
            loop {
                tokio::time::sleep(pause).await;
                sweep.close_idle(sweep.idle, |_| true);
            }
        });
        Rc::new_cyclic(|this| RunnerLink {
            runtime: Rc::downgrade(runtime),
            client,
            pool,
            addresses: RefCell::default(),
            out: RefCell::default(),
            given_up: RefCell::default(),
            this: this.clone(),
        })
    }

    /// Connections to runners, in use or idle.
    pub fn connections(&self) -> usize {
        self.pool.count()
    }

    /// Notes where a runner listens.
    pub fn set_address(&self, runner: &str, at: SocketAddr) {
        let before = self.addresses.borrow_mut().insert(runner.to_owned(), at);
        if let Some(before) = before.filter(|before| *before != at) {
            self.pool.close_idle(Duration::ZERO, |address| address == before);
        }
    }

    fn header_report(&self, headers: &HeaderMap) -> Option<sr::Report> {
        let text = headers.get("X-Server-Load")?.to_str().ok()?;
        self.runtime.upgrade()?.with_tables(|tables| load_text(tables, text))
    }

    async fn probed(&self, at: SocketAddr) -> Option<Option<sr::Report>> {
        let request = self.client.get(format!("http://{at}/metrics/load")).address(at).no_decompress();
        let mut response = request.send().await.ok()?;
        let head = self.header_report(response.headers());
        let runtime = self.runtime.upgrade()?;
        let body = response.body().limit(runtime.limits.max_body_bytes).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        log::trace!("probe at {at}: {}", String::from_utf8_lossy(&body));
        Some(head.or_else(|| runtime.with_tables(|tables| load_body(tables, &body))))
    }

    /// Lets a runner know that a job is given up, and those who wait for it that it does. Before the 202 the
    /// end of the connection says it; but that means nothing to a runner whose 202 is on its way, so the
    /// connection is `unheard` to its end, and what comes calls for a call.
    fn withdraw(&self, id: Rc<str>, runner: String, unheard: Option<TcpStream>) {
        let Some(&at) = self.addresses.borrow().get(&runner) else { return };
        let (Some(this), Some(runtime)) = (self.this.upgrade(), self.runtime.upgrade()) else { return };
        let key = (id, runner);
        let done = Rc::new(Notify::new());
        self.given_up.borrow_mut().insert(key.clone(), done.clone());
        let unheard = unheard.map(|connection| self.pool.adopt(connection, at));
        actix_rt::spawn(async move {
            let url = format!("http://{at}/jobs/{}", key.0);
            let call = async {
                if let Some(mut connection) = unheard {
                    let _ = connection.shutdown().await;
                    if !matches!(connection.read(&mut [0; 64]).await, Ok(1..)) {
                        return Some(Bytes::new());
                    }
                }
                let mut told = None;
                // A connection that its runner has just closed eats the call: another one may not.
                for _ in 0..TELLINGS {
                    let call = this.client.delete(&url).address(at).no_decompress();
                    if let Ok(mut response) = call.send().await {
                        told = response.body().limit(runtime.limits.max_body_bytes).await.ok();
                        break;
                    }
                }
                told
            };
            if !matches!(tokio::time::timeout(runtime.limits.cancel_timeout, call).await, Ok(Some(_))) {
                log::debug!("runner {} did not confirm that it gives {} up", key.1, key.0);
            }
            this.given_up.borrow_mut().remove(&key);
            done.notify_waiters();
        });
    }
}

impl Link for RunnerLink {
    fn reaches(&self, runner: &str) -> bool {
        self.addresses.borrow().contains_key(runner)
    }

    fn start(&self, attempt: AttemptId, id: Rc<str>, runner: &str, job: Rc<Job>, deadline: sr::Time) {
        let (Some(this), Some(runtime)) = (self.this.upgrade(), self.runtime.upgrade()) else { return };
        let Some(&at) = self.addresses.borrow().get(runner) else { return };
        let asks = Rc::downgrade(&runtime);
        let leave = Leave::new(move || asks.upgrade().is_some_and(|runtime| runtime.may_begin(attempt)));
        let taken = Rc::new(Cell::new(false));
        let (key, own, took) = ((id.clone(), runner.to_owned()), leave.clone(), taken.clone());
        let task = actix_rt::spawn(LEAVE.scope(leave.clone(), async move {
            loop {
                let giving_up = this.given_up.borrow().get(&key).cloned();
                let Some(giving_up) = giving_up else { break };
                giving_up.notified().await;
            }
            let wait = Duration::from_nanos((deadline - runtime.clock.now()).0);
            let answered = this.attempt(at, &key.0, &job, wait, &own).await;
            // Written whole unless it never got that far.
            let unsent = [sr::Outcome::ConnectFailed, sr::Outcome::Moot];
            if !matches!(&answered, Answered::Ended(e) if unsent.contains(&e.outcome)) {
                crate::metrics::Metrics::add(&runtime.metrics.sends);
            }
            match answered {
                Answered::Taken => {
                    log::debug!("runner {} took {}", key.1, key.0);
                    took.set(true);
                }
                Answered::Unusable => runtime.feed(Input::RequestRejected(attempt)),
                Answered::Ended(ending) => runtime.feed(Input::AttemptEnded(attempt, ending)),
                Answered::Garbled => {
                    this.withdraw(key.0, key.1, None);
                    runtime
                        .feed(Input::AttemptEnded(attempt, AttemptEnd::without_report(sr::Outcome::Reset)));
                }
            }
        }));
        let out = Out { id, runner: runner.to_owned(), taken, leave, task: task.abort_handle() };
        self.out.borrow_mut().insert(attempt, out);
    }

    fn cancel(&self, attempt: AttemptId) {
        let Some(out) = self.out.borrow_mut().remove(&attempt) else { return };
        if out.taken.get() {
            self.withdraw(out.id, out.runner, None);
        } else {
            let unheard = out.leave.take();
            out.task.abort();
            if unheard.is_some() {
                self.withdraw(out.id, out.runner, unheard);
            }
        }
    }

    fn forget(&self, attempt: AttemptId) {
        // A call-back may come before the 202: the task that reads it ends by itself.
        self.out.borrow_mut().remove(&attempt);
    }

    fn probe(&self, runner: &str) {
        let (Some(this), Some(runtime)) = (self.this.upgrade(), self.runtime.upgrade()) else { return };
        let Some(&at) = self.addresses.borrow().get(runner) else { return };
        let runner = runner.to_owned();
        actix_rt::spawn(async move {
            let probed =
                tokio::time::timeout(runtime.limits.probe_timeout, this.probed(at)).await.ok().flatten();
            runtime.feed(Input::Probed { runner, ok: probed.is_some(), report: probed.flatten() });
        });
    }

    fn close_idle(&self, runner: &str) {
        if let Some(&at) = self.addresses.borrow().get(runner) {
            self.pool.close_idle(Duration::ZERO, |address| address == at);
        }
    }
}
