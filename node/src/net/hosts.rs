//! The JSON format of the runner list in discovery's answers and in the configuration.

use sablerun as sr;

/// The whole runner list or a change of it.
#[derive(Clone, Debug, Default, serde::Deserialize)]
pub struct Hosts {
    /// The version of the list with this change.
    #[serde(default)]
    pub seq: u64,
    /// Whether this is the whole list and not a change of it.
    #[serde(default)]
    pub whole: bool,
    #[serde(default)]
    pub hosts: Vec<Host>,
}

/// One runner on the list.
#[derive(Clone, Debug, serde::Deserialize)]
pub struct Host {
    /// The runner's name.
    pub host: String,
    /// The address on which it accepts jobs.
    pub dial: String,
    /// Its zone.
    #[serde(default)]
    pub site: String,
    /// Its machine kind.
    #[serde(default)]
    pub class: String,
    /// Its cell.
    #[serde(default)]
    pub block: u32,
    pub health: String,
    /// Its relative size; 1 if it is left out.
    #[serde(default)]
    pub share: Option<f64>,
    /// When it started, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub born_ms: u64,
}

impl Host {
    /// Returns the runner's state by its `health`.
    pub fn state(&self) -> sr::WorkerState {
        match self.health.as_str() {
            "active" => sr::WorkerState::Ready,
            "leaving" => sr::WorkerState::Draining,
            "left" => sr::WorkerState::Gone,
            other => {
                // An unknown health is no sign that the runner wants work.
                log::warn!("discovery: unknown state {other:?} of runner {}: treated as draining", self.host);
                sr::WorkerState::Draining
            }
        }
    }
}
