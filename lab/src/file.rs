//! An experiment's file of either kind, an installation's or a scale run's, and how it is played. It owns what
//! commands need to know of both, and must never know what a kind consists of.

use crate::chart::Kept;
use crate::experiment::{Bound, Experiment};
use crate::play::{Figures, play};
use crate::scale::plan::Plan;
use crate::scale::report;
use crate::scale::session::{RunOptions, run_session};
use indicatif::{ProgressBar, ProgressStyle};
use std::path::Path;

/// A file.
pub enum File {
    /// An installation between stand-ins.
    Installation(Box<Experiment>),
    /// A scale run.
    Scale(Box<Plan>),
}

impl File {
    /// Reads one; its key `kind` tells which it is.
    ///
    /// # Errors
    ///
    /// Names the file and the key at fault.
    pub fn read(path: &Path) -> Result<File, String> {
        match Plan::is_scale_run(path) {
            true => Plan::read(path).map(Box::new).map(File::Scale),
            false => Experiment::read(path).map(Box::new).map(File::Installation),
        }
    }

    /// What it shows.
    pub fn about(&self) -> &str {
        match self {
            File::Installation(experiment) => &experiment.about,
            File::Scale(plan) => &plan.about,
        }
    }

    /// The main figure's name.
    pub fn main(&self) -> &str {
        match self {
            File::Installation(experiment) => &experiment.main,
            File::Scale(plan) => &plan.main,
        }
    }

    /// What must hold.
    pub fn bounds(&self) -> &[Bound] {
        match self {
            File::Installation(experiment) => &experiment.bound,
            File::Scale(plan) => &plan.bound,
        }
    }

    /// Plays it, in a folder that is removed if all went well; what is so far goes to `out` as it comes.
    ///
    /// # Errors
    ///
    /// Says what could not be played.
    pub fn play(&self, asked: &RunOptions, out: Option<&Path>) -> Result<Figures, String> {
        let folder = std::env::temp_dir().join(format!("sablerun-lab-{}", std::process::id()));
        let bar = ProgressBar::new(1000);
        let style = ProgressStyle::with_template("{msg:>16} [{bar:40}] {percent:>3} %  {elapsed}");
        bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()).progress_chars("=> "));
        let tick = |phase: &str, done: f64| {
            bar.set_message(phase.to_owned());
            bar.set_position((done * 1000.0) as u64);
        };
        let runtime = tokio::runtime::Runtime::new().map_err(|e| e.to_string())?;
        let played = runtime.block_on(async {
            tokio::select! {
                played = self.playing(asked, &folder, tick, out) => played,
                // Dropped, all processes end: nothing outlives the run.
                () = told_to_end() => Err("told to end".to_owned()),
            }
        });
        bar.finish_and_clear();
        if played.is_ok() {
            let _ = std::fs::remove_dir_all(&folder);
        }
        played
    }

    async fn playing(
        &self,
        asked: &RunOptions,
        folder: &Path,
        tick: impl Fn(&str, f64),
        out: Option<&Path>,
    ) -> Result<Figures, String> {
        match self {
            File::Installation(experiment) => {
                if asked.size.is_some() || !asked.points.is_empty() {
                    return Err("--size, --point: only for a scale run".to_owned());
                }
                let mut experiment = experiment.clone();
                experiment.seed = asked.seed.unwrap_or(experiment.seed);
                play(&experiment, folder, &asked.switch_off, tick).await
            }
            File::Scale(plan) => {
                // A long run keeps what it has, should a later point fail.
                let keep = |figures: &Figures| match out {
                    Some(out) => report::write(&Kept::now(figures.clone()), out),
                    None => Ok(()),
                };
                run_session(plan, asked, folder, tick, keep).await
            }
        }
    }
}

/// Waits for SIGTERM or SIGINT.
async fn told_to_end() {
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
