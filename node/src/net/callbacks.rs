//! The format of runners' call-backs, and their conversion to inputs of the core. They arrive on the front's
//! address or, forwarded by the other process of an upgrade, on the admin socket. This module neither
//! answers the runner nor forwards a call-back.

use crate::core::{AttemptEnd, Input};
use crate::net::runners::{load_object, result_bytes};
use crate::runtime::Runtime;
use sablerun as sr;

/// A call-back's body.
#[derive(serde::Deserialize)]
pub struct CallBack {
    pub id: String,
    /// The runner's name.
    from: String,
    state: String,
    /// The part of the job that is done, from 0 to 1.
    #[serde(default)]
    share: Option<f64>,
    #[serde(default)]
    result: serde_json::Value,
    #[serde(default)]
    load: Option<serde_json::Value>,
}

/// Hands a call-back to the core.
pub fn apply(runtime: &Runtime, call_back: CallBack) {
    let CallBack { id, from, state, .. } = call_back;
    let outcome = match state.as_str() {
        "started" => return runtime.feed(Input::Started { id, from }),
        "running" => {
            return runtime.feed(Input::Progress { id, from, share: call_back.share.unwrap_or(0.0) });
        }
        "done" => sr::Outcome::Ok,
        "failed" => sr::Outcome::Error,
        "returned" => sr::Outcome::Full,
        "lost" => sr::Outcome::Reset,
        other => return log::warn!("call-back with state {other:?} from {from}: ignored"),
    };
    let report = call_back.load.and_then(|load| runtime.with_tables(|tables| load_object(tables, &load)));
    let end = AttemptEnd { outcome, result: result_bytes(call_back.result, &runtime.memory), report };
    runtime.feed(Input::Finished { id, from, end });
}
