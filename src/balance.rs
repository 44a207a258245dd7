//! All decisions of the dispatcher. Its types, events and actions stand in `src/interface.rs`.
//!
//! Ordinary path: `price` gives each worker `C = (QL + 1) * PT + CD`, `draw` picks among the ready
//! ones in proportion to `1 / C`. Around it stand the ledger (what notes, answers and reports teach),
//! readiness, the line of held requests, and one choke point each for sending and for settling.

use crate::interface::*;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Floor of a price, in seconds (the paper's xi).
const FLOOR: f64 = 1e-4;
/// Slots a machine kind is taken to have until it shows otherwise.
const SLOTS_PRIOR: f64 = 5.0;
/// Running time at the fleet's mean pace for each second of a hint, until jobs show it.
const SCALE_PRIOR: f64 = 1.25;
/// Jobs' worth of belief in what a worker's kind shows, against what it shows itself.
const KIND_WEIGHT: f64 = 4.0;
/// Half-life of what a worker has shown of its pace (takes the place of the paper's m jobs).
const PACE_HALF_LIFE: f64 = 6.0;
/// Share of a cold worker's budget that all dispatchers together plan to use; many have no use for theirs.
const COLD_USE: f64 = 0.5;
/// Wait before a suspect worker is tried again, in seconds.
const TRIAL: f64 = 1.0;
/// An entry without news for this long is probed where probes exist (the paper's psi), in seconds.
const STALE: f64 = 2.0;
/// Dispatchers that may probe a worker as often as that, or call discovery after the first backoff.
const CROWD: f64 = 8.0;
/// Time in which peers without news are believed idle again, in seconds (8, 30 and 120 were tried).
const FORGET: f64 = 30.0;
/// Gain of one sight in what a worker's peers show of their queues.
const PEER_GAIN: f64 = 0.2;
/// Share of the objective that an attempt may wait for its start before it is moved.
const PATIENCE: f64 = 0.25;
/// Share of a mean job's stretch that a held request may wait through: later starts mostly end late.
const SLACK_USED: f64 = 0.3;
/// Half-life of what was missed of a class at a worker, in seconds.
const MISS_HALF_LIFE: f64 = 10.0;
/// Share of failures beyond which a worker is not ready for a class, or an error is the request's own.
const MISS_LIMIT: f64 = 0.5;
/// Share of its aim by which a hinted job must be expected to end where it is sent: hints and paces err.
const IN_TIME: f64 = 0.9;
/// Times its usual running time after which an attempt is overdue: where answers are lost, and elsewhere.
const OVERDUE: (f64, f64) = (1.4, 3.0);
const LOSING: f64 = 0.3;
/// What starts at home must be late more often, beyond the price of crossing: shares differ so by chance.
const CROSS_MARGIN: f64 = 0.1;
/// Bound on moves and copies where none is stated: withdrawn work may run on. Could harm when many hang.
const MOVES: Budget = Budget { floor: 5.0, ratio: 0.1, window: Span(10_000_000_000) };
/// A while without events that may be a stall of this dispatcher, in seconds.
const STALL: f64 = 0.3;

const PUMP: u64 = 1 << 62;
const HOUSEKEEPING: u64 = PUMP + 1;
const SUBSCRIBE: u64 = PUMP + 2;

/// What this dispatcher has out at a worker.
#[derive(Clone, Copy, Default)]
struct Load {
    /// Slots of attempts outstanding, of those running, and the number not yet known to run.
    own: f64,
    running: f64,
    waiting: u32,
    /// Running jobs: sum of 1/mean, and of start/mean, so that their time so far counts too.
    rate: f64,
    rate_start: f64,
}

/// What is known of a worker.
#[derive(Default)]
struct Worker {
    load: Load,
    /// Share of answers that were errors, then of each class's attempts that failed or did not start; when.
    missed: Vec<(f64, f64)>,
    /// Slots that others took when last seen, when that was, and the group of its peers.
    others: f64,
    others_at: f64,
    group: usize,
    /// Pace: jobs shown and the time they took in units of their classes' means, decaying.
    shown: f64,
    took: f64,
    shown_at: f64,
    latency: Option<f64>,
    reported_at: f64,
    /// Way there and back beyond the job itself (CD).
    transfer: f64,
    heard: f64,
    /// Since when each idle connection to it has been idle, the newest last.
    idle: Vec<f64>,
    /// While suspect: when it may be tried.
    trial: Option<f64>,
    /// Turns to send to it while cold, and when that was counted.
    turns: f64,
    turns_at: f64,
    /// A list has named it; one has called it draining since its process last started.
    listed: bool,
    drained: bool,
    /// It has come back from a drain and was not sent to since.
    returned: bool,
}

/// What the workers of one machine kind in one zone show together: their room, pace and queues.
struct Peers {
    key: (KindId, ZoneId),
    /// Usual time to a start note over an open connection, and over a new one.
    ways: [f64; 2],
    slots: f64,
    shown: f64,
    took: f64,
    others: f64,
    seen_at: f64,
}

/// What a class of request shows: mean running time at the fleet's mean pace.
struct ClassStat {
    mean: f64,
    seen: f64,
    longest: f64,
}

#[derive(Default)]
struct Attempt {
    worker: usize,
    sent: Time,
    started: Option<Time>,
    heard: Time,
    /// How long its connection had been idle; zero for a new one.
    idle: f64,
    ended: Option<Outcome>,
    cancelled: bool,
    /// It should have ended long ago; its answer is taken for lost, and it for no load any more.
    overdue: bool,
    lost: bool,
}

#[derive(Default)]
struct Request {
    class: usize,
    slots: f64,
    /// Running time at the fleet's mean pace: by its hint, else its class's mean when it came.
    work: f64,
    hint: f64,
    /// When it came, and the time from then on by which it is to be done.
    came: f64,
    aim: f64,
    deadline: Time,
    most_attempts: usize,
    /// Beyond `latest` a start is of no use; at `withdraw` a waiting attempt is given up.
    latest: Time,
    withdraw: Time,
    over_share: bool,
    /// Where an earlier try of it may have run.
    prior: Option<Prior>,
    /// Share of the room that it leaves to dearer work when workers are full.
    yields: f64,
    /// Place in the line: work for each unit of worth.
    rank: u64,
    settled: bool,
    streaming: bool,
    attempts: Vec<Attempt>,
}

impl Request {
    fn outstanding(&self) -> bool {
        self.attempts.iter().any(|a| a.ended.is_none())
    }
}

/// The dispatcher. Its default has no classes and takes nothing: [`Balancer::new`] makes one of use.
#[derive(Default)]
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    epoch: Time,
    /// The clock, when it last jumped, seconds since the start, number and actions so far of this event.
    now: Time,
    stalled: Time,
    at: f64,
    event: u64,
    out: Vec<Action>,
    /// What the list says of each worker, and what is known beside it.
    entries: Vec<ListEntry>,
    workers: Vec<Worker>,
    peers: Vec<Peers>,
    classes: Vec<ClassStat>,
    /// Each tenant's rate here within its share, the requests it may still make, and when that was counted.
    tenants: Vec<(f64, f64, f64)>,
    requests: HashMap<RequestId, Request>,
    /// Requests held, in the order in which they are served: within share first, then by rank.
    held: BTreeSet<(bool, u64, RequestId)>,
    pumping: bool,
    /// Running time of a mean request times its slots, as requests come.
    mean_work: f64,
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
    /// The watch is silent: from then on what it can't tell counts as told, and nobody may be sent to.
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
            list_backoff: 0.2,
            mean_work: 0.1,
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
            let rate = tenant.quota_per_s * (1.0 / f64::from(settings.dispatchers));
            self.tenants.resize(self.tenants.len().max(t + 1), (rate, rate, self.at));
            self.tenants[t].0 = rate;
        }
        for class in settings.classes.iter().skip(self.classes.len()) {
            self.classes.push(ClassStat { mean: class.objective.secs().max(1e-3), seen: 1.0, longest: 0.0 });
        }
        let most = settings.max_attempts as usize;
        self.requests.values_mut().for_each(|r| r.most_attempts = r.most_attempts.min(most));
        self.settings = settings;
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.stalled = if (now - self.now).secs() > STALL { now } else { self.stalled };
        (self.now, self.at) = (now, (now - self.epoch).secs());
        self.event += 1;
        if self.event == 1 {
            // Calls for the list where it must be asked for, and begins to probe at a time of its own.
            self.list_failed(false);
            if self.settings.probing {
                let wait = Span::from_secs(STALE * self.rng.f64());
                self.out.push(Action::Timer(now + wait, HOUSEKEEPING));
            }
        }
        let pumps = !matches!(event, Event::Noted(..) | Event::Timer(0..PUMP));
        match event {
            Event::List(kind, entries) => self.list(kind, entries),
            Event::ListFailed | Event::ListSilent => self.list_failed(event == Event::ListSilent),
            Event::Arrival(arrival) => self.arrive(arrival),
            Event::Closed(id) => self.close(id),
            Event::Extended(id, deadline) => self.watch_deadline(id, deadline),
            Event::Began(id, attempt) => {
                self.requests.entry(id).and_modify(|request| request.streaming = true);
                self.noted(id, attempt, Note::Started);
            }
            Event::Noted(id, attempt, note) => self.noted(id, attempt, note),
            Event::Ended { request, attempt, outcome, closed, report } => {
                self.ended(request, attempt, outcome, closed, report);
            }
            Event::Probed(worker, ok, report) => {
                let i = worker.0 as usize;
                if let Some(w) = self.workers.get_mut(i) {
                    w.trial = w.trial.map(|trial| if ok { trial.min(self.at) } else { trial });
                    report.into_iter().for_each(|report| self.reported(i, report));
                }
            }
            Event::Retuned(settings) => self.retune(*settings),
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

    // ---- the list ----

    fn list(&mut self, kind: ListKind, entries: Vec<ListEntry>) {
        let alone = self.settings.drain_binds_alone;
        let full = kind != ListKind::Delta;
        let missing = |old: &&mut ListEntry| full && !entries.iter().any(|e| e.worker == old.worker);
        self.entries.iter_mut().filter(missing).for_each(|old| old.standing = Standing::Gone);
        for mut entry in entries {
            let i = entry.worker.0 as usize;
            for n in self.workers.len()..=i {
                let worker = WorkerId(n as u32);
                self.entries.push(ListEntry { worker, standing: Standing::Gone, ..entry.clone() });
                self.workers.push(Worker::default());
            }
            let key = (entry.kind, entry.zone);
            let group = self.peers.iter().position(|p| p.key == key).unwrap_or(self.peers.len());
            if group == self.peers.len() {
                let (slots, seen_at, ways) = (SLOTS_PRIOR, self.at, [0.03; 2]);
                self.peers.push(Peers { key, ways, slots, shown: 0.0, took: 0.0, others: 0.0, seen_at });
            }
            // Where gone does not bind, a list may be old: a drain once seen holds until a later start.
            let (old, listed) = (&self.entries[i], self.workers[i].listed);
            let other = entry.up_since != old.up_since || old.standing == Standing::Gone;
            let later = if alone { entry.up_since > old.up_since } else { other };
            entry.up_since = entry.up_since.max(old.up_since.filter(|_| alone && listed));
            let held = alone && !later && self.workers[i].drained;
            let back = self.workers[i].drained && !held && entry.standing == Standing::Ready;
            if later || !listed {
                // A new process: nothing that the old one showed holds. What is out there still counts.
                let age = entry.up_since.map_or(0.0, |up| (self.now - up).secs());
                let place = f64::from(self.settings.number) / f64::from(self.settings.dispatchers);
                let w = &mut self.workers[i];
                let (load, transfer, now) = (w.load, w.transfer, self.at);
                *w = Worker { load, transfer, group, heard: now, others_at: now, ..Worker::default() };
                (w.turns, w.turns_at) = ((place + 0.618 * i as f64).fract(), now - age);
            }
            let w = &mut self.workers[i];
            (w.listed, w.drained) = (true, held || entry.standing == Standing::Draining);
            w.returned |= back;
            self.entries[i] = entry;
        }
        (self.list_backoff, self.blind) = (0.2, None);
    }

    /// Asks again after a growing wait, shared by all: not in step, nor so often that all calls wait in vain.
    fn list_failed(&mut self, silent: bool) {
        self.blind = self.blind.or(silent.then_some(self.now + self.settings.told_within));
        if self.settings.discovery == Discovery::Asked && !self.subscribing {
            self.subscribing = true;
            let told = self.blind.map(|_| self.settings.told_within.secs() * 2.0 * self.list_backoff);
            let most = told.unwrap_or(self.settings.ask_within.secs().max(2.0));
            let wait = (self.list_backoff * self.crowd()).min(most) * self.rng.f64();
            self.list_backoff = (self.list_backoff * 2.0).min(2.0);
            self.out.push(Action::Timer(self.now + Span::from_secs(wait), SUBSCRIBE));
        }
    }

    /// How many times more dispatchers there are than may do a thing as often as one alone.
    fn crowd(&self) -> f64 {
        (f64::from(self.settings.dispatchers) / CROWD).max(1.0)
    }

    /// Probes entries without news, so often that many dispatchers probe a worker no more than `CROWD`.
    fn housekeeping(&mut self) {
        let psi = STALE * self.crowd();
        for (entry, w) in self.entries.iter().zip(&mut self.workers) {
            if w.listed && !w.drained && entry.standing == Standing::Ready && self.at - w.reported_at > psi {
                w.reported_at = self.at;
                self.out.push(Action::Probe(entry.worker));
            }
        }
        self.out.push(Action::Timer(self.now + Span::from_secs(psi / 4.0), HOUSEKEEPING));
    }

    // ---- the ledger ----

    /// How many times longer than the fleet's mean a job takes at this worker. Jobs that are still
    /// running count with their time so far, so a worker that slows or stalls grows dear at once.
    fn slowness(&self, i: usize) -> f64 {
        let load = &self.workers[i].load;
        self.pace(i, (load.rate * self.at - load.rate_start).max(0.0))
    }

    /// The same by the jobs that have ended, with those still running counted for `so_far`.
    fn pace(&self, i: usize, so_far: f64) -> f64 {
        let w = &self.workers[i];
        let (keep, kind) = (left(self.at - w.shown_at, PACE_HALF_LIFE), self.peers(i));
        let prior = (KIND_WEIGHT + kind.took) / (KIND_WEIGHT + kind.shown);
        (KIND_WEIGHT * prior + w.took * keep + so_far) / (KIND_WEIGHT + w.shown * keep)
    }

    /// Books that a job, or the mean one of a report, took `ratio` times what is usual.
    fn show_pace(&mut self, i: usize, ratio: f64) {
        let w = &mut self.workers[i];
        let keep = left(self.at - w.shown_at, PACE_HALF_LIFE);
        (w.shown, w.took, w.shown_at) = (w.shown * keep + 1.0, w.took * keep + ratio, self.at);
        let peers = &mut self.peers[w.group];
        (peers.shown, peers.took) = (peers.shown * 0.995 + 1.0, peers.took * 0.995 + ratio);
    }

    fn peers(&self, i: usize) -> &Peers {
        &self.peers[self.workers[i].group]
    }

    /// Slots taken and queued at a worker: own ones, and others' as last seen, fading to what is usual.
    fn queue(&self, i: usize) -> f64 {
        let w = &self.workers[i];
        let age = self.at - w.others_at;
        let fade = (-age / (2.0 * self.mean_work).max(0.02)).exp();
        let group = self.peers(i);
        let usual = group.others * (-(self.at - group.seen_at) / FORGET).exp();
        w.load.own + usual + (w.others - usual) * fade
    }

    fn see_others(&mut self, i: usize, others: f64) {
        let w = &mut self.workers[i];
        (w.others, w.others_at) = (others.max(0.0), self.at);
        let group = &mut self.peers[w.group];
        group.others += PEER_GAIN * (w.others - group.others);
        group.seen_at = self.at;
    }

    fn reported(&mut self, i: usize, report: Report) {
        self.workers[i].reported_at = self.at;
        let (running, peers) = (self.workers[i].load.running, &mut self.peers[self.workers[i].group]);
        let room = peers.slots;
        peers.slots = room.max(report.free_slots.map_or(0.0, f64::round));
        let used = match (report.free_slots, report.inflight) {
            (Some(free), _) if free >= 0.5 => Some(room - free),
            (Some(_), Some(inflight)) => Some(inflight.max(room)),
            (_, inflight) => inflight,
        };
        used.into_iter().for_each(|used| self.see_others(i, used - running));
        // Errors a second, but for a single one, beside what is in hand: the whole fleet's losses, not own.
        if let (Some(errors), Some(inflight)) = (report.errors_per_s, report.inflight) {
            let share = (errors - 1.0) / (errors + inflight / self.mean_work).max(1.0);
            self.book(i, 0, share.max(self.missed(i, 0)));
        }
        if let Some(latency) = report.latency.map(Span::secs)
            && latency > 0.0
            && self.workers[i].latency != Some(latency)
        {
            self.workers[i].latency = Some(latency);
            let mean = latency / self.slowness(i);
            let gain = if self.base_latency == 0.0 { 1.0 } else { 0.05 };
            self.base_latency += gain * (mean - self.base_latency);
            self.show_pace(i, latency / self.base_latency);
        }
    }

    /// Whether a worker gets nothing for now by choice: it is suspect, or fails most of what it gets.
    pub fn avoids(&self, worker: WorkerId) -> bool {
        let i = worker.0 as usize;
        let known = self.workers.get(i);
        known.is_some_and(|w| w.trial.is_some() || self.missed(i, 0) - self.erring >= MISS_LIMIT)
    }

    // ---- readiness, price and draw ----

    /// Share of its capacity that a worker can be counted on for, given its start.
    fn warmth(&self, i: usize) -> f64 {
        let up = self.entries[i].up_since;
        let age = up.map_or(f64::INFINITY, |up| (self.now - up).secs());
        let rise = (1.0 - self.settings.cold_from) * age / self.settings.warm_after.secs().max(1e-3);
        (self.settings.cold_from + rise).min(1.0)
    }

    /// Turns to send a cold worker a mean job: as many a second as fit in its budget, one dispatcher after
    /// the other. One not used while the budget's window lasts is lost. Guards against the herd on a worker
    /// that starts; could do harm where few dispatchers carry most of the traffic.
    fn cold_turns(&self, i: usize) -> f64 {
        let w = &self.workers[i];
        let capacity = self.peers(i).slots / self.slowness(i) * self.warmth(i) / self.mean_work;
        let share = self.settings.fall_multiple * COLD_USE / f64::from(self.settings.dispatchers);
        let turns = w.turns + capacity * share * (self.at - w.turns_at);
        let kept = capacity * share * self.settings.fall.secs();
        if turns > kept + 1.0 { turns - (turns - kept).floor() } else { turns }
    }

    /// Whether the list leaves the worker in use: draining binds always, gone only where the rules say so.
    fn usable(&self, i: usize) -> bool {
        let (standing, w) = (self.entries[i].standing, &self.workers[i]);
        let sighted = self.blind.is_none_or(|told| self.now < told);
        sighted && w.listed && !w.drained && (standing == Standing::Ready || self.settings.drain_binds_alone)
    }

    /// When the request's next attempt is within the budget that the rules state.
    fn turn_at(&mut self, id: RequestId) -> Option<Time> {
        let free = self.settings.budget.is_none() || self.requests[&id].attempts.is_empty();
        if free { Some(self.now) } else { self.turn() }
    }

    /// When another attempt beyond a request's first is within the budget, as of now; never if `None`.
    fn turn(&mut self) -> Option<Time> {
        let Budget { floor, ratio, window } = self.settings.budget.unwrap_or(MOVES);
        // The taken leave the window a tick early and the attempts a tick late.
        let (now, tick) = (self.now, self.settings.tick);
        self.taken.drain(..self.taken.partition_point(|t| *t + window <= now + tick));
        self.further.drain(..self.further.partition_point(|t| *t + window + tick <= now));
        let most = (floor + ratio * self.taken.len() as f64 + 1e-9).floor() as usize;
        match (self.further.len() + 1).saturating_sub(most) {
            0 => Some(now),
            over => self.further.get(over - 1).map(|t| *t + window + tick),
        }
    }

    /// Where the request may have run first, at an earlier try or at this one.
    fn may_have_run(&self, request: &Request) -> Option<Prior> {
        let ran = request.attempts.iter().find(|a| a.ended.is_none_or(|o| !o.never_ran()));
        request.prior.or_else(|| ran.map(|a| self.entries[a.worker].prior(a.sent)))
    }

    /// Whether the rules and the request's effect allow this worker at all.
    fn allowed(&self, request: &Request, i: usize) -> bool {
        let entry = &self.entries[i];
        let class = &self.settings.classes[request.class];
        let fits = self.usable(i) && class.kind.is_none_or(|kind| kind == entry.kind);
        if !fits || self.warmth(i) < 1.0 && self.cold_turns(i) < 1.0 {
            return false;
        }
        let Some(first) = self.may_have_run(request) else { return true };
        match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed(group) => {
                let until = first.sent + class.window - Span(self.settings.tick.0 * 2);
                first.shares(group, entry) && self.now < until
            }
        }
    }

    /// Whether a worker would take the request at once, by belief.
    fn ready(&self, request: &Request, i: usize, queue: f64, time: f64) -> bool {
        let safe = self.settings.classes[request.class].effect == Effect::Safe;
        let w = &self.workers[i];
        let left = 1.0 - request.yields * self.turned_away;
        let tried = w.trial.is_none_or(|trial| safe && self.at >= trial && w.load.waiting == 0);
        // Where a hint tells how long the job runs: not where it would end too late to be of use.
        let done = self.at - request.came + time;
        tried
            && (request.hint == 0.0 || done <= request.aim * IN_TIME)
            && self.fails(i, request.class) < MISS_LIMIT
            && queue + request.slots.ceil() <= self.peers(i).slots * left + 0.5
    }

    fn away(&self, i: usize) -> bool {
        Some(self.entries[i].zone) != self.settings.zone
    }

    /// Whether a send there leaves home, and whether it needs a new connection, where that has a price.
    fn extra(&self, i: usize) -> (bool, bool) {
        let (prices, idle) = (&self.settings.prices, self.workers[i].idle.last());
        let limit = self.settings.idle_limit.secs().min(self.safe_idle);
        let [home, far] = self.late_starts;
        let away = prices.cross_zone > 0.0 && self.away(i) && home - far <= prices.cross_zone + CROSS_MARGIN;
        (away, prices.handshake > 0.0 && idle.is_none_or(|since| self.at - since >= limit))
    }

    /// `C = (QL + 1) * PT + CD`, over the chance that the attempt succeeds.
    fn price(&self, request: &Request, i: usize, queue: f64, time: f64, new: bool) -> f64 {
        let class = &self.settings.classes[request.class];
        let price = self.settings.prices.cross_zone * f64::from(u8::from(self.away(i)))
            + self.settings.prices.handshake * f64::from(u8::from(new));
        let transfer =
            self.workers[i].transfer + price * (class.objective.secs() + class.stretch * request.work);
        (((queue + 1.0) * time + transfer) / (1.0 - self.fails(i, request.class)).max(0.05)).max(FLOOR)
    }

    /// Draws a ready worker in proportion to `1 / C`.
    fn draw(&mut self, id: RequestId, avoid: Option<usize>) -> Option<usize> {
        let request = self.requests.remove(&id)?;
        let (mut candidates, mut total) = (Vec::new(), 0.0);
        // Where crossing zones or a new connection has a price, a ready worker that costs neither leaves
        // the others out of the draw: home comes first, then an open connection.
        let mut least = (true, true);
        for i in 0..self.workers.len() {
            // Whoever was put back gets one request soon, and whoever erred with this one is asked last.
            let erred = request.attempts.iter().any(|a| a.worker == i && a.ended == Some(Outcome::Error));
            let extra = if erred { (true, true) } else { self.extra(i) };
            let extra = if self.workers[i].returned { (false, false) } else { extra };
            if extra > least || Some(i) == avoid || !self.allowed(&request, i) {
                continue;
            }
            let (queue, time) = (self.queue(i).max(0.0), request.work * self.slowness(i) / self.warmth(i));
            if self.ready(&request, i, queue, time) {
                if extra < least {
                    candidates.clear();
                    (least, total) = (extra, 0.0);
                }
                total += 1.0 / self.price(&request, i, queue, time, extra.1);
                candidates.push((i, total));
            }
        }
        let point = self.rng.f64() * total;
        let chosen = candidates.iter().find(|c| point < c.1).or(candidates.last()).map(|c| c.0);
        self.requests.insert(id, request);
        chosen
    }

    // ---- requests ----

    fn arrive(&mut self, arrival: Arrival) {
        let Arrival { request: id, class, tenant, deadline, estimate, .. } = arrival;
        let (c, slots) = (class.0 as usize, arrival.slots.max(arrival.memory).max(1.0));
        if c >= self.classes.len() || self.requests.contains_key(&id) {
            return;
        }
        let over_share = tenant.is_some_and(|t| self.over_share(t.0 as usize));
        let (settings, stat) = (&self.settings.classes[c], &mut self.classes[c]);
        // A later try carries the first one's deadline: what is missing is its age, but not over two thirds.
        let window = (deadline - self.now).secs();
        stat.longest = stat.longest.max(window);
        let retry = if self.settings.marks_retries { arrival.retry } else { window > stat.longest / 3.0 };
        let age = if retry { (stat.longest - window).max(0.0) } else { 0.0 };
        let hint = estimate.secs();
        let work = if hint > 0.0 { hint * self.scale.0 } else { stat.mean };
        let mean = stat.mean;
        let start_by = |share: f64| {
            let slack =
                settings.objective.secs() + share * (settings.stretch - 1.0).max(0.0) * mean.max(work);
            (self.now + Span::from_secs((slack - age).max(0.0))).min(deadline)
        };
        let latest = start_by(SLACK_USED);
        // Where misses are weighed, a refusal within the aim is none. Unsafe work, which could only fail,
        // waits on. Guards against full workers that run what is late; could do harm where clients retry.
        let withdraw = match settings.effect {
            _ if self.settings.tail.weight > 0.0 => latest,
            Effect::Unsafe => deadline,
            _ => start_by(2.0),
        };
        self.mean_work += 0.03 * (mean * slots - self.mean_work);
        let rank = (work * slots / settings.worth * 1e6) as u64;
        let by_work = self.settings.worth_by_work;
        let dear = |class: &Class, stat: &ClassStat| class.worth / if by_work { 1.0 } else { stat.mean };
        let all = self.settings.classes.iter().zip(&self.classes);
        let dearest = all.map(|(class, stat)| dear(class, stat)).fold(0.0, f64::max);
        let yields = 1.0 - dear(settings, &self.classes[c]) / slots / dearest;
        let mut request = Request { class: c, slots, work, deadline, latest, withdraw, ..Request::default() };
        (request.over_share, request.rank, request.yields) = (over_share, rank, yields);
        (request.hint, request.came, request.prior) = (hint, self.at - age, arrival.prior);
        request.most_attempts = self.settings.max_attempts as usize;
        request.aim = settings.objective.secs() + settings.stretch * if hint > 0.0 { hint } else { work };
        self.requests.insert(id, request);
        self.taken.push_back(self.now);
        self.turn();
        self.watch_deadline(id, deadline);
        self.held.insert((over_share, rank, id));
    }

    fn watch_deadline(&mut self, id: RequestId, deadline: Time) {
        self.requests.entry(id).and_modify(|request| request.deadline = deadline);
        let margin = Span(self.settings.tick.0 * 2);
        self.out.push(Action::Timer((deadline - margin).max(self.now), u64::from(id.0) << 8));
    }

    /// Whether the tenant's requests here exceed its share of what this dispatcher carries.
    fn over_share(&mut self, t: usize) -> bool {
        let Some((rate, tokens, at)) = self.tenants.get_mut(t) else { return false };
        (*tokens, *at) = ((*tokens + *rate * (self.at - *at)).min(*rate * 2.0), self.at);
        let over = *tokens < 1.0;
        *tokens -= f64::from(u8::from(!over));
        over
    }

    /// Serves the line: sends what finds a ready worker, refuses what aim or budget leave no time for.
    fn pump(&mut self) {
        let line: Vec<_> = self.held.iter().copied().collect();
        // What found no worker: another of the same kind would not either.
        let mut failed = Vec::new();
        for (_, _, id) in line {
            let request = &self.requests[&id];
            let what = (request.class, request.slots, self.may_have_run(request).map(|p| (p.zone, p.cell)));
            let latest = request.latest;
            let turn = self.turn_at(id);
            if self.now >= latest || turn.is_none_or(|turn| turn >= latest) {
                self.settle(id);
            } else if turn == Some(self.now) && failed.len() < 8 && !failed.contains(&what) {
                match self.draw(id, None) {
                    Some(worker) => self.send(id, worker),
                    None => failed.push(what),
                }
            }
        }
        if !self.held.is_empty() && !self.pumping {
            self.pumping = true;
            let wait = Span(10_000_000 * (1 + self.workers.len() as u64 / 16));
            self.out.push(Action::Timer(self.now + self.settings.tick.max(wait), PUMP));
        }
    }

    /// The one place that sends.
    fn send(&mut self, id: RequestId, i: usize) {
        let request = &self.requests[&id];
        let (number, class) = (request.attempts.len(), request.class);
        let blocked = !self.settings.parallel && request.outstanding();
        let left = number < request.most_attempts;
        if request.settled || blocked || !left || !self.allowed(request, i) {
            return;
        }
        if number > 0 {
            if self.turn_at(id) != Some(self.now) {
                return;
            }
            self.further.push_back(self.now);
        }
        let turns = self.cold_turns(i);
        let request = self.requests.get_mut(&id).expect("looked up above");
        self.held.remove(&(request.over_share, request.rank, id));
        let w = &mut self.workers[i];
        // A connection that may have been dropped unseen is closed; unsafe work keeps further away.
        let unsafe_work = self.settings.classes[request.class].effect == Effect::Unsafe;
        let mut idle = w.idle.pop().map_or(0.0, |since| self.at - since);
        if idle > self.safe_idle / if unsafe_work { 2.0 } else { 1.0 } {
            self.out.push(Action::Release(WorkerId(i as u32)));
            w.idle.clear();
            idle = 0.0;
        }
        (w.turns, w.turns_at) = (turns - request.work * request.slots / self.mean_work, self.at);
        w.returned = false;
        w.load.own += request.slots;
        w.load.waiting += 1;
        w.trial = w.trial.map(|_| self.at + TRIAL);
        let (worker, sent, heard) = (i, self.now, self.now);
        request.attempts.push(Attempt { worker, sent, heard, idle, ..Attempt::default() });
        self.out.push(Action::Send(id, WorkerId(i as u32)));
        if self.settings.tells_start {
            let due = self.start_due(i, idle, class);
            self.out.push(Action::Timer(self.now + due, attempt_token(id, number)));
        }
    }

    /// When a start note is due after a send: beyond the way there, a wait that matters little is none.
    fn start_due(&self, i: usize, idle: f64, class: usize) -> Span {
        let way = self.peers(i).ways[usize::from(idle == 0.0)];
        let little = PATIENCE * 0.5 * self.settings.classes[class].objective.secs();
        Span::from_secs(way * 1.5 + little + self.settings.tick.secs())
    }

    /// Books whether a connection lasted while it was idle. Guards against connections dropped unseen,
    /// where that shows by a reset; could do harm by handshakes where workers crash.
    fn lasted(&mut self, idle: f64, well: bool) {
        if well && idle > self.safe_idle / 2.0 {
            self.safe_idle *= 1.1;
        } else if !well && idle > 0.0 {
            let most = self.settings.idle_limit.secs().min(self.safe_idle);
            self.safe_idle = most.min(idle.max(most / 8.0)) * 0.9;
        }
    }

    /// The one place that settles: refused for an objective if a repeat can do no harm, else failed.
    fn settle(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.settled) else { return };
        let harmless = match self.settings.classes[request.class].effect {
            Effect::Safe | Effect::Keyed(Group::All) => true,
            _ => self.may_have_run(request).is_none(),
        };
        let off = self.settings.max_hold_off.min(self.settings.classes[request.class].objective);
        self.out.push(if harmless { Action::Refuse(id, off) } else { Action::Fail(id) });
        self.close(id);
    }

    /// Nothing more is owed: takes the request off the line and withdraws what is outstanding.
    fn close(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        self.held.remove(&(request.over_share, request.rank, id));
        request.settled = true;
        if self.settings.cancel && !request.streaming {
            let open = |(_, a): &(usize, &mut Attempt)| a.ended.is_none() && !a.cancelled;
            for (number, attempt) in request.attempts.iter_mut().enumerate().filter(open) {
                attempt.cancelled = true;
                self.out.push(Action::Cancel(id, number as u32));
            }
        }
        if !request.outstanding() {
            self.requests.remove(&id);
        }
    }

    fn noted(&mut self, id: RequestId, number: u32, note: Note) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (class, slots, work, hinted) = (request.class, request.slots, request.work, request.hint > 0.0);
        let attempt = request.attempts.get_mut(number as usize).filter(|a| a.ended.is_none());
        let Some(attempt) = attempt else { return };
        attempt.heard = self.now;
        let (i, idle, delay) = (attempt.worker, attempt.idle, (self.now - attempt.sent).secs());
        if note == Note::Started && attempt.started.is_none() {
            attempt.started = Some(self.now);
            self.lasted(idle, true);
            let due = self.start_due(i, idle, class).secs();
            let w = &mut self.workers[i];
            w.load.waiting -= 1;
            w.load.running += slots;
            w.load.rate += 1.0 / work;
            w.load.rate_start += self.at / work;
            let way = &mut self.peers[w.group].ways[usize::from(idle == 0.0)];
            *way += if delay < *way { 0.3 } else { 0.03 } * (delay.min(*way * 3.0) - *way);
            // Room is what may be believed to be at a worker while starts come at once. Guards against slots
            // that lie idle because they come free unseen; could do harm where peers differ in slots.
            let (room, prompt) = (self.peers(i).slots, delay <= due);
            let objective = self.settings.classes[class].objective.secs();
            self.start_seen(i, delay <= due + objective * PATIENCE);
            let excess = self.queue(i) - room;
            let change = if prompt { (0.5 * excess).clamp(0.0, 0.5) } else { 0.2 * excess.signum().min(0.0) };
            if !prompt {
                self.see_others(i, room - self.workers[i].load.own);
            }
            self.peers[self.workers[i].group].slots = (room + change).max(1.0);
            if hinted && self.settings.progress.0 == 0 {
                let due = self.now + self.overdue(i, work);
                self.out.push(Action::Timer(due, attempt_token(id, number as usize)));
            }
        }
        (self.workers[i].heard, self.workers[i].trial) = (self.at, None);
    }

    /// How long after its start an attempt is overdue. Where answers have been lost of late, that is soon.
    fn overdue(&self, i: usize, work: f64) -> Span {
        let patience = if self.losing > LOSING { OVERDUE.0 } else { OVERDUE.1 };
        Span::from_secs(work * self.pace(i, 0.0) * patience + self.settings.tick.secs())
    }

    /// Looks after a running attempt whose end is overdue: a second copy may be in time. Guards against lost
    /// answers; could do harm where jobs run longer than hinted, so it waits longer until some were lost.
    fn look_after_running(&mut self, id: RequestId, number: usize) {
        let request = &self.requests[&id];
        let (work, newest) = (request.work, number + 1 == request.attempts.len());
        let attempt = &request.attempts[number];
        let (i, start) = (attempt.worker, attempt.started.unwrap_or(self.now));
        let due = start + self.overdue(i, work);
        if self.now < due {
            self.out.push(Action::Timer(due, attempt_token(id, number)));
            return;
        }
        if !attempt.overdue {
            self.losing += 0.1 * (1.0 - self.losing);
            let lost = self.losing > LOSING;
            if lost {
                self.unload(id, number);
            }
            let attempt = &mut self.requests.get_mut(&id).expect("looked up above").attempts[number];
            (attempt.overdue, attempt.lost) = (true, lost);
        }
        if newest
            && self.settings.parallel
            && number + 1 < self.requests[&id].most_attempts
            && self.turn() == Some(self.now)
            && let Some(other) = self.draw(id, Some(i))
        {
            self.send(id, other);
        } else if newest && self.at < self.requests[&id].came + self.requests[&id].aim {
            let wait = Span::from_secs(work * 0.25).max(self.settings.tick);
            self.out.push(Action::Timer(self.now + wait, attempt_token(id, number)));
        }
    }

    /// Takes an attempt that has ended, or is believed to have, off its worker's load.
    fn unload(&mut self, id: RequestId, number: usize) {
        let request = &self.requests[&id];
        let (slots, work, attempt) = (request.slots, request.work, &request.attempts[number]);
        if attempt.lost {
            return;
        }
        let load = &mut self.workers[attempt.worker].load;
        load.own = (load.own - slots).max(0.0);
        let Some(start) = attempt.started else {
            load.waiting -= 1;
            return;
        };
        load.running = (load.running - slots).max(0.0);
        load.rate -= 1.0 / work;
        load.rate_start -= (start - self.epoch).secs() / work;
        if load.running == 0.0 {
            (load.rate, load.rate_start) = (0.0, 0.0);
        }
    }

    fn start_seen(&mut self, i: usize, prompt: bool) {
        let place = usize::from(self.away(i));
        self.late_starts[place] += 0.05 * (f64::from(u8::from(!prompt)) - self.late_starts[place]);
        self.late_starts[1] *= 0.998;
    }

    /// Books whether a worker failed an attempt, by error or unstarted: of all classes (0), of its own.
    /// Guards against a class or a worker that fails, fast and so idle; could do harm in a full fleet.
    fn miss(&mut self, i: usize, places: &[usize], missed: f64) {
        for place in places {
            let before = self.missed(i, *place);
            self.book(i, *place, before + 0.2 * (missed - before));
        }
        let used = (0..self.workers.len()).filter(|w| self.usable(*w));
        self.erring = used.map(|w| self.missed(w, 0)).fold(1.0, f64::min);
    }

    fn book(&mut self, i: usize, place: usize, share: f64) {
        self.workers[i].missed.resize(self.classes.len() + 1, (0.0, 0.0));
        self.workers[i].missed[place] = (share, self.at);
    }

    fn missed(&self, i: usize, place: usize) -> f64 {
        let known = self.workers[i].missed.get(place);
        known.map_or(0.0, |(share, at)| share * left(self.at - at, MISS_HALF_LIFE))
    }

    /// What a worker fails of a class beyond the errors of the best. Not beyond those met anywhere: whoever
    /// fails fast meets most requests, and would be the measure itself.
    fn fails(&self, i: usize, class: usize) -> f64 {
        let missed = self.missed(i, class + 1).max(self.missed(i, 0));
        (missed - self.erring).max(0.0) / (1.0 - self.erring).max(0.05)
    }

    fn ended(&mut self, id: RequestId, number: u32, outcome: Outcome, closed: bool, report: Option<Report>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (class, work, hint) = (request.class, request.work, request.hint);
        let attempt = request.attempts.get_mut(number as usize).filter(|a| a.ended.is_none());
        let Some(attempt) = attempt else { return };
        attempt.ended = Some(outcome);
        let (i, sent, started, idle) = (attempt.worker, attempt.sent, attempt.started, attempt.idle);
        let due = self.start_due(i, idle, class);
        report.into_iter().for_each(|report| self.reported(i, report));
        let slowness = self.slowness(i);
        self.turned_away += 0.1 * (f64::from(u8::from(outcome == Outcome::Full)) - self.turned_away);
        if started.is_none() && outcome != Outcome::Moot {
            self.start_seen(i, false);
        }
        let doomed = self.again.0 * left(self.at - self.again.1, MISS_HALF_LIFE);
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Full) {
            self.workers[i].idle.push(self.at);
            (self.workers[i].heard, self.workers[i].trial) = (self.at, None);
        }
        self.unload(id, number as usize);
        let w = &mut self.workers[i];
        match outcome {
            Outcome::Ok => {
                self.losing -= 0.02 * self.losing;
                let total = (self.now - sent).secs();
                let ran = match started {
                    Some(start) => (self.now - start).secs(),
                    None => w.latency.unwrap_or(total).min(total),
                };
                w.transfer += 0.1 * (total - ran - w.transfer);
                self.miss(i, &[0, class + 1], 0.0);
                let stat = &mut self.classes[class];
                stat.seen = (stat.seen + 1.0).min(200.0);
                stat.mean = (stat.mean + (ran / slowness - stat.mean) / stat.seen).max(1e-4);
                if hint > 0.0 {
                    let (scale, seen) = &mut self.scale;
                    *seen = (*seen + 1.0).min(200.0);
                    *scale = (*scale + (ran / slowness / hint - *scale) / *seen).max(0.01);
                }
                self.show_pace(i, ran / work);
            }
            Outcome::Error => self.miss(i, &[0, class + 1], 1.0),
            Outcome::Full => self.see_others(i, self.peers(i).slots * 1.5),
            // A connection that breaks at once after a rest tells of the rest, not of the worker.
            Outcome::Reset if idle > 0.0 && started.is_none() && self.now < sent + due => {
                self.lasted(idle, false);
            }
            Outcome::ConnectFailed | Outcome::Reset => {
                w.trial.get_or_insert(self.at + TRIAL);
            }
            Outcome::Timeout | Outcome::Cancelled if started.is_none() => self.miss(i, &[class + 1], 1.0),
            Outcome::Timeout | Outcome::Cancelled | Outcome::Moot => {}
        }
        let request = &self.requests[&id];
        let erred = |a: &Attempt| a.ended == Some(Outcome::Error) && a.worker != i;
        let met = f64::from(u8::from(outcome == Outcome::Error));
        if matches!(outcome, Outcome::Ok | Outcome::Error) && request.attempts.iter().any(erred) {
            self.again = (doomed + 0.3 * (met - doomed), self.at);
        }
        // An error likely met again elsewhere is the request's own, and so is a break at its very start.
        let downed = outcome == Outcome::Reset && started.is_some_and(|start| self.now < start + due);
        let own = downed || outcome == Outcome::Error && doomed > MISS_LIMIT;
        if closed || request.settled || outcome == Outcome::Ok {
            self.close(id);
        } else if !request.outstanding() {
            if own { self.settle(id) } else { self.again(id) }
        }
    }

    /// All attempts have ended without an answer: another one if it is allowed and of use.
    fn again(&mut self, id: RequestId) {
        let request = &self.requests[&id];
        let left = request.attempts.len() < request.most_attempts;
        let bound = self.settings.classes[request.class].effect == Effect::Unsafe;
        if left && self.now < request.latest && !(bound && self.may_have_run(request).is_some()) {
            self.held.insert((request.over_share, request.rank, id));
        } else {
            self.settle(id);
        }
    }

    fn request_timer(&mut self, token: u64) {
        let id = RequestId((token >> 8) as u32);
        let Some(request) = self.requests.get(&id).filter(|r| !r.settled && !r.streaming) else { return };
        if let Some(number) = (token & 0xff).checked_sub(1) {
            self.look_after(id, number as usize);
        } else if self.now + Span(self.settings.tick.0 * 3) >= request.deadline {
            self.settle(id);
        }
    }

    /// Looks after an attempt whose start or progress note is due.
    fn look_after(&mut self, id: RequestId, number: usize) {
        let request = &self.requests[&id];
        let (class, token) = (request.class, attempt_token(id, number));
        let open = |a: &&Attempt| a.ended.is_none() && !a.cancelled;
        let Some(attempt) = request.attempts.get(number).filter(open) else { return };
        let (i, started, progress) = (attempt.worker, attempt.started.is_some(), self.settings.progress);
        if started && progress.0 == 0 {
            return self.look_after_running(id, number);
        }
        let due = if started { Span(progress.0 * 8 / 5) } else { self.start_due(i, attempt.idle, class) };
        let (heard, newest) = (attempt.heard, number + 1 == request.attempts.len());
        // Guards against blame for what came during an own stall; after a quiet while it costs a tick.
        let until = if self.stalled == self.now { self.now + self.settings.tick } else { heard + due };
        if self.now < until {
            self.out.push(Action::Timer(until, token));
            return;
        }
        let objective = self.settings.classes[request.class].objective.secs();
        let patience = if started { due } else { Span::from_secs(objective * PATIENCE).max(due) };
        if self.at - self.workers[i].heard > due.secs().max(0.5) && (self.now - heard).secs() > 0.5 {
            // Guards against every silence alike; could do harm where workers pause, which the trials bound.
            self.workers[i].trial.get_or_insert(self.at + TRIAL);
        }
        if !started {
            // No start note in time: whoever holds the slots, none is free.
            let (room, w) = (self.peers(i).slots, &mut self.workers[i]);
            (w.others, w.others_at) = (w.others.max(room - w.load.running), self.at);
        }
        if newest
            && self.now >= heard + patience
            && self.turn() == Some(self.now)
            && let Some(other) = self.draw(id, Some(i))
            && number + 1 < self.requests[&id].most_attempts
        {
            // Waiting work is moved; running work gets a second copy, since it may yet answer.
            if self.settings.cancel && (!started || !self.settings.parallel) {
                self.requests.get_mut(&id).expect("looked up above").attempts[number].cancelled = true;
                self.out.push(Action::Cancel(id, number as u32));
            }
            self.send(id, other);
            return;
        }
        let withdraw = self.requests[&id].withdraw;
        if !started && self.now >= withdraw {
            self.settle(id);
            return;
        }
        // Again after half of the patience, then ever later: a look costs a draw.
        let half = Span((self.now - heard).0.max(patience.0) / 2);
        let wait = if started { half } else { half.min(withdraw - self.now) };
        self.out.push(Action::Timer(self.now + wait.max(self.settings.tick), token));
    }
}

/// What is left of a count after a time.
fn left(age: f64, half_life: f64) -> f64 {
    (-age / half_life).exp2()
}

/// The token of an attempt's timer; the request's own has 0 in the low byte.
fn attempt_token(id: RequestId, number: usize) -> u64 {
    u64::from(id.0) << 8 | (number as u64 + 1)
}
