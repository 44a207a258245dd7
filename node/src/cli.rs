//! The command line: arguments, help and exit codes, and the read-only commands `check` and `keys`.

use crate::operator::Operator;
use crate::runtime::unix_now;
use clap::{Args, Parser, Subcommand, ValueEnum};
use sablerun as sr;
use sablerun_keys::{Member, Resolution, Snapshot};
use serde_json::json;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

const EXAMPLES: &str = "\
Examples:
  NODE_CONFIG=/run/balancer/config.json sablerun
  NODE_CONFIG=config.json sablerun run --config deploy/gateway.toml --log json
  NODE_CONFIG=config.json sablerun check --config deploy/keys.toml
  sablerun digest --config deploy/digest.toml
  sablerun keys /var/lib/sablerun/keys.snapshot --json
  sablerun jobs verify /var/lib/sablerun/jobs

Exit codes: 0 done, 1 it could not be done (one line says why), 2 the command line is invalid.";

/// A dispatcher: takes jobs from clients, sends each to a runner, gives each one final answer.
#[derive(Debug, Parser)]
#[command(name = "sablerun", version, after_help = EXAMPLES, args_conflicts_with_subcommands = true)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Option<Command>,
    #[command(flatten)]
    pub run: Run,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run the dispatcher (the default when no command is given).
    Run(Run),
    /// Check the settings ($NODE_CONFIG) and the operator's file, and exit.
    Check(Check),
    /// Publish a load digest for many dispatchers, on a control machine, if the installation has one.
    Digest(Digest),
    /// Show the contents of a snapshot of the keys.
    Keys(Keys),
    /// Inspect a store of durable jobs, and retry dead ones, while no dispatcher has it open.
    Jobs(crate::jobs_cli::Jobs),
}

#[derive(Clone, Debug, Default, Args)]
pub struct Run {
    /// The operator's file (TOML): optional features beside the platform's settings.
    #[arg(long, short, value_name = "FILE", visible_alias = "gateway")]
    pub config: Option<PathBuf>,
    /// The form of the log on standard error; RUST_LOG sets its level.
    #[arg(long, value_enum, default_value_t = LogFormat::Text)]
    pub log: LogFormat,
}

#[derive(Clone, Debug, Args)]
pub struct Digest {
    /// The publisher's file (TOML).
    #[arg(long, short, value_name = "FILE")]
    pub config: PathBuf,
    /// The form of the log on standard error; RUST_LOG sets its level.
    #[arg(long, value_enum, default_value_t = LogFormat::Text)]
    pub log: LogFormat,
}

#[derive(Debug, Args)]
pub struct Check {
    /// The operator's file (TOML).
    #[arg(long, short, value_name = "FILE", visible_alias = "gateway")]
    pub config: Option<PathBuf>,
    /// Print one JSON object.
    #[arg(long)]
    pub json: bool,
}

