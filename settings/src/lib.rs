//! The settings object that a dispatcher receives, as JSON, and what follows from it: the module's
//! [`Settings`](sr::Settings) and the tables that turn names into ids and back. The adapter reads
//! the object from the simulator's first message and the real program from its configuration, so
//! this crate owns its form and must never read a clock, a file or a socket, nor decide anything.

#![allow(missing_docs, reason = "the fields are the settings' own; the operators' pages explain them")]

use sablerun as sr;
use std::collections::HashMap;

mod renew;

pub use renew::{Renewed, renew};

/// Names in the order in which they were first met.
#[derive(Clone, Debug, Default)]
pub struct Names {
    numbers: HashMap<String, u32>,
    names: Vec<String>,
    quoted: Vec<String>,
}

impl Names {
    /// A table of these names.
    pub fn of<'a>(names: impl IntoIterator<Item = &'a String>) -> Names {
        let mut all = Names::default();
        for name in names {
            all.number(name);
        }
        all
    }

    /// The number of a name; a new one for a new name.
    pub fn number(&mut self, name: &str) -> u32 {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let number = self.names.len() as u32;
        self.numbers.insert(name.to_owned(), number);
        self.names.push(name.to_owned());
        self.quoted.push(serde_json::Value::from(name).to_string());
        number
    }

    /// The number of a name that is known.
    pub fn get(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    /// The name behind a number.
    pub fn name(&self, number: u32) -> &str {
        &self.names[number as usize]
    }

    /// All names, in the order of their numbers.
    pub fn all(&self) -> &[String] {
        &self.names
    }

    /// The name behind a number, as JSON text.
    pub fn quoted(&self, number: u32) -> &str {
        &self.quoted[number as usize]
    }
}

/// Where a value of a load report goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    Inflight,
    Latency,
    FreeSlots,
    FreeMemory,
    Errors,
    Unused,
}

impl Field {
    /// Puts a value where it belongs.
    pub fn set(self, report: &mut sr::Report, value: Option<f64>) {
        match self {
            Field::Inflight => report.inflight = value,
            Field::Latency => report.latency = value.map(|ms| sr::Span::from_secs(ms / 1e3)),
            Field::FreeSlots => report.free_slots = value,
            Field::FreeMemory => report.free_memory = value,
            Field::Errors => report.errors_per_s = value,
            Field::Unused => {}
        }
    }
}

/// The tables that turn names into the module's ids, and the meaning of a report's fields.
#[derive(Clone, Debug)]
pub struct Tables {
    pub workers: Names,
    pub zones: Names,
    pub kinds: Names,
    pub classes: Names,
    pub tenants: Names,
    /// The report's fields by name, in the settings' order.
    pub fields: Vec<(String, Field)>,
}

impl Tables {
    /// A report given as a row of values in the settings' order.
    pub fn report(&self, row: Vec<Option<f64>>) -> sr::Report {
        let mut report = sr::Report::default();
        for ((_, field), value) in self.fields.iter().zip(row) {
            field.set(&mut report, value);
        }
        report
    }

    /// A report given as named values. On sockets some fields go by a shorter name than in the
    /// settings: both are understood.
    pub fn named_report<'a>(&self, values: impl IntoIterator<Item = (&'a str, f64)>) -> sr::Report {
        let mut report = sr::Report::default();
        for (name, value) in values {
            let long = match name {
                "inflight" => "outstanding",
                "latency_ms" => "recent_ms",
                "eps" => "errors_per_s",
                "queue" => "backlog",
                "util" => "utilization",
                "qps" => "throughput",
                name => name,
            };
            if let Some((_, field)) = self.fields.iter().find(|(known, _)| known == name || known == long) {
                field.set(&mut report, Some(value));
            }
        }
        report
    }
}

/// The settings as the wire gives them; keys that are not named here are ignored.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Env {
    pub balancers: u32,
    #[serde(default)]
    pub me: u32,
    pub services: Vec<Service>,
    #[serde(default)]
    pub client_habits: ClientHabits,
    #[serde(default)]
    pub extra: Extra,
    pub failure_domains: Vec<String>,
    #[serde(default)]
    pub goal: Goal,
    #[serde(default)]
    pub kinds: Vec<String>,
    pub limits: Limits,
    pub membership_mode: String,
    #[serde(default = "one")]
    pub over_share_worth: f64,
    #[serde(default)]
    pub prices: Prices,
    #[serde(default)]
    pub projects: Vec<Project>,
    pub reporting: Reporting,
    pub rules: Rules,
    pub tick: u64,
    #[serde(default)]
    pub weights: String,
    #[serde(default)]
    pub worth_by: String,
    pub zone: String,
}

#[derive(Clone, Debug, Default, serde::Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct ClientHabits {
    pub marks_retry: bool,
}

