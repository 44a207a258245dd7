//! All processes of a point, the parts and the real dispatchers: started in the order of their dependencies
//! and stopped together.

use super::config::dispatcher_config;
use super::part_process::PartProcess;
use super::point::Point;
use super::protocol::{Command, Counts, Layout, Setup};
use super::publisher::{ADDRESS_PLACEHOLDER, Publisher};
use crate::dispatcher_process::DispatcherProcess;
use sablerun_stand_ins::program::program_path;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::task::JoinSet;

/// The log filter of real dispatchers; the debug lines of the discovery link say when they adopt a version of
/// the list.
const LOG_FILTER: &str = "info,sablerun_node::net::discovery=debug";

/// The processes of a point.
pub struct Processes {
    /// The point's layout.
    pub layout: Layout,
    /// The parts.
    pub parts: Vec<Arc<PartProcess>>,
    /// The real dispatchers, which are the first of the layout.
    pub real: Vec<Arc<DispatcherProcess>>,
    /// The publisher of a load digest, if the operator's file names one.
    pub publisher: Option<Arc<Publisher>>,
    limits: Value,
    operator: String,
    discovery: Vec<SocketAddr>,
}

impl Processes {
    /// Starts all processes.
    ///
    /// # Errors
    ///
    /// Names the process that could not start.
    pub async fn start(point: &Point, layout: Layout, operator: String) -> Result<Processes, String> {
        let folder = layout.folder.clone();
        let mut setup = Setup {
            layout: layout.clone(),
            dial: Vec::new(),
            discovery: Vec::new(),
            operator: String::new(),
        };
        let mut parts = Vec::new();
        let (runners, ready) = PartProcess::start("runners", &folder, &setup).await?;
        parts.push(Arc::new(runners));
        setup.dial = ready.dial;
        let (discovery, ready) = PartProcess::start("discovery", &folder, &setup).await?;
        parts.push(Arc::new(discovery));
        setup.discovery = ready.discovery.clone();
        let control_address = *ready.discovery.last().ok_or("discovery: no address")?;
        let publisher = match operator.contains(ADDRESS_PLACEHOLDER) {
            true => Some(Arc::new(Publisher::start(&folder, control_address).await?)),
            false => None,
        };
        let operator =
            publisher.as_ref().map_or(operator.clone(), |publisher| publisher.insert_address(&operator));
        setup.operator.clone_from(&operator);
        if layout.dispatchers.iter().any(|dispatcher| dispatcher.hollow) {
            parts.push(Arc::new(PartProcess::start("dispatchers", &folder, &setup).await?.0));
        }
        let command = program_path()?;
        let real = layout.dispatchers.iter().enumerate().filter(|(_, dispatcher)| !dispatcher.hollow);
        let real = real.map(|(number, dispatcher)| {
            DispatcherProcess::with_address(&command, &folder, number, dispatcher.listen, LOG_FILTER)
                .map(Arc::new)
        });
        let real = real.collect::<Result<Vec<_>, _>>()?;
        let limits = json!({"cores": 1.0, "memory_mb": point.memory_mb, "sockets": point.sockets});
        let discovery = ready.discovery;
        let mut processes = Processes { layout, parts, real, publisher, limits, operator, discovery };
        processes.start_real().await?;
        if !processes.real.is_empty() {
            processes.parts.push(Arc::new(PartProcess::start("clients", &folder, &setup).await?.0));
        }
        Ok(processes)
    }

    async fn start_real(&self) -> Result<(), String> {
        let mut starts = JoinSet::new();
        for (number, dispatcher) in self.real.iter().enumerate() {
            let (dispatcher, operator) = (dispatcher.clone(), self.operator.clone());
            let config = self.config(number, &self.layout.settings)?;
            starts.spawn(async move { dispatcher.start_with_config(&config, &operator).await });
        }
        while let Some(started) = starts.join_next().await {
            started.map_err(|e| e.to_string())??;
        }
        Ok(())
    }

    /// Returns a real dispatcher's configuration: that of a hollow one, but with the point's limits.
    fn config(&self, number: usize, settings: &Value) -> Result<Value, String> {
        let discovery = self.discovery.get(number).ok_or_else(|| format!("n{number} has no discovery"))?;
        let mut config = dispatcher_config(&self.layout, number, settings, *discovery);
        config["limits"] = self.limits.clone();
        Ok(config)
    }

    /// Gives new settings to the real dispatchers: writes their files and sends a SIGHUP.
    ///
    /// # Errors
    ///
    /// Names the file that could not be written.
    pub async fn reload_real(&self, settings: &Value) -> Result<(), String> {
        for (number, dispatcher) in self.real.iter().enumerate() {
            dispatcher.write_config(&self.config(number, settings)?)?;
            dispatcher.send_sighup().await;
        }
        Ok(())
    }

    /// Sends a command to all parts and returns their counts by role.
    ///
    /// # Errors
    ///
    /// Names the part that failed.
    pub async fn send_all(&self, command: &Command) -> Result<BTreeMap<&'static str, Counts>, String> {
        let mut tasks = JoinSet::new();
        for part in self.parts.iter().cloned() {
            let command = command.clone();
            tasks.spawn(async move { part.send(&command).await.map(|counts| (part.role, counts)) });
        }
        let mut counts = BTreeMap::new();
        while let Some(answer) = tasks.join_next().await {
            let (role, count) = answer.map_err(|e| e.to_string())??;
            counts.insert(role, count);
        }
        Ok(counts)
    }

    /// Checks that all processes run, but for those killed on purpose.
    ///
    /// # Errors
    ///
    /// Names the process that exited unexpectedly.
    pub async fn check_running(&self) -> Result<(), String> {
        for part in &self.parts {
            if let Some(exit) = part.unexpected_exit().await {
                return Err(exit);
            }
        }
        if let Some(publisher) = &self.publisher
            && let Some(exit) = publisher.unexpected_exit().await
        {
            return Err(exit);
        }
        for (number, dispatcher) in self.real.iter().enumerate() {
            if let Some(exit) = dispatcher.unexpected_exit().await {
                return Err(format!("the dispatcher n{number} exited unexpectedly ({exit})"));
            }
        }
        Ok(())
    }

    /// Stops all processes.
    pub async fn stop(&self) {
        for dispatcher in &self.real {
            dispatcher.stop().await;
        }
        if let Some(publisher) = &self.publisher {
            publisher.kill().await;
        }
        for part in &self.parts {
            part.stop().await;
        }
    }
}
