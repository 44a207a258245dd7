//! The reducer: every change of the dispatcher's state is one [`Core::step`], `(now, input)` in,
//! [`Effect`]s out. It owns the requests taken and not yet closed, their attempts, the timers and
//! the decision module, and sees to it that each request gets one final answer, by its deadline,
//! and that a runner holds one attempt of a request at a time. It must never touch a socket, read a
//! clock, know a wire or make a choice that is the module's: fronts and links do the talking.

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
mod reconfigure;
mod requests;
mod timers;

pub use input::{
    Answer, Arrival, AttemptEnd, AttemptId, Effect, IdempotencyKey, Input, ListedRunner, Source, Ticket,
};
pub use reconfigure::Reconfiguration;
use timers::Timer;

struct Attempt {
    runner: u32,
    live: bool,
    sent: sr::Time,
    /// Nothing proves that it never ran.
    may_have_run: bool,
    /// What may yet be heard of it, though it is over.
    echo: Echo,
}

/// What a runner may yet say of an attempt that is over: words name the request, not the attempt.
#[derive(PartialEq)]
enum Echo {
    /// It ended by an answer, or never began: nothing more is said.
    None,
    /// This word, again: its runner repeats a word until it hears that it was heard.
    Word(sr::Outcome),
    /// Whatever it has to say: it was given up, or its connection broke.
    Any,
}

/// A key that is under way with a request.
struct Held {
    member: keys::Member,
    text: Rc<str>,
}

struct Request<J> {
    /// Who waits for its answer, and for how long: its client, and those of repeats that joined.
    waiting: Vec<(Ticket, sr::Time)>,
    id: Rc<str>,
    class: u32,
    /// The last one's.
    deadline: sr::Time,
    job: J,
    key: Option<Held>,
    /// When an earlier try of it, which may have run, was sent.
    prior: Option<sr::Time>,
    answered: bool,
    attempts: Vec<Attempt>,
}

/// Counts for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub taken: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub left: u64,
    pub attempts: u64,
    /// Answered with a word that the client can't mean this.
    pub unfit: u64,
}

/// The dispatcher's state.
pub struct Core<J> {
    balancer: sr::Balancer,
    /// The settings in force: every class and tenant ever numbered, in place.
    settings: sr::Settings,
    tables: Tables,
    /// Classes that the settings no longer name, and until when they are taken still.
    vanished: HashMap<u32, sr::Time>,
    /// Whether a request must name its tenant.
    with_tenants: bool,
    /// Where the list is asked for.
    roster: SocketAddr,
    /// Most requests held at once; more are refused unseen.
    most: usize,
    next: u32,
    requests: HashMap<u32, Request<J>>,
    ids: HashMap<Rc<str>, u32>,
    tickets: HashMap<Ticket, u32>,
    timers: BinaryHeap<Reverse<(sr::Time, u64, Timer)>>,
    timers_set: u64,
    /// When the program ends, once it is told so.
    stop: Option<sr::Time>,
    /// The clients' keys, where they are kept.
    keys: Option<keys::Store>,
    /// The load digest, where one is followed.
    digest: Option<digest::Digest>,
    /// Where runners stand, by number.
    places: HashMap<u32, keys::Place>,
    /// What each source last said of its runners.
    lists: BTreeMap<(Source, u32), sr::ListEntry>,
    /// Runners taken out by hand: the module hears of them as draining, whatever the lists say.
    banned: BTreeSet<u32>,
    /// Runners listed, and whether each is out by hand or because it drains.
    standings: BTreeMap<u32, bool>,
    /// Events for the module that its own actions brought about.
    events: VecDeque<sr::Event>,
    actions: Vec<sr::Action>,
    effects: Vec<Effect<J>>,
    tally: Tally,
}

