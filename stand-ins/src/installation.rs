//! What stands at an installation and what goes wrong there: halls, classes of request, clients' habits,
//! faults. It owns their form in an experiment's file, with its defaults; it owns no run of one. Times end in
//! their unit; shares are from 0 to 1.

use serde::Deserialize;

/// A hall of like pick nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hall {
    /// Its name.
    pub name: String,
    /// How many nodes.
    pub nodes: usize,
    /// Slots of each.
    pub slots: usize,
    /// Speed of each, 1 the usual.
    #[serde(default = "one")]
    pub speed: f64,
}

fn one() -> f64 {
    1.0
}

/// The nodes that drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    /// Those of a hall.
    Zone,
    /// All.
    All,
}

/// A class of request and its traffic.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// First tries a second, over all dispatchers.
    pub rate_per_s: f64,
    /// Running time at speed 1, drawn evenly from the range.
    pub work_ms: [f64; 2],
    /// Slots that a job takes.
    #[serde(default = "one_slot")]
    pub slots: usize,
    /// An answer within this and twice its running time is in time.
    pub objective_ms: u64,
    /// The client gives a try up after this.
    pub deadline_ms: u64,
    /// Worth of an answer in time.
    #[serde(default = "one")]
    pub worth: f64,
    /// Who drops repeats; left out where a request is safe to repeat and has no key.
    pub group: Option<Group>,
    /// For how long.
    #[serde(default)]
    pub window_ms: u64,
}

fn one_slot() -> usize {
    1
}

/// What clients do.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Later tries after a failure or refusal, at the most.
    pub retries: u32,
    /// Wait before one, unless the answer says when to come back.
    pub wait_ms: u64,
    /// Share of keyed requests that are sent a second time while the first is under way.
    pub eager: f64,
    /// After how long: one of these.
    pub eager_ms: Vec<u64>,
    /// Share of keyed requests whose client breaks off after 20 ms and repeats at once.
    pub leave: f64,
    /// Share of repeats that go to another dispatcher.
    pub wander: f64,
    /// Whether later tries are marked.
    pub marks: bool,
}

impl Default for Clients {
    fn default() -> Clients {
        Clients {
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

/// Shares of attempts to which a pick node does something wrong.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// The job runs, but the connection ends before the 202.
    pub reset: f64,
    /// The job runs, but nobody is told.
    pub silent: f64,
    /// The job runs, and is told to have failed.
    pub error: f64,
    /// Turned away unseen.
    pub away: f64,
    /// The job takes longer ...
    pub slow: f64,
    /// ... by this factor.
    pub slow_by: f64,
}
