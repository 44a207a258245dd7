//! Watches discovery's runner list and polls each listed runner's load once per interval. Passes
//! the answers on as they are.

use super::Shared;
use crate::net::hosts::Hosts;
use crate::net::json_stream::JsonStream;
use awc::Client;
use awc::http::StatusCode;
use futures_util::StreamExt;
use sablerun_digest::Load;
use serde_json::{Map, Value};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Timeout for a runner's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without data after which the watch is reopened; an empty line comes every 2 s.
const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_millis(4500);
/// Longest delay before the watch is reopened.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Longest line of a watch, in bytes.
const MAX_LINE_BYTES: usize = 4 * 1024 * 1024;
/// Longest load answer, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// The runners' addresses, by name.
type Runners = Rc<RefCell<BTreeMap<String, SocketAddr>>>;

/// Follows the list and polls the listed runners; never returns.
pub(super) async fn follow(shared: Rc<Shared>) {
    let (runners, mut seq) = (Runners::default(), 0);
    loop {
        let why = watch(&shared, &runners, &mut seq).await.err().unwrap_or_else(|| "ended".to_owned());
        log::warn!("discovery: watch failed: {why}");
        tokio::time::sleep(MAX_RETRY_DELAY.mul_f64(fastrand::f64())).await;
    }
}

/// Applies the lists of one watch until it ends.
async fn watch(shared: &Rc<Shared>, runners: &Runners, seq: &mut u64) -> Result<(), String> {
    let address = shared.config.discovery;
    let url = format!("http://{address}/discovery/hosts?stream=1&index={seq}");
    let request = Client::default().get(url).address(address).no_decompress().force_close().send();
    let silent = |_| "silent".to_owned();
    let mut response =
        timeout(WATCH_SILENCE_TIMEOUT, request).await.map_err(silent)?.map_err(|e| e.to_string())?;
    if response.status() != StatusCode::OK {
        return Err(format!("answered {}", response.status()));
    }
    let mut stream = JsonStream::new(MAX_LINE_BYTES);
    while let Some(bytes) = timeout(WATCH_SILENCE_TIMEOUT, response.next()).await.map_err(silent)? {
        stream.extend(&bytes.map_err(|e| e.to_string())?);
        while let Some(hosts) = stream.next::<Hosts>()? {
            *seq = hosts.seq;
            apply_list(shared, runners, hosts);
        }
    }
    Ok(())
}

/// Updates the runners' addresses from a list, and starts to poll those that are new.
fn apply_list(shared: &Rc<Shared>, runners: &Runners, hosts: Hosts) {
    let mut known = runners.borrow_mut();
    if hosts.whole {
        known.retain(|name, _| hosts.hosts.iter().any(|host| host.host == *name));
    }
    for host in hosts.hosts {
        match host.dial.parse() {
            Ok(address) if host.health != "left" => {
                if known.insert(host.host.clone(), address).is_none() {
                    actix_rt::spawn(poll_runner(shared.clone(), runners.clone(), host.host));
                }
            }
            _ => _ = known.remove(&host.host),
        }
    }
}

/// Polls one runner once per interval, at a random offset within it, while it is listed.
async fn poll_runner(shared: Rc<Shared>, runners: Runners, runner: String) {
    // The connection is reused between rounds.
    let client = Client::builder().timeout(ANSWER_TIMEOUT).finish();
    let every = shared.config.every();
    tokio::time::sleep(every.mul_f64(fastrand::f64())).await;
    let mut rounds = tokio::time::interval(every);
    rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        rounds.tick().await;
        let Some(address) = runners.borrow().get(&runner).copied() else { return };
        let report = timeout(ANSWER_TIMEOUT, fetch_load(&client, address)).await.ok().flatten();
        let value =
            |name: &String| report.as_ref().and_then(|report| report.get(name)?.as_f64()).unwrap_or(0.0);
        let values = shared.config.fields.iter().map(value).collect();
        let load = Load { runner: runner.clone(), ok: report.is_some(), values };
        shared.publisher.borrow_mut().record(&load);
    }
}

/// Returns a runner's load report, or None without a valid answer.
async fn fetch_load(client: &Client, address: SocketAddr) -> Option<Map<String, Value>> {
    let url = format!("http://{address}/metrics/load");
    let mut response = client.get(url).address(address).no_decompress().send().await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let body = response.body().limit(MAX_BODY_BYTES).await.ok()?;
    serde_json::from_slice(&body).ok()
}
