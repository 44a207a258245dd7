//! The decisions of the dispatcher: the balancer's state and its handling of events. `price` computes the
//! price `C = (QL + 1) * PT + CD` of each worker, and `draw_worker` picks a ready one in proportion to
//! `1 / C`. The types of settings, events and actions are in `src/interface/`.

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

/// Running time at the mean pace of the fleet (all workers) per second of hint, until finished jobs show the
/// actual ratio.
const HINT_SCALE_PRIOR: f64 = 1.25;
/// Wait before a suspect worker gets a trial request, the first or another, in seconds.
const TRIAL_WAIT_S: f64 = 1.0;
/// Age of a worker's last report, in seconds, beyond which it is probed where probes exist (the paper's psi).
const STALE_REPORT_S: f64 = 2.0;
/// Share of the objective that an attempt may wait for its start before it is moved to another worker.
const START_PATIENCE_SHARE: f64 = 0.25;
/// Half-life, in seconds, of failure rates, of the rate of repeated errors and of the tenants' use of their
/// quotas.
const RATE_HALF_LIFE_S: f64 = 10.0;
/// Failure rate, beyond that of the best worker, from which a worker is not ready for a class; also the rate
/// of repeated errors above which an error counts as caused by the request itself.
const FAILING_RATE: f64 = 0.5;
/// Gap between events, in seconds, beyond which this dispatcher may have stalled.
const STALL_GAP_S: f64 = 0.3;
/// Cap on a sample, as a multiple of the usual value: a single absurd value must not harm other requests.
const OUTLIER_FACTOR: f64 = 64.0;
/// Token of the timer for the next pass over the queue. Smaller ones belong to requests and attempts.
const DISPATCH_TIMER: u64 = 1 << 62;
/// Token of the timer for the next probes.
const PROBE_TIMER: u64 = DISPATCH_TIMER + 1;
/// Token of the timer for the next request for the list.
const SUBSCRIBE_TIMER: u64 = DISPATCH_TIMER + 2;

