//! The dispatcher `sablerun`: reads what it is told, opens its sockets and runs until it is told to
//! end. It owns the order of starting and stopping and must never decide or translate anything.

mod core;
mod limits;
mod net;
mod runtime;

use crate::core::{Core, Input};
use crate::limits::Limits;
use crate::net::faktory::{Faktory, Gateway};
use crate::net::{discovery, platform, runners};
use crate::runtime::{Clock, Runtime};
use sablerun as sr;
use sablerun_settings::Env;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

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
    settings: Env,
}

/// The machine's limits.
#[derive(serde::Deserialize)]
struct Machine {
    memory_mb: usize,
    sockets: usize,
}

fn main() -> ExitCode {
    let env = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(env).format_timestamp_millis().init();
    let told = read_gateway().and_then(|gateway| Ok((read_config()?, gateway)));
    match told
        .and_then(|((config, text), gateway)| actix_rt::System::new().block_on(run(config, text, gateway)))
    {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            log::error!("{message}");
            ExitCode::FAILURE
        }
    }
}

/// The operator's file, if one is named: it sets the second front up.
fn read_gateway() -> Result<Option<Gateway>, String> {
    let arguments: Vec<_> = std::env::args_os().skip(1).collect();
    match arguments.as_slice() {
        [] => Ok(None),
        [flag, file] if flag == "--gateway" => Gateway::read(Path::new(file)).map(Some),
        _ => Err("usage: sablerun [--gateway FILE]".to_owned()),
    }
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

/// Reads the configuration anew. Discovery may have moved; what else has changed waits for a start.
/// A file that makes no sense, or is half written, changes nothing.
fn reload(runtime: &Runtime, text: &mut Value) {
    let read = read_config().and_then(|(config, text)| match config.settings.settle() {
        Ok(_) => Ok((config, text)),
        Err(e) => Err(format!("NODE_CONFIG: settings: {e}")),
    });
    match read {
        Ok((config, new)) => {
            log::info!("configuration read anew, discovery at {}", config.discovery);
            for key in ["name", "listen", "limits", "settings"] {
                if new[key] != text[key] {
                    log::warn!("NODE_CONFIG: {key}: has changed, which takes effect at the next start");
                }
            }
            *text = new;
            runtime.feed(Input::RosterAt(config.discovery));
        }
        Err(e) => log::error!("configuration not read anew, the old one stays: {e}"),
    }
}

async fn run(config: Config, mut text: Value, gateway: Option<Gateway>) -> Result<(), String> {
    let (settings, tables) = config.settings.settle().map_err(|e| format!("NODE_CONFIG: settings: {e}"))?;
    let seed = u64::from_str_radix(&config.seed, 16).map_err(|e| format!("NODE_CONFIG: seed: {e}"))?;
    let machine = &config.limits;
    let limits = Limits::new(machine.sockets, machine.memory_mb, &config.settings, gateway.is_some());
    if let Some(gateway) = &gateway {
        gateway.check(&tables).map_err(|e| format!("--gateway: {e}"))?;
    }
    let deadlines = settings.classes.iter().map(|class| class.deadline).collect();
    let keyed = settings.classes.iter().map(|c| c.effect != sr::Effect::Safe).collect();
    let with_tenants = !settings.tenants.is_empty();
    let clock = Clock::new();
    let core = Core::new(settings, tables, config.discovery, seed, clock.now(), limits.open)
        .map_err(|e| format!("NODE_CONFIG: settings: {e}"))?;
    let runtime = Runtime::new(core, clock, limits);

    let runners = runners::Runners::new(&runtime);
    runtime.add_link(runners.clone());
    let roster = discovery::Discovery::new(&runtime, &runners);
    runtime.set_roster(roster.clone());
    let backlog = runtime.limits.backlog;
    let second = gateway.map(|gateway| {
        let at = gateway.listen;
        let front = Faktory::new(&runtime, gateway, deadlines, with_tenants)?;
        Ok((front, platform::listen(at, backlog).map_err(|e| format!("listen: {at}: {e}"))?))
    });
    let second = second.transpose().map_err(|e: String| format!("--gateway: {e}"))?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    // From here on a SIGHUP no longer ends the program.
    let mut hang_up = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| format!("SIGINT: {e}"))?;
    let listener =
        platform::listen(config.listen, backlog).map_err(|e| format!("listen: {}: {e}", config.listen))?;

    if let Some(known) = config.known {
        roster.take(sr::ListKind::Saved, known);
    } else {
        runtime.feed(Input::List(crate::core::Source::Discovery, sr::ListKind::Saved, Vec::new()));
    }
    let timer = runtime.clone();
    actix_rt::spawn(async move { timer.keep_time().await });
    let bound = listener.local_addr().ok();
    let front = platform::Front::new(&runtime, keyed, with_tenants);
    actix_rt::spawn(front.clone().serve(listener));
    let listen = bound.unwrap_or(config.listen);
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
            reload(&held, &mut text);
            if let Some(front) = &second {
                front.reload();
            }
        }
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
    log::info!("told to end: {}", runtime.summary());
    let (spell, stop) = (runtime.limits.spell, runtime.limits.stop);
    runtime.feed(Input::StopAt(runtime.clock.now() + sr::Span(stop.as_nanos() as u64)));
    tokio::time::sleep(spell).await;
    log::info!("lets clients go: {}", runtime.summary());
    runtime.stop();
    front.close_idle();
    runtime.answered(stop - spell + runtime.limits.flush).await;
    // Whatever was answered last is still on its way out.
    front.drained(runtime.limits.flush).await;
    log::info!("ends: {}", runtime.summary());
    Ok(())
}
