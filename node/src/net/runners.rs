//! The link to the platform's runners over HTTP: attempts, their cancellation and probes. Reports the end
//! of each attempt once. Never sends an attempt again by itself, never has two attempts of a request at one
//! runner, and never reports an attempt as unsent whose last byte was written.

mod attempt;
mod permit;
mod pool;
mod report;
mod response;

pub use pool::ConnectionPool;
pub use report::{load_object, result_bytes};
pub use response::{into_body, read_body};

use crate::core::{AttemptEnd, AttemptId, Input};
use crate::runtime::{Job, Link, Runtime};
use attempt::AttemptResult;
use awc::Client;
use awc::http::{StatusCode, header::HeaderMap};
use permit::{SEND_PERMIT, SendPermit};
use report::{load_body, load_text};
use response::drain;
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

/// How often a runner that does not answer is asked to cancel a job.
const MAX_CANCEL_TRIES: usize = 3;

/// An attempt in progress.
struct OpenAttempt {
    id: Rc<str>,
    runner: String,
    /// The runner has answered 202, so that a cancellation takes a request of its own.
    accepted: Rc<Cell<bool>>,
    permit: Rc<SendPermit>,
    task: AbortHandle,
}

/// A job, by its id, at a runner, by its name.
type JobAtRunner = (Rc<str>, String);

/// The link to the platform's runners.
pub struct RunnerLink {
    runtime: Weak<Runtime>,
    client: Client,
    pool: ConnectionPool,
    addresses: RefCell<HashMap<String, SocketAddr>>,
    attempts: RefCell<HashMap<AttemptId, OpenAttempt>>,
    /// Jobs being cancelled, by id and runner: the next attempt of the job there waits for the notification.
    cancellations: RefCell<HashMap<JobAtRunner, Rc<Notify>>>,
    this: Weak<RunnerLink>,
}

impl RunnerLink {
    pub fn new(runtime: &Rc<Runtime>) -> Rc<RunnerLink> {
        let pool = ConnectionPool::new(&runtime.limits, runtime.resources.runner_connections.clone());
        let client = pool.client(&runtime.limits);
        let swept_pool = pool.clone();
        let interval = runtime.limits.sweep_interval;
        actix_rt::spawn(async move {
            loop {
                tokio::time::sleep(interval).await;
                swept_pool.sweep();
            }
        });
        Rc::new_cyclic(|this| RunnerLink {
            runtime: Rc::downgrade(runtime),
            client,
            pool,
            addresses: RefCell::default(),
            attempts: RefCell::default(),
            cancellations: RefCell::default(),
            this: this.clone(),
        })
    }

    /// Returns the number of connections to runners, in use or idle.
    pub fn connections(&self) -> usize {
        self.pool.count()
    }

    /// Sets the address of a runner, and closes idle connections to an earlier one.
    pub fn set_address(&self, runner: &str, address: SocketAddr) {
        let previous = self.addresses.borrow_mut().insert(runner.to_owned(), address);
        if let Some(previous) = previous.filter(|previous| *previous != address) {
            self.pool.close_idle(Duration::ZERO, |address| address == previous);
        }
    }

    fn header_report(&self, headers: &HeaderMap) -> Option<sr::Report> {
        let text = headers.get("X-Server-Load")?.to_str().ok()?;
        self.runtime.upgrade()?.with_tables(|tables| load_text(tables, text))
    }

    /// Probes the runner at an address: None without a valid response, else the load report in it, if any.
    async fn fetch_load(&self, address: SocketAddr) -> Option<Option<sr::Report>> {
        let url = format!("http://{address}/metrics/load");
        let request = self.client.get(url).address(address).no_decompress();
        let response = request.send().await.ok()?;
        let status = response.status();
        let header_report = self.header_report(response.headers());
        let runtime = self.runtime.upgrade()?;
        let body = read_body(response, runtime.limits.max_body_bytes, &runtime.memory).await?;
        if status != StatusCode::OK {
            return None;
        }
        log::trace!("probe at {address}: {}", String::from_utf8_lossy(&body));
        Some(header_report.or_else(|| runtime.with_tables(|tables| load_body(tables, &body))))
    }

