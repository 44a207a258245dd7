//! FETCHes of workers: how they wait, and what they are handed.

use super::Faktory;
use super::transport::{Disconnect, Transport};
use super::worker::{Delivery, ParkedFetch, QueuedJob, RunningJob, runner_name};
use crate::core::Input;
use sablerun as sr;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::oneshot;

/// Most queues that a worker may name.
const MAX_QUEUES: usize = 64;

/// Longest name of a queue, in bytes.
const MAX_QUEUE_NAME_BYTES: usize = 256;

impl Faktory {
    /// Parks a FETCH and writes the job that it is given, or no job after the wait.
    pub(super) async fn handle_fetch<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        transport: &mut Transport<S>,
        connection: u64,
        wid: &str,
        queues: &str,
    ) -> Result<(), Disconnect> {
        let queues = match self.parse_queues(wid, queues) {
            Ok(queues) => queues,
            Err(error) => return Ok(transport.send(&format!("-ERR {error}\r\n")).await?),
        };
        let (delivery, mut delivered) = oneshot::channel();
        self.park_fetch(wid, ParkedFetch { connection, queues, delivery });
        let deadline = tokio::time::Instant::now() + Duration::from_millis(self.config.fetch_wait_ms);
        let job = loop {
            tokio::select! {
                biased;
                job = &mut delivered => break job.ok(),
                more = transport.fill_behind_command() => more?,
                () = tokio::time::sleep_until(deadline) => {
                    if let Some(worker) = self.workers.borrow_mut().get_mut(wid) {
                        worker.parked.retain(|parked| parked.connection != connection);
                    }
                    // A job may have been delivered at the very end of the wait.
                    break delivered.try_recv().ok();
                }
            }
        };
        let Some(Delivery { jid, frame }) = job else { return Ok(transport.send("$-1\r\n").await?) };
        if !self.may_hand_over(wid, &jid) {
            return Ok(transport.send("$-1\r\n").await?);
        }
        transport.send_bulk(&frame).await?;
        crate::metrics::Metrics::add(&self.runtime.metrics.sends);
        let attempt = self.workers.borrow_mut().get_mut(wid).and_then(|worker| {
            let running = worker.running.get_mut(&jid)?;
            running.written = true;
            running.attempt
        });
        if attempt.is_some() {
            self.runtime.feed(Input::Started { id: jid.to_string(), from: runner_name(wid) });
        }
        Ok(())
    }

    /// Whether a job that was delivered to a FETCH may still be written; takes it from its worker if not.
    pub(super) fn may_hand_over(&self, wid: &str, jid: &Rc<str>) -> bool {
        let mut workers = self.workers.borrow_mut();
        let Some(worker) = workers.get_mut(wid) else { return false };
        let Some(attempt) = worker.running.get(jid).map(|running| running.attempt) else { return false };
        if attempt.is_some_and(|attempt| self.runtime.may_begin(attempt)) {
            return true;
        }
        worker.running.remove(jid);
        drop(workers);
        self.end_attempts(attempt.into_iter().collect(), sr::Outcome::Moot);
        false
    }

    /// Parses the queues of a FETCH. All that a worker has named count against the limit.
    pub(super) fn parse_queues(&self, wid: &str, text: &str) -> Result<Vec<String>, String> {
        let names = || text.split_whitespace();
        if names().any(|name| name.len() > MAX_QUEUE_NAME_BYTES) {
            return Err(format!(
                "MALFORMED FETCH: a queue's name is longer than {MAX_QUEUE_NAME_BYTES} bytes"
            ));
        }
        let workers = self.workers.borrow();
        let known = workers.get(wid).map(|worker| &worker.queues);
        let is_new = |name: &&str| known.is_none_or(|known| !known.contains(*name));
        if names().count() > MAX_QUEUES
            || known.map_or(0, HashSet::len) + names().filter(is_new).count() > MAX_QUEUES
        {
            return Err(format!("MALFORMED FETCH: a worker may name {MAX_QUEUES} queues"));
        }
        let queues: Vec<_> = names().map(str::to_owned).collect();
        Ok(if queues.is_empty() { vec!["default".to_owned()] } else { queues })
    }

    /// Parks a FETCH, and hands it a queued job if there is one.
    pub(super) fn park_fetch(&self, wid: &str, parked: ParkedFetch) {
        let mut workers = self.workers.borrow_mut();
        let Some(worker) = workers.get_mut(wid) else { return };
        // A worker is listed from its first FETCH on. Before that its queues are unknown, and it might be
        // chosen for jobs that it does not take.
        let first = worker.queues.is_empty();
        worker.queues.extend(parked.queues.iter().cloned());
        worker.parked.push_back(parked);
        if first {
            log::info!("faktory: worker {wid} of {} connected", worker.peer);
        }
        drop(workers);
        if first {
            self.take_vacant_place(wid);
            self.report_worker(wid);
        }
        self.serve_parked_fetches(wid);
    }

    /// Takes out the queued jobs whose attempts may not begin any more: their windows or deadlines have passed, their
    /// requests are answered, or the worker is taken out of service.
    pub(super) fn withdraw_lapsed_jobs(&self, wid: &str) {
        let mut workers = self.workers.borrow_mut();
        let Some(worker) = workers.get_mut(wid) else { return };
        let mut lapsed = Vec::new();
        worker.queued.retain(|job| {
            let may_begin = self.runtime.may_begin(job.attempt);
            if !may_begin {
                lapsed.push(job.attempt);
            }
            may_begin
        });
        drop(workers);
        self.end_attempts(lapsed, sr::Outcome::Moot);
    }

    /// Hands queued jobs to parked FETCHes that take their queues, each FETCH's first queue first.
    pub(super) fn serve_parked_fetches(&self, wid: &str) {
        self.withdraw_lapsed_jobs(wid);
        let mut workers = self.workers.borrow_mut();
        let Some(worker) = workers.get_mut(wid).filter(|worker| !worker.quiet) else { return };
        let mut index = 0;
        while index < worker.parked.len() {
            let (parked, queued) = (&worker.parked[index], &worker.queued);
            let next = parked.queues.iter().find_map(|q| queued.iter().position(|job| job.queue == *q));
            let Some(next) = next else {
                index += 1;
                continue;
            };
            let Some(parked) = worker.parked.remove(index) else { return };
            let Some(job) = worker.queued.remove(next) else { return };
            let QueuedJob { attempt, jid, frame, .. } = job;
            let running = RunningJob {
                attempt: Some(attempt),
                connection: parked.connection,
                written: false,
                started: Instant::now(),
            };
            worker.running.insert(jid.clone(), running);
            // Fails if the connection has just closed: `disconnect` ends the attempt then.
            let _ = parked.delivery.send(Delivery { jid, frame });
        }
    }
}
