//! One point of a scale run: its sizes, its times and its faults, and how many of each quantity that makes. It
//! owns that reckoning, and must never start anything.

use super::plan::Plan;
use serde::Deserialize;

/// A point.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Point {
    /// Its name, to which bounds refer.
    pub name: String,
    /// The size of every quantity that is not named below.
    pub size: f64,
    /// Its own size of a quantity.
    pub runners: Option<f64>,
    /// As above.
    pub dispatchers: Option<f64>,
    /// As above.
    pub tenants: Option<f64>,
    /// As above.
    pub running: Option<f64>,
    /// As above.
    pub changes: Option<f64>,
    /// So many dispatchers, whatever the size.
    pub dispatchers_exactly: Option<usize>,
    /// How many of them are real; all, where there are fewer.
    pub real: usize,
    /// Memory that a real one is told it may use.
    pub memory_mb: usize,
    /// Descriptors that a real one is told it may hold.
    pub sockets: usize,
    /// Whether anything is asked for.
    pub requests: bool,
    /// Time in which what is to be out at once arrives.
    pub fill_s: f64,
    /// Time from then to the window.
    pub rest_s: f64,
    /// The window in which figures are taken.
    pub measured_s: f64,
    /// Whether a check plays it.
    pub check: bool,
    /// What goes wrong.
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

/// What goes wrong, and when.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Its name in the figures.
    pub name: String,
    /// What.
    pub what: What,
    /// When, from the window's begin.
    pub at_s: f64,
    /// After how long what was taken away is back.
    #[serde(default)]
    pub back_s: f64,
    /// How many runners, dispatchers or changes; 1 if not said.
    #[serde(default = "one")]
    pub count: usize,
}

fn one() -> usize {
    1
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// Dispatchers, a real one first, then a hollow one, killed and started again.
    Dispatchers,
    /// Runners, back cold.
    Runners,
    /// All runners of a rack, back cold.
    Rack,
    /// All runners of a zone, back cold.
    Zone,
    /// The link between the regions is silent both ways.
    Link,
    /// What goes out arrives, and nothing comes back.
    LinkBack,
    /// So many changes, spread over `back_s`.
    RollOut,
    /// The publisher of the load digest, killed and started again; nothing where there is none.
    Publisher,
    /// Half of the dispatchers, real and hollow, started anew at once.
    Half,
}

/// How many of each.
#[derive(Clone, Copy, Debug, PartialEq)]
#[allow(missing_docs, reason = "the names are the quantities'")]
pub struct Numbers {
    pub runners: usize,
    pub dispatchers: usize,
    /// How many of the dispatchers are real.
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
    /// Gives a quantity a size of its own.
    pub fn set(&mut self, quantity: &str, size: f64) {
        let place = match quantity {
            "runners" => &mut self.runners,
            "dispatchers" => &mut self.dispatchers,
            "tenants" => &mut self.tenants,
            "running" => &mut self.running,
            _ => &mut self.changes,
        };
        *place = Some(size);
    }

    /// The size of a quantity.
    pub fn size_of(&self, quantity: &str) -> f64 {
        let own = match quantity {
            "runners" => self.runners,
            "dispatchers" => self.dispatchers,
            "tenants" => self.tenants,
            "running" => self.running,
            _ => self.changes,
        };
        own.unwrap_or(self.size)
    }

    /// How many of each, all sizes times `factor`.
    pub fn numbers(&self, plan: &Plan, factor: f64) -> Numbers {
        let of =
            |quantity: &str, whole: f64| ((whole * self.size_of(quantity) * factor).round() as usize).max(1);
        let dispatchers = self.dispatchers_exactly.unwrap_or(of("dispatchers", plan.whole.dispatchers));
        // A smaller fleet is still one with a few real ones.
        let dispatchers = dispatchers.max(self.real);
        let runners = of("runners", plan.whole.runners);
        let running = if self.requests { of("running", plan.whole.running) } else { 0 };
        let slots = of("running", plan.whole.running) as f64 / runners as f64 / plan.site.load;
        Numbers {
            runners,
            dispatchers,
            real: self.real,
            tenants: of("tenants", plan.whole.tenants),
            running,
            changes_per_s: plan.whole.changes * self.size_of("changes") * factor,
            slots: (slots.ceil() as u32).max(2),
            rate_per_s: running as f64 / plan.stream.work_mean_s,
        }
    }
}
