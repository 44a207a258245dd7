//! Which runners there are, and what each says of its load: the watch on discovery's list, and one question to each
//! runner in a round. It owns both; it must never judge an answer.

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

/// Time for a runner's answer.
const ANSWER: Duration = Duration::from_millis(500);
/// Time without a word after which the watch is opened anew: an empty line comes every 2 s.
const SILENT: Duration = Duration::from_millis(4500);
/// Longest wait before it is.
const AGAIN: Duration = Duration::from_secs(1);
/// Longest line of a watch, and longest answer, in bytes.
const LINE: usize = 4 * 1024 * 1024;
const BODY: usize = 64 * 1024;

/// Where runners listen, by name.
type Runners = Rc<RefCell<BTreeMap<String, SocketAddr>>>;

/// Follows the list and asks those on it; never ends.
pub(super) async fn follow(shared: Rc<Shared>) {
    let (runners, mut seq) = (Runners::default(), 0);
    loop {
        let why = watch(&shared, &runners, &mut seq).await.err().unwrap_or_else(|| "ended".to_owned());
        log::warn!("discovery: watch failed: {why}");
        tokio::time::sleep(AGAIN.mul_f64(fastrand::f64())).await;
    }
}

async fn watch(shared: &Rc<Shared>, runners: &Runners, seq: &mut u64) -> Result<(), String> {
    let at = shared.config.discovery;
    let url = format!("http://{at}/discovery/hosts?stream=1&index={seq}");
    let request = Client::default().get(url).address(at).no_decompress().force_close().send();
    let silent = |_| "silent".to_owned();
    let mut response = timeout(SILENT, request).await.map_err(silent)?.map_err(|e| e.to_string())?;
    if response.status() != StatusCode::OK {
        return Err(format!("answered {}", response.status()));
    }
    let mut objects = JsonStream::new(LINE);
    while let Some(bytes) = timeout(SILENT, response.next()).await.map_err(silent)? {
        objects.extend(&bytes.map_err(|e| e.to_string())?);
        while let Some(hosts) = objects.next::<Hosts>()? {
            *seq = hosts.seq;
            listed(shared, runners, hosts);
        }
    }
    Ok(())
}

fn listed(shared: &Rc<Shared>, runners: &Runners, hosts: Hosts) {
    let mut held = runners.borrow_mut();
    if hosts.whole {
        held.retain(|name, _| hosts.hosts.iter().any(|host| host.host == *name));
    }
    for host in hosts.hosts {
        match host.dial.parse() {
            Ok(at) if host.health != "left" => {
                if held.insert(host.host.clone(), at).is_none() {
                    actix_rt::spawn(ask(shared.clone(), runners.clone(), host.host));
                }
            }
            _ => _ = held.remove(&host.host),
        }
    }
}

/// Asks one runner in each round, at a moment of its own in it, for as long as it is listed.
async fn ask(shared: Rc<Shared>, runners: Runners, runner: String) {
    // The connection is kept from round to round.
    let client = Client::builder().timeout(ANSWER).finish();
    let every = shared.config.every();
    tokio::time::sleep(every.mul_f64(fastrand::f64())).await;
    let mut rounds = tokio::time::interval(every);
    rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        rounds.tick().await;
        let Some(at) = runners.borrow().get(&runner).copied() else { return };
        let told = timeout(ANSWER, answer(&client, at)).await.ok().flatten();
        let figure = |name: &String| told.as_ref().and_then(|told| told.get(name)?.as_f64()).unwrap_or(0.0);
        let figures = shared.config.fields.iter().map(figure).collect();
        let load = Load { runner: runner.clone(), ok: told.is_some(), values: figures };
        shared.publisher.borrow_mut().record(&load);
    }
}

async fn answer(client: &Client, at: SocketAddr) -> Option<Map<String, Value>> {
    let url = format!("http://{at}/metrics/load");
    let mut response = client.get(url).address(at).no_decompress().send().await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let body = response.body().limit(BODY).await.ok()?;
    serde_json::from_slice(&body).ok()
}
