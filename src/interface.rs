//! The module's interface: settings, events, actions, ids and times. Nothing here decides.
//!
//! The host interns every name (worker, class, tenant, zone, machine kind) to a small dense number
//! before it reaches the library and keeps the tables to turn numbers back into names.

use std::fmt;
use std::ops::{Add, Sub};

/// A moment on the host's clock, in nanoseconds from an arbitrary start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub u64);

/// A length of time, in nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub u64);

impl Span {
    /// This length in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e9
    }

    /// A length from seconds; negative and senseless values become zero.
    pub fn from_secs(secs: f64) -> Span {
        Span((secs * 1e9).max(0.0) as u64)
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Time> for Time {
    type Output = Span;
    /// The time from `earlier` to `self`; zero if `earlier` is the later one.
    fn sub(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;
    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

macro_rules! id {
    ($(#[$doc:meta] $name:ident),* $(,)?) => {$(
        #[$doc]
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u32);
    )*};
}

id! {
    /// A worker, numbered from 0 in the order in which lists named it.
    WorkerId,
    /// A request; never used twice.
    RequestId,
    /// A class of request: an index into [`Settings::classes`].
    ClassId,
    /// A tenant: an index into [`Settings::tenants`].
    TenantId,
    /// A zone.
    ZoneId,
    /// A machine kind.
    KindId,
}

/// What repeating a request of a class may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It may be repeated freely.
    Safe,
    /// Repeats are dropped by the workers of one group for as long as the class's window.
    Keyed(Group),
    /// It must never run twice.
    Unsafe,
}

/// The workers that drop each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All workers.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of request.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time, plus the stretch, is in time.
    pub objective: Span,
    /// The aim grows by this multiple of the request's own running time.
    pub stretch: f64,
    /// The client's patience over all its tries.
    pub deadline: Span,
    /// Worth of an answer in time.
    pub worth: f64,
    /// Share of the worth that an answer between aim and deadline still has.
    pub late_worth: f64,
    /// What a repeat may do.
    pub effect: Effect,
    /// Keyed classes: how long repeats are dropped.
    pub window: Span,
    /// The one machine kind that runs this class, if it is bound to one.
    pub kind: Option<KindId>,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second, over all dispatchers, within its share.
    pub quota_per_s: f64,
}

/// How the worker list is learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes arrive unasked.
    Pushed,
    /// They arrive only after [`Action::Subscribe`] or [`Action::Fetch`].
    Asked,
}

/// Points taken off the result, as fractions of the worth asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    /// For each attempt that crosses zones, per request.
    pub cross_zone: f64,
    /// For each new connection, per request.
    pub handshake: f64,
    /// For work that produced no answer, as a fraction of the work asked for.
    pub waste: f64,
    /// For each probe, per request.
    pub probe: f64,
    /// For worth that stays unserved after its aim has passed, as a fraction of the worth asked for.
    pub late_fail: f64,
}

/// How many attempts beyond each request's first a dispatcher may make within any window of a length.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// As many in any case ...
    pub floor: f64,
    /// ... and this share of the requests taken within the window.
    pub ratio: f64,
    /// The window's length.
    pub window: Span,
}

/// What the result weighs beside the worth served: misses of the aim, by class and few seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tail {
    /// Weight of that part; zero if there is none.
    pub weight: f64,
    /// The share of misses that is tolerated; a refusal within the aim is none.
    pub tolerated: f64,
}

/// All a dispatcher is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of dispatchers that share the workers.
    pub dispatchers: u32,
    /// The number of this one among them, from 0.
    pub number: u32,
    /// The zone of this one, if it has one.
    pub zone: Option<ZoneId>,
    /// The classes of request.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a fraction of the usual.
    pub over_share_worth: f64,
    /// The prices of what a dispatcher does.
    pub prices: Prices,
    /// How the list is learned.
    pub discovery: Discovery,
    /// Least time between two batches of events.
    pub tick: Span,
    /// Workers tell when a job starts.
    pub tells_start: bool,
    /// Time between a running job's progress notes; zero if there are none.
    pub progress: Span,
    /// Attempts may be withdrawn.
    pub cancel: bool,
    /// Workers may be probed.
    pub probing: bool,
    /// Two attempts of a request may be outstanding together.
    pub parallel: bool,
    /// A connection that has been idle for this long is closed.
    pub idle_limit: Span,
    /// Most attempts for a request.
    pub max_attempts: u32,
    /// The bound on attempts beyond the first, if there is one.
    pub budget: Option<Budget>,
    /// What the result weighs in misses.
    pub tail: Tail,
    /// Worth counts for each unit of work, not for each request.
    pub worth_by_work: bool,
    /// Clients mark their later tries.
    pub marks_retries: bool,
    /// The list's sizes are those of the workers, at least roughly.
    pub sized: bool,
    /// Clients hear how long to stay away, up to this; zero if they do not.
    pub max_hold_off: Span,
    /// How long after word of a drain sends to the worker must have ceased.
    pub drain_grace: Span,
    /// Longest time between two calls for the list while there is no watch.
    pub ask_within: Span,
    /// From [`Event::ListSilent`] on, the time after which what the watch can't tell counts as told: 6 s
    /// after its last sign of life by the protocol, less the 2.5 s after which it counts as silent.
    pub told_within: Span,
    /// Only an entry that says draining binds; one that is gone or left out may still be sent to.
    pub drain_binds_alone: bool,
    /// A worker starts at this share of its capacity or above.
    pub cold_from: f64,
    /// It is warm after this at the latest.
    pub warm_after: Span,
    /// More than this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... for this long pushes a cold worker over.
    pub fall: Span,
}

