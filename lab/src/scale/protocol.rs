//! The protocol between the run and the processes of its roles: one JSON object a line, each command answered
//! by one line. A part ends as soon as its standard input does, so that nothing outlives the run.

#![allow(missing_docs, reason = "fields without a comment are explained by their names")]

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// What all parts share: the zones, runners and dispatchers, the request stream and the settings.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Layout {
    /// The seed of all random numbers.
    pub seed: u64,
    /// The folder of the parts' records (`starts.csv`, `requests.csv`, `acts.csv`, see [`Start`],
    /// [`Request`], [`Adoption`]). Each file is written by one part; a second file of a kind has a suffix.
    pub folder: PathBuf,
    /// The zones, by number.
    pub zones: Vec<Zone>,
    /// The runners, by number.
    pub runners: Vec<Runner>,
    /// The dispatchers, by number.
    pub dispatchers: Vec<Dispatcher>,
    /// The stream of requests.
    pub stream: Stream,
    /// The settings of dispatcher 0 in the platform's form; each dispatcher has its own `me` and `zone`.
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
    /// The index into the settings' `kinds`.
    pub kind: usize,
    /// The rack; runners with the same number fail together.
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
    /// Whether it shares a process with others and has no client connections.
    pub hollow: bool,
    /// Where it listens, chosen by the run before anything starts.
    pub listen: SocketAddr,
    /// Its share of all requests.
    pub share: f64,
}

/// The request stream of all dispatchers. Each dispatcher's part is drawn from the seed and its number alone,
/// so that a real and a hollow one get the same requests.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// The number of requests that arrive within the first `fill_s`.
    pub fill: u32,
    pub fill_s: f64,
    /// Requests a second after the fill, for `seconds`.
    pub rate_per_s: f64,
    pub seconds: f64,
    /// The mean running time. Running times are exponentially distributed, so that the remaining time at any
    /// moment has the same distribution, and truncated at `work_most_s`.
    pub work_mean_s: f64,
    pub work_most_s: f64,
    /// The share of requests of the class `urgent`; all others are of the class `task`.
    pub urgent: f64,
    /// The largest gang, an order whose requests arrive together at one dispatcher, and the share of requests
    /// in gangs.
    pub gang_most: u32,
    pub gang_share: f64,
    /// The number of tenants, named from `tenant-0`; the share of tenant n is proportional to 1 / (n + 10).
    pub tenants: u32,
    /// The requests' deadline.
    pub deadline_s: f64,
}

/// The first line to a part. The role is on its command line (`sablerun-lab part ROLE`).
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Setup {
    pub layout: Layout,
    /// The addresses of the runners, by runner and view; empty for the part that opens them.
    pub dial: Vec<Vec<SocketAddr>>,
    /// The address of discovery for each dispatcher, and a last one for control machines; empty for the part
    /// that opens them and for parts that need none.
    pub discovery: Vec<SocketAddr>,
    /// The operator's file of hollow dispatchers.
    #[serde(default)]
    pub operator: String,
}

/// Returns the view of a dispatcher, which selects the address at which it reaches each runner. A runner has
/// a listener for each region and traffic source (real or hollow), so that links can be partitioned and bytes
/// counted separately.
pub fn view(region: usize, hollow: bool) -> usize {
    region * 2 + usize::from(hollow)
}

/// Returns the view of control machines, which are in region 0; it follows those of all dispatchers.
pub fn control_view(regions: usize) -> usize {
    regions * 2
}

/// A part's answer to [`Setup`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ready {
    /// From the runners' part: their addresses by runner and view.
    #[serde(default)]
    pub dial: Vec<Vec<SocketAddr>>,
    /// From discovery: its address for each dispatcher, and one for control machines.
    #[serde(default)]
    pub discovery: Vec<SocketAddr>,
    /// Why the part could not start.
    #[serde(default)]
    pub error: Option<String>,
}

/// The direction in which the link between regions is partitioned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PartitionDirection {
    /// All data is lost.
    Both,
    /// Data from the dispatchers' region arrives, data towards it is lost.
    Back,
}

/// A command to a running part. The part answers each with [`Counts`] once it has taken effect; a command for
/// other roles changes nothing.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Command {
    /// Starts the request stream now (clients, dispatchers).
    Play,
    /// Crashes the machines of runners: connections are reset, new ones refused, and requests lost without a
    /// report.
    RunnersDown { runners: Vec<usize> },
    /// Restarts runners now, empty and cold.
    RunnersUp { runners: Vec<usize> },
    /// Changes these runners' entries in discovery: `health` is `active`, `leaving` or `left`; if `up`, their
    /// start time is now.
    List { runners: Vec<usize>, health: String, up: bool },
    /// Partitions or restores the link between the regions of dispatchers and those of runners and discovery.
    /// Discovery is in region 0.
    Link { cut: Option<PartitionDirection> },
    /// Kills hollow dispatchers.
    DispatchersDown { dispatchers: Vec<usize> },
    /// Starts hollow dispatchers again, without any state.
    DispatchersUp { dispatchers: Vec<usize> },
    /// Applies new settings to hollow dispatchers, as a SIGHUP does.
    Settings { settings: serde_json::Value, version: u64 },
    /// Only returns the counts.
    Count,
    /// Ends the stream: open requests are abandoned and records flushed.
    End,
}

/// What a part has counted so far, by name; a name ends in its unit. The prefix `real.` or `hollow.` names the
/// dispatchers that caused what is counted.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Counts {
    /// When the command took effect, in microseconds of Unix time.
    pub at_us: u64,
    /// The version of the change, in the answer to [`Command::List`].
    #[serde(default)]
    pub seq: u64,
    #[serde(default)]
    pub values: BTreeMap<String, f64>,
    /// Why the command failed.
    #[serde(default)]
    pub error: Option<String>,
}

/// A row of `starts.csv`, written by the runners: a request starts to run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Start {
    pub id: String,
    pub at_us: u64,
    pub runner: usize,
}

/// A row of `requests.csv` (hollow dispatchers) or `requests-clients.csv` (clients of real ones): a request
/// that was answered, or abandoned at the end (`answer` is `open` then).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Request {
    /// Four hexadecimal digits of the dispatcher's number, then twelve of a counter.
    pub id: String,
    pub dispatcher: usize,
    pub class: String,
    pub tenant: u32,
    /// The order that it belongs to, and the number of requests in it; 0 and 1 if it arrived alone.
    pub order: u64,
    pub gang: u32,
    pub taken_us: u64,
    pub answered_us: u64,
    /// `served`, `refused`, `failed`, `late` (after the deadline), `cut` (its dispatcher was killed), `lost`
    /// or `open`.
    pub answer: String,
}

/// A row of `acts.csv`, written by hollow dispatchers: a dispatcher adopts a version of the runner list or of
/// the settings. For real ones the run reads the same from their logs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Adoption {
    pub dispatcher: usize,
    /// `list` or `settings`.
    pub what: String,
    pub version: u64,
    pub at_us: u64,
}

/// Returns the time in microseconds of Unix time. All processes of a run share one machine's clock.
pub fn now_us() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_micros() as u64)
}
