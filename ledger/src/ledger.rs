//! The ledger itself: jobs in memory, the order in which they are leased, and the reducer that changes them.
//! It owns every transition of a job's state and must never let an effect out before the change that it
//! rests on is in the same step.
//!
//! Jobs that may run stand in one line for each member and class, and the lines take turns: a member that
//! fills the queue waits behind itself. Times (schedules, backoff, leases, forgetting) stand in one ordered
//! set; an entry whose job has moved on is passed over when it is due.

use crate::{Change, Counts, Effect, Epoch, Input, Job, JobId, LedgerConfig, Refusal, State, Submission};
use bytes::Bytes;
use sablerun::{Span, Time};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::fmt;

/// What a step asks for: changes first, all or none; then, once they are durable, the effects in this
/// order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Step {
    /// To be made durable together.
    pub changes: Vec<Change>,
    /// To be done afterwards.
    pub effects: Vec<Effect>,
}

/// Why stored jobs are no ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadError {
    /// Two jobs under one key.
    DuplicateKey(JobId, JobId),
    /// A job of a number that was used already.
    DuplicateId(JobId),
    /// A job in a state that its other fields deny.
    Inconsistent(JobId, &'static str),
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LoadError::DuplicateKey(a, b) => write!(f, "jobs {} and {} have one key", a.0, b.0),
            LoadError::DuplicateId(id) => write!(f, "job {} stands twice", id.0),
            LoadError::Inconsistent(id, why) => write!(f, "job {}: {why}", id.0),
        }
    }
}

impl std::error::Error for LoadError {}

/// What a line's jobs share.
type Line = (u32, u32);
/// A client's key: member, class, key.
type Key = (u32, u32, Bytes);

/// The ledger.
pub struct Ledger {
    rules: LedgerConfig,
    random: fastrand::Rng,
    next: u64,
    jobs: HashMap<JobId, Job>,
    keys: HashMap<Key, JobId>,
    /// Jobs that may run, by line, and the lines' turns.
    lines: BTreeMap<Line, VecDeque<JobId>>,
    turns: VecDeque<Line>,
    /// What is due when.
    times: BTreeSet<(Time, JobId)>,
    leased: usize,
    /// Unsettled jobs by member, and in all.
    open: HashMap<u32, usize>,
    all_open: usize,
    /// Jobs whose lease was lost at a restart, and the leases that they may be given.
    lost: BTreeSet<JobId>,
    allowance: (f64, Time),
    counts: Counts,
}

impl Ledger {
    /// An empty ledger.
    pub fn new(rules: LedgerConfig, seed: u64) -> Ledger {
        Ledger {
            rules,
            random: fastrand::Rng::with_seed(seed),
            next: 1,
            jobs: HashMap::new(),
            keys: HashMap::new(),
            lines: BTreeMap::new(),
            turns: VecDeque::new(),
            times: BTreeSet::new(),
            leased: 0,
            open: HashMap::new(),
            all_open: 0,
            lost: BTreeSet::new(),
            allowance: (1.0, Time(0)),
            counts: Counts::default(),
        }
    }

    /// A ledger that goes on from stored jobs; no number below `next` is given again, though its job may be
    /// long forgotten: a worker may still speak of it. A lease that was held goes on to hold, for its length from
    /// now at the most: its worker may live, and whoever kept it going is gone with the process before. If
    /// no beat comes the job is run again, at a bounded rate.
    ///
    /// # Errors
    ///
    /// Says which jobs can't all be true; none is used then.
    pub fn load(
        rules: LedgerConfig,
        seed: u64,
        now: Time,
        next: u64,
        jobs: Vec<Job>,
    ) -> Result<Ledger, LoadError> {
        let mut ledger = Ledger::new(rules, seed);
        ledger.allowance.1 = now;
        ledger.next = next.max(1);
        let mut jobs = jobs;
        jobs.sort_by_key(|job| job.id);
        for mut job in jobs {
            let id = job.id;
            if matches!(job.state, State::Leased { .. }) && job.epoch == Epoch(0) {
                return Err(LoadError::Inconsistent(id, "leased, but never given an epoch"));
            }
            // Clocks jump between two processes: nothing lasts longer than it would from now on.
            match &mut job.state {
                State::Leased { expires_at: until } => {
                    *until = (*until).min(now + job.lease);
                    ledger.lost.insert(id);
                }
                State::Completed { finished_at: at, .. }
                | State::Dead { finished_at: at }
                | State::Cancelled { finished_at: at } => *at = (*at).min(now),
                State::Waiting { .. } => {}
            }
            ledger.next = ledger.next.max(id.0 + 1);
            if let Some(key) = key_of(&job)
                && let Some(other) = ledger.keys.insert(key, id)
            {
                return Err(LoadError::DuplicateKey(other, id));
            }
            if job.state.finished_at().is_none() {
                *ledger.open.entry(job.member).or_default() += 1;
                ledger.all_open += 1;
            }
            ledger.leased += usize::from(matches!(job.state, State::Leased { .. }));
            let time = ledger.time(&job.state);
            if matches!(job.state, State::Waiting { .. }) && time <= now {
                ledger.line_up((job.member, job.class), id);
            } else {
                ledger.times.insert((time, id));
            }
            if ledger.jobs.insert(id, job).is_some() {
                return Err(LoadError::DuplicateId(id));
            }
        }
        Ok(ledger)
    }

