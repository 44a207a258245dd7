//! The rules that every effect of the core must keep, whatever the balancer decided. Creates no inputs.

use crate::state::{Attempt, Client, Model, Request, UNCERTAIN_TTL, WINDOW, ZONES, idempotency_of};
use sablerun as sr;
use sablerun_node::core::{Answer, AttemptId, Effect, Input, Ticket};

impl Model {
    /// Steps the core with an input and checks each effect against the model. `expected_end` is the running
    /// attempt that this input may end, with its outcome.
    pub fn step_core(&mut self, input: Input<usize>, expected_end: Option<(usize, sr::Outcome)>) {
        let effects = self.core.step(self.now, input);
        for effect in effects {
            match effect {
                Effect::Answer(Ticket(ticket), answer) => {
                    self.check_answer(ticket as usize, answer, expected_end)
                }
                Effect::Start { attempt, id, runner, job, .. } => {
                    let runner: usize = runner[2..].parse().unwrap();
                    let request = &self.requests[job];
                    assert_eq!(&*id, format!("r{job}"));
                    let waits_for_job =
                        |r: &Request| r.leader == job && r.client == Client::Waiting && self.now < r.deadline;
                    assert!(self.requests.iter().any(waits_for_job), "an attempt without a waiting client");
                    assert_eq!(
                        self.runner_states[runner],
                        sr::WorkerState::Ready,
                        "an attempt at a draining or removed runner"
                    );
                    let others: Vec<_> = self.attempts.iter().filter(|a| a.ticket == job).collect();
                    assert!(others.len() < 5, "too many attempts");
                    assert!(
                        !others.iter().any(|a| a.runner == runner && a.ended.is_none()),
                        "two concurrent attempts at one runner"
                    );
                    let earlier = others.iter().find(|a| a.ended != Some(false));
                    let allowed = earlier.is_none_or(|earlier| match idempotency_of(request.class) {
                        sr::Idempotency::Safe => true,
                        sr::Idempotency::Keyed(_) => ZONES[earlier.runner] == ZONES[runner],
                        sr::Idempotency::Unsafe => false,
                    });
                    assert!(allowed, "a retry that the class does not permit");
                    self.assert_key_rules(job, runner);
                    let (started_at, ended, reported_outcome) = (self.now, None, None);
                    self.attempts.push(Attempt {
                        id: attempt,
                        ticket: job,
                        runner,
                        started_at,
                        ended,
                        reported_outcome,
                    });
                }
                Effect::Cancel(attempt) => self.end_attempt(attempt, true),
                Effect::Forget(attempt) => {
                    let (index, outcome) =
                        expected_end.expect("an attempt ended without an input that ends it");
                    assert_eq!(self.attempts[index].id, attempt);
                    self.end_attempt(attempt, !outcome.never_ran());
                }
                Effect::Subscribe(address) | Effect::Fetch(address) => {
                    assert_eq!(address, self.discovery, "the list is requested from the wrong address");
                    self.list_requests += 1;
                }
                Effect::Probe(_) | Effect::CloseIdle(_) | Effect::AdminResult { .. } => {}
                Effect::RequestRemoved(_) => panic!("removed requests are reported only if asked for"),
                Effect::FetchDigest => panic!("no digest is configured"),
            }
        }
    }

    /// Asserts that a keyed job may go to this runner, given every attempt made under the same key.
    pub fn assert_key_rules(&self, job: usize, runner: usize) {
        let (class, key) = (self.requests[job].class, self.requests[job].key);
        if key.is_none() || class == 0 {
            return;
        }
        let same_key =
            |a: &&Attempt| (self.requests[a.ticket].class, self.requests[a.ticket].key) == (class, key);
        for earlier in self.attempts.iter().filter(same_key).filter(|a| a.ended != Some(false)) {
            let forgotten = self.finished.get(&earlier.ticket).is_some_and(|(finished_at, served)| {
                self.now >= *finished_at + if *served { WINDOW } else { UNCERTAIN_TTL }
            });
            let same_zone = class == 1 && ZONES[earlier.runner] == ZONES[runner];
            let remembered = same_zone && self.now < earlier.started_at + WINDOW;
            assert!(forgotten || remembered, "a repeat that may run the job a second time");
        }
    }

    /// Records the request that a client waited for as finished once no client waits for it.
    pub fn finish_request(&mut self, ticket: usize, served: bool) {
        let leader = self.requests[ticket].leader;
        if !self.requests.iter().any(|r| r.leader == leader && r.client == Client::Waiting) {
            self.finished.entry(leader).or_insert((self.now, served));
        }
    }

    /// Records the end of an attempt, which must be running.
    pub fn end_attempt(&mut self, attempt: AttemptId, may_have_run: bool) {
        let attempt = self.attempts.iter_mut().find(|a| a.id == attempt).expect("it was started");
        assert_eq!(attempt.ended, None, "an attempt ended twice");
        attempt.ended = Some(may_have_run);
    }

    /// Checks an answer to a client against its request's attempts and earlier results.
    pub fn check_answer(
        &mut self,
        ticket: usize,
        answer: Answer,
        expected_end: Option<(usize, sr::Outcome)>,
    ) {
        assert_eq!(
            self.requests[ticket].client,
            Client::Waiting,
            "a second answer, or an answer to a client that left"
        );
        self.requests[ticket].client = Client::Answered;
        self.finish_request(ticket, matches!(answer, Answer::Served(_)));
        let (leader, class, key) =
            (self.requests[ticket].leader, self.requests[ticket].class, self.requests[ticket].key);
        let mut attempts = self.attempts.iter().filter(|a| a.ticket == leader);
        match answer {
            Answer::Served(result) => {
                if let Some((index, outcome)) = expected_end {
                    assert_eq!((self.attempts[index].ticket, outcome), (leader, sr::Outcome::Ok));
                    assert_eq!(result, format!("made of r{leader}").as_bytes());
                    return;
                }
                assert!(key.is_some() && class > 0 && leader == ticket, "a result that no runner produced");
                let first = self.finished.iter().find(|(first, (finished_at, served))| {
                    let same_key = (self.requests[**first].class, self.requests[**first].key) == (class, key);
                    same_key
                        && *served
                        && self.now < *finished_at + WINDOW
                        && result == format!("made of r{first}").as_bytes()
                });
                assert!(first.is_some(), "a result that was not made under this key");
            }
            Answer::Refused(_) => {
                let harmless = idempotency_of(self.requests[ticket].class) == sr::Idempotency::Safe;
                assert!(
                    harmless || attempts.all(|a| a.ended == Some(false)),
                    "refused a request that may have run"
                );
            }
            Answer::Failed(_) => {}
            Answer::Unfit(_) => panic!("each key is used for one request"),
        }
    }
}
