//! The decisions of the dispatcher. Its types, events and actions are in `src/interface/`.

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

/// Running time at the fleet's mean pace for each second of a hint, until jobs show it.
const SCALE_PRIOR: f64 = 1.25;
/// Wait before a suspect worker is tried again, in seconds.
const TRIAL: f64 = 1.0;
/// An entry without news for this long is probed where probes exist (the paper's psi), in seconds.
const STALE: f64 = 2.0;
/// Share of the objective that an attempt may wait for its start before it is moved.
const PATIENCE: f64 = 0.25;
/// Half-life of what was missed of a class at a worker, and of what tenants used, in seconds.
const MISS_HALF_LIFE: f64 = 10.0;
/// Share of failures beyond which a worker is not ready for a class, or an error is the request's own.
const MISS_LIMIT: f64 = 0.5;
/// A while without events that may be a stall of this dispatcher, in seconds.
const STALL: f64 = 0.3;
/// Times what is usual beyond which a figure is taken for no more: a single absurd one must cost nobody else.
const ODD: f64 = 64.0;
const PUMP: u64 = 1 << 62;
const HOUSEKEEPING: u64 = PUMP + 1;
const SUBSCRIBE: u64 = PUMP + 2;

/// The dispatcher. Its default has no classes and takes nothing: [`Balancer::new`] makes one of use.
#[derive(Default)]
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    epoch: Time,
    /// The clock, when it last jumped, seconds since the start; whether it has begun, this event's actions.
    now: Time,
    stalled: Time,
    at: f64,
    begun: bool,
    out: Vec<Action>,
    /// What the list says of each worker, and what is known beside it.
    entries: Vec<ListEntry>,
    workers: Vec<Worker>,
    peers: Vec<Peers>,
    classes: Vec<ClassStat>,
    /// Each tenant's share a second, requests it may still make, the part of its share used here, and when.
    tenants: Vec<(f64, f64, f64, f64)>,
    requests: HashMap<RequestId, Request>,
    /// Requests held, in the order in which they are served: within share first, then by rank.
    held: BTreeSet<(bool, u64, RequestId)>,
    pumping: bool,
    /// Running time of a mean request times its slots, as requests come, from 0.1 s and the objectives on.
    mean_work: [f64; 2],
    /// Running time at the fleet's mean pace for each second of a hint, and the jobs that showed it.
    scale: (f64, f64),
    /// Reported latency of a worker of mean pace.
    base_latency: f64,
    /// When the requests were taken, and attempts beyond a first made, that the budget's window still holds.
    taken: VecDeque<Time>,
    further: VecDeque<Time>,
    /// Share of attempts of late that did not start at once, at home and away.
    late_starts: [f64; 2],
    /// Share of attempts of late that were turned away as full.
    turned_away: f64,
    /// The least share of errors of a worker in use.
    erring: f64,
    /// Share of attempts of late whose answers were lost, by belief.
    losing: f64,
    /// Share of errors that were met again at another worker, and when that was counted.
    again: (f64, f64),
    /// Idle time for which connections have been found to last.
    safe_idle: f64,
    list_backoff: f64,
    subscribing: bool,
    /// The watch is lost: from then on what it can't tell counts as told, and nobody may be sent to.
    blind: Option<Time>,
}

impl Balancer {
    /// A dispatcher that starts now.
    ///
    /// # Errors
    ///
    /// Names the setting that makes no sense.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Result<Balancer, SettingsError> {
        settings.validate()?;
        let mut balancer = Balancer {
            rng: fastrand::Rng::with_seed(seed),
            epoch: now,
            now,
            stalled: now,
            safe_idle: f64::INFINITY,
            mean_work: [0.1; 2],
            scale: (SCALE_PRIOR, 10.0),
            ..Balancer::default()
        };
        balancer.retune(settings);
        Ok(balancer)
    }

    /// Takes settings on: classes and tenants keep their numbers, and requests under way their limit.
    fn retune(&mut self, mut settings: Settings) {
        settings.classes.extend(self.settings.classes.iter().skip(settings.classes.len()).cloned());
        for (t, tenant) in settings.tenants.iter().enumerate() {
            let (quota, part) = (tenant.quota_per_s, 1.0 / f64::from(settings.dispatchers));
            self.tenants.resize(self.tenants.len().max(t + 1), (quota, quota * part, part, self.at));
            self.tenants[t].0 = quota;
        }
        for class in settings.classes.iter().skip(self.classes.len()) {
            self.mean_work[1] +=
                (class.objective.secs() - self.mean_work[1]) / (self.classes.len() + 1) as f64;
            self.classes.push(ClassStat { mean: (class.objective.secs().max(1e-3), 1.0), longest: 0.0 });
        }
        let most = settings.max_attempts as usize;
        self.requests.values_mut().for_each(|r| r.most_attempts = r.most_attempts.min(most));
        self.settings = settings;
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.stalled = if (now - self.now).secs() > STALL { now } else { self.stalled };
        (self.now, self.at) = (now, (now - self.epoch).secs());
        if !std::mem::replace(&mut self.begun, true) {
            // Calls for the list where it must be asked for, and begins to probe at a time of its own.
            self.lost(&Event::ListFailed);
            if self.settings.probing {
                let wait = Span::from_secs(STALE * self.rng.f64());
                self.out.push(Action::Timer(now + wait, HOUSEKEEPING));
            }
        }
        self.count_turns();
        let pumps = !matches!(event, Event::AttemptUpdate(..) | Event::Timer(0..PUMP));
        match event {
            Event::List(kind, entries) => self.list(kind, entries),
            Event::ListFailed | Event::ListSilent | Event::DiscoveryMoved => self.lost(&event),
            Event::Arrival(arrival) => self.arrive(arrival),
            Event::RequestClosed(id) => self.close(id),
            Event::DeadlineExtended(id, deadline) => self.watch_deadline(id, deadline),
            Event::StreamStarted(id, attempt) => {
                self.requests.entry(id).and_modify(|request| request.streaming = true);
                self.noted(id, attempt, AttemptUpdate::Started);
            }
            Event::AttemptUpdate(id, attempt, note) => self.noted(id, attempt, note),
            Event::Ended { .. } => self.ended(event),
            Event::Probed(WorkerId(i), ok, report) => {
                if let Some(w) = self.workers.get_mut(i as usize) {
                    w.trial = w.trial.map(|trial| if ok { trial.min(self.at) } else { trial });
                    report.into_iter().for_each(|report| self.reported(i as usize, report));
                }
            }
            Event::SettingsChanged(settings) => self.retune(*settings),
            Event::Timer(PUMP) => self.pumping = false,
            Event::Timer(HOUSEKEEPING) => self.housekeeping(),
            Event::Timer(SUBSCRIBE) => {
                self.subscribing = false;
                self.out.push(Action::Subscribe);
            }
            Event::Timer(token) => self.request_timer(token),
        }
        if pumps {
            self.pump();
        }
        actions.append(&mut self.out);
    }
}

/// Takes a sight, within `ODD`, into a mean of 200 at the most: the mean, and how many it is of.
fn learn((mean, seen): &mut (f64, f64), sight: f64, least: f64) {
    *seen = (*seen + 1.0).min(200.0);
    *mean = (*mean + (sight.min(*mean * ODD) - *mean) / *seen).max(least);
}

/// What is left of a count after a time.
fn left(age: f64, half_life: f64) -> f64 {
    (-age / half_life).exp2()
}

/// The token of an attempt's timer; the request's own has 0 in the low byte.
fn attempt_token(id: RequestId, number: usize) -> u64 {
    u64::from(id.0) << 8 | (number as u64 + 1)
}
