//! `sablerun jobs`: inspects a store of durable jobs while no dispatcher has it open, and lets an operator
//! retry dead jobs. All changes go through the ledger.

use crate::cli::ignore_broken_pipe;
use crate::runtime::unix_now;
use clap::{Args, Subcommand, ValueEnum};
use sablerun as sr;
use sablerun_ledger::{Change, Input, Job, JobId, Ledger, LedgerConfig, State};
use sablerun_store::{DiskStore, JobStore, StoreContents, StoreError};
use serde_json::{Value, json};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

#[derive(Debug, Args)]
pub struct Jobs {
    #[command(subcommand)]
    command: JobsCommand,
}

#[derive(Debug, Subcommand)]
enum JobsCommand {
    /// List jobs, the newest first.
    List(List),
    /// List the jobs that are out of tries, with their last error.
    Dead {
        /// The store's file.
        file: PathBuf,
        /// Print one JSON array.
        #[arg(long)]
        json: bool,
    },
    /// Show all of one job.
    Show {
        /// The store's file.
        file: PathBuf,
        /// The job's number.
        id: u64,
    },
    /// Retry dead jobs, with their full number of tries.
    Retry {
        /// The store's file.
        file: PathBuf,
        /// The jobs' numbers.
        #[arg(required = true)]
        ids: Vec<u64>,
    },
    /// Print every job as a JSON object on a line of its own.
    Export {
        /// The store's file.
        file: PathBuf,
    },
    /// Check the file, every record and every invariant; exits with 1 if one does not hold.
    Verify {
        /// The store's file.
        file: PathBuf,
        /// Print one JSON object.
        #[arg(long)]
        json: bool,
    },
}

#[derive(Debug, Args)]
struct List {
    /// The store's file.
    file: PathBuf,
    /// Only jobs in this state.
    #[arg(long, value_enum)]
    state: Option<JobState>,
    /// Only this member's.
    #[arg(long)]
    member: Option<String>,
    /// Only this class's.
    #[arg(long)]
    class: Option<String>,
    /// List at most N jobs.
    #[arg(long, default_value_t = 20, value_name = "N")]
    most: usize,
    /// Print one JSON array.
    #[arg(long)]
    json: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum JobState {
    Waiting,
    Leased,
    Completed,
    Dead,
    Cancelled,
}

impl JobState {
    fn of(job: &Job) -> JobState {
        match job.state {
            State::Waiting { .. } => JobState::Waiting,
            State::Leased { .. } => JobState::Leased,
            State::Completed { .. } => JobState::Completed,
            State::Dead { .. } => JobState::Dead,
            State::Cancelled { .. } => JobState::Cancelled,
        }
    }

    fn name(self) -> &'static str {
        match self {
            JobState::Waiting => "waiting",
            JobState::Leased => "leased",
            JobState::Completed => "completed",
            JobState::Dead => "dead",
            JobState::Cancelled => "cancelled",
        }
    }
}

/// Runs a command. Output is written as it is produced, since the reader may close the pipe early.
pub fn run(jobs: &Jobs) -> Result<(), String> {
    let result = match &jobs.command {
        JobsCommand::List(list) => {
            let (_, loaded) = open(&list.file)?;
            let wanted = |job: &&Job| {
                let matches = |want: &Option<String>, number| {
                    want.as_deref().is_none_or(|w| w == name(&loaded, number))
                };
                list.state.is_none_or(|state| state == JobState::of(job))
                    && matches(&list.member, job.member)
                    && matches(&list.class, job.class)
            };
            let all: Vec<_> = loaded.jobs.iter().rev().filter(wanted).take(list.most).collect();
            print_list(&loaded, &all, list.json)
        }
        JobsCommand::Dead { file, json } => {
            let (_, loaded) = open(file)?;
            let dead = |job: &&Job| JobState::of(job) == JobState::Dead;
            let all: Vec<_> = loaded.jobs.iter().rev().filter(dead).collect();
            print_list(&loaded, &all, *json)
        }
        JobsCommand::Show { file, id } => {
            let (_, loaded) = open(file)?;
            let job = loaded.jobs.iter().find(|job| job.id.0 == *id);
            let job = job.ok_or_else(|| no_such_job(*id, file))?;
            writeln!(io::stdout(), "{:#}", job_json(&loaded, job))
        }
        JobsCommand::Retry { file, ids } => {
            let revived = retry(file, ids)?;
            writeln!(
                io::stdout(),
                "{revived} to be tried again when a dispatcher next opens {}",
                file.display()
            )
        }
        JobsCommand::Export { file } => {
            let (_, loaded) = open(file)?;
            let mut out = io::BufWriter::new(io::stdout().lock());
            let lines = loaded.jobs.iter().try_for_each(|job| writeln!(out, "{}", job_json(&loaded, job)));
            lines.and_then(|()| out.flush())
        }
        JobsCommand::Verify { file, json } => {
            let (_, loaded) = open(file)?;
            let broken = verify(&loaded);
            let written = if *json {
                writeln!(io::stdout(), "{}", json!({"jobs": loaded.jobs.len(), "broken": broken}))
            } else {
                broken.iter().try_for_each(|what| writeln!(io::stdout(), "{what}")).and_then(|()| {
                    let count = broken.len();
                    writeln!(io::stdout(), "{} jobs, {count} invariants broken", loaded.jobs.len())
                })
            };
            if !broken.is_empty() {
                ignore_broken_pipe(written)?;
                return Err(format!("{}: not as it should be; export what can be read", file.display()));
            }
            written
        }
    };
    ignore_broken_pipe(result)
}

