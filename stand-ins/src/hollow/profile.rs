//! How runners behave: what the platform's settings say of them, and what only runners know. It owns the reading
//! of that from the settings; it must never change while runners run.

use super::slots::{Load, SlowStart};
use serde_json::{Map, Value, json};
use std::time::Duration;

/// How runners behave.
#[derive(Clone, Debug)]
pub struct Profile {
    /// How a cold one gets warm.
    pub slow_start: SlowStart,
    /// Idle connections from dispatchers are closed after this.
    pub idle_timeout: Duration,
    /// A connection for a call-back must be up by then.
    pub connect_timeout: Duration,
    /// A call-back must be answered by then.
    pub callback_timeout: Duration,
    /// Between two tries of a call-back.
    pub callback_retry_pause: Duration,
    /// A connection for call-backs is closed when it has rested for so long.
    pub callback_idle_timeout: Duration,
    /// Whether probes are answered.
    pub answers_probes: bool,
    /// Whether the start of a request is told.
    pub reports_start: bool,
    /// The figures of a load report.
    pub report_fields: Vec<String>,
    /// Whether reports come with answers, and whether with probes.
    pub reports: (bool, bool),
}

impl Profile {
    /// What the settings of a dispatcher say of runners; what they don't say is the usual.
    pub fn from_settings(settings: &Value) -> Profile {
        let (limits, rules, reporting) = (&settings["limits"], &settings["rules"], &settings["reporting"]);
        let time = |value: &Value, usual: u64| Duration::from_nanos(value.as_u64().unwrap_or(usual));
        let how = reporting["how"].as_str().unwrap_or("silent");
        let fields = reporting["fields"].as_array().into_iter().flatten();
        Profile {
            slow_start: SlowStart {
                initial_speed: rules["coldFrom"].as_f64().unwrap_or(0.5),
                duration_us: time(&rules["warmAfter"], 8_000_000_000).as_micros() as u64,
            },
            idle_timeout: time(&limits["connIdle"], 10_000_000_000),
            connect_timeout: time(&limits["connectTimeout"], 250_000_000),
            callback_timeout: Duration::from_secs(1),
            callback_retry_pause: Duration::from_millis(50),
            callback_idle_timeout: Duration::from_secs(4),
            answers_probes: limits["probing"].as_bool().unwrap_or(false),
            reports_start: settings["extra"]["tellsStart"].as_bool().unwrap_or(false),
            report_fields: fields.filter_map(|name| Some(name.as_str()?.to_owned())).collect(),
            reports: (how == "piggyback", how == "piggyback" || how == "pull"),
        }
    }

    /// The report that states this load, by the names of the settings; what a runner does not know is left out.
    pub fn report(&self, load: &Load) -> Value {
        let value = |name: &str| match name {
            "outstanding" => Some(json!(load.running + load.queued)),
            "backlog" => Some(json!(load.queued)),
            "utilization" => Some(json!(f64::from(load.running) / f64::from(load.slots.max(1)))),
            "recent_ms" => Some(json!((load.mean_running_us / 10.0).round() / 100.0)),
            "errors_per_s" => Some(json!(0)),
            // As the settings of all our sites say: free slots.
            "x0" => Some(json!(load.slots - load.running)),
            _ => None,
        };
        let known = self.report_fields.iter().filter_map(|name| Some((name.clone(), value(name)?)));
        Value::Object(known.collect::<Map<_, _>>())
    }
}
