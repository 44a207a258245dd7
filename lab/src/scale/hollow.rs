//! A hollow dispatcher: the program's own reducer, links, discovery and front, assembled as the program does
//! and on real sockets; only its clients' requests are passed in within the process. Each runs in a
//! `LocalSet` of its own, so that killing it ends all its tasks and sockets at once, as the system does with
//! a process. Nothing that the program does may be implemented differently here.
//!
//! Its results are no evidence for the following, which must be measured with a real dispatcher:
//! - **client connections**: there are none, so neither their descriptors and memory nor the cost of reading
//!   and writing their messages occur, nor connections refused or closed at a limit;
//! - **processor time and memory of one dispatcher**: only the process can be measured, which also holds the
//!   records, the clients' tasks and the timing of steps, while the costs of a separate process (code pages,
//!   allocator, runtime, log) are shared. The mean is the process's figure divided by the number of
//!   dispatchers that are up;
//! - **the limit of descriptors**: each dispatcher keeps its own limit, but the system's applies to the
//!   process;
//! - **delays under load**: three threads serve all dispatchers, so a busy one delays others; in a real fleet
//!   the system schedules them on the cores;
//! - **configuration files, signals, start and end of a process**: a kill closes the sockets as the system
//!   would, a start does not include loading the program, and there is no graceful shutdown.
//!
//! The same as in a real one are: decisions, timers, list and watch, attempts, cancellations, probes,
//! call-backs, connection pools to runners, the effects of new settings, and the bytes of all of these.

mod client;

use super::record_writers::{AdoptionLog, OpenRequest, RequestLog};
use super::steps::StepTimes;
use super::stream::Arrival;
use client::run_client;
use sablerun as sr;
use sablerun_node::assembly;
use sablerun_node::config::{Config, apply_config};
use sablerun_node::limits::Limits;
use sablerun_node::net::digest::DigestSubscriber;
use sablerun_node::net::platform::{self, Front};
use sablerun_node::net::runners::RunnerLink;
use sablerun_node::operator::Operator;
use sablerun_node::runtime::{Clock, Observer, Runtime};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{JoinHandle, JoinSet, LocalSet};

/// The state shared by all hollow dispatchers of a thread.
pub struct ThreadContext {
    /// The log of their requests.
    pub request_log: RequestLog,
    /// The log of the versions that they adopt.
    pub adoption_log: AdoptionLog,
    /// The durations of their reducers' steps.
    pub steps: RefCell<StepTimes>,
    /// The operator's file, which switches on features beside the settings.
    pub operator: Operator,
    /// Whether requests name their tenants.
    pub tenants: bool,
}

/// A message to a running dispatcher.
enum Message {
    Arrived(OpenRequest),
    Reload(Box<(Config, Value, u64)>, oneshot::Sender<Result<(), String>>),
    Count(oneshot::Sender<OpenCounts>),
    End(oneshot::Sender<()>),
}

/// What a dispatcher has open.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpenCounts {
    /// Requests without a final answer.
    pub open: usize,
    /// Connections accepted; only runners' call-backs use them.
    pub accepted: usize,
    /// Connections to runners.
    pub runners: usize,
}

/// A running hollow dispatcher.
pub struct Hollow {
    shared: Rc<ThreadContext>,
    number: usize,
    sender: mpsc::UnboundedSender<Message>,
    /// The task that runs all its tasks; `None` once it is killed.
    tasks: Cell<Option<JoinHandle<()>>>,
    alive: Rc<Cell<bool>>,
}

