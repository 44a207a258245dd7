//! Assembles a dispatcher: core, clock, links, discovery and the platform's front, in the order in which they
//! start. Reads neither files nor the environment.

use crate::config::Config;
use crate::core::{Core, Input, Source};
use crate::limits::Limits;
use crate::net::discovery::DiscoveryClient;
use crate::net::hosts::Hosts;
use crate::net::platform::Front;
use crate::net::runners::RunnerLink;
use crate::runtime::{Clock, Runtime};
use crate::shared::SharedFile;
use sablerun as sr;
use sablerun_keys as keys;
use sablerun_settings::Tables;
use std::rc::Rc;
use std::sync::Arc;
use tokio::net::TcpListener;

/// Builds the runtime and its core from these settings, with a key store if keys are enabled. Its limits
/// are those of all processes that use the shared file, if there is one.
///
/// # Errors
///
/// Names the invalid setting.
pub fn build_runtime(
    config: &Config,
    (settings, tables): (sr::Settings, Tables),
    clock: Clock,
    limits: Limits,
    store: Option<keys::Store>,
    shared: Option<Arc<SharedFile>>,
) -> Result<Rc<Runtime>, String> {
    let seed = config.seed()?;
    let initial_settings = settings.clone();
    let mut core = Core::new(settings, tables, config.discovery, seed, clock.now(), limits.max_open)
        .map_err(|e| format!("NODE_CONFIG: settings: {e}"))?;
    if let Some(store) = store {
        core.set_key_store(store);
    }
    let runtime = Runtime::with_shared(core, clock, limits, shared);
    runtime.update_longest_deadline(&initial_settings);
    runtime.register_classes();
    Ok(runtime)
}

/// Connects a runtime to the platform's runners and to discovery.
pub fn connect(runtime: &Rc<Runtime>) -> (Rc<RunnerLink>, Rc<DiscoveryClient>) {
    let runners = RunnerLink::new(runtime);
    runtime.add_link(runners.clone());
    let discovery = DiscoveryClient::new(runtime, &runners);
    runtime.set_list_source(discovery.clone());
    (runners, discovery)
}

/// Starts the dispatcher: requests the runner list, runs the timers and serves the listener. `known` is a
/// list saved before the start, used until a current one arrives.
pub fn start(
    runtime: &Rc<Runtime>,
    discovery: &DiscoveryClient,
    known: Option<Hosts>,
    listener: TcpListener,
) -> Rc<Front> {
    match known {
        Some(known) => discovery.apply_list(sr::ListKind::Saved, known),
        None => runtime.feed(Input::List(Source::Discovery, sr::ListKind::Saved, Vec::new())),
    }
    let timer = runtime.clone();
    actix_rt::spawn(async move { timer.run_timers().await });
    let front = Front::new(runtime);
    actix_rt::spawn(front.clone().serve(listener));
    front
}
