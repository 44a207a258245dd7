//! Events from the host to the balancer, actions from the balancer to the host, and the data that they carry:
//! lists, reports, outcomes, requests. Contains no decisions.

use super::*;

/// The state of a worker, as stated by the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// It accepts work.
    Ready,
    /// It finishes its work and accepts none.
    Draining,
    /// It has been removed.
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
    /// Its cell: workers of a cell share the idempotency keys that they have seen.
    pub cell: u32,
    /// Its state.
    pub state: WorkerState,
    /// Its size relative to other workers, where [`Settings::has_worker_sizes`].
    pub size: f64,
    /// When its process last started; `None` if that is long past.
    pub up_since: Option<Time>,
}

impl ListEntry {
    /// Returns an attempt sent to this worker in the form that restricts its repeats.
    pub fn prior_attempt(&self, sent_at: Time) -> PriorAttempt {
        PriorAttempt { zone: self.zone, cell: self.cell, sent_at }
    }
}

/// How a list relates to the current one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The list as saved before a restart; it may be out of date.
    Saved,
    /// The whole list: workers missing from it are gone.
    Full,
    /// Only the entries that have changed.
    Delta,
}

/// A worker's load report; values that it does not contain are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests in progress.
    pub inflight: Option<f64>,
    /// Recent service time, without time in the queue.
    pub latency: Option<Span>,
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Free memory.
    pub free_memory: Option<f64>,
    /// Errors per second.
    pub errors_per_s: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The worker served it.
    Ok,
    /// The worker answered with an error; the job may have run.
    Error,
    /// Turned away by the worker, usually because it is full; the job never ran.
    Full,
    /// No answer within the timeout; the job may have run.
    Timeout,
    /// The connection could not be opened; the job never ran.
    ConnectFailed,
    /// The connection broke; the job may have run.
    Reset,
    /// Cancelled by the dispatcher; the job may have run.
    Cancelled,
    /// Never sent; the job never ran.
    Moot,
}

impl Outcome {
    /// Whether this outcome proves that the job never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}

/// An update on an attempt that is still outstanding.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptUpdate {
    /// The job has started.
    Started,
    /// This fraction of the job is done.
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
    /// When the client stops waiting.
    pub deadline: Time,
    /// Slots that it occupies while it runs.
    pub slots: f64,
    /// Memory that it occupies, where that is counted.
    pub memory: f64,
    /// The running time that the client expects on a machine of usual speed (the hint); zero if unknown.
    pub estimate: Span,
    /// Whether the client marks it as a retry.
    pub retry: bool,
    /// Where an earlier try of it may have run; it restricts this one as an attempt of its own would.
    pub prior: Option<PriorAttempt>,
}

/// Where and when an attempt that may have run was sent.
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
    /// Whether a worker would drop a repeat of this attempt, given the scope of deduplication.
    pub fn deduplicated_by(&self, scope: DedupScope, entry: &ListEntry) -> bool {
        match scope {
            DedupScope::All => true,
            DedupScope::Zone => self.zone == entry.zone,
            DedupScope::Cell => self.zone == entry.zone && self.cell == entry.cell,
        }
    }
}

/// An event that the host reports to the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A worker list.
    List(ListKind, Vec<ListEntry>),
    /// A request for the list failed, or the subscription broke.
    ListFailed,
    /// The subscription is open but silent: changes since its last sign of life may have been missed.
    ListSilent,
    /// The list now comes from another address, where the host has already requested it.
    DiscoveryMoved,
    /// A request has arrived.
    Arrival(Arrival),
    /// The client no longer waits for the request.
    RequestClosed(RequestId),
    /// Another client waits for the same request, up to this deadline.
    DeadlineExtended(RequestId, Time),
    /// The attempt's answer is being streamed to the client, so the attempt is no longer cancelled or moved.
    StreamStarted(RequestId, u32),
    /// An update on an outstanding attempt.
    AttemptUpdate(RequestId, u32, AttemptUpdate),
    /// An attempt has ended.
    Ended {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// Whether the request is closed, by this outcome or before.
        closed: bool,
        /// The worker's report, if the answer carried one.
        report: Option<Report>,
    },
    /// A probe has ended: whether it succeeded, and the report.
    Probed(WorkerId, bool, Option<Report>),
    /// New settings apply. Classes and tenants keep their numbers; classes missing at the end stay as they
    /// were. Open requests make no more attempts than both the old and the new settings allow.
    SettingsChanged(Box<Settings>),
    /// A timer set by [`Action::Timer`] is due.
    Timer(u64),
}

/// An action for the host; actions are executed in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the request's next attempt at this worker; attempts are numbered from 0.
    Send(RequestId, WorkerId),
    /// Stop waiting for an attempt.
    Cancel(RequestId, u32),
    /// Final answer: refused; a retry is harmless, after this hold-off.
    Refuse(RequestId, Span),
    /// Final answer: failed; a retry may not be harmless.
    Fail(RequestId),
    /// Deliver [`Event::Timer`] with this token at this time.
    Timer(Time, u64),
    /// Subscribe to list changes.
    Subscribe,
    /// Request the whole list once.
    Fetch,
    /// Probe a worker for its load.
    Probe(WorkerId),
    /// Close the idle connections to a worker, so that its next attempt opens a new one.
    CloseIdle(WorkerId),
}
