//! The reducer: every change of the dispatcher's state is one [`Core::step`], with `(now, input)` in and
//! [`Effect`]s out. It guarantees that each request gets exactly one final answer, by its deadline, and
//! that a runner holds at most one attempt of a request at a time. Contains no I/O, reads no clock and knows
//! no wire format; scheduling decisions are the balancer's.

use sablerun as sr;
use sablerun_keys as keys;
use sablerun_settings::Tables;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

mod attempts;
mod balancer;
mod digest;
mod disabled;
mod idempotency;
mod input;
mod lists;
mod queries;
mod reconfigure;
mod requests;
mod timers;

pub use input::{
    Answer, Arrival, AttemptEnd, AttemptId, Effect, IdempotencyKey, Input, ListedRunner, PeerConflict,
    Source, Ticket,
};
pub use reconfigure::Reconfiguration;
use timers::Timer;

struct Attempt {
    runner: u32,
    live: bool,
    sent_at: sr::Time,
    /// False only if the attempt provably never ran.
    may_have_run: bool,
    /// What its runner may still report once the attempt has ended.
    late_report: LateReport,
}

/// What a runner may still report about an ended attempt: a report names the request, not the attempt.
#[derive(PartialEq)]
enum LateReport {
    /// Nothing: the attempt was answered, or never began.
    None,
    /// The same outcome again: a runner repeats its report until it is acknowledged.
    Repeat(sr::Outcome),
    /// Any outcome: the attempt was cancelled, or its connection broke.
    Any,
}

/// The idempotency key of a request that is not answered yet.
struct PendingKey {
    member: keys::Member,
    text: Rc<str>,
}

struct Request<J> {
    /// The waiting tickets with their deadlines: the first client's, and those of repeats that joined.
    waiters: Vec<(Ticket, sr::Time)>,
    id: Rc<str>,
    class: u32,
    /// The latest deadline of the waiting tickets.
    deadline: sr::Time,
    job: J,
    key: Option<PendingKey>,
    /// When an earlier try of the request, which may have run, was sent.
    prior_sent: Option<sr::Time>,
    answered: bool,
    attempts: Vec<Attempt>,
}

/// Counters for the log's summary line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// All requests that arrived, including those refused at once.
    pub taken: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    /// Clients that disconnected before their answer.
    pub left: u64,
    pub attempts: u64,
    /// Requests rejected as invalid ([`Answer::Unfit`]).
    pub unfit: u64,
}

/// The dispatcher's state.
pub struct Core<J> {
    balancer: sr::Balancer,
    /// The settings in force, with every class and tenant ever numbered at its index.
    settings: sr::Settings,
    tables: Tables,
    /// Classes that the settings no longer name, each with the time until which it is still accepted.
    removed_classes: HashMap<u32, sr::Time>,
    requires_tenant: bool,
    /// The address that serves the runner list.
    discovery: SocketAddr,
    /// Most requests open at once; further ones are refused before the balancer sees them.
    max_open: usize,
    /// Reports each request that is removed.
    report_removed: bool,
    next_request: u32,
    requests: HashMap<u32, Request<J>>,
    requests_by_id: HashMap<Rc<str>, u32>,
    requests_by_ticket: HashMap<Ticket, u32>,
    timers: BinaryHeap<Reverse<(sr::Time, u64, Timer)>>,
    timer_sequence: u64,
    /// When the program ends, once shutdown has begun.
    stop_at: Option<sr::Time>,
    /// The store of idempotency keys, if keys are enabled.
    keys: Option<keys::Store>,
    /// The load digest, if one is followed.
    digest: Option<digest::Digest>,
    /// The zone and cell of each runner, by number.
    locations: HashMap<u32, keys::Place>,
    /// The last list entry of each runner from each source.
    list_entries: BTreeMap<(Source, u32), sr::ListEntry>,
    /// Manually disabled runners: the balancer sees them as draining, whatever the lists say.
    disabled: BTreeSet<u32>,
    /// The listed runners, and since when each is excluded, if it is: disabled, or draining on every list that
    /// names it.
    listed_runners: BTreeMap<u32, Option<sr::Time>>,
    /// Events for the balancer that its own actions caused.
    pending_events: VecDeque<sr::Event>,
    actions: Vec<sr::Action>,
    effects: Vec<Effect<J>>,
    tally: Tally,
}

