//! Attempts, from their start at a runner to their end. It owns which attempt a runner's word is about, and
//! that a runner holds one attempt of a request at a time. It must never pick the runner, nor believe a word
//! about an attempt that is over.

use super::{Answer, Attempt, AttemptEnd, AttemptId, Core, Echo, Effect};
use sablerun as sr;

impl<J: Clone> Core<J> {
    /// The live attempt that a runner's word is about. Guards against words that are late, repeated or
    /// about an attempt given up: id and name must both match one that is still out.
    pub(super) fn live(&self, id: &str, from: &str) -> Option<AttemptId> {
        let (&request, runner) = (self.ids.get(id)?, self.tables.workers.get(from)?);
        let attempts = &self.requests.get(&request)?.attempts;
        let number = attempts.iter().position(|a| a.live && a.runner == runner)?;
        Some(AttemptId { request, number: number as u32 })
    }

    pub(super) fn noted(&mut self, now: sr::Time, id: &str, from: &str, note: sr::AttemptUpdate) {
        if let Some(AttemptId { request, number }) = self.live(id, from) {
            self.tell(now, sr::Event::AttemptUpdate(sr::RequestId(request), number, note));
        }
    }

    /// A runner's word of how a job ended. Where an earlier attempt there may have brought it about, it proves
    /// nothing of this one, which may run: that is given up. What the runner made serves in any case.
    pub(super) fn told(&mut self, now: sr::Time, attempt: AttemptId, ending: AttemptEnd) {
        let AttemptId { request, number } = attempt;
        let Some(attempts) = self.requests.get(&request).map(|r| &r.attempts) else { return };
        let (earlier, this) = attempts.split_at(number as usize);
        let echoes = |a: &Attempt| match a.echo {
            Echo::None => false,
            Echo::Word(word) => word == ending.outcome,
            Echo::Any => true,
        };
        let doubtful = earlier.iter().any(|a| a.runner == this[0].runner && echoes(a));
        if doubtful && ending.outcome != sr::Outcome::Ok {
            self.give_up(request, number, sr::Outcome::Timeout);
            self.tell_events(now);
            self.forget(request);
        } else {
            let echo = Echo::Word(ending.outcome);
            self.ended(now, attempt, ending, echo);
        }
    }

    /// Gives a live attempt up; the module is to be told of the outcome.
    pub(super) fn give_up(&mut self, request: u32, number: u32, outcome: sr::Outcome) {
        let attempt = self.requests.get_mut(&request).and_then(|r| r.attempts.get_mut(number as usize));
        if let Some(attempt) = attempt.filter(|a| a.live) {
            (attempt.live, attempt.echo) = (false, Echo::Any);
            self.effects.push(Effect::Cancel(AttemptId { request, number }));
            self.end_for_module(request, number, outcome);
        }
    }

    /// Whether an attempt may begin now, which can be a while after it was decided on: it is not over, somebody
    /// waits in time, and a repeat gets there while the first is known there.
    pub fn may_begin(&self, now: sr::Time, attempt: AttemptId) -> bool {
        let Some(request) = self.requests.get(&attempt.request).filter(|r| !r.answered) else { return false };
        let (earlier, this) = request.attempts.split_at(attempt.number as usize);
        let class = &self.settings.classes[request.class as usize];
        let ran = earlier.iter().filter(|a| a.may_have_run).map(|a| a.sent).chain(request.prior).min();
        let known = match class.idempotency {
            sr::Idempotency::Keyed(_) => {
                ran.is_none_or(|first| now < first + class.window - sr::Span(self.settings.tick.0 * 2))
            }
            sr::Idempotency::Safe | sr::Idempotency::Unsafe => true,
        };
        this.first().is_some_and(|a| a.live) && now < request.deadline && known
    }

    pub(super) fn ended(&mut self, now: sr::Time, attempt: AttemptId, ending: AttemptEnd, echo: Echo) {
        let request = self.requests.get_mut(&attempt.request);
        let out = request.and_then(|r| r.attempts.get_mut(attempt.number as usize));
        let Some(out) = out.filter(|a| a.live) else { return };
        (out.live, out.may_have_run, out.echo) = (false, !ending.outcome.never_ran(), echo);
        self.effects.push(Effect::Forget(attempt));
        if ending.outcome == sr::Outcome::Ok {
            self.answer(now, attempt.request, Answer::Served(ending.result));
        }
        let closed = self.requests[&attempt.request].answered;
        self.tell(
            now,
            sr::Event::Ended {
                request: sr::RequestId(attempt.request),
                attempt: attempt.number,
                outcome: ending.outcome,
                closed,
                report: ending.report,
            },
        );
        self.forget(attempt.request);
    }

    /// The request itself is at fault: no other runner could use it either, and none is to blame. Guards
    /// against bad clients that spoil what the module thinks of a runner.
    pub(super) fn unusable(&mut self, now: sr::Time, attempt: AttemptId) {
        let request = self.requests.get_mut(&attempt.request);
        let out = request.and_then(|r| r.attempts.get_mut(attempt.number as usize));
        let Some(out) = out.filter(|a| a.live) else { return };
        out.live = false;
        self.effects.push(Effect::Forget(attempt));
        self.answer(now, attempt.request, Answer::Failed("the runner can't use the request"));
        self.end_for_module(attempt.request, attempt.number, sr::Outcome::Moot);
        self.tell_events(now);
        self.forget(attempt.request);
    }

    pub(super) fn start(&mut self, now: sr::Time, request: u32, runner: u32) {
        let Some(held) = self.requests.get_mut(&request) else {
            self.end_for_module(request, 0, sr::Outcome::Moot);
            return;
        };
        let number = held.attempts.len() as u32;
        // A runner gets one attempt of a request at a time.
        let there = held.attempts.iter().any(|a| a.live && a.runner == runner);
        let moot = there || held.answered;
        held.attempts.push(Attempt { runner, live: !moot, sent: now, may_have_run: !moot, echo: Echo::None });
        if moot {
            self.end_for_module(request, number, sr::Outcome::Moot);
            return;
        }
        self.tally.attempts += 1;
        self.effects.push(Effect::Start {
            attempt: AttemptId { request, number },
            id: held.id.clone(),
            runner: self.tables.workers.name(runner).to_owned(),
            job: held.job.clone(),
            deadline: held.deadline,
        });
    }
}