fn no_such_job(id: u64, file: &Path) -> String {
    format!("{id}: no such job in {}; `sablerun jobs list` shows those that there are", file.display())
}

/// Opens an existing store. A mistyped name must not create a new one.
fn open(file: &Path) -> Result<(DiskStore, StoreContents), String> {
    let with_path = |e: StoreError| format!("{}: {e}", file.display());
    if !file.is_file() {
        return Err(format!("{}: no such file", file.display()));
    }
    let mut disk = DiskStore::open(file).map_err(with_path)?;
    let loaded = disk.load().map_err(with_path)?;
    Ok((disk, loaded))
}

fn name(loaded: &StoreContents, number: u32) -> String {
    loaded.names.get(number as usize).cloned().unwrap_or_else(|| format!("#{number}"))
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A job with all its fields, as JSON.
fn job_json(loaded: &StoreContents, job: &Job) -> Value {
    let (at, result) = match &job.state {
        State::Waiting { due_at: at }
        | State::Dead { finished_at: at }
        | State::Cancelled { finished_at: at } => (*at, None),
        State::Leased { expires_at: until } => (*until, None),
        State::Completed { finished_at: at, result } => (*at, Some(text(result))),
    };
    json!({
        "id": job.id.0,
        "member": name(loaded, job.member),
        "class": name(loaded, job.class),
        "key": job.key.as_ref().map(|key| text(key)),
        "state": JobState::of(job).name(),
        "state_time_unix_ns": at.0,
        "accepted_unix_ns": job.accepted_at.0,
        "lease_s": job.lease.secs(),
        "tries": job.attempts,
        "most_tries": job.max_attempts,
        "epoch": job.epoch.0,
        "error": job.last_error,
        "result": result,
        "body": text(&job.body),
    })
}

fn print_list(loaded: &StoreContents, jobs: &[&Job], json: bool) -> io::Result<()> {
    let mut out = io::BufWriter::new(io::stdout().lock());
    if json {
        let all: Vec<_> = jobs.iter().map(|job| job_json(loaded, job)).collect();
        writeln!(out, "{}", Value::from(all))?;
        return out.flush();
    }
    let now = unix_now();
    writeln!(
        out,
        "{:>8} {:<10} {:<14} {:<14} {:>5} {:>6} {:>9}  error",
        "id", "state", "member", "class", "tries", "epoch", "age s"
    )?;
    for job in jobs {
        // A worker's error may hold arbitrary text: control characters must not reach the terminal.
        let error = job.last_error.as_deref().unwrap_or("").escape_debug().to_string();
        let short: String = error.chars().take(60).collect();
        writeln!(
            out,
            "{:>8} {:<10} {:<14} {:<14} {:>2}/{:<2} {:>6} {:>9.1}  {short}",
            job.id.0,
            JobState::of(job).name(),
            name(loaded, job.member),
            name(loaded, job.class),
            job.attempts,
            job.max_attempts,
            job.epoch.0,
            (now - job.accepted_at).secs()
        )?;
    }
    out.flush()
}

fn retry(file: &Path, ids: &[u64]) -> Result<usize, String> {
    let (mut disk, loaded) = open(file)?;
    for id in ids {
        let job = loaded.jobs.iter().find(|job| job.id.0 == *id).ok_or_else(|| no_such_job(*id, file))?;
        if JobState::of(job) != JobState::Dead {
            return Err(format!("{id}: is {}, and only a dead job is tried again", JobState::of(job).name()));
        }
    }
    // Grants no leases and forgets nothing: the dispatcher that opens the store next does that.
    let config = LedgerConfig { max_leases: 0, retention: sr::Span(u64::MAX), ..LedgerConfig::default() };
    let ledger = Ledger::load(config, 0, unix_now(), loaded.next_id, loaded.jobs);
    let mut ledger = ledger.map_err(|e| format!("{}: {e}", file.display()))?;
    let mut changes: Vec<Change> = Vec::new();
    for id in ids {
        changes.extend(ledger.step(unix_now(), Input::RetryDead(JobId(*id))).changes);
    }
    disk.commit(&changes).map_err(|e| format!("{}: {e}", file.display()))?;
    Ok(ids.len())
}

/// Returns a description of each violated invariant. The records' checksums were checked during loading.
fn verify(loaded: &StoreContents) -> Vec<String> {
    let mut broken = Vec::new();
    for job in &loaded.jobs {
        let leased = JobState::of(job) == JobState::Leased;
        let completed = JobState::of(job) == JobState::Completed;
        for (holds, what) in [
            (job.id.0 < loaded.next_id, "its number may be given again"),
            (job.max_attempts > 0, "it may have no tries"),
            (job.attempts <= job.max_attempts, "it had more tries than it may have"),
            (u64::from(job.attempts) <= job.epoch.0, "it had more tries than leases"),
            (!(leased || completed) || job.epoch.0 > 0, "it has a worker's state, and never had a lease"),
            (!leased || job.attempts > 0, "it is leased, and had no try"),
            (JobState::of(job) != JobState::Dead || job.last_error.is_some(), "it is dead of nothing"),
            ((job.member as usize) < loaded.names.len() || job.member == u32::MAX, "its member has no name"),
            ((job.class as usize) < loaded.names.len(), "its class has no name"),
        ] {
            if !holds {
                broken.push(format!("job {}: {what}", job.id.0));
            }
        }
    }
    if let Err(e) = Ledger::load(LedgerConfig::default(), 0, unix_now(), loaded.next_id, loaded.jobs.clone())
    {
        broken.push(e.to_string());
    }
    broken
}