impl<J: Clone> Core<J> {
    /// A dispatcher that starts now, asks `roster` for its runners and holds `most` requests at once.
    ///
    /// # Errors
    ///
    /// Names the setting that makes no sense.
    pub fn new(
        settings: sr::Settings,
        tables: Tables,
        roster: SocketAddr,
        seed: u64,
        now: sr::Time,
        most: usize,
    ) -> Result<Core<J>, sr::SettingsError> {
        Ok(Core {
            keys: None,
            digest: None,
            places: HashMap::new(),
            balancer: sr::Balancer::new(settings.clone(), seed, now)?,
            with_tenants: !settings.tenants.is_empty(),
            vanished: HashMap::new(),
            settings,
            tables,
            roster,
            most,
            next: 0,
            requests: HashMap::new(),
            ids: HashMap::new(),
            tickets: HashMap::new(),
            timers: BinaryHeap::new(),
            timers_set: 0,
            stop: None,
            lists: BTreeMap::new(),
            banned: BTreeSet::new(),
            standings: BTreeMap::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
            effects: Vec::new(),
            tally: Tally::default(),
        })
    }

    /// The name tables, for fronts that check what clients name.
    pub fn tables(&self) -> &Tables {
        &self.tables
    }

    /// Whether a request of this id is here, answered or not.
    pub fn has_request(&self, id: &str) -> bool {
        self.ids.contains_key(id)
    }

    /// Requests that have no final answer yet.
    pub fn open(&self) -> usize {
        self.tickets.len()
    }

    /// Requests kept, answered or not, and the ids that runners know them by: none once nothing is under way.
    pub fn retained(&self) -> (usize, usize) {
        (self.requests.len(), self.ids.len())
    }

    /// What has been counted so far.
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// Takes one input and says what is to be done, in this order.
    pub fn step(&mut self, now: sr::Time, input: Input<J>) -> Vec<Effect<J>> {
        match input {
            Input::Arrived(arrival) => self.arrived(now, arrival),
            Input::ClientGone(ticket) => self.client_gone(now, ticket),
            Input::Started { id, from } => self.noted(now, &id, &from, sr::AttemptUpdate::Started),
            Input::Progress { id, from, share } => {
                self.noted(now, &id, &from, sr::AttemptUpdate::Progress(share))
            }
            Input::Finished { id, from, end: ending } => {
                if let Some(attempt) = self.live(&id, &from) {
                    self.told(now, attempt, ending);
                }
            }
            Input::AttemptEnded(attempt, ending) => {
                let answered = ending.outcome.never_ran() || ending.outcome == sr::Outcome::Error;
                self.ended(now, attempt, ending, if answered { Echo::None } else { Echo::Any });
            }
            Input::RequestRejected(attempt) => self.unusable(now, attempt),
            Input::Probed { runner, ok, report } => {
                if let Some(runner) = self.tables.workers.get(&runner) {
                    self.tell(now, sr::Event::Probed(sr::WorkerId(runner), ok, report));
                }
            }
            Input::Digest(frame) => self.digest(now, &frame),
            Input::List(source, kind, listed) => self.list(now, source, kind, listed),
            Input::ListFailed => self.tell(now, sr::Event::ListFailed),
            Input::ListSilent => self.tell(now, sr::Event::ListSilent),
            Input::Reconfigure(retune) => self.retune(now, *retune),
            Input::DiscoveryMoved(at) => {
                // At once, and not when the module next asks: it waits for the old watch to fall silent.
                if self.roster != at {
                    self.roster = at;
                    self.effects.push(Effect::Subscribe(at));
                    self.tell(now, sr::Event::DiscoveryMoved);
                }
            }
            Input::StopAt(at) => {
                self.stop = Some(at);
                self.set_timer(at, Timer::Stop);
            }
            Input::SetDisabled { call, runner, disabled: out, from_peer: shared } => {
                let result = self.hand(now, &runner, out, shared);
                self.effects.push(Effect::AdminResult { call, result });
            }
            Input::TimerDue => {}
        }
        self.run_timers(now);
        std::mem::take(&mut self.effects)
    }
}
