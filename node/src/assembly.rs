//! How a dispatcher's parts are put together on the platform's side: reducer, clock, links, discovery and
//! front. It owns what holds which and the order in which they begin; it must never read a file or the
//! environment, nor add a part that the configuration does not call for.

use crate::config::Config;
use crate::core::{Core, Input, Source};
use crate::limits::Limits;
use crate::net::discovery::DiscoveryClient;
use crate::net::hosts::Hosts;
use crate::net::platform::Front;
use crate::net::runners::RunnerLink;
use crate::runtime::{Clock, Runtime};
use sablerun as sr;
use sablerun_keys as keys;
use sablerun_settings::Tables;
use std::rc::Rc;
use tokio::net::TcpListener;

/// The runtime round a core with these settings, and with the clients' keys where they are kept.
///
/// # Errors
///
/// Names the setting that makes no sense.
pub fn build_runtime(
    config: &Config,
    (settings, tables): (sr::Settings, Tables),
    clock: Clock,
    limits: Limits,
    store: Option<keys::Store>,
) -> Result<Rc<Runtime>, String> {
    let seed = config.seed()?;
    let promised = settings.clone();
    let mut core = Core::new(settings, tables, config.discovery, seed, clock.now(), limits.max_open)
        .map_err(|e| format!("NODE_CONFIG: settings: {e}"))?;
    if let Some(store) = store {
        core.set_key_store(store);
    }
    let runtime = Runtime::new(core, clock, limits);
    runtime.update_longest_deadline(&promised);
    runtime.register_classes();
    Ok(runtime)
}

/// Gives a runtime its way to the platform's runners, and to discovery.
pub fn connect(runtime: &Rc<Runtime>) -> (Rc<RunnerLink>, Rc<DiscoveryClient>) {
    let runners = RunnerLink::new(runtime);
    runtime.add_link(runners.clone());
    let roster = DiscoveryClient::new(runtime, &runners);
    runtime.set_list_source(roster.clone());
    (runners, roster)
}

/// Begins: asks for the list, keeps time and serves whoever comes to the listener.
pub fn start(
    runtime: &Rc<Runtime>,
    roster: &DiscoveryClient,
    known: Option<Hosts>,
    listener: TcpListener,
) -> Rc<Front> {
    match known {
        Some(known) => roster.apply_list(sr::ListKind::Saved, known),
        None => runtime.feed(Input::List(Source::Discovery, sr::ListKind::Saved, Vec::new())),
    }
    let timer = runtime.clone();
    actix_rt::spawn(async move { timer.run_timers().await });
    let front = Front::new(runtime);
    actix_rt::spawn(front.clone().serve(listener));
    front
}
