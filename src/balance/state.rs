//! What the balancer knows of workers, classes and requests. Only the files beside this one change it.
//! A time of type `f64` is in seconds since the balancer's start.

use super::*;

/// This dispatcher's own attempts at a worker.
#[derive(Clone, Copy, Default)]
pub(super) struct Load {
    /// Slots of all outstanding attempts, except those whose answers are presumed lost.
    pub(super) slots: f64,
    /// Slots of those that have started.
    pub(super) running_slots: f64,
    /// Number of those not known to have started.
    pub(super) unstarted: u32,
    /// Sum of `1 / work` over the running jobs, per second; `elapsed_rate * now - elapsed_offset` is their
    /// elapsed time, in units of their expected running times.
    pub(super) elapsed_rate: f64,
    /// Sum of `start / work` over the running jobs.
    pub(super) elapsed_offset: f64,
}

/// Estimates of a worker.
#[derive(Default)]
pub(super) struct Worker {
    /// This dispatcher's own attempts there.
    pub(super) load: Load,
    /// At index 0 the share of answers that were errors, of all classes; then for each class the share of its
    /// attempts that failed or did not start. Each with the time at which it held.
    pub(super) failure_rates: Vec<(f64, f64)>,
    /// Slots that other dispatchers took when last observed.
    pub(super) other_slots: f64,
    /// Time of that observation.
    pub(super) other_slots_at: f64,
    /// Index into the balancer's groups.
    pub(super) group: usize,
    /// Number of ended jobs, decayed since they ended; a report of the latency counts as one.
    pub(super) ended_jobs: f64,
    /// Sum of the times of these jobs in units of their expected running times, decayed likewise.
    pub(super) ratio_sum: f64,
    /// Time up to which `ended_jobs` and `ratio_sum` are decayed.
    pub(super) pace_at: f64,
    /// The last report. An equal one that comes with a later answer contains nothing new.
    pub(super) report: Report,
    /// Time of the last report or probe.
    pub(super) reported_at: f64,
    /// Mean time of an attempt beyond the job itself, there and back, in seconds (`CD`).
    pub(super) transfer_s: f64,
    /// Time of the last answer or update; until there is one, of the list that named the process.
    pub(super) last_contact_at: f64,
    /// For each idle connection the time since which it has been idle, the newest last.
    pub(super) idle_since: Vec<f64>,
    /// Set while the worker is suspect, after a failed connection, a reset or silence: when it may get a
    /// trial request.
    pub(super) trial_at: Option<f64>,
    /// Cold-start tokens, each good for a mean job, and how many of them can be saved up.
    pub(super) cold_tokens: (f64, f64),
    /// Time of the last refill of the tokens.
    pub(super) cold_tokens_at: f64,
    /// Whether a list has named it.
    pub(super) listed: bool,
    /// Whether a list has called it draining since its process last started.
    pub(super) drained: bool,
    /// Whether it is back from a drain and nothing has been sent to it since.
    pub(super) back_from_drain: bool,
}

/// Estimates shared by the workers of one machine kind in one zone: slots, pace and queues.
#[derive(Default)]
pub(super) struct Group {
    /// The machine kind and the zone.
    pub(super) key: (KindId, ZoneId),
    /// Usual time from a send to its start update, in seconds: over an open and over a new connection.
    pub(super) start_delays: [f64; 2],
    /// Estimated slots of each worker; begins at `SLOTS_PRIOR`.
    pub(super) slots: f64,
    /// Most slots that a worker has reported free, at least `SLOTS_PRIOR`.
    pub(super) max_free_slots: f64,
    /// Number of ended jobs, decayed with each further one; a report of the latency counts as one.
    pub(super) ended_jobs: f64,
    /// Sum of the times of these jobs in units of their expected running times, decayed likewise.
    pub(super) ratio_sum: f64,
    /// Slots that other dispatchers usually take at a worker.
    pub(super) other_slots: f64,
    /// Time of the last observation of these.
    pub(super) other_slots_at: f64,
}

/// Estimates of a class of request.
pub(super) struct ClassStats {
    /// Mean running time at the fleet's mean pace, in seconds, and the number of samples. The objective
    /// counts as the first.
    pub(super) mean_time: (f64, f64),
    /// Longest time from an arrival to its deadline, in seconds; at most the class's deadline.
    pub(super) max_window_s: f64,
}

/// An attempt of a request.
#[derive(Default)]
pub(super) struct Attempt {
    /// Number of the worker that it was sent to.
    pub(super) worker: usize,
    /// When it was sent.
    pub(super) sent_at: Time,
    /// When its start update arrived.
    pub(super) started_at: Option<Time>,
    /// When its last update arrived; until one does, when it was sent.
    pub(super) last_update_at: Time,
    /// How long its connection had been idle, in seconds; zero for a new one.
    pub(super) idle_s: f64,
    /// How it ended; `None` while it is outstanding.
    pub(super) outcome: Option<Outcome>,
    /// Whether its cancellation has been requested.
    pub(super) cancelled: bool,
    /// Whether it has run much longer than expected.
    pub(super) overdue: bool,
    /// Whether its answer is presumed lost, so that it no longer counts as load.
    pub(super) lost: bool,
}

/// A request that is queued or has outstanding attempts.
#[derive(Default)]
pub(super) struct Request {
    /// Index of its class.
    pub(super) class: usize,
    /// Slots that it takes while it runs, by its slots or its memory, whichever is more.
    pub(super) slots: f64,
    /// Expected running time at the fleet's mean pace, in seconds: by its hint, else its class's mean at its
    /// arrival.
    pub(super) work: f64,
    /// Running time by the client's estimate, in seconds; zero if unknown.
    pub(super) hint: f64,
    /// When its first try arrived, by estimate.
    pub(super) arrived_s: f64,
    /// Seconds from `arrived_s` within which an answer is in time.
    pub(super) target_s: f64,
    /// When the client stops waiting.
    pub(super) deadline: Time,
    /// Most attempts that it may make.
    pub(super) max_attempts: usize,
    /// When it is too late to start it.
    pub(super) start_by: Time,
    /// When the request is refused or failed, and its attempt cancelled, if that has not started.
    pub(super) cancel_at: Time,
    /// Whether it exceeds its tenant's share.
    pub(super) over_share: bool,
    /// Where an earlier try may have run.
    pub(super) prior: Option<PriorAttempt>,
    /// Share of a worker's slots that it leaves to more valuable work when all attempts are rejected as full;
    /// less when fewer are.
    pub(super) yielded_share: f64,
    /// Order in the queue, the lowest first: work per unit of worth.
    pub(super) rank: u64,
    /// Whether it has its final answer or needs none.
    pub(super) closed: bool,
    /// Whether an answer is being streamed to the client.
    pub(super) streaming: bool,
    /// Its attempts in the order in which they were sent.
    pub(super) attempts: Vec<Attempt>,
}

impl Request {
    /// Whether an attempt has not ended yet.
    pub(super) fn has_outstanding(&self) -> bool {
        self.attempts.iter().any(|a| a.outcome.is_none())
    }
}
