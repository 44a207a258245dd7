//! What the balancer knows of workers, classes and requests. Only the files beside this one change it.

use super::*;

/// This dispatcher's own attempts at a worker.
#[derive(Clone, Copy, Default)]
pub(super) struct Load {
    pub(super) slots: f64,   // of all outstanding attempts
    pub(super) running: f64, // slots of those that have started
    pub(super) queued: u32,  // number of those not known to have started
    /// Over running jobs, sums of 1/work and start/work: `rate * now - offset` is their elapsed time in jobs.
    pub(super) elapsed_rate: f64,
    pub(super) elapsed_offset: f64,
}

/// Estimates of a worker.
#[derive(Default)]
pub(super) struct Worker {
    pub(super) load: Load,
    /// Rate of errors, then of each class's attempts that failed or did not start; each with its time.
    pub(super) failure_rates: Vec<(f64, f64)>,
    pub(super) others: f64, // slots that other dispatchers took when last seen
    pub(super) others_at: f64,
    pub(super) group: usize, // index into the groups
    /// Pace: number of ended jobs, and the sum of their times in units of their classes' means; both decay.
    pub(super) jobs: f64,
    pub(super) ratio_sum: f64,
    pub(super) pace_at: f64,
    pub(super) report: Report, // the last one; the same again with later answers is no news
    pub(super) reported_at: f64,
    pub(super) transfer_s: f64, // time there and back beyond the job itself (CD)
    pub(super) heard_s: f64,    // time of the last answer or update
    pub(super) idle_since: Vec<f64>, // for each idle connection, the newest last
    pub(super) trial_at: Option<f64>, // while suspect: when it may get a trial request
    pub(super) tokens: (f64, f64), // cold-start tokens, and how many of them can be saved up
    pub(super) tokens_at: f64,
    pub(super) listed: bool,   // a list has named it
    pub(super) drained: bool,  // a list has called it draining since its process last started
    pub(super) returned: bool, // it is back from a drain and nothing was sent to it since
}

/// Estimates shared by the workers of one machine kind in one zone: slots, pace and queues.
#[derive(Default)]
pub(super) struct Group {
    pub(super) key: (KindId, ZoneId),
    pub(super) delays: [f64; 2], // usual time to a start update over an open and over a new connection
    pub(super) slots: f64,       // estimated slots of a worker
    pub(super) max_free: f64,    // most slots reported free
    pub(super) jobs: f64,
    pub(super) ratio_sum: f64,
    pub(super) others: f64,
    pub(super) others_at: f64,
}

/// Estimates of a class of request.
pub(super) struct ClassStats {
    pub(super) mean: (f64, f64), // running time at the fleet's mean pace, and the number of samples
    pub(super) max_window: f64,  // longest time from an arrival to its deadline
}

#[derive(Default)]
pub(super) struct Attempt {
    pub(super) worker: usize,
    pub(super) sent_at: Time,
    pub(super) started_at: Option<Time>,
    pub(super) heard_at: Time,
    pub(super) idle_s: f64, // how long its connection had been idle; zero for a new one
    pub(super) outcome: Option<Outcome>,
    pub(super) cancelled: bool,
    pub(super) overdue: bool, // it should have ended long ago
    pub(super) lost: bool,    // its answer is presumed lost; it no longer counts as load
}

#[derive(Default)]
pub(super) struct Request {
    pub(super) class: usize,
    pub(super) slots: f64,
    pub(super) work: f64, // running time at the fleet's mean pace, by its hint, else its class's mean
    pub(super) hint: f64, // running time by the client's estimate, in seconds; zero if unknown
    pub(super) arrived_s: f64,
    pub(super) target: f64, // seconds from its arrival within which it is to be answered
    pub(super) deadline: Time,
    pub(super) max_attempts: usize,
    pub(super) start_by: Time,  // a later start is useless
    pub(super) cancel_at: Time, // when a waiting attempt is cancelled
    pub(super) over_share: bool,
    pub(super) prior: Option<PriorAttempt>, // where an earlier try may have run
    pub(super) yielded_share: f64, // share of the slots left to more valuable work when workers are full
    pub(super) rank: u64,          // order in the queue: work per unit of worth
    pub(super) closed: bool,
    pub(super) streaming: bool,
    pub(super) attempts: Vec<Attempt>,
}

impl Request {
    pub(super) fn has_outstanding(&self) -> bool {
        self.attempts.iter().any(|a| a.outcome.is_none())
    }
}
