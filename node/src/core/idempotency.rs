//! Clients' keys as the reducer meets them: for which requests they count, what a key that is known means
//! for its request, and where a request under one may have run. The store owns the keys themselves; this
//! must never let a request run that its key forbids.

use super::{Answer, Core, Request};
use sablerun as sr;
use sablerun_keys as keys;

impl<J: Clone> Core<J> {
    /// Keeps clients' keys from now on.
    pub fn set_key_store(&mut self, store: keys::Store) {
        self.keys = Some(store);
    }

    /// Whether a client's key counts for this class: where a repeat may do harm.
    pub fn wants_key(&self, class: u32) -> bool {
        let class = self.settings.classes.get(class as usize);
        self.keys.is_some() && class.is_some_and(|class| class.idempotency != sr::Idempotency::Safe)
    }

    /// The keys, where they are kept.
    pub fn keys(&self) -> Option<&keys::Store> {
        self.keys.as_ref()
    }

    /// Where a request under way may have run so far; for a snapshot of the keys.
    pub fn sent(&self, run: keys::RunId) -> Option<keys::SentAttempts> {
        self.requests.get(&(run.0 as u32)).and_then(|request| self.sent_of(request))
    }

    /// The answer to a request whose key lets it neither begin nor join.
    pub(super) fn turned(&self, admission: keys::Admission) -> Answer {
        use keys::Admission::*;
        match admission {
            Replay(result) => Answer::Served(result),
            Full(wait) => Answer::Refused(wait.min(self.settings.max_hold_off)),
            NotRepeatable => {
                Answer::Failed("an earlier try under this key may have run, and a repeat could run again")
            }
            ResultNotStored => {
                Answer::Failed("an earlier try under this key was served, but its result was not kept")
            }
            Conflict => {
                Answer::Unfit("the idempotency key stands for another request: its path or body differs")
            }
            InvalidKey => Answer::Unfit("the idempotency key is empty or too long"),
            UnknownRetry => Answer::Failed("an earlier try may have run before this dispatcher started"),
            // Those begin or join: nobody is turned away by them.
            New | Resend(_) | Join(_) => Answer::Failed("an earlier try under this key has just ended"),
        }
    }

    /// The sendings of a request that may have run.
    pub(super) fn sent_of(&self, request: &Request<J>) -> Option<keys::SentAttempts> {
        let ran = request.attempts.iter().filter(|attempt| attempt.may_have_run);
        let sent = ran.map(|attempt| {
            let place = self.places.get(&attempt.runner).copied().map(|place| {
                // Only as much of it as tells halls apart that drop a repeat for each other.
                match self.settings.classes[request.class as usize].idempotency {
                    sr::Idempotency::Keyed(sr::DedupScope::All) => keys::Place { zone: 0, cell: 0 },
                    sr::Idempotency::Keyed(sr::DedupScope::Zone) => keys::Place { cell: 0, ..place },
                    sr::Idempotency::Keyed(sr::DedupScope::Cell)
                    | sr::Idempotency::Safe
                    | sr::Idempotency::Unsafe => place,
                }
            });
            keys::SentAttempts::single(place, attempt.sent)
        });
        sent.reduce(keys::SentAttempts::merge)
    }
}
