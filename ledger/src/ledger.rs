//! The in-memory state machine of durable jobs: every state transition, the order in which jobs are leased,
//! and the timers. An effect is always returned in the same step as the change that must be durable before
//! it.
//!
//! Runnable jobs wait in one FIFO queue per member and class. The queues are served round-robin, so a member
//! with a long backlog delays only its own jobs. All timers (schedules, backoff, lease expiry, end of
//! retention) are in one ordered set; a timer whose job no longer exists is ignored.

use crate::{Change, Counts, Effect, Epoch, Input, Job, JobId, LedgerConfig, Refusal, State, Submission};
use bytes::Bytes;
use sablerun::{Span, Time};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::fmt;

/// The result of one input. The caller writes all changes atomically and, once they are durable, applies the
/// effects in order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Step {
    /// Changes to write in one transaction.
    pub changes: Vec<Change>,
    /// Effects to apply after the changes are durable.
    pub effects: Vec<Effect>,
}

/// Why a set of stored jobs was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadError {
    /// Two jobs have the same client key.
    DuplicateKey(JobId, JobId),
    /// Two jobs have the same id.
    DuplicateId(JobId),
    /// The state of a job contradicts its other fields.
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

/// The member and class that the jobs of a queue share.
type QueueId = (u32, u32);
/// A client key, scoped by member and class.
type Key = (u32, u32, Bytes);

/// All jobs, with their queues, timers and leases.
pub struct Ledger {
    config: LedgerConfig,
    rng: fastrand::Rng,
    next_id: u64,
    jobs: HashMap<JobId, Job>,
    ids_by_key: HashMap<Key, JobId>,
    /// Runnable jobs by queue. A job that has left the waiting state is skipped when it reaches the front.
    queues: BTreeMap<QueueId, VecDeque<JobId>>,
    /// Non-empty queues in round-robin order.
    turn_order: VecDeque<QueueId>,
    timers: BTreeSet<(Time, JobId)>,
    /// The number of leased jobs.
    leased: usize,
    /// Unfinished jobs of each member.
    open_by_member: HashMap<u32, usize>,
    /// Unfinished jobs of all members.
    open_total: usize,
    /// Jobs that were leased when the previous process ended, until a heartbeat, a new lease or their end.
    recovering: BTreeSet<JobId>,
    /// Token bucket for leases of recovering jobs: tokens and the time of the last refill.
    recovery_bucket: (f64, Time),
    counts: Counts,
}

impl Ledger {
    /// Returns an empty ledger. `seed` drives the jitter of retries.
    pub fn new(config: LedgerConfig, seed: u64) -> Ledger {
        Ledger {
            config,
            rng: fastrand::Rng::with_seed(seed),
            next_id: 1,
            jobs: HashMap::new(),
            ids_by_key: HashMap::new(),
            queues: BTreeMap::new(),
            turn_order: VecDeque::new(),
            timers: BTreeSet::new(),
            leased: 0,
            open_by_member: HashMap::new(),
            open_total: 0,
            recovering: BTreeSet::new(),
            recovery_bucket: (1.0, Time(0)),
            counts: Counts::default(),
        }
    }

    /// Restores a ledger from stored jobs. No id below `next_id` is assigned again, even if its job has been
    /// deleted, because a worker may still report on it. A lease that was held stays valid until its stored
    /// expiry, at most its length from now: its worker may still be running, but the process that received
    /// its heartbeats is gone. Without a new heartbeat the job is run again, at a bounded rate.
    ///
    /// # Errors
    ///
    /// The stored jobs contradict each other or themselves. None is loaded.
    pub fn load(
        config: LedgerConfig,
        seed: u64,
        now: Time,
        next_id: u64,
        jobs: Vec<Job>,
    ) -> Result<Ledger, LoadError> {
        let mut ledger = Ledger::new(config, seed);
        ledger.recovery_bucket.1 = now;
        ledger.next_id = next_id.max(1);
        let mut jobs = jobs;
        jobs.sort_by_key(|job| job.id);
        for mut job in jobs {
            let id = job.id;
            if matches!(job.state, State::Leased { .. }) && job.epoch == Epoch(0) {
                return Err(LoadError::Inconsistent(id, "leased, but never given an epoch"));
            }
            // The clock may jump between two processes: nothing lasts longer than its full length from now.
            match &mut job.state {
                State::Leased { expires_at } => {
                    *expires_at = (*expires_at).min(now + job.lease);
                    ledger.recovering.insert(id);
                }
                State::Completed { finished_at, .. }
                | State::Dead { finished_at }
                | State::Cancelled { finished_at } => *finished_at = (*finished_at).min(now),
                State::Waiting { .. } => {}
            }
            ledger.next_id = ledger.next_id.max(id.0 + 1);
            if let Some(key) = key_of(&job)
                && let Some(other) = ledger.ids_by_key.insert(key, id)
            {
                return Err(LoadError::DuplicateKey(other, id));
            }
            if job.state.finished_at().is_none() {
                *ledger.open_by_member.entry(job.member).or_default() += 1;
                ledger.open_total += 1;
            }
            ledger.leased += usize::from(matches!(job.state, State::Leased { .. }));
            let timer = ledger.timer_at(&job.state);
            if matches!(job.state, State::Waiting { .. }) && timer <= now {
                ledger.enqueue((job.member, job.class), id);
            } else {
                ledger.timers.insert((timer, id));
            }
            if ledger.jobs.insert(id, job).is_some() {
                return Err(LoadError::DuplicateId(id));
            }
        }
        Ok(ledger)
    }

