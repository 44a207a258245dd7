//! The settings of a dispatcher and their defaults: classes, tenants, prices and rules. Contains no
//! decisions.

use super::*;

/// Whether a request of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be repeated without restriction.
    Safe,
    /// Workers within this scope drop repeats for as long as the class's window.
    Keyed(DedupScope),
    /// It must never run twice.
    Unsafe,
}

/// The workers that share the idempotency keys that they have seen, and so drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All workers.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// A class of request.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within the target is in time; the target is this time plus the stretch.
    pub objective: Span,
    /// The target grows by this multiple of the request's own running time.
    pub stretch: f64,
    /// How long the client waits, over all its tries.
    pub deadline: Span,
    /// The worth of an answer in time.
    pub worth: f64,
    /// The share of the worth that an answer between target and deadline still has.
    pub late_worth: f64,
    /// Whether a request may be repeated.
    pub idempotency: Idempotency,
    /// For keyed classes: how long repeats are dropped.
    pub window: Span,
    /// The only machine kind that runs this class, if it is restricted to one.
    pub kind: Option<KindId>,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its share: requests per second over all dispatchers.
    pub quota_per_s: f64,
}

/// How the worker list arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes are pushed without a request.
    Pushed,
    /// Changes arrive only after [`Action::Subscribe`] or [`Action::Fetch`].
    OnRequest,
    /// The same, from an agent on this machine: changes that the agent holds count as reported to the
    /// dispatcher, even without a watch.
    Agent,
}

/// Penalties that reduce the result, as fractions of the worth requested.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    /// For each attempt that crosses zones, per request.
    pub cross_zone: f64,
    /// For each new connection, per request.
    pub handshake: f64,
    /// For work that produced no answer, as a fraction of the work requested.
    pub waste: f64,
    /// For each probe, per request.
    pub probe: f64,
    /// For worth that is still unserved after its target, as a fraction of the worth requested.
    pub late_fail: f64,
}

/// The retry budget: how many attempts beyond each request's first a dispatcher may make within any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// This number in any case ...
    pub floor: f64,
    /// ... plus this share of the requests admitted within the window.
    pub ratio: f64,
    /// The window's length.
    pub window: Span,
}

/// The part of the result that counts missed targets, by class and intervals of a few seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tail {
    /// The weight of that part; zero if there is none.
    pub weight: f64,
    /// The share of misses that is tolerated; a refusal within the target is not a miss.
    pub tolerated: f64,
}

/// The settings of a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The number of dispatchers that share the workers.
    pub dispatchers: u32,
    /// The index of this one among them, from 0.
    pub number: u32,
    /// The zone of this one, if it has one.
    pub zone: Option<ZoneId>,
    /// The classes of request.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The worth of a request beyond its tenant's share, as a fraction of the usual worth.
    pub over_share_worth: f64,
    /// Penalties for what the dispatcher does.
    pub prices: Prices,
    /// How the worker list arrives.
    pub discovery: Discovery,
    /// The minimum time between two batches of events.
    pub tick: Span,
    /// Whether workers report the start of a job.
    pub reports_start: bool,
    /// The time between a running job's progress updates; zero if there are none.
    pub progress: Span,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether workers may be probed.
    pub probing: bool,
    /// Whether a request may have two outstanding attempts.
    pub parallel_attempts: bool,
    /// A connection that has been idle for this long is closed.
    pub idle_limit: Span,
    /// The maximum number of attempts of a request.
    pub max_attempts: u32,
    /// The retry budget, if the rules state one.
    pub budget: Option<Budget>,
    /// How missed targets count in the result.
    pub tail: Tail,
    /// Whether worth counts per unit of work, not per request.
    pub worth_by_work: bool,
    /// Whether clients mark their retries.
    pub marked_retries: bool,
    /// Whether the list states the workers' sizes, at least roughly.
    pub has_worker_sizes: bool,
    /// The maximum hold-off sent to refused clients; zero if none is sent.
    pub max_hold_off: Span,
    /// How long after notice of a drain sends to the worker must have stopped.
    pub drain_grace: Span,
    /// The maximum time between two requests for the list while there is no watch.
    pub max_poll_interval: Span,
    /// How long the list stays valid after [`Event::ListSilent`]. By the protocol, changes that the watch
    /// missed count as reported 6 s after its last sign of life. It counts as silent 2.5 s after that sign,
    /// which leaves 3.5 s, less a margin.
    pub validity_after_silence: Span,
    /// How long the list stays valid after any other loss of the watch, which is noticed at once.
    pub validity_after_loss: Span,
    /// How long after the start a saved list may be used, where lists are requested. Zero with the socket
    /// protocol: it does not state the list's age, so any change may have been missed. The simulator's rules
    /// allow more.
    pub saved_list_validity: Span,
    /// The maximum age of any worker's report, in seconds, where reports arrive regularly; `None` where they
    /// arrive by chance.
    pub report_age_s: Option<f64>,
    /// Whether each failed request for the list restarts `validity_after_loss` while the list is still valid.
    /// This is the simulator's rule. With the socket protocol it is false: there a change counts as reported
    /// 6 s after it was available, whatever has failed since.
    pub failed_calls_renew_validity: bool,
    /// Whether only a draining entry excludes a worker; one that is gone or missing may still be sent to.
    pub only_draining_excludes: bool,
    /// A worker starts with this share of its capacity or more.
    pub cold_from: f64,
    /// A worker has its full capacity after this time at the latest.
    pub warm_after: Span,
    /// A worker in slow start fails under more than this multiple of its current capacity ...
    pub fall_multiple: f64,
    /// ... if that lasts this long.
    pub fall_after: Span,
}

impl Default for Settings {
    /// One dispatcher, a pushed list, no tenants and no classes: a base to fill in.
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
