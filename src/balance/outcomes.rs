//! Outcomes: what the end of an attempt, or a note before it, changes in ledger and line.

use super::*;

impl Balancer {
    pub(super) fn noted(&mut self, id: RequestId, number: u32, note: AttemptUpdate) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (class, slots, work, hinted) = (request.class, request.slots, request.work, request.hint > 0.0);
        let attempt = request.attempts.get_mut(number as usize).filter(|a| a.ended.is_none());
        let Some(attempt) = attempt else { return };
        attempt.heard = self.now;
        let (i, idle, delay) = (attempt.worker, attempt.idle, (self.now - attempt.sent).secs());
        if note == AttemptUpdate::Started && attempt.started.is_none() {
            attempt.started = Some(self.now);
            self.lasted(idle, true);
            let due = self.start_due(i, idle, class).secs();
            let load = &mut self.workers[i].load;
            (load.waiting, load.running) = (load.waiting - 1, load.running + slots);
            (load.rate, load.rate_start) = (load.rate + 1.0 / work, load.rate_start + self.at / work);
            let way = &mut self.peers[self.workers[i].group].ways[usize::from(idle == 0.0)];
            *way += if delay < *way { 0.3 } else { 0.03 } * (delay.min(*way * 3.0) - *way);
            // Room is what may be believed to be there while starts come at once: slots come free unseen.
            let (room, prompt) = (self.peers(i).slots, delay <= due);
            let objective = self.settings.classes[class].objective.secs();
            self.start_seen(i, delay <= due + objective * PATIENCE);
            let excess = self.queue(i) - room;
            let change = if prompt { (0.5 * excess).clamp(0.0, 0.5) } else { 0.2 * excess.signum().min(0.0) };
            if !prompt {
                self.see_others(i, room - self.workers[i].load.own);
            }
            self.peers[self.workers[i].group].slots = (room + change).max(1.0);
            if hinted && self.settings.progress.0 == 0 {
                let due = self.now + self.overdue(i, work);
                self.out.push(Action::Timer(due, attempt_token(id, number as usize)));
            }
        }
        (self.workers[i].heard, self.workers[i].trial) = (self.at, None);
    }

    pub(super) fn ended(&mut self, event: Event) {
        let Event::Ended { request: id, attempt: number, outcome, closed, report } = event else {
            return;
        };
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (class, work, hint) = (request.class, request.work, request.hint);
        let attempt = request.attempts.get_mut(number as usize).filter(|a| a.ended.is_none());
        let Some(attempt) = attempt else { return };
        attempt.ended = Some(outcome);
        let (i, sent, started, idle) = (attempt.worker, attempt.sent, attempt.started, attempt.idle);
        let due = self.start_due(i, idle, class);
        report.into_iter().for_each(|report| self.reported(i, report));
        self.turned_away += 0.1 * (f64::from(u8::from(outcome == Outcome::Full)) - self.turned_away);
        if started.is_none() && outcome != Outcome::Moot {
            self.start_seen(i, false);
        }
        let doomed = self.again.0 * left(self.at - self.again.1, MISS_HALF_LIFE);
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Full) {
            self.workers[i].idle.push(self.at);
            (self.workers[i].heard, self.workers[i].trial) = (self.at, None);
        }
        // Without this job's own time, by which each long job would be a slow worker's.
        self.unload(id, number as usize);
        let slowness = self.slowness(i);
        let w = &mut self.workers[i];
        match outcome {
            Outcome::Ok => {
                self.losing -= 0.02 * self.losing;
                let total = (self.now - sent).secs();
                let ran = started.map_or(w.report.latency.map_or(total, Span::secs).min(total), |at| {
                    (self.now - at).secs()
                });
                w.transfer += 0.1 * (total - ran - w.transfer);
                self.miss(i, &[0, class + 1], 0.0);
                learn(&mut self.classes[class].mean, ran / slowness, 1e-4);
                if hint > 0.0 {
                    learn(&mut self.scale, ran / slowness / hint, 0.01);
                }
                self.show_pace(i, ran / work);
            }
            Outcome::Error => self.miss(i, &[0, class + 1], 1.0),
            Outcome::Full => self.see_others(i, self.peers(i).slots * 1.5),
            // A connection that breaks at once after a rest tells of the rest, not of the worker.
            Outcome::Reset if idle > 0.0 && started.is_none() && self.now < sent + due => {
                self.lasted(idle, false)
            }
            Outcome::ConnectFailed | Outcome::Reset => w.trial = w.trial.or(Some(self.at + TRIAL)),
            Outcome::Timeout | Outcome::Cancelled if started.is_none() => self.miss(i, &[class + 1], 1.0),
            Outcome::Timeout | Outcome::Cancelled | Outcome::Moot => {}
        }
        let request = &self.requests[&id];
        let erred = |a: &Attempt| a.ended == Some(Outcome::Error) && a.worker != i;
        let met = f64::from(u8::from(outcome == Outcome::Error));
        if matches!(outcome, Outcome::Ok | Outcome::Error) && request.attempts.iter().any(erred) {
            self.again = (doomed + 0.3 * (met - doomed), self.at);
        }
        // An error likely met again elsewhere is the request's own, and so is a break at its very start.
        let downed = outcome == Outcome::Reset && started.is_some_and(|start| self.now < start + due);
        let own = downed || outcome == Outcome::Error && doomed > MISS_LIMIT;
        if closed || request.settled || outcome == Outcome::Ok {
            self.close(id);
        } else if !request.outstanding() {
            if own { self.settle(id) } else { self.again(id) }
        }
    }
}
