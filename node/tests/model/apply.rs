//! Translates each step into an input of the core and updates the model. Checks deadlines; effects are
//! checked in `rules`.

use crate::state::{Attempt, Client, Model, Request, discovery_address, listed_runner, runner_name};
use crate::steps::Step;
use sablerun as sr;
use sablerun_keys as keys;
use sablerun_node::core::{Arrival, AttemptEnd, IdempotencyKey, Input, Source, Ticket};

impl Model {
    /// Advances the clock, with each timer at its time.
    pub fn advance_to(&mut self, until: sr::Time) {
        while let Some(due) = self.core.next_timer().filter(|due| *due <= until) {
            self.now = self.now.max(due);
            self.step_core(Input::TimerDue, None);
        }
        self.now = until;
        let overdue = |request: &Request| request.client == Client::Waiting && request.deadline < until;
        assert!(!self.requests.iter().any(overdue), "no answer by the deadline");
    }

    pub fn apply(&mut self, step: Step) {
        match step {
            Step::Arrive { class, timeout_ms, key, retry } => {
                let number = self.requests.len();
                let deadline = self.now + sr::Span(timeout_ms * 1_000_000);
                let answer_by = self.stop_at.map_or(deadline, |stop| deadline.min(stop.max(self.now)));
                let same_key_waiting = |r: &Request| {
                    class > 0
                        && key.is_some()
                        && (r.class, r.key) == (class, key)
                        && r.client == Client::Waiting
                };
                let leader = self.requests.iter().find(|r| same_key_waiting(r)).map_or(number, |r| r.leader);
                self.requests.push(Request {
                    class,
                    deadline: answer_by,
                    client: Client::Waiting,
                    key,
                    leader,
                });
                let arrival = Arrival {
                    ticket: Ticket(number as u64),
                    id: format!("r{number}").into(),
                    class,
                    tenant: None,
                    deadline,
                    slots: 1.0,
                    memory: 0.0,
                    estimate: sr::Span(0),
                    retry,
                    key: key.filter(|_| class > 0).map(|key| IdempotencyKey {
                        text: format!("k{key}").into(),
                        fingerprint: keys::Fingerprint([key; 16]),
                    }),
                    job: number,
                };
                self.step_core(Input::Arrived(arrival), None);
            }
            Step::ClientLeaves(index) if !self.requests.is_empty() => {
                let number = index.index(self.requests.len());
                if self.requests[number].client == Client::Waiting {
                    self.requests[number].client = Client::Left;
                    self.finish_request(number, false);
                }
                self.step_core(Input::ClientGone(Ticket(number as u64)), None);
            }
            Step::Started(index) if !self.attempts.is_empty() => {
                let attempt = &self.attempts[index.index(self.attempts.len())];
                let (id, from) = (format!("r{}", attempt.ticket), runner_name(attempt.runner));
                self.step_core(Input::Started { id, from }, None);
            }
            Step::Ended { index, by_call_back, outcome } if !self.attempts.is_empty() => {
                let mut number = index.index(self.attempts.len());
                let (ticket, runner) = (self.attempts[number].ticket, self.attempts[number].runner);
                if by_call_back {
                    // A call-back identifies an attempt only by request and runner, so it applies to a later
                    // attempt there that is still running.
                    let running = |a: &Attempt| (a.ticket, a.runner, a.ended) == (ticket, runner, None);
                    number = self.attempts.iter().position(running).unwrap_or(number);
                }
                let expected_end = self.attempts[number].ended.is_none().then_some((number, outcome));
                let result = format!("made of r{ticket}").into();
                let attempt_end = AttemptEnd { outcome, result, report: None };
                let input = match by_call_back {
                    true => Input::Finished {
                        id: format!("r{ticket}"),
                        from: runner_name(runner),
                        end: attempt_end,
                    },
                    false => Input::AttemptEnded(self.attempts[number].id, attempt_end),
                };
                self.step_core(input, expected_end);
                if by_call_back && expected_end.is_some() {
                    self.attempts[number].reported_outcome = Some(outcome);
                }
            }
            Step::RepeatedCallBack(index) if !self.attempts.is_empty() => {
                let attempt = &self.attempts[index.index(self.attempts.len())];
                let Some(outcome) = attempt.reported_outcome else { return };
                let (id, from) = (format!("r{}", attempt.ticket), runner_name(attempt.runner));
                let result = format!("made of r{}", attempt.ticket).into();
                // The attempt is over, so the call-back ends none; a running attempt at this runner may be
                // cancelled for it.
                self.step_core(
                    Input::Finished { id, from, end: AttemptEnd { outcome, result, report: None } },
                    None,
                );
            }
            Step::RequestRejected(index) if !self.attempts.is_empty() => {
                let number = index.index(self.attempts.len());
                let (ticket, id, ended) =
                    (self.attempts[number].ticket, self.attempts[number].id, self.attempts[number].ended);
                let expected_end = ended.is_none().then_some((number, sr::Outcome::Error));
                self.step_core(Input::RequestRejected(id), expected_end);
                if ended.is_none() {
                    let waits = |r: &Request| r.leader == ticket && r.client == Client::Waiting;
                    assert!(
                        !self.requests.iter().any(waits),
                        "a client still waits although the runner cannot use its request"
                    );
                }
            }
            Step::UnmatchedCallBack { index, runner } if !self.requests.is_empty() => {
                let ticket = index.index(self.requests.len());
                let holds = |a: &Attempt| (a.ticket, a.runner, a.ended) == (ticket, runner, None);
                if !self.attempts.iter().any(holds) {
                    let attempt_end = AttemptEnd::without_report(sr::Outcome::Ok);
                    let (id, from) = (format!("r{ticket}"), runner_name(runner));
                    self.step_core(Input::Finished { id, from, end: attempt_end }, None);
                }
            }
            Step::List { runner, state } => {
                self.runner_states[runner] = state;
                let change = vec![listed_runner(runner, state)];
                self.step_core(Input::List(Source::Discovery, sr::ListKind::Delta, change), None);
            }
            Step::ListFailed => self.step_core(Input::ListFailed, None),
            Step::DiscoveryMoves(host) => {
                let (moved, before) = (self.discovery != discovery_address(host), self.list_requests);
                self.discovery = discovery_address(host);
                self.step_core(Input::DiscoveryMoved(self.discovery), None);
                // A due timer may request the list too, but a move always requests it at once.
                assert!(
                    !moved || self.list_requests > before,
                    "discovery moved and the list was not requested"
                );
            }
            Step::StopIn { ms } if self.stop_at.is_none() => {
                let stop = self.now + sr::Span(ms * 1_000_000);
                self.stop_at = Some(stop);
                self.requests.iter_mut().for_each(|request| request.deadline = request.deadline.min(stop));
                self.step_core(Input::StopAt(stop), None);
            }
            Step::Advance { ms } => self.advance_to(self.now + sr::Span(ms * 1_000_000)),
            Step::RequestRejected(_)
            | Step::StopIn { .. }
            | Step::ClientLeaves(_)
            | Step::Started(_)
            | Step::Ended { .. }
            | Step::RepeatedCallBack(_)
            | Step::UnmatchedCallBack { .. } => {}
        }
    }
}
