//! Runs the core: hands it inputs one at a time, carries out the effects it asks for, wakes it when a
//! timer is due and leads the program from its start to its end. It owns the clock and the table of
//! who waits for which answer. It must never change the dispatcher's state except through
//! [`Core::step`], nor speak a wire: that is for what stands in `net`.

use crate::core::{Answer, Arrival, AttemptId, Core, Effect, Input, Key, Tally, Ticket};
use crate::figures::{ClassFigures, Counted, Figures};
use crate::limits::Limits;
use bytes::Bytes;
use sablerun as sr;
use sablerun_keys as keys;
use sha2::{Digest, Sha256};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{Notify, oneshot};

/// What is passed on of a request, the same for every wire.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Job {
    /// Path and query, unchanged.
    pub target: String,
    pub body: Bytes,
    /// The key under which runners drop repeats.
    pub key: Option<String>,
    pub content_type: Option<String>,
    pub class: String,
    pub tenant: Option<String>,
    /// Where its client named them: the queue it stands in, and the job as the client wrote it.
    pub queue: Option<String>,
    pub original: Option<Bytes>,
}

/// A client that waits for its answer; once dropped without it, the client has gone away.
pub struct Here {
    runtime: Rc<Runtime>,
    ticket: Ticket,
}

impl Here {
    pub fn new(runtime: &Rc<Runtime>, ticket: Ticket) -> Here {
        Here { runtime: runtime.clone(), ticket }
    }
}

impl Drop for Here {
    fn drop(&mut self) {
        self.runtime.client_gone(self.ticket);
    }
}

/// The system's time, since the Unix epoch.
pub fn unix_now() -> sr::Time {
    sr::Time(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64)
}

/// The program's clock: monotonic, and at its start the system's, so that other machines' times can
/// be read on it.
pub struct Clock {
    started: Instant,
    unix: u64,
}

impl Clock {
    pub fn new() -> Clock {
        Clock { started: Instant::now(), unix: unix_now().0 }
    }

    pub fn now(&self) -> sr::Time {
        sr::Time(self.unix + self.started.elapsed().as_nanos() as u64)
    }

    /// A moment of the clock as the runtime's timers know it.
    pub fn instant(&self, at: sr::Time) -> Instant {
        self.started + Duration::from_nanos(at.0.saturating_sub(self.unix))
    }

    /// A time in Unix milliseconds; 0 means long ago.
    pub fn unix_ms(&self, ms: u64) -> Option<sr::Time> {
        (ms > 0).then(|| sr::Time(ms.saturating_mul(1_000_000)))
    }
}

/// A way to runners: carries attempts to those that it knows.
pub trait Link {
    /// Whether this link leads to a runner.
    fn leads_to(&self, runner: &str) -> bool;
    /// Begins an attempt; tells the runtime how it ends.
    fn start(&self, attempt: AttemptId, id: Rc<str>, runner: &str, job: Rc<Job>, deadline: sr::Time);
    /// Stops waiting for an attempt and lets its runner know. Attempts that are not its own are ignored.
    fn give_up(&self, attempt: AttemptId);
    /// Lets go of an attempt that has ended.
    fn over(&self, attempt: AttemptId);
    /// Asks a runner for its load.
    fn probe(&self, runner: &str);
    /// Closes idle connections to a runner.
    fn release(&self, runner: &str);
}

/// The way to discovery.
pub trait Roster {
    /// Asks this address for changes from now on.
    fn subscribe(&self, at: SocketAddr);
    /// Asks this address for the whole list once.
    fn fetch(&self, at: SocketAddr);
}

/// Who waits for a ticket's answer, and the counters of its class.
type Waiting = (oneshot::Sender<Answer>, Arc<ClassFigures>);

