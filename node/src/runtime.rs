//! Runs the core: feeds it inputs one at a time, applies its effects, wakes it when a timer is due and holds
//! the shutdown state. The dispatcher's state changes only through [`Core::step`]; protocols are in `net`.

mod clock;
mod job;
mod links;
mod observer;
mod peers;
mod reporting;
mod shutdown;
mod tickets;

pub use clock::{Clock, unix_now};
pub use job::Job;
pub use links::{DigestSource, Link, RunnerListSource};
pub use observer::Observer;
pub use tickets::ClientGuard;

use crate::core::{Answer, AttemptId, Core, Effect, Input, Ticket};
use crate::limits::Limits;
use crate::memory::MemoryBudget;
use crate::metrics::{AnswerKind, ClassMetrics, Metrics};
use crate::shared::{SharedFile, SharedResources};
use reporting::log_input;
use sablerun as sr;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tickets::Waiter;
use tokio::sync::Notify;

/// The core with its links, timers, waiting clients and metrics.
pub struct Runtime {
    pub limits: Limits,
    pub clock: Clock,
    /// The memory for messages of the platform's clients and runners.
    pub memory: MemoryBudget,
    /// The limits that the other process of a replacement shares.
    pub resources: SharedResources,
    core: RefCell<Core<Rc<Job>>>,
    pending_inputs: RefCell<VecDeque<Input<Rc<Job>>>>,
    stepping: Cell<bool>,
    links: RefCell<Vec<Rc<dyn Link>>>,
    list_source: RefCell<Option<Rc<dyn RunnerListSource>>>,
    digest_source: RefCell<Option<Rc<dyn DigestSource>>>,
    waiters: RefCell<HashMap<Ticket, Waiter>>,
    /// The metrics that the admin socket serves.
    pub metrics: Arc<Metrics>,
    /// The counters of each class, by number, for access without the registry's lock.
    metrics_by_class: RefCell<Vec<Arc<ClassMetrics>>>,
    /// The number and the result of the last operator's call.
    admin_result: RefCell<Option<(u64, Result<(), &'static str>)>>,
    /// The last number given to a ticket or an operator's call.
    last_ticket: Cell<u64>,
    runners_counted_at: Cell<Instant>,
    timer_changed: Notify,
    stopping: Cell<bool>,
    /// The longest deadline of the settings in force.
    longest_deadline: Cell<Duration>,
    /// Set only where the lab runs dispatchers in its own process.
    observer: OnceCell<Rc<dyn Observer>>,
}

impl Runtime {
    pub fn new(core: Core<Rc<Job>>, clock: Clock, limits: Limits) -> Rc<Runtime> {
        Runtime::with_shared(core, clock, limits, None)
    }

    /// Creates a runtime that shares its limits with the other processes that use the file.
    pub fn with_shared(
        mut core: Core<Rc<Job>>,
        clock: Clock,
        limits: Limits,
        file: Option<Arc<SharedFile>>,
    ) -> Rc<Runtime> {
        let resources = SharedResources::new(&limits, file);
        if resources.request_ids.is_some() {
            core.report_removed_requests();
        }
        let message_memory = resources.message_memory.clone();
        Rc::new(Runtime {
            memory: MemoryBudget::with_quota(message_memory, limits.evict_from_memory_after),
            limits,
            resources,
            clock,
            core: RefCell::new(core),
            pending_inputs: RefCell::default(),
            stepping: Cell::new(false),
            links: RefCell::default(),
            list_source: RefCell::default(),
            digest_source: RefCell::default(),
            waiters: RefCell::default(),
            metrics: Arc::new(Metrics::default()),
            metrics_by_class: RefCell::default(),
            admin_result: RefCell::default(),
            last_ticket: Cell::new(0),
            runners_counted_at: Cell::new(Instant::now()),
            timer_changed: Notify::new(),
            stopping: Cell::new(false),
            longest_deadline: Cell::default(),
            observer: OnceCell::new(),
        })
    }

    /// Disables or enables a runner manually. `from_peer`: the other process of an upgrade accepted the call.
    ///
    /// # Errors
    ///
    /// The runner was never listed.
    pub fn set_disabled(&self, runner: String, disabled: bool, from_peer: bool) -> Result<(), &'static str> {
        self.last_ticket.set(self.last_ticket.get() + 1);
        let call = self.last_ticket.get();
        self.feed(Input::SetDisabled { call, runner, disabled, from_peer });
        match self.admin_result.borrow_mut().take() {
            Some((number, result)) if number == call => result,
            _ => Err("the call was not carried out: call again"),
        }
    }

