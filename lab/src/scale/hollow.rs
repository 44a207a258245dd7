//! One hollow dispatcher: the program's own reducer, links, discovery and front, put together as the program does,
//! on real sockets; its clients' requests are handed in within the process. It owns everything of it, so that a
//! kill ends all at once, as the system ends a process; it must never do what the program does in another way.
//!
//! What it is no evidence for, and where a real one has to be looked at:
//! - **clients' connections**: there are none, so nothing of their descriptors and memory, of reading and writing
//!   their messages, of connections refused or closed for want of room;
//! - **processor time and memory of one**: known of the whole process only, which also holds the records, the
//!   clients' tasks and the timing of steps; what a process of its own costs besides (its code's pages, allocator,
//!   runtime, log) is shared. A mean is the process's figure by the number that are up;
//! - **the limit of descriptors**: each keeps to its own, but the system's is that of the process, for all;
//! - **delays under load**: three threads serve all, so one that is busy holds others up; in a real fleet the
//!   system shares the cores out;
//! - **reading a configuration from a file, signals, start and end of a process**: a kill closes the sockets as the
//!   system would, a start is without the program's loading; there is no orderly end.
//!
//! The same are: decisions, timers, list and watch, attempts, give-ups, probes, call-backs, pools of connections to
//! runners, what new settings change, and the bytes of all of these.

mod client;

use super::records::{Acts, Answers, Out};
use super::steps::Steps;
use super::stream::Arrival;
use client::client;
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

/// What is the same for all hollow dispatchers of a thread.
pub struct Shared {
    /// Their requests.
    pub answers: Answers,
    /// Versions that they act by.
    pub acts: Acts,
    /// The time of their steps.
    pub steps: RefCell<Steps>,
    /// The operator's file: what is switched on beside the settings.
    pub operator: Operator,
    /// Whether clients name their tenants.
    pub tenants: bool,
}

/// What is said to one that runs.
enum Word {
    Arrived(Out),
    Adopt(Box<(Config, Value, u64)>, oneshot::Sender<Result<(), String>>),
    Count(oneshot::Sender<Held>),
    End(oneshot::Sender<()>),
}

/// What one holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// Requests without a final answer.
    pub open: usize,
    /// Connections accepted: call-backs only.
    pub accepted: usize,
    /// Connections to runners.
    pub runners: usize,
}

/// One that runs.
pub struct Hollow {
    shared: Rc<Shared>,
    number: usize,
    say: mpsc::UnboundedSender<Word>,
    /// All its tasks, until it is killed.
    tasks: Cell<Option<JoinHandle<()>>>,
    lives: Rc<Cell<bool>>,
}

impl Hollow {
    /// Starts one with this configuration, read as the program reads it.
    ///
    /// # Errors
    ///
    /// What the program would end with.
    pub async fn start(shared: &Rc<Shared>, number: usize, text: Value) -> Result<Hollow, String> {
        let (say, said) = mpsc::unbounded_channel();
        let set = LocalSet::new();
        let lives = Rc::new(Cell::new(true));
        let parts = Parts::start(Looker { shared: shared.clone(), number, lives: lives.clone() }, text);
        // Everything that any part of it spawns belongs to this set, and ends with it.
        set.run_until(async move {
            tokio::task::spawn_local(parts.await?.listen_to(said));
            Ok::<_, String>(())
        })
        .await?;
        let tasks = Cell::new(Some(tokio::task::spawn_local(set)));
        Ok(Hollow { shared: shared.clone(), number, say, tasks, lives })
    }

    /// A client's request, now.
    pub fn arrived(&self, arrival: Arrival) {
        let _ = self.say.send(Word::Arrived(self.shared.answers.out(self.number, arrival)));
    }

    /// A new configuration, as a SIGHUP brings one.
    ///
    /// # Errors
    ///
    /// Names the setting that makes no sense.
    pub async fn adopt(&self, text: Value, version: u64) -> Result<(), String> {
        let config = read(&text)?;
        let (tell, told) = oneshot::channel();
        let _ = self.say.send(Word::Adopt(Box::new((config, text, version)), tell));
        told.await.unwrap_or_else(|_| Err("it has ended".to_owned()))
    }

