//! The rules that every effect of the core must keep, whatever was decided. It owns the model's judgement
//! and must never make an input up.

use crate::world::{Asked, Client, KEEP, Tried, WINDOW, World, ZONES, effects_of};
use sablerun as sr;
use sablerun_node::core::{Answer, AttemptId, Effect, Input, Ticket};

impl World {
    /// Steps the core and holds each effect against the model; `ends` is the attempt that this input
    /// ends, if it is out, and whether it may have run.
    pub fn input(&mut self, input: Input<usize>, ends: Option<(usize, sr::Outcome)>) {
        let effects = self.core.step(self.now, input);
        for effect in effects {
            match effect {
                Effect::Answer(Ticket(ticket), answer) => self.answered(ticket as usize, answer, ends),
                Effect::Start { attempt, id, runner, job, .. } => {
                    let runner: usize = runner[2..].parse().unwrap();
                    let asked = &self.asked[job];
                    assert_eq!(&*id, format!("r{job}"));
                    let waits =
                        |a: &Asked| a.lead == job && a.client == Client::Waits && self.now < a.deadline;
                    assert!(self.asked.iter().any(waits), "an attempt for nobody");
                    assert_eq!(
                        self.standing[runner],
                        sr::WorkerState::Ready,
                        "work for one that drains or is gone"
                    );
                    let others: Vec<_> = self.tried.iter().filter(|t| t.ticket == job).collect();
                    assert!(others.len() < 5, "too many attempts");
                    assert!(
                        !others.iter().any(|t| t.runner == runner && t.over.is_none()),
                        "two attempts at one runner"
                    );
                    let ran = others.iter().find(|t| t.over != Some(false));
                    let allowed = ran.is_none_or(|ran| match effects_of(asked.class) {
                        sr::Idempotency::Safe => true,
                        sr::Idempotency::Keyed(_) => ZONES[ran.runner] == ZONES[runner],
                        sr::Idempotency::Unsafe => false,
                    });
                    assert!(allowed, "repeated further than its class permits");
                    self.check_key(job, runner);
                    let (at, over, word) = (self.now, None, None);
                    self.tried.push(Tried { id: attempt, ticket: job, runner, at, over, word });
                }
                Effect::Cancel(attempt) => self.over(attempt, true),
                Effect::Forget(attempt) => {
                    let (ended, outcome) = ends.expect("an attempt ended by itself");
                    assert_eq!(self.tried[ended].id, attempt);
                    self.over(attempt, !outcome.never_ran());
                }
                Effect::Subscribe(at) | Effect::Fetch(at) => {
                    assert_eq!(at, self.roster, "the list is asked for elsewhere");
                    self.asked_for_list += 1;
                }
                Effect::Probe(_) | Effect::CloseIdle(_) | Effect::AdminResult { .. } => {}
                Effect::FetchDigest => panic!("no digest is followed"),
            }
        }
    }

    /// Whether a job under a key may go there, for all that was ever sent under that key.
    pub fn check_key(&self, job: usize, runner: usize) {
        let (class, key) = (self.asked[job].class, self.asked[job].key);
        if key.is_none() || class == 0 {
            return;
        }
        let same = |t: &&Tried| (self.asked[t.ticket].class, self.asked[t.ticket].key) == (class, key);
        for earlier in self.tried.iter().filter(same).filter(|t| t.over != Some(false)) {
            let forgotten = self
                .settled
                .get(&earlier.ticket)
                .is_some_and(|(at, served)| self.now >= *at + if *served { WINDOW } else { KEEP });
            let there = class == 1 && ZONES[earlier.runner] == ZONES[runner];
            let known = there && self.now < earlier.at + WINDOW;
            assert!(forgotten || known, "a repeat that may run a second time");
        }
    }

    /// A client is answered or has left: its request is settled once nobody waits for it.
    pub fn settle(&mut self, ticket: usize, served: bool) {
        let lead = self.asked[ticket].lead;
        if !self.asked.iter().any(|a| a.lead == lead && a.client == Client::Waits) {
            self.settled.entry(lead).or_insert((self.now, served));
        }
    }

    pub fn over(&mut self, attempt: AttemptId, may_have_run: bool) {
        let tried = self.tried.iter_mut().find(|t| t.id == attempt).expect("it was begun");
        assert_eq!(tried.over, None, "an attempt ended twice");
        tried.over = Some(may_have_run);
    }

    pub fn answered(&mut self, ticket: usize, answer: Answer, ends: Option<(usize, sr::Outcome)>) {
        assert_eq!(self.asked[ticket].client, Client::Waits, "a second answer, or one to nobody");
        self.asked[ticket].client = Client::Answered;
        self.settle(ticket, matches!(answer, Answer::Served(_)));
        let (lead, class, key) = (self.asked[ticket].lead, self.asked[ticket].class, self.asked[ticket].key);
        let mut tried = self.tried.iter().filter(|t| t.ticket == lead);
        match answer {
            Answer::Served(result) => {
                if let Some((ended, outcome)) = ends {
                    assert_eq!((self.tried[ended].ticket, outcome), (lead, sr::Outcome::Ok));
                    assert_eq!(result, format!("made of r{lead}").as_bytes());
                    return;
                }
                assert!(key.is_some() && class > 0 && lead == ticket, "a result that no runner made");
                let first = self.settled.iter().find(|(first, (at, served))| {
                    let same = (self.asked[**first].class, self.asked[**first].key) == (class, key);
                    same && *served
                        && self.now < *at + WINDOW
                        && result == format!("made of r{first}").as_bytes()
                });
                assert!(first.is_some(), "handed back what was not made under this key");
            }
            Answer::Refused(_) => {
                let harmless = effects_of(self.asked[ticket].class) == sr::Idempotency::Safe;
                assert!(harmless || tried.all(|t| t.over == Some(false)), "refused what may have run");
            }
            Answer::Failed(_) => {}
            Answer::Unfit(_) => panic!("every key stands for one request"),
        }
    }
}
