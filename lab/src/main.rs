//! `sablerun-lab`: plays experiments on stand-ins, checks what they must show, and draws what was kept.

use clap::{Parser, Subcommand};
use sablerun_lab::census::Census;
use sablerun_lab::chart::Kept;
use sablerun_lab::experiment::Bound;
use sablerun_lab::file::File;
use sablerun_lab::play::{Figures, Judged, judge};
use sablerun_lab::scale::plan::Compare;
use sablerun_lab::scale::report;
use sablerun_lab::scale::session::{RunOptions, parse_size};
use sablerun_lab::scale::{part_clients, part_discovery, part_dispatchers, part_runners};
use serde_json::json;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const EXAMPLES: &str = "\
Examples:
  sablerun-lab check idempotency
  sablerun-lab check scale --size 1/32
  sablerun-lab run experiments/scale.toml --point all-125
  sablerun-lab check idempotency --switch-off keys     (must fail: the check can)
  sablerun-lab run experiments/idempotency.toml --out results/idempotency
  sablerun-lab chart results/idempotency
  sablerun-lab count logs

Exit codes: 0 all bounds hold, 1 one does not or it could not be played, 2 the command line makes no sense.";

/// Real dispatchers between stand-ins.
#[derive(Parser)]
#[command(name = "sablerun-lab", version, after_help = EXAMPLES)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play an experiment and print its figures.
    Run {
        /// The experiment (TOML).
        file: PathBuf,
        /// Keep the result in this folder.
        #[arg(long, value_name = "FOLDER")]
        out: Option<PathBuf>,
        #[command(flatten)]
        how: How,
    },
    /// Play `experiments/NAME.toml` and hold its figures against its bounds.
    Check {
        /// The experiment's name.
        name: String,
        #[command(flatten)]
        how: How,
    },
    /// Draw the result kept in a folder.
    Chart {
        /// The folder.
        folder: PathBuf,
    },
    /// Count what a fleet did, by second and by runner, from its dispatchers' debug logs.
    Count {
        /// The folder, with one NAME.log for each dispatcher.
        folder: PathBuf,
        /// Print one JSON object.
        #[arg(long)]
        json: bool,
    },
    /// Play a role of the scale run, as the run tells on standard input.
    #[command(hide = true)]
    Part { role: Role },
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum Role {
    Runners,
    Discovery,
    Dispatchers,
    Clients,
}

#[derive(clap::Args)]
struct How {
    /// Leave these sections out of the dispatchers' operator's files.
    #[arg(long, value_name = "SECTION")]
    switch_off: Vec<String>,
    /// Multiply the sizes of a scale run, e.g. 1/32.
    #[arg(long, value_parser = parse_size)]
    size: Option<f64>,
    /// In place of the file's.
    #[arg(long)]
    seed: Option<u64>,
    /// Play only these points of a scale run.
    #[arg(long, value_name = "NAME")]
    point: Vec<String>,
    /// Print one JSON object.
    #[arg(long)]
    json: bool,
}

impl How {
    fn asked(&self, check: bool) -> RunOptions {
        let (points, switch_off) = (self.point.clone(), self.switch_off.clone());
        RunOptions { size: self.size, seed: self.seed, points, switch_off, check }
    }

    /// Where only some points are played, the bounds that they have figures for.
    fn bounds(&self, file: &File) -> Vec<Bound> {
        let File::Scale(plan) = file else { return file.bounds().to_vec() };
        let played = |name: &str| self.point.is_empty() || self.point.iter().any(|point| point == name);
        let both = |compare: &&Compare| played(&compare.real) && played(&compare.hollow);
        let compared: Vec<_> =
            plan.compare.iter().filter(both).map(|compare| compare.name.as_str()).collect();
        let judged = |bound: &&Bound| {
            let of = bound.figure.split('.').next().unwrap_or_default();
            compared.contains(&of) || plan.points().iter().any(|point| point.name == of && played(of))
        };
        plan.bound.iter().filter(judged).cloned().collect()
    }
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Run { file, out, how } => run(&file, out.as_deref(), &how).map(|()| true),
        Command::Check { name, how } => check(&name, &how),
        Command::Chart { folder } => chart(&folder).map(|()| true),
        Command::Count { folder, json } => count(&folder, json).map(|()| true),
        Command::Part { role } => part(role).map(|()| true),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(message) => {
            eprintln!("sablerun-lab: {message}");
            ExitCode::FAILURE
        }
    }
}

