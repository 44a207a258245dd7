//! The file format of an experiment on one installation (`experiments/*.toml`), with defaults and validation.
//! Names of times end in their unit; shares are from 0 to 1.

use sablerun_stand_ins::installation::{Class, ClientBehaviour, Faults, Hall};
use serde::Deserialize;
use std::path::Path;

/// An experiment: an installation that is played once for each phase, and the bounds of its figures.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// What it shows, in one sentence.
    pub about: String,
    /// The seed of all random numbers.
    pub seed: u64,
    /// The number of real dispatcher processes.
    pub dispatchers: usize,
    /// The halls.
    pub hall: Vec<Hall>,
    /// The request classes.
    pub class: Vec<Class>,
    /// The behaviour of clients.
    #[serde(default)]
    pub clients: ClientBehaviour,
    /// The faults of pick nodes.
    #[serde(default)]
    pub faults: Faults,
    /// Kills of dispatchers, each with a restart.
    #[serde(default)]
    pub kill: Vec<Kill>,
    /// The phases, played one after the other.
    pub phase: Vec<Phase>,
    /// The bounds of figures.
    pub bound: Vec<Bound>,
    /// The name of the main figure, `phase.figure`.
    pub main: String,
}

/// A dispatcher that is killed with SIGKILL and restarted.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kill {
    /// The number of the dispatcher, from 0.
    pub dispatcher: usize,
    /// The time of the kill, from the start of the phase.
    pub at_s: f64,
    /// The time from the kill to the restart.
    pub back_s: f64,
}

/// One run of the installation.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// The name, to which bounds refer.
    pub name: String,
    /// The time during which requests arrive.
    pub seconds: f64,
    /// The operator's file of the dispatchers; `@FOLDER@` is replaced by each dispatcher's own folder.
    #[serde(default)]
    pub operator: String,
    /// The share of repeats that go to another dispatcher, in place of the experiment's.
    pub wander: Option<f64>,
    /// Whether the kills of the experiment take place.
    #[serde(default)]
    pub kills: bool,
}

/// A bound of a figure.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// The name of the figure: `phase.figure`, or `point.figure` of a scale run.
    pub figure: String,
    /// The minimum.
    pub min: Option<f64>,
    /// The maximum.
    pub max: Option<f64>,
}

impl Experiment {
    /// Reads and validates a file.
    ///
    /// # Errors
    ///
    /// Names the file and the invalid key.
    pub fn read(path: &Path) -> Result<Experiment, String> {
        let in_file = |e: String| format!("{}: {}", path.display(), e.replace('\n', " "));
        let text = std::fs::read_to_string(path).map_err(|e| in_file(e.to_string()))?;
        let toml = toml::Deserializer::parse(&text).map_err(|e| in_file(e.to_string()))?;
        let parsed: Result<Experiment, _> = serde_path_to_error::deserialize(toml);
        let experiment = parsed.map_err(|e| in_file(format!("{}: {}", e.path(), e.inner().message())))?;
        experiment.validate().map_err(in_file)?;
        Ok(experiment)
    }

    fn validate(&self) -> Result<(), String> {
        if self.dispatchers == 0 || self.hall.is_empty() || self.class.is_empty() || self.phase.is_empty() {
            return Err("dispatchers, hall, class, phase: at least one of each".to_owned());
        }
        if let Some(kill) = self.kill.iter().find(|kill| kill.dispatcher >= self.dispatchers) {
            return Err(format!("kill.dispatcher: there is no dispatcher {}", kill.dispatcher));
        }
        if self.bound.iter().any(|bound| bound.min.is_none() && bound.max.is_none()) {
            return Err("bound: neither min nor max".to_owned());
        }
        let in_phase = |figure: &str| self.phase.iter().any(|p| figure.starts_with(&format!("{}.", p.name)));
        match self.bound.iter().map(|b| &b.figure).chain([&self.main]).find(|figure| !in_phase(figure)) {
            Some(figure) => Err(format!("{figure}: does not begin with the name of a phase")),
            None => Ok(()),
        }
    }
}
