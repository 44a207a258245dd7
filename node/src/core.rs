//! The reducer: every change of the dispatcher's state is one [`Core::step`], `(now, input)` in,
//! [`Effect`]s out. It owns the requests taken and not yet closed, their attempts, the timers and
//! the decision module, and sees to it that each request gets one final answer, by its deadline,
//! and that a runner holds one attempt of a request at a time. It must never touch a socket, read a
//! clock, know a wire or make a choice that is the module's: fronts and links do the talking.

use bytes::Bytes;
use sablerun as sr;
use sablerun_keys as keys;
use sablerun_settings::Tables;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

mod hands;
#[cfg(test)]
mod model;
mod retune;

pub use retune::Retune;

/// Whoever waits for an answer: a number that a front made up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// An attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request, by the module's number.
    pub request: u32,
    /// The attempt's number, from 0.
    pub number: u32,
}

/// A request as a front hands it in. `J` is what links pass on; the core never looks into it.
#[derive(Clone, Debug)]
pub struct Arrival<J> {
    pub ticket: Ticket,
    /// Its id on the wires.
    pub id: Rc<str>,
    pub class: u32,
    pub tenant: Option<u32>,
    /// When the client gives up.
    pub deadline: sr::Time,
    pub slots: f64,
    pub memory: f64,
    pub estimate: sr::Span,
    pub retry: bool,
    /// The client's key, where keys are kept for its class.
    pub key: Option<Key>,
    pub job: J,
}

/// A client's key for a request, and what it stands for.
#[derive(Clone, Debug, PartialEq)]
pub struct Key {
    pub text: Rc<str>,
    pub print: keys::Fingerprint,
}

/// Who tells of runners: a whole list from one source says nothing of the others' runners.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Source {
    Discovery,
    /// Runners that connected to a front by themselves.
    Callers,
}

