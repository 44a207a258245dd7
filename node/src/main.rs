//! The program `sablerun`: reads its configuration, opens its sockets, and runs until it is told to end.
//! Defines the order of startup and shutdown.

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
use sablerun_node::{
    assembly, cli, disabled_file, jobs_cli, logging, net, publisher, replacement, snapshots,
};
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

fn main() -> ExitCode {
    let cli = Cli::parse();
    let result = match cli.command.unwrap_or(Command::Run(cli.run)) {
        Command::Run(args) => {
            logging::start(args.log);
            return run_service(run(args.config));
        }
        Command::Digest(args) => {
            logging::start(args.log);
            return run_service(async { publisher::run(publisher::Config::read(&args.config)?).await });
        }
        Command::Check(args) => check(&args),
        Command::Keys(args) => cli::keys(&args),
        Command::Jobs(args) => jobs_cli::run(&args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("sablerun: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a service until it ends or fails.
fn run_service(service: impl Future<Output = Result<(), String>>) -> ExitCode {
    match actix_rt::System::new().block_on(service) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            log::error!("{message}");
            ExitCode::FAILURE
        }
    }
}

/// Checks whether the program would start with the current settings and this operator's file.
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
    // Before anything else, so that a SIGHUP no longer ends the program.
    let mut hang_up = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| format!("SIGINT: {e}"))?;
    let operator = operator.as_deref().map_or(Ok(Operator::default()), Operator::read)?;
    let (config, mut config_json) = read_config()?;
    let (settings, tables) = config.to_settings()?;
    let has_agent = settings.discovery == sr::Discovery::Agent;
    config.seed()?;
    let machine = &config.limits;
    operator.check(&tables, machine.memory_mb).map_err(|e| format!("--config: {e}"))?;
    let Operator { faktory: faktory_config, keys: key_config, digest } = operator;
    let key_bounds = key_config.as_ref().map(|keys| keys.bounds(sr::Span::from_secs(0.25)));
    let key_memory_mb = key_config.as_ref().map_or(0, |keys| keys.memory_mb);
    let memory_mb = machine.memory_mb.saturating_sub(key_memory_mb);
    let limits = Limits::new(machine.sockets, memory_mb, &config.settings, faktory_config.is_some());
    let limits = limits.with_keys(key_bounds);
    let rules = key_config.as_ref().map(|keys| keys.rules(&settings.classes));
    let doubt_periods: Vec<_> =
        key_config.iter().flat_map(|k| settings.classes.iter().map(|c| k.doubt_period(c))).collect();
    let snapshot_file = key_config.as_ref().and_then(|keys| keys.snapshot.clone());
    let clock = Clock::new();
    let store = limits.key_bounds.zip(rules).map(|(bounds, rules)| keys::Store::new(bounds, rules));
    let locked_snapshot = snapshot_file.as_ref().map(snapshots::LockedSnapshot::lock).transpose()?;
    let store = store.map(|store| {
        snapshots::restore(store, &doubt_periods, &tables, locked_snapshot.as_ref(), clock.now())
    });
    let inherited = std::env::var("NODE_LISTEN_FD").ok();
    // Only a process on a socket that the platform holds can be one of two.
    let shared = inherited.as_ref().and_then(|_| replacement::open_shared_file(config.listen));
    let runtime = assembly::build_runtime(&config, (settings, tables), clock, limits, store, shared)?;
    if let (Some(file), Some(snapshot)) = (&locked_snapshot, snapshots::capture(&runtime, false)) {
        // Before the first request: otherwise, after a kill, the successor would trust the snapshot of the
        // previous orderly shutdown as complete.
        file.write(&snapshot).map_err(|e| format!("keys.snapshot.file: {e}"))?;
    }

    // Bound before anything serves, so that an invalid address makes the start fail, with an error that names
    // it.
    let admin_address = match std::env::var("NODE_ADMIN_ADDR") {
        Ok(text) => Some(text.trim().parse().map_err(|e| format!("NODE_ADMIN_ADDR: {text:?}: {e}"))?),
        Err(_) => config.admin_addr,
    };
    let admin_listener = admin_address
        .map(|address| net::admin::bind(address).map_err(|e| format!("admin_addr: {address}: {e}")))
        .transpose()?;

    let (_, discovery) = assembly::connect(&runtime);
    if let Some(digest) = &digest {
        net::digest::DigestSubscriber::start(&runtime, digest);
    }
    let backlog = runtime.limits.backlog;
    let faktory = faktory_config.map(|faktory_config| {
        let address = faktory_config.listen;
        let front = Faktory::new(&runtime, faktory_config)?;
        Ok((front, platform::listen(address, backlog).map_err(|e| format!("listen: {address}: {e}"))?))
    });
    let faktory = faktory.transpose().map_err(|e: String| format!("--config: faktory: {e}"))?;
    // Socket activation: if the platform holds the clients' socket, a process that replaces another one takes
    // it over, and no connection is refused in between.
    let listener = match &inherited {
        Some(fd) => net::socket_activation::listener_from_fd(fd)?,
        None => {
            platform::listen(config.listen, backlog).map_err(|e| format!("listen: {}: {e}", config.listen))?
        }
    };

    // If the machine's own agent provides the list, that one is authoritative from the start, so a previously
    // known list is not used.
    let known = config.known.filter(|_| !has_agent);
    let bound_address = listener.local_addr().ok();
    let front = assembly::start(&runtime, &discovery, known, listener);
    let listen = bound_address.unwrap_or(config.listen);
    if inherited.is_some() {
        runtime.share_key_memory();
        actix_rt::spawn(replacement::share_with_peers(runtime.clone(), front.clone()));
    }
    if let Some(listener) = admin_listener {
        let address = listener.local_addr().map_err(|e| format!("admin_addr: {e}"))?;
        let (sender, requests) = tokio::sync::mpsc::unbounded_channel();
        let limits = net::admin::AdminLimits::default();
        net::admin::start(listener, runtime.metrics.clone(), sender, limits, runtime.memory.clone())
            .map_err(|e| format!("admin_addr: {e}"))?;
        let path = disabled_file::path();
        sync_disabled(&runtime, &path);
        actix_rt::spawn(serve_calls(runtime.clone(), requests, path.clone()));
        let shared_runtime = runtime.clone();
        actix_rt::spawn(async move {
            loop {
                tokio::time::sleep(shared_runtime.limits.disabled_sync_interval).await;
                sync_disabled(&shared_runtime, &path);
                shared_runtime.update_runner_metrics();
            }
        });
        // Only once the admin socket is served, so that processes that read the registry get an answer.
        match net::peers::PeerRegistry::register(
            std::env::temp_dir(),
            address,
            runtime.limits.forward_timeout,
        ) {
            Ok(peers) => front.forward_call_backs_to(peers),
            Err(e) => log::warn!("call-backs are not forwarded during an upgrade: $TMPDIR: {e}"),
        }
        log::info!("admin socket on {address}");
    }
    runtime.metrics.ready.store(true, std::sync::atomic::Ordering::Relaxed);
    log::info!("{} ready on {listen}, discovery at {}", config.name, config.discovery);

    let faktory = faktory.map(|(front, listener)| {
        log::info!(
            "faktory on {}",
            listener.local_addr().map_or_else(|e| e.to_string(), |at| at.to_string())
        );
        runtime.add_link(front.clone());
        actix_rt::spawn(front.clone().run_maintenance());
        actix_rt::spawn(front.clone().serve(listener));
        front
    });
    let reloaded_runtime = runtime.clone();
    let mut reload_all = move || {
        reload(&reloaded_runtime, &mut config_json, key_config.as_ref());
        if let Some(front) = &faktory {
            front.reload();
        }
    };
    let writer = locked_snapshot.map(|file| Rc::new(snapshots::Writer::start(file)));
    let writer_task = writer.clone().map(|writer| {
        let runtime = runtime.clone();
        actix_rt::spawn(async move { writer.write_periodically(&runtime).await })
    });
    let mut summary = tokio::time::interval(runtime.limits.summary_interval);
    loop {
        tokio::select! {
            // In this order, so that a pending reload is applied before the shutdown times are computed.
            biased;
            Some(()) = hang_up.recv() => reload_all(),
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = summary.tick() => log::info!("{}", runtime.summary()),
        }
    }
    // Reloads continue during the shutdown: accepted requests still go to runners on the current list.
    actix_rt::spawn(async move {
        while hang_up.recv().await.is_some() {
            reload_all();
        }
    });
    // For a grace period clients and call-backs are served as usual. After it clients are sent elsewhere, but
    // the listeners stay open to the end for runners' call-backs.
    runtime.metrics.ready.store(false, std::sync::atomic::Ordering::Relaxed);
    let (grace, stop) = runtime.shutdown_times();
    log::info!("shutting down within {:.3} s: {}", stop.as_secs_f64(), runtime.summary());
    runtime.feed(Input::StopAt(runtime.clock.now() + sr::Span(stop.as_nanos() as u64)));
    let socket_inherited = inherited.is_some();
    let grace = if socket_inherited { Duration::ZERO } else { grace };
    front.shut_down(Shutdown::new(grace, stop, runtime.limits.flush_timeout), socket_inherited).await;
    if let Some(writer_task) = writer_task {
        writer_task.abort();
        let _ = writer_task.await;
    }
    if let Some(writer) = writer.and_then(Rc::into_inner) {
        writer.finish(snapshots::capture(&runtime, true));
    }
    log::info!("exiting: {}", runtime.summary());
    Ok(())
}
