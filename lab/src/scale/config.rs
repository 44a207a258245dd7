//! What a dispatcher of the scale run is told in its configuration, real or hollow. It owns that form, so that
//! both are told the same; it must never write a file.

use super::words::Layout;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// What stands in `$NODE_CONFIG` of the dispatcher of this number.
pub fn config(layout: &Layout, number: usize, settings: &Value, discovery: SocketAddr) -> Value {
    let dispatcher = &layout.dispatchers[number];
    let mut settings = settings.clone();
    settings["me"] = json!(number);
    settings["zone"] = json!(layout.zones[dispatcher.zone].name);
    let seed = fastrand::Rng::with_seed(layout.seed.wrapping_add(number as u64)).u64(..);
    json!({"name": dispatcher.name, "listen": dispatcher.listen.to_string(), "discovery": discovery.to_string(),
           "seed": format!("{seed:016x}"), "limits": {"cores": 1.0, "memory_mb": 256, "sockets": 4096},
           "settings": settings})
}
