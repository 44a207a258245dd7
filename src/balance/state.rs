//! What is known of workers, classes and requests. Only the files beside it change it.

use super::*;

#[derive(Clone, Copy, Default)]
pub(super) struct Load {
    /// Slots of attempts outstanding, of those running, and the number not yet known to run.
    pub(super) own: f64,
    pub(super) running: f64,
    pub(super) waiting: u32,
    /// Running jobs: sum of 1/mean, and of start/mean, so that their time so far counts too.
    pub(super) rate: f64,
    pub(super) rate_start: f64,
}

#[derive(Default)]
pub(super) struct Worker {
    pub(super) load: Load,
    /// Share of answers that were errors, then of each class's attempts that failed or did not start; when.
    pub(super) missed: Vec<(f64, f64)>,
    /// Slots that others took when last seen, when that was, and the group of its peers.
    pub(super) others: f64,
    pub(super) others_at: f64,
    pub(super) group: usize,
    /// Pace: jobs shown and the time they took in units of their classes' means, decaying.
    pub(super) shown: f64,
    pub(super) took: f64,
    pub(super) shown_at: f64,
    /// What it last reported: what comes again with later answers is no news.
    pub(super) report: Report,
    pub(super) reported_at: f64,
    /// Way there and back beyond the job itself (CD).
    pub(super) transfer: f64,
    pub(super) heard: f64,
    /// Since when each idle connection to it has been idle, the newest last.
    pub(super) idle: Vec<f64>,
    /// While suspect: when it may be tried.
    pub(super) trial: Option<f64>,
    /// Turns to send to it while cold, those of them that may be saved up, and when that was counted.
    pub(super) turns: (f64, f64),
    pub(super) turns_at: f64,
    /// A list has named it; one has called it draining since its process last started.
    pub(super) listed: bool,
    pub(super) drained: bool,
    /// It has come back from a drain and was not sent to since.
    pub(super) returned: bool,
}

/// What the workers of one machine kind in one zone show together: their room, pace and queues.
#[derive(Default)]
pub(super) struct Peers {
    pub(super) key: (KindId, ZoneId),
    /// Usual time to a start note over an open and a new connection; room by belief, most slots told free.
    pub(super) ways: [f64; 2],
    pub(super) slots: f64,
    pub(super) free: f64,
    pub(super) shown: f64,
    pub(super) took: f64,
    pub(super) others: f64,
    pub(super) seen_at: f64,
}

/// What a class of request shows: mean running time at the fleet's mean pace, and of how many.
pub(super) struct ClassStat {
    pub(super) mean: (f64, f64),
    pub(super) longest: f64,
}

#[derive(Default)]
pub(super) struct Attempt {
    pub(super) worker: usize,
    pub(super) sent: Time,
    pub(super) started: Option<Time>,
    pub(super) heard: Time,
    /// How long its connection had been idle; zero for a new one.
    pub(super) idle: f64,
    pub(super) ended: Option<Outcome>,
    pub(super) cancelled: bool,
    /// It should have ended long ago; its answer is taken for lost, and it for no load any more.
    pub(super) overdue: bool,
    pub(super) lost: bool,
}

#[derive(Default)]
pub(super) struct Request {
    pub(super) class: usize,
    pub(super) slots: f64,
    /// Running time at the fleet's mean pace: by its hint, else its class's mean when it came.
    pub(super) work: f64,
    pub(super) hint: f64,
    /// When it came, and the time from then on by which it is to be done.
    pub(super) came: f64,
    pub(super) aim: f64,
    pub(super) deadline: Time,
    pub(super) most_attempts: usize,
    /// Beyond `latest` a start is of no use; at `withdraw` a waiting attempt is given up.
    pub(super) latest: Time,
    pub(super) withdraw: Time,
    pub(super) over_share: bool,
    /// Where an earlier try of it may have run.
    pub(super) prior: Option<PriorAttempt>,
    /// Share of the room that it leaves to dearer work when workers are full.
    pub(super) yields: f64,
    /// Place in the line: work for each unit of worth.
    pub(super) rank: u64,
    pub(super) settled: bool,
    pub(super) streaming: bool,
    pub(super) attempts: Vec<Attempt>,
}

impl Request {
    pub(super) fn outstanding(&self) -> bool {
        self.attempts.iter().any(|a| a.ended.is_none())
    }
}
