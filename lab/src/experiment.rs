//! The form of an experiment: what `experiments/*.toml` may say, its defaults and its errors. It owns no
//! run of one. Times end in their unit; shares are from 0 to 1.

use serde::Deserialize;
use std::path::Path;

/// An experiment: one installation, played once for each phase, and the bounds its figures must keep.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// What it shows, in a sentence.
    pub about: String,
    /// The seed of all random numbers.
    pub seed: u64,
    /// Real dispatcher processes.
    pub dispatchers: usize,
    /// The halls.
    pub hall: Vec<Hall>,
    /// The classes of request.
    pub class: Vec<Class>,
    /// What clients do.
    #[serde(default)]
    pub clients: Clients,
    /// What pick nodes do wrong.
    #[serde(default)]
    pub faults: Faults,
    /// Dispatchers killed and started again.
    #[serde(default)]
    pub kill: Vec<Kill>,
    /// What is played, one after the other.
    pub phase: Vec<Phase>,
    /// What must hold.
    pub bound: Vec<Bound>,
    /// The main figure, `phase.figure`.
    pub main: String,
}

/// A hall of like pick nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hall {
    /// Its name.
    pub name: String,
    /// How many nodes.
    pub nodes: usize,
    /// Slots of each.
    pub slots: usize,
    /// Speed of each, 1 the usual.
    #[serde(default = "one")]
    pub speed: f64,
}

fn one() -> f64 {
    1.0
}

/// The nodes that drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    /// Those of a hall.
    Zone,
    /// All.
    All,
}

/// A class of request and its traffic.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// First tries a second, over all dispatchers.
    pub rate_per_s: f64,
    /// Running time at speed 1, drawn evenly from the range.
    pub work_ms: [f64; 2],
    /// Slots that a job takes.
    #[serde(default = "one_slot")]
    pub slots: usize,
    /// An answer within this and twice its running time is in time.
    pub objective_ms: u64,
    /// The client gives a try up after this.
    pub deadline_ms: u64,
    /// Worth of an answer in time.
    #[serde(default = "one")]
    pub worth: f64,
    /// Who drops repeats; left out where a request is safe to repeat and has no key.
    pub group: Option<Group>,
    /// For how long.
    #[serde(default)]
    pub window_ms: u64,
}

fn one_slot() -> usize {
    1
}

/// What clients do.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Later tries after a failure or refusal, at the most.
    pub retries: u32,
    /// Wait before one, unless the answer says when to come back.
    pub wait_ms: u64,
    /// Share of keyed requests that are sent a second time while the first is under way.
    pub eager: f64,
    /// After how long: one of these.
    pub eager_ms: Vec<u64>,
    /// Share of keyed requests whose client breaks off after 20 ms and repeats at once.
    pub leave: f64,
    /// Share of repeats that go to another dispatcher.
    pub wander: f64,
    /// Whether later tries are marked.
    pub marks: bool,
}

impl Default for Clients {
    fn default() -> Clients {
        Clients {
            retries: 2,
            wait_ms: 0,
            eager: 0.0,
            eager_ms: vec![0],
            leave: 0.0,
            wander: 0.0,
            marks: true,
        }
    }
}

/// Shares of attempts to which a pick node does something wrong.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// The job runs, but the connection ends before the 202.
    pub reset: f64,
    /// The job runs, but nobody is told.
    pub silent: f64,
    /// The job runs, and is told to have failed.
    pub error: f64,
    /// Turned away unseen.
    pub away: f64,
    /// The job takes longer ...
    pub slow: f64,
    /// ... by this factor.
    pub slow_by: f64,
}

/// A dispatcher killed outright.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kill {
    /// Which, from 0.
    pub dispatcher: usize,
    /// When, from the phase's start.
    pub at_s: f64,
    /// How long until it is started again.
    pub back_s: f64,
}

/// The installation, played once.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Its name, to which bounds refer.
    pub name: String,
    /// How long requests arrive.
    pub seconds: f64,
    /// The dispatchers' operator's file; `@FOLDER@` stands for a folder of the dispatcher's own.
    #[serde(default)]
    pub operator: String,
    /// In place of the experiment's.
    pub wander: Option<f64>,
    /// Whether dispatchers are killed.
    #[serde(default)]
    pub kills: bool,
}

/// What a figure must keep.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// `phase.figure`.
    pub figure: String,
    /// At least.
    pub min: Option<f64>,
    /// At the most.
    pub max: Option<f64>,
}

impl Experiment {
    /// Reads one.
    ///
    /// # Errors
    ///
    /// Names the file and the key at fault.
    pub fn read(path: &Path) -> Result<Experiment, String> {
        let told = |e: String| format!("{}: {}", path.display(), e.replace('\n', " "));
        let text = std::fs::read_to_string(path).map_err(|e| told(e.to_string()))?;
        let toml = toml::Deserializer::parse(&text).map_err(|e| told(e.to_string()))?;
        let read: Result<Experiment, _> = serde_path_to_error::deserialize(toml);
        let experiment = read.map_err(|e| told(format!("{}: {}", e.path(), e.inner().message())))?;
        experiment.check().map_err(told)?;
        Ok(experiment)
    }

    fn check(&self) -> Result<(), String> {
        if self.dispatchers == 0 || self.hall.is_empty() || self.class.is_empty() || self.phase.is_empty() {
            return Err("dispatchers, hall, class, phase: at least one of each".to_owned());
        }
        if let Some(kill) = self.kill.iter().find(|kill| kill.dispatcher >= self.dispatchers) {
            return Err(format!("kill.dispatcher: there is no {}", kill.dispatcher));
        }
        if self.bound.iter().any(|bound| bound.min.is_none() && bound.max.is_none()) {
            return Err("bound: neither min nor max".to_owned());
        }
        let known = |figure: &str| self.phase.iter().any(|p| figure.starts_with(&format!("{}.", p.name)));
        match self.bound.iter().map(|b| &b.figure).chain([&self.main]).find(|figure| !known(figure)) {
            Some(figure) => Err(format!("{figure}: of no phase")),
            None => Ok(()),
        }
    }
}