fn part(role: Role) -> Result<(), String> {
    match role {
        Role::Runners => part_runners::run(),
        Role::Discovery => part_discovery::run(),
        Role::Dispatchers => part_dispatchers::run(),
        Role::Clients => part_clients::run(),
    }
}

fn count(folder: &Path, json: bool) -> Result<(), String> {
    let census = Census::read(folder)?;
    match json {
        true => println!("{}", serde_json::to_string(&census).map_err(|e| e.to_string())?),
        false => print!("{}", census.table()),
    }
    Ok(())
}

fn table(figures: &Figures) {
    for (name, value) in &figures.values {
        println!("{name:<40} {value:>12.3}");
    }
    for (phase, remark) in figures.remarks.iter().flat_map(|(p, all)| all.iter().map(move |r| (p, r))) {
        println!("{phase}: {remark}");
    }
}

fn run(path: &Path, out: Option<&Path>, how: &How) -> Result<(), String> {
    let file = File::read(path)?;
    let kept = Kept::now(file.play(&how.asked(false), out)?);
    if how.json {
        println!("{}", serde_json::to_string(&kept).map_err(|e| e.to_string())?);
    } else {
        table(&kept.figures);
    }
    if let (Some(folder), File::Installation(_)) = (out, &file) {
        kept.write(folder)?;
        kept.draw(folder)?;
    }
    Ok(())
}

fn chart(folder: &Path) -> Result<(), String> {
    let kept = Kept::read(folder)?;
    if report::is_scale(&kept) { report::draw(&kept, folder) } else { kept.draw(folder) }
}

fn check(name: &str, how: &How) -> Result<bool, String> {
    let file = Path::new("experiments").join(name).with_extension("toml");
    if !file.is_file() {
        let all = std::fs::read_dir("experiments").into_iter().flatten().flatten();
        let mut names: Vec<_> =
            all.filter_map(|e| Some(e.path().file_stem()?.to_str()?.to_owned())).collect();
        names.sort();
        let known = if names.is_empty() {
            "none; run this from the repository's root".to_owned()
        } else {
            names.join(", ")
        };
        return Err(format!("{}: no such experiment; there are: {known}", file.display()));
    }
    let experiment = File::read(&file)?;
    let figures = experiment.play(&how.asked(true), None)?;
    let judged = judge(&how.bounds(&experiment), &figures);
    let holds = judged.iter().all(|bound| bound.holds);
    let main = figures.values.get(experiment.main()).copied();
    if how.json {
        println!(
            "{}",
            json!({"holds": holds, "bounds": judged, "main": {experiment.main(): main}, "figures": figures})
        );
        return Ok(holds);
    }
    println!("{}\n", experiment.about());
    table(&figures);
    println!();
    judged.iter().for_each(line);
    println!("\n{} {}", experiment.main(), main.map_or("missing".to_owned(), |value| value.to_string()));
    Ok(holds)
}

fn line(bound: &Judged) {
    let value = bound.value.map_or("missing".to_owned(), |value| format!("{value:.3}"));
    let least = bound.min.map_or(String::new(), |min| format!(" at least {min}"));
    let most = bound.max.map_or(String::new(), |max| format!(" at most {max}"));
    let verdict = if bound.holds { "holds" } else { "BROKEN" };
    println!("{verdict:<7} {:<40} {value:>12} {least}{most}", bound.figure);
}
