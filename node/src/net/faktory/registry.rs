//! The workers: their registration, their heartbeats, and what ends with their connections.

use super::transport::Disconnect;
use super::worker::{RunningJob, Worker, runner_name};
use super::{Faktory, Peer};
use crate::core::{AttemptEnd, AttemptId, Input, ListedRunner, Source};
use sablerun as sr;
use serde_json::Value;
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

impl Faktory {
    /// Runs the periodic tasks: removes workers without heartbeats and reloads rotated files.
    pub async fn run_maintenance(self: Rc<Self>) {
        let beat_timeout = Duration::from_secs_f64(self.config.beat_limit_s);
        let reload_interval = self.config.tls.as_ref().map_or(f64::MAX, |tls| tls.reload_s);
        let sweep = self.runtime.limits.sweep_interval.as_secs_f64();
        let interval = (beat_timeout.as_secs_f64() / 10.0).min(sweep).min(reload_interval);
        let mut last_reload = Instant::now();
        loop {
            tokio::time::sleep(Duration::from_secs_f64(interval)).await;
            let silent = |worker: &Worker| worker.last_beat.elapsed() > beat_timeout;
            let workers = self.workers.borrow();
            let silent_wids: Vec<_> =
                workers.iter().filter(|(_, w)| silent(w)).map(|(wid, _)| wid.clone()).collect();
            drop(workers);
            // A cancelled job counts as running only for the time for which its worker may go on with it.
            let expired = |job: &RunningJob| {
                job.attempt.is_none() && job.started.elapsed() > self.runtime.limits.orphan_timeout
            };
            let mut workers = self.workers.borrow_mut();
            workers.values_mut().for_each(|worker| worker.running.retain(|_, job| !expired(job)));
            drop(workers);
            for wid in silent_wids {
                log::warn!("faktory: worker {wid} missed its heartbeats: removed");
                self.disconnect(&wid, None);
                self.remove_worker(&mut self.workers.borrow_mut(), &wid);
            }
            if last_reload.elapsed().as_secs_f64() >= reload_interval {
                last_reload = Instant::now();
                self.reload();
            }
        }
    }

    /// Adds a connection to its worker, which is created for a new wid.
    pub(super) fn register_worker(&self, wid: &str, peer: &Peer, connection: u64) -> Result<(), Disconnect> {
        if !peer.is_worker {
            log::warn!("faktory: {} said HELLO as worker {wid}, but has no worker's role", peer.name);
            return Err(Disconnect::WithError("DENIED this identity is not a worker's".to_owned()));
        }
        let mut workers = self.workers.borrow_mut();
        if workers.get(wid).is_some_and(|worker| worker.peer != peer.name) {
            log::warn!("faktory: {} used wid {wid}, which belongs to another peer", peer.name);
            return Err(Disconnect::WithError("DENIED this wid is another's".to_owned()));
        }
        if !workers.contains_key(wid) && workers.len() >= self.runtime.limits.max_faktory_connections {
            // Each connection has one worker, so that there is one without a connection.
            let absent = workers.iter().filter(|(_, worker)| worker.connections.is_empty());
            let longest = absent.min_by_key(|(_, worker)| worker.last_beat).map(|(wid, _)| wid.clone());
            if let Some(longest) = longest {
                self.remove_worker(&mut workers, &longest);
            }
        }
        let or_default = |own: &Option<String>, default: &Option<String>| own.clone().or(default.clone());
        let worker = workers.entry(wid.to_owned()).or_insert_with(|| Worker {
            peer: peer.name.clone(),
            zone: or_default(&peer.zone, &self.config.zone).unwrap_or_default(),
            kind: or_default(&peer.kind, &self.config.kind).unwrap_or_default(),
            // An unknown wid is taken for a process that has just started, and is in its slow start.
            up_since: self.runtime.clock.now(),
            connections: HashSet::new(),
            last_beat: Instant::now(),
            quiet: false,
            queues: HashSet::new(),
            parked: VecDeque::new(),
            queued: VecDeque::new(),
            running: HashMap::new(),
            latency: None,
        });
        worker.connections.insert(connection);
        worker.last_beat = Instant::now();
        let reconnected = worker.connections.len() == 1 && !worker.queues.is_empty();
        drop(workers);
        if reconnected {
            log::info!("faktory: worker {wid} of {} reconnected", peer.name);
            self.report_worker(wid);
        }
        Ok(())
    }

    /// Removes a worker without connections. Its place among the runners becomes vacant if it was ever listed.
    pub(super) fn remove_worker(&self, workers: &mut HashMap<String, Worker>, wid: &str) {
        if workers.remove(wid).is_some_and(|worker| !worker.queues.is_empty()) {
            self.vacant.borrow_mut().insert(wid.to_owned());
        }
    }

