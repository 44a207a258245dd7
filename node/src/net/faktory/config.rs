//! The `faktory` section of the operator's file: its format, its defaults and its errors.

use crate::net::spiffe::{self, SpiffeId};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The `faktory` section of the operator's file.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaktoryConfig {
    /// The address for Faktory clients and workers.
    pub listen: SocketAddr,
    /// No TLS and no identities; must be stated explicitly.
    #[serde(default)]
    pub plaintext: bool,
    /// A file with the password that HELLO must prove, if one is required.
    pub password_file: Option<PathBuf>,
    /// The member whose share counts where neither the identity, the route nor the job names one.
    pub member: Option<String>,
    /// The zone and machine kind of workers whose identity names none.
    pub zone: Option<String>,
    pub kind: Option<String>,
    /// How long a FETCH waits for a job, in milliseconds.
    #[serde(default = "default_fetch_wait")]
    pub fetch_wait_ms: u64,
    /// Seconds after a worker's last BEAT, ACK, FAIL or new connection until it is removed.
    #[serde(default = "default_beat_limit")]
    pub beat_limit_s: f64,
    /// Most jobs that may be queued for a worker's next FETCH.
    #[serde(default = "default_queue")]
    pub queue_per_worker: usize,
    /// The files for TLS, which is required unless `plaintext` is set.
    pub tls: Option<spiffe::Files>,
    /// The identities that may connect over TLS.
    #[serde(default)]
    pub identity: Vec<Identity>,
    #[serde(default)]
    pub route: Vec<Route>,
    #[serde(default)]
    pub custom: Custom,
}

fn default_fetch_wait() -> u64 {
    2000
}

fn default_beat_limit() -> f64 {
    60.0
}

fn default_queue() -> usize {
    8
}

/// The role and attributes of an identity.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// A SPIFFE ID, or a prefix of SPIFFE IDs followed by `/*`.
    pub id: String,
    pub role: Role,
    pub member: Option<String>,
    pub zone: Option<String>,
    pub kind: Option<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    Client,
    Worker,
    Both,
}

/// The class and target of the jobs of a queue or job type; the first route that matches counts.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    pub queue: Option<String>,
    pub jobtype: Option<String>,
    pub class: String,
    pub member: Option<String>,
    /// The jobs' deadline; the class's if it is left out.
    pub deadline_ms: Option<u64>,
    /// The URL path under which runners of the platform get the job.
    #[serde(default = "default_target")]
    pub target: String,
}

/// The URL path of jobs whose route names none.
pub(super) fn default_target() -> String {
    "/api".to_owned()
}

/// The names of the keys in a job's `custom` that the dispatcher reads.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Custom {
    pub class: String,
    pub member: String,
    pub timeout_ms: String,
    pub cost_us: String,
    pub slots: String,
    pub key: String,
    /// True for the client's own later try of a job.
    pub retry: String,
}

impl Default for Custom {
    fn default() -> Custom {
        let name = str::to_owned;
        Custom {
            class: name("class"),
            member: name("member"),
            timeout_ms: name("timeout_ms"),
            cost_us: name("cost_us"),
            slots: name("slots"),
            key: name("key"),
            retry: name("retry"),
        }
    }
}

impl FaktoryConfig {
    /// Checks the section against the settings.
    ///
    /// # Errors
    ///
    /// Names the key at fault.
    pub fn check(&self, tables: &sablerun_settings::Tables) -> Result<(), String> {
        let known = |names: &sablerun_settings::NameTable, name: &Option<String>, key: &str| match name {
            Some(name) if names.get(name).is_none() => Err(format!("{key}: {name:?} is not in the settings")),
            _ => Ok(()),
        };
        if self.plaintext == self.tls.is_some() {
            return Err("plaintext: either it is true or there is a section tls".to_owned());
        }
        if self.plaintext != self.identity.is_empty() {
            return Err("identity: there must be some with tls, and none in plaintext".to_owned());
        }
        if self.fetch_wait_ms == 0 || self.fetch_wait_ms > 60_000 {
            return Err("fetch_wait_ms: from 1 to 60000".to_owned());
        }
        if !(0.1..=86_400.0).contains(&self.beat_limit_s) {
            return Err("beat_limit_s: from 0.1 to 86400".to_owned());
        }
        if self.tls.as_ref().is_some_and(|tls| !(0.05..=86_400.0).contains(&tls.reload_s)) {
            return Err("tls.reload_s: from 0.05 to 86400".to_owned());
        }
        known(&tables.tenants, &self.member, "member")?;
        known(&tables.zones, &self.zone, "zone")?;
        known(&tables.kinds, &self.kind, "kind")?;
        for identity in &self.identity {
            let id = identity.id.strip_suffix("/*").unwrap_or(&identity.id);
            SpiffeId::parse(id).map_err(|e| format!("identity.id: {e}"))?;
            known(&tables.tenants, &identity.member, "identity.member")?;
            known(&tables.zones, &identity.zone, "identity.zone")?;
            known(&tables.kinds, &identity.kind, "identity.kind")?;
        }
        if self.route.is_empty() {
            return Err("route: there is none".to_owned());
        }
        for route in &self.route {
            known(&tables.classes, &Some(route.class.clone()), "route.class")?;
            known(&tables.tenants, &route.member, "route.member")?;
            if !route.target.starts_with('/') {
                return Err("route.target: must begin with /".to_owned());
            }
        }
        Ok(())
    }
}
