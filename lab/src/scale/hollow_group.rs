//! The hollow dispatchers of one thread and their clients' request streams. A stream never waits for a
//! dispatcher: a request for one that is down ends as `cut`.

use super::config::dispatcher_config;
use super::hollow::{Hollow, ThreadContext};
use super::protocol::Setup;
use super::record_writers::{AdoptionLog, RequestLog};
use super::steps::StepTimes;
use super::stream::Arrivals;
use sablerun_node::operator::Operator;
use serde_json::Value;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;
use tokio::task::JoinSet;

/// A command to a thread.
#[derive(Clone, Debug)]
pub enum GroupCommand {
    /// Starts the request streams, timed from this moment.
    Play(Instant),
    /// Kills the dispatchers with these numbers.
    Down(Vec<usize>),
    /// Starts the dispatchers with these numbers again, without any state.
    Up(Vec<usize>),
    /// Applies new settings with this version.
    Settings(Value, u64),
    /// Only returns the counts.
    Count,
    /// Ends the streams; clients abandon their open requests.
    End,
}

/// The counts of a thread.
#[derive(Clone, Debug, Default)]
pub struct ThreadFigures {
    /// Counts by their names in the part's answer.
    pub values: BTreeMap<String, f64>,
    /// The durations of the reducer's steps.
    pub steps: StepTimes,
}

impl ThreadFigures {
    /// Adds the counts of another thread.
    pub fn add(&mut self, other: &ThreadFigures) {
        for (name, value) in &other.values {
            *self.values.entry(name.clone()).or_default() += value;
        }
        self.steps.add(&other.steps);
    }
}

/// A dispatcher, or `None` while it is down.
type Instance = Rc<RefCell<Option<Rc<Hollow>>>>;

/// The hollow dispatchers of a thread.
pub struct HollowGroup {
    setup: Arc<Setup>,
    settings: Value,
    shared: Rc<ThreadContext>,
    instances: BTreeMap<usize, Instance>,
    streams: JoinSet<()>,
}

impl HollowGroup {
    /// Starts the dispatchers with these numbers.
    ///
    /// # Errors
    ///
    /// Names the dispatcher that could not start, and why.
    pub async fn start(
        setup: Arc<Setup>,
        numbers: Vec<usize>,
        request_log: RequestLog,
        adoption_log: AdoptionLog,
    ) -> Result<HollowGroup, String> {
        let tenants = setup.layout.stream.tenants > 0;
        let operator = Operator::parse(&setup.operator).map_err(|e| format!("operator: {e}"))?;
        let shared = Rc::new(ThreadContext {
            request_log,
            adoption_log,
            steps: RefCell::default(),
            operator,
            tenants,
        });
        let settings = setup.layout.settings.clone();
        let instances = numbers.iter().map(|number| (*number, Instance::default())).collect();
        let mut group = HollowGroup { setup, settings, shared, instances, streams: JoinSet::new() };
        group.up(&numbers).await?;
        Ok(group)
    }

    /// Executes a command and returns the counts after it.
    ///
    /// # Errors
    ///
    /// Names the dispatcher that failed, and why.
    pub async fn execute(&mut self, command: GroupCommand) -> Result<ThreadFigures, String> {
        match command {
            GroupCommand::Play(play_start) => self.play(play_start),
            GroupCommand::Down(numbers) => self.down(&numbers).await,
            GroupCommand::Up(numbers) => self.up(&numbers).await?,
            GroupCommand::Settings(settings, version) => self.apply_settings(settings, version).await?,
            GroupCommand::Count => {}
            GroupCommand::End => {
                self.streams.shutdown().await;
                for (_, hollow) in self.running() {
                    hollow.end_clients().await;
                }
            }
        }
        Ok(self.figures().await)
    }

    fn play(&mut self, play_start: Instant) {
        let layout = &self.setup.layout;
        for (&number, instance) in &self.instances {
            let share = layout.dispatchers[number].share;
            let arrivals = Arrivals::new(&layout.stream, layout.seed, number, share);
            let (shared, instance) = (self.shared.clone(), instance.clone());
            self.streams.spawn_local(async move {
                for arrival in arrivals {
                    tokio::time::sleep_until((play_start + arrival.at).into()).await;
                    let hollow = instance.borrow().clone();
                    match hollow {
                        Some(hollow) => hollow.submit(arrival),
                        None => shared.request_log.open(number, arrival).finish("cut"),
                    }
                }
            });
        }
    }

    async fn up(&mut self, numbers: &[usize]) -> Result<(), String> {
        for number in numbers {
            let Some(instance) = self.instances.get(number).filter(|instance| instance.borrow().is_none())
            else {
                continue;
            };
            let config = self.config(*number, &self.settings)?;
            let started = Hollow::start(&self.shared, *number, config).await;
            let hollow = started.map_err(|e| format!("dispatcher {number}: {e}"))?;
            *instance.borrow_mut() = Some(Rc::new(hollow));
        }
        Ok(())
    }

    async fn down(&mut self, numbers: &[usize]) {
        for instance in numbers.iter().filter_map(|number| self.instances.get(number)) {
            let hollow = instance.borrow_mut().take();
            if let Some(hollow) = hollow {
                hollow.kill().await;
            }
        }
    }

    async fn apply_settings(&mut self, settings: Value, version: u64) -> Result<(), String> {
        for (number, hollow) in self.running() {
            let config = self.config(number, &settings)?;
            hollow.reload(config, version).await.map_err(|e| format!("dispatcher {number}: {e}"))?;
        }
        self.settings = settings;
        Ok(())
    }

    fn config(&self, number: usize, settings: &Value) -> Result<Value, String> {
        let discovery = self.setup.discovery.get(number);
        let discovery =
            discovery.ok_or_else(|| format!("dispatcher {number} has no address of discovery"))?;
        Ok(dispatcher_config(&self.setup.layout, number, settings, *discovery))
    }

    /// Returns the dispatchers that are up.
    fn running(&self) -> Vec<(usize, Rc<Hollow>)> {
        self.instances.iter().filter_map(|(n, instance)| Some((*n, instance.borrow().clone()?))).collect()
    }

    async fn figures(&self) -> ThreadFigures {
        let mut values = BTreeMap::new();
        for (_, hollow) in self.running() {
            let open_counts = hollow.open_counts().await;
            for (name, value) in [
                ("dispatchers.up", 1),
                ("requests.in_core", open_counts.open),
                ("connections.accepted", open_counts.accepted),
                ("connections.runners", open_counts.runners),
            ] {
                *values.entry(name.to_owned()).or_insert(0.0) += value as f64;
            }
        }
        ThreadFigures { values, steps: self.shared.steps.borrow().clone() }
    }
}
