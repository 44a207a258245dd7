//! Property test of the ledger: random inputs, with crashes between any two steps. A crash keeps the changes
//! that were made durable and loses everything else, including effects that were not yet applied. Workers
//! survive the crashes and may report on leases that ended long ago.

use bytes::Bytes;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;
use sablerun::{Span, Time};
use sablerun_ledger::{
    Change, Effect, Epoch, Input, Job, JobId, Ledger, LedgerConfig, Refusal, State, Step, Submission, Ticket,
};
use std::collections::{HashMap, HashSet};

fn config() -> LedgerConfig {
    LedgerConfig {
        max_jobs: 12,
        max_jobs_per_member: 8,
        max_body_bytes: 100,
        max_leases: 4,
        initial_backoff: Span(50),
        max_backoff: Span(400),
        lease_range: [Span(10), Span(1000)],
        recoveries_per_s: 1e8,
        retention: Span(300),
        hold_off: Span(77),
    }
}

#[derive(Clone, Debug)]
enum Action {
    Submit {
        member: u32,
        key: Option<u8>,
        body: u8,
        later: bool,
        max_attempts: u32,
    },
    Beat(Index),
    Complete(Index),
    Fail(Index),
    Return(Index),
    Cancel(Index),
    Retry(Index),
    Pass(u64),
    /// The oldest pending steps, up to this number, become durable.
    Commit(usize),
    Crash,
}

fn action() -> impl Strategy<Value = Action> {
    let index = any::<Index>;
    prop_oneof![
        6 => (0..3u32, prop::option::of(0..6u8), 0..9u8, any::<bool>(), 1..4u32).prop_map(
            |(member, key, body, later, max_attempts)| {
                Action::Submit { member, key, body: u8::from(body == 0), later, max_attempts }
            }
        ),
        3 => index().prop_map(Action::Beat),
        5 => index().prop_map(Action::Complete),
        3 => index().prop_map(Action::Fail),
        1 => index().prop_map(Action::Return),
        1 => index().prop_map(Action::Cancel),
        1 => index().prop_map(Action::Retry),
        4 => (1..200u64).prop_map(Action::Pass),
        8 => (1..4usize).prop_map(Action::Commit),
        1 => Just(Action::Crash),
    ]
}

struct World {
    ledger: Ledger,
    now: u64,
    tickets: u64,
    /// Steps that are not yet durable.
    pending: Vec<Step>,
    disk: HashMap<JobId, Job>,
    /// The lowest id that was never written to the disk.
    next_id: u64,
    /// All ids that were ever reported to clients as accepted.
    accepted_ids: HashSet<JobId>,
    /// Accepted jobs that must reach a final state, with the tickets of their clients.
    accepted: HashMap<JobId, Vec<Ticket>>,
    /// Leases that were sent to workers. A worker may report on them at any later time.
    runs: Vec<(JobId, Epoch)>,
    /// Jobs that were reported as finished, with their final state.
    finished: HashMap<JobId, State>,
    retried: HashSet<JobId>,
    crashes: u64,
}

impl World {
    fn new(seed: u64) -> World {
        World {
            ledger: Ledger::new(config(), seed),
            now: 1_000_000,
            tickets: 0,
            pending: Vec::new(),
            disk: HashMap::new(),
            next_id: 1,
            accepted_ids: HashSet::new(),
            accepted: HashMap::new(),
            runs: Vec::new(),
            finished: HashMap::new(),
            retried: HashSet::new(),
            crashes: 0,
        }
    }

    fn input(&mut self, input: Input) {
        let step = self.ledger.step(Time(self.now), input);
        self.pending.push(step);
        assert!(self.ledger.lease_count() <= config().max_leases, "more leases than max_leases");
    }

