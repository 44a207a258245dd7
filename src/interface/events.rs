//! What the host tells the dispatcher, and what the dispatcher tells it to do. It owns the form of both and
//! of what they carry: lists, reports, outcomes, requests. It must never decide anything.

use super::*;

/// What the list says of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// It takes work.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It is removed.
    Gone,
}

/// One entry of a worker list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEntry {
    /// The worker.
    pub worker: WorkerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine kind.
    pub kind: KindId,
    /// Its cell: workers that share knowledge of keys seen.
    pub cell: u32,
    /// What the list says of it.
    pub state: WorkerState,
    /// Its size beside other workers' sizes, where [`Settings::sized`].
    pub size: f64,
    /// When its process last started; `None` if long past.
    pub up_since: Option<Time>,
}

impl ListEntry {
    /// A try sent there, as a repeat of it is bound.
    pub fn prior_attempt(&self, sent_at: Time) -> PriorAttempt {
        PriorAttempt { zone: self.zone, cell: self.cell, sent_at }
    }
}

/// How a list relates to the one held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The list as last held before a restart; may be out of date.
    Saved,
    /// The whole list: who is not on it is gone.
    Full,
    /// Changed entries only.
    Delta,
}

/// A worker's load report; what it does not tell is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests in hand.
    pub inflight: Option<f64>,
    /// Recent service time without waiting.
    pub latency: Option<Span>,
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Free memory.
    pub free_memory: Option<f64>,
    /// Errors a second.
    pub errors_per_s: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Ok,
    /// The worker answered with an error; the job may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in the time allowed; the job may have run.
    Timeout,
    /// No connection; the job never ran.
    ConnectFailed,
    /// The connection broke; the job may have run.
    Reset,
    /// Withdrawn; the job may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// Whether this outcome proves that the job never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}

/// What a note tells of an attempt that is still outstanding.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptUpdate {
    /// The job has started.
    Started,
    /// This share of it is done.
    Progress(f64),
}

/// A request as it arrives.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Its id.
    pub request: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if it has one.
    pub tenant: Option<TenantId>,
    /// When the client gives up.
    pub deadline: Time,
    /// Slots it takes while it runs.
    pub slots: f64,
    /// Memory it takes, where that is counted.
    pub memory: f64,
    /// Its running time as the client expects it, on a machine of usual speed; zero if it does not say.
    pub estimate: Span,
    /// The client marks it as a later try.
    pub retry: bool,
    /// An earlier try of it may have run, and where: a repeat is bound to that as to an own attempt.
    pub prior: Option<PriorAttempt>,
}

/// Where and when a try that may have run was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PriorAttempt {
    /// The zone.
    pub zone: ZoneId,
    /// The cell.
    pub cell: u32,
    /// When it was sent.
    pub sent_at: Time,
}

impl PriorAttempt {
    /// Whether a worker drops repeats of what was sent there, where the group remembers them.
    pub fn deduplicated_by(&self, group: DedupScope, entry: &ListEntry) -> bool {
        match group {
            DedupScope::All => true,
            DedupScope::Zone => self.zone == entry.zone,
            DedupScope::Cell => self.zone == entry.zone && self.cell == entry.cell,
        }
    }
}

/// What the host tells the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A worker list.
    List(ListKind, Vec<ListEntry>),
    /// A call for the list failed, or the subscription broke.
    ListFailed,
    /// The subscription has fallen silent: it stands, but news may be missed from its last sign of life on.
    ListSilent,
    /// The list is asked for elsewhere from now on, and the call for it is made.
    DiscoveryMoved,
    /// A request has arrived.
    Arrival(Arrival),
    /// The request is closed: its client has left.
    RequestClosed(RequestId),
    /// Another client waits for the request too, up to this deadline.
    DeadlineExtended(RequestId, Time),
    /// The streamed answer of this attempt has begun; the attempt is the client's now.
    StreamStarted(RequestId, u32),
    /// News of an outstanding attempt.
    AttemptUpdate(RequestId, u32, AttemptUpdate),
    /// An attempt has ended.
    Ended {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// The request is closed, by this outcome or earlier.
        closed: bool,
        /// The worker's report, if one came along.
        report: Option<Report>,
    },
    /// A probe has come back: whether it succeeded, and the report.
    Probed(WorkerId, bool, Option<Report>),
    /// New settings hold from now on. Classes and tenants keep their numbers, and classes left off the end
    /// stay as they were. What is under way makes no more attempts than both settings allow.
    SettingsChanged(Box<Settings>),
    /// A timer set by [`Action::Timer`] is due.
    Timer(u64),
}

/// What the dispatcher tells the host to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the request's next attempt at this worker; attempts count from 0.
    Send(RequestId, WorkerId),
    /// Stop waiting for an attempt.
    Cancel(RequestId, u32),
    /// Final answer: refused; a retry does no harm, but not before this span has passed.
    Refuse(RequestId, Span),
    /// Final answer: failed; nothing is promised.
    Fail(RequestId),
    /// Deliver [`Event::Timer`] with this token at this time.
    Timer(Time, u64),
    /// Ask for list changes from now on.
    Subscribe,
    /// Ask for the whole list once.
    Fetch,
    /// Ask a worker for its load.
    Probe(WorkerId),
    /// Close the idle connections to a worker, so that the next attempt opens a new one.
    CloseIdle(WorkerId),
}