    /// A job, while it is remembered.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// The job under a client's key.
    pub fn id_by_key(&self, member: u32, class: u32, key: &Bytes) -> Option<JobId> {
        self.keys.get(&(member, class, key.clone())).copied()
    }

    /// All jobs, in no order.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Jobs leased now.
    pub fn lease_count(&self) -> usize {
        self.leased
    }

    /// What has been counted so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// When [`Input::Due`] is next wanted.
    pub fn next_due(&self, now: Time) -> Option<Time> {
        let held = self.turns.front().is_some() && self.leased < self.rules.max_leases;
        // Only jobs that wait for the allowance of recovery stand in line while there are leases to give.
        let recovery = held.then(|| now + Span::from_secs(1.0 / self.rules.recoveries_per_s.max(1e-3)));
        let time = self.times.first().map(|(at, _)| *at);
        [recovery, time].into_iter().flatten().min()
    }

    /// Takes one input and says what is to be written, and then done.
    pub fn step(&mut self, now: Time, input: Input) -> Step {
        let mut step = Step::default();
        match input {
            Input::Submit(submission) => self.submit(now, submission, &mut step),
            Input::Beat(id, epoch) => {
                if let Some(job) = self.holder(id, epoch, &mut step) {
                    // Not written: after a restart a lease holds for its length anyway.
                    let expires_at = now + job.lease;
                    self.lost.remove(&id);
                    self.retime(id, State::Leased { expires_at });
                }
            }
            Input::Completed(id, epoch, result) => {
                if self.holder(id, epoch, &mut step).is_some() {
                    self.counts.completed += 1;
                    self.settle(id, State::Completed { finished_at: now, result }, &mut step);
                }
            }
            Input::Failed(id, epoch, error) => {
                if self.holder(id, epoch, &mut step).is_some() {
                    self.counts.failed += 1;
                    self.failed(now, id, error, &mut step);
                }
            }
            Input::Returned(id, epoch, wait) => {
                if let Some(job) = self.holder(id, epoch, &mut step) {
                    let tries = job.attempts.saturating_sub(1);
                    self.jobs.entry(id).and_modify(|job| job.attempts = tries);
                    self.wait(now, id, now + wait, &mut step);
                }
            }
            Input::Cancel(id) => self.cancel(now, id, &mut step),
            Input::RetryDead(id) => self.revive(now, id, &mut step),
            Input::Due => {}
        }
        self.run_times(now, &mut step);
        self.lease(now, &mut step);
        step
    }

    fn submit(&mut self, now: Time, submission: Submission, step: &mut Step) {
        let ticket = submission.ticket;
        let key = submission.key.clone().map(|key| (submission.member, submission.class, key));
        if let Some(&id) = key.as_ref().and_then(|key| self.keys.get(key)) {
            if self.jobs.get(&id).is_some_and(|job| job.body == submission.body) {
                self.counts.duplicates += 1;
                step.effects.push(Effect::Duplicate(ticket, id));
            } else {
                self.counts.refused += 1;
                step.effects.push(Effect::Refused(ticket, Refusal::Conflict(id)));
            }
            return;
        }
        if let Some(refusal) = self.refusal(&submission) {
            self.counts.refused += 1;
            step.effects.push(Effect::Refused(ticket, refusal));
            return;
        }
        let id = JobId(self.next);
        self.next += 1;
        let Submission { member, class, key: own, body, not_before: at, lease, max_attempts: tries, .. } =
            submission;
        let state = State::Waiting { due_at: at.unwrap_or(now).max(now) };
        let (accepted, epoch, error) = (now, Epoch(0), None);
        let job = Job {
            id,
            member,
            class,
            key: own,
            body,
            accepted_at: accepted,
            lease,
            max_attempts: tries,
            attempts: 0,
            epoch,
            last_error: error,
            state,
        };
        if let Some(key) = key {
            self.keys.insert(key, id);
        }
        self.counts.accepted += 1;
        *self.open.entry(member).or_default() += 1;
        self.all_open += 1;
        step.changes.push(Change::Put(job.clone()));
        step.effects.push(Effect::Accepted(ticket, id));
        self.times.insert((self.time(&job.state), id));
        self.jobs.insert(id, job);
    }