#[derive(Debug, Args)]
pub struct Keys {
    /// The snapshot's file.
    pub file: PathBuf,
    /// Only this member's keys.
    #[arg(long)]
    pub member: Option<String>,
    /// Only this class's keys.
    #[arg(long)]
    pub class: Option<String>,
    /// List at most N keys, the newest first.
    #[arg(long, default_value_t = 20, value_name = "N")]
    pub most: usize,
    /// Print one JSON object.
    #[arg(long)]
    pub json: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// A line of text.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Prints the result of a successful `check`: the sections that are on.
pub fn check(file: Option<(&Path, &Operator)>, json: bool) -> Result<(), String> {
    let mut out = io::stdout().lock();
    let (path, sections) = match file {
        Some((path, operator)) => {
            let on = [("faktory", operator.faktory.is_some()), ("keys", operator.keys.is_some())];
            let on: Vec<_> = on.into_iter().filter(|(_, on)| *on).map(|(name, _)| name).collect();
            (Some(path.display().to_string()), on)
        }
        None => (None, Vec::new()),
    };
    let written = if json {
        writeln!(out, "{}", json!({"ok": true, "config": path, "sections": sections}))
    } else {
        let sections = if sections.is_empty() { "none".to_owned() } else { sections.join(", ") };
        writeln!(out, "settings and operator's file are good; sections on: {sections}")
    };
    ignore_broken_pipe(written)
}

/// Prints the contents of a snapshot.
pub fn keys(args: &Keys) -> Result<(), String> {
    let bytes = std::fs::read(&args.file).map_err(|e| format!("{}: {e}", args.file.display()))?;
    let snapshot = Snapshot::decode(&bytes).map_err(|e| {
        format!("{}: {e}; the dispatcher would start without it and set it aside", args.file.display())
    })?;
    let now = unix_now();
    let age = |at: sr::Time| (now - at).secs();
    let name = |names: &[String], number: u32| names.get(number as usize).cloned();
    let class_of = |number| name(&snapshot.names.classes, number).unwrap_or_else(|| number.to_string());
    let member_of = |member: Member| match member {
        Member::NONE => "-".to_owned(),
        Member(number) => name(&snapshot.names.members, number).unwrap_or_else(|| number.to_string()),
    };
    let wanted = |record: &&sablerun_keys::Record| {
        let matches = |want: &Option<String>, name: &str| want.as_deref().is_none_or(|want| want == name);
        matches(&args.member, &member_of(record.member)) && matches(&args.class, &class_of(record.class))
    };
    let all: Vec<_> = snapshot.records.iter().rev().filter(wanted).collect();
    let count =
        |served: bool| all.iter().filter(|r| matches!(r.resolution, Resolution::Served(_)) == served).count();
    let rows = all.iter().take(args.most).map(|record| {
        let (state, zone, bytes) = match &record.resolution {
            Resolution::Served(result) => ("served", None, result.len()),
            Resolution::MayHaveRun(sent) => {
                ("may have run", sent.place.and_then(|p| name(&snapshot.names.zones, p.zone)), 0)
            }
            Resolution::NeverRan => ("never ran", None, 0),
        };
        // Keys may hold arbitrary bytes: control characters must not reach the terminal.
        let key = String::from_utf8_lossy(&record.key).escape_debug().to_string();
        (member_of(record.member), class_of(record.class), state, zone, bytes, age(record.resolved_at), key)
    });
    let mut out = io::stdout().lock();
    let head = (age(snapshot.taken_at), snapshot.clean_shutdown, count(true), count(false));
    if args.json {
        let rows: Vec<_> = rows
            .map(|(member, class, state, zone, bytes, age, key)| {
                json!({"member": member, "class": class, "key": key, "state": state, "zone": zone,
                       "result_bytes": bytes, "age_s": age})
            })
            .collect();
        return ignore_broken_pipe(writeln!(
            out,
            "{}",
            json!({"age_s": head.0, "last": head.1, "served": head.2, "may_have_run": head.3, "keys": rows})
        ));
    }
    let end = if head.1 { "made at an orderly end" } else { "made while it served" };
    let write = || {
        writeln!(out, "{:.1} s old, {end}; {} served, {} may have run", head.0, head.2, head.3)?;
        writeln!(
            out,
            "{:<14} {:<14} {:<13} {:<9} {:>7} {:>8}  key",
            "member", "class", "state", "zone", "bytes", "age s"
        )?;
        for (member, class, state, zone, bytes, age, key) in rows {
            let zone = zone.unwrap_or_else(|| "-".to_owned());
            writeln!(out, "{member:<14} {class:<14} {state:<13} {zone:<9} {bytes:>7} {age:>8.1}  {key}")?;
        }
        Ok(())
    };
    ignore_broken_pipe(write())
}

/// Ignores a closed pipe on standard output, as with `| head`.
pub fn ignore_broken_pipe(written: io::Result<()>) -> Result<(), String> {
    match written {
        Err(e) if e.kind() != io::ErrorKind::BrokenPipe => Err(format!("standard output: {e}")),
        _ => Ok(()),
    }
}
