//! The form of an experiment: what `experiments/*.toml` may say, its defaults and its errors. It owns no
//! run of one. Times end in their unit; shares are from 0 to 1.

use sablerun_stand_ins::installation::{Class, Clients, Faults, Hall};
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
