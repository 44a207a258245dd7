//! The life of durable jobs. It owns which jobs there are, in what state, who holds the lease of each
//! and until when, when a failed one may be tried again, and how much a member may have waiting. It must
//! never read a clock, do input or output, choose a worker or decide whether a class may be repeated:
//! those are the dispatcher's. Time and inputs come in; changes to be made durable, and what may be done
//! once they are, go out.
//!
//! ## What is promised
//!
//! - A job is told to be accepted only by an effect that stands behind the write of its acceptance.
//! - A job is run only by an effect that stands behind the write of its lease. Each lease has an epoch of
//!   its own, larger than any before it of that job, and the write holds it: no two leases of a job share
//!   an epoch, whatever crashes.
//! - A word about a lease (beat, completed, failed) counts only with the epoch of the lease that holds now.
//!   A late one is told to be stale and changes nothing.
//! - A job that is completed, dead or cancelled is never run again, unless an operator says so of a dead
//!   one.

mod job;
mod ledger;

pub use job::{Change, Epoch, FORMAT, Job, JobId, RecordError, State};
pub use ledger::{Ledger, LoadError, Step};

use bytes::Bytes;
use sablerun::{Span, Time};

/// Whoever waits for the answer to a submission: a number that the caller made up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket(pub u64);

/// What the ledger keeps to.
#[derive(Clone, Debug, PartialEq)]
pub struct LedgerConfig {
    /// Jobs that may wait, be scheduled or run, in all.
    pub max_jobs: usize,
    /// The same for one member.
    pub max_jobs_per_member: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Jobs leased at once.
    pub max_leases: usize,
    /// First wait before a failed job is tried again; it doubles with each try.
    pub initial_backoff: Span,
    /// The longest such wait.
    pub max_backoff: Span,
    /// Shortest and longest lease that a job may ask for.
    pub lease_range: [Span; 2],
    /// Leases a second that may be given to jobs whose lease was lost at a restart: cold workers are not
    /// to be flooded by what comes back all at once.
    pub recoveries_per_s: f64,
    /// How long a settled job is remembered: a repeat of its submission gets the same job.
    pub retention: Span,
    /// When to come back where a submission is refused.
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

/// A job as it is handed in.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// Who waits for the answer.
    pub ticket: Ticket,
    /// Whose job.
    pub member: u32,
    /// Its class.
    pub class: u32,
    /// The client's key: a repeat under it is the same job.
    pub key: Option<Bytes>,
    /// What is to be run.
    pub body: Bytes,
    /// Not before this, if it is for later.
    pub not_before: Option<Time>,
    /// How long a worker may be silent.
    pub lease: Span,
    /// Tries in all, the first included.
    pub max_attempts: u32,
}

/// What has happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A client hands a job in.
    Submit(Submission),
    /// The worker that holds a lease lives.
    Beat(JobId, Epoch),
    /// The job is done.
    Completed(JobId, Epoch, Bytes),
    /// A try has failed.
    Failed(JobId, Epoch, String),
    /// No worker took it, or it is proven that it never ran: this was no try. Not again before that.
    Returned(JobId, Epoch, Span),
    /// A client or an operator wants it no more.
    Cancel(JobId),
    /// An operator wants a dead job tried again.
    RetryDead(JobId),
    /// Time has passed.
    Due,
}

/// What may be done once the step's changes are durable.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// The job is taken.
    Accepted(Ticket, JobId),
    /// It was taken before, under the same key.
    Duplicate(Ticket, JobId),
    /// It is not taken.
    Refused(Ticket, Refusal),
    /// Run it under this lease.
    Run(JobId, Epoch),
    /// The lease does not hold any more: let go of whatever runs under it.
    Stop(JobId, Epoch),
    /// A word came about a lease that does not hold.
    Stale(JobId, Epoch),
    /// The job has come to its end: completed, dead or cancelled.
    Finished(JobId),
}

/// Why a submission is not taken.
#[derive(Clone, Debug, PartialEq)]
pub enum Refusal {
    /// There is no room; come back after this.
    Full(Span),
    /// The member has its most waiting; come back after this.
    MemberFull(Span),
    /// The body is larger than this many bytes.
    TooLarge(usize),
    /// The key stands for another job.
    Conflict(JobId),
    /// No tries, or a lease that is too short or too long.
    Invalid(&'static str),
}

/// What has been counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Jobs taken.
    pub accepted: u64,
    /// Repeats of a submission.
    pub duplicates: u64,
    /// Submissions refused.
    pub refused: u64,
    /// Leases given.
    pub leases: u64,
    /// Leases that ran out.
    pub expired: u64,
    /// Words about leases that did not hold.
    pub stale: u64,
    /// Jobs completed.
    pub completed: u64,
    /// Tries that failed.
    pub failed: u64,
    /// Jobs that ran out of tries.
    pub dead: u64,
    /// Jobs cancelled.
    pub cancelled: u64,
}