    /// What it holds.
    pub async fn held(&self) -> Held {
        let (tell, told) = oneshot::channel();
        let _ = self.say.send(Word::Count(tell));
        told.await.unwrap_or_default()
    }

    /// Its clients give up on what is still out: after [`Answers::over`] that is what their records say.
    pub async fn end(&self) {
        let (tell, told) = oneshot::channel();
        let _ = self.say.send(Word::End(tell));
        let _ = told.await;
    }

    /// Kills it: tasks, timers, sockets, state.
    pub async fn kill(&self) {
        // What its parts still do as they are dropped is no dispatcher's.
        self.lives.set(false);
        if let Some(tasks) = self.tasks.take() {
            tasks.abort();
            let _ = tasks.await;
        }
    }
}

fn read(text: &Value) -> Result<Config, String> {
    serde_path_to_error::deserialize(text).map_err(|e| format!("{}: {}", e.path(), e.inner()))
}

/// Its parts, within its set.
struct Parts {
    shared: Rc<Shared>,
    number: usize,
    text: Value,
    runtime: Rc<Runtime>,
    runners: Rc<RunnerLink>,
    front: Rc<Front>,
}

impl Parts {
    async fn start(looker: Looker, text: Value) -> Result<Parts, String> {
        let (shared, number) = (looker.shared.clone(), looker.number);
        let config = read(&text)?;
        let settled = config.to_settings()?;
        let agent = settled.0.discovery == sr::Discovery::Agent;
        let machine = &config.limits;
        let limits = Limits::new(machine.sockets, machine.memory_mb, &config.settings, false);
        let runtime = assembly::build_runtime(&config, settled, Clock::new(), limits, None)?;
        runtime.set_observer(Rc::new(looker));
        let (runners, roster) = assembly::connect(&runtime);
        if let Some(section) = &shared.operator.digest {
            DigestSubscriber::start(&runtime, section);
        }
        let listener = platform::listen(config.listen, runtime.limits.backlog)
            .map_err(|e| format!("listen: {}: {e}", config.listen))?;
        let front = assembly::start(&runtime, &roster, config.known.filter(|_| !agent), listener);
        Ok(Parts { shared, number, text, runtime, runners, front })
    }

    async fn listen_to(mut self, mut said: mpsc::UnboundedReceiver<Word>) {
        let mut clients = JoinSet::new();
        while let Some(word) = said.recv().await {
            match word {
                Word::Arrived(out) => {
                    let Shared { answers, tenants, .. } = &*self.shared;
                    let (deadline, patience) = (answers.deadline, answers.patience());
                    clients.spawn_local(client(self.runtime.clone(), out, deadline, patience, *tenants));
                    while clients.try_join_next().is_some() {}
                }
                Word::Adopt(read, tell) => {
                    let (config, new, version) = *read;
                    let done = apply_config(&self.runtime, &mut self.text, (config, new), None);
                    if done.is_ok() {
                        self.shared.acts.act(self.number, "settings", version);
                    }
                    let _ = tell.send(done);
                }
                Word::Count(tell) => {
                    let (accepted, runners) = (self.front.connections(), self.runners.connections());
                    let _ = tell.send(Held { open: self.runtime.open(), accepted, runners });
                }
                Word::End(tell) => {
                    clients.shutdown().await;
                    let _ = tell.send(());
                }
            }
        }
        // Whoever could say something is gone, but not the dispatcher.
        std::future::pending::<()>().await;
    }
}

/// Writes down what a real one's log would say.
struct Looker {
    shared: Rc<Shared>,
    number: usize,
    lives: Rc<Cell<bool>>,
}

impl Observer for Looker {
    fn stepped(&self, input: &'static str, took: Duration) {
        if self.lives.get() {
            self.shared.steps.borrow_mut().record(input, took);
        }
    }

    fn listed(&self, version: u64) {
        self.shared.acts.act(self.number, "list", version);
    }
}