impl<J: Clone> Core<J> {
    /// Creates a dispatcher that gets its runner list from `discovery` and holds at most `max_open` requests.
    ///
    /// # Errors
    ///
    /// Names the invalid setting.
    pub fn new(
        settings: sr::Settings,
        tables: Tables,
        discovery: SocketAddr,
        seed: u64,
        now: sr::Time,
        max_open: usize,
    ) -> Result<Core<J>, sr::SettingsError> {
        Ok(Core {
            keys: None,
            digest: None,
            locations: HashMap::new(),
            balancer: sr::Balancer::new(settings.clone(), seed, now)?,
            requires_tenant: !settings.tenants.is_empty(),
            removed_classes: HashMap::new(),
            settings,
            tables,
            discovery,
            max_open,
            report_removed: false,
            next_request: 0,
            requests: HashMap::new(),
            requests_by_id: HashMap::new(),
            requests_by_ticket: HashMap::new(),
            timers: BinaryHeap::new(),
            timer_sequence: 0,
            stop_at: None,
            list_entries: BTreeMap::new(),
            disabled: BTreeSet::new(),
            listed_runners: BTreeMap::new(),
            pending_events: VecDeque::new(),
            actions: Vec::new(),
            effects: Vec::new(),
            tally: Tally::default(),
        })
    }

    /// Applies one input and returns the effects to execute, in order.
    pub fn step(&mut self, now: sr::Time, input: Input<J>) -> Vec<Effect<J>> {
        match input {
            Input::Arrived(arrival) => self.handle_arrival(now, arrival),
            Input::RuledOutByPeer(ticket, conflict) => self.handle_peer_conflict(ticket, conflict),
            Input::KeyMemory(bytes) => {
                if let Some(store) = &mut self.keys {
                    store.set_max_bytes(bytes);
                }
            }
            Input::ClientGone(ticket) => self.handle_client_gone(now, ticket),
            Input::Started { id, from } => self.handle_update(now, &id, &from, sr::AttemptUpdate::Started),
            Input::Progress { id, from, share } => {
                self.handle_update(now, &id, &from, sr::AttemptUpdate::Progress(share))
            }
            Input::Finished { id, from, end } => {
                if let Some(attempt) = self.live_attempt(&id, &from) {
                    self.handle_finished(now, attempt, end);
                }
            }
            Input::AttemptEnded(attempt, end) => {
                let answered = end.outcome.never_ran() || end.outcome == sr::Outcome::Error;
                self.end_attempt(
                    now,
                    attempt,
                    end,
                    if answered { LateReport::None } else { LateReport::Any },
                );
            }
            Input::RequestRejected(attempt) => self.handle_request_rejected(now, attempt),
            Input::Probed { runner, ok, report } => {
                if let Some(runner) = self.tables.workers.get(&runner) {
                    self.notify(now, sr::Event::Probed(sr::WorkerId(runner), ok, report));
                }
            }
            Input::Digest(frame) => self.handle_digest(now, &frame),
            Input::List(source, kind, listed) => self.handle_list(now, source, kind, listed),
            Input::ListFailed => self.notify(now, sr::Event::ListFailed),
            Input::ListSilent => self.notify(now, sr::Event::ListSilent),
            Input::Reconfigure(reconfiguration) => self.reconfigure(now, *reconfiguration),
            Input::DiscoveryMoved(address) => self.handle_discovery_moved(now, address),
            Input::RunnerReplaced { runner, successor } => self.handle_runner_replaced(&runner, &successor),
            Input::StopAt(at) => {
                self.stop_at = Some(at);
                self.set_timer(at, Timer::Stop);
            }
            Input::SetDisabled { call, runner, disabled, from_peer } => {
                let result = self.set_disabled(now, &runner, disabled, from_peer);
                self.effects.push(Effect::AdminResult { call, result });
            }
            Input::TimerDue => {}
        }
        self.run_timers(now);
        std::mem::take(&mut self.effects)
    }
}
