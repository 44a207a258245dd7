//! A small deployment: pick nodes in three halls, discovery, and three dispatchers.

use crate::discovery::{self, Host};
use crate::dispatcher::{Dispatcher, free_address};
use crate::hall::{Effects, Hall};
use crate::node::Node;
use crate::record::Record;
use crate::settings::{Configuration, HALLS};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

/// The window in which the nodes of a hall drop a repeat.
const WINDOW: Duration = Duration::from_secs(10);
/// How long a job may wait for a slot at a node before it is handed back unstarted.
const PATIENCE: Duration = Duration::from_millis(400);
/// The slots of a node: its cores.
const SLOTS: usize = 4;

/// What a case is run with.
pub struct Setup {
    /// A temporary folder for the files of the dispatchers.
    pub folder: PathBuf,
    pub record: Arc<Record>,
    /// Whether the disruption happens.
    pub trouble: bool,
}

/// The deployment, with its dispatchers running.
pub struct Installation {
    pub dispatchers: Vec<Dispatcher>,
    pub effects: Arc<Effects>,
}

impl Installation {
    /// Starts it with this many nodes in each hall, dispatchers in these halls, and this operator's file for
    /// every dispatcher.
    pub fn start(
        setup: &Setup,
        nodes_per_hall: [usize; 3],
        dispatchers_in: &[&'static str],
        operator: &str,
    ) -> io::Result<Installation> {
        let operators = dispatchers_in.iter().map(|_| operator.to_owned());
        Installation::start_each(setup, nodes_per_hall, dispatchers_in, operators)
    }

    /// Starts it with an operator's file for each dispatcher.
    pub fn start_each(
        setup: &Setup,
        nodes_per_hall: [usize; 3],
        dispatchers_in: &[&'static str],
        operators: impl IntoIterator<Item = String>,
    ) -> io::Result<Installation> {
        let effects = Arc::new(Effects::default());
        let mut nodes = Vec::new();
        for (hall_name, count) in HALLS.into_iter().zip(nodes_per_hall) {
            let hall = Arc::new(Hall::new(hall_name, WINDOW));
            for number in 0..count {
                let name = format!("s-{}{number}", hall_name.replace("hall-", "node-"));
                nodes.push(Node::new(&name, &hall, (SLOTS, PATIENCE), &effects, &setup.record));
            }
        }
        let mut dispatchers = Vec::new();
        for ((number, hall), operator) in dispatchers_in.iter().copied().enumerate().zip(operators) {
            let listen = free_address(number as u16)?;
            let hosts: io::Result<Vec<Host>> = nodes
                .iter()
                .map(|node| {
                    let dial = node.serve(listen)?;
                    let cell = 1 + HALLS.iter().position(|hall| *hall == node.hall.name).unwrap_or(0);
                    Ok(Host { name: node.name.clone(), dial, hall: node.hall.name, cell })
                })
                .collect();
            let configuration = Configuration {
                name: format!("n{}", number + 1),
                number,
                dispatchers: dispatchers_in.len(),
                listen,
                discovery: discovery::serve(&hosts?)?,
                hall,
                seed: 0,
            };
            let mut dispatcher = Dispatcher::new(&setup.folder, configuration, &operator, &setup.record)?;
            dispatcher.start()?;
            dispatchers.push(dispatcher);
        }
        Ok(Installation { dispatchers, effects })
    }
}

/// Creates the temporary folder and the record of a run.
pub fn setup(folder: &Path, record: &Path, trouble: bool) -> io::Result<Setup> {
    let record = Arc::new(Record::create(record)?);
    Ok(Setup { folder: folder.to_owned(), record, trouble })
}
