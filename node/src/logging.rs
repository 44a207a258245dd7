//! The log's format, as lines of text or one JSON object a line, and its default level.

use crate::cli::LogFormat;
use log::kv::{self, Key, Value, VisitSource};
use serde_json::{Map, json};
use std::io::Write;

/// Initializes the log. Must be called only once.
pub fn start(format: LogFormat) {
    let env = env_logger::Env::default().default_filter_or("info");
    let mut builder = env_logger::Builder::from_env(env);
    match format {
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

/// Adds a record's key-value fields to a line. They can't replace the line's own fields.
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
