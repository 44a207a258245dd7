//! The interface to the balancer: passes events to it, applies the actions that it returns at once, and
//! passes on the events that these cause. Makes no scheduling decisions itself.

use super::timers::Timer;
use super::{Answer, Core, Effect};
use sablerun as sr;

impl<J: Clone> Core<J> {
    /// Passes an event to the balancer, applies its actions, and repeats with the events that these cause.
    pub(super) fn notify(&mut self, now: sr::Time, event: sr::Event) {
        self.pending_events.push_back(event);
        self.process_events(now);
    }

    /// Passes the pending events to the balancer until there are none.
    pub(super) fn process_events(&mut self, now: sr::Time) {
        while let Some(event) = self.pending_events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.apply_action(now, action);
            }
            self.actions = actions;
        }
    }

    pub(super) fn apply_action(&mut self, now: sr::Time, action: sr::Action) {
        match action {
            sr::Action::Send(id, worker) => self.start_attempt(now, id.0, worker.0),
            sr::Action::Cancel(id, number) => {
                self.cancel_attempt(id.0, number, sr::Outcome::Cancelled);
                self.remove_if_finished(id.0);
            }
            sr::Action::Refuse(id, hold_off) => {
                self.answer_request(now, id.0, Answer::Refused(hold_off));
                self.remove_if_finished(id.0);
            }
            sr::Action::Fail(id) => {
                self.answer_request(now, id.0, Answer::Failed("no attempt was answered in time"));
                self.remove_if_finished(id.0);
            }
            sr::Action::Timer(at, token) => self.set_timer(at, Timer::Balancer(token)),
            sr::Action::Subscribe => self.effects.push(Effect::Subscribe(self.discovery)),
            sr::Action::Fetch => self.effects.push(Effect::Fetch(self.discovery)),
            sr::Action::Probe(worker) if self.answer_probe_from_digest(now, worker) => {}
            sr::Action::Probe(worker) => {
                self.effects.push(Effect::Probe(self.tables.workers.name(worker.0).to_owned()));
            }
            sr::Action::CloseIdle(worker) => {
                self.effects.push(Effect::CloseIdle(self.tables.workers.name(worker.0).to_owned()));
            }
        }
    }

    /// Queues the end of an attempt as an event for the balancer.
    pub(super) fn queue_attempt_end(&mut self, request: u32, attempt: u32, outcome: sr::Outcome) {
        let closed = self.requests.get(&request).is_none_or(|r| r.answered);
        let request = sr::RequestId(request);
        self.pending_events.push_back(sr::Event::Ended { request, attempt, outcome, closed, report: None });
    }
}
