//! What the platform tells the program, in `$NODE_CONFIG`: read at the start, and anew at SIGHUP. It owns the
//! form of that file and which of it holds from the start to the end. It must never put a part of a
//! file to use that makes no sense as a whole.

use crate::core::Input;
use crate::metrics::Metrics;
use crate::net::hosts;
use crate::operator;
use crate::runtime::Runtime;
use sablerun as sr;
use sablerun_settings::{Env, Tables};
use serde_json::Value;
use std::net::SocketAddr;

/// What `$NODE_CONFIG` holds.
#[derive(serde::Deserialize)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: String,
    pub limits: Machine,
    #[serde(default)]
    pub known: Option<hosts::Hosts>,
    /// The operators' door, where there is one; `$NODE_ADMIN_ADDR` stands before it.
    #[serde(default)]
    pub admin_addr: Option<SocketAddr>,
    pub settings: Env,
}

impl Config {
    /// The settings as the module takes them, and the tables of their names. Where lists are pushed, the
    /// sockets' protocol has them come over a watch on the machine's own agent, which must be opened.
    ///
    /// # Errors
    ///
    /// Names the setting that makes no sense.
    pub fn to_settings(&self) -> Result<(sr::Settings, Tables), String> {
        let (mut settings, tables) =
            self.settings.to_settings().map_err(|e| format!("NODE_CONFIG: settings: {e}"))?;
        if settings.discovery == sr::Discovery::Pushed {
            settings.discovery = sr::Discovery::Agent;
        }
        Ok((settings, tables))
    }

    /// The seed of the module's draws.
    ///
    /// # Errors
    ///
    /// It is no hexadecimal number.
    pub fn seed(&self) -> Result<u64, String> {
        u64::from_str_radix(&self.seed, 16).map_err(|e| format!("NODE_CONFIG: seed: {e}"))
    }
}

/// The machine's limits.
#[derive(serde::Deserialize)]
pub struct Machine {
    pub memory_mb: usize,
    pub sockets: usize,
}

/// What `$NODE_CONFIG` holds, and as it stands there.
pub fn read_config() -> Result<(Config, Value), String> {
    let path = std::env::var("NODE_CONFIG").map_err(|_| "NODE_CONFIG is not set".to_owned())?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("NODE_CONFIG: {path}: {e}"))?;
    let mut json = serde_json::Deserializer::from_str(&text);
    let config: Config = serde_path_to_error::deserialize(&mut json)
        .map_err(|e| format!("NODE_CONFIG: {}: {}", e.path(), e.inner()))?;
    let text = serde_json::from_str(&text).map_err(|e| format!("NODE_CONFIG: {e}"))?;
    Ok((config, text))
}

/// What of the configuration holds from the start to the end, as JSON pointers.
const READ_AT_START: [&str; 6] = [
    "/name",
    "/listen",
    "/limits",
    "/settings/limits/connIdle",
    "/settings/limits/connectTimeout",
    "/settings/limits/maxOpen",
];

/// Reads the configuration anew: discovery may have moved, and new settings hold from now on. A file
/// that makes no sense, or is half written, changes nothing.
pub fn reload(runtime: &Runtime, text: &mut Value, kept: Option<&operator::Keys>) {
    if let Err(e) = read_config().and_then(|read| apply_config(runtime, text, read, kept)) {
        Metrics::add(&runtime.metrics.conf_invalid);
        log::error!("configuration not read anew, the old one stays: {e}");
    }
}

/// Puts a configuration to use that was read while the program runs; `text` is the one in force as it stands
/// in its file, and then the new one.
///
/// # Errors
///
/// Names the setting that makes no sense; nothing has changed then.
pub fn apply_config(
    runtime: &Runtime,
    text: &mut Value,
    (config, new): (Config, Value),
    kept: Option<&operator::Keys>,
) -> Result<(), String> {
    let (settings, tables) = config.to_settings()?;
    Metrics::add(&runtime.metrics.conf_loaded);
    log::info!("configuration read anew, discovery at {}", config.discovery);
    for key in READ_AT_START {
        if new.pointer(key) != text.pointer(key) {
            let key = key.trim_start_matches('/').replace('/', ".");
            log::warn!("NODE_CONFIG: {key}: has changed, which takes effect at the next start");
        }
    }
    if new["settings"] != text["settings"] {
        let rules = kept.map_or_else(Vec::new, |kept| kept.rules(&settings.classes));
        let until = runtime.clock.now() + sr::Span(runtime.limits.removed_class_grace.as_nanos() as u64);
        let (classes, attempts) = (tables.classes.all().join(","), settings.max_attempts);
        runtime.update_longest_deadline(&settings);
        let retune = crate::core::Reconfiguration { settings, tables, rules, accept_removed_until: until };
        runtime.feed(Input::Reconfigure(Box::new(retune)));
        runtime.register_classes();
        log::info!(classes = classes.as_str(), attempts = attempts; "new settings are in use");
    }
    *text = new;
    runtime.feed(Input::DiscoveryMoved(config.discovery));
    Ok(())
}