/// Turns events into actions. The default has no classes and admits nothing; use [`Balancer::new`].
#[derive(Default)]
pub struct Balancer {
    /// The settings in use.
    settings: Settings,
    /// Source of every random choice, with the seed given to [`Balancer::new`].
    rng: fastrand::Rng,
    /// Time of the balancer's creation.
    start: Time,
    /// Time of the current event.
    now: Time,
    /// Time of the last event that followed a gap longer than `STALL_GAP_S`.
    resumed_at: Time,
    /// `now` in seconds since the start.
    now_s: f64,
    /// Whether the first event has been handled.
    started: bool,
    /// Actions of the current event.
    outbox: Vec<Action>,
    /// The worker list, by worker number.
    entries: Vec<ListEntry>,
    /// Estimates of the same workers.
    workers: Vec<Worker>,
    /// Estimates shared by workers of one machine kind in one zone.
    groups: Vec<Group>,
    /// Estimates of the classes, by class number.
    classes: Vec<ClassStats>,
    /// By tenant: quota in requests per second, requests that it may still make, the share of its quota used
    /// at this dispatcher, and the time at which the last two held, in seconds since the start.
    tenants: Vec<(f64, f64, f64, f64)>,
    /// Requests that are queued or have outstanding attempts.
    requests: HashMap<RequestId, Request>,
    /// The queue in order of service: requests within their tenant's share first, then by rank.
    pending: BTreeSet<(bool, u64, RequestId)>,
    /// Whether a timer for the next pass over the queue is set.
    dispatch_timer_set: bool,
    /// Mean work of arrivals, in slots times seconds: an average that began at 0.1, used for queues and
    /// reports, and one that began at the mean of the classes' objectives, used for cold-start tokens.
    mean_work: [f64; 2],
    /// Running time at the fleet's mean pace per second of hint, and the number of samples; the prior counts
    /// as ten.
    hint_scale: (f64, f64),
    /// Latency reported by a worker of mean pace, in seconds; zero until there is a report.
    base_latency_s: f64,
    /// Arrival times of requests within the retry budget's window.
    recent_requests: VecDeque<Time>,
    /// Times of retries within the retry budget's window.
    recent_retries: VecDeque<Time>,
    /// Share of recent attempts that started late or not at all, in the local and in remote zones.
    late_start_rates: [f64; 2],
    /// Share of recent attempts rejected as full.
    full_rate: f64,
    /// Lowest error rate of a worker in use.
    base_error_rate: f64,
    /// Estimated share of recent attempts whose answers were lost.
    loss_rate: f64,
    /// Share of errors that occurred again at another worker, and the time of its update in seconds since the
    /// start.
    repeat_error_rate: (f64, f64),
    /// Idle time that connections have been found to survive, in seconds; infinite until one has not.
    safe_idle_s: f64,
    /// Backoff before the next request for the list, in seconds; zero after a list has arrived.
    list_backoff_s: f64,
    /// Whether a timer for the next request for the list is set.
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
            resumed_at: now,
            safe_idle_s: f64::INFINITY,
            mean_work: [0.1; 2],
            hint_scale: (HINT_SCALE_PRIOR, 10.0),
            ..Balancer::default()
        };
        balancer.apply_settings(settings);
        Ok(balancer)
    }

    /// Adopts settings. Classes and tenants keep their numbers; open requests keep the lower of the old and
    /// the new limit of attempts.
    fn apply_settings(&mut self, mut settings: Settings) {
        settings.classes.extend(self.settings.classes.iter().skip(settings.classes.len()).cloned());
        for (index, tenant) in settings.tenants.iter().enumerate() {
            let quota = tenant.quota_per_s;
            let part = 1.0 / f64::from(settings.dispatchers);
            self.tenants.resize(self.tenants.len().max(index + 1), (quota, quota * part, part, self.now_s));
            self.tenants[index].0 = quota;
        }
        for class in settings.classes.iter().skip(self.classes.len()) {
            self.mean_work[1] +=
                (class.objective.secs() - self.mean_work[1]) / (self.classes.len() + 1) as f64;
            self.classes
                .push(ClassStats { mean_time: (class.objective.secs().max(1e-3), 1.0), max_window_s: 0.0 });
        }
        let max_attempts = settings.max_attempts as usize;
        self.requests.values_mut().for_each(|r| r.max_attempts = r.max_attempts.min(max_attempts));
        self.settings = settings;
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.resumed_at = if (now - self.now).secs() > STALL_GAP_S { now } else { self.resumed_at };
        self.now = now;
        self.now_s = (now - self.start).secs();
        if !std::mem::replace(&mut self.started, true) {
            // Requests the list where it is not pushed, and starts probing after a random delay of its own.
            self.list_lost(&Event::ListFailed);
            if self.settings.probing {
                let wait = Span::from_secs(STALE_REPORT_S * self.rng.f64());
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
            Event::Probed(WorkerId(worker), ok, report) => {
                // A suspect worker that answers a probe may get its trial request at once.
                if let Some(w) = self.workers.get_mut(worker as usize) {
                    w.trial_at = w.trial_at.map(|trial| if ok { trial.min(self.now_s) } else { trial });
                    report.into_iter().for_each(|report| self.apply_report(worker as usize, report));
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

/// Adds a sample, capped at `OUTLIER_FACTOR` times the mean, to a mean and its number of samples. The number
/// stops at 200, so that later samples keep a weight of 1/200; the mean does not fall below `min_mean`.
fn update_mean((mean, count): &mut (f64, f64), sample: f64, min_mean: f64) {
    *count = (*count + 1.0).min(200.0);
    *mean = (*mean + (sample.min(*mean * OUTLIER_FACTOR) - *mean) / *count).max(min_mean);
}

/// Returns the fraction that is left of a value of this age; both times are in seconds.
fn decay(age_s: f64, half_life_s: f64) -> f64 {
    (-age_s / half_life_s).exp2()
}

/// Returns the token of an attempt's timer: the request's id, and in the low byte the attempt's number plus
/// one. The token of a request's own timer has 0 there.
fn attempt_token(id: RequestId, number: usize) -> u64 {
    u64::from(id.0) << 8 | (number as u64 + 1)
}