    /// Gives a worker that is listed for the first time its own former place among the runners, or a vacant one.
    pub(super) fn take_vacant_place(&self, wid: &str) {
        let mut vacant = self.vacant.borrow_mut();
        if vacant.remove(wid) {
            return;
        }
        if let Some(removed) = vacant.pop_first() {
            drop(vacant);
            let (runner, successor) = (runner_name(&removed), runner_name(wid));
            self.runtime.feed(Input::RunnerReplaced { runner, successor });
        }
    }

    /// Reports a worker's state to the core.
    pub(super) fn report_worker(&self, wid: &str) {
        let workers = self.workers.borrow();
        let Some(worker) = workers.get(wid) else { return };
        let state = match worker {
            worker if worker.connections.is_empty() => sr::WorkerState::Gone,
            Worker { quiet: true, .. } => sr::WorkerState::Draining,
            _ => sr::WorkerState::Ready,
        };
        let listed = ListedRunner {
            name: runner_name(wid),
            zone: worker.zone.clone(),
            kind: worker.kind.clone(),
            cell: 0,
            state,
            size: 1.0,
            up_since: Some(worker.up_since),
        };
        drop(workers);
        self.runtime.feed(Input::List(Source::SelfRegistered, sr::ListKind::Delta, vec![listed]));
    }

    /// Whether the worker is registered with this connection.
    pub(super) fn has_connection(&self, wid: &str, connection: u64) -> bool {
        self.workers.borrow().get(wid).is_some_and(|worker| worker.connections.contains(&connection))
    }

    /// Handles a worker's heartbeat, which may also make it quiet.
    pub(super) fn handle_beat(&self, wid: &str, text: &str) -> Result<(), String> {
        let beat: Value = serde_json::from_str(text).map_err(|_| "MALFORMED BEAT: no JSON".to_owned())?;
        if beat["wid"].as_str() != Some(wid) {
            return Err("MALFORMED BEAT: wid is not that of HELLO".to_owned());
        }
        let quiet = matches!(beat["current_state"].as_str(), Some("quiet" | "terminate"));
        let mut workers = self.workers.borrow_mut();
        let Some(worker) = workers.get_mut(wid) else { return Err(worker_removed()) };
        worker.last_beat = Instant::now();
        if !quiet || worker.quiet {
            return Ok(());
        }
        worker.quiet = true;
        // Handing out the queued jobs would be new work for a worker that drains.
        let returned: Vec<_> = worker.queued.drain(..).map(|job| job.attempt).collect();
        drop(workers);
        log::info!("faktory: worker {wid} is quiet: draining");
        self.report_worker(wid);
        self.end_attempts(returned, sr::Outcome::Full);
        Ok(())
    }

    pub(super) fn end_attempts(&self, attempts: Vec<AttemptId>, outcome: sr::Outcome) {
        for attempt in attempts {
            self.runtime.feed(Input::AttemptEnded(attempt, AttemptEnd::without_report(outcome)));
        }
    }

    /// Removes a connection of a worker, or all of them, and ends the attempts that depended on it.
    pub(super) fn disconnect(&self, wid: &str, connection: Option<u64>) {
        let mut workers = self.workers.borrow_mut();
        let Some(worker) = workers.get_mut(wid) else { return };
        // A connection of an earlier process with this wid may end only now, which must not affect this one.
        if connection.is_some_and(|connection| !worker.connections.remove(&connection)) {
            return;
        }
        let lost = |number: u64| connection.is_none_or(|connection| connection == number);
        worker.parked.retain(|parked| !lost(parked.connection));
        if connection.is_none() {
            worker.connections.clear();
        }
        let gone = worker.connections.is_empty();
        let (mut interrupted, mut unsent) = (Vec::new(), Vec::new());
        worker.running.retain(|_, running| {
            if lost(running.connection) {
                let attempts = if running.written { &mut interrupted } else { &mut unsent };
                attempts.extend(running.attempt);
            }
            !lost(running.connection)
        });
        if gone {
            unsent.extend(worker.queued.drain(..).map(|job| job.attempt));
        }
        drop(workers);
        if gone {
            log::info!("faktory: worker {wid} disconnected");
            self.report_worker(wid);
        }
        self.end_attempts(interrupted, sr::Outcome::Reset);
        self.end_attempts(unsent, sr::Outcome::ConnectFailed);
    }
}

pub(super) fn worker_removed() -> String {
    "DENIED this worker was given up: say HELLO again".to_owned()
}
