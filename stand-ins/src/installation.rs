//! The simulated installation as an experiment's file describes it: halls, request classes, client
//! behaviour and faults, with defaults. Names of times end in their unit; shares are from 0 to 1.

use serde::Deserialize;

/// A hall of identical pick nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hall {
    /// The name.
    pub name: String,
    /// The number of nodes.
    pub nodes: usize,
    /// The number of slots of each node.
    pub slots: usize,
    /// The speed of each node relative to a usual one.
    #[serde(default = "one")]
    pub speed: f64,
}

fn one() -> f64 {
    1.0
}

/// The nodes that deduplicate keys together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    /// The nodes of a hall.
    Zone,
    /// All nodes.
    All,
}

/// A request class and its traffic.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The name.
    pub name: String,
    /// First tries per second, over all dispatchers.
    pub rate_per_s: f64,
    /// Running time at speed 1, drawn uniformly from this range.
    pub work_ms: [f64; 2],
    /// The number of slots that a job takes.
    #[serde(default = "one_slot")]
    pub slots: usize,
    /// An answer is in time within this time plus twice its running time.
    pub objective_ms: u64,
    /// The client abandons a try after this time.
    pub deadline_ms: u64,
    /// The worth of an answer in time.
    #[serde(default = "one")]
    pub worth: f64,
    /// The nodes that drop repeats; `None` where a request is safe to repeat and has no key.
    pub group: Option<Group>,
    /// The window within which repeats are dropped.
    #[serde(default)]
    pub window_ms: u64,
}

fn one_slot() -> usize {
    1
}

/// The behaviour of clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClientBehaviour {
    /// The maximum number of further tries after a failure or refusal.
    pub retries: u32,
    /// The wait before a further try, unless the answer says when to retry.
    pub wait_ms: u64,
    /// Share of keyed requests that are sent a second time while the first is in progress.
    pub eager: f64,
    /// The delay of the second request: one of these.
    pub eager_ms: Vec<u64>,
    /// Share of keyed requests whose client disconnects after 20 ms and repeats at once.
    pub leave: f64,
    /// Share of repeats that go to another dispatcher.
    pub wander: f64,
    /// Whether further tries are marked as such.
    pub marks: bool,
}

impl Default for ClientBehaviour {
    fn default() -> ClientBehaviour {
        ClientBehaviour {
            retries: 2,
            wait_ms: 0,
            eager: 0.0,
            eager_ms: vec![0],
            leave: 0.0,
            wander: 0.0,
            marks: true,
        }
    }
}

/// Shares of attempts with an injected fault.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// The job runs, but the connection is closed before the 202.
    pub reset: f64,
    /// The job runs, but no call-back is sent.
    pub silent: f64,
    /// The job runs and is reported as failed.
    pub error: f64,
    /// The attempt is refused with 503 and marked as not processed.
    pub away: f64,
    /// The job takes longer ...
    pub slow: f64,
    /// ... by this factor.
    pub slow_by: f64,
}
