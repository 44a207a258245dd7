//! What a dispatcher is told at its start: classes, tenants, prices and the rules that hold. It owns their
//! form and their defaults, not their values. It must never decide anything.

use super::*;

/// What repeating a request of a class may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be repeated freely.
    Safe,
    /// Repeats are dropped by the workers of one group for as long as the class's window.
    Keyed(DedupScope),
    /// It must never run twice.
    Unsafe,
}

/// The workers that drop each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
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
    pub idempotency: Idempotency,
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
    OnRequest,
    /// The same, from an agent of this machine's own: what it holds counts as told, watched or not.
    Agent,
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
    pub reports_start: bool,
    /// Time between a running job's progress notes; zero if there are none.
    pub progress: Span,
    /// Attempts may be withdrawn.
    pub cancel: bool,
    /// Workers may be probed.
    pub probing: bool,
    /// Two attempts of a request may be outstanding together.
    pub parallel_attempts: bool,
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
    pub marked_retries: bool,
    /// The list's sizes are those of the workers, at least roughly.
    pub has_worker_sizes: bool,
    /// Clients hear how long to stay away, up to this; zero if they do not.
    pub max_hold_off: Span,
    /// How long after word of a drain sends to the worker must have ceased.
    pub drain_grace: Span,
    /// Longest time between two calls for the list while there is no watch.
    pub max_poll_interval: Span,
    /// From [`Event::ListSilent`] on, the time after which what the watch can't tell counts as told: 6 s
    /// after its last sign of life by the protocol, less the 2.5 s after which it counts as silent and some room.
    pub validity_after_silence: Span,
    /// The same from any other loss of the watch on: it is noticed at once.
    pub validity_after_loss: Span,
    /// How long from the start a saved list may be used where lists are asked for. The sockets' protocol does not
    /// tell how old it is, so that it may have missed any change: none there. The simulator's rules allow more.
    pub saved_list_validity: Span,
    /// How old a report of any worker is at the most, in seconds, while all of them keep coming; none where they come
    /// by chance.
    pub report_age_s: Option<f64>,
    /// Each failed call begins `validity_after_loss` anew while the list still holds: the simulator's rule. On sockets a change
    /// counts as told 6 s after it could be had, whatever has failed since: never there.
    pub failed_calls_renew_validity: bool,
    /// Only an entry that says draining binds; one that is gone or left out may still be sent to.
    pub only_draining_excludes: bool,
    /// A worker starts at this share of its capacity or above.
    pub cold_from: f64,
    /// It is warm after this at the latest.
    pub warm_after: Span,
    /// More than this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... for this long pushes a cold worker over.
    pub fall_after: Span,
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
            reports_start: false,
            progress: Span(0),
            cancel: true,
            probing: false,
            parallel_attempts: false,
            idle_limit: Span::from_secs(60.0),
            max_attempts: 3,
            budget: None,
            tail: Tail::default(),
            worth_by_work: false,
            marked_retries: false,
            has_worker_sizes: false,
            max_hold_off: Span(0),
            drain_grace: Span::from_secs(1.0),
            max_poll_interval: Span::from_secs(10.0),
            validity_after_silence: Span::from_secs(3.3),
            validity_after_loss: Span::from_secs(5.8),
            saved_list_validity: Span(0),
            report_age_s: None,
            failed_calls_renew_validity: false,
            only_draining_excludes: false,
            cold_from: 0.1,
            warm_after: Span::from_secs(30.0),
            fall_multiple: 2.0,
            fall_after: Span::from_secs(1.0),
        }
    }
}
