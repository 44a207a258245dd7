//! What the runtime tells of itself: names, keys, figures, the log's lines on inputs and its summary. It must never change
//! anything but figures.

use super::Runtime;
use crate::core::{Arrival, AttemptId, Core, IdempotencyKey, Input, Tally};
use crate::metrics::Metrics;
use crate::runtime::Job;
use sablerun as sr;
use sablerun_keys as keys;
use sha2::{Digest, Sha256};
use std::rc::Rc;
use std::time::Instant;

/// A line for the log on what is about to be handed to the core.
pub(super) fn tell_of(input: &Input<Rc<Job>>) {
    match input {
        Input::Arrived(arrival) => {
            let Arrival { id, job, ticket, .. } = arrival;
            log::debug!("request {id} of class {}, ticket {}", job.class, ticket.0);
        }
        Input::AttemptEnded(AttemptId { request, number }, ending) => {
            log::debug!("attempt {request}.{number} ended: {:?}", ending.outcome);
        }
        Input::Finished { id, from, end: ending } => {
            let said = ending.report.unwrap_or_default();
            let (errors, inflight) = (said.errors_per_s, said.inflight);
            log::debug!(errors:?, inflight:?; "runner {from} ended {id}: {:?}", ending.outcome);
        }
        Input::Started { id, from } => log::debug!("runner {from} started {id}"),
        _ => {}
    }
}

impl Runtime {
    /// Reads from the core's name tables.
    pub fn with_tables<T>(&self, read: impl FnOnce(&sablerun_settings::Tables) -> T) -> T {
        read(self.core.borrow().tables())
    }

    /// Reads the number and the terms of a class that clients may name now.
    pub fn with_class<T>(&self, name: &str, read: impl FnOnce(u32, &sr::Class) -> T) -> Option<T> {
        let core = self.core.borrow();
        core.class(self.clock.now(), name).map(|(number, class)| read(number, class))
    }

    /// The tenant that a client names, if it names a known one.
    ///
    /// # Errors
    ///
    /// It must name one and does not.
    pub fn tenant(&self, name: Option<&str>) -> Result<Option<u32>, ()> {
        let core = self.core.borrow();
        let tenant = name.and_then(|name| core.tables().tenants.get(name));
        if core.requires_tenant() && tenant.is_none() { Err(()) } else { Ok(tenant) }
    }

    /// Whether clients are asked to come here: not while there is no list yet, since all would be refused, but
    /// for no longer than a while, since others may have none either.
    pub fn accepts_clients(&self) -> bool {
        let told = self.roster.borrow().as_ref().is_some_and(|roster| roster.has_list());
        told || self.clock.age() >= self.limits.admit_without_list_after
    }

    /// Whether an attempt may go out now.
    pub fn may_begin(&self, attempt: AttemptId) -> bool {
        self.core.borrow().may_begin(self.clock.now(), attempt)
    }

    /// Whether a request of this id is here.
    pub fn has_request(&self, id: &str) -> bool {
        self.core.borrow().has_request(id)
    }

    /// Reads from the keys that the core keeps, if it keeps any.
    pub fn with_keys<T>(&self, read: impl FnOnce(&Core<Rc<Job>>, &keys::Store) -> T) -> Option<T> {
        let core = self.core.borrow();
        core.keys().map(|store| read(&core, store))
    }

    /// A job's key, where keys are kept for its class: what it stands for is the job's path, query and
    /// body. Costs nothing where none are kept.
    pub fn idempotency_key(&self, class: u32, job: &Job) -> Option<IdempotencyKey> {
        let text = job.key.as_deref().filter(|_| self.core.borrow().wants_key(class))?;
        let digest = Sha256::new().chain_update(&job.target).chain_update([0]).chain_update(&job.body);
        let digest: [u8; 32] = digest.finalize().into();
        let print = keys::Fingerprint(std::array::from_fn(|n| digest[n]));
        Some(IdempotencyKey { text: text.into(), fingerprint: print })
    }

    /// Brings the figures on runners up to date: what the module avoids changes with time alone too.
    pub fn update_runner_metrics(&self) {
        let (listed, avoided) = self.core.borrow().runner_counts();
        Metrics::set(&self.metrics.cluster_size, listed);
        Metrics::set(&self.metrics.cluster_unhealthy, avoided);
        self.counted.set(Instant::now());
    }

    /// The runners taken out by hand, by name.
    pub fn disabled_runners(&self) -> std::collections::BTreeSet<String> {
        self.core.borrow().disabled_runners().map(str::to_owned).collect()
    }

    /// What has been counted so far.
    pub fn tally(&self) -> Tally {
        self.core.borrow().tally()
    }

    /// A line for the log on what has been done so far.
    pub fn summary(&self) -> String {
        let core = self.core.borrow();
        let t = core.tally();
        let keys = core.keys().map_or(String::new(), |store| {
            let c = store.counts();
            format!(
                " unfit {} keys {} joined {} handed_back {} again {} spent {} unknown {} keys_full {}",
                t.unfit,
                store.len(),
                c.joined,
                c.replayed,
                c.resent,
                c.not_repeatable + c.result_not_stored,
                c.unknown_retries,
                c.full + c.member_full
            )
        });
        format!(
            "taken {} served {} refused {} failed {} left {} attempts {} open {}{keys}",
            t.taken,
            t.served,
            t.refused,
            t.failed,
            t.left,
            t.attempts,
            core.open()
        )
    }
}
