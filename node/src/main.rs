//! The dispatcher `sablerun`: reads what it is told, opens its sockets and runs until it is told to
//! end. It owns the order of starting and stopping and must never decide or translate anything.

mod bans;
mod cli;
mod core;
mod figures;
mod jobs_cli;
mod limits;
mod logging;
mod net;
mod operator;
mod runtime;
mod snapshots;

use crate::cli::{Cli, Command};
use crate::core::{Core, Input};
use crate::limits::Limits;
use crate::net::callbacks::{self, CallBack};
use crate::net::door::{Ask, Asked};
use crate::net::faktory::Faktory;
use crate::net::{discovery, platform, runners};
use crate::operator::Operator;
use crate::runtime::{Clock, Runtime};
use clap::Parser;
use sablerun as sr;
use sablerun_keys as keys;
use sablerun_settings::Env;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc::UnboundedReceiver;

/// What `$NODE_CONFIG` holds.
#[derive(serde::Deserialize)]
struct Config {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: Machine,
    #[serde(default)]
    known: Option<discovery::Hosts>,
    /// The operators' door, where there is one; `$NODE_ADMIN_ADDR` stands before it.
    #[serde(default)]
    admin_addr: Option<SocketAddr>,
    settings: Env,
}

/// The machine's limits.
#[derive(serde::Deserialize)]
struct Machine {
    memory_mb: usize,
    sockets: usize,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let done = match cli.command.unwrap_or(Command::Run(cli.run)) {
        Command::Run(args) => {
            logging::start(args.log);
            let operator = args.config.as_deref().map_or(Ok(Operator::default()), Operator::read);
            let told = operator.and_then(|operator| Ok((read_config()?, operator)));
            let done = told.and_then(|((config, text), operator)| {
                actix_rt::System::new().block_on(run(config, text, operator))
            });
            return match done {
                Ok(()) => ExitCode::SUCCESS,
                Err(message) => {
                    log::error!("{message}");
                    ExitCode::FAILURE
                }
            };
        }
        Command::Check(args) => check(&args),
        Command::Keys(args) => cli::keys(&args),
        Command::Jobs(args) => jobs_cli::run(&args),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("sablerun: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Whether the program would start with these settings and this operator's file.
fn check(args: &cli::Check) -> Result<(), String> {
    let operator = args.config.as_deref().map(|path| Ok::<_, String>((path, Operator::read(path)?)));
    let operator = operator.transpose()?;
    let (config, _) = read_config()?;
    let (_, tables) = config.settings.settle().map_err(|e| format!("NODE_CONFIG: settings: {e}"))?;
    u64::from_str_radix(&config.seed, 16).map_err(|e| format!("NODE_CONFIG: seed: {e}"))?;
    if let Some((path, operator)) = &operator {
        operator.check(&tables, config.limits.memory_mb).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    cli::check(operator.as_ref().map(|(path, operator)| (*path, operator)), args.json)
}

/// What `$NODE_CONFIG` holds, and as it stands there.
fn read_config() -> Result<(Config, Value), String> {
    let path = std::env::var("NODE_CONFIG").map_err(|_| "NODE_CONFIG is not set".to_owned())?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("NODE_CONFIG: {path}: {e}"))?;
    let mut json = serde_json::Deserializer::from_str(&text);
    let config: Config = serde_path_to_error::deserialize(&mut json)
        .map_err(|e| format!("NODE_CONFIG: {}: {}", e.path(), e.inner()))?;
    let text = serde_json::from_str(&text).map_err(|e| format!("NODE_CONFIG: {e}"))?;
    Ok((config, text))
}

/// What of the configuration holds from the start to the end, as JSON pointers.
const READ_AT_START: [&str; 6] = [
    "/name",
    "/listen",
    "/limits",
    "/settings/limits/connIdle",
    "/settings/limits/connectTimeout",
    "/settings/limits/maxOpen",
];

/// Reads the configuration anew: discovery may have moved, and new settings hold from now on. A file
/// that makes no sense, or is half written, changes nothing.
fn reload(runtime: &Runtime, text: &mut Value, kept: Option<&operator::Keys>) {
    let read = read_config().and_then(|(config, text)| match config.settings.settle() {
        Ok(settled) => Ok((config, text, settled)),
        Err(e) => Err(format!("NODE_CONFIG: settings: {e}")),
    });
    match read {
        Ok((config, new, (settings, tables))) => {
            figures::Figures::add(&runtime.figures.conf_loaded);
            log::info!("configuration read anew, discovery at {}", config.discovery);
            for key in READ_AT_START {
                if new.pointer(key) != text.pointer(key) {
                    let key = key.trim_start_matches('/').replace('/', ".");
                    log::warn!("NODE_CONFIG: {key}: has changed, which takes effect at the next start");
                }
            }
            if new["settings"] != text["settings"] {
                let rules = kept.map_or_else(Vec::new, |kept| kept.rules(&settings.classes));
                let until = runtime.clock.now() + sr::Span(runtime.limits.vanished.as_nanos() as u64);
                let (classes, attempts) = (tables.classes.all().join(","), settings.max_attempts);
                let retune = crate::core::Retune { settings, tables, rules, until };
                runtime.feed(Input::Retune(Box::new(retune)));
                runtime.show_classes();
                log::info!(classes = classes.as_str(), attempts = attempts; "new settings are in use");
            }
            *text = new;
            runtime.feed(Input::RosterAt(config.discovery));
        }
        Err(e) => {
            figures::Figures::add(&runtime.figures.conf_invalid);
            log::error!("configuration not read anew, the old one stays: {e}");
        }
    }
}

async fn run(config: Config, mut text: Value, operator: Operator) -> Result<(), String> {
    let (settings, tables) = config.settings.settle().map_err(|e| format!("NODE_CONFIG: settings: {e}"))?;
    let seed = u64::from_str_radix(&config.seed, 16).map_err(|e| format!("NODE_CONFIG: seed: {e}"))?;
    let machine = &config.limits;
    operator.check(&tables, machine.memory_mb).map_err(|e| format!("--config: {e}"))?;
    let Operator { faktory: gateway, keys: kept } = operator;
    let bounds = kept.as_ref().map(|kept| kept.bounds(sr::Span::from_secs(0.25)));
    let limits = Limits::new(machine.sockets, machine.memory_mb, &config.settings, gateway.is_some());
    let limits = limits.with_keys(bounds);
    let rules = kept.as_ref().map(|kept| kept.rules(&settings.classes));
    let doubts: Vec<_> = kept.iter().flat_map(|k| settings.classes.iter().map(|c| k.doubt(c))).collect();
    let snapshot_file = kept.as_ref().and_then(|kept| kept.snapshot.clone());
    let clock = Clock::new();
    let store = limits.keys.zip(rules).map(|(bounds, rules)| keys::Store::new(bounds, rules));
    let place = snapshot_file.as_ref().map(snapshots::Place::take).transpose()?;
    let store = store.map(|store| remember(store, &doubts, &tables, place.as_ref(), clock.now()));
    let mut core = Core::new(settings, tables, config.discovery, seed, clock.now(), limits.open)
        .map_err(|e| format!("NODE_CONFIG: settings: {e}"))?;
    if let Some(store) = store {
        core.keep_keys(store);
    }
    let runtime = Runtime::new(core, clock, limits);
    runtime.show_classes();
    if let (Some(place), Some(now)) = (&place, snapshots::of(&runtime, false)) {
        // Before the first request: else a kill would leave an orderly end's snapshot to be trusted.
        place.write(&now).map_err(|e| format!("keys.snapshot.file: {e}"))?;
    }

    // Bound before anything serves: a wrong address stops the start with its name.
    let admin = match std::env::var("NODE_ADMIN_ADDR") {
        Ok(text) => Some(text.trim().parse().map_err(|e| format!("NODE_ADMIN_ADDR: {text:?}: {e}"))?),
        Err(_) => config.admin_addr,
    };
    let door =
        admin.map(|at| net::door::open(at).map_err(|e| format!("admin_addr: {at}: {e}"))).transpose()?;

    let runners = runners::Runners::new(&runtime);
    runtime.add_link(runners.clone());
    let roster = discovery::Discovery::new(&runtime, &runners);
    runtime.set_roster(roster.clone());
    let backlog = runtime.limits.backlog;
    let second = gateway.map(|gateway| {
        let at = gateway.listen;
        let front = Faktory::new(&runtime, gateway)?;
        Ok((front, platform::listen(at, backlog).map_err(|e| format!("listen: {at}: {e}"))?))
    });
    let second = second.transpose().map_err(|e: String| format!("--config: faktory: {e}"))?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    // From here on a SIGHUP no longer ends the program.
    let mut hang_up = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| format!("SIGINT: {e}"))?;
    // Socket activation: where the platform holds the clients' socket, a process that replaces another
    // takes it over, and no connection finds nobody listening in between.
    let inherited = std::env::var("NODE_LISTEN_FD").ok();
    let listener = match &inherited {
        Some(fd) => net::inherit::take(fd)?,
        None => {
            platform::listen(config.listen, backlog).map_err(|e| format!("listen: {}: {e}", config.listen))?
        }
    };

    if let Some(known) = config.known {
        roster.take(sr::ListKind::Saved, known);
    } else {
        runtime.feed(Input::List(crate::core::Source::Discovery, sr::ListKind::Saved, Vec::new()));
    }
    let timer = runtime.clone();
    actix_rt::spawn(async move { timer.keep_time().await });
    let bound = listener.local_addr().ok();
    let front = platform::Front::new(&runtime);
    actix_rt::spawn(front.clone().serve(listener));
    let listen = bound.unwrap_or(config.listen);
    if let Some(door) = door {
        let at = door.local_addr().map_err(|e| format!("admin_addr: {e}"))?;
        let (asks, asked) = tokio::sync::mpsc::unbounded_channel();
        let limits = net::door::DoorLimits::default();
        net::door::start(door, runtime.figures.clone(), asks, limits)
            .map_err(|e| format!("admin_addr: {e}"))?;
        let place = bans::place();
        follow_bans(&runtime, &place);
        actix_rt::spawn(carry_out(runtime.clone(), asked, place.clone()));
        let held = runtime.clone();
        actix_rt::spawn(async move {
            loop {
                tokio::time::sleep(held.limits.bans).await;
                follow_bans(&held, &place);
                held.count_runners();
            }
        });
        // Once the door is served, so that whoever reads the register is answered.
        match net::peers::Peers::register(std::env::temp_dir(), at, runtime.limits.hand_on) {
            Ok(peers) => front.hand_on_to(peers),
            Err(e) => log::warn!("call-backs of an upgrade are not handed on: $TMPDIR: {e}"),
        }
        log::info!("operators' door on {at}");
    }
    runtime.figures.ready.store(true, std::sync::atomic::Ordering::Relaxed);
    log::info!("{} ready on {listen}, discovery at {}", config.name, config.discovery);

    let second = second.map(|(front, listener)| {
        log::info!(
            "faktory on {}",
            listener.local_addr().map_or_else(|e| e.to_string(), |at| at.to_string())
        );
        runtime.add_link(front.clone());
        actix_rt::spawn(front.clone().look_after());
        actix_rt::spawn(front.clone().serve(listener));
        front
    });
    let held = runtime.clone();
    // Also while the program ends: what it has taken still goes to runners that the list allows.
    actix_rt::spawn(async move {
        while hang_up.recv().await.is_some() {
            reload(&held, &mut text, kept.as_ref());
            if let Some(front) = &second {
                front.reload();
            }
        }
    });
    let writer = place.map(|place| Rc::new(snapshots::Writer::start(place)));
    let writing = writer.clone().map(|writer| {
        let held = runtime.clone();
        actix_rt::spawn(async move { writer.keep_up(&held).await })
    });
    let mut summary = tokio::time::interval(runtime.limits.summary);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = summary.tick() => log::info!("{}", runtime.summary()),
        }
    }
    // Clients and call-backs find everything as usual for a spell. After it clients are sent elsewhere,
    // but runners' call-backs still come in: the listeners stay open to the end.
    runtime.figures.ready.store(false, std::sync::atomic::Ordering::Relaxed);
    log::info!("told to end: {}", runtime.summary());
    let (spell, stop) = (runtime.limits.spell, runtime.limits.stop);
    runtime.feed(Input::StopAt(runtime.clock.now() + sr::Span(stop.as_nanos() as u64)));
    // A shared socket has a successor behind it: new connections are its, at once, and clients leave
    // idle ones for it. Else the front needs a spell to notice, in which clients find this one as usual.
    let spell = if inherited.is_some() {
        front.stop_accepting();
        Duration::ZERO
    } else {
        spell
    };
    tokio::time::sleep(spell).await;
    log::info!("lets clients go: {}", runtime.summary());
    runtime.stop();
    front.close_idle();
    runtime.answered(stop - spell + runtime.limits.flush).await;
    front.leave_register();
    // Whatever was answered last is still on its way out.
    front.drained(runtime.limits.flush).await;
    if let Some(writing) = writing {
        writing.abort();
        let _ = writing.await;
    }
    if let Some(writer) = writer.and_then(Rc::into_inner) {
        writer.end(snapshots::of(&runtime, true));
    }
    log::info!("ends: {}", runtime.summary());
    Ok(())
}

