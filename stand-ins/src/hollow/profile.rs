//! The behaviour of runners: what the platform's settings state about them, and defaults for the rest.

use super::slots::{Load, SlowStart};
use serde_json::{Map, Value, json};
use std::time::Duration;

/// The behaviour of runners, which does not change while they run.
#[derive(Clone, Debug)]
pub struct Profile {
    /// The speed after a cold start.
    pub slow_start: SlowStart,
    /// Idle connections from dispatchers are closed after this time.
    pub idle_timeout: Duration,
    /// The timeout for opening a call-back connection.
    pub connect_timeout: Duration,
    /// The timeout for one try of a call-back.
    pub callback_timeout: Duration,
    /// The pause between two tries of a call-back.
    pub callback_retry_pause: Duration,
    /// Idle call-back connections are closed after this time.
    pub callback_idle_timeout: Duration,
    /// Whether probes are answered.
    pub answers_probes: bool,
    /// Whether the start of a request is reported by call-back.
    pub reports_start: bool,
    /// The fields of a load report.
    pub report_fields: Vec<String>,
    /// Whether load reports are sent with call-backs, and whether with answers to probes.
    pub reports: (bool, bool),
}

impl Profile {
    /// Reads the behaviour from a dispatcher's settings, with defaults for what they lack.
    pub fn from_settings(settings: &Value) -> Profile {
        let (limits, rules, reporting) = (&settings["limits"], &settings["rules"], &settings["reporting"]);
        let duration = |value: &Value, default: u64| Duration::from_nanos(value.as_u64().unwrap_or(default));
        let how = reporting["how"].as_str().unwrap_or("silent");
        let fields = reporting["fields"].as_array().into_iter().flatten();
        Profile {
            slow_start: SlowStart {
                initial_speed: rules["coldFrom"].as_f64().unwrap_or(0.5),
                duration_us: duration(&rules["warmAfter"], 8_000_000_000).as_micros() as u64,
            },
            idle_timeout: duration(&limits["connIdle"], 10_000_000_000),
            connect_timeout: duration(&limits["connectTimeout"], 250_000_000),
            callback_timeout: Duration::from_secs(1),
            callback_retry_pause: Duration::from_millis(50),
            callback_idle_timeout: Duration::from_secs(4),
            answers_probes: limits["probing"].as_bool().unwrap_or(false),
            reports_start: settings["extra"]["tellsStart"].as_bool().unwrap_or(false),
            report_fields: fields.filter_map(|name| Some(name.as_str()?.to_owned())).collect(),
            reports: (how == "piggyback", how == "piggyback" || how == "pull"),
        }
    }

    /// Returns the load report for a load, with the fields named in the settings; fields that runners do
    /// not know are left out.
    pub fn report(&self, load: &Load) -> Value {
        let value = |name: &str| match name {
            "outstanding" => Some(json!(load.running + load.queued)),
            "backlog" => Some(json!(load.queued)),
            "utilization" => Some(json!(f64::from(load.running) / f64::from(load.slots.max(1)))),
            "recent_ms" => Some(json!((load.mean_running_us / 10.0).round() / 100.0)),
            "errors_per_s" => Some(json!(0)),
            // Free slots: the meaning of `x0` in the settings of all our sites.
            "x0" => Some(json!(load.slots - load.running)),
            _ => None,
        };
        let known = self.report_fields.iter().filter_map(|name| Some((name.clone(), value(name)?)));
        Value::Object(known.collect::<Map<_, _>>())
    }
}