    /// Returns a job, or `None` if it is unknown or past its retention.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Returns the id of the job that was submitted with a client key.
    pub fn id_by_key(&self, member: u32, class: u32, key: &Bytes) -> Option<JobId> {
        self.ids_by_key.get(&(member, class, key.clone())).copied()
    }

    /// Returns all jobs in arbitrary order.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// The number of jobs that are leased now.
    pub fn lease_count(&self) -> usize {
        self.leased
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns when [`Input::Due`] must be given next, if nothing else happens before.
    pub fn next_due(&self, now: Time) -> Option<Time> {
        let throttled = self.turn_order.front().is_some() && self.leased < self.config.max_leases;
        // While leases are free, only jobs that wait for a recovery token remain queued.
        let recovery = throttled.then(|| now + Span::from_secs(1.0 / self.config.recoveries_per_s.max(1e-3)));
        let timer = self.timers.first().map(|(at, _)| *at);
        [recovery, timer].into_iter().flatten().min()
    }

    /// Processes one input; returns the changes to write and the effects to apply afterwards.
    pub fn step(&mut self, now: Time, input: Input) -> Step {
        let mut step = Step::default();
        match input {
            Input::Submit(submission) => self.submit(now, submission, &mut step),
            Input::Beat(id, epoch) => {
                if let Some(job) = self.leased_job(id, epoch, &mut step) {
                    // Not written to disk: after a restart the lease expires when the stored one does, and
                    // the job is leased again.
                    let expires_at = now + job.lease;
                    self.recovering.remove(&id);
                    self.set_state(id, State::Leased { expires_at });
                }
            }
            Input::Completed(id, epoch, result) => {
                if self.leased_job(id, epoch, &mut step).is_some() {
                    self.counts.completed += 1;
                    self.finish(id, State::Completed { finished_at: now, result }, &mut step);
                }
            }
            Input::Failed(id, epoch, error) => {
                if self.leased_job(id, epoch, &mut step).is_some() {
                    self.counts.failed += 1;
                    self.attempt_failed(now, id, error, &mut step);
                }
            }
            Input::Returned(id, epoch, wait) => {
                if let Some(job) = self.leased_job(id, epoch, &mut step) {
                    let attempts = job.attempts.saturating_sub(1);
                    self.jobs.entry(id).and_modify(|job| job.attempts = attempts);
                    self.wait_until(now, id, now + wait, &mut step);
                }
            }
            Input::Cancel(id) => self.cancel(now, id, &mut step),
            Input::RetryDead(id) => self.retry_dead(now, id, &mut step),
            Input::Due => {}
        }
        self.fire_timers(now, &mut step);
        self.grant_leases(now, &mut step);
        step
    }

    fn submit(&mut self, now: Time, submission: Submission, step: &mut Step) {
        let ticket = submission.ticket;
        let key = submission.key.clone().map(|key| (submission.member, submission.class, key));
        if let Some(&id) = key.as_ref().and_then(|key| self.ids_by_key.get(key)) {
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
        let id = JobId(self.next_id);
        self.next_id += 1;
        let Submission { member, class, key: client_key, body, not_before, lease, max_attempts, .. } =
            submission;
        let state = State::Waiting { due_at: not_before.unwrap_or(now).max(now) };
        let (accepted_at, epoch, last_error) = (now, Epoch(0), None);
        let job = Job {
            id,
            member,
            class,
            key: client_key,
            body,
            accepted_at,
            lease,
            max_attempts,
            attempts: 0,
            epoch,
            last_error,
            state,
        };
        if let Some(key) = key {
            self.ids_by_key.insert(key, id);
        }
        self.counts.accepted += 1;
        *self.open_by_member.entry(member).or_default() += 1;
        self.open_total += 1;
        step.changes.push(Change::Put(job.clone()));
        step.effects.push(Effect::Accepted(ticket, id));
        self.timers.insert((self.timer_at(&job.state), id));
        self.jobs.insert(id, job);
    }

    fn refusal(&self, submission: &Submission) -> Option<Refusal> {
        let [min_lease, max_lease] = self.config.lease_range;
        let open = self.open_by_member.get(&submission.member).copied().unwrap_or(0);
        if submission.body.len() > self.config.max_body_bytes {
            Some(Refusal::TooLarge(self.config.max_body_bytes))
        } else if submission.max_attempts == 0 {
            Some(Refusal::Invalid("tries: at least one"))
        } else if submission.lease < min_lease || submission.lease > max_lease {
            Some(Refusal::Invalid("lease: too short or too long"))
        } else if open >= self.config.max_jobs_per_member {
            Some(Refusal::MemberFull(self.config.hold_off))
        } else if self.open_total >= self.config.max_jobs {
            Some(Refusal::Full(self.config.hold_off))
        } else {
            None
        }
    }

    /// Returns the job if it is leased under this epoch; otherwise reports the message as stale.
    fn leased_job(&mut self, id: JobId, epoch: Epoch, step: &mut Step) -> Option<&Job> {
        let holds = |job: &&Job| job.epoch == epoch && matches!(job.state, State::Leased { .. });
        let job = self.jobs.get(&id).filter(holds);
        if job.is_none() {
            self.counts.stale += 1;
            step.effects.push(Effect::Stale(id, epoch));
        }
        job
    }

    /// Ends an attempt without a result: schedules the next attempt, or marks the job dead if none is left.
    fn attempt_failed(&mut self, now: Time, id: JobId, error: String, step: &mut Step) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.last_error = Some(error);
        if job.attempts >= job.max_attempts {
            self.counts.dead += 1;
            self.finish(id, State::Dead { finished_at: now }, step);
            return;
        }
        // Exponential backoff with full jitter: jobs that failed together are not retried together.
        let doublings = job.attempts.saturating_sub(1).min(32);
        let max_wait = (self.config.initial_backoff.secs() * f64::from(doublings).exp2())
            .min(self.config.max_backoff.secs());
        let wait = Span::from_secs(max_wait * self.rng.f64());
        self.wait_until(now, id, now + wait, step);
    }

    /// Returns a job to the waiting state until `due_at`.
    fn wait_until(&mut self, now: Time, id: JobId, due_at: Time, step: &mut Step) {
        self.set_state(id, State::Waiting { due_at: due_at.max(now) });
        step.changes.extend(self.jobs.get(&id).cloned().map(Change::Put));
    }

    /// Changes a job's state and its timer.
    fn set_state(&mut self, id: JobId, state: State) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let leased = |state: &State| usize::from(matches!(state, State::Leased { .. }));
        self.leased = self.leased + leased(&state) - leased(&job.state);
        let old = std::mem::replace(&mut job.state, state);
        let job = &self.jobs[&id];
        let (before, after) = (self.timer_at(&old), self.timer_at(&job.state));
        self.timers.remove(&(before, id));
        self.timers.insert((after, id));
    }

