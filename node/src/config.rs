//! The platform's configuration in `$NODE_CONFIG`: read at the start, and again on SIGHUP. An invalid file is
//! rejected as a whole.

use crate::core::Input;
use crate::metrics::Metrics;
use crate::net::hosts;
use crate::operator;
use crate::runtime::Runtime;
use sablerun as sr;
use sablerun_settings::{Env, Tables};
use serde_json::Value;
use std::net::SocketAddr;

/// The contents of `$NODE_CONFIG`.
#[derive(serde::Deserialize)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: String,
    pub limits: Machine,
    /// A runner list saved before the start, if there is one.
    #[serde(default)]
    pub known: Option<hosts::Hosts>,
    /// The address of the admin socket, if there is one. `$NODE_ADMIN_ADDR` overrides it.
    #[serde(default)]
    pub admin_addr: Option<SocketAddr>,
    pub settings: Env,
}

impl Config {
    /// Converts to the balancer's settings and the name tables. If runner lists are pushed, they come over a
    /// watch on the machine's own agent, which must be opened.
    ///
    /// # Errors
    ///
    /// Names the invalid setting.
    pub fn to_settings(&self) -> Result<(sr::Settings, Tables), String> {
        let (mut settings, tables) =
            self.settings.to_settings().map_err(|e| format!("NODE_CONFIG: settings: {e}"))?;
        if settings.discovery == sr::Discovery::Pushed {
            settings.discovery = sr::Discovery::Agent;
        }
        Ok((settings, tables))
    }

    /// The seed of the balancer's random numbers.
    ///
    /// # Errors
    ///
    /// It is not a hexadecimal number.
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

/// Reads `$NODE_CONFIG`, and returns it parsed and as JSON.
pub fn read_config() -> Result<(Config, Value), String> {
    let path = std::env::var("NODE_CONFIG").map_err(|_| "NODE_CONFIG is not set".to_owned())?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("NODE_CONFIG: {path}: {e}"))?;
    let mut deserializer = serde_json::Deserializer::from_str(&text);
    let config: Config = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|e| format!("NODE_CONFIG: {}: {}", e.path(), e.inner()))?;
    let json = serde_json::from_str(&text).map_err(|e| format!("NODE_CONFIG: {e}"))?;
    Ok((config, json))
}

/// The parts of the configuration whose changes only take effect at the next start, as JSON pointers.
const READ_AT_START: [&str; 6] = [
    "/name",
    "/listen",
    "/limits",
    "/settings/limits/connIdle",
    "/settings/limits/connectTimeout",
    "/settings/limits/maxOpen",
];

/// Reloads the configuration: the address of discovery and the settings may have changed. An invalid or
/// partially written file changes nothing.
pub fn reload(runtime: &Runtime, current: &mut Value, key_config: Option<&operator::Keys>) {
    if let Err(e) = read_config().and_then(|read| apply_config(runtime, current, read, key_config)) {
        Metrics::add(&runtime.metrics.conf_invalid);
        log::error!("configuration not reloaded, the previous one stays in use: {e}");
    }
}

/// Applies a configuration that was read while the program runs. `current` is the JSON of the configuration
/// in force, and is replaced by the new one.
///
/// # Errors
///
/// Names the invalid setting; nothing has changed then.
pub fn apply_config(
    runtime: &Runtime,
    current: &mut Value,
    (config, new): (Config, Value),
    key_config: Option<&operator::Keys>,
) -> Result<(), String> {
    let (settings, tables) = config.to_settings()?;
    Metrics::add(&runtime.metrics.conf_loaded);
    log::info!("configuration reloaded, discovery at {}", config.discovery);
    for key in READ_AT_START {
        if new.pointer(key) != current.pointer(key) {
            let key = key.trim_start_matches('/').replace('/', ".");
            log::warn!("NODE_CONFIG: {key}: has changed, which takes effect at the next start");
        }
    }
    if new["settings"] != current["settings"] {
        let rules = key_config.map_or_else(Vec::new, |key_config| key_config.rules(&settings.classes));
        let accept_removed_until =
            runtime.clock.now() + sr::Span(runtime.limits.removed_class_grace.as_nanos() as u64);
        let (classes, attempts) = (tables.classes.all().join(","), settings.max_attempts);
        runtime.update_longest_deadline(&settings);
        let reconfiguration = crate::core::Reconfiguration { settings, tables, rules, accept_removed_until };
        runtime.feed(Input::Reconfigure(Box::new(reconfiguration)));
        runtime.register_classes();
        log::info!(classes = classes.as_str(), attempts = attempts; "new settings are in use");
    }
    *current = new;
    runtime.feed(Input::DiscoveryMoved(config.discovery));
    Ok(())
}