#[derive(Clone, Debug, Default, serde::Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Goal {
    pub tail_part: f64,
    pub tail_miss: f64,
}

fn one() -> f64 {
    1.0
}

#[derive(Clone, Debug, serde::Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Service {
    pub name: String,
    pub objective: u64,
    pub deadline: u64,
    pub importance: f64,
    #[serde(default)]
    pub late_worth: f64,
    pub repeat: String,
    #[serde(default)]
    pub group: Option<String>,
    #[serde(default)]
    pub window: u64,
    #[serde(default)]
    pub aim_stretch: Option<f64>,
}

#[derive(Clone, Debug, Default, serde::Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Extra {
    pub class_kind: Vec<i64>,
    pub class_stretch: Vec<f64>,
    pub progress: u64,
    pub tells_start: bool,
    #[serde(rename = "reportX0")]
    pub report_x0: Option<String>,
    #[serde(rename = "reportX1")]
    pub report_x1: Option<String>,
}

#[derive(Clone, Debug, serde::Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Limits {
    #[serde(default)]
    pub cancel: bool,
    #[serde(default)]
    pub probing: bool,
    #[serde(default)]
    pub parallel_tries: bool,
    #[serde(default)]
    pub conn_idle: Option<u64>,
    #[serde(default)]
    pub connect_timeout: Option<u64>,
    #[serde(default)]
    pub max_open: Option<u64>,
    pub try_limit: u32,
    #[serde(default)]
    pub retry_after: bool,
    #[serde(default)]
    pub max_retry_after: u64,
}

#[derive(Clone, Debug, Default, serde::Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Prices {
    pub cross_zone: f64,
    pub handshake: f64,
    pub waste: f64,
    pub probe: f64,
    pub late_fail: f64,
}

#[derive(Clone, Debug, serde::Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Project {
    pub name: String,
    pub quota_per_s: f64,
}

#[derive(Clone, Debug, serde::Deserialize)]
pub struct Reporting {
    #[serde(default)]
    pub fields: Vec<String>,
}

#[derive(Clone, Debug, serde::Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Rules {
    pub cold_from: f64,
    pub warm_after: u64,
    pub fall_multiple: f64,
    pub fall: u64,
    pub drain_grace: u64,
    #[serde(default)]
    pub answer_slack: Option<u64>,
    #[serde(default)]
    pub ask_within: Option<u64>,
    #[serde(default)]
    pub extra_floor: Option<f64>,
    #[serde(default)]
    pub repeat_ratio: Option<f64>,
    #[serde(default)]
    pub look_back: Option<u64>,
    #[serde(default)]
    pub drain_binds_alone: bool,
}

