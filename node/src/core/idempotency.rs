//! Idempotency keys in the core: which classes use them, how a known key decides the answer to its request,
//! and where a request under a key may have run. A request that its key rejects is never sent. The key store
//! holds the keys themselves.

use super::{Answer, Core, Request};
use sablerun as sr;
use sablerun_keys as keys;

impl<J: Clone> Core<J> {
    /// Enables idempotency keys with this store.
    pub fn set_key_store(&mut self, store: keys::Store) {
        self.keys = Some(store);
    }

    /// Whether keys are used for this class: only where a repeat could do harm.
    pub fn wants_key(&self, class: u32) -> bool {
        let class = self.settings.classes.get(class as usize);
        self.keys.is_some() && class.is_some_and(|class| class.idempotency != sr::Idempotency::Safe)
    }

    /// The key store, if keys are enabled.
    pub fn keys(&self) -> Option<&keys::Store> {
        self.keys.as_ref()
    }

    /// Where an unfinished request may have run so far, for a snapshot of the keys.
    pub fn sent(&self, run: keys::RunId) -> Option<keys::SentAttempts> {
        self.requests.get(&(run.0 as u32)).and_then(|request| self.sends_that_may_have_run(request))
    }

    /// The answer to a request that its key allows neither to start nor to join another.
    pub(super) fn key_rejection(&self, admission: keys::Admission) -> Answer {
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
            // Unreachable: these start or join a request.
            New | Resend(_) | Join(_) => Answer::Failed("an earlier try under this key has just ended"),
        }
    }

    /// The attempts of a request that may have run, merged into one record.
    pub(super) fn sends_that_may_have_run(&self, request: &Request<J>) -> Option<keys::SentAttempts> {
        let ran = request.attempts.iter().filter(|attempt| attempt.may_have_run);
        let sent = ran.map(|attempt| {
            let place = self.locations.get(&attempt.runner).copied().map(|place| {
                // Keeps only the part of the location that separates groups of runners that deduplicate
                // for each other.
                match self.settings.classes[request.class as usize].idempotency {
                    sr::Idempotency::Keyed(sr::DedupScope::All) => keys::Place { zone: 0, cell: 0 },
                    sr::Idempotency::Keyed(sr::DedupScope::Zone) => keys::Place { cell: 0, ..place },
                    sr::Idempotency::Keyed(sr::DedupScope::Cell)
                    | sr::Idempotency::Safe
                    | sr::Idempotency::Unsafe => place,
                }
            });
            keys::SentAttempts::single(place, attempt.sent_at)
        });
        sent.reduce(keys::SentAttempts::merge)
    }
}
