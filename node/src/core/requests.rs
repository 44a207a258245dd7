//! Requests from their arrival to their one final answer. It owns who waits for an answer and for how
//! long, and drops a request once it is answered and nothing of it is out. It must never answer a ticket
//! twice or late, nor choose a runner.

use super::timers::Timer;
use super::{Answer, Arrival, Core, Effect, Held, Request, Ticket};
use bytes::Bytes;
use sablerun as sr;
use sablerun_keys as keys;

impl<J: Clone> Core<J> {
    pub(super) fn arrived(&mut self, now: sr::Time, arrival: Arrival<J>) {
        self.tally.taken += 1;
        let Arrival { ticket, id, class, tenant, deadline, slots, memory, estimate, retry, key, job } =
            arrival;
        if self.tickets.len() >= self.most {
            // Nothing of it has run: a refusal is safe for every class.
            return self.at_once(ticket, Answer::Refused(self.hold_off()));
        }
        // Runners tell requests apart by their ids: a second one under a live id can't be sent.
        let twin = self.ids.get(&id).and_then(|twin| self.requests.get(twin));
        let same_key = |twin: &Request<J>| match (&twin.key, &key) {
            (Some(held), Some(key)) => held.text == key.text && !twin.answered,
            _ => false,
        };
        if twin.is_some_and(|twin| !same_key(twin)) {
            return self.at_once(ticket, Answer::Failed("a request with this id is under way"));
        }
        // Nobody answers after the end.
        let deadline = self.stop.map_or(deadline, |stop| deadline.min(stop));
        let number = self.next;
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
                    prior = Some(sr::PriorAttempt {
                        zone: place.zone(),
                        cell: place.cell,
                        sent_at: sent.first_at,
                    });
                }
                keys::Admission::Join(run) => return self.join(now, run.0 as u32, ticket, deadline),
                other => {
                    let answer = self.turned(other);
                    return self.at_once(ticket, answer);
                }
            }
        }
        self.next = self.next.wrapping_add(1);
        self.ids.insert(id.clone(), number);
        self.tickets.insert(ticket, number);
        let key = key.filter(|_| self.keys.is_some()).map(|key| Held { member, text: key.text });
        let (waiting, attempts) = (vec![(ticket, deadline)], Vec::new());
        let (sent, answered) = (prior.as_ref().map(|prior| prior.sent_at), false);
        let request = Request { waiting, id, class, deadline, job, key, prior: sent, answered, attempts };
        self.requests.insert(number, request);
        self.set_timer(deadline, Timer::Deadline(number));
        let arrival = sr::Arrival {
            request: sr::RequestId(number),
            class: sr::ClassId(class),
            // Its key's member stays; but where no tenant has a share, nobody is beyond one.
            tenant: tenant.filter(|_| self.with_tenants).map(sr::TenantId),
            deadline,
            slots,
            memory,
            estimate,
            retry,
            prior,
        };
        self.tell(now, sr::Event::Arrival(arrival));
    }

    /// How long whoever is refused unseen is to stay away.
    fn hold_off(&self) -> sr::Span {
        let shortest = self.settings.classes.iter().map(|class| class.objective).min();
        self.settings.max_hold_off.min(shortest.unwrap_or_default())
    }

    /// Answers a ticket, which waits no more.
    pub(super) fn at_once(&mut self, ticket: Ticket, answer: Answer) {
        match answer {
            Answer::Served(_) => self.tally.served += 1,
            Answer::Refused(_) => self.tally.refused += 1,
            Answer::Failed(_) => self.tally.failed += 1,
            Answer::Unfit(_) => self.tally.unfit += 1,
        }
        self.effects.push(Effect::Answer(ticket, answer));
    }

    /// A repeat waits for the answer of the request under way, each client by its own deadline.
    pub(super) fn join(&mut self, now: sr::Time, request: u32, ticket: Ticket, deadline: sr::Time) {
        let Some(held) = self.requests.get_mut(&request).filter(|held| !held.answered) else {
            // A key is under way only with a request that is not answered: this is for nobody to meet.
            return self.at_once(ticket, Answer::Failed("an earlier try under this key has just ended"));
        };
        held.waiting.push((ticket, deadline));
        let later = deadline > held.deadline;
        held.deadline = held.deadline.max(deadline);
        self.tickets.insert(ticket, request);
        self.set_timer(deadline, Timer::Deadline(request));
        if later {
            self.tell(now, sr::Event::DeadlineExtended(sr::RequestId(request), deadline));
        }
    }

    /// A client has left: its request goes on while others wait for it.
    pub(super) fn client_gone(&mut self, now: sr::Time, ticket: Ticket) {
        let Some(request) = self.tickets.remove(&ticket) else { return };
        self.tally.left += 1;
        let Some(held) = self.requests.get_mut(&request) else { return };
        held.waiting.retain(|(waiting, _)| *waiting != ticket);
        if held.waiting.is_empty() {
            self.answered(now, request, None);
            self.tell(now, sr::Event::RequestClosed(sr::RequestId(request)));
            self.forget(request);
        }
    }

    /// Gives the final answer to all who wait, unless there has been one.
    pub(super) fn answer(&mut self, now: sr::Time, request: u32, answer: Answer) {
        let Some(held) = self.requests.get_mut(&request).filter(|r| !r.answered) else { return };
        let waiting = std::mem::take(&mut held.waiting);
        for (ticket, _) in waiting {
            self.tickets.remove(&ticket);
            self.at_once(ticket, answer.clone());
        }
        let result = if let Answer::Served(result) = answer { Some(result) } else { None };
        self.answered(now, request, result);
    }

    /// Nobody waits any more; what is known of the key is kept.
    pub(super) fn answered(&mut self, now: sr::Time, request: u32, result: Option<Bytes>) {
        let Some(held) = self.requests.get_mut(&request) else { return };
        held.answered = true;
        let Some(key) = held.key.take() else { return };
        let held = &self.requests[&request];
        let fate = match (result, self.sent_of(held)) {
            (Some(result), _) => keys::Resolution::Served(result),
            (None, Some(sent)) => keys::Resolution::MayHaveRun(sent),
            (None, None) => keys::Resolution::NeverRan,
        };
        if let Some(store) = &mut self.keys {
            store.resolve(now, key.member, held.class, key.text.as_bytes(), fate);
        }
    }

    /// Drops a request that is answered and has no attempt out.
    pub(super) fn forget(&mut self, request: u32) {
        if self.requests.get(&request).is_some_and(|r| r.answered && r.attempts.iter().all(|a| !a.live)) {
            let held = self.requests.remove(&request).expect("looked up above");
            self.ids.remove(&held.id);
        }
    }

    /// The client's deadline, or the program's end: whatever the module says, the client hears now, and
    /// what is still out has timed out. The answer comes first: the module must not try again on a
    /// time-out that it hears of here.
    pub(super) fn overdue(&mut self, now: sr::Time, request: u32, stopped: bool) {
        let hold_off = self.hold_off();
        if let Some(held) = self.requests.get_mut(&request).filter(|r| !r.answered) {
            // What was never sent can be tried again by any class.
            let answer = match held.attempts.is_empty() && held.prior.is_none() {
                true => Answer::Refused(hold_off),
                false => Answer::Failed("not done by the deadline"),
            };
            let ends = |(_, deadline): &mut (Ticket, sr::Time)| *deadline <= now || stopped;
            let due: Vec<_> = held.waiting.extract_if(.., ends).collect();
            let others = !held.waiting.is_empty();
            for (ticket, _) in due {
                self.tickets.remove(&ticket);
                self.at_once(ticket, answer.clone());
            }
            if others {
                return;
            }
            self.answered(now, request, None);
            self.tell(now, sr::Event::RequestClosed(sr::RequestId(request)));
        }
        let attempts = self.requests.get(&request).map_or(0, |held| held.attempts.len());
        for number in 0..attempts as u32 {
            self.give_up(request, number, sr::Outcome::Timeout);
        }
        self.tell_events(now);
        self.forget(request);
    }
}