/// Carries out what callers at the door ask of the serving thread, one after the other.
async fn carry_out(runtime: Rc<Runtime>, mut asked: UnboundedReceiver<Asked>, bans: PathBuf) {
    while let Some(Asked { ask, reply }) = asked.recv().await {
        let done = match ask {
            Ask::Hand { runner, out } => by_hand(&runtime, &runner, out, &bans),
            Ask::Told(call_back) => told(&runtime, &call_back),
        };
        // Fails only if the caller was answered already: its time was over.
        let _ = reply.send(done);
    }
}

/// Takes a runner out by hand, or puts it back. The yes is given once the ban is on disk, where a successor
/// finds it.
fn by_hand(runtime: &Runtime, runner: &str, out: bool, file: &Path) -> Result<(), String> {
    // What the other process of an upgrade has kept since the last look stays kept.
    follow_bans(runtime, file);
    let word = if out { "taken out" } else { "put back" };
    if let Err(why) = runtime.hand(runner.to_owned(), out, false) {
        log::warn!(runner = runner; "runner not {word}: {why}");
        return Err(why.to_owned());
    }
    log::info!(runner = runner; "runner {word} by hand");
    bans::write(file, runtime.banned().iter().map(String::as_str))
        .map_err(|e| format!("{word} here, but not kept in {}: {e}", file.display()))
}

