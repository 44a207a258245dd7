//! The operator's file: optional features that an installation enables beside the platform's settings.
//! Defines the file's format, its defaults, and errors that name a key and its line.

use crate::net::faktory::FaktoryConfig;
use sablerun as sr;
use sablerun_keys as keys;
use sablerun_settings::Tables;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The operator's file, with a section for each subsystem. A subsystem without a section is off.
#[derive(Clone, Debug, Default, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The Faktory front.
    pub faktory: Option<FaktoryConfig>,
    /// Idempotency keys from clients.
    pub keys: Option<Keys>,
    /// A load digest that is followed instead of probing.
    pub digest: Option<Digest>,
}

/// The section `digest`.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Digest {
    /// Where the publisher listens.
    pub at: SocketAddr,
    /// Time between two frames as configured at the publisher, in seconds.
    #[serde(default = "default_every")]
    pub every_s: f64,
    /// Time without a frame after which the digest is stale, in seconds.
    #[serde(default = "default_silent")]
    pub silent_s: f64,
}

fn default_silent() -> f64 {
    3.0
}

/// The section `keys`.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Keys {
    /// Most keys stored at once.
    pub entries: usize,
    /// Most memory for keys and results, in MiB.
    pub memory_mb: usize,
    /// Largest result that is stored, in bytes.
    pub result_bytes: usize,
    /// Longest key, in bytes.
    pub key_bytes: usize,
    /// Share of the entries that one member may use.
    pub member_share: f64,
    /// Time for which a key of a request that may have run is stored, in seconds. Default: three times the
    /// class's deadline, or its window if that is longer.
    pub remember_s: Option<f64>,
    /// Time after a start during which a marked retry under an unknown key fails, in seconds. Default: as
    /// long as keys are stored.
    pub doubt_s: Option<f64>,
    /// The snapshot in which keys survive a restart.
    pub snapshot: Option<SnapshotFile>,
}

/// The section `keys.snapshot`.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotFile {
    /// The file. `FILE.tmp` and `FILE.lock` are created beside it.
    pub file: PathBuf,
    /// Time between two snapshots, in seconds.
    #[serde(default = "default_every")]
    pub every_s: f64,
}

fn default_every() -> f64 {
    1.0
}

impl Default for Keys {
    fn default() -> Keys {
        Keys {
            entries: 50_000,
            memory_mb: 16,
            result_bytes: 16 * 1024,
            key_bytes: 1024,
            member_share: 0.5,
            remember_s: None,
            doubt_s: None,
            snapshot: None,
        }
    }
}

impl Operator {
    /// Reads the operator's file.
    ///
    /// # Errors
    ///
    /// One line that names the file, the line and the invalid key.
    pub fn read(path: &Path) -> Result<Operator, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Operator::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Parses the file's text. A file with the Faktory front's keys at its top level, the format before
    /// sections were introduced, is read as that section only.
    pub fn parse(text: &str) -> Result<Operator, String> {
        let table: toml::Table = toml::from_str(text).map_err(|e| with_line(text, e.span(), e.message()))?;
        if !table.contains_key("listen") {
            return parse_section(text);
        }
        if let Some(other) = ["faktory", "keys", "digest"].into_iter().find(|name| table.contains_key(*name))
        {
            return Err(format!(
                "{other}: the Faktory front's keys stand at this file's top, the old form; move them under \
                 [faktory] to use sections"
            ));
        }
        Ok(Operator { faktory: Some(parse_section(text)?), ..Operator::default() })
    }

    /// Checks the file against the settings and the machine's memory.
    ///
    /// # Errors
    ///
    /// Names the invalid key.
    pub fn check(&self, tables: &Tables, memory_mb: usize) -> Result<(), String> {
        if let Some(faktory) = &self.faktory {
            faktory.check(tables).map_err(|e| format!("faktory: {e}"))?;
        }
        if let Some(keys) = &self.keys {
            keys.check(memory_mb).map_err(|e| format!("keys: {e}"))?;
        }
        if let Some(digest) = &self.digest {
            digest.check().map_err(|e| format!("digest: {e}"))?;
        }
        Ok(())
    }
}

fn parse_section<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, String> {
    let toml = toml::Deserializer::parse(text).map_err(|e| with_line(text, e.span(), e.message()))?;
    serde_path_to_error::deserialize(toml).map_err(|e| {
        let (path, inner) = (e.path().to_string(), e.inner());
        let message = inner.message().replace('\n', " ");
        with_line(text, inner.span(), &if path == "." { message } else { format!("{path}: {message}") })
    })
}

