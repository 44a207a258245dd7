//! The settings object as it is on the wire: the names and the defaults of its keys. Values are checked in
//! [`Env::to_settings`].

/// The settings as they are on the wire. Unknown keys are ignored.
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
