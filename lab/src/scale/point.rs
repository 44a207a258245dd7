//! A point of a scale run: its sizes, times and faults, and the absolute quantities that these give.

use super::plan::Plan;
use serde::Deserialize;

/// A point of a scale run, played with its own processes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Point {
    /// Its name, by which bounds refer to it.
    pub name: String,
    /// The size of every quantity without a size of its own.
    pub size: f64,
    /// The size of the number of runners, if it differs.
    pub runners: Option<f64>,
    /// The size of the number of dispatchers, if it differs.
    pub dispatchers: Option<f64>,
    /// The size of the number of tenants, if it differs.
    pub tenants: Option<f64>,
    /// The size of the number of running requests, if it differs.
    pub running: Option<f64>,
    /// The size of the rate of changes, if it differs.
    pub changes: Option<f64>,
    /// The number of dispatchers, whatever the size.
    pub dispatchers_exactly: Option<usize>,
    /// The number of real dispatchers among them, also the least number of dispatchers.
    pub real: usize,
    /// The memory limit that a real dispatcher is configured with.
    pub memory_mb: usize,
    /// The descriptor limit that a real dispatcher is configured with.
    pub sockets: usize,
    /// Whether clients send requests.
    pub requests: bool,
    /// Time in which the requests that are to run at once arrive.
    pub fill_s: f64,
    /// Time from the end of the fill to the window.
    pub rest_s: f64,
    /// The window in which figures are taken.
    pub measured_s: f64,
    /// Whether a check plays this point.
    pub check: bool,
    /// Its faults.
    pub fault: Vec<Fault>,
}

impl Default for Point {
    fn default() -> Point {
        Point {
            name: String::new(),
            size: 1.0,
            runners: None,
            dispatchers: None,
            tenants: None,
            running: None,
            changes: None,
            dispatchers_exactly: None,
            real: 5,
            memory_mb: 256,
            sockets: 4096,
            requests: true,
            fill_s: 10.0,
            rest_s: 3.0,
            measured_s: 15.0,
            check: false,
            fault: Vec::new(),
        }
    }
}

/// A fault and its time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Its name in the names of figures.
    pub name: String,
    /// What fails.
    pub what: FaultKind,
    /// When it begins, from the start of the window.
    pub at_s: f64,
    /// How long it lasts.
    #[serde(default)]
    pub back_s: f64,
    /// The number of runners, dispatchers or changes; 1 by default.
    #[serde(default = "one")]
    pub count: usize,
}

fn one() -> usize {
    1
}

/// The kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// `count` real and as many hollow dispatchers are killed and started again.
    Dispatchers,
    /// The machines of `count` runners fail; the runners return cold.
    Runners,
    /// The machines of all runners of a rack fail; the runners return cold.
    Rack,
    /// The machines of all runners of a zone fail; the runners return cold.
    Zone,
    /// The link between the regions loses all data in both directions.
    Link,
    /// The link between the regions loses the data towards the dispatchers only.
    LinkBack,
    /// `count` changes, spread over `back_s`.
    RollOut,
    /// The publisher of the load digest, if there is one, is killed and started again.
    Publisher,
    /// Half of the dispatchers, real and hollow, are killed and started again at once.
    Half,
}

/// The absolute quantities of a point.
#[derive(Clone, Copy, Debug, PartialEq)]
#[allow(missing_docs, reason = "the names are the quantities'")]
pub struct Quantities {
    pub runners: usize,
    pub dispatchers: usize,
    /// The number of real dispatchers.
    pub real: usize,
    pub tenants: usize,
    pub running: usize,
    pub changes_per_s: f64,
    /// Slots of each runner.
    pub slots: u32,
    /// Requests a second.
    pub rate_per_s: f64,
}

impl Point {
    /// Sets the size of one quantity.
    pub fn set(&mut self, quantity: &str, size: f64) {
        let target = match quantity {
            "runners" => &mut self.runners,
            "dispatchers" => &mut self.dispatchers,
            "tenants" => &mut self.tenants,
            "running" => &mut self.running,
            _ => &mut self.changes,
        };
        *target = Some(size);
    }

    /// Returns the size of a quantity.
    pub fn size_of(&self, quantity: &str) -> f64 {
        let size = match quantity {
            "runners" => self.runners,
            "dispatchers" => self.dispatchers,
            "tenants" => self.tenants,
            "running" => self.running,
            _ => self.changes,
        };
        size.unwrap_or(self.size)
    }

    /// Returns the absolute quantities, with all sizes multiplied by `factor`.
    pub fn quantities(&self, plan: &Plan, factor: f64) -> Quantities {
        let scaled =
            |quantity: &str, whole: f64| ((whole * self.size_of(quantity) * factor).round() as usize).max(1);
        let dispatchers = self.dispatchers_exactly.unwrap_or(scaled("dispatchers", plan.whole.dispatchers));
        // However small the fleet, all real dispatchers are part of it.
        let dispatchers = dispatchers.max(self.real);
        let runners = scaled("runners", plan.whole.runners);
        let running = if self.requests { scaled("running", plan.whole.running) } else { 0 };
        let slots = scaled("running", plan.whole.running) as f64 / runners as f64 / plan.site.load;
        Quantities {
            runners,
            dispatchers,
            real: self.real,
            tenants: scaled("tenants", plan.whole.tenants),
            running,
            changes_per_s: plan.whole.changes * self.size_of("changes") * factor,
            slots: (slots.ceil() as u32).max(2),
            rate_per_s: running as f64 / plan.stream.work_mean_s,
        }
    }
}
