//! Runs the core: hands it inputs one at a time, carries out the effects it asks for, wakes it when a
//! timer is due and leads the program from its start to its end. It must never change the dispatcher's
//! state except through [`Core::step`], nor speak a wire: that is for what stands in `net`.

mod clock;
mod job;
mod links;
mod observer;
mod telling;
mod waiting;

pub use clock::{Clock, unix_now};
pub use job::Job;
pub use links::{DigestSource, Link, RunnerListSource};
pub use observer::Observer;
pub use waiting::ClientGuard;

use crate::core::{Answer, AttemptId, Core, Effect, Input, Ticket};
use crate::limits::Limits;
use crate::metrics::{AnswerKind, ClassMetrics, Metrics};
use sablerun as sr;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use telling::tell_of;
use tokio::sync::Notify;
use waiting::Waiting;

/// The core and what surrounds it.
pub struct Runtime {
    pub limits: Limits,
    pub clock: Clock,
    core: RefCell<Core<Rc<Job>>>,
    inputs: RefCell<VecDeque<Input<Rc<Job>>>>,
    stepping: Cell<bool>,
    links: RefCell<Vec<Rc<dyn Link>>>,
    roster: RefCell<Option<Rc<dyn RunnerListSource>>>,
    digests: RefCell<Option<Rc<dyn DigestSource>>>,
    waiting: RefCell<HashMap<Ticket, Waiting>>,
    /// The figures that the operators' door reads.
    pub metrics: Arc<Metrics>,
    /// The counters of each class, by number: found without the registry's lock.
    classes: RefCell<Vec<Arc<ClassMetrics>>>,
    /// Operators' calls under way, and what came of the last.
    handed: RefCell<Option<(u64, Result<(), &'static str>)>>,
    tickets: Cell<u64>,
    /// When the runners were last counted.
    counted: Cell<Instant>,
    retimed: Notify,
    stopping: Cell<bool>,
    /// The longest deadline of the settings in force.
    longest: Cell<Duration>,
    /// Who looks on: nobody, but where the lab plays dispatchers in its own process.
    observer: OnceCell<Rc<dyn Observer>>,
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
            digests: RefCell::default(),
            waiting: RefCell::default(),
            metrics: Arc::new(Metrics::default()),
            classes: RefCell::default(),
            handed: RefCell::default(),
            tickets: Cell::new(0),
            counted: Cell::new(Instant::now()),
            retimed: Notify::new(),
            stopping: Cell::new(false),
            longest: Cell::default(),
            observer: OnceCell::new(),
        })
    }

    /// Adds a way to runners; earlier ones are asked first.
    pub fn add_link(&self, link: Rc<dyn Link>) {
        self.links.borrow_mut().push(link);
    }

    pub fn set_list_source(&self, roster: Rc<dyn RunnerListSource>) {
        *self.roster.borrow_mut() = Some(roster);
    }

    /// Follows a digest with a frame each `every`, which is believed for so long after each.
    pub fn set_digest_source(&self, digests: Rc<dyn DigestSource>, every: sr::Span, silent: sr::Span) {
        self.core.borrow_mut().follow_digest(every, silent);
        *self.digests.borrow_mut() = Some(digests);
    }

    ///
    /// # Errors
    ///
    /// Why it was turned down: the runner was never listed.
    pub fn set_disabled(&self, runner: String, out: bool, shared: bool) -> Result<(), &'static str> {
        self.tickets.set(self.tickets.get() + 1);
        let call = self.tickets.get();
        self.feed(Input::SetDisabled { call, runner, disabled: out, from_peer: shared });
        match self.handed.borrow_mut().take() {
            Some((said, result)) if said == call => result,
            _ => Err("the call was not carried out: call again"),
        }
    }

    /// Hands the core an input. What happens while its effects are carried out waits its turn.
    pub fn feed(&self, input: Input<Rc<Job>>) {
        self.inputs.borrow_mut().push_back(input);
        if self.stepping.replace(true) {
            return;
        }
        let before = self.core.borrow().next_timer();
        let mut tells_of_runners = false;
        loop {
            let next = self.inputs.borrow_mut().pop_front();
            let Some(input) = next else { break };
            tells_of_runners |= matches!(input, Input::List(..) | Input::SetDisabled { .. });
            tell_of(&input);
            let effects = self.step(input);
            for effect in effects {
                self.carry_out(effect);
            }
        }
        self.stepping.set(false);
        Metrics::set(&self.metrics.current, self.core.borrow().open());
        if tells_of_runners || self.counted.get().elapsed() > self.limits.runner_count_interval {
            self.update_runner_metrics();
        }
        if self.core.borrow().next_timer() != before {
            self.retimed.notify_one();
        }
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
                        Answer::Served(_) => AnswerKind::Answered,
                        Answer::Refused(_) => AnswerKind::Deferred,
                        Answer::Failed(_) | Answer::Unfit(_) => AnswerKind::Errored,
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
                    let ending = crate::core::AttemptEnd::without_report(sr::Outcome::ConnectFailed);
                    self.feed(Input::AttemptEnded(attempt, ending));
                }
            },
            Effect::Cancel(attempt) => {
                log::debug!("attempt {}.{} given up", attempt.request, attempt.number);
                self.links.borrow().iter().for_each(|link| link.cancel(attempt));
            }
            Effect::Forget(attempt) => self.links.borrow().iter().for_each(|link| link.forget(attempt)),
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
            Effect::FetchDigest => {
                let digests = self.digests.borrow().clone();
                digests.into_iter().for_each(|digests| digests.fetch_full());
            }
            Effect::AdminResult { call, result } => *self.handed.borrow_mut() = Some((call, result)),
            Effect::CloseIdle(runner) => {
                if let Some(link) = self.link_to(&runner) {
                    link.close_idle(&runner);
                }
            }
        }
    }

    fn link_to(&self, runner: &str) -> Option<Rc<dyn Link>> {
        self.links.borrow().iter().find(|link| link.reaches(runner)).cloned()
    }

    /// Wakes the core whenever a timer is due; never ends.
    pub async fn run_timers(&self) {
        loop {
            let due = self.core.borrow().next_timer();
            match due {
                None => self.retimed.notified().await,
                Some(at) => {
                    let sleep = tokio::time::sleep_until(self.clock.instant(at).into());
                    tokio::select! {
                        () = sleep => self.feed(Input::TimerDue),
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
    pub fn begin_shutdown(&self) {
        self.stopping.set(true);
    }

    /// Requests that have no final answer yet.
    pub fn open(&self) -> usize {
        self.core.borrow().open()
    }

    /// Settings that are in force from now on: how long the program may take to end goes by them.
    pub fn update_longest_deadline(&self, settings: &sr::Settings) {
        let longest = settings.classes.iter().map(|class| class.deadline.0).max().unwrap_or(0);
        self.longest.set(Duration::from_nanos(longest));
    }

    /// For how long clients find everything as usual after SIGTERM, and when whatever is unanswered is
    /// answered and the program ends, by the settings in force now.
    pub fn shutdown_times(&self) -> (Duration, Duration) {
        self.limits.shutdown_times(self.longest.get())
    }
}
