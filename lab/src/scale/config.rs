//! The configuration of a dispatcher of the scale run, the same for a real and a hollow one. Writes no file.

use super::protocol::Layout;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// Returns the content of the `$NODE_CONFIG` file for dispatcher `number`.
pub fn dispatcher_config(layout: &Layout, number: usize, settings: &Value, discovery: SocketAddr) -> Value {
    let dispatcher = &layout.dispatchers[number];
    let mut settings = settings.clone();
    settings["me"] = json!(number);
    settings["zone"] = json!(layout.zones[dispatcher.zone].name);
    let seed = fastrand::Rng::with_seed(layout.seed.wrapping_add(number as u64)).u64(..);
    json!({"name": dispatcher.name, "listen": dispatcher.listen.to_string(), "discovery": discovery.to_string(),
           "seed": format!("{seed:016x}"), "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 4096},
           "settings": settings})
}