    /// Cancels a job at its runner, and notifies attempts that wait for that. Before the 202, closing the
    /// connection cancels the job; but a runner whose 202 is already in transit ignores that. So the
    /// unanswered connection is read until its end, and if anything arrives the job is cancelled by
    /// a request.
    fn cancel_job(&self, id: Rc<str>, runner: String, unanswered_connection: Option<TcpStream>) {
        let Some(&address) = self.addresses.borrow().get(&runner) else { return };
        let (Some(this), Some(runtime)) = (self.this.upgrade(), self.runtime.upgrade()) else { return };
        let key = (id, runner);
        let done = Rc::new(Notify::new());
        self.cancellations.borrow_mut().insert(key.clone(), done.clone());
        let unanswered_connection =
            unanswered_connection.map(|connection| self.pool.adopt(connection, address));
        actix_rt::spawn(async move {
            let url = format!("http://{address}/jobs/{}", key.0);
            let cancellation = async {
                if let Some(mut connection) = unanswered_connection {
                    let _ = connection.shutdown().await;
                    if !matches!(connection.read(&mut [0; 64]).await, Ok(1..)) {
                        return true;
                    }
                }
                let mut confirmed = false;
                // A request on a connection that the runner has just closed is lost: try another one.
                for _ in 0..MAX_CANCEL_TRIES {
                    let request = this.client.delete(&url).address(address).no_decompress();
                    if let Ok(response) = request.send().await {
                        confirmed = drain(response, runtime.limits.max_body_bytes).await;
                        break;
                    }
                }
                confirmed
            };
            let confirmed = tokio::time::timeout(runtime.limits.cancel_timeout, cancellation).await;
            if !confirmed.unwrap_or(false) {
                log::debug!("runner {} did not confirm that it gives {} up", key.1, key.0);
            }
            this.cancellations.borrow_mut().remove(&key);
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
        let Some(&address) = self.addresses.borrow().get(runner) else { return };
        let weak_runtime = Rc::downgrade(&runtime);
        let permit =
            SendPermit::new(move || weak_runtime.upgrade().is_some_and(|runtime| runtime.may_begin(attempt)));
        let accepted = Rc::new(Cell::new(false));
        let key = (id.clone(), runner.to_owned());
        let (task_permit, task_accepted) = (permit.clone(), accepted.clone());
        let task = actix_rt::spawn(SEND_PERMIT.scope(permit.clone(), async move {
            loop {
                let cancellation = this.cancellations.borrow().get(&key).cloned();
                let Some(cancellation) = cancellation else { break };
                cancellation.notified().await;
            }
            let time_left = Duration::from_nanos((deadline - runtime.clock.now()).0);
            let result = this.send_attempt(address, &key.0, &job, time_left, &task_permit).await;
            // With any other outcome the request was written whole, or may have been.
            let unsent = [sr::Outcome::ConnectFailed, sr::Outcome::Moot];
            if !matches!(&result, AttemptResult::Ended(e) if unsent.contains(&e.outcome)) {
                crate::metrics::Metrics::add(&runtime.metrics.sends);
            }
            match result {
                AttemptResult::Accepted => {
                    log::debug!("runner {} took {}", key.1, key.0);
                    task_accepted.set(true);
                }
                AttemptResult::RequestRejected => runtime.feed(Input::RequestRejected(attempt)),
                AttemptResult::Ended(end) => runtime.feed(Input::AttemptEnded(attempt, end)),
                AttemptResult::Unreadable => {
                    this.cancel_job(key.0, key.1, None);
                    runtime
                        .feed(Input::AttemptEnded(attempt, AttemptEnd::without_report(sr::Outcome::Reset)));
                }
            }
        }));
        let open = OpenAttempt { id, runner: runner.to_owned(), accepted, permit, task: task.abort_handle() };
        self.attempts.borrow_mut().insert(attempt, open);
    }

    fn cancel(&self, attempt: AttemptId) {
        let Some(open) = self.attempts.borrow_mut().remove(&attempt) else { return };
        if open.accepted.get() {
            self.cancel_job(open.id, open.runner, None);
        } else {
            let unanswered_connection = open.permit.take_connection();
            open.task.abort();
            if unanswered_connection.is_some() {
                self.cancel_job(open.id, open.runner, unanswered_connection);
            }
        }
    }

    fn forget(&self, attempt: AttemptId) {
        // A call-back may arrive before the 202: the task that reads the 202 ends by itself.
        self.attempts.borrow_mut().remove(&attempt);
    }

    fn probe(&self, runner: &str) {
        let (Some(this), Some(runtime)) = (self.this.upgrade(), self.runtime.upgrade()) else { return };
        let Some(&address) = self.addresses.borrow().get(runner) else { return };
        let runner = runner.to_owned();
        actix_rt::spawn(async move {
            let fetched = tokio::time::timeout(runtime.limits.probe_timeout, this.fetch_load(address)).await;
            let load = fetched.ok().flatten();
            runtime.feed(Input::Probed { runner, ok: load.is_some(), report: load.flatten() });
        });
    }

    fn close_idle(&self, runner: &str) {
        if let Some(&runner_address) = self.addresses.borrow().get(runner) {
            self.pool.close_idle(Duration::ZERO, |address| address == runner_address);
        }
    }
}
