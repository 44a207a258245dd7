//! The list of runners as discovery and the configuration write it. It owns that form, not what it means.

use sablerun as sr;

/// A list or a change of it, as discovery writes it.
#[derive(Clone, Debug, Default, serde::Deserialize)]
pub struct Hosts {
    #[serde(default)]
    pub seq: u64,
    #[serde(default)]
    pub whole: bool,
    #[serde(default)]
    pub hosts: Vec<Host>,
}

/// One runner, as discovery writes it.
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
    /// How it stands by what its entry says.
    pub fn standing(&self) -> sr::WorkerState {
        match self.health.as_str() {
            "active" => sr::WorkerState::Ready,
            "leaving" => sr::WorkerState::Draining,
            "left" => sr::WorkerState::Gone,
            other => {
                // Whatever it means, it is not a call for work.
                log::warn!("discovery says {other:?} of runner {}: taken for draining", self.host);
                sr::WorkerState::Draining
            }
        }
    }
}