impl Hollow {
    /// Starts a dispatcher with this configuration, parsed as the program does.
    ///
    /// # Errors
    ///
    /// The error with which the program would exit.
    pub async fn start(shared: &Rc<ThreadContext>, number: usize, config: Value) -> Result<Hollow, String> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let set = LocalSet::new();
        let alive = Rc::new(Cell::new(true));
        let components = Components::start(
            RecordingObserver { shared: shared.clone(), number, alive: alive.clone() },
            config,
        );
        // All tasks that its components spawn belong to this set and end with it.
        set.run_until(async move {
            tokio::task::spawn_local(components.await?.run(receiver));
            Ok::<_, String>(())
        })
        .await?;
        let tasks = Cell::new(Some(tokio::task::spawn_local(set)));
        Ok(Hollow { shared: shared.clone(), number, sender, tasks, alive })
    }

    /// Passes in a client's request.
    pub fn submit(&self, arrival: Arrival) {
        let _ = self.sender.send(Message::Arrived(self.shared.request_log.open(self.number, arrival)));
    }

    /// Applies a new configuration, as the program does on a SIGHUP.
    ///
    /// # Errors
    ///
    /// Names the invalid setting.
    pub async fn reload(&self, config: Value, version: u64) -> Result<(), String> {
        let parsed = parse(&config)?;
        let (reply, answer) = oneshot::channel();
        let _ = self.sender.send(Message::Reload(Box::new((parsed, config, version)), reply));
        answer.await.unwrap_or_else(|_| Err("the dispatcher has ended".to_owned()))
    }

    /// Returns what it has open.
    pub async fn open_counts(&self) -> OpenCounts {
        let (reply, answer) = oneshot::channel();
        let _ = self.sender.send(Message::Count(reply));
        answer.await.unwrap_or_default()
    }

    /// Drops the clients of all open requests; after [`RequestLog::end_stream`] these are recorded as `open`.
    pub async fn end_clients(&self) {
        let (reply, answer) = oneshot::channel();
        let _ = self.sender.send(Message::End(reply));
        let _ = answer.await;
    }

    /// Kills it with all tasks, timers, sockets and state.
    pub async fn kill(&self) {
        // Steps of the components while they are dropped are not recorded.
        self.alive.set(false);
        if let Some(tasks) = self.tasks.take() {
            tasks.abort();
            let _ = tasks.await;
        }
    }
}

fn parse(config: &Value) -> Result<Config, String> {
    serde_path_to_error::deserialize(config).map_err(|e| format!("{}: {}", e.path(), e.inner()))
}

/// The components of a dispatcher; they live within its `LocalSet`.
struct Components {
    shared: Rc<ThreadContext>,
    number: usize,
    config: Value,
    runtime: Rc<Runtime>,
    runners: Rc<RunnerLink>,
    front: Rc<Front>,
}

impl Components {
    async fn start(observer: RecordingObserver, config: Value) -> Result<Components, String> {
        let (shared, number) = (observer.shared.clone(), observer.number);
        let parsed = parse(&config)?;
        let settings = parsed.to_settings()?;
        let discovery_by_agent = settings.0.discovery == sr::Discovery::Agent;
        let machine_limits = &parsed.limits;
        let limits = Limits::new(machine_limits.sockets, machine_limits.memory_mb, &parsed.settings, false);
        let runtime = assembly::build_runtime(&parsed, settings, Clock::new(), limits, None, None)?;
        runtime.set_observer(Rc::new(observer));
        let (runners, runner_list) = assembly::connect(&runtime);
        if let Some(section) = &shared.operator.digest {
            DigestSubscriber::start(&runtime, section);
        }
        let listener = platform::listen(parsed.listen, runtime.limits.backlog)
            .map_err(|e| format!("listen: {}: {e}", parsed.listen))?;
        let front =
            assembly::start(&runtime, &runner_list, parsed.known.filter(|_| !discovery_by_agent), listener);
        Ok(Components { shared, number, config, runtime, runners, front })
    }

    async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Message>) {
        let mut clients = JoinSet::new();
        while let Some(message) = receiver.recv().await {
            match message {
                Message::Arrived(request) => {
                    let ThreadContext { request_log, tenants, .. } = &*self.shared;
                    let (deadline, timeout) = (request_log.deadline, request_log.answer_timeout());
                    clients.spawn_local(run_client(
                        self.runtime.clone(),
                        request,
                        deadline,
                        timeout,
                        *tenants,
                    ));
                    while clients.try_join_next().is_some() {}
                }
                Message::Reload(message, reply) => {
                    let (parsed, config, version) = *message;
                    let result = apply_config(&self.runtime, &mut self.config, (parsed, config), None);
                    if result.is_ok() {
                        self.shared.adoption_log.adopted(self.number, "settings", version);
                    }
                    let _ = reply.send(result);
                }
                Message::Count(reply) => {
                    let (accepted, runners) = (self.front.connections(), self.runners.connections());
                    let _ = reply.send(OpenCounts { open: self.runtime.open(), accepted, runners });
                }
                Message::End(reply) => {
                    clients.shutdown().await;
                    let _ = reply.send(());
                }
            }
        }
        // The senders are dropped, but the dispatcher runs until it is killed.
        std::future::pending::<()>().await;
    }
}

/// Records adoptions, which a real dispatcher logs, and the durations of steps.
struct RecordingObserver {
    shared: Rc<ThreadContext>,
    number: usize,
    alive: Rc<Cell<bool>>,
}

impl Observer for RecordingObserver {
    fn stepped(&self, input: &'static str, took: Duration) {
        if self.alive.get() {
            self.shared.steps.borrow_mut().record(input, took);
        }
    }

    fn listed(&self, version: u64) {
        self.shared.adoption_log.adopted(self.number, "list", version);
    }
}