    /// When the timer of a job in this state fires: start of eligibility, lease expiry or end of retention.
    fn timer_at(&self, state: &State) -> Time {
        match state {
            State::Waiting { due_at } => *due_at,
            State::Leased { expires_at } => *expires_at,
            State::Completed { finished_at, .. }
            | State::Dead { finished_at }
            | State::Cancelled { finished_at } => *finished_at + self.config.retention,
        }
    }

    /// Moves a job to a final state.
    fn finish(&mut self, id: JobId, state: State, step: &mut Step) {
        self.set_state(id, state);
        self.recovering.remove(&id);
        let Some(job) = self.jobs.get(&id) else { return };
        if let Some(open) = self.open_by_member.get_mut(&job.member) {
            *open -= 1;
            if *open == 0 {
                self.open_by_member.remove(&job.member);
            }
        }
        self.open_total -= 1;
        step.changes.push(Change::Put(job.clone()));
        step.effects.push(Effect::Finished(id));
    }

    fn cancel(&mut self, now: Time, id: JobId, step: &mut Step) {
        let Some(job) = self.jobs.get(&id).filter(|job| job.state.finished_at().is_none()) else { return };
        let (epoch, leased) = (job.epoch, matches!(job.state, State::Leased { .. }));
        self.counts.cancelled += 1;
        self.finish(id, State::Cancelled { finished_at: now }, step);
        if leased {
            step.effects.push(Effect::Stop(id, epoch));
        }
    }

