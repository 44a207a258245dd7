//! Each step as an input of the core, and what it makes of the model beforehand. It owns that translation
//! and must never judge an effect; the one thing it holds against the core is time.

use crate::steps::Step;
use crate::world::{Asked, Client, Tried, World, listed, name, roster};
use sablerun as sr;
use sablerun_keys as keys;
use sablerun_node::core::{Arrival, AttemptEnd, IdempotencyKey, Input, Source, Ticket};

impl World {
    pub fn pass(&mut self, until: sr::Time) {
        while let Some(due) = self.core.next_timer().filter(|due| *due <= until) {
            self.now = self.now.max(due);
            self.input(Input::TimerDue, None);
        }
        self.now = until;
        let overdue = |asked: &Asked| asked.client == Client::Waits && asked.deadline < until;
        assert!(!self.asked.iter().any(overdue), "no answer by the deadline");
    }

    pub fn take(&mut self, step: Step) {
        match step {
            Step::Arrive { class, patience_ms, key, retry } => {
                let number = self.asked.len();
                let deadline = self.now + sr::Span(patience_ms * 1_000_000);
                let owed = self.stop.map_or(deadline, |stop| deadline.min(stop.max(self.now)));
                let under_way = |a: &Asked| {
                    class > 0
                        && key.is_some()
                        && (a.class, a.key) == (class, key)
                        && a.client == Client::Waits
                };
                let lead = self.asked.iter().find(|a| under_way(a)).map_or(number, |a| a.lead);
                self.asked.push(Asked { class, deadline: owed, client: Client::Waits, key, lead });
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
                self.input(Input::Arrived(arrival), None);
            }
            Step::Leave(of) if !self.asked.is_empty() => {
                let number = of.index(self.asked.len());
                if self.asked[number].client == Client::Waits {
                    self.asked[number].client = Client::Left;
                    self.settle(number, false);
                }
                self.input(Input::ClientGone(Ticket(number as u64)), None);
            }
            Step::Start(of) if !self.tried.is_empty() => {
                let tried = &self.tried[of.index(self.tried.len())];
                let (id, from) = (format!("r{}", tried.ticket), name(tried.runner));
                self.input(Input::Started { id, from }, None);
            }
            Step::End { of, told, outcome } if !self.tried.is_empty() => {
                let mut number = of.index(self.tried.len());
                let (ticket, runner) = (self.tried[number].ticket, self.tried[number].runner);
                if told {
                    // By name alone a word may be about a later attempt there, which is out.
                    let out = |t: &Tried| (t.ticket, t.runner, t.over) == (ticket, runner, None);
                    number = self.tried.iter().position(out).unwrap_or(number);
                }
                let ends = self.tried[number].over.is_none().then_some((number, outcome));
                let result = format!("made of r{ticket}").into();
                let ending = AttemptEnd { outcome, result, report: None };
                let input = match told {
                    true => Input::Finished { id: format!("r{ticket}"), from: name(runner), end: ending },
                    false => Input::AttemptEnded(self.tried[number].id, ending),
                };
                self.input(input, ends);
                if told && ends.is_some() {
                    self.tried[number].word = Some(outcome);
                }
            }
            Step::Repeat(of) if !self.tried.is_empty() => {
                let tried = &self.tried[of.index(self.tried.len())];
                let Some(outcome) = tried.word else { return };
                let (id, from) = (format!("r{}", tried.ticket), name(tried.runner));
                let result = format!("made of r{}", tried.ticket).into();
                // It is about an attempt that is over: it ends none, though one there may be given up for it.
                self.input(
                    Input::Finished { id, from, end: AttemptEnd { outcome, result, report: None } },
                    None,
                );
            }
            Step::Unusable(of) if !self.tried.is_empty() => {
                let number = of.index(self.tried.len());
                let (ticket, id, over) =
                    (self.tried[number].ticket, self.tried[number].id, self.tried[number].over);
                let ends = over.is_none().then_some((number, sr::Outcome::Error));
                self.input(Input::RequestRejected(id), ends);
                if over.is_none() {
                    let waits = |a: &Asked| a.lead == ticket && a.client == Client::Waits;
                    assert!(!self.asked.iter().any(waits), "tried on what nobody can use");
                }
            }
            Step::Stray { of, runner } if !self.asked.is_empty() => {
                let ticket = of.index(self.asked.len());
                let holds = |t: &Tried| (t.ticket, t.runner, t.over) == (ticket, runner, None);
                if !self.tried.iter().any(holds) {
                    let ending = AttemptEnd::without_report(sr::Outcome::Ok);
                    let (id, from) = (format!("r{ticket}"), name(runner));
                    self.input(Input::Finished { id, from, end: ending }, None);
                }
            }
            Step::List { runner, standing } => {
                self.standing[runner] = standing;
                let change = vec![listed(runner, standing)];
                self.input(Input::List(Source::Discovery, sr::ListKind::Delta, change), None);
            }
            Step::ListFailed => self.input(Input::ListFailed, None),
            Step::RosterAt(host) => {
                let (moved, before) = (self.roster != roster(host), self.asked_for_list);
                self.roster = roster(host);
                self.input(Input::DiscoveryMoved(self.roster), None);
                // A timer that is due may ask too; but a move is never without a call at once.
                assert!(!moved || self.asked_for_list > before, "a move that asks nobody");
            }
            Step::StopIn { ms } if self.stop.is_none() => {
                let stop = self.now + sr::Span(ms * 1_000_000);
                self.stop = Some(stop);
                self.asked.iter_mut().for_each(|asked| asked.deadline = asked.deadline.min(stop));
                self.input(Input::StopAt(stop), None);
            }
            Step::Pass { ms } => self.pass(self.now + sr::Span(ms * 1_000_000)),
            Step::Unusable(_)
            | Step::StopIn { .. }
            | Step::Leave(_)
            | Step::Start(_)
            | Step::End { .. }
            | Step::Repeat(_)
            | Step::Stray { .. } => {}
        }
    }
}
