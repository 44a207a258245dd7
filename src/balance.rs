//! The decisions of the dispatcher; their types, events and actions are in `src/interface/`. `price` computes
//! `C = (QL + 1) * PT + CD` for each worker, `draw_worker` picks a ready one in proportion to `1 / C`.

use crate::interface::*;
use std::collections::{BTreeSet, HashMap, VecDeque};

mod dispatch;
mod estimates;
mod list;
mod outcomes;
mod price;
mod retries;
mod state;

use state::*;

/// Running time at the fleet's mean pace per second of a hint, until finished jobs show it.
const HINT_SCALE_PRIOR: f64 = 1.25;
/// Wait before a suspect worker gets a trial request, in seconds.
const TRIAL_S: f64 = 1.0;
/// Age of a worker's last report at which it is probed, where probes exist (the paper's psi), in seconds.
const STALE_S: f64 = 2.0;
/// Share of the objective that an attempt may wait for its start before it is moved to another worker.
const START_PATIENCE: f64 = 0.25;
/// Half-life of failure rates and of the tenants' use of their shares, in seconds.
const HALF_LIFE_S: f64 = 10.0;
/// Failure rate at which a worker counts as failing, or an error as caused by the request itself.
const FAILING: f64 = 0.5;
/// A longer gap between events may be a stall of this dispatcher, in seconds.
const STALL_S: f64 = 0.3;
/// Cap on a value, as a multiple of the usual one: a single absurd value must not cost other requests.
const OUTLIER: f64 = 64.0;
/// Timer tokens of the balancer itself; smaller ones belong to requests and attempts.
const DISPATCH_TIMER: u64 = 1 << 62;
const PROBE_TIMER: u64 = DISPATCH_TIMER + 1;
const SUBSCRIBE_TIMER: u64 = DISPATCH_TIMER + 2;

/// Turns events into actions. The default has no classes and admits nothing; use [`Balancer::new`].
#[derive(Default)]
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    start: Time,
    now: Time,               // of the current event
    stalled_at: Time,        // when events last resumed after a gap
    now_s: f64,              // `now` in seconds since the start
    started: bool,           // the first event has been handled
    outbox: Vec<Action>,     // of the current event
    entries: Vec<ListEntry>, // the worker list, by worker number
    workers: Vec<Worker>,    // estimates of the same workers
    groups: Vec<Group>,
    classes: Vec<ClassStats>,
    /// By tenant: quota per second, requests it may still make, share of the quota used here, and as of when.
    tenants: Vec<(f64, f64, f64, f64)>,
    requests: HashMap<RequestId, Request>,
    pending: BTreeSet<(bool, u64, RequestId)>, // in order of service: within share first, then by rank
    dispatch_timer_set: bool,
    mean_work: [f64; 2], // mean running time times slots of arrivals, from 0.1 s and from the objectives on
    hint_scale: (f64, f64), // running time at the fleet's mean pace per second of hint; number of samples
    base_latency: f64,   // reported by a worker of mean pace, in seconds
    /// Arrival times of requests, and times of retries, within the retry budget's window.
    recent_requests: VecDeque<Time>,
    recent_retries: VecDeque<Time>,
    late_starts: [f64; 2], // share of recent attempts that started late, in the local and in remote zones
    full_rate: f64,        // share of recent attempts rejected as full
    base_errors: f64,      // lowest error rate of a worker in use
    loss_rate: f64,        // estimated share of recent attempts whose answers were lost
    repeat_errors: (f64, f64), // share of errors that occurred again at another worker; time of update
    safe_idle_s: f64,      // idle time that connections have been found to survive
    list_backoff: f64,     // in seconds
    subscribe_pending: bool,
    /// While the watch is lost: when unseen list changes start to count as reported, and sending must stop.
    list_expiry: Option<Time>,
}

