//! The file of an experiment of either kind, an installation between stand-ins or a scale run: reads and
//! plays it, and gives commands what they need of both kinds.

use crate::experiment::{Bound, Experiment};
use crate::play::{Figures, play_experiment};
use crate::run_result::RunResult;
use crate::scale::plan::Plan;
use crate::scale::report;
use crate::scale::session::{RunOptions, run_session};
use indicatif::{ProgressBar, ProgressStyle};
use std::path::Path;

/// A parsed file.
pub enum ExperimentFile {
    /// An installation between stand-ins.
    Installation(Box<Experiment>),
    /// A scale run.
    Scale(Box<Plan>),
}

impl ExperimentFile {
    /// Reads a file; its key `kind` distinguishes the two kinds.
    ///
    /// # Errors
    ///
    /// Names the file and the invalid key.
    pub fn read(path: &Path) -> Result<ExperimentFile, String> {
        match Plan::is_scale_run(path) {
            true => Plan::read(path).map(Box::new).map(ExperimentFile::Scale),
            false => Experiment::read(path).map(Box::new).map(ExperimentFile::Installation),
        }
    }

    /// Returns the description.
    pub fn about(&self) -> &str {
        match self {
            ExperimentFile::Installation(experiment) => &experiment.about,
            ExperimentFile::Scale(plan) => &plan.about,
        }
    }

    /// Returns the name of the main figure.
    pub fn main_figure(&self) -> &str {
        match self {
            ExperimentFile::Installation(experiment) => &experiment.main,
            ExperimentFile::Scale(plan) => &plan.main,
        }
    }

    /// Returns the bounds of its figures.
    pub fn bounds(&self) -> &[Bound] {
        match self {
            ExperimentFile::Installation(experiment) => &experiment.bound,
            ExperimentFile::Scale(plan) => &plan.bound,
        }
    }

    /// Plays it in a temporary folder, which is removed if it succeeds. A scale run writes its results to
    /// `out` after each point.
    ///
    /// # Errors
    ///
    /// The cause of the failure, or that a signal interrupted it.
    pub fn play(&self, options: &RunOptions, out: Option<&Path>) -> Result<Figures, String> {
        let folder = std::env::temp_dir().join(format!("sablerun-lab-{}", std::process::id()));
        let bar = ProgressBar::new(1000);
        let style = ProgressStyle::with_template("{msg:>16} [{bar:40}] {percent:>3} %  {elapsed}");
        bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()).progress_chars("=> "));
        let tick = |phase: &str, progress: f64| {
            bar.set_message(phase.to_owned());
            bar.set_position((progress * 1000.0) as u64);
        };
        let runtime = tokio::runtime::Runtime::new().map_err(|e| e.to_string())?;
        let played = runtime.block_on(async {
            tokio::select! {
                played = self.play_in_folder(options, &folder, tick, out) => played,
                // The other future is dropped, which kills all its processes.
                () = termination_signal() => Err("interrupted by a signal".to_owned()),
            }
        });
        bar.finish_and_clear();
        if played.is_ok() {
            let _ = std::fs::remove_dir_all(&folder);
        }
        played
    }

    async fn play_in_folder(
        &self,
        options: &RunOptions,
        folder: &Path,
        tick: impl Fn(&str, f64),
        out: Option<&Path>,
    ) -> Result<Figures, String> {
        match self {
            ExperimentFile::Installation(experiment) => {
                if options.size.is_some() || !options.points.is_empty() {
                    return Err("--size, --point: only for a scale run".to_owned());
                }
                let mut experiment = experiment.clone();
                experiment.seed = options.seed.unwrap_or(experiment.seed);
                play_experiment(&experiment, folder, &options.switch_off, tick).await
            }
            ExperimentFile::Scale(plan) => {
                // Written after each point, so that a long run keeps its results if a later point fails.
                let on_figures = |figures: &Figures| match out {
                    Some(out) => report::write(&RunResult::new(figures.clone()), out),
                    None => Ok(()),
                };
                run_session(plan, options, folder, tick, on_figures).await
            }
        }
    }
}

/// Waits for SIGTERM or SIGINT.
async fn termination_signal() {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut term), Ok(mut int)) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
