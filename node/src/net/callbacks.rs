//! What runners tell of jobs, wherever the word comes in: the clients' address or, handed on by the other
//! process of an upgrade, the door. It owns the form of a call-back and what each state means. It must
//! never answer a runner, nor look for the job elsewhere.

use crate::core::{AttemptEnd, Input};
use crate::net::runners::{load_object, result_bytes};
use crate::runtime::Runtime;
use sablerun as sr;

/// A call-back's body.
#[derive(serde::Deserialize)]
pub struct CallBack {
    pub id: String,
    from: String,
    state: String,
    #[serde(default)]
    share: Option<f64>,
    #[serde(default)]
    result: serde_json::Value,
    #[serde(default)]
    load: Option<serde_json::Value>,
}

/// Lets the core know what a runner tells.
pub fn apply(runtime: &Runtime, told: CallBack) {
    let CallBack { id, from, state, .. } = told;
    let outcome = match state.as_str() {
        "started" => return runtime.feed(Input::Started { id, from }),
        "running" => {
            return runtime.feed(Input::Progress { id, from, share: told.share.unwrap_or(0.0) });
        }
        "done" => sr::Outcome::Ok,
        "failed" => sr::Outcome::Error,
        "returned" => sr::Outcome::Full,
        "lost" => sr::Outcome::Reset,
        other => return log::warn!("call-back with state {other:?} from {from}: passed over"),
    };
    let report = told.load.and_then(|load| runtime.with_tables(|tables| load_object(tables, &load)));
    let ending = AttemptEnd { outcome, result: result_bytes(told.result), report };
    runtime.feed(Input::Finished { id, from, end: ending });
}