/// The core and what surrounds it.
pub struct Runtime {
    pub limits: Limits,
    pub clock: Clock,
    core: RefCell<Core<Rc<Job>>>,
    inputs: RefCell<VecDeque<Input<Rc<Job>>>>,
    stepping: Cell<bool>,
    links: RefCell<Vec<Rc<dyn Link>>>,
    roster: RefCell<Option<Rc<dyn Roster>>>,
    waiting: RefCell<HashMap<Ticket, Waiting>>,
    /// The figures that the operators' door reads.
    pub figures: Arc<Figures>,
    /// The counters of each class, by number: found without the registry's lock.
    classes: RefCell<Vec<Arc<ClassFigures>>>,
    /// Operators' calls under way, and what came of the last.
    handed: RefCell<Option<(u64, Result<(), &'static str>)>>,
    tickets: Cell<u64>,
    /// When the runners were last counted.
    counted: Cell<Instant>,
    retimed: Notify,
    stopping: Cell<bool>,
}

impl Runtime {
    pub fn new(core: Core<Rc<Job>>, clock: Clock, limits: Limits) -> Rc<Runtime> {
        Rc::new(Runtime {
            limits,
            clock,
            core: RefCell::new(core),
            inputs: RefCell::default(),
            stepping: Cell::new(false),
            links: RefCell::default(),
            roster: RefCell::default(),
            waiting: RefCell::default(),
            figures: Arc::new(Figures::default()),
            classes: RefCell::default(),
            handed: RefCell::default(),
            tickets: Cell::new(0),
            counted: Cell::new(Instant::now()),
            retimed: Notify::new(),
            stopping: Cell::new(false),
        })
    }

    /// Adds a way to runners; earlier ones are asked first.
    pub fn add_link(&self, link: Rc<dyn Link>) {
        self.links.borrow_mut().push(link);
    }

    pub fn set_roster(&self, roster: Rc<dyn Roster>) {
        *self.roster.borrow_mut() = Some(roster);
    }

    /// Reads from the core's name tables.
    pub fn with_tables<T>(&self, read: impl FnOnce(&sablerun_settings::Tables) -> T) -> T {
        read(self.core.borrow().tables())
    }

    /// Reads the number and the terms of a class that clients may name now.
    pub fn with_class<T>(&self, name: &str, read: impl FnOnce(u32, &sr::Class) -> T) -> Option<T> {
        let core = self.core.borrow();
        core.class(self.clock.now(), name).map(|(number, class)| read(number, class))
    }

    /// The tenant that a client names, if it names a known one.
    ///
    /// # Errors
    ///
    /// It must name one and does not.
    pub fn tenant(&self, name: Option<&str>) -> Result<Option<u32>, ()> {
        let core = self.core.borrow();
        let tenant = name.and_then(|name| core.tables().tenants.get(name));
        if core.with_tenants() && tenant.is_none() { Err(()) } else { Ok(tenant) }
    }

    /// Whether an attempt may go out now.
    pub fn may_begin(&self, attempt: AttemptId) -> bool {
        self.core.borrow().may_begin(self.clock.now(), attempt)
    }

    /// Whether a request of this id is here.
    pub fn knows(&self, id: &str) -> bool {
        self.core.borrow().knows(id)
    }

    /// Reads from the keys that the core keeps, if it keeps any.
    pub fn with_keys<T>(&self, read: impl FnOnce(&Core<Rc<Job>>, &keys::Store) -> T) -> Option<T> {
        let core = self.core.borrow();
        core.keys().map(|store| read(&core, store))
    }

    /// A job's key, where keys are kept for its class: what it stands for is the job's path, query and
    /// body. Costs nothing where none are kept.
    pub fn key_of(&self, class: u32, job: &Job) -> Option<Key> {
        let text = job.key.as_deref().filter(|_| self.core.borrow().wants_key(class))?;
        let digest = Sha256::new().chain_update(&job.target).chain_update([0]).chain_update(&job.body);
        let digest: [u8; 32] = digest.finalize().into();
        let print = keys::Fingerprint(std::array::from_fn(|n| digest[n]));
        Some(Key { text: text.into(), print })
    }

    /// A ticket for a new request of a class, and where its answer will arrive.
    pub fn ticket(&self, class: u32) -> (Ticket, oneshot::Receiver<Answer>) {
        self.tickets.set(self.tickets.get() + 1);
        let ticket = Ticket(self.tickets.get());
        let (send, receive) = oneshot::channel();
        let figures = self.class_figures(class);
        self.waiting.borrow_mut().insert(ticket, (send, figures));
        (ticket, receive)
    }

