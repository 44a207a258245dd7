//! The talk with the decision module: it is told what happened, what it asks for is done at once, and it is
//! told what came of that. This owns the order of both. It must never make a choice that is the module's.

use super::timers::Timer;
use super::{Answer, Core, Effect};
use sablerun as sr;

impl<J: Clone> Core<J> {
    /// Tells the module, carries out what it asks for, and tells it what came of that.
    pub(super) fn tell(&mut self, now: sr::Time, event: sr::Event) {
        self.events.push_back(event);
        self.tell_events(now);
    }

    pub(super) fn tell_events(&mut self, now: sr::Time) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(now, action);
            }
            self.actions = actions;
        }
    }

    pub(super) fn act(&mut self, now: sr::Time, action: sr::Action) {
        match action {
            sr::Action::Send(id, worker) => self.start(now, id.0, worker.0),
            sr::Action::Cancel(id, number) => {
                self.give_up(id.0, number, sr::Outcome::Cancelled);
                self.forget(id.0);
            }
            sr::Action::Refuse(id, hold_off) => {
                self.answer(now, id.0, Answer::Refused(hold_off));
                self.forget(id.0);
            }
            sr::Action::Fail(id) => {
                self.answer(now, id.0, Answer::Failed("no attempt was answered in time"));
                self.forget(id.0);
            }
            sr::Action::Timer(at, token) => self.set_timer(at, Timer::Module(token)),
            sr::Action::Subscribe => self.effects.push(Effect::Subscribe(self.roster)),
            sr::Action::Fetch => self.effects.push(Effect::Fetch(self.roster)),
            sr::Action::Probe(worker) if self.digest_answers(now, worker) => {}
            sr::Action::Probe(worker) => {
                self.effects.push(Effect::Probe(self.tables.workers.name(worker.0).to_owned()));
            }
            sr::Action::CloseIdle(worker) => {
                self.effects.push(Effect::CloseIdle(self.tables.workers.name(worker.0).to_owned()));
            }
        }
    }

    pub(super) fn end_for_module(&mut self, request: u32, attempt: u32, outcome: sr::Outcome) {
        let closed = self.requests.get(&request).is_none_or(|r| r.answered);
        let request = sr::RequestId(request);
        self.events.push_back(sr::Event::Ended { request, attempt, outcome, closed, report: None });
    }
}