/// A runner as a list names it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub name: String,
    pub zone: String,
    pub kind: String,
    pub cell: u32,
    pub standing: sr::Standing,
    pub size: f64,
    pub up_since: Option<sr::Time>,
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// What a runner made.
    Served(Bytes),
    /// Trying again is harmless, but not before this has passed.
    Refused(sr::Span),
    /// Nothing is promised.
    Failed(&'static str),
    /// It was never taken: the client can't mean this.
    Unfit(&'static str),
}

/// How an attempt ended, as a link saw it.
#[derive(Clone, Debug)]
pub struct Ending {
    pub outcome: sr::Outcome,
    /// What the runner made, where it served.
    pub result: Bytes,
    pub report: Option<sr::Report>,
}

impl Ending {
    /// An end without result or report.
    pub fn bare(outcome: sr::Outcome) -> Ending {
        Ending { outcome, result: Bytes::new(), report: None }
    }
}

/// What has happened.
#[derive(Clone, Debug)]
pub enum Input<J> {
    Arrived(Arrival<J>),
    /// The client has left before its answer.
    ClientGone(Ticket),
    /// A runner tells that a job has started, by the request's id and its own name.
    Started {
        id: String,
        from: String,
    },
    /// A runner tells how far a job is.
    Progress {
        id: String,
        from: String,
        share: f64,
    },
    /// A runner tells how a job ended.
    Told {
        id: String,
        from: String,
        ending: Ending,
    },
    /// A link saw an attempt end.
    Ended(AttemptId, Ending),
    /// A runner can't use the request of an attempt.
    Unusable(AttemptId),
    Probed {
        runner: String,
        ok: bool,
        report: Option<sr::Report>,
    },
    List(Source, sr::ListKind, Vec<Listed>),
    /// A call for the list failed or its watch broke.
    ListFailed,
    /// Nothing comes over the watch any more, not even a sign of life.
    ListSilent,
    /// New settings hold from now on.
    Retune(Box<Retune>),
    /// The list is to be asked for at this address from now on.
    RosterAt(SocketAddr),
    /// The program ends then: whatever is unanswered by that time is answered.
    StopAt(sr::Time),
    /// An operator takes a runner out by hand (`out`), or puts it back; `call` is told with the result.
    /// A call that the other process of an upgrade took (`shared`) may name a runner not listed here yet.
    Hand {
        call: u64,
        runner: String,
        out: bool,
        shared: bool,
    },
    /// Time has passed: a timer may be due.
    Due,
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Effect<J> {
    Answer(Ticket, Answer),
    Start {
        attempt: AttemptId,
        id: Rc<str>,
        runner: String,
        job: J,
        deadline: sr::Time,
    },
    /// Stop waiting for an attempt and let its runner know.
    GiveUp(AttemptId),
    /// An attempt has ended by itself: whatever a link holds of it can go.
    Over(AttemptId),
    /// Ask there for the list and its changes from now on.
    Subscribe(SocketAddr),
    /// Ask there for the whole list once.
    Fetch(SocketAddr),
    Probe(String),
    Release(String),
    /// What came of an operator's call to take a runner out or put it back.
    Handed {
        call: u64,
        result: Result<(), &'static str>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Module(u64),
    Deadline(u32),
    Stop,
}

struct Attempt {
    runner: u32,
    live: bool,
    sent: sr::Time,
    /// Nothing proves that it never ran.
    may_have_run: bool,
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
    /// An earlier try of it may have run.
    bound: bool,
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

    /// Keeps clients' keys from now on.
    pub fn keep_keys(&mut self, store: keys::Store) {
        self.keys = Some(store);
    }

    /// Whether a client's key counts for this class: where a repeat may do harm.
    pub fn wants_key(&self, class: u32) -> bool {
        let class = self.settings.classes.get(class as usize);
        self.keys.is_some() && class.is_some_and(|class| class.effect != sr::Effect::Safe)
    }

    /// The keys, where they are kept.
    pub fn keys(&self) -> Option<&keys::Store> {
        self.keys.as_ref()
    }

    /// Where a request under way may have run so far; for a snapshot of the keys.
    pub fn sent(&self, run: keys::Run) -> Option<keys::Sent> {
        self.requests.get(&(run.0 as u32)).and_then(|request| self.sent_of(request))
    }

    /// How long whoever is refused unseen is to stay away.
    fn hold_off(&self) -> sr::Span {
        let shortest = self.settings.classes.iter().map(|class| class.objective).min();
        self.settings.max_hold_off.min(shortest.unwrap_or_default())
    }

    /// The name tables, for fronts that check what clients name.
    pub fn tables(&self) -> &Tables {
        &self.tables
    }

    /// Whether a request of this id is here, answered or not.
    pub fn knows(&self, id: &str) -> bool {
        self.ids.contains_key(id)
    }

    /// Requests that have no final answer yet.
    pub fn open(&self) -> usize {
        self.tickets.len()
    }

    /// What has been counted so far.
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// When the next timer is due.
    pub fn due(&self) -> Option<sr::Time> {
        self.timers.peek().map(|Reverse((at, ..))| *at)
    }

    /// Takes one input and says what is to be done, in this order.
    pub fn step(&mut self, now: sr::Time, input: Input<J>) -> Vec<Effect<J>> {
        match input {
            Input::Arrived(arrival) => self.arrived(now, arrival),
            Input::ClientGone(ticket) => self.client_gone(now, ticket),
            Input::Started { id, from } => self.noted(now, &id, &from, sr::Note::Started),
            Input::Progress { id, from, share } => self.noted(now, &id, &from, sr::Note::Progress(share)),
            Input::Told { id, from, ending } => {
                if let Some(attempt) = self.live(&id, &from) {
                    self.ended(now, attempt, ending);
                }
            }
            Input::Ended(attempt, ending) => self.ended(now, attempt, ending),
            Input::Unusable(attempt) => self.unusable(now, attempt),
            Input::Probed { runner, ok, report } => {
                if let Some(runner) = self.tables.workers.get(&runner) {
                    self.tell(now, sr::Event::Probed(sr::WorkerId(runner), ok, report));
                }
            }
            Input::List(source, kind, listed) => self.list(now, source, kind, listed),
            Input::ListFailed => self.tell(now, sr::Event::ListFailed),
            Input::ListSilent => self.tell(now, sr::Event::ListSilent),
            Input::Retune(retune) => self.retune(now, *retune),
            Input::RosterAt(at) => {
                // At once, and not when the module next asks: it waits for the old watch to fall silent.
                if self.roster != at {
                    self.roster = at;
                    self.effects.push(Effect::Subscribe(at));
                }
            }
            Input::StopAt(at) => {
                self.stop = Some(at);
                self.set_timer(at, Timer::Stop);
            }
            Input::Hand { call, runner, out, shared } => {
                let result = self.hand(now, &runner, out, shared);
                self.effects.push(Effect::Handed { call, result });
            }
            Input::Due => {}
        }
        self.run_timers(now);
        std::mem::take(&mut self.effects)
    }

    fn arrived(&mut self, now: sr::Time, arrival: Arrival<J>) {
        self.tally.taken += 1;
        let Arrival { ticket, id, class, tenant, deadline, slots, memory, estimate, retry, key, job } =
            arrival;
        if self.tickets.len() >= self.most {
            // Nothing of it has run: a refusal is safe for every class.
            return self.at_once(ticket, Answer::Refused(self.hold_off()));
        }
        // Runners tell requests apart by their ids: a second one under a live id can't be sent.
        let twin = self.ids.get(&id).and_then(|twin| self.requests.get(twin));
        let same_key = |twin: &Request<J>| match (&twin.key, &key) {
            (Some(held), Some(key)) => held.text == key.text && !twin.answered,
            _ => false,
        };
        if twin.is_some_and(|twin| !same_key(twin)) {
            return self.at_once(ticket, Answer::Failed("a request with this id is under way"));
        }
        // Nobody answers after the end.
        let deadline = self.stop.map_or(deadline, |stop| deadline.min(stop));
        let number = self.next;
        let member = tenant.map_or(keys::Member::NONE, keys::Member);
        let mut prior = None;
        if let (Some(store), Some(key)) = (&mut self.keys, &key) {
            let asked = keys::Asked { member, class, key: key.text.as_bytes(), print: key.print, retry };
            match store.ask(now, &asked, keys::Run(number.into())) {
                keys::Admission::New => {}
                keys::Admission::Again(sent) => {
                    let place = sent.place.unwrap_or(keys::Place { zone: u32::MAX, cell: 0 });
                    prior = Some(sr::Prior { zone: place.zone(), cell: place.cell, sent: sent.first });
                }
                keys::Admission::Join(run) => return self.join(now, run.0 as u32, ticket, deadline),
                other => {
                    let answer = self.turned(other);
                    return self.at_once(ticket, answer);
                }
            }
        }
        self.next = self.next.wrapping_add(1);
        self.ids.insert(id.clone(), number);
        self.tickets.insert(ticket, number);
        let key = key.filter(|_| self.keys.is_some()).map(|key| Held { member, text: key.text });
        let (waiting, attempts) = (vec![(ticket, deadline)], Vec::new());
        let (bound, answered) = (prior.is_some(), false);
        let request = Request { waiting, id, class, deadline, job, key, bound, answered, attempts };
        self.requests.insert(number, request);
        self.set_timer(deadline, Timer::Deadline(number));
        let arrival = sr::Arrival {
            request: sr::RequestId(number),
            class: sr::ClassId(class),
            tenant: tenant.map(sr::TenantId),
            deadline,
            slots,
            memory,
            estimate,
            retry,
            prior,
        };
        self.tell(now, sr::Event::Arrival(arrival));
    }

    /// The answer to a request whose key lets it neither begin nor join.
    fn turned(&self, admission: keys::Admission) -> Answer {
        use keys::Admission::*;
        match admission {
            HandBack(result) => Answer::Served(result),
            Full(wait) => Answer::Refused(wait.min(self.settings.max_hold_off)),
            Spent => {
                Answer::Failed("an earlier try under this key may have run, and a repeat could run again")
            }
            NotKept => {
                Answer::Failed("an earlier try under this key was served, but its result was not kept")
            }
            Conflict => {
                Answer::Unfit("the idempotency key stands for another request: its path or body differs")
            }
            BadKey => Answer::Unfit("the idempotency key is empty or too long"),
            Unknown => Answer::Failed("an earlier try may have run before this dispatcher started"),
            // Those begin or join: nobody is turned away by them.
            New | Again(_) | Join(_) => Answer::Failed("an earlier try under this key has just ended"),
        }
    }

    /// Answers a ticket, which waits no more.
    fn at_once(&mut self, ticket: Ticket, answer: Answer) {
        match answer {
            Answer::Served(_) => self.tally.served += 1,
            Answer::Refused(_) => self.tally.refused += 1,
            Answer::Failed(_) => self.tally.failed += 1,
            Answer::Unfit(_) => self.tally.unfit += 1,
        }
        self.effects.push(Effect::Answer(ticket, answer));
    }

    /// A repeat waits for the answer of the request under way, each client by its own deadline.
    fn join(&mut self, now: sr::Time, request: u32, ticket: Ticket, deadline: sr::Time) {
        let Some(held) = self.requests.get_mut(&request).filter(|held| !held.answered) else {
            // A key is under way only with a request that is not answered: this is for nobody to meet.
            return self.at_once(ticket, Answer::Failed("an earlier try under this key has just ended"));
        };
        held.waiting.push((ticket, deadline));
        let later = deadline > held.deadline;
        held.deadline = held.deadline.max(deadline);
        self.tickets.insert(ticket, request);
        self.set_timer(deadline, Timer::Deadline(request));
        if later {
            self.tell(now, sr::Event::Extended(sr::RequestId(request), deadline));
        }
    }

    /// A client has left: its request goes on while others wait for it.
    fn client_gone(&mut self, now: sr::Time, ticket: Ticket) {
        let Some(request) = self.tickets.remove(&ticket) else { return };
        self.tally.left += 1;
        let Some(held) = self.requests.get_mut(&request) else { return };
        held.waiting.retain(|(waiting, _)| *waiting != ticket);
        if held.waiting.is_empty() {
            self.answered(now, request, None);
            self.tell(now, sr::Event::Closed(sr::RequestId(request)));
            self.forget(request);
        }
    }

    /// The sendings of a request that may have run.
    fn sent_of(&self, request: &Request<J>) -> Option<keys::Sent> {
        let ran = request.attempts.iter().filter(|attempt| attempt.may_have_run);
        let sent = ran.map(|attempt| {
            let place = self.places.get(&attempt.runner).copied().map(|place| {
                // Only as much of it as tells halls apart that drop a repeat for each other.
                match self.settings.classes[request.class as usize].effect {
                    sr::Effect::Keyed(sr::Group::All) => keys::Place { zone: 0, cell: 0 },
                    sr::Effect::Keyed(sr::Group::Zone) => keys::Place { cell: 0, ..place },
                    sr::Effect::Keyed(sr::Group::Cell) | sr::Effect::Safe | sr::Effect::Unsafe => place,
                }
            });
            keys::Sent::once(place, attempt.sent)
        });
        sent.reduce(keys::Sent::and)
    }

    /// The live attempt that a runner's word is about. Guards against words that are late, repeated or
    /// about an attempt given up: id and name must both match one that is still out.
    fn live(&self, id: &str, from: &str) -> Option<AttemptId> {
        let (&request, runner) = (self.ids.get(id)?, self.tables.workers.get(from)?);
        let attempts = &self.requests.get(&request)?.attempts;
        let number = attempts.iter().position(|a| a.live && a.runner == runner)?;
        Some(AttemptId { request, number: number as u32 })
    }

    fn noted(&mut self, now: sr::Time, id: &str, from: &str, note: sr::Note) {
        if let Some(AttemptId { request, number }) = self.live(id, from) {
            self.tell(now, sr::Event::Noted(sr::RequestId(request), number, note));
        }
    }

    fn ended(&mut self, now: sr::Time, attempt: AttemptId, ending: Ending) {
        let request = self.requests.get_mut(&attempt.request);
        let out = request.and_then(|r| r.attempts.get_mut(attempt.number as usize));
        let Some(out) = out.filter(|a| a.live) else { return };
        (out.live, out.may_have_run) = (false, !ending.outcome.never_ran());
        self.effects.push(Effect::Over(attempt));
        if ending.outcome == sr::Outcome::Ok {
            self.answer(now, attempt.request, Answer::Served(ending.result));
        }
        let closed = self.requests[&attempt.request].answered;
        self.tell(
            now,
            sr::Event::Ended {
                request: sr::RequestId(attempt.request),
                attempt: attempt.number,
                outcome: ending.outcome,
                closed,
                report: ending.report,
            },
        );
        self.forget(attempt.request);
    }

    /// The request itself is at fault: no other runner could use it either, and none is to blame. Guards
    /// against bad clients that spoil what the module thinks of a runner.
    fn unusable(&mut self, now: sr::Time, attempt: AttemptId) {
        let request = self.requests.get_mut(&attempt.request);
        let out = request.and_then(|r| r.attempts.get_mut(attempt.number as usize));
        let Some(out) = out.filter(|a| a.live) else { return };
        out.live = false;
        self.effects.push(Effect::Over(attempt));
        self.answer(now, attempt.request, Answer::Failed("the runner can't use the request"));
        self.end_for_module(attempt.request, attempt.number, sr::Outcome::Moot);
        self.tell_events(now);
        self.forget(attempt.request);
    }

    /// Gives the final answer to all who wait, unless there has been one.
    fn answer(&mut self, now: sr::Time, request: u32, answer: Answer) {
        let Some(held) = self.requests.get_mut(&request).filter(|r| !r.answered) else { return };
        let waiting = std::mem::take(&mut held.waiting);
        for (ticket, _) in waiting {
            self.tickets.remove(&ticket);
            self.at_once(ticket, answer.clone());
        }
        let result = if let Answer::Served(result) = answer { Some(result) } else { None };
        self.answered(now, request, result);
    }

    /// Nobody waits any more; what is known of the key is kept.
    fn answered(&mut self, now: sr::Time, request: u32, result: Option<Bytes>) {
        let Some(held) = self.requests.get_mut(&request) else { return };
        held.answered = true;
        let Some(key) = held.key.take() else { return };
        let held = &self.requests[&request];
        let fate = match (result, self.sent_of(held)) {
            (Some(result), _) => keys::Fate::Served(result),
            (None, Some(sent)) => keys::Fate::MayHaveRun(sent),
            (None, None) => keys::Fate::NeverRan,
        };
        if let Some(store) = &mut self.keys {
            store.settle(now, key.member, held.class, key.text.as_bytes(), fate);
        }
    }

    /// Drops a request that is answered and has no attempt out.
    fn forget(&mut self, request: u32) {
        if self.requests.get(&request).is_some_and(|r| r.answered && r.attempts.iter().all(|a| !a.live)) {
            let held = self.requests.remove(&request).expect("looked up above");
            self.ids.remove(&held.id);
        }
    }

    fn list(&mut self, now: sr::Time, source: Source, kind: sr::ListKind, listed: Vec<Listed>) {
        let mut changed: Vec<sr::ListEntry> = Vec::with_capacity(listed.len());
        for runner in listed {
            let worker = self.tables.workers.number(&runner.name);
            let zone = self.tables.zones.number(&runner.zone);
            self.places.insert(worker, keys::Place { zone, cell: runner.cell });
            changed.push(sr::ListEntry {
                worker: sr::WorkerId(worker),
                zone: sr::ZoneId(zone),
                kind: sr::KindId(self.tables.kinds.number(&runner.kind)),
                cell: runner.cell,
                standing: runner.standing,
                size: runner.size,
                up_since: runner.up_since,
            });
        }
        if kind == sr::ListKind::Delta {
            for entry in &changed {
                let key = (source, entry.worker.0);
                match entry.standing {
                    sr::Standing::Gone => self.lists.remove(&key),
                    _ => self.lists.insert(key, entry.clone()),
                };
            }
        } else {
            // Whole for its source alone: the others' runners stay on the list.
            self.lists.retain(|(from, _), _| *from != source);
            self.lists.extend(changed.iter().map(|entry| ((source, entry.worker.0), entry.clone())));
            changed
                .extend(self.lists.iter().filter(|((from, _), _)| *from != source).map(|(_, e)| e.clone()));
        }
        self.count_runners();
        let changed = self.as_told(changed);
        self.tell(now, sr::Event::List(kind, changed));
    }

    fn set_timer(&mut self, at: sr::Time, timer: Timer) {
        self.timers_set += 1;
        self.timers.push(Reverse((at, self.timers_set, timer)));
    }

    fn run_timers(&mut self, now: sr::Time) {
        // Timers that the due ones set wait for the next step, so that a step always ends.
        let mut due = Vec::new();
        while let Some(&Reverse((at, _, timer))) = self.timers.peek()
            && at <= now
        {
            self.timers.pop();
            due.push(timer);
        }
        for timer in due {
            match timer {
                Timer::Module(token) => self.tell(now, sr::Event::Timer(token)),
                Timer::Deadline(request) => self.overdue(now, request, false),
                Timer::Stop => {
                    let mut open: Vec<u32> = self.requests.keys().copied().collect();
                    open.sort_unstable();
                    open.into_iter().for_each(|request| self.overdue(now, request, true));
                }
            }
        }
    }

    /// The client's deadline, or the program's end: whatever the module says, the client hears now, and
    /// what is still out has timed out. The answer comes first: the module must not try again on a
    /// time-out that it hears of here.
    fn overdue(&mut self, now: sr::Time, request: u32, stopped: bool) {
        let hold_off = self.hold_off();
        if let Some(held) = self.requests.get_mut(&request).filter(|r| !r.answered) {
            // What was never sent can be tried again by any class.
            let answer = match held.attempts.is_empty() && !held.bound {
                true => Answer::Refused(hold_off),
                false => Answer::Failed("not done by the deadline"),
            };
            let ends = |(_, deadline): &mut (Ticket, sr::Time)| *deadline <= now || stopped;
            let due: Vec<_> = held.waiting.extract_if(.., ends).collect();
            let others = !held.waiting.is_empty();
            for (ticket, _) in due {
                self.tickets.remove(&ticket);
                self.at_once(ticket, answer.clone());
            }
            if others {
                return;
            }
            self.answered(now, request, None);
            self.tell(now, sr::Event::Closed(sr::RequestId(request)));
        }
        let Some(held) = self.requests.get_mut(&request) else { return };
        let mut out = Vec::new();
        for (number, attempt) in held.attempts.iter_mut().enumerate().filter(|(_, a)| a.live) {
            attempt.live = false;
            out.push(number as u32);
        }
        for number in out {
            self.effects.push(Effect::GiveUp(AttemptId { request, number }));
            self.end_for_module(request, number, sr::Outcome::Timeout);
        }
        self.tell_events(now);
        self.forget(request);
    }

    /// Tells the module, carries out what it asks for, and tells it what came of that.
    fn tell(&mut self, now: sr::Time, event: sr::Event) {
        self.events.push_back(event);
        self.tell_events(now);
    }

    fn tell_events(&mut self, now: sr::Time) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(now, action);
            }
            self.actions = actions;
        }
    }

    fn act(&mut self, now: sr::Time, action: sr::Action) {
        match action {
            sr::Action::Send(id, worker) => self.start(now, id.0, worker.0),
            sr::Action::Cancel(id, number) => {
                let request = self.requests.get_mut(&id.0);
                let attempt = request.and_then(|r| r.attempts.get_mut(number as usize));
                if let Some(attempt) = attempt.filter(|a| a.live) {
                    attempt.live = false;
                    self.effects.push(Effect::GiveUp(AttemptId { request: id.0, number }));
                    self.end_for_module(id.0, number, sr::Outcome::Cancelled);
                    self.forget(id.0);
                }
            }
            sr::Action::Refuse(id, hold_off) => {
                self.answer(now, id.0, Answer::Refused(hold_off));
                self.forget(id.0);
            }
            sr::Action::Fail(id) => {
                self.answer(now, id.0, Answer::Failed("no attempt was answered in time"));
                self.forget(id.0);
            }
            sr::Action::Timer(at, token) => self.set_timer(at, Timer::Module(token)),
            sr::Action::Subscribe => self.effects.push(Effect::Subscribe(self.roster)),
            sr::Action::Fetch => self.effects.push(Effect::Fetch(self.roster)),
            sr::Action::Probe(worker) => {
                self.effects.push(Effect::Probe(self.tables.workers.name(worker.0).to_owned()));
            }
            sr::Action::Release(worker) => {
                self.effects.push(Effect::Release(self.tables.workers.name(worker.0).to_owned()));
            }
        }
    }

    fn start(&mut self, now: sr::Time, request: u32, runner: u32) {
        let Some(held) = self.requests.get_mut(&request) else {
            self.end_for_module(request, 0, sr::Outcome::Moot);
            return;
        };
        let number = held.attempts.len() as u32;
        // A runner gets one attempt of a request at a time.
        let there = held.attempts.iter().any(|a| a.live && a.runner == runner);
        let moot = there || held.answered;
        held.attempts.push(Attempt { runner, live: !moot, sent: now, may_have_run: !moot });
        if moot {
            self.end_for_module(request, number, sr::Outcome::Moot);
            return;
        }
        self.tally.attempts += 1;
        self.effects.push(Effect::Start {
            attempt: AttemptId { request, number },
            id: held.id.clone(),
            runner: self.tables.workers.name(runner).to_owned(),
            job: held.job.clone(),
            deadline: held.deadline,
        });
    }

    fn end_for_module(&mut self, request: u32, attempt: u32, outcome: sr::Outcome) {
        let closed = self.requests.get(&request).is_none_or(|r| r.answered);
        let request = sr::RequestId(request);
        self.events.push_back(sr::Event::Ended { request, attempt, outcome, closed, report: None });
    }
}