    fn class_figures(&self, class: u32) -> Arc<ClassFigures> {
        let mut classes = self.classes.borrow_mut();
        while classes.len() <= class as usize {
            let name = self.with_tables(|tables| tables.classes.name(classes.len() as u32).to_owned());
            classes.push(self.figures.class(&name));
        }
        classes[class as usize].clone()
    }

    /// Shows the figures of every class from now on, those without a job yet too.
    pub fn show_classes(&self) {
        let all = self.with_tables(|tables| tables.classes.all().len());
        if let Some(last) = all.checked_sub(1) {
            self.class_figures(last as u32);
        }
    }

    /// An operator's call: takes a runner out by hand, or puts it back.
    ///
    /// # Errors
    ///
    /// Why it was turned down: the runner was never listed.
    pub fn hand(&self, runner: String, out: bool, shared: bool) -> Result<(), &'static str> {
        self.tickets.set(self.tickets.get() + 1);
        let call = self.tickets.get();
        self.feed(Input::Hand { call, runner, out, shared });
        match self.handed.borrow_mut().take() {
            Some((said, result)) if said == call => result,
            _ => Err("the call was not carried out: call again"),
        }
    }

    /// The client of a ticket has left; nothing happens if it was answered.
    pub fn client_gone(&self, ticket: Ticket) {
        if self.waiting.borrow_mut().remove(&ticket).is_some() {
            log::debug!("a client has left, ticket {}", ticket.0);
            self.feed(Input::ClientGone(ticket));
        }
    }

    /// Hands the core an input. What happens while its effects are carried out waits its turn.
    pub fn feed(&self, input: Input<Rc<Job>>) {
        self.inputs.borrow_mut().push_back(input);
        if self.stepping.replace(true) {
            return;
        }
        let before = self.core.borrow().due();
        let mut tells_of_runners = false;
        loop {
            let next = self.inputs.borrow_mut().pop_front();
            let Some(input) = next else { break };
            tells_of_runners |= matches!(input, Input::List(..) | Input::Hand { .. });
            match &input {
                Input::Arrived(arrival) => {
                    let Arrival { id, job, ticket, .. } = arrival;
                    log::debug!("request {id} of class {}, ticket {}", job.class, ticket.0);
                }
                Input::Ended(AttemptId { request, number }, ending) => {
                    log::debug!("attempt {request}.{number} ended: {:?}", ending.outcome);
                }
                Input::Told { id, from, ending } => {
                    let said = ending.report.unwrap_or_default();
                    let (errors, inflight) = (said.errors_per_s, said.inflight);
                    log::debug!(errors:?, inflight:?; "runner {from} ended {id}: {:?}", ending.outcome);
                }
                Input::Started { id, from } => log::debug!("runner {from} started {id}"),
                _ => {}
            }
            let effects = self.core.borrow_mut().step(self.clock.now(), input);
            for effect in effects {
                self.carry_out(effect);
            }
        }
        self.stepping.set(false);
        Figures::set(&self.figures.current, self.core.borrow().open());
        if tells_of_runners || self.counted.get().elapsed() > self.limits.count {
            self.count_runners();
        }
        if self.core.borrow().due() != before {
            self.retimed.notify_one();
        }
    }

    /// Brings the figures on runners up to date: what the module avoids changes with time alone too.
    pub fn count_runners(&self) {
        let (listed, avoided) = self.core.borrow().census();
        Figures::set(&self.figures.cluster_size, listed);
        Figures::set(&self.figures.cluster_unhealthy, avoided);
        self.counted.set(Instant::now());
    }