/// Most that a tick, or the time between progress notes, may be: an hour. Multiples of them are reckoned
/// with, and by far more they would overflow.
const LONGEST: Span = Span(3_600_000_000_000);

impl Settings {
    /// Whether the settings make sense.
    ///
    /// # Errors
    ///
    /// Names the first setting that does not.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let share = |x: f64| (0.0..=1.0).contains(&x);
        let price = |x: f64| x.is_finite() && x >= 0.0;
        let positive = |x: f64| x.is_finite() && x > 0.0;
        let tests = [
            (self.dispatchers > 0, "dispatchers"),
            (self.number < self.dispatchers, "number"),
            (!self.classes.is_empty(), "classes"),
            (self.max_attempts > 0 && self.max_attempts < 255, "max_attempts"),
            (self.tick.0 > 0 && self.tick <= LONGEST, "tick"),
            (self.progress <= LONGEST, "progress"),
            (share(self.cold_from) && self.cold_from > 0.0, "cold_from"),
            (positive(self.fall_multiple), "fall_multiple"),
            (share(self.over_share_worth), "over_share_worth"),
            (price(self.prices.cross_zone), "prices.cross_zone"),
            (price(self.prices.handshake), "prices.handshake"),
            (price(self.prices.waste), "prices.waste"),
            (price(self.prices.probe), "prices.probe"),
            (price(self.prices.late_fail), "prices.late_fail"),
            (self.budget.is_none_or(|b| price(b.floor)), "budget.floor"),
            (self.budget.is_none_or(|b| share(b.ratio)), "budget.ratio"),
            (self.budget.is_none_or(|b| b.window.0 > 0), "budget.window"),
            (price(self.tail.weight), "tail.weight"),
            (share(self.tail.tolerated), "tail.tolerated"),
            (self.classes.iter().all(|c| c.deadline.0 > 0), "classes.deadline"),
            (self.classes.iter().all(|c| positive(c.worth)), "classes.worth"),
            (self.classes.iter().all(|c| c.stretch.is_finite() && c.stretch >= 0.0), "classes.stretch"),
            (
                self.tenants.iter().all(|t| t.quota_per_s.is_finite() && t.quota_per_s >= 0.0),
                "tenants.quota_per_s",
            ),
        ];
        match tests.into_iter().find(|(good, _)| !good) {
            Some((_, name)) => Err(SettingsError(name)),
            None => Ok(()),
        }
    }
}

/// Settings that make no sense; names the setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub &'static str);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "senseless setting: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

/// What the list says of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
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
    pub standing: Standing,
    /// Its size beside other workers' sizes, where [`Settings::sized`].
    pub size: f64,
    /// When its process last started; `None` if long past.
    pub up_since: Option<Time>,
}

impl ListEntry {
    /// A try sent there, as a repeat of it is bound.
    pub fn prior(&self, sent: Time) -> Prior {
        Prior { zone: self.zone, cell: self.cell, sent }
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
pub enum Note {
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
    pub prior: Option<Prior>,
}

/// Where and when a try that may have run was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prior {
    /// The zone.
    pub zone: ZoneId,
    /// The cell.
    pub cell: u32,
    /// When it was sent.
    pub sent: Time,
}

impl Prior {
    /// Whether a worker drops repeats of what was sent there, where the group remembers them.
    pub fn shares(&self, group: Group, entry: &ListEntry) -> bool {
        match group {
            Group::All => true,
            Group::Zone => self.zone == entry.zone,
            Group::Cell => self.zone == entry.zone && self.cell == entry.cell,
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
    /// A request has arrived.
    Arrival(Arrival),
    /// The request is closed: its client has left.
    Closed(RequestId),
    /// Another client waits for the request too, up to this deadline.
    Extended(RequestId, Time),
    /// The streamed answer of this attempt has begun; the attempt is the client's now.
    Began(RequestId, u32),
    /// News of an outstanding attempt.
    Noted(RequestId, u32, Note),
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
    Retuned(Box<Settings>),
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
    Release(WorkerId),
}

impl Default for Settings {
    /// One dispatcher in one zone, a pushed list, no tenants and no classes yet: a start to fill in.
    fn default() -> Settings {
        Settings {
            dispatchers: 1,
            number: 0,
            zone: None,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_share_worth: 1.0,
            prices: Prices::default(),
            discovery: Discovery::Pushed,
            tick: Span(1_000_000),
            tells_start: false,
            progress: Span(0),
            cancel: true,
            probing: false,
            parallel: false,
            idle_limit: Span::from_secs(60.0),
            max_attempts: 3,
            budget: None,
            tail: Tail::default(),
            worth_by_work: false,
            marks_retries: false,
            sized: false,
            max_hold_off: Span(0),
            drain_grace: Span::from_secs(1.0),
            ask_within: Span::from_secs(10.0),
            told_within: Span::from_secs(3.5),
            drain_binds_alone: false,
            cold_from: 0.1,
            warm_after: Span::from_secs(30.0),
            fall_multiple: 2.0,
            fall: Span::from_secs(1.0),
        }
    }
}
