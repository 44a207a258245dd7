//! The hollow dispatchers of one thread, and the streams of their clients. It owns which of them are up; it must
//! never let a stream wait for its dispatcher: who finds nobody there is cut off.

use super::config::config;
use super::hollow::{Hollow, Shared};
use super::records::{Acts, Answers};
use super::steps::Steps;
use super::stream::Arrivals;
use super::words::Begin;
use sablerun_node::operator::Operator;
use serde_json::Value;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;
use tokio::task::JoinSet;

/// What a thread is told.
#[derive(Clone, Debug)]
pub enum Order {
    /// The streams begin, counted from then.
    Play(Instant),
    /// Those of these numbers are killed.
    Down(Vec<usize>),
    /// They start anew from nothing.
    Up(Vec<usize>),
    /// New settings, and the version that they are.
    Settings(Value, u64),
    /// Nothing but the counts.
    Count,
    /// Clients give up on what is still out.
    End,
}

/// What a thread has counted.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Sums, by their names in a part's answer.
    pub values: BTreeMap<String, f64>,
    /// The time of steps.
    pub steps: Steps,
}

impl Figures {
    /// Adds another thread's.
    pub fn add(&mut self, other: &Figures) {
        for (name, value) in &other.values {
            *self.values.entry(name.clone()).or_default() += value;
        }
        self.steps.add(&other.steps);
    }
}

/// Where a dispatcher stands while it is up.
type Place = Rc<RefCell<Option<Rc<Hollow>>>>;

/// The dispatchers of a thread.
pub struct Herd {
    begin: Arc<Begin>,
    settings: Value,
    shared: Rc<Shared>,
    places: BTreeMap<usize, Place>,
    streams: JoinSet<()>,
}

impl Herd {
    /// Starts those of these numbers.
    ///
    /// # Errors
    ///
    /// Names the dispatcher that could not start, and why.
    pub async fn start(
        begin: Arc<Begin>,
        numbers: Vec<usize>,
        answers: Answers,
        acts: Acts,
    ) -> Result<Herd, String> {
        let tenants = begin.layout.stream.tenants > 0;
        let operator = Operator::parse(&begin.operator).map_err(|e| format!("operator: {e}"))?;
        let shared = Rc::new(Shared { answers, acts, steps: RefCell::default(), operator, tenants });
        let settings = begin.layout.settings.clone();
        let places = numbers.iter().map(|number| (*number, Place::default())).collect();
        let mut herd = Herd { begin, settings, shared, places, streams: JoinSet::new() };
        herd.up(&numbers).await?;
        Ok(herd)
    }

    /// Carries out an order.
    ///
    /// # Errors
    ///
    /// Names the dispatcher that could not, and why.
    pub async fn carry_out(&mut self, order: Order) -> Result<Figures, String> {
        match order {
            Order::Play(begun) => self.play(begun),
            Order::Down(numbers) => self.down(&numbers).await,
            Order::Up(numbers) => self.up(&numbers).await?,
            Order::Settings(settings, version) => self.adopt(settings, version).await?,
            Order::Count => {}
            Order::End => {
                self.streams.shutdown().await;
                for (_, hollow) in self.all() {
                    hollow.end().await;
                }
            }
        }
        Ok(self.figures().await)
    }

    fn play(&mut self, begun: Instant) {
        let layout = &self.begin.layout;
        for (&number, place) in &self.places {
            let share = layout.dispatchers[number].share;
            let arrivals = Arrivals::new(&layout.stream, layout.seed, number, share);
            let (shared, place) = (self.shared.clone(), place.clone());
            self.streams.spawn_local(async move {
                for arrival in arrivals {
                    tokio::time::sleep_until((begun + arrival.at).into()).await;
                    let hollow = place.borrow().clone();
                    match hollow {
                        Some(hollow) => hollow.arrived(arrival),
                        None => shared.answers.out(number, arrival).answered("cut"),
                    }
                }
            });
        }
    }

    async fn up(&mut self, numbers: &[usize]) -> Result<(), String> {
        for number in numbers {
            let Some(place) = self.places.get(number).filter(|place| place.borrow().is_none()) else {
                continue;
            };
            let text = self.text(*number, &self.settings)?;
            let started = Hollow::start(&self.shared, *number, text).await;
            let hollow = started.map_err(|e| format!("dispatcher {number}: {e}"))?;
            *place.borrow_mut() = Some(Rc::new(hollow));
        }
        Ok(())
    }

    async fn down(&mut self, numbers: &[usize]) {
        for place in numbers.iter().filter_map(|number| self.places.get(number)) {
            let hollow = place.borrow_mut().take();
            if let Some(hollow) = hollow {
                hollow.kill().await;
            }
        }
    }

    async fn adopt(&mut self, settings: Value, version: u64) -> Result<(), String> {
        for (number, hollow) in self.all() {
            let text = self.text(number, &settings)?;
            hollow.adopt(text, version).await.map_err(|e| format!("dispatcher {number}: {e}"))?;
        }
        self.settings = settings;
        Ok(())
    }

    fn text(&self, number: usize, settings: &Value) -> Result<Value, String> {
        let discovery = self.begin.discovery.get(number);
        let discovery =
            discovery.ok_or_else(|| format!("dispatcher {number} has no address of discovery"))?;
        Ok(config(&self.begin.layout, number, settings, *discovery))
    }

    /// Those that are up.
    fn all(&self) -> Vec<(usize, Rc<Hollow>)> {
        self.places.iter().filter_map(|(n, place)| Some((*n, place.borrow().clone()?))).collect()
    }

    async fn figures(&self) -> Figures {
        let mut values = BTreeMap::new();
        for (_, hollow) in self.all() {
            let held = hollow.held().await;
            for (name, value) in [
                ("dispatchers.up", 1),
                ("requests.in_core", held.open),
                ("connections.accepted", held.accepted),
                ("connections.runners", held.runners),
            ] {
                *values.entry(name.to_owned()).or_insert(0.0) += value as f64;
            }
        }
        Figures { values, steps: self.shared.steps.borrow().clone() }
    }
}
