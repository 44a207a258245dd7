//! A stand-in for the platform's discovery service: the runner list and the watch for its changes. Each
//! dispatcher has its own listening address because a runner's `dial` address differs between dispatchers.
//! Tests can script faulty replies.

mod calls;
pub mod lists;
pub mod metrics;

use crate::http::Connection;
use crate::metrics::TrafficSource;
use crate::region_link::{Partition, RegionLink, View};
use crate::scripted::Events;
use calls::Session;
use lists::{Entries, Lists, change_object};
use metrics::DiscoveryMetrics;
use serde_json::Value;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{broadcast, watch};

/// The number of changes that a watch may lag behind; a watch that lags further is closed.
const MAX_WATCH_LAG: usize = 1024;
/// Pause before accepting again after an error, such as running out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

struct State {
    lists: Lists,
    replies: VecDeque<PlannedReply>,
}

/// A scripted reply that replaces the regular one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlannedReply {
    /// Answers 503.
    Unavailable,
    /// Closes the connection without an answer.
    Close,
    /// Sends the list but no further line.
    StalledWatch,
    /// Sends no answer at all.
    NoReply,
    /// Sends the list, then nothing until the first [`Discovery::resume`], then an empty line and the
    /// changes since.
    DelayedUpdates,
    /// Sends the list as of the time of the call, but only at the second [`Discovery::resume`].
    DelayedList,
    /// Sends the list, then an object that never ends, one byte at a time.
    Trickle,
    /// Answers 503, and closes the connection when the next call arrives on it.
    UnavailableThenClose,
}

/// The dispatchers that call, and the format of their lists.
#[derive(Clone, Debug)]
pub struct Config {
    /// The views of the list.
    pub views: Vec<View>,
    /// The index into `views` of each dispatcher.
    pub dispatcher_views: Vec<usize>,
    /// The size of a watch's chunks; if `None`, one chunk per line.
    pub chunk_bytes: Option<usize>,
    /// Whether changes are sent as indented JSON, which the protocol permits.
    pub indented: bool,
    /// The number of changes kept for calls that ask for the changes since a version.
    pub retained_changes: usize,
}

#[derive(Clone)]
enum Change {
    /// The line to write, by view.
    Lines(Arc<Vec<String>>),
    /// Closes all watches.
    BreakWatches,
}

/// The discovery service.
#[derive(Clone)]
pub struct Discovery {
    state: Arc<Mutex<State>>,
    config: Arc<Config>,
    link: Arc<RegionLink>,
    metrics: Arc<DiscoveryMetrics>,
    changes: broadcast::Sender<Change>,
    resumed: watch::Sender<usize>,
    /// The request line of each call.
    pub request_lines: Events,
    /// The listening address for each dispatcher.
    pub addresses: Vec<SocketAddr>,
}

impl Discovery {
    /// Starts the service with one list for each dispatcher.
    ///
    /// # Errors
    ///
    /// If no address is free.
    pub async fn start(hosts: Vec<Vec<Value>>) -> std::io::Result<Discovery> {
        Discovery::start_with_replies(hosts, &[]).await
    }

    /// As [`Discovery::start`], with scripted replies to the first calls. Watches always begin with the
    /// whole list, and their chunks may end anywhere in a line.
    ///
    /// # Errors
    ///
    /// If no address is free.
    pub async fn start_with_replies(
        hosts: Vec<Vec<Value>>,
        replies: &[PlannedReply],
    ) -> std::io::Result<Discovery> {
        let views = vec![View { region: 0, source: TrafficSource::Real }; hosts.len()];
        let dispatcher_views = (0..hosts.len()).collect();
        let config =
            Config { views, dispatcher_views, chunk_bytes: Some(37), indented: true, retained_changes: 0 };
        Discovery::start_with_config(hosts, config, replies).await
    }

    /// Starts the service with one list for each view.
    ///
    /// # Errors
    ///
    /// If no address is free.
    pub async fn start_with_config(
        hosts: Entries,
        config: Config,
        replies: &[PlannedReply],
    ) -> std::io::Result<Discovery> {
        let mut listeners = Vec::new();
        for _ in &config.dispatcher_views {
            listeners.push(TcpListener::bind("127.0.0.1:0").await?);
        }
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
        let lists = Lists::new(hosts, config.retained_changes);
        let discovery = Discovery {
            state: Arc::new(Mutex::new(State { lists, replies: replies.iter().copied().collect() })),
            config: Arc::new(config),
            link: Arc::default(),
            metrics: Arc::default(),
            changes: broadcast::channel(MAX_WATCH_LAG).0,
            resumed: watch::channel(0).0,
            request_lines: Events::default(),
            addresses,
        };
        for (dispatcher, listener) in listeners.into_iter().enumerate() {
            let discovery = discovery.clone();
            tokio::spawn(async move {
                loop {
                    let Ok((stream, _)) = listener.accept().await else {
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                        continue;
                    };
                    let session = Session::new(discovery.clone(), dispatcher, Connection::new(stream));
                    tokio::spawn(session.serve());
                }
            });
        }
        Ok(discovery)
    }

    /// Applies a change, given as entries for each view, and sends it to every watch. Returns the new
    /// version.
    pub fn update(&self, changed: &[Vec<Value>]) -> u64 {
        let mut state = self.state.lock().expect("no holder panics");
        state.lists.apply(changed);
        let seq = state.lists.seq();
        let line = |entries: &Vec<Value>| match self.config.indented {
            true => format!("{:#}", change_object(seq, entries)),
            false => change_object(seq, entries).to_string(),
        };
        let _ = self.changes.send(Change::Lines(Arc::new(changed.iter().map(line).collect())));
        seq
    }

    /// Lets replies continue that wait for this call: see [`PlannedReply`].
    pub fn resume(&self) {
        self.resumed.send_modify(|times| *times += 1);
    }

    /// Simulates a restart of the service: versions start again, watches are closed, and the list is
    /// replaced.
    pub fn restart(&self, hosts: Vec<Vec<Value>>) {
        let mut state = self.state.lock().expect("no holder panics");
        state.lists = Lists::new(hosts, self.config.retained_changes);
        let _ = self.changes.send(Change::BreakWatches);
    }

    /// Closes every watch.
    pub fn break_watches(&self) {
        let _ = self.changes.send(Change::BreakWatches);
    }

    /// Partitions the service, which is in region 0, from the dispatchers in other regions; `None` restores
    /// the link.
    pub fn set_partition(&self, partition: Option<Partition>) {
        self.link.set(partition);
    }

    /// Returns the service's metrics.
    pub fn metrics(&self) -> &DiscoveryMetrics {
        &self.metrics
    }
}
