//! The form of a scale run's file: the whole size, the site, the stream, the sweep and single points, with its
//! defaults and errors. It owns what the keys may say, and must never start anything or ask what the machine
//! bears (that is `machine`'s). Times end in their unit; shares and sizes are parts of the whole.

use super::point::{Fault, Point};
use crate::experiment::Bound;
use serde::Deserialize;
use std::path::Path;

/// What is varied in a sweep, one at a time.
pub const QUANTITIES: [&str; 5] = ["runners", "dispatchers", "tenants", "running", "changes"];

/// A scale run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Always `scale`: what tells this file from other experiments.
    pub kind: String,
    /// What it shows, in a sentence.
    pub about: String,
    /// The seed of all random numbers.
    pub seed: u64,
    /// By how much the sizes of all points are multiplied where a check's command does not say.
    #[serde(default = "one")]
    pub size: f64,
    /// The whole size.
    pub whole: Whole,
    /// Where runners and dispatchers stand.
    pub site: Site,
    /// What is asked for.
    pub stream: Asked,
    /// How dispatchers are set.
    pub control: Control,
    /// The sweep.
    pub sweep: Sweep,
    /// Points beside the sweep.
    #[serde(default)]
    pub point: Vec<Point>,
    /// Points of which one is held against another.
    #[serde(default)]
    pub compare: Vec<Compare>,
    /// What a check must keep.
    #[serde(default)]
    pub bound: Vec<Bound>,
    /// The main figure, `point.figure`.
    pub main: String,
}

/// The whole size of each quantity.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs, reason = "the names are the quantities'")]
pub struct Whole {
    pub runners: f64,
    pub dispatchers: f64,
    pub tenants: f64,
    /// Requests out at once.
    pub running: f64,
    /// Changes a second.
    pub changes: f64,
}

/// Regions, zones, racks and kinds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// The number of zones of each region.
    pub zones: Vec<usize>,
    /// Racks in all; each stands in one zone.
    pub racks: usize,
    /// The runners' kinds.
    pub kind: Vec<Kind>,
    /// The part of all slots that is taken by what runs at once: a runner's slots follow from it.
    pub load: f64,
}

/// A kind of runner.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs, reason = "the names say it")]
pub struct Kind {
    pub name: String,
    /// Its part of all runners.
    pub share: f64,
}

/// The stream; its rate follows from how many run at once and for how long, by Little's law.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs, reason = "the names are those of `words::Stream`, which explains them")]
pub struct Asked {
    pub work_mean_s: f64,
    pub work_most_s: f64,
    pub urgent: f64,
    pub gang_most: u32,
    pub gang_share: f64,
    pub deadline_s: f64,
}

/// How dispatchers are set.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Whether they may probe runners.
    pub probing: bool,
    /// Idle time after which a runner closes a connection.
    pub conn_idle_s: f64,
    /// The operator's file of the real ones.
    #[serde(default)]
    pub operator: String,
}

/// All quantities together at these sizes, and each alone with the others at a base.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sweep {
    /// The sizes, in rising order.
    pub sizes: Vec<f64>,
    /// The others' size where one is varied: one of the sizes.
    pub base: f64,
    /// The size of all together that a check plays too.
    pub check: Option<f64>,
    /// Real dispatchers.
    pub real: usize,
    /// Time in which what is to be out at once arrives.
    pub fill_s: f64,
    /// Time from then to the window.
    pub rest_s: f64,
    /// The window in which figures are taken.
    pub measured_s: f64,
}

/// Figures of one point over those of another.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs, reason = "the names say it")]
pub struct Compare {
    pub name: String,
    pub real: String,
    pub hollow: String,
}

fn one() -> f64 {
    1.0
}

impl Plan {
    /// Whether a file is a scale run's: its key `kind` tells.
    pub fn is_scale_run(path: &Path) -> bool {
        let text = std::fs::read_to_string(path).unwrap_or_default();
        toml::from_str::<toml::Table>(&text).is_ok_and(|table| table.contains_key("kind"))
    }

    /// Reads one.
    ///
    /// # Errors
    ///
    /// Names the file and the key at fault.
    pub fn read(path: &Path) -> Result<Plan, String> {
        let told = |e: String| format!("{}: {}", path.display(), e.replace('\n', " "));
        let text = std::fs::read_to_string(path).map_err(|e| told(e.to_string()))?;
        Plan::parse(&text).map_err(told)
    }

    /// Reads one from its text.
    ///
    /// # Errors
    ///
    /// Names the key at fault, and what would do.
    pub fn parse(text: &str) -> Result<Plan, String> {
        let toml = toml::Deserializer::parse(text).map_err(|e| e.to_string())?;
        let read: Result<Plan, _> = serde_path_to_error::deserialize(toml);
        let plan = read.map_err(|e| format!("{}: {}", e.path(), e.inner().message()))?;
        super::checks::check(&plan)?;
        Ok(plan)
    }

    /// The points of the sweep and those beside it.
    pub fn points(&self) -> Vec<Point> {
        let sweep = &self.sweep;
        let point = |name: String, size: f64| Point {
            name,
            size,
            real: sweep.real,
            fill_s: sweep.fill_s,
            rest_s: sweep.rest_s,
            measured_s: sweep.measured_s,
            ..Point::default()
        };
        // Thousandths of the whole: a name holds no dot.
        let part = |size: f64| (size * 1000.0).round();
        let all = |&size: &f64| Point {
            check: sweep.check == Some(size),
            ..point(format!("all-{}", part(size)), size)
        };
        let mut points: Vec<_> = sweep.sizes.iter().map(all).collect();
        for quantity in QUANTITIES {
            for &size in sweep.sizes.iter().filter(|size| **size != sweep.base) {
                let mut point = point(format!("{quantity}-{}", part(size)), sweep.base);
                point.set(quantity, size);
                points.push(point);
            }
        }
        points.extend(self.point.iter().cloned());
        points
    }

    /// All faults of all points.
    pub fn faults(&self) -> impl Iterator<Item = (&Point, &Fault)> {
        self.point.iter().flat_map(|point| point.fault.iter().map(move |fault| (point, fault)))
    }
}
