//! The command `sablerun-lab`: plays experiments between stand-ins, checks their bounds and draws stored
//! results.

use clap::{Parser, Subcommand};
use sablerun_lab::census::Census;
use sablerun_lab::experiment::Bound;
use sablerun_lab::experiment_file::ExperimentFile;
use sablerun_lab::play::{BoundCheck, Figures, check_bounds};
use sablerun_lab::run_result::RunResult;
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
  sablerun-lab check idempotency --switch-off keys     (must fail: proves that the check can)
  sablerun-lab run experiments/idempotency.toml --out results/idempotency
  sablerun-lab chart results/idempotency
  sablerun-lab count logs

Exit codes: 0 all bounds hold, 1 a bound is broken or the run failed, 2 the command line is invalid.";

/// Experiments with real dispatchers between stand-ins.
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
        /// Write the result to this folder.
        #[arg(long, value_name = "FOLDER")]
        out: Option<PathBuf>,
        #[command(flatten)]
        args: RunArgs,
    },
    /// Play `experiments/NAME.toml` and check its figures against its bounds.
    Check {
        /// The experiment's name.
        name: String,
        #[command(flatten)]
        args: RunArgs,
    },
    /// Draw the charts of a stored result.
    Chart {
        /// The folder with the result.
        folder: PathBuf,
    },
    /// Count the events of a fleet by second and by runner, from its dispatchers' debug logs.
    Count {
        /// The folder, with one NAME.log for each dispatcher.
        folder: PathBuf,
        /// Print one JSON object.
        #[arg(long)]
        json: bool,
    },
    /// Play a role of a scale run, controlled through standard input.
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
struct RunArgs {
    /// Leave this section out of the dispatchers' operator's files; may be repeated.
    #[arg(long, value_name = "SECTION")]
    switch_off: Vec<String>,
    /// Multiply the sizes of a scale run, e.g. 1/32.
    #[arg(long, value_parser = parse_size)]
    size: Option<f64>,
    /// The seed, in place of the file's.
    #[arg(long)]
    seed: Option<u64>,
    /// Play only this point of a scale run; may be repeated.
    #[arg(long, value_name = "NAME")]
    point: Vec<String>,
    /// Print one JSON object.
    #[arg(long)]
    json: bool,
}

impl RunArgs {
    fn run_options(&self, check: bool) -> RunOptions {
        let (points, switch_off) = (self.point.clone(), self.switch_off.clone());
        RunOptions { size: self.size, seed: self.seed, points, switch_off, check }
    }

    /// Returns the bounds to check: of a scale run, those whose point or comparison is played.
    fn bounds_to_check(&self, file: &ExperimentFile) -> Vec<Bound> {
        let ExperimentFile::Scale(plan) = file else { return file.bounds().to_vec() };
        let played = |name: &str| self.point.is_empty() || self.point.iter().any(|point| point == name);
        let both_played = |compare: &&Compare| played(&compare.real) && played(&compare.hollow);
        let compared: Vec<_> =
            plan.compare.iter().filter(both_played).map(|compare| compare.name.as_str()).collect();
        let has_figure = |bound: &&Bound| {
            let prefix = bound.figure.split('.').next().unwrap_or_default();
            compared.contains(&prefix)
                || plan.points().iter().any(|point| point.name == prefix && played(prefix))
        };
        plan.bound.iter().filter(has_figure).cloned().collect()
    }
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Run { file, out, args } => run(&file, out.as_deref(), &args).map(|()| true),
        Command::Check { name, args } => check(&name, &args),
        Command::Chart { folder } => draw(&folder).map(|()| true),
        Command::Count { folder, json } => count(&folder, json).map(|()| true),
        Command::Part { role } => run_part(role).map(|()| true),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(message) => {
            eprintln!("sablerun-lab: {message}");
            ExitCode::FAILURE
        }
    }
}

fn run_part(role: Role) -> Result<(), String> {
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

fn print_figures(figures: &Figures) {
    for (name, value) in &figures.values {
        println!("{name:<40} {value:>12.3}");
    }
    for (phase, remark) in figures.remarks.iter().flat_map(|(p, all)| all.iter().map(move |r| (p, r))) {
        println!("{phase}: {remark}");
    }
}

fn run(path: &Path, out: Option<&Path>, args: &RunArgs) -> Result<(), String> {
    let file = ExperimentFile::read(path)?;
    let result = RunResult::new(file.play(&args.run_options(false), out)?);
    if args.json {
        println!("{}", serde_json::to_string(&result).map_err(|e| e.to_string())?);
    } else {
        print_figures(&result.figures);
    }
    if let (Some(folder), ExperimentFile::Installation(_)) = (out, &file) {
        result.write(folder)?;
        result.draw(folder)?;
    }
    Ok(())
}

fn draw(folder: &Path) -> Result<(), String> {
    let result = RunResult::read(folder)?;
    if report::is_scale(&result) { report::draw(&result, folder) } else { result.draw(folder) }
}

fn check(name: &str, args: &RunArgs) -> Result<bool, String> {
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
    let experiment = ExperimentFile::read(&file)?;
    let figures = experiment.play(&args.run_options(true), None)?;
    let checks = check_bounds(&args.bounds_to_check(&experiment), &figures);
    let holds = checks.iter().all(|bound| bound.holds);
    let main = figures.values.get(experiment.main_figure()).copied();
    if args.json {
        println!(
            "{}",
            json!({"holds": holds, "bounds": checks, "main": {experiment.main_figure(): main},
                "figures": figures})
        );
        return Ok(holds);
    }
    println!("{}\n", experiment.about());
    print_figures(&figures);
    println!();
    checks.iter().for_each(print_bound);
    println!(
        "\n{} {}",
        experiment.main_figure(),
        main.map_or("missing".to_owned(), |value| value.to_string())
    );
    Ok(holds)
}

fn print_bound(bound: &BoundCheck) {
    let value = bound.value.map_or("missing".to_owned(), |value| format!("{value:.3}"));
    let least = bound.min.map_or(String::new(), |min| format!(" at least {min}"));
    let most = bound.max.map_or(String::new(), |max| format!(" at most {max}"));
    let verdict = if bound.holds { "holds" } else { "BROKEN" };
    println!("{verdict:<7} {:<40} {value:>12} {least}{most}", bound.figure);
}
