//! Read access to the core's tables, keys and counters, the log lines on inputs, and the runner metrics.
//! Changes nothing but metrics.

use super::Runtime;
use crate::core::{Arrival, AttemptId, Core, IdempotencyKey, Input, Tally};
use crate::metrics::Metrics;
use crate::runtime::Job;
use sablerun as sr;
use sablerun_keys as keys;
use sha2::{Digest, Sha256};
use std::rc::Rc;
use std::time::Instant;

/// Logs an input that is about to be passed to the core.
pub(super) fn log_input(input: &Input<Rc<Job>>) {
    match input {
        Input::Arrived(arrival) => {
            let Arrival { id, job, ticket, .. } = arrival;
            log::debug!("request {id} of class {}, ticket {}", job.class, ticket.0);
        }
        Input::AttemptEnded(AttemptId { request, number }, end) => {
            log::debug!("attempt {request}.{number} ended: {:?}", end.outcome);
        }
        Input::Finished { id, from, end } => {
            let report = end.report.unwrap_or_default();
            let (errors, inflight) = (report.errors_per_s, report.inflight);
            log::debug!(errors:?, inflight:?; "runner {from} ended {id}: {:?}", end.outcome);
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

    /// Reads the number and the settings of a class that clients may name now.
    pub fn with_class<T>(&self, name: &str, read: impl FnOnce(u32, &sr::Class) -> T) -> Option<T> {
        let core = self.core.borrow();
        core.class(self.clock.now(), name).map(|(number, class)| read(number, class))
    }

    /// Returns the number of the tenant that a client names, if it is a known one.
    ///
    /// # Errors
    ///
    /// A tenant is required, and the client names none or an unknown one.
    pub fn tenant(&self, name: Option<&str>) -> Result<Option<u32>, ()> {
        let core = self.core.borrow();
        let tenant = name.and_then(|name| core.tables().tenants.get(name));
        if core.requires_tenant() && tenant.is_none() { Err(()) } else { Ok(tenant) }
    }

    /// Whether clients should be sent to this dispatcher. False while there is no runner list, since every
    /// request would be refused; but only for a limited time, since other dispatchers may have none either.
    pub fn accepts_clients(&self) -> bool {
        let has_list = self.list_source.borrow().as_ref().is_some_and(|source| source.has_list());
        has_list || self.clock.age() >= self.limits.admit_without_list_after
    }

    /// Whether an attempt may begin now.
    pub fn may_begin(&self, attempt: AttemptId) -> bool {
        self.core.borrow().may_begin(self.clock.now(), attempt)
    }

    /// Whether a request with this id is present.
    pub fn has_request(&self, id: &str) -> bool {
        self.core.borrow().has_request(id)
    }

    /// Reads from the key store, if keys are enabled.
    pub fn with_keys<T>(&self, read: impl FnOnce(&Core<Rc<Job>>, &keys::Store) -> T) -> Option<T> {
        let core = self.core.borrow();
        core.keys().map(|store| read(&core, store))
    }

    /// Returns a job's idempotency key, with a fingerprint of the job's path, query and body, if keys are
    /// used for its class. Computes nothing otherwise.
    pub fn idempotency_key(&self, class: u32, job: &Job) -> Option<IdempotencyKey> {
        let text = job.key.as_deref().filter(|_| self.core.borrow().wants_key(class))?;
        let digest = Sha256::new().chain_update(&job.target).chain_update([0]).chain_update(&job.body);
        let digest: [u8; 32] = digest.finalize().into();
        let fingerprint = keys::Fingerprint(std::array::from_fn(|n| digest[n]));
        Some(IdempotencyKey { text: text.into(), fingerprint })
    }

    /// Updates the runner metrics. The set of avoided runners can also change without an input, over time.
    pub fn update_runner_metrics(&self) {
        let (listed, avoided) = self.core.borrow().runner_counts();
        Metrics::set(&self.metrics.cluster_size, listed);
        Metrics::set(&self.metrics.cluster_unhealthy, avoided);
        self.runners_counted_at.set(Instant::now());
    }

    /// The names of the disabled runners.
    pub fn disabled_runners(&self) -> std::collections::BTreeSet<String> {
        self.core.borrow().disabled_runners().map(str::to_owned).collect()
    }

    /// The counters since the start.
    pub fn tally(&self) -> Tally {
        self.core.borrow().tally()
    }

    /// The summary line for the log.
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
