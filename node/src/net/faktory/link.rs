//! The link to the workers: attempts are queued for their next FETCH.

use super::Faktory;
use super::worker::{QueuedJob, Worker};
use crate::core::{AttemptEnd, AttemptId, Input};
use crate::runtime::{Job, Link};
use bytes::Bytes;
use sablerun as sr;
use serde_json::json;
use std::rc::Rc;

impl Faktory {
    /// Returns a job's queue and frame: the frame as its client pushed it, or one made from the job, if there
    /// is memory for it.
    pub(super) fn job_frame(&self, id: &str, job: &Job) -> (String, Option<Bytes>) {
        if let (Some(queue), Some(original)) = (&job.queue, &job.original) {
            return (queue.clone(), Some(original.clone()));
        }
        let route = self.config.route.iter().find(|route| route.class == job.class);
        let named = |name: Option<&String>| name.cloned().unwrap_or_else(|| job.class.clone());
        let queue = named(route.and_then(|route| route.queue.as_ref()));
        let names = &self.config.custom;
        let mut custom = json!({"target": job.target});
        let texts = [(&names.class, Some(&job.class)), (&names.member, job.tenant.as_ref())];
        for (name, value) in texts.into_iter().chain([(&names.key, job.key.as_ref())]) {
            custom[name] = json!(value);
        }
        let frame = json!({
            "jid": id,
            "queue": queue,
            "jobtype": named(route.and_then(|route| route.jobtype.as_ref())),
            "args": [String::from_utf8_lossy(&job.body)],
            "custom": custom,
        });
        (queue, self.held_text(&frame))
    }
}

impl Link for Faktory {
    fn reaches(&self, runner: &str) -> bool {
        runner.strip_prefix("wid:").is_some_and(|wid| self.workers.borrow().contains_key(wid))
    }

    fn start(&self, attempt: AttemptId, id: Rc<str>, runner: &str, job: Rc<Job>, _: sr::Time) {
        let wid = runner.strip_prefix("wid:").unwrap_or(runner);
        let (queue, frame) = self.job_frame(&id, &job);
        let mut workers = self.workers.borrow_mut();
        let outcome = match workers.get_mut(wid) {
            None => sr::Outcome::ConnectFailed,
            Some(worker) if worker.connections.is_empty() => sr::Outcome::ConnectFailed,
            Some(worker) => {
                // A worker has one attempt of a request at a time, and a cancelled one may still run there.
                let present = worker.running.contains_key(&id) || worker.queued.iter().any(|w| w.jid == id);
                let parked = worker.parked.iter().any(|parked| parked.queues.contains(&queue));
                let room = parked || worker.queued.len() < self.config.queue_per_worker;
                let accepts = !worker.quiet && room && worker.queues.contains(&queue);
                if let Some(frame) = frame.filter(|_| accepts && !present) {
                    worker.queued.push_back(QueuedJob { attempt, jid: id.clone(), queue, frame });
                    drop(workers);
                    self.attempts.borrow_mut().insert(attempt, (wid.to_owned(), id));
                    self.serve_parked_fetches(wid);
                    return;
                }
                sr::Outcome::Full
            }
        };
        let report = workers.get(wid).map(Worker::report);
        drop(workers);
        self.runtime
            .feed(Input::AttemptEnded(attempt, AttemptEnd { report, ..AttemptEnd::without_report(outcome) }));
    }

    fn cancel(&self, attempt: AttemptId) {
        let Some((wid, jid)) = self.attempts.borrow_mut().remove(&attempt) else { return };
        if let Some(worker) = self.workers.borrow_mut().get_mut(&wid) {
            worker.queued.retain(|job| job.attempt != attempt);
            // The protocol can't cancel a fetched job, so its result will be ignored.
            if let Some(running) = worker.running.get_mut(&jid) {
                running.attempt = running.attempt.filter(|current| *current != attempt);
            }
        }
    }

    fn forget(&self, attempt: AttemptId) {
        self.attempts.borrow_mut().remove(&attempt);
    }

    fn probe(&self, runner: &str) {
        // The load is known here, so nothing is sent to the worker.
        let wid = runner.strip_prefix("wid:").unwrap_or(runner);
        let report = self.workers.borrow().get(wid).filter(|w| !w.connections.is_empty()).map(Worker::report);
        self.runtime.feed(Input::Probed { runner: runner.to_owned(), ok: report.is_some(), report });
    }

    fn close_idle(&self, _: &str) {
        // The connections were opened by the workers, which close them too.
    }
}