    /// Makes a dead job runnable again, with all its attempts.
    fn retry_dead(&mut self, now: Time, id: JobId, step: &mut Step) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| matches!(job.state, State::Dead { .. })) else {
            return;
        };
        job.attempts = 0;
        *self.open_by_member.entry(job.member).or_default() += 1;
        self.open_total += 1;
        self.wait_until(now, id, now, step);
    }

    /// Appends a runnable job to its queue.
    fn enqueue(&mut self, queue: QueueId, id: JobId) {
        let jobs = self.queues.entry(queue).or_default();
        if jobs.is_empty() {
            self.turn_order.push_back(queue);
        }
        jobs.push_back(id);
    }

    /// Moves a queue to the end of the round-robin order, or removes it if it is empty.
    fn end_turn(&mut self, queue: QueueId) {
        if self.queues.get(&queue).is_some_and(|jobs| !jobs.is_empty()) {
            self.turn_order.push_back(queue);
        } else {
            self.queues.remove(&queue);
        }
    }

    /// Processes all due timers: queues waiting jobs, ends expired leases, deletes jobs past their retention.
    fn fire_timers(&mut self, now: Time, step: &mut Step) {
        while let Some(&(at, id)) = self.timers.first()
            && at <= now
        {
            self.timers.pop_first();
            let Some(job) = self.jobs.get(&id) else { continue };
            match job.state {
                State::Waiting { .. } => {
                    let queue = (job.member, job.class);
                    self.enqueue(queue, id);
                }
                State::Leased { .. } => {
                    self.counts.expired += 1;
                    step.effects.push(Effect::Stop(id, job.epoch));
                    if self.recovering.contains(&id) {
                        // The heartbeats may have gone to the previous process, so this is not a failed
                        // attempt.
                        let attempts = job.attempts.saturating_sub(1);
                        self.jobs.entry(id).and_modify(|job| job.attempts = attempts);
                        self.wait_until(now, id, now, step);
                    } else {
                        self.attempt_failed(now, id, "the lease ran out without a beat".to_owned(), step);
                    }
                }
                State::Completed { .. } | State::Dead { .. } | State::Cancelled { .. } => {
                    if let Some(job) = self.jobs.remove(&id)
                        && let Some(key) = key_of(&job)
                    {
                        self.ids_by_key.remove(&key);
                    }
                    step.changes.push(Change::Delete(id));
                }
            }
        }
    }

    /// Grants free leases to queued jobs, round-robin over the queues.
    fn grant_leases(&mut self, now: Time, step: &mut Step) {
        let (tokens, refilled_at) = self.recovery_bucket;
        let burst = self.config.recoveries_per_s.max(1.0);
        let mut tokens = (tokens + (now - refilled_at).secs() * self.config.recoveries_per_s).min(burst);
        let mut skipped = 0;
        while self.leased < self.config.max_leases && skipped < self.turn_order.len() {
            let Some(queue) = self.turn_order.pop_front() else { break };
            let Some(jobs) = self.queues.get_mut(&queue) else { continue };
            let Some(&id) = jobs.front() else { continue };
            // Skips an entry whose job was cancelled or queued twice and is no longer waiting.
            let waits = |job: &Job| matches!(job.state, State::Waiting { .. });
            if !self.jobs.get(&id).is_some_and(waits) {
                jobs.pop_front();
                self.end_turn(queue);
                continue;
            }
            if self.recovering.contains(&id) && tokens < 1.0 {
                self.turn_order.push_back(queue);
                skipped += 1;
                continue;
            }
            jobs.pop_front();
            self.end_turn(queue);
            if self.recovering.remove(&id) {
                tokens -= 1.0;
            }
            skipped = 0;
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            job.epoch = Epoch(job.epoch.0 + 1);
            job.attempts += 1;
            let expires_at = now + job.lease;
            self.counts.leases += 1;
            self.set_state(id, State::Leased { expires_at });
            let job = &self.jobs[&id];
            step.changes.push(Change::Put(job.clone()));
            step.effects.push(Effect::Run(id, job.epoch));
        }
        self.recovery_bucket = (tokens, now);
    }
}

fn key_of(job: &Job) -> Option<Key> {
    job.key.clone().map(|key| (job.member, job.class, key))
}
