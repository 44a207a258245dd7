//! Random lives of jobs, with crashes at every point: a crash keeps what was made durable and forgets the
//! rest, effects that had not gone out included. Workers go on through it, and speak of leases long over.

use bytes::Bytes;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;
use sablerun::{Span, Time};
use sablerun_ledger::{
    Change, Effect, Epoch, Input, Job, JobId, Ledger, LedgerConfig, Refusal, State, Step, Submission, Ticket,
};
use std::collections::{HashMap, HashSet};

fn rules() -> LedgerConfig {
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
enum Do {
    Submit {
        member: u32,
        key: Option<u8>,
        body: u8,
        later: bool,
        tries: u32,
    },
    Beat(Index),
    Complete(Index),
    Fail(Index),
    Return(Index),
    Cancel(Index),
    Revive(Index),
    Pass(u64),
    /// So many of the steps that wait for the disk become durable.
    Commit(usize),
    Crash,
}

fn what() -> impl Strategy<Value = Do> {
    let index = any::<Index>;
    prop_oneof![
        6 => (0..3u32, prop::option::of(0..6u8), 0..9u8, any::<bool>(), 1..4u32).prop_map(
            |(member, key, body, later, tries)| Do::Submit { member, key, body: u8::from(body == 0), later, tries }
        ),
        3 => index().prop_map(Do::Beat),
        5 => index().prop_map(Do::Complete),
        3 => index().prop_map(Do::Fail),
        1 => index().prop_map(Do::Return),
        1 => index().prop_map(Do::Cancel),
        1 => index().prop_map(Do::Revive),
        4 => (1..200u64).prop_map(Do::Pass),
        8 => (1..4usize).prop_map(Do::Commit),
        1 => Just(Do::Crash),
    ]
}

struct World {
    ledger: Ledger,
    now: u64,
    tickets: u64,
    /// Steps that wait for the disk.
    pending: Vec<Step>,
    disk: HashMap<JobId, Job>,
    /// The first number that the disk never held.
    next: u64,
    /// All numbers that clients were ever told.
    told: HashSet<JobId>,
    /// What clients were told: taken.
    promised: HashMap<JobId, Vec<Ticket>>,
    /// Leases that went out to workers, who may speak of them for ever.
    runs: Vec<(JobId, Epoch)>,
    /// Jobs that were told to have come to their end, and how.
    ended: HashMap<JobId, State>,
    revived: HashSet<JobId>,
    crashes: u64,
}

impl World {
    fn new(seed: u64) -> World {
        World {
            ledger: Ledger::new(rules(), seed),
            now: 1_000_000,
            tickets: 0,
            pending: Vec::new(),
            disk: HashMap::new(),
            next: 1,
            told: HashSet::new(),
            promised: HashMap::new(),
            runs: Vec::new(),
            ended: HashMap::new(),
            revived: HashSet::new(),
            crashes: 0,
        }
    }

    fn input(&mut self, input: Input) {
        let step = self.ledger.step(Time(self.now), input);
        self.pending.push(step);
        assert!(self.ledger.lease_count() <= rules().max_leases, "more leases than there may be");
    }

    fn commit(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        let step = self.pending.remove(0);
        for change in step.changes {
            match change {
                Change::Put(job) => {
                    // What is written is what is read back.
                    let read = Job::decode(job.id, &job.encode()).unwrap();
                    assert_eq!(read, job);
                    if let Some(before) = self.disk.get(&job.id) {
                        assert!(job.epoch >= before.epoch, "an epoch went back");
                        let ended = before.state.finished_at().is_some();
                        assert!(!ended || self.revived.remove(&job.id), "a job that had ended was changed");
                    }
                    self.next = self.next.max(job.id.0 + 1);
                    self.disk.insert(job.id, job);
                }
                Change::Delete(id) => {
                    let dropped = self.disk.remove(&id).expect("it was there");
                    assert!(dropped.state.finished_at().is_some(), "a job was forgotten before its end");
                    self.ended.remove(&id);
                    self.promised.remove(&id);
                }
            }
        }
        for effect in step.effects {
            self.done(effect);
        }
    }

    fn done(&mut self, effect: Effect) {
        match effect {
            Effect::Accepted(ticket, id) => {
                assert!(self.disk.contains_key(&id), "taken, and not on the disk");
                let before = self.promised.insert(id, vec![ticket]);
                assert!(before.is_none() && self.told.insert(id), "one number for two jobs");
            }
            Effect::Duplicate(ticket, id) => {
                let tickets = self.promised.get_mut(&id);
                tickets.expect("the same as one that was never taken").push(ticket);
            }
            Effect::Refused(_, refusal) => match refusal {
                Refusal::Full(wait) | Refusal::MemberFull(wait) => assert_eq!(wait, rules().hold_off),
                Refusal::Conflict(_) => {}
                other => panic!("{other:?}"),
            },
            Effect::Run(id, epoch) => {
                assert!(!self.ended.contains_key(&id), "run after its end");
                let written = &self.disk[&id];
                assert!(written.epoch >= epoch, "run under an epoch that is not on the disk");
                assert!(written.attempts <= written.max_attempts, "more tries than it may have");
                assert!(!self.runs.contains(&(id, epoch)), "an epoch given twice");
                self.runs.push((id, epoch));
            }
            Effect::Finished(id) => {
                let state = self.disk[&id].state.clone();
                assert!(state.finished_at().is_some());
                let before = self.ended.insert(id, state);
                assert!(before.is_none(), "two ends of one job");
            }
            Effect::Stop(..) | Effect::Stale(..) => {}
        }
    }

    fn crash(&mut self) {
        self.pending.clear();
        self.crashes += 1;
        let jobs: Vec<_> = self.disk.values().cloned().collect();
        self.ledger = Ledger::load(rules(), self.crashes, Time(self.now), self.next, jobs).unwrap();
        // An end that was written and not yet told is told by whoever asks.
        for job in self.disk.values().filter(|job| job.state.finished_at().is_some()) {
            self.ended.entry(job.id).or_insert_with(|| job.state.clone());
            self.promised.entry(job.id).or_default();
        }
        for job in self.disk.values() {
            self.promised.entry(job.id).or_default();
        }
        self.revived.clear();
    }

    fn take(&mut self, what: Do) {
        let run = |world: &World, of: Index| match world.runs.as_slice() {
            [] => None,
            runs => Some(runs[of.index(runs.len())]),
        };
        match what {
            Do::Submit { member, key, body, later, tries } => {
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
                    max_attempts: tries,
                };
                self.input(Input::Submit(submission));
            }
            Do::Beat(of) => {
                if let Some((id, epoch)) = run(self, of) {
                    self.input(Input::Beat(id, epoch));
                }
            }
            Do::Complete(of) => {
                if let Some((id, epoch)) = run(self, of) {
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
                        "a late word is told to be stale"
                    );
                }
            }
            Do::Fail(of) => {
                if let Some((id, epoch)) = run(self, of) {
                    self.input(Input::Failed(id, epoch, "no".to_owned()));
                }
            }
            Do::Return(of) => {
                if let Some((id, epoch)) = run(self, of) {
                    self.input(Input::Returned(id, epoch, Span(20)));
                }
            }
            Do::Cancel(of) => {
                let mut all: Vec<_> = self.promised.keys().copied().collect();
                all.sort();
                if !all.is_empty() {
                    self.input(Input::Cancel(all[of.index(all.len())]));
                }
            }
            Do::Revive(of) => {
                let dead = |job: &&Job| matches!(job.state, State::Dead { .. });
                let mut all: Vec<_> = self.ledger.jobs().filter(dead).map(|job| job.id).collect();
                all.sort();
                if !all.is_empty() {
                    let id = all[of.index(all.len())];
                    // Everything before it, so that the end it revives from has been told.
                    self.commit_all();
                    self.ended.remove(&id);
                    self.revived.insert(id);
                    self.input(Input::RetryDead(id));
                }
            }
            Do::Pass(time) => {
                self.now += time;
                self.input(Input::Due);
            }
            Do::Commit(most) => (0..most).for_each(|_| self.commit()),
            Do::Crash => self.crash(),
        }
    }

    fn commit_all(&mut self) {
        while !self.pending.is_empty() {
            self.commit();
        }
    }

    /// Lets everything come to its end: workers do what they are given, at once.
    fn finish(&mut self) {
        for _ in 0..400 {
            self.commit_all();
            let held: Vec<_> =
                self.ledger.jobs().filter(|j| matches!(j.state, State::Leased { .. })).cloned().collect();
            for job in held {
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
    fn whatever_crashes_each_job_that_was_promised_comes_to_one_end(
        seed in any::<u64>(),
        steps in prop::collection::vec(what(), 1..150),
    ) {
        let mut world = World::new(seed);
        for step in steps {
            world.take(step);
        }
        let owed: Vec<_> = world.promised.keys().copied().collect();
        world.finish();
        for id in owed {
            // Forgotten after its end, or at its end: never neither.
            let open = world.ledger.job(id).is_some_and(|job| job.state.finished_at().is_none());
            prop_assert!(!open, "job {} was promised and did not come to its end", id.0);
        }
        prop_assert_eq!(world.ledger.lease_count(), 0);
    }
}
