//! Requests from their arrival to their one final answer. It owns who waits for an answer and for how
//! long, and drops a request once it is answered and nothing of it is out. It must never answer a ticket
//! twice or late, nor choose a runner.

use super::timers::Timer;
use super::{Answer, Arrival, Core, Effect, PendingKey, Request, Ticket};
use bytes::Bytes;
use sablerun as sr;
use sablerun_keys as keys;

impl<J: Clone> Core<J> {
    pub(super) fn handle_arrival(&mut self, now: sr::Time, arrival: Arrival<J>) {
        self.tally.taken += 1;
        let Arrival { ticket, id, class, tenant, deadline, slots, memory, estimate, retry, key, job } =
            arrival;
        if self.requests_by_ticket.len() >= self.max_open {
            // Nothing of it has run: a refusal is safe for every class.
            return self.answer_ticket(ticket, Answer::Refused(self.hold_off()));
        }
        // Runners tell requests apart by their ids: a second one under a live id can't be sent.
        let twin = self.requests_by_id.get(&id).and_then(|twin| self.requests.get(twin));
        let same_key = |twin: &Request<J>| match (&twin.key, &key) {
            (Some(held), Some(key)) => held.text == key.text && !twin.answered,
            _ => false,
        };
        if twin.is_some_and(|twin| !same_key(twin)) {
            return self.answer_ticket(ticket, Answer::Failed("a request with this id is under way"));
        }
        // Nobody answers after the end.
        let deadline = self.stop_at.map_or(deadline, |stop| deadline.min(stop));
        let number = self.next_request;
        let member = tenant.map_or(keys::Member::NONE, keys::Member);
        let mut prior = None;
        if let (Some(store), Some(key)) = (&mut self.keys, &key) {
            let asked = keys::KeyedRequest {
                member,
                class,
                key: key.text.as_bytes(),
                fingerprint: key.fingerprint,
                retry,
            };
            match store.admit(now, &asked, keys::RunId(number.into())) {
                keys::Admission::New => {}
                keys::Admission::Resend(sent) => {
                    let place = sent.place.unwrap_or(keys::Place { zone: u32::MAX, cell: 0 });
                    prior = Some(sr::Prior { zone: place.zone(), cell: place.cell, sent: sent.first_at });
                }
                keys::Admission::Join(run) => return self.join_request(now, run.0 as u32, ticket, deadline),
                other => {
                    let answer = self.key_rejection(other);
                    return self.answer_ticket(ticket, answer);
                }
            }
        }
        self.next_request = self.next_request.wrapping_add(1);
        self.requests_by_id.insert(id.clone(), number);
        self.requests_by_ticket.insert(ticket, number);
        let key = key.filter(|_| self.keys.is_some()).map(|key| PendingKey { member, text: key.text });
        let (waiting, attempts) = (vec![(ticket, deadline)], Vec::new());
        let (sent, answered) = (prior.as_ref().map(|prior| prior.sent), false);
        let request =
            Request { waiters: waiting, id, class, deadline, job, key, prior_sent: sent, answered, attempts };
        self.requests.insert(number, request);
        self.set_timer(deadline, Timer::Deadline(number));
        let arrival = sr::Arrival {
            request: sr::RequestId(number),
            class: sr::ClassId(class),
            // Its key's member stays; but where no tenant has a share, nobody is beyond one.
            tenant: tenant.filter(|_| self.requires_tenant).map(sr::TenantId),
            deadline,
            slots,
            memory,
            estimate,
            retry,
            prior,
        };
        self.notify(now, sr::Event::Arrival(arrival));
    }

    /// How long whoever is refused unseen is to stay away.
    fn hold_off(&self) -> sr::Span {
        let shortest = self.settings.classes.iter().map(|class| class.objective).min();
        self.settings.max_hold_off.min(shortest.unwrap_or_default())
    }

    /// Answers a ticket, which waits no more.
    pub(super) fn answer_ticket(&mut self, ticket: Ticket, answer: Answer) {
        match answer {
            Answer::Served(_) => self.tally.served += 1,
            Answer::Refused(_) => self.tally.refused += 1,
            Answer::Failed(_) => self.tally.failed += 1,
            Answer::Unfit(_) => self.tally.unfit += 1,
        }
        self.effects.push(Effect::Answer(ticket, answer));
    }