    fn commit(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        let step = self.pending.remove(0);
        for change in step.changes {
            match change {
                Change::Put(job) => {
                    // The encoding must preserve the job.
                    let read = Job::decode(job.id, &job.encode()).unwrap();
                    assert_eq!(read, job);
                    if let Some(before) = self.disk.get(&job.id) {
                        assert!(job.epoch >= before.epoch, "the epoch decreased");
                        let finished = before.state.finished_at().is_some();
                        assert!(!finished || self.retried.remove(&job.id), "a finished job was changed");
                    }
                    self.next_id = self.next_id.max(job.id.0 + 1);
                    self.disk.insert(job.id, job);
                }
                Change::Delete(id) => {
                    let dropped = self.disk.remove(&id).expect("deleted a job that is not on the disk");
                    assert!(dropped.state.finished_at().is_some(), "a job was deleted before it finished");
                    self.finished.remove(&id);
                    self.accepted.remove(&id);
                }
            }
        }
        for effect in step.effects {
            self.apply_effect(effect);
        }
    }

    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Accepted(ticket, id) => {
                assert!(self.disk.contains_key(&id), "accepted, but not on the disk");
                let before = self.accepted.insert(id, vec![ticket]);
                assert!(before.is_none() && self.accepted_ids.insert(id), "one id for two jobs");
            }
            Effect::Duplicate(ticket, id) => {
                let tickets = self.accepted.get_mut(&id);
                tickets.expect("duplicate of a job that was never accepted").push(ticket);
            }
            Effect::Refused(_, refusal) => match refusal {
                Refusal::Full(wait) | Refusal::MemberFull(wait) => assert_eq!(wait, config().hold_off),
                Refusal::Conflict(_) => {}
                other => panic!("{other:?}"),
            },
            Effect::Run(id, epoch) => {
                assert!(!self.finished.contains_key(&id), "run after it finished");
                let written = &self.disk[&id];
                assert!(written.epoch >= epoch, "run under an epoch that is not on the disk");
                assert!(written.attempts <= written.max_attempts, "more attempts than max_attempts");
                assert!(!self.runs.contains(&(id, epoch)), "an epoch used twice");
                self.runs.push((id, epoch));
            }
            Effect::Finished(id) => {
                let state = self.disk[&id].state.clone();
                assert!(state.finished_at().is_some());
                let before = self.finished.insert(id, state);
                assert!(before.is_none(), "a job finished twice");
            }
            Effect::Stop(..) | Effect::Stale(..) => {}
        }
    }

    fn crash(&mut self) {
        self.pending.clear();
        self.crashes += 1;
        let jobs: Vec<_> = self.disk.values().cloned().collect();
        self.ledger = Ledger::load(config(), self.crashes, Time(self.now), self.next_id, jobs).unwrap();
        // A final state that was written but not reported is seen by clients that ask for it.
        for job in self.disk.values().filter(|job| job.state.finished_at().is_some()) {
            self.finished.entry(job.id).or_insert_with(|| job.state.clone());
            self.accepted.entry(job.id).or_default();
        }
        for job in self.disk.values() {
            self.accepted.entry(job.id).or_default();
        }
        self.retried.clear();
    }

    fn perform(&mut self, action: Action) {
        let pick_run = |world: &World, index: Index| match world.runs.as_slice() {
            [] => None,
            runs => Some(runs[index.index(runs.len())]),
        };
        match action {
            Action::Submit { member, key, body, later, max_attempts } => {
                self.tickets += 1;
                let at = later.then_some(Time(self.now + 100));
                let submission = Submission {
                    ticket: Ticket(self.tickets),
                    member,
                    class: 0,
                    key: key.map(|key| Bytes::from(vec![key])),
                    body: Bytes::from(vec![body]),
                    not_before: at,
                    lease: Span(60),
                    max_attempts,
                };
                self.input(Input::Submit(submission));
            }
            Action::Beat(index) => {
                if let Some((id, epoch)) = pick_run(self, index) {
                    self.input(Input::Beat(id, epoch));
                }
            }
            Action::Complete(index) => {
                if let Some((id, epoch)) = pick_run(self, index) {
                    let result = format!("{} under {}", id.0, epoch.0);
                    let holds = self
                        .ledger
                        .job(id)
                        .is_some_and(|job| job.epoch == epoch && matches!(job.state, State::Leased { .. }));
                    let before = self.ledger.counts();
                    self.input(Input::Completed(id, epoch, result.into()));
                    let after = self.ledger.counts();
                    assert_eq!(after.completed - before.completed, u64::from(holds));
                    assert_eq!(
                        after.stale - before.stale,
                        u64::from(!holds),
                        "a late message must be reported as stale"
                    );
                }
            }
            Action::Fail(index) => {
                if let Some((id, epoch)) = pick_run(self, index) {
                    self.input(Input::Failed(id, epoch, "no".to_owned()));
                }
            }
            Action::Return(index) => {
                if let Some((id, epoch)) = pick_run(self, index) {
                    self.input(Input::Returned(id, epoch, Span(20)));
                }
            }
            Action::Cancel(index) => {
                let mut all: Vec<_> = self.accepted.keys().copied().collect();
                all.sort();
                if !all.is_empty() {
                    self.input(Input::Cancel(all[index.index(all.len())]));
                }
            }
            Action::Retry(index) => {
                let dead = |job: &&Job| matches!(job.state, State::Dead { .. });
                let mut all: Vec<_> = self.ledger.jobs().filter(dead).map(|job| job.id).collect();
                all.sort();
                if !all.is_empty() {
                    let id = all[index.index(all.len())];
                    // Commits all earlier steps first, so that the final state has been reported.
                    self.commit_all();
                    self.finished.remove(&id);
                    self.retried.insert(id);
                    self.input(Input::RetryDead(id));
                }
            }
            Action::Pass(time) => {
                self.now += time;
                self.input(Input::Due);
            }
            Action::Commit(count) => (0..count).for_each(|_| self.commit()),
            Action::Crash => self.crash(),
        }
    }

    fn commit_all(&mut self) {
        while !self.pending.is_empty() {
            self.commit();
        }
    }

    /// Runs until all jobs are finished: workers complete each job at once.
    fn finish(&mut self) {
        for _ in 0..400 {
            self.commit_all();
            let leased: Vec<_> =
                self.ledger.jobs().filter(|j| matches!(j.state, State::Leased { .. })).cloned().collect();
            for job in leased {
                if self.runs.contains(&(job.id, job.epoch)) {
                    self.input(Input::Completed(job.id, job.epoch, "late".into()));
                }
            }
            self.now += 30;
            self.input(Input::Due);
        }
        self.commit_all();
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        rng_seed: RngSeed::Fixed(0x1ed9e2),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn each_accepted_job_finishes_exactly_once_despite_crashes(
        seed in any::<u64>(),
        steps in prop::collection::vec(action(), 1..150),
    ) {
        let mut world = World::new(seed);
        for step in steps {
            world.perform(step);
        }
        let accepted: Vec<_> = world.accepted.keys().copied().collect();
        world.finish();
        for id in accepted {
            // Either finished or already deleted after its retention.
            let open = world.ledger.job(id).is_some_and(|job| job.state.finished_at().is_none());
            prop_assert!(!open, "job {} was accepted but did not finish", id.0);
        }
        prop_assert_eq!(world.ledger.lease_count(), 0);
    }
}
