//! Attempts, from their start at a runner to their end. Matches runners' reports to attempts, and ensures
//! that a runner holds at most one attempt of a request at a time. Never picks the runner.

use super::{Answer, Attempt, AttemptEnd, AttemptId, Core, Effect, LateReport};
use sablerun as sr;

impl<J: Clone> Core<J> {
    /// Returns the live attempt that a runner's report is about. Request id and runner name must both match
    /// an attempt that has not ended, so that reports that are late, repeated or about a cancelled attempt
    /// are ignored.
    pub(super) fn live_attempt(&self, id: &str, from: &str) -> Option<AttemptId> {
        let (&request, runner) = (self.requests_by_id.get(id)?, self.tables.workers.get(from)?);
        let attempts = &self.requests.get(&request)?.attempts;
        let number = attempts.iter().position(|a| a.live && a.runner == runner)?;
        Some(AttemptId { request, number: number as u32 })
    }

    /// Passes a start or progress report about a live attempt to the balancer.
    pub(super) fn handle_update(&mut self, now: sr::Time, id: &str, from: &str, update: sr::AttemptUpdate) {
        if let Some(AttemptId { request, number }) = self.live_attempt(id, from) {
            self.notify(now, sr::Event::AttemptUpdate(sr::RequestId(request), number, update));
        }
    }

    /// Handles a runner's report of how a job ended. If an earlier attempt at the same runner may have caused
    /// a failure report, the report proves nothing about the live attempt, which may still be running: that
    /// is cancelled as timed out. A result is used in either case.
    pub(super) fn handle_finished(&mut self, now: sr::Time, attempt: AttemptId, end: AttemptEnd) {
        let AttemptId { request, number } = attempt;
        let Some(attempts) = self.requests.get(&request).map(|r| &r.attempts) else { return };
        let (earlier, this) = attempts.split_at(number as usize);
        let may_report = |a: &Attempt| match a.late_report {
            LateReport::None => false,
            LateReport::Repeat(outcome) => outcome == end.outcome,
            LateReport::Any => true,
        };
        let ambiguous = earlier.iter().any(|a| a.runner == this[0].runner && may_report(a));
        if ambiguous && end.outcome != sr::Outcome::Ok {
            self.cancel_attempt(request, number, sr::Outcome::Timeout);
            self.process_events(now);
            self.remove_if_finished(request);
        } else {
            let late_report = LateReport::Repeat(end.outcome);
            self.end_attempt(now, attempt, end, late_report);
        }
    }

    /// Cancels a live attempt and queues the outcome for the balancer.
    pub(super) fn cancel_attempt(&mut self, request: u32, number: u32, outcome: sr::Outcome) {
        let attempt = self.requests.get_mut(&request).and_then(|r| r.attempts.get_mut(number as usize));
        if let Some(attempt) = attempt.filter(|a| a.live) {
            (attempt.live, attempt.late_report) = (false, LateReport::Any);
            self.effects.push(Effect::Cancel(AttemptId { request, number }));
            self.queue_attempt_end(request, number, outcome);
        }
    }

    /// Whether an attempt may begin now, which can be some time after it was decided: it has not ended, the
    /// deadline has not passed, its runner has not been draining or disabled for so long that sends to it must
    /// stop, and a repeat of a keyed request arrives within the class's window, with two ticks to spare, while
    /// the runner still knows the first one.
    pub fn may_begin(&self, now: sr::Time, attempt: AttemptId) -> bool {
        let Some(request) = self.requests.get(&attempt.request).filter(|r| !r.answered) else { return false };
        let (earlier, this) = request.attempts.split_at(attempt.number as usize);
        let class = &self.settings.classes[request.class as usize];
        let first_sent =
            earlier.iter().filter(|a| a.may_have_run).map(|a| a.sent_at).chain(request.prior_sent).min();
        let in_window = match class.idempotency {
            sr::Idempotency::Keyed(_) => {
                first_sent.is_none_or(|first| now < first + class.window - sr::Span(self.settings.tick.0 * 2))
            }
            sr::Idempotency::Safe | sr::Idempotency::Unsafe => true,
        };
        let may_send = |a: &Attempt| a.live && !self.is_closed_to_sends(now, a.runner);
        this.first().is_some_and(may_send) && now < request.deadline && in_window
    }

    /// Records the end of a live attempt, answers the request if the attempt succeeded, and notifies the
    /// balancer. `late_report` is what the runner may still report about the attempt.
    pub(super) fn end_attempt(
        &mut self,
        now: sr::Time,
        attempt: AttemptId,
        end: AttemptEnd,
        late_report: LateReport,
    ) {
        let request = self.requests.get_mut(&attempt.request);
        let state = request.and_then(|r| r.attempts.get_mut(attempt.number as usize));
        let Some(state) = state.filter(|a| a.live) else { return };
        (state.live, state.may_have_run, state.late_report) = (false, !end.outcome.never_ran(), late_report);
        self.effects.push(Effect::Forget(attempt));
        if end.outcome == sr::Outcome::Ok {
            self.answer_request(now, attempt.request, Answer::Served(end.result));
        }
        let closed = self.requests[&attempt.request].answered;
        self.notify(
            now,
            sr::Event::Ended {
                request: sr::RequestId(attempt.request),
                attempt: attempt.number,
                outcome: end.outcome,
                closed,
                report: end.report,
            },
        );
        self.remove_if_finished(attempt.request);
    }

    /// Fails a request that its runner rejected as invalid: no other runner could use it either. The balancer
    /// sees the attempt as never sent, so that a bad client does not affect a runner's error rate.
    pub(super) fn handle_request_rejected(&mut self, now: sr::Time, attempt: AttemptId) {
        let request = self.requests.get_mut(&attempt.request);
        let state = request.and_then(|r| r.attempts.get_mut(attempt.number as usize));
        let Some(state) = state.filter(|a| a.live) else { return };
        state.live = false;
        self.effects.push(Effect::Forget(attempt));
        self.answer_request(now, attempt.request, Answer::Failed("the runner can't use the request"));
        self.queue_attempt_end(attempt.request, attempt.number, sr::Outcome::Moot);
        self.process_events(now);
        self.remove_if_finished(attempt.request);
    }

    /// Starts an attempt at a runner, or reports it to the balancer as never sent if the request is gone or
    /// answered, or has a live attempt at this runner.
    pub(super) fn start_attempt(&mut self, now: sr::Time, request: u32, runner: u32) {
        let Some(entry) = self.requests.get_mut(&request) else {
            self.queue_attempt_end(request, 0, sr::Outcome::Moot);
            return;
        };
        let number = entry.attempts.len() as u32;
        let duplicate = entry.attempts.iter().any(|a| a.live && a.runner == runner);
        let skipped = duplicate || entry.answered;
        entry.attempts.push(Attempt {
            runner,
            live: !skipped,
            sent_at: now,
            may_have_run: !skipped,
            late_report: LateReport::None,
        });
        if skipped {
            self.queue_attempt_end(request, number, sr::Outcome::Moot);
            return;
        }
        self.tally.attempts += 1;
        self.effects.push(Effect::Start {
            attempt: AttemptId { request, number },
            id: entry.id.clone(),
            runner: self.tables.workers.name(runner).to_owned(),
            job: entry.job.clone(),
            deadline: entry.deadline,
        });
    }
}