    /// A repeat waits for the answer of the request under way, each client by its own deadline.
    pub(super) fn join_request(&mut self, now: sr::Time, request: u32, ticket: Ticket, deadline: sr::Time) {
        let Some(held) = self.requests.get_mut(&request).filter(|held| !held.answered) else {
            // A key is under way only with a request that is not answered: this is for nobody to meet.
            return self
                .answer_ticket(ticket, Answer::Failed("an earlier try under this key has just ended"));
        };
        held.waiters.push((ticket, deadline));
        let later = deadline > held.deadline;
        held.deadline = held.deadline.max(deadline);
        self.requests_by_ticket.insert(ticket, request);
        self.set_timer(deadline, Timer::Deadline(request));
        if later {
            self.notify(now, sr::Event::Extended(sr::RequestId(request), deadline));
        }
    }

    /// A client has left: its request goes on while others wait for it.
    pub(super) fn handle_client_gone(&mut self, now: sr::Time, ticket: Ticket) {
        let Some(request) = self.requests_by_ticket.remove(&ticket) else { return };
        self.tally.left += 1;
        let Some(held) = self.requests.get_mut(&request) else { return };
        held.waiters.retain(|(waiting, _)| *waiting != ticket);
        if held.waiters.is_empty() {
            self.close_request(now, request, None);
            self.notify(now, sr::Event::Closed(sr::RequestId(request)));
            self.remove_if_finished(request);
        }
    }

    /// Gives the final answer to all who wait, unless there has been one.
    pub(super) fn answer_request(&mut self, now: sr::Time, request: u32, answer: Answer) {
        let Some(held) = self.requests.get_mut(&request).filter(|r| !r.answered) else { return };
        let waiting = std::mem::take(&mut held.waiters);
        for (ticket, _) in waiting {
            self.requests_by_ticket.remove(&ticket);
            self.answer_ticket(ticket, answer.clone());
        }
        let result = if let Answer::Served(result) = answer { Some(result) } else { None };
        self.close_request(now, request, result);
    }

    /// Nobody waits any more; what is known of the key is kept.
    pub(super) fn close_request(&mut self, now: sr::Time, request: u32, result: Option<Bytes>) {
        let Some(held) = self.requests.get_mut(&request) else { return };
        held.answered = true;
        let Some(key) = held.key.take() else { return };
        let held = &self.requests[&request];
        let fate = match (result, self.sends_that_may_have_run(held)) {
            (Some(result), _) => keys::Resolution::Served(result),
            (None, Some(sent)) => keys::Resolution::MayHaveRun(sent),
            (None, None) => keys::Resolution::NeverRan,
        };
        if let Some(store) = &mut self.keys {
            store.resolve(now, key.member, held.class, key.text.as_bytes(), fate);
        }
    }

    /// Drops a request that is answered and has no attempt out.
    pub(super) fn remove_if_finished(&mut self, request: u32) {
        if self.requests.get(&request).is_some_and(|r| r.answered && r.attempts.iter().all(|a| !a.live)) {
            let held = self.requests.remove(&request).expect("looked up above");
            self.requests_by_id.remove(&held.id);
        }
    }

    /// The client's deadline, or the program's end: whatever the module says, the client hears now, and
    /// what is still out has timed out. The answer comes first: the module must not try again on a
    /// time-out that it hears of here.
    pub(super) fn expire_request(&mut self, now: sr::Time, request: u32, stopped: bool) {
        let hold_off = self.hold_off();
        if let Some(held) = self.requests.get_mut(&request).filter(|r| !r.answered) {
            // What was never sent can be tried again by any class.
            let answer = match held.attempts.is_empty() && held.prior_sent.is_none() {
                true => Answer::Refused(hold_off),
                false => Answer::Failed("not done by the deadline"),
            };
            let ends = |(_, deadline): &mut (Ticket, sr::Time)| *deadline <= now || stopped;
            let due: Vec<_> = held.waiters.extract_if(.., ends).collect();
            let others = !held.waiters.is_empty();
            for (ticket, _) in due {
                self.requests_by_ticket.remove(&ticket);
                self.answer_ticket(ticket, answer.clone());
            }
            if others {
                return;
            }
            self.close_request(now, request, None);
            self.notify(now, sr::Event::Closed(sr::RequestId(request)));
        }
        let attempts = self.requests.get(&request).map_or(0, |held| held.attempts.len());
        for number in 0..attempts as u32 {
            self.cancel_attempt(request, number, sr::Outcome::Timeout);
        }
        self.process_events(now);
        self.remove_if_finished(request);
    }
}