impl Env {
    /// The module's settings and the name tables.
    ///
    /// # Errors
    ///
    /// Names the setting that makes no sense.
    pub fn settle(&self) -> Result<(sr::Settings, Tables), String> {
        let env = self;
        let mut zones = Names::of(&env.failure_domains);
        let kinds = Names::of(&env.kinds);
        let classes = env.services.iter().enumerate();
        let settings = sr::Settings {
            dispatchers: env.balancers,
            number: env.me,
            zone: Some(sr::ZoneId(zones.number(&env.zone))),
            classes: classes
                .map(|(i, service)| {
                    let kind = env.extra.class_kind.get(i).copied().unwrap_or(-1);
                    let stretch = env.extra.class_stretch.get(i).copied();
                    Ok(sr::Class {
                        objective: sr::Span(service.objective),
                        stretch: service.aim_stretch.or(stretch).unwrap_or(0.0),
                        deadline: sr::Span(service.deadline),
                        worth: service.importance,
                        late_worth: service.late_worth,
                        effect: effect(&service.repeat, service.group.as_deref())?,
                        window: sr::Span(service.window),
                        kind: u32::try_from(kind).ok().map(sr::KindId),
                    })
                })
                .collect::<Result<_, String>>()?,
            tenants: env
                .projects
                .iter()
                .map(|project| sr::Tenant { quota_per_s: project.quota_per_s })
                .collect(),
            over_share_worth: env.over_share_worth,
            prices: sr::Prices {
                cross_zone: env.prices.cross_zone,
                handshake: env.prices.handshake,
                waste: env.prices.waste,
                probe: env.prices.probe,
                late_fail: env.prices.late_fail,
            },
            discovery: match env.membership_mode.as_str() {
                "pushed" => sr::Discovery::Pushed,
                "on_request" => sr::Discovery::Asked,
                other => return Err(format!("membershipMode {other:?}")),
            },
            tick: sr::Span(env.tick),
            tells_start: env.extra.tells_start,
            progress: sr::Span(env.extra.progress),
            cancel: env.limits.cancel,
            probing: env.limits.probing,
            parallel: env.limits.parallel_tries,
            idle_limit: env.limits.conn_idle.map_or(sr::Settings::default().idle_limit, sr::Span),
            max_attempts: env.limits.try_limit,
            budget: budget(&env.rules)?,
            tail: sr::Tail { weight: env.goal.tail_part, tolerated: env.goal.tail_miss },
            worth_by_work: env.worth_by == "work",
            marks_retries: env.client_habits.marks_retry,
            sized: matches!(env.weights.as_str(), "nominal" | "rough"),
            max_hold_off: sr::Span(if env.limits.retry_after { env.limits.max_retry_after } else { 0 }),
            drain_grace: sr::Span(env.rules.drain_grace),
            ask_within: env.rules.ask_within.map_or(sr::Settings::default().ask_within, sr::Span),
            // A figure of the protocol, which no setting carries.
            told_within: sr::Settings::default().told_within,
            drain_binds_alone: env.rules.drain_binds_alone,
            cold_from: env.rules.cold_from,
            warm_after: sr::Span(env.rules.warm_after),
            fall_multiple: env.rules.fall_multiple,
            fall: sr::Span(env.rules.fall),
        };
        let fields = env.reporting.fields.iter().map(|name| {
            let meaning = match name.as_str() {
                "x0" => env.extra.report_x0.as_deref().unwrap_or(""),
                "x1" => env.extra.report_x1.as_deref().unwrap_or(""),
                name => name,
            };
            let field = match meaning {
                "outstanding" => Field::Inflight,
                "recent_ms" => Field::Latency,
                "free slots" => Field::FreeSlots,
                "free memory" => Field::FreeMemory,
                "errors_per_s" => Field::Errors,
                _ => Field::Unused,
            };
            (name.clone(), field)
        });
        let fields = fields.collect();
        let classes = Names::of(env.services.iter().map(|service| &service.name));
        let tenants = Names::of(env.projects.iter().map(|project| &project.name));
        // Numbers are places in these lists: a name twice would shift all that follow.
        for (what, named, listed) in
            [("services", &classes, env.services.len()), ("projects", &tenants, env.projects.len())]
        {
            if named.all().len() < listed {
                return Err(format!("{what}: a name stands twice"));
            }
        }
        let tables = Tables { workers: Names::default(), zones, kinds, classes, tenants, fields };
        settings.validate().map_err(|e| match key(e.0) {
            Some(key) => format!("{e}, by the key {key}"),
            None => e.to_string(),
        })?;
        Ok((settings, tables))
    }
}

/// The key that stands for a setting of the module, where it goes by another name: who must mend the file
/// looks for that.
fn key(setting: &str) -> Option<&'static str> {
    Some(match setting {
        "dispatchers" => "balancers",
        "number" => "me",
        "classes" => "services",
        "classes.deadline" => "services.deadline",
        "classes.worth" => "services.importance",
        "classes.stretch" => "services.aimStretch or extra.classStretch",
        "tenants.quota_per_s" => "projects.quotaPerS",
        "max_attempts" => "limits.tryLimit",
        "progress" => "extra.progress",
        "cold_from" => "rules.coldFrom",
        "fall_multiple" => "rules.fallMultiple",
        "over_share_worth" => "overShareWorth",
        "prices.cross_zone" => "prices.crossZone",
        "prices.late_fail" => "prices.lateFail",
        "budget.floor" => "rules.extraFloor",
        "budget.ratio" => "rules.repeatRatio",
        "budget.window" => "rules.lookBack",
        "tail.weight" => "goal.tailPart",
        "tail.tolerated" => "goal.tailMiss",
        _ => return None,
    })
}

fn effect(repeat: &str, group: Option<&str>) -> Result<sr::Effect, String> {
    Ok(match (repeat, group) {
        ("retryable", _) => sr::Effect::Safe,
        ("fragile", _) => sr::Effect::Unsafe,
        ("dedup", Some("zone")) => sr::Effect::Keyed(sr::Group::Zone),
        ("dedup", Some("cell")) => sr::Effect::Keyed(sr::Group::Cell),
        ("dedup", Some("all") | None) => sr::Effect::Keyed(sr::Group::All),
        _ => return Err(format!("services repeat {repeat:?}, group {group:?}")),
    })
}

/// The budget of further attempts: all three settings or none.
fn budget(rules: &Rules) -> Result<Option<sr::Budget>, String> {
    match (rules.extra_floor, rules.repeat_ratio, rules.look_back) {
        (None, None, None) => Ok(None),
        (Some(floor), Some(ratio), Some(window)) => {
            Ok(Some(sr::Budget { floor, ratio, window: sr::Span(window) }))
        }
        _ => Err("rules extraFloor, repeatRatio and lookBack go together".to_owned()),
    }
}