    fn refusal(&self, submission: &Submission) -> Option<Refusal> {
        let [least, most] = self.rules.lease_range;
        let open = self.open.get(&submission.member).copied().unwrap_or(0);
        if submission.body.len() > self.rules.max_body_bytes {
            Some(Refusal::TooLarge(self.rules.max_body_bytes))
        } else if submission.max_attempts == 0 {
            Some(Refusal::Invalid("tries: at least one"))
        } else if submission.lease < least || submission.lease > most {
            Some(Refusal::Invalid("lease: too short or too long"))
        } else if open >= self.rules.max_jobs_per_member {
            Some(Refusal::MemberFull(self.rules.hold_off))
        } else if self.all_open >= self.rules.max_jobs {
            Some(Refusal::Full(self.rules.hold_off))
        } else {
            None
        }
    }

    /// The job, if the lease of this epoch is the one that holds; else the word is stale.
    fn holder(&mut self, id: JobId, epoch: Epoch, step: &mut Step) -> Option<&Job> {
        let holds = |job: &&Job| job.epoch == epoch && matches!(job.state, State::Leased { .. });
        let job = self.jobs.get(&id).filter(holds);
        if job.is_none() {
            self.counts.stale += 1;
            step.effects.push(Effect::Stale(id, epoch));
        }
        job
    }

