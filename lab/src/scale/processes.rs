//! All processes of a point: parts and real dispatchers, started in the order in which they need each other and
//! stopped together. It owns them, and must never know what is asked of them.

use super::config::config;
use super::part_link::Part;
use super::point::Point;
use super::publisher::{ADDRESS, Publisher};
use super::words::{Begin, Command, Counts, Layout};
use crate::fleet::Dispatcher;
use sablerun_stand_ins::program::program_path;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::task::JoinSet;

/// What real dispatchers log: from the debug lines of discovery's link it is read when they act by a list.
const LOGGED: &str = "info,sablerun_node::net::discovery=debug";

/// The processes.
pub struct Processes {
    /// Who there is.
    pub layout: Layout,
    /// The parts.
    pub parts: Vec<Arc<Part>>,
    /// The real dispatchers: the first ones of the layout.
    pub real: Vec<Arc<Dispatcher>>,
    /// The publisher of a load digest, where the operator's file names one.
    pub publisher: Option<Arc<Publisher>>,
    limits: Value,
    operator: String,
    discovery: Vec<SocketAddr>,
}

impl Processes {
    /// Starts them all.
    ///
    /// # Errors
    ///
    /// Names the one that could not begin.
    pub async fn start(point: &Point, layout: Layout, operator: String) -> Result<Processes, String> {
        let folder = layout.folder.clone();
        let mut begin = Begin {
            layout: layout.clone(),
            dial: Vec::new(),
            discovery: Vec::new(),
            operator: String::new(),
        };
        let mut parts = Vec::new();
        let (runners, ready) = Part::start("runners", &folder, &begin).await?;
        parts.push(Arc::new(runners));
        begin.dial = ready.dial;
        let (discovery, ready) = Part::start("discovery", &folder, &begin).await?;
        parts.push(Arc::new(discovery));
        begin.discovery = ready.discovery.clone();
        let control = *ready.discovery.last().ok_or("discovery: no address")?;
        let publisher = match operator.contains(ADDRESS) {
            true => Some(Arc::new(Publisher::start(&folder, control).await?)),
            false => None,
        };
        let operator = publisher.as_ref().map_or(operator.clone(), |publisher| publisher.named_in(&operator));
        begin.operator.clone_from(&operator);
        if layout.dispatchers.iter().any(|dispatcher| dispatcher.hollow) {
            parts.push(Arc::new(Part::start("dispatchers", &folder, &begin).await?.0));
        }
        let command = program_path()?;
        let real = layout.dispatchers.iter().enumerate().filter(|(_, dispatcher)| !dispatcher.hollow);
        let real = real.map(|(number, dispatcher)| {
            Dispatcher::at_address(&command, &folder, number, dispatcher.listen, LOGGED).map(Arc::new)
        });
        let real = real.collect::<Result<Vec<_>, _>>()?;
        let limits = json!({"cores": 1.0, "memory_mb": point.memory_mb, "sockets": point.sockets});
        let discovery = ready.discovery;
        let mut processes = Processes { layout, parts, real, publisher, limits, operator, discovery };
        processes.start_real().await?;
        if !processes.real.is_empty() {
            processes.parts.push(Arc::new(Part::start("clients", &folder, &begin).await?.0));
        }
        Ok(processes)
    }

    async fn start_real(&self) -> Result<(), String> {
        let mut starts = JoinSet::new();
        for (number, dispatcher) in self.real.iter().enumerate() {
            let (dispatcher, operator) = (dispatcher.clone(), self.operator.clone());
            let config = self.config(number, &self.layout.settings)?;
            starts.spawn(async move { dispatcher.launch(&config, &operator).await });
        }
        while let Some(started) = starts.join_next().await {
            started.map_err(|e| e.to_string())??;
        }
        Ok(())
    }

    /// What a hollow one is told too, with the point's limits.
    fn config(&self, number: usize, settings: &Value) -> Result<Value, String> {
        let discovery = self.discovery.get(number).ok_or_else(|| format!("n{number} has no discovery"))?;
        let mut config = config(&self.layout, number, settings, *discovery);
        config["limits"] = self.limits.clone();
        Ok(config)
    }

    /// Hands new settings to the real dispatchers: the file, and a SIGHUP.
    ///
    /// # Errors
    ///
    /// Names the file that could not be written.
    pub async fn settings_of_real(&self, settings: &Value) -> Result<(), String> {
        for (number, dispatcher) in self.real.iter().enumerate() {
            dispatcher.configure(&self.config(number, settings)?)?;
            dispatcher.hang_up().await;
        }
        Ok(())
    }

    /// Tells every part a command; the counts by role.
    ///
    /// # Errors
    ///
    /// Names the part that could not.
    pub async fn tell(&self, command: &Command) -> Result<BTreeMap<&'static str, Counts>, String> {
        let mut told = JoinSet::new();
        for part in self.parts.iter().cloned() {
            let command = command.clone();
            told.spawn(async move { part.tell(&command).await.map(|counts| (part.role, counts)) });
        }
        let mut counts = BTreeMap::new();
        while let Some(answer) = told.join_next().await {
            let (role, count) = answer.map_err(|e| e.to_string())??;
            counts.insert(role, count);
        }
        Ok(counts)
    }

    /// Whether all that should run does; one that was killed on purpose need not.
    ///
    /// # Errors
    ///
    /// Names the process that has ended unasked.
    pub async fn running(&self) -> Result<(), String> {
        for part in &self.parts {
            if let Some(ended) = part.ended().await {
                return Err(ended);
            }
        }
        if let Some(publisher) = &self.publisher
            && let Some(ended) = publisher.ended().await
        {
            return Err(ended);
        }
        for (number, dispatcher) in self.real.iter().enumerate() {
            if let Some(ended) = dispatcher.ended().await {
                return Err(format!("the dispatcher n{number} ended unasked ({ended})"));
            }
        }
        Ok(())
    }

    /// Stops them all.
    pub async fn stop(&self) {
        for dispatcher in &self.real {
            dispatcher.stop().await;
        }
        if let Some(publisher) = &self.publisher {
            publisher.down().await;
        }
        for part in &self.parts {
            part.stop().await;
        }
    }
}