/// Adds the line number of an error to its message.
fn with_line(text: &str, span: Option<std::ops::Range<usize>>, message: &str) -> String {
    let message = message.replace('\n', " ");
    match span.and_then(|span| text.get(..span.start)) {
        Some(before) => format!("line {}: {message}", before.matches('\n').count() + 1),
        None => message,
    }
}

impl Digest {
    pub fn check(&self) -> Result<(), String> {
        if !(0.1..=60.0).contains(&self.every_s) {
            return Err("every_s: from 0.1 to 60".to_owned());
        }
        if !(self.every_s..=300.0).contains(&self.silent_s) {
            return Err("silent_s: from every_s to 300".to_owned());
        }
        Ok(())
    }

    /// Time between two frames.
    pub fn interval(&self) -> sr::Span {
        sr::Span::from_secs(self.every_s)
    }

    /// Time without a frame after which the digest is stale.
    pub fn max_silence(&self) -> Duration {
        Duration::from_secs_f64(self.silent_s)
    }
}

impl Keys {
    pub fn check(&self, memory_mb: usize) -> Result<(), String> {
        if self.entries == 0 || self.entries > 100_000_000 {
            return Err("entries: from 1 to 100000000".to_owned());
        }
        // The rest of the memory is for the dispatcher itself.
        if self.memory_mb == 0 || self.memory_mb * 2 > memory_mb {
            return Err(format!("memory_mb: from 1 to {}, half of the machine's", memory_mb / 2));
        }
        if self.result_bytes > self.memory_mb << 20 {
            return Err("result_bytes: more than memory_mb".to_owned());
        }
        if self.key_bytes == 0 || self.key_bytes > 65_536 {
            return Err("key_bytes: from 1 to 65536".to_owned());
        }
        if !(self.member_share > 0.0 && self.member_share <= 1.0) {
            return Err("member_share: above 0, and 1 at the most".to_owned());
        }
        for (name, time) in [("remember_s", self.remember_s), ("doubt_s", self.doubt_s)] {
            if time.is_some_and(|s| !(0.0..=86_400.0).contains(&s)) {
                return Err(format!("{name}: from 0 to 86400"));
            }
        }
        if let Some(snapshot) = &self.snapshot {
            if !(0.05..=3_600.0).contains(&snapshot.every_s) {
                return Err("snapshot.every_s: from 0.05 to 3600".to_owned());
            }
            if snapshot.file.file_name().is_none() {
                return Err("snapshot.file: names no file".to_owned());
            }
        }
        Ok(())
    }

    /// The limits of the key store.
    pub fn bounds(&self, hold_off: sr::Span) -> keys::Bounds {
        keys::Bounds {
            max_entries: self.entries,
            max_bytes: self.memory_mb << 20,
            max_result_bytes: self.result_bytes,
            max_key_bytes: self.key_bytes,
            max_entries_per_member: ((self.entries as f64 * self.member_share) as usize).max(1),
            hold_off,
        }
    }

    /// How long a class's keys are stored. A client that makes three tries, each with the class's deadline,
    /// is done after three deadlines: a later repeat is a new job.
    pub fn rule(&self, class: &sr::Class) -> keys::Retention {
        let keep = self.remember_s.map_or(sr::Span(class.deadline.0.saturating_mul(3)), sr::Span::from_secs);
        keys::Retention { window: class.window, uncertain_ttl: keep.max(class.window) }
    }

    /// The rules of these classes, in order.
    pub fn rules(&self, classes: &[sr::Class]) -> Vec<keys::Retention> {
        classes.iter().map(|class| self.rule(class)).collect()
    }

    /// For how long after a start a marked retry in a class may repeat a request that a predecessor sent to
    /// a location unknown to this process. Zero if all runners form one deduplication group, since then any
    /// runner drops the repeat.
    pub fn doubt_period(&self, class: &sr::Class) -> sr::Span {
        match class.idempotency {
            sr::Idempotency::Safe | sr::Idempotency::Keyed(sr::DedupScope::All) => sr::Span(0),
            _ => self.doubt_s.map_or(self.rule(class).uncertain_ttl, sr::Span::from_secs),
        }
    }
}
