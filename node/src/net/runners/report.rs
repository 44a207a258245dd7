//! Parses load reports of runners, in headers, bodies and call-backs, and converts the results of jobs. The
//! settings' tables decide which names a report may hold and what they mean.

use crate::memory::MemoryBudget;
use bytes::Bytes;
use sablerun as sr;
use sablerun_settings::Tables;

/// Parses a load report written as `TEXT name=value, name=value`.
pub fn load_text(tables: &Tables, text: &str) -> Option<sr::Report> {
    let text = text.trim();
    let text = text.strip_prefix("TEXT").unwrap_or(text);
    let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
    let values: Vec<_> = pairs.filter_map(|(n, v)| Some((n.trim(), v.trim().parse().ok()?))).collect();
    (!values.is_empty()).then(|| tables.named_report(values))
}

/// Parses a load report written as a JSON object.
pub fn load_object(tables: &Tables, load: &serde_json::Value) -> Option<sr::Report> {
    let values = load.as_object()?.iter();
    Some(tables.named_report(values.filter_map(|(name, value)| Some((name.as_str(), value.as_f64()?)))))
}

/// Parses a load report in either form.
pub fn load_body(tables: &Tables, body: &[u8]) -> Option<sr::Report> {
    match serde_json::from_slice(body) {
        Ok(value) => load_object(tables, &value),
        Err(_) => load_text(tables, std::str::from_utf8(body).ok()?),
    }
}

/// Converts a call-back's result to the body of the answer: text as it is, anything else as JSON. Its memory
/// counts against the budget, which the call-back that it was read from is about to leave.
pub fn result_bytes(result: serde_json::Value, memory: &MemoryBudget) -> Bytes {
    let text = match result {
        serde_json::Value::Null => String::new(),
        serde_json::Value::String(text) => text,
        other => other.to_string(),
    };
    let mut bytes = text.into_bytes();
    bytes.shrink_to_fit();
    memory.adopt(bytes)
}
