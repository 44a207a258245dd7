//! The file format of a scale run: the full size, the site, the request stream, the sweep and single points,
//! with defaults and parse errors. Names of times end in their unit; shares and sizes are fractions of the
//! whole.

use super::point::{Fault, Point};
use crate::experiment::Bound;
use serde::Deserialize;
use std::path::Path;

/// The quantities that a sweep varies one at a time.
pub const QUANTITIES: [&str; 5] = ["runners", "dispatchers", "tenants", "running", "changes"];

/// A scale run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Always `scale`, which distinguishes this file from other experiments.
    pub kind: String,
    /// What the run shows, in one sentence.
    pub about: String,
    /// The seed of all random numbers.
    pub seed: u64,
    /// The default factor for the sizes of all points in a check.
    #[serde(default = "one")]
    pub size: f64,
    /// The full size.
    pub whole: FullSize,
    /// The regions, zones, racks and kinds of runners.
    pub site: Site,
    /// The request stream.
    pub stream: StreamPlan,
    /// Settings of dispatchers and runners.
    pub control: Control,
    /// The sweep.
    pub sweep: Sweep,
    /// Single points beside the sweep.
    #[serde(default)]
    pub point: Vec<Point>,
    /// Pairs of points whose figures are divided.
    #[serde(default)]
    pub compare: Vec<Compare>,
    /// The bounds of a check.
    #[serde(default)]
    pub bound: Vec<Bound>,
    /// The name of the main figure, `point.figure`.
    pub main: String,
}

/// The size of each quantity at size 1.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs, reason = "the names are the quantities'")]
pub struct FullSize {
    pub runners: f64,
    pub dispatchers: f64,
    pub tenants: f64,
    /// Requests running at once.
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
    /// The number of racks; each belongs to one zone.
    pub racks: usize,
    /// The runners' kinds.
    pub kind: Vec<Kind>,
    /// The share of all slots that the running requests use; the slots of a runner follow from it.
    pub load: f64,
}

/// A kind of runner.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs, reason = "the names say it")]
pub struct Kind {
    pub name: String,
    /// Its share of all runners.
    pub share: f64,
}

/// The request stream. Its rate follows by Little's law from the number of running requests and their running
/// time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(missing_docs, reason = "the names are those of `protocol::Stream`, which explains them")]
pub struct StreamPlan {
    pub work_mean_s: f64,
    pub work_most_s: f64,
    pub urgent: f64,
    pub gang_most: u32,
    pub gang_share: f64,
    pub deadline_s: f64,
}

/// Settings of dispatchers and runners.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Whether dispatchers may probe runners.
    pub probing: bool,
    /// Idle time after which a runner closes a connection.
    pub conn_idle_s: f64,
    /// The operator's file of the dispatchers.
    #[serde(default)]
    pub operator: String,
}

/// The sweep: all quantities together at each size, and each quantity alone with the others at a base size.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sweep {
    /// The sizes, in rising order.
    pub sizes: Vec<f64>,
    /// The size of the other quantities while one is varied; one of `sizes`.
    pub base: f64,
    /// The size at which a check plays the point with all quantities together.
    pub check: Option<f64>,
    /// The number of real dispatchers.
    pub real: usize,
    /// Time in which the requests that are to run at once arrive.
    pub fill_s: f64,
    /// Time from the end of the fill to the window.
    pub rest_s: f64,
    /// The window in which figures are taken.
    pub measured_s: f64,
}

/// A ratio: the hollow dispatchers' figures of one point divided by the real dispatchers' of another.
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
    /// Whether a file describes a scale run: it has the key `kind`.
    pub fn is_scale_run(path: &Path) -> bool {
        let text = std::fs::read_to_string(path).unwrap_or_default();
        toml::from_str::<toml::Table>(&text).is_ok_and(|table| table.contains_key("kind"))
    }

    /// Reads a file.
    ///
    /// # Errors
    ///
    /// Names the file and the invalid key.
    pub fn read(path: &Path) -> Result<Plan, String> {
        let in_file = |e: String| format!("{}: {}", path.display(), e.replace('\n', " "));
        let text = std::fs::read_to_string(path).map_err(|e| in_file(e.to_string()))?;
        Plan::parse(&text).map_err(in_file)
    }

    /// Parses and validates the text of a file.
    ///
    /// # Errors
    ///
    /// Names the invalid key and the values it may have.
    pub fn parse(text: &str) -> Result<Plan, String> {
        let toml = toml::Deserializer::parse(text).map_err(|e| e.to_string())?;
        let read: Result<Plan, _> = serde_path_to_error::deserialize(toml);
        let plan = read.map_err(|e| format!("{}: {}", e.path(), e.inner().message()))?;
        super::checks::check(&plan)?;
        Ok(plan)
    }

    /// Returns the points of the sweep, then the single points.
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
        // Names contain sizes in thousandths, since a name must not contain a dot.
        let thousandths = |size: f64| (size * 1000.0).round();
        let all = |&size: &f64| Point {
            check: sweep.check == Some(size),
            ..point(format!("all-{}", thousandths(size)), size)
        };
        let mut points: Vec<_> = sweep.sizes.iter().map(all).collect();
        for quantity in QUANTITIES {
            for &size in sweep.sizes.iter().filter(|size| **size != sweep.base) {
                let mut point = point(format!("{quantity}-{}", thousandths(size)), sweep.base);
                point.set(quantity, size);
                points.push(point);
            }
        }
        points.extend(self.point.iter().cloned());
        points
    }

    /// Returns the faults of all points.
    pub fn faults(&self) -> impl Iterator<Item = (&Point, &Fault)> {
        self.point.iter().flat_map(|point| point.fault.iter().map(move |fault| (point, fault)))
    }
}
