//! Discovery: the list of runners and the watch on its changes, on an address of its own for each
//! dispatcher, since a runner's `dial` differs from one to another. It owns the list's version, and does
//! wrong what a test plans.

mod calls;
pub mod lists;
pub mod metrics;

use crate::http::Connection;
use crate::metrics::TrafficSource;
use crate::region_link::{Partition, RegionLink, View};
use crate::scripted::Events;
use calls::Caller;
use lists::{Entries, Lists, change};
use metrics::DiscoveryMetrics;
use serde_json::Value;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{broadcast, watch};

/// Most changes that a watch may be behind; one that falls further back ends.
const BEHIND: usize = 1024;
/// Wait before a listener that ran out of descriptors tries again.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

struct State {
    lists: Lists,
    plan: VecDeque<PlannedReply>,
}

/// What a call gets in place of its due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlannedReply {
    /// 503.
    Unavailable,
    /// The connection's end.
    Close,
    /// The list, and no line after it.
    StalledWatch,
    /// No answer at all.
    NoReply,
    /// The list, no line after it until the first [`Discovery::resume`], then an empty one and what has changed.
    DelayedUpdates,
    /// The list as it is at the call, written at the second [`Discovery::resume`].
    DelayedList,
    /// The list, and then an object a byte at a time that never ends.
    Trickle,
    /// 503, and the connection's end as a further call comes on it.
    UnavailableThenClose,
}

/// Who asks, and how they are told.
#[derive(Clone, Debug)]
pub struct Config {
    /// From where the list is seen.
    pub views: Vec<View>,
    /// The view of each dispatcher.
    pub dispatcher_views: Vec<usize>,
    /// Bytes of a watch's chunks; each object is one if left out.
    pub chunk_bytes: Option<usize>,
    /// Whether changes come indented, as lists may.
    pub indented: bool,
    /// How many changes are known to those who ask what came after a version.
    pub retained_changes: usize,
}

#[derive(Clone)]
enum Change {
    /// What is written, by view.
    Told(Arc<Vec<String>>),
    /// Watches end.
    Broken,
}

/// The service.
#[derive(Clone)]
pub struct Discovery {
    state: Arc<Mutex<State>>,
    plan: Arc<Config>,
    link: Arc<RegionLink>,
    tally: Arc<DiscoveryMetrics>,
    changes: broadcast::Sender<Change>,
    resumed: watch::Sender<usize>,
    /// The calls' first lines.
    pub request_lines: Events,
    /// Where each dispatcher asks.
    pub addresses: Vec<SocketAddr>,
}

impl Discovery {
    /// Serves each dispatcher its list.
    ///
    /// # Errors
    ///
    /// If no address is free.
    pub async fn start(hosts: Vec<Vec<Value>>) -> std::io::Result<Discovery> {
        Discovery::start_with_replies(hosts, &[]).await
    }

    /// The same, whose first calls go as planned. Watches always begin with the whole list, in chunks that end
    /// anywhere.
    ///
    /// # Errors
    ///
    /// If no address is free.
    pub async fn start_with_replies(
        hosts: Vec<Vec<Value>>,
        calls: &[PlannedReply],
    ) -> std::io::Result<Discovery> {
        let views = vec![View { region: 0, source: TrafficSource::Real }; hosts.len()];
        let dispatcher_views = (0..hosts.len()).collect();
        let plan =
            Config { views, dispatcher_views, chunk_bytes: Some(37), indented: true, retained_changes: 0 };
        Discovery::start_with_config(hosts, plan, calls).await
    }

    /// Serves each dispatcher the list of its view.
    ///
    /// # Errors
    ///
    /// If no address is free.
    pub async fn start_with_config(
        hosts: Entries,
        plan: Config,
        calls: &[PlannedReply],
    ) -> std::io::Result<Discovery> {
        let mut listeners = Vec::new();
        for _ in &plan.dispatcher_views {
            listeners.push(TcpListener::bind("127.0.0.1:0").await?);
        }
        let addresses = listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
        let lists = Lists::new(hosts, plan.retained_changes);
        let discovery = Discovery {
            state: Arc::new(Mutex::new(State { lists, plan: calls.iter().copied().collect() })),
            plan: Arc::new(plan),
            link: Arc::default(),
            tally: Arc::default(),
            changes: broadcast::channel(BEHIND).0,
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
                    let caller = Caller::new(discovery.clone(), dispatcher, Connection::new(stream));
                    tokio::spawn(caller.serve());
                }
            });
        }
        Ok(discovery)
    }

    /// Tells every watch of a change: entries for each view. The version that it has.
    pub fn update(&self, changed: &[Vec<Value>]) -> u64 {
        let mut state = self.state.lock().expect("no holder panics");
        state.lists.change(changed);
        let seq = state.lists.seq();
        let line = |entries: &Vec<Value>| match self.plan.indented {
            true => format!("{:#}", change(seq, entries)),
            false => change(seq, entries).to_string(),
        };
        let _ = self.changes.send(Change::Told(Arc::new(changed.iter().map(line).collect())));
        seq
    }

    /// Goes on where the plan has it wait for that.
    pub fn resume(&self) {
        self.resumed.send_modify(|times| *times += 1);
    }

    /// Begins to count anew, as one that was restarted: watches end, and this is the list.
    pub fn restart(&self, hosts: Vec<Vec<Value>>) {
        let mut state = self.state.lock().expect("no holder panics");
        state.lists = Lists::new(hosts, self.plan.retained_changes);
        let _ = self.changes.send(Change::Broken);
    }

    /// Breaks every watch.
    pub fn break_watches(&self) {
        let _ = self.changes.send(Change::Broken);
    }

    /// Cuts the link to dispatchers of other regions than discovery's, which is the first, or makes it whole.
    pub fn set_partition(&self, cut: Option<Partition>) {
        self.link.set(cut);
    }

    /// What was counted.
    pub fn metrics(&self) -> &DiscoveryMetrics {
        &self.tally
    }
}