    /// A try is over without a result: another after a wait, or none.
    fn failed(&mut self, now: Time, id: JobId, error: String, step: &mut Step) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.last_error = Some(error);
        if job.attempts >= job.max_attempts {
            self.counts.dead += 1;
            self.settle(id, State::Dead { finished_at: now }, step);
            return;
        }
        // Doubling, with full jitter: what failed together does not come back together.
        let doublings = job.attempts.saturating_sub(1).min(32);
        let most = (self.rules.initial_backoff.secs() * f64::from(doublings).exp2())
            .min(self.rules.max_backoff.secs());
        let wait = Span::from_secs(most * self.random.f64());
        self.wait(now, id, now + wait, step);
    }

    /// Puts a job back to wait.
    fn wait(&mut self, now: Time, id: JobId, at: Time, step: &mut Step) {
        self.retime(id, State::Waiting { due_at: at.max(now) });
        step.changes.extend(self.jobs.get(&id).cloned().map(Change::Put));
    }

    /// Gives a job another state and its time.
    fn retime(&mut self, id: JobId, state: State) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let leased = |state: &State| usize::from(matches!(state, State::Leased { .. }));
        self.leased = self.leased + leased(&state) - leased(&job.state);
        let old = std::mem::replace(&mut job.state, state);
        let job = &self.jobs[&id];
        let (before, after) = (self.time(&old), self.time(&job.state));
        self.times.remove(&(before, id));
        self.times.insert((after, id));
    }

    fn time(&self, state: &State) -> Time {
        match state {
            State::Waiting { due_at: at } => *at,
            State::Leased { expires_at: until } => *until,
            State::Completed { finished_at: at, .. }
            | State::Dead { finished_at: at }
            | State::Cancelled { finished_at: at } => *at + self.rules.retention,
        }
    }

    /// A job comes to its end.
    fn settle(&mut self, id: JobId, state: State, step: &mut Step) {
        self.retime(id, state);
        self.lost.remove(&id);
        let Some(job) = self.jobs.get(&id) else { return };
        if let Some(open) = self.open.get_mut(&job.member) {
            *open -= 1;
            if *open == 0 {
                self.open.remove(&job.member);
            }
        }
        self.all_open -= 1;
        step.changes.push(Change::Put(job.clone()));
        step.effects.push(Effect::Finished(id));
    }

    fn cancel(&mut self, now: Time, id: JobId, step: &mut Step) {
        let Some(job) = self.jobs.get(&id).filter(|job| job.state.finished_at().is_none()) else { return };
        let (epoch, leased) = (job.epoch, matches!(job.state, State::Leased { .. }));
        self.counts.cancelled += 1;
        self.settle(id, State::Cancelled { finished_at: now }, step);
        if leased {
            step.effects.push(Effect::Stop(id, epoch));
        }
    }

    fn revive(&mut self, now: Time, id: JobId, step: &mut Step) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| matches!(job.state, State::Dead { .. })) else {
            return;
        };
        job.attempts = 0;
        *self.open.entry(job.member).or_default() += 1;
        self.all_open += 1;
        self.wait(now, id, now, step);
    }

    fn line_up(&mut self, line: Line, id: JobId) {
        let jobs = self.lines.entry(line).or_default();
        if jobs.is_empty() {
            self.turns.push_back(line);
        }
        jobs.push_back(id);
    }

    /// A line's next turn, if anything stands in it.
    fn turn(&mut self, line: Line) {
        if self.lines.get(&line).is_some_and(|jobs| !jobs.is_empty()) {
            self.turns.push_back(line);
        } else {
            self.lines.remove(&line);
        }
    }

    /// What is due: jobs whose wait is over line up, leases without a beat end, old jobs are forgotten.
    fn run_times(&mut self, now: Time, step: &mut Step) {
        while let Some(&(at, id)) = self.times.first()
            && at <= now
        {
            self.times.pop_first();
            let Some(job) = self.jobs.get(&id) else { continue };
            match job.state {
                State::Waiting { .. } => {
                    let line = (job.member, job.class);
                    self.line_up(line, id);
                }
                State::Leased { .. } => {
                    self.counts.expired += 1;
                    step.effects.push(Effect::Stop(id, job.epoch));
                    if self.lost.contains(&id) {
                        // The process before took the beats with it: that is no failure of the job's.
                        let tries = job.attempts.saturating_sub(1);
                        self.jobs.entry(id).and_modify(|job| job.attempts = tries);
                        self.wait(now, id, now, step);
                    } else {
                        self.failed(now, id, "the lease ran out without a beat".to_owned(), step);
                    }
                }
                State::Completed { .. } | State::Dead { .. } | State::Cancelled { .. } => {
                    if let Some(job) = self.jobs.remove(&id)
                        && let Some(key) = key_of(&job)
                    {
                        self.keys.remove(&key);
                    }
                    step.changes.push(Change::Delete(id));
                }
            }
        }
    }

    /// Gives leases while there are some to give, one line after the other.
    fn lease(&mut self, now: Time, step: &mut Step) {
        let (tokens, at) = self.allowance;
        let most = self.rules.recoveries_per_s.max(1.0);
        let mut tokens = (tokens + (now - at).secs() * self.rules.recoveries_per_s).min(most);
        let mut passed = 0;
        while self.leased < self.rules.max_leases && passed < self.turns.len() {
            let Some(line) = self.turns.pop_front() else { break };
            let Some(jobs) = self.lines.get_mut(&line) else { continue };
            let Some(&id) = jobs.front() else { continue };
            // One that was cancelled, or lined up twice, has moved on: its place is passed over.
            let waits = |job: &Job| matches!(job.state, State::Waiting { .. });
            if !self.jobs.get(&id).is_some_and(waits) {
                jobs.pop_front();
                self.turn(line);
                continue;
            }
            if self.lost.contains(&id) && tokens < 1.0 {
                self.turns.push_back(line);
                passed += 1;
                continue;
            }
            jobs.pop_front();
            self.turn(line);
            if self.lost.remove(&id) {
                tokens -= 1.0;
            }
            passed = 0;
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            job.epoch = Epoch(job.epoch.0 + 1);
            job.attempts += 1;
            let expires_at = now + job.lease;
            self.counts.leases += 1;
            self.retime(id, State::Leased { expires_at });
            let job = &self.jobs[&id];
            step.changes.push(Change::Put(job.clone()));
            step.effects.push(Effect::Run(id, job.epoch));
        }
        self.allowance = (tokens, now);
    }
}

fn key_of(job: &Job) -> Option<Key> {
    job.key.clone().map(|key| (job.member, job.class, key))
}