    /// Feeds the core an input and applies the effects. Inputs that arrive meanwhile are queued.
    pub fn feed(&self, input: Input<Rc<Job>>) {
        self.pending_inputs.borrow_mut().push_back(input);
        if self.stepping.replace(true) {
            return;
        }
        let before = self.core.borrow().next_timer();
        let mut runners_changed = false;
        loop {
            let next = self.pending_inputs.borrow_mut().pop_front();
            let Some(input) = next else { break };
            runners_changed |= matches!(input, Input::List(..) | Input::SetDisabled { .. });
            log_input(&input);
            let input = self.claim_for(input);
            let arrived = match &input {
                Input::Arrived(arrival) => Some(arrival.id.clone()),
                _ => None,
            };
            let effects = self.step(input);
            for effect in effects {
                self.apply_effect(effect);
            }
            // A request that was answered at once, or joined another one, needs no id.
            arrived.iter().for_each(|id| self.release_id(id));
        }
        self.release_open_requests();
        self.stepping.set(false);
        Metrics::set(&self.metrics.current, self.core.borrow().open());
        if runners_changed || self.runners_counted_at.get().elapsed() > self.limits.runner_count_interval {
            self.update_runner_metrics();
        }
        if self.core.borrow().next_timer() != before {
            self.timer_changed.notify_one();
        }
    }

    fn apply_effect(&self, effect: Effect<Rc<Job>>) {
        match effect {
            Effect::Answer(ticket, answer) => {
                if let Answer::Refused(_) | Answer::Failed(_) = answer {
                    log::debug!("ticket {}: {answer:?}", ticket.0);
                }
                let waiter = self.waiters.borrow_mut().remove(&ticket);
                if let Some((sender, metrics)) = waiter {
                    metrics.count(match answer {
                        Answer::Served(_) => AnswerKind::Answered,
                        Answer::Refused(_) => AnswerKind::Deferred,
                        Answer::Failed(_) | Answer::Unfit(_) => AnswerKind::Errored,
                    });
                    // Fails only if the client has just disconnected.
                    let _ = sender.send(answer);
                }
            }
            Effect::Start { attempt, id, runner, job, deadline } => match self.link_to(&runner) {
                Some(link) => {
                    let AttemptId { request, number } = attempt;
                    log::debug!("attempt {request}.{number} of {id}, {}, at {runner}", job.class);
                    link.start(attempt, id, &runner, job, deadline);
                }
                None => {
                    log::warn!("no address known for runner {runner}: attempt not made");
                    let end = crate::core::AttemptEnd::without_report(sr::Outcome::ConnectFailed);
                    self.feed(Input::AttemptEnded(attempt, end));
                }
            },
            Effect::Cancel(attempt) => {
                log::debug!("attempt {}.{} given up", attempt.request, attempt.number);
                self.links.borrow().iter().for_each(|link| link.cancel(attempt));
            }
            Effect::Forget(attempt) => self.links.borrow().iter().for_each(|link| link.forget(attempt)),
            Effect::Subscribe(address) | Effect::Fetch(address) => {
                let source = self.list_source.borrow().clone();
                log::debug!("call for the list at {address}");
                match (source, effect) {
                    (Some(source), Effect::Subscribe(_)) => source.subscribe(address),
                    (Some(source), _) => source.fetch(address),
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
                let source = self.digest_source.borrow().clone();
                source.into_iter().for_each(|source| source.fetch_full());
            }
            Effect::RequestRemoved(id) => self.release_id(&id),
            Effect::AdminResult { call, result } => *self.admin_result.borrow_mut() = Some((call, result)),
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

    /// Wakes the core whenever a timer is due; never returns.
    pub async fn run_timers(&self) {
        loop {
            let due = self.core.borrow().next_timer();
            match due {
                None => self.timer_changed.notified().await,
                Some(at) => {
                    let sleep = tokio::time::sleep_until(self.clock.instant(at).into());
                    tokio::select! {
                        () = sleep => self.feed(Input::TimerDue),
                        () = self.timer_changed.notified() => {}
                    }
                }
            }
        }
    }
}
