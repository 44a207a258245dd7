//! The state machine of durable jobs: acceptance, leases, retries, cancellation and retention, with limits
//! per member. Contains no clock and no I/O: the caller passes in the time and the inputs, writes the
//! returned changes, and applies the returned effects once the changes are durable. Choosing a worker, and
//! deciding whether a class may be repeated, is up to the dispatcher.
//!
//! ## Guarantees
//!
//! - A client is told that its job is accepted only after the acceptance is durable.
//! - A job is run only after its lease is durable. Each lease has an epoch that is larger than all earlier
//!   epochs of the job and is written with the lease, so two leases of a job never share an epoch, even
//!   across crashes.
//! - A message about a lease (heartbeat, completion, failure) counts only if its epoch is that of the current
//!   lease. A late message is reported as stale and changes nothing.
//! - A completed, dead or cancelled job is never run again, except that an operator may retry a dead one.

mod job;
mod ledger;

pub use job::{Change, Epoch, FORMAT, Job, JobId, RecordError, State};
pub use ledger::{Ledger, LoadError, Step};

use bytes::Bytes;
use sablerun::{Span, Time};

/// The client that waits for the answer to a submission; a number chosen by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket(pub u64);

/// Limits and timing of the ledger.
#[derive(Clone, Debug, PartialEq)]
pub struct LedgerConfig {
    /// Maximum number of unfinished jobs.
    pub max_jobs: usize,
    /// Maximum number of unfinished jobs of one member.
    pub max_jobs_per_member: usize,
    /// Maximum size of a body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum number of jobs leased at the same time.
    pub max_leases: usize,
    /// Upper bound of the random delay before the first retry; it doubles with each attempt.
    pub initial_backoff: Span,
    /// Limit of that upper bound.
    pub max_backoff: Span,
    /// Shortest and longest lease that a submission may request.
    pub lease_range: [Span; 2],
    /// Leases per second for jobs that were leased when the previous process ended. The limit keeps their
    /// simultaneous return from overloading workers that have just started.
    pub recoveries_per_s: f64,
    /// How long a finished job is kept. A repeated submission within that time refers to the same job.
    pub retention: Span,
    /// Delay that a refused client is asked to wait before it submits again.
    pub hold_off: Span,
}

impl Default for LedgerConfig {
    fn default() -> LedgerConfig {
        LedgerConfig {
            max_jobs: 1_000_000,
            max_jobs_per_member: 500_000,
            max_body_bytes: 64 * 1024,
            max_leases: 256,
            initial_backoff: Span::from_secs(0.5),
            max_backoff: Span::from_secs(300.0),
            lease_range: [Span::from_secs(1.0), Span::from_secs(86_400.0)],
            recoveries_per_s: 50.0,
            retention: Span::from_secs(3600.0),
            hold_off: Span::from_secs(1.0),
        }
    }
}

/// A request to accept a job.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// The client that waits for the answer.
    pub ticket: Ticket,
    /// The member that owns the job.
    pub member: u32,
    /// The class of the job.
    pub class: u32,
    /// The client's idempotency key. A repeated submission with the same key refers to the same job.
    pub key: Option<Bytes>,
    /// The payload for the worker.
    pub body: Bytes,
    /// Earliest start of the job, if it is scheduled.
    pub not_before: Option<Time>,
    /// How long the worker may go without a heartbeat.
    pub lease: Span,
    /// Maximum number of attempts, including the first.
    pub max_attempts: u32,
}

/// An event that the ledger processes.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A client submits a job.
    Submit(Submission),
    /// A heartbeat from the worker that holds the lease.
    Beat(JobId, Epoch),
    /// The worker completed the job, with this result.
    Completed(JobId, Epoch, Bytes),
    /// The attempt failed, with this error.
    Failed(JobId, Epoch, String),
    /// No worker took the job, or it provably never ran. Not counted as an attempt; the next lease is granted
    /// no earlier than after this delay.
    Returned(JobId, Epoch, Span),
    /// A client or an operator cancels the job.
    Cancel(JobId),
    /// An operator retries a dead job.
    RetryDead(JobId),
    /// A timer is due.
    Due,
}

/// An action that the caller applies once the changes of the step are durable.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Tell the client that its job is accepted.
    Accepted(Ticket, JobId),
    /// Tell the client that its submission repeats an accepted job with the same key.
    Duplicate(Ticket, JobId),
    /// Tell the client that its submission is refused.
    Refused(Ticket, Refusal),
    /// Run the job under the lease with this epoch.
    Run(JobId, Epoch),
    /// The lease has ended: cancel whatever runs under it.
    Stop(JobId, Epoch),
    /// A message referred to a lease that is not the current one.
    Stale(JobId, Epoch),
    /// The job is completed, dead or cancelled.
    Finished(JobId),
}

/// Why a submission is refused.
#[derive(Clone, Debug, PartialEq)]
pub enum Refusal {
    /// The ledger is full; retry after this delay.
    Full(Span),
    /// The member has reached its limit of unfinished jobs; retry after this delay.
    MemberFull(Span),
    /// The body is larger than this limit, in bytes.
    TooLarge(usize),
    /// The key belongs to this job, which has another body.
    Conflict(JobId),
    /// No attempts, or a lease that is too short or too long.
    Invalid(&'static str),
}

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Jobs accepted.
    pub accepted: u64,
    /// Repeated submissions of an accepted job.
    pub duplicates: u64,
    /// Submissions refused.
    pub refused: u64,
    /// Leases granted.
    pub leases: u64,
    /// Leases that expired.
    pub expired: u64,
    /// Messages about leases that were not current.
    pub stale: u64,
    /// Jobs completed.
    pub completed: u64,
    /// Attempts that workers reported as failed.
    pub failed: u64,
    /// Jobs that used up their attempts.
    pub dead: u64,
    /// Jobs cancelled.
    pub cancelled: u64,
}
