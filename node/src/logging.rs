//! The log: lines of text, or one JSON object a line. It owns the form of a line and its level's default.
//! It must never decide what is logged.

use crate::cli::LogFormat;
use log::kv::{self, Key, Value, VisitSource};
use serde_json::{Map, json};
use std::io::Write;

/// Sets the log up; to be called once.
pub fn start(form: LogFormat) {
    let env = env_logger::Env::default().default_filter_or("info");
    let mut builder = env_logger::Builder::from_env(env);
    match form {
        LogFormat::Text => builder.format_timestamp_millis(),
        LogFormat::Json => builder.format(|out, record| {
            let mut line = Map::new();
            line.insert("time".into(), json!(out.timestamp_millis().to_string()));
            line.insert("level".into(), json!(record.level().as_str()));
            line.insert("target".into(), json!(record.target()));
            line.insert("message".into(), json!(record.args().to_string()));
            let _ = record.key_values().visit(&mut Fields(&mut line));
            writeln!(out, "{}", serde_json::Value::from(line))
        }),
    };
    builder.init();
}

/// A record's fields, beside the line's own, which they may not replace.
struct Fields<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let json = match (value.to_u64(), value.to_i64(), value.to_f64(), value.to_bool()) {
            (Some(number), ..) => json!(number),
            (_, Some(number), ..) => json!(number),
            (_, _, Some(number), _) => json!(number),
            (.., Some(flag)) => json!(flag),
            _ => json!(value.to_string()),
        };
        self.0.entry(key.to_string()).or_insert(json);
        Ok(())
    }
}
