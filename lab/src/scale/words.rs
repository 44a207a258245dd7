//! What the run says to the processes of its roles, and what they answer: one JSON object a line, each command
//! answered by one line. The end of standard input ends a part at once, so that nothing outlives the run. It
//! owns that form, and must never carry anything out.

#![allow(missing_docs, reason = "a form: what its names do not say stands beside them")]

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Everything that is the same for all parts: who there is, and what comes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Layout {
    /// The seed of all random numbers.
    pub seed: u64,
    /// Where parts leave their records (`starts.csv`, `requests.csv`, `acts.csv`, see [`Start`], [`Request`],
    /// [`Act`]), each written by one part alone; several of a kind are numbered.
    pub folder: PathBuf,
    /// The zones, by number.
    pub zones: Vec<Zone>,
    /// The runners, by number.
    pub runners: Vec<Runner>,
    /// The dispatchers, by number.
    pub dispatchers: Vec<Dispatcher>,
    /// The stream of requests.
    pub stream: Stream,
    /// The settings of dispatcher 0 as the platform gives them; `me` and `zone` are each one's own.
    pub settings: serde_json::Value,
}

/// A zone and its region.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    pub name: String,
    pub region: usize,
}

/// A hollow runner.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Runner {
    pub name: String,
    pub zone: usize,
    /// Index into the settings' `kinds`.
    pub kind: usize,
    /// The rack: those of one number go at once.
    pub rack: usize,
    /// Requests that run at once.
    pub slots: u32,
}

/// A dispatcher, real or hollow.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Dispatcher {
    pub name: String,
    pub zone: usize,
    /// Whether it is many in one process, without clients' connections.
    pub hollow: bool,
    /// Where it listens: chosen by the run before anything starts.
    pub listen: SocketAddr,
    /// Its share of all requests.
    pub share: f64,
}

/// What is asked for, over all dispatchers. Each dispatcher's part of it is drawn from the seed and its number
/// alone, so that a real one and a hollow one get the same.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Requests out at once to begin with, taken within `fill_s`.
    pub fill: u32,
    pub fill_s: f64,
    /// Requests a second from then on, while `seconds` last.
    pub rate_per_s: f64,
    pub seconds: f64,
    /// Mean running time, drawn from the exponential distribution (so that what is left of it at any moment is
    /// drawn alike), cut at `work_most_s`.
    pub work_mean_s: f64,
    pub work_most_s: f64,
    /// Share of requests of the class `urgent`; all others are `task`.
    pub urgent: f64,
    /// Requests of one order arrive together at one dispatcher: the largest, and the share of requests in such.
    pub gang_most: u32,
    pub gang_share: f64,
    /// Tenants, `tenant-0` on; the number n has a share in proportion to 1 / (n + 10).
    pub tenants: u32,
    /// How long a client waits.
    pub deadline_s: f64,
}

/// What a part is told first, as a line of its own. The role is on its command line (`sablerun-lab part ROLE`).
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Begin {
    pub layout: Layout,
    /// Where runners listen, by runner and by view; empty for the part that opens them.
    pub dial: Vec<Vec<SocketAddr>>,
    /// Where each dispatcher finds discovery; empty for the part that opens it and for those that need none. One
    /// more than there are dispatchers: control machines' own.
    pub discovery: Vec<SocketAddr>,
    /// The operator's file of hollow dispatchers.
    #[serde(default)]
    pub operator: String,
}

/// Through which of its addresses a dispatcher sees each runner: a listener for each region and for real and
/// hollow ones, so that a cut link and each side's bytes can be told apart.
pub fn view(region: usize, hollow: bool) -> usize {
    region * 2 + usize::from(hollow)
}

/// The view of control machines, which stand in region 0: after those of all dispatchers.
pub fn control_view(regions: usize) -> usize {
    regions * 2
}

/// What a part answers to [`Begin`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ready {
    /// Of the runners: where they listen, by runner and view.
    #[serde(default)]
    pub dial: Vec<Vec<SocketAddr>>,
    /// Of discovery: where each dispatcher finds it.
    #[serde(default)]
    pub discovery: Vec<SocketAddr>,
    /// Why it could not begin.
    #[serde(default)]
    pub error: Option<String>,
}

/// Which way a link is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Way {
    Both,
    /// What goes out from the region of dispatchers arrives; nothing comes back.
    Back,
}

/// What a part is told while it runs. A part answers `Counts` to each, after it has taken effect; what is not
/// for its role changes nothing.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Command {
    /// The stream begins (clients, dispatchers), counted from now.
    Play,
    /// Runners whose machine vanishes: connections reset, new ones refused, work lost and never told of.
    RunnersDown {
        runners: Vec<usize>,
    },
    /// They are back, empty and cold, started just now.
    RunnersUp {
        runners: Vec<usize>,
    },
    /// Discovery tells a change of these runners: `active`, `leaving` or `left`; `born` now if `up`.
    List {
        runners: Vec<usize>,
        health: String,
        up: bool,
    },
    /// The link between the regions of dispatchers and of runners or discovery is silent, or whole again.
    /// Discovery stands in region 0.
    Link {
        cut: Option<Way>,
    },
    /// Hollow dispatchers that are killed, and started anew from nothing.
    DispatchersDown {
        dispatchers: Vec<usize>,
    },
    DispatchersUp {
        dispatchers: Vec<usize>,
    },
    /// New settings for hollow dispatchers, as a SIGHUP brings them.
    Settings {
        settings: serde_json::Value,
        version: u64,
    },
    /// Nothing but the counts.
    Count,
    /// The stream ends: what is still out is given up on; records are flushed.
    End,
}

/// What a part has counted so far, by name; names say the unit. A name with `real.` or `hollow.` before it is
/// of that side's dispatchers alone.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Counts {
    /// When, in microseconds of Unix time.
    pub at_us: u64,
    /// Of `List`: the version that the change has.
    #[serde(default)]
    pub seq: u64,
    #[serde(default)]
    pub values: BTreeMap<String, f64>,
    /// Why the command could not be carried out.
    #[serde(default)]
    pub error: Option<String>,
}

/// A row of `starts.csv`, by the runners: a request begins to run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Start {
    pub id: String,
    pub at_us: u64,
    pub runner: usize,
}

/// A row of `requests.csv` (hollow dispatchers) and `requests-clients.csv` (clients of real ones): a request
/// that has its answer, or was given up on at the end (`answer` is `open` then).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Request {
    /// Four hexadecimal digits of the dispatcher's number, twelve of a count.
    pub id: String,
    pub dispatcher: usize,
    pub class: String,
    pub tenant: u32,
    /// The order that it belongs to, and how many are in it; 0 and 1 if none.
    pub order: u64,
    pub gang: u32,
    pub taken_us: u64,
    pub answered_us: u64,
    /// `served`, `refused`, `failed`, `late` (after the deadline), `cut` (its dispatcher was killed), `lost` or
    /// `open`.
    pub answer: String,
}

/// A row of `acts.csv` (hollow dispatchers; the run reads the same out of real ones' logs): a dispatcher acts
/// by a version of the list or of the settings.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Act {
    pub dispatcher: usize,
    /// `list` or `settings`.
    pub what: String,
    pub version: u64,
    pub at_us: u64,
}

/// Microseconds of Unix time: every process of a run reads one machine's clock.
pub fn now_us() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_micros() as u64)
}