    fn carry_out(&self, effect: Effect<Rc<Job>>) {
        match effect {
            Effect::Answer(ticket, answer) => {
                if let Answer::Refused(_) | Answer::Failed(_) = answer {
                    log::debug!("ticket {}: {answer:?}", ticket.0);
                }
                let waiting = self.waiting.borrow_mut().remove(&ticket);
                if let Some((waiting, figures)) = waiting {
                    figures.count(match answer {
                        Answer::Served(_) => Counted::Answered,
                        Answer::Refused(_) => Counted::Deferred,
                        Answer::Failed(_) | Answer::Unfit(_) => Counted::Errored,
                    });
                    // Fails only if the client has just left: nobody is owed anything then.
                    let _ = waiting.send(answer);
                }
            }
            Effect::Start { attempt, id, runner, job, deadline } => match self.link_to(&runner) {
                Some(link) => {
                    let AttemptId { request, number } = attempt;
                    log::debug!("attempt {request}.{number} of {id}, {}, at {runner}", job.class);
                    link.start(attempt, id, &runner, job, deadline);
                }
                None => {
                    log::warn!("no way to runner {runner}: attempt not made");
                    let ending = crate::core::Ending::bare(sr::Outcome::ConnectFailed);
                    self.feed(Input::Ended(attempt, ending));
                }
            },
            Effect::GiveUp(attempt) => {
                log::debug!("attempt {}.{} given up", attempt.request, attempt.number);
                self.links.borrow().iter().for_each(|link| link.give_up(attempt));
            }
            Effect::Over(attempt) => self.links.borrow().iter().for_each(|link| link.over(attempt)),
            Effect::Subscribe(at) | Effect::Fetch(at) => {
                let roster = self.roster.borrow().clone();
                log::debug!("call for the list at {at}");
                match (roster, effect) {
                    (Some(roster), Effect::Subscribe(_)) => roster.subscribe(at),
                    (Some(roster), _) => roster.fetch(at),
                    (None, _) => {}
                }
            }
            Effect::Probe(runner) => {
                log::debug!("probe of {runner}");
                match self.link_to(&runner) {
                    Some(link) => link.probe(&runner),
                    None => self.feed(Input::Probed { runner, ok: false, report: None }),
                }
            }
            Effect::Handed { call, result } => *self.handed.borrow_mut() = Some((call, result)),
            Effect::Release(runner) => {
                if let Some(link) = self.link_to(&runner) {
                    link.release(&runner);
                }
            }
        }
    }

    fn link_to(&self, runner: &str) -> Option<Rc<dyn Link>> {
        self.links.borrow().iter().find(|link| link.leads_to(runner)).cloned()
    }

    /// Wakes the core whenever a timer is due; never ends.
    pub async fn keep_time(&self) {
        loop {
            let due = self.core.borrow().due();
            match due {
                None => self.retimed.notified().await,
                Some(at) => {
                    let sleep = tokio::time::sleep_until(self.clock.instant(at).into());
                    tokio::select! {
                        () = sleep => self.feed(Input::Due),
                        () = self.retimed.notified() => {}
                    }
                }
            }
        }
    }

    /// Whether the program has been told to end: connections are not kept any more.
    pub fn stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Begins the end: connections close after their answers.
    pub fn stop(&self) {
        self.stopping.set(true);
    }

    /// Waits until nothing taken is unanswered, `most` at the longest.
    pub async fn answered(&self, most: Duration) {
        let end = Instant::now() + most;
        while Instant::now() < end && self.core.borrow().open() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// The runners taken out by hand, by name.
    pub fn banned(&self) -> std::collections::BTreeSet<String> {
        self.core.borrow().banned().map(str::to_owned).collect()
    }

    /// What has been counted so far.
    pub fn tally(&self) -> Tally {
        self.core.borrow().tally()
    }

    /// A line for the log on what has been done so far.
    pub fn summary(&self) -> String {
        let core = self.core.borrow();
        let t = core.tally();
        let keys = core.keys().map_or(String::new(), |store| {
            let c = store.counts();
            format!(
                " unfit {} keys {} joined {} handed_back {} again {} spent {} unknown {} keys_full {}",
                t.unfit,
                store.len(),
                c.joined,
                c.handed_back,
                c.again,
                c.spent + c.not_kept,
                c.unknown,
                c.full + c.member_full
            )
        });
        format!(
            "taken {} served {} refused {} failed {} left {} attempts {} open {}{keys}",
            t.taken,
            t.served,
            t.refused,
            t.failed,
            t.left,
            t.attempts,
            core.open()
        )
    }
}
