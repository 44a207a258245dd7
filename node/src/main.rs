//! The dispatcher `sablerun`: reads what it is told, opens its sockets and runs until it is told to
//! end. It owns the order of starting and stopping and must never decide or translate anything.

use clap::Parser;
use sablerun as sr;
use sablerun_keys as keys;
use sablerun_node::admin_calls::{serve_calls, sync_disabled};
use sablerun_node::cli::{Cli, Command};
use sablerun_node::config::{read_config, reload};
use sablerun_node::core::Input;
use sablerun_node::limits::Limits;
use sablerun_node::net::faktory::Faktory;
use sablerun_node::net::platform;
use sablerun_node::net::platform::shutdown::Shutdown;
use sablerun_node::operator::Operator;
use sablerun_node::runtime::Clock;
use sablerun_node::{assembly, cli, disabled_file, jobs_cli, logging, net, publisher, snapshots};
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

fn main() -> ExitCode {
    let cli = Cli::parse();
    let done = match cli.command.unwrap_or(Command::Run(cli.run)) {
        Command::Run(args) => {
            logging::start(args.log);
            return to_the_end(run(args.config));
        }
        Command::Digest(args) => {
            logging::start(args.log);
            return to_the_end(async { publisher::run(publisher::Config::read(&args.config)?).await });
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

/// Serves until the program is told to end, or can't.
fn to_the_end(service: impl Future<Output = Result<(), String>>) -> ExitCode {
    match actix_rt::System::new().block_on(service) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            log::error!("{message}");
            ExitCode::FAILURE
        }
    }
}

/// Whether the program would start with these settings and this operator's file.
fn check(args: &cli::Check) -> Result<(), String> {
    let operator = args.config.as_deref().map(|path| Ok::<_, String>((path, Operator::read(path)?)));
    let operator = operator.transpose()?;
    let (config, _) = read_config()?;
    let (_, tables) = config.to_settings()?;
    config.seed()?;
    if let Some((path, operator)) = &operator {
        operator.check(&tables, config.limits.memory_mb).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    cli::check(operator.as_ref().map(|(path, operator)| (*path, operator)), args.json)
}

async fn run(operator: Option<PathBuf>) -> Result<(), String> {
    // First of all: from here on a SIGHUP no longer ends the program.
    let mut hang_up = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| format!("SIGINT: {e}"))?;
    let operator = operator.as_deref().map_or(Ok(Operator::default()), Operator::read)?;
    let (config, mut text) = read_config()?;
    let (settings, tables) = config.to_settings()?;
    let agent = settings.discovery == sr::Discovery::Agent;
    config.seed()?;
    let machine = &config.limits;
    operator.check(&tables, machine.memory_mb).map_err(|e| format!("--config: {e}"))?;
    let Operator { faktory: gateway, keys: kept, digest } = operator;
    let bounds = kept.as_ref().map(|kept| kept.bounds(sr::Span::from_secs(0.25)));
    let limits = Limits::new(machine.sockets, machine.memory_mb, &config.settings, gateway.is_some());
    let limits = limits.with_keys(bounds);
    let rules = kept.as_ref().map(|kept| kept.rules(&settings.classes));
    let doubts: Vec<_> = kept.iter().flat_map(|k| settings.classes.iter().map(|c| k.doubt(c))).collect();
    let snapshot_file = kept.as_ref().and_then(|kept| kept.snapshot.clone());
    let clock = Clock::new();
    let store = limits.key_bounds.zip(rules).map(|(bounds, rules)| keys::Store::new(bounds, rules));
    let place = snapshot_file.as_ref().map(snapshots::Place::take).transpose()?;
    let store = store.map(|store| snapshots::remember(store, &doubts, &tables, place.as_ref(), clock.now()));
    let runtime = assembly::build_runtime(&config, (settings, tables), clock, limits, store)?;
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
        admin.map(|at| net::admin::bind(at).map_err(|e| format!("admin_addr: {at}: {e}"))).transpose()?;

    let (_, roster) = assembly::connect(&runtime);
    if let Some(digest) = &digest {
        net::digest::DigestSubscriber::start(&runtime, digest);
    }
    let backlog = runtime.limits.backlog;
    let second = gateway.map(|gateway| {
        let at = gateway.listen;
        let front = Faktory::new(&runtime, gateway)?;
        Ok((front, platform::listen(at, backlog).map_err(|e| format!("listen: {at}: {e}"))?))
    });
    let second = second.transpose().map_err(|e: String| format!("--config: faktory: {e}"))?;
    // Socket activation: where the platform holds the clients' socket, a process that replaces another
    // takes it over, and no connection finds nobody listening in between.
    let inherited = std::env::var("NODE_LISTEN_FD").ok();
    let listener = match &inherited {
        Some(fd) => net::socket_activation::listener_from_fd(fd)?,
        None => {
            platform::listen(config.listen, backlog).map_err(|e| format!("listen: {}: {e}", config.listen))?
        }
    };

    // What an agent holds counts as told from the first moment: what was known before is of no use then.
    let known = config.known.filter(|_| !agent);
    let bound = listener.local_addr().ok();
    let front = assembly::start(&runtime, &roster, known, listener);
    let listen = bound.unwrap_or(config.listen);
    if let Some(door) = door {
        let at = door.local_addr().map_err(|e| format!("admin_addr: {e}"))?;
        let (asks, asked) = tokio::sync::mpsc::unbounded_channel();
        let limits = net::admin::AdminLimits::default();
        net::admin::start(door, runtime.metrics.clone(), asks, limits)
            .map_err(|e| format!("admin_addr: {e}"))?;
        let place = disabled_file::path();
        sync_disabled(&runtime, &place);
        actix_rt::spawn(serve_calls(runtime.clone(), asked, place.clone()));
        let held = runtime.clone();
        actix_rt::spawn(async move {
            loop {
                tokio::time::sleep(held.limits.disabled_sync_interval).await;
                sync_disabled(&held, &place);
                held.update_runner_metrics();
            }
        });
        // Once the door is served, so that whoever reads the register is answered.
        match net::peers::PeerRegistry::register(std::env::temp_dir(), at, runtime.limits.hand_on_timeout) {
            Ok(peers) => front.forward_call_backs_to(peers),
            Err(e) => log::warn!("call-backs of an upgrade are not handed on: $TMPDIR: {e}"),
        }
        log::info!("operators' door on {at}");
    }
    runtime.metrics.ready.store(true, std::sync::atomic::Ordering::Relaxed);
    log::info!("{} ready on {listen}, discovery at {}", config.name, config.discovery);

    let second = second.map(|(front, listener)| {
        log::info!(
            "faktory on {}",
            listener.local_addr().map_or_else(|e| e.to_string(), |at| at.to_string())
        );
        runtime.add_link(front.clone());
        actix_rt::spawn(front.clone().run_maintenance());
        actix_rt::spawn(front.clone().serve(listener));
        front
    });
    let held = runtime.clone();
    let mut read_anew = move || {
        reload(&held, &mut text, kept.as_ref());
        if let Some(front) = &second {
            front.reload();
        }
    };
    let writer = place.map(|place| Rc::new(snapshots::Writer::start(place)));
    let writing = writer.clone().map(|writer| {
        let held = runtime.clone();
        actix_rt::spawn(async move { writer.keep_up(&held).await })
    });
    let mut summary = tokio::time::interval(runtime.limits.summary_interval);
    loop {
        tokio::select! {
            // In this order: the end goes by the settings that were in force when it was told.
            biased;
            Some(()) = hang_up.recv() => read_anew(),
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = summary.tick() => log::info!("{}", runtime.summary()),
        }
    }
    // Also while the program ends: what it has taken still goes to runners that the list allows.
    actix_rt::spawn(async move {
        while hang_up.recv().await.is_some() {
            read_anew();
        }
    });
    // Clients and call-backs find everything as usual for a spell. After it clients are sent elsewhere,
    // but runners' call-backs still come in: the listeners stay open to the end.
    runtime.metrics.ready.store(false, std::sync::atomic::Ordering::Relaxed);
    let (spell, stop) = runtime.shutdown_times();
    log::info!("told to end within {:.3} s: {}", stop.as_secs_f64(), runtime.summary());
    runtime.feed(Input::StopAt(runtime.clock.now() + sr::Span(stop.as_nanos() as u64)));
    let shared = inherited.is_some();
    let spell = if shared { Duration::ZERO } else { spell };
    front.shut_down(Shutdown::new(spell, stop, runtime.limits.flush_timeout), shared).await;
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
