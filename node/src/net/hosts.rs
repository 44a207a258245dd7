//! The JSON format of the runner list in discovery's answers and in the configuration.

use sablerun as sr;

/// The whole runner list or a change of it.
#[derive(Clone, Debug, Default, serde::Deserialize)]
pub struct Hosts {
    #[serde(default)]
    pub seq: u64,
    #[serde(default)]
    pub whole: bool,
    #[serde(default)]
    pub hosts: Vec<Host>,
}

/// One runner on the list.
#[derive(Clone, Debug, serde::Deserialize)]
pub struct Host {
    pub host: String,
    pub dial: String,
    #[serde(default)]
    pub site: String,
    #[serde(default)]
    pub class: String,
    #[serde(default)]
    pub block: u32,
    pub health: String,
    #[serde(default)]
    pub share: Option<f64>,
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