/// Takes a runner's call-back that the other process of an upgrade handed on.
fn told(runtime: &Runtime, call_back: &str) -> Result<(), String> {
    let told: CallBack = serde_json::from_str(call_back).map_err(|e| format!("TOLD: {e}"))?;
    if !runtime.knows(&told.id) {
        return Err("no job of that id is under way here".to_owned());
    }
    log::debug!("request {}: a call-back was handed on", told.id);
    callbacks::take(runtime, told);
    Ok(())
}

/// Takes on the bans that the file holds: a predecessor's, or the other process's during an upgrade.
fn follow_bans(runtime: &Runtime, file: &Path) {
    let kept = match bans::read(file) {
        Ok(kept) => kept,
        Err(e) => return log::warn!("bans: {}: {e}", file.display()),
    };
    let here = runtime.banned();
    for runner in kept.difference(&here) {
        log::info!(runner = runner.as_str(); "runner taken out by hand, as the file of bans says");
        let _ = runtime.hand(runner.clone(), true, true);
    }
    for runner in here.difference(&kept) {
        log::info!(runner = runner.as_str(); "runner put back by hand, as the file of bans says");
        let _ = runtime.hand(runner.clone(), false, true);
    }
}

/// The keys that a predecessor left, and for how long it may be in doubt what it did.
fn remember(
    mut store: keys::Store,
    doubts: &[sr::Span],
    tables: &sablerun_settings::Tables,
    place: Option<&snapshots::Place>,
    now: sr::Time,
) -> keys::Store {
    let snapshot = place.and_then(snapshots::Place::read);
    let whole = snapshot.as_ref().is_some_and(|snapshot| snapshot.last);
    if !whole {
        for (class, doubt) in doubts.iter().enumerate() {
            store.doubt_until(class as u32, now + *doubt);
        }
    }
    if let Some(snapshot) = snapshot {
        let (age, all) = ((now - snapshot.made).secs(), snapshot.records.len());
        let names = (|n: &str| tables.classes.get(n), |n: &str| tables.tenants.get(n));
        let records = snapshot.renumbered(names.0, names.1, |n| tables.zones.get(n));
        let taken = store.restore(now, records);
        log::info!(keys = all, taken = taken, age_s = age, whole = whole; "keys: a predecessor's are back");
    }
    store
}
