//! The publisher's configuration file (`deploy/digest.toml`): its format, defaults and errors.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// The contents of the file.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The address on which followers connect.
    pub listen: SocketAddr,
    /// The address that serves the runner list.
    pub discovery: SocketAddr,
    /// Interval at which each runner is polled and a frame is sent, in milliseconds.
    #[serde(default = "default_every_ms")]
    pub every_ms: u64,
    /// Bytes per second sent to a follower, not counting names and the full digest at the start.
    #[serde(default = "default_bytes_per_s")]
    pub bytes_per_s: usize,
    /// The load fields that are published, by the names under which runners report them.
    #[serde(default = "default_fields")]
    pub fields: Vec<String>,
}

fn default_every_ms() -> u64 {
    1000
}

fn default_bytes_per_s() -> usize {
    4000
}

fn default_fields() -> Vec<String> {
    ["outstanding", "x0", "recent_ms", "errors_per_s"].map(str::to_owned).to_vec()
}

impl Config {
    /// Reads the file.
    ///
    /// # Errors
    ///
    /// Names the file and the invalid key.
    pub fn read(path: &Path) -> Result<Config, String> {
        let text = std::fs::read_to_string(path).map_err(|e| e.to_string());
        text.and_then(|text| Config::parse(&text)).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Parses the file's text.
    ///
    /// # Errors
    ///
    /// Names the invalid key.
    pub fn parse(text: &str) -> Result<Config, String> {
        let toml = toml::Deserializer::parse(text).map_err(|e| e.message().replace('\n', " "))?;
        let config: Config = serde_path_to_error::deserialize(toml)
            .map_err(|e| format!("{}: {}", e.path(), e.inner().message().replace('\n', " ")))?;
        if !(100..=60_000).contains(&config.every_ms) {
            return Err("every_ms: from 100 to 60000".to_owned());
        }
        if !(100..=1_000_000).contains(&config.bytes_per_s) {
            return Err("bytes_per_s: from 100 to 1000000".to_owned());
        }
        if config.fields.is_empty() || config.fields.len() > 15 {
            return Err("fields: from 1 to 15 of them".to_owned());
        }
        Ok(config)
    }

    /// Time between two frames.
    pub fn every(&self) -> Duration {
        Duration::from_millis(self.every_ms)
    }

    /// The longest frame, in bytes.
    pub fn frame_bytes(&self) -> usize {
        self.bytes_per_s * self.every_ms as usize / 1000
    }
}
