//! Requests, from their arrival to their final answer. Each waiting ticket is answered exactly once, by its
//! deadline; a request is dropped once it is answered and has no live attempt.

use super::timers::Timer;
use super::{Answer, Arrival, Core, Effect, PeerConflict, PendingKey, Request, Ticket};
use bytes::Bytes;
use sablerun as sr;
use sablerun_keys as keys;

/// The reason for failing a request whose id another one has.
const ID_IN_USE: &str = "a request with this id is under way";

impl<J: Clone> Core<J> {
    /// Admits a new request. It is refused if too many are open, and fails if its id is in use, unless by an
    /// unanswered request under the same key. If it has a key, the key store decides whether it starts, joins
    /// another request or is answered at once.
    pub(super) fn handle_arrival(&mut self, now: sr::Time, arrival: Arrival<J>) {
        self.tally.taken += 1;
        let Arrival { ticket, id, class, tenant, deadline, slots, memory, estimate, retry, key, job } =
            arrival;
        if self.requests_by_ticket.len() >= self.max_open {
            // Nothing has run, so a refusal is safe for every class.
            return self.answer_ticket(ticket, Answer::Refused(self.hold_off()));
        }
        // Runners identify requests by id, so a second request with the id of a present one can't be sent.
        let duplicate = self.requests_by_id.get(&id).and_then(|number| self.requests.get(number));
        let member = tenant.map_or(keys::Member::NONE, keys::Member);
        // A key identifies a request within its member and class alone.
        let repeats = |other: &Request<J>| match (&other.key, &key) {
            (Some(pending), Some(key)) => {
                let same_owner = pending.member == member && other.class == class;
                same_owner && pending.text == key.text && !other.answered
            }
            _ => false,
        };
        if duplicate.is_some_and(|other| !repeats(other)) {
            return self.answer_ticket(ticket, Answer::Failed(ID_IN_USE));
        }
        // No request outlives the program.
        let deadline = self.stop_at.map_or(deadline, |stop| deadline.min(stop));
        let number = self.next_request;
        let mut prior = None;
        if let (Some(store), Some(key)) = (&mut self.keys, &key) {
            let keyed_request = keys::KeyedRequest {
                member,
                class,
                key: key.text.as_bytes(),
                fingerprint: key.fingerprint,
                retry,
            };
            match store.admit(now, &keyed_request, keys::RunId(number.into())) {
                keys::Admission::New => {}
                keys::Admission::Resend(sent) => {
                    let place = sent.place.unwrap_or(keys::Place { zone: u32::MAX, cell: 0 });
                    prior = Some(sr::PriorAttempt {
                        zone: place.zone(),
                        cell: place.cell,
                        sent_at: sent.first_at,
                    });
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
        let (waiters, attempts) = (vec![(ticket, deadline)], Vec::new());
        let (prior_sent, answered) = (prior.as_ref().map(|prior| prior.sent_at), false);
        let request = Request { waiters, id, class, deadline, job, key, prior_sent, answered, attempts };
        self.requests.insert(number, request);
        self.set_timer(deadline, Timer::Deadline(number));
        let arrival = sr::Arrival {
            request: sr::RequestId(number),
            class: sr::ClassId(class),
            // Without tenants in the settings there are no shares to exceed; the key keeps its member.
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

    /// Answers a request that another process of this dispatcher rules out. Nothing of it has run.
    pub(super) fn handle_peer_conflict(&mut self, ticket: Ticket, conflict: PeerConflict) {
        self.tally.taken += 1;
        let answer = match conflict {
            // A repeat may come again when the first has ended.
            PeerConflict::NoRoom | PeerConflict::IdTakenBySameKey => Answer::Refused(self.hold_off()),
            PeerConflict::IdTaken => Answer::Failed(ID_IN_USE),
        };
        self.answer_ticket(ticket, answer);
    }

    /// The retry delay for requests that are refused before the balancer sees them.
    fn hold_off(&self) -> sr::Span {
        let shortest = self.settings.classes.iter().map(|class| class.objective).min();
        self.settings.max_hold_off.min(shortest.unwrap_or_default())
    }

    /// Emits the final answer to a ticket that is no longer waiting.
    pub(super) fn answer_ticket(&mut self, ticket: Ticket, answer: Answer) {
        match answer {
            Answer::Served(_) => self.tally.served += 1,
            Answer::Refused(_) => self.tally.refused += 1,
            Answer::Failed(_) => self.tally.failed += 1,
            Answer::Unfit(_) => self.tally.unfit += 1,
        }
        self.effects.push(Effect::Answer(ticket, answer));
    }

    /// Adds a repeat's ticket to a request in progress, with the ticket's own deadline.
    pub(super) fn join_request(&mut self, now: sr::Time, request: u32, ticket: Ticket, deadline: sr::Time) {
        let Some(entry) = self.requests.get_mut(&request).filter(|entry| !entry.answered) else {
            // Unreachable: the key store only joins requests that are not answered.
            return self
                .answer_ticket(ticket, Answer::Failed("an earlier try under this key has just ended"));
        };
        entry.waiters.push((ticket, deadline));
        let extended = deadline > entry.deadline;
        entry.deadline = entry.deadline.max(deadline);
        self.requests_by_ticket.insert(ticket, request);
        self.set_timer(deadline, Timer::Deadline(request));
        if extended {
            self.notify(now, sr::Event::DeadlineExtended(sr::RequestId(request), deadline));
        }
    }

    /// Removes a client that disconnected. Its request continues while other tickets wait for it.
    pub(super) fn handle_client_gone(&mut self, now: sr::Time, ticket: Ticket) {
        let Some(request) = self.requests_by_ticket.remove(&ticket) else { return };
        self.tally.left += 1;
        let Some(entry) = self.requests.get_mut(&request) else { return };
        entry.waiters.retain(|(waiting, _)| *waiting != ticket);
        if entry.waiters.is_empty() {
            self.close_request(now, request, None);
            self.notify(now, sr::Event::RequestClosed(sr::RequestId(request)));
            self.remove_if_finished(request);
        }
    }

    /// Gives the final answer to all waiting tickets, unless the request is already answered.
    pub(super) fn answer_request(&mut self, now: sr::Time, request: u32, answer: Answer) {
        let Some(entry) = self.requests.get_mut(&request).filter(|r| !r.answered) else { return };
        let waiters = std::mem::take(&mut entry.waiters);
        for (ticket, _) in waiters {
            self.requests_by_ticket.remove(&ticket);
            self.answer_ticket(ticket, answer.clone());
        }
        let result = if let Answer::Served(result) = answer { Some(result) } else { None };
        self.close_request(now, request, result);
    }

    /// Marks a request as answered and records its outcome under its key.
    pub(super) fn close_request(&mut self, now: sr::Time, request: u32, result: Option<Bytes>) {
        let Some(entry) = self.requests.get_mut(&request) else { return };
        entry.answered = true;
        let Some(key) = entry.key.take() else { return };
        let entry = &self.requests[&request];
        let resolution = match (result, self.sends_that_may_have_run(entry)) {
            (Some(result), _) => keys::Resolution::Served(result),
            (None, Some(sent)) => keys::Resolution::MayHaveRun(sent),
            (None, None) => keys::Resolution::NeverRan,
        };
        if let Some(store) = &mut self.keys {
            store.resolve(now, key.member, entry.class, key.text.as_bytes(), resolution);
        }
    }

    /// Drops a request that is answered and has no live attempt.
    pub(super) fn remove_if_finished(&mut self, request: u32) {
        if self.requests.get(&request).is_some_and(|r| r.answered && r.attempts.iter().all(|a| !a.live)) {
            let entry = self.requests.remove(&request).expect("looked up above");
            self.requests_by_id.remove(&entry.id);
            if self.report_removed {
                self.effects.push(Effect::RequestRemoved(entry.id));
            }
        }
    }

    /// Answers the tickets whose deadline has passed, or all of them at shutdown, whatever the balancer has
    /// decided. If none is left, the live attempts time out. The answer comes first, so that the balancer
    /// does not retry on these time-outs.
    pub(super) fn expire_request(&mut self, now: sr::Time, request: u32, stopped: bool) {
        let hold_off = self.hold_off();
        if let Some(entry) = self.requests.get_mut(&request).filter(|r| !r.answered) {
            // A request that was never sent can be retried in any class.
            let answer = match entry.attempts.is_empty() && entry.prior_sent.is_none() {
                true => Answer::Refused(hold_off),
                false => Answer::Failed("not done by the deadline"),
            };
            let is_due = |(_, deadline): &mut (Ticket, sr::Time)| *deadline <= now || stopped;
            let due: Vec<_> = entry.waiters.extract_if(.., is_due).collect();
            let others_wait = !entry.waiters.is_empty();
            for (ticket, _) in due {
                self.requests_by_ticket.remove(&ticket);
                self.answer_ticket(ticket, answer.clone());
            }
            if others_wait {
                return;
            }
            self.close_request(now, request, None);
            self.notify(now, sr::Event::RequestClosed(sr::RequestId(request)));
        }
        let attempts = self.requests.get(&request).map_or(0, |entry| entry.attempts.len());
        for number in 0..attempts as u32 {
            self.cancel_attempt(request, number, sr::Outcome::Timeout);
        }
        self.process_events(now);
        self.remove_if_finished(request);
    }
}