impl Balancer {
    /// Creates a balancer that starts at `now`.
    ///
    /// # Errors
    ///
    /// Names the first invalid setting.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Result<Balancer, SettingsError> {
        settings.validate()?;
        let mut balancer = Balancer {
            rng: fastrand::Rng::with_seed(seed),
            start: now,
            now,
            stalled_at: now,
            safe_idle_s: f64::INFINITY,
            mean_work: [0.1; 2],
            hint_scale: (HINT_SCALE_PRIOR, 10.0),
            ..Balancer::default()
        };
        balancer.apply_settings(settings);
        Ok(balancer)
    }

    /// Adopts settings: classes and tenants keep their numbers; open requests keep a lower limit of attempts.
    fn apply_settings(&mut self, mut settings: Settings) {
        settings.classes.extend(self.settings.classes.iter().skip(settings.classes.len()).cloned());
        for (t, tenant) in settings.tenants.iter().enumerate() {
            let (quota, part) = (tenant.quota_per_s, 1.0 / f64::from(settings.dispatchers));
            self.tenants.resize(self.tenants.len().max(t + 1), (quota, quota * part, part, self.now_s));
            self.tenants[t].0 = quota;
        }
        for class in settings.classes.iter().skip(self.classes.len()) {
            self.mean_work[1] +=
                (class.objective.secs() - self.mean_work[1]) / (self.classes.len() + 1) as f64;
            self.classes.push(ClassStats { mean: (class.objective.secs().max(1e-3), 1.0), max_window: 0.0 });
        }
        let limit = settings.max_attempts as usize;
        self.requests.values_mut().for_each(|r| r.max_attempts = r.max_attempts.min(limit));
        self.settings = settings;
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.stalled_at = if (now - self.now).secs() > STALL_S { now } else { self.stalled_at };
        (self.now, self.now_s) = (now, (now - self.start).secs());
        if !std::mem::replace(&mut self.started, true) {
            // Requests the list where it must be requested, and starts probing after a random delay.
            self.list_lost(&Event::ListFailed);
            if self.settings.probing {
                let wait = Span::from_secs(STALE_S * self.rng.f64());
                self.outbox.push(Action::Timer(now + wait, PROBE_TIMER));
            }
        }
        self.refill_cold_tokens();
        let dispatches = !matches!(event, Event::AttemptUpdate(..) | Event::Timer(0..DISPATCH_TIMER));
        match event {
            Event::List(kind, entries) => self.apply_list(kind, entries),
            Event::ListFailed | Event::ListSilent | Event::DiscoveryMoved => self.list_lost(&event),
            Event::Arrival(arrival) => self.admit(arrival),
            Event::RequestClosed(id) => self.close(id),
            Event::DeadlineExtended(id, deadline) => self.set_deadline(id, deadline),
            Event::StreamStarted(id, attempt) => {
                self.requests.entry(id).and_modify(|request| request.streaming = true);
                self.attempt_updated(id, attempt, AttemptUpdate::Started);
            }
            Event::AttemptUpdate(id, attempt, update) => self.attempt_updated(id, attempt, update),
            Event::Ended { .. } => self.attempt_ended(event),
            Event::Probed(WorkerId(i), ok, report) => {
                if let Some(w) = self.workers.get_mut(i as usize) {
                    w.trial_at = w.trial_at.map(|trial| if ok { trial.min(self.now_s) } else { trial });
                    report.into_iter().for_each(|report| self.apply_report(i as usize, report));
                }
            }
            Event::SettingsChanged(settings) => self.apply_settings(*settings),
            Event::Timer(DISPATCH_TIMER) => self.dispatch_timer_set = false,
            Event::Timer(PROBE_TIMER) => self.probe_stale(),
            Event::Timer(SUBSCRIBE_TIMER) => {
                self.subscribe_pending = false;
                self.outbox.push(Action::Subscribe);
            }
            Event::Timer(token) => self.request_timer(token),
        }
        if dispatches {
            self.dispatch_pending();
        }
        actions.append(&mut self.outbox);
    }
}

/// Adds a sample, capped at `OUTLIER` times the mean, to a mean of at most 200 samples and their count.
fn update_mean((mean, count): &mut (f64, f64), sample: f64, min: f64) {
    *count = (*count + 1.0).min(200.0);
    *mean = (*mean + (sample.min(*mean * OUTLIER) - *mean) / *count).max(min);
}

/// Returns the fraction of a count that is left after a time.
fn decay(age: f64, half_life: f64) -> f64 {
    (-age / half_life).exp2()
}

/// Returns the token of an attempt's timer; the token of a request's own timer has 0 in the low byte.
fn attempt_token(id: RequestId, number: usize) -> u64 {
    u64::from(id.0) << 8 | (number as u64 + 1)
}
