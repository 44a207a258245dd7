//! A Faktory worker crashes in the middle of a keyed job. The job waits for the next FETCH of another worker of
//! its hall, which comes after the window for repeats.

use super::{Case, Effects, Played, WARM_UP, WAVE_RELEASE_MS, faktory_section, judge_effects, text};
use crate::discovery::Discovery;
use crate::dispatcher::{Dispatcher, Settings, free_address};
use crate::faktory::{Connection, Push, key_of};
use crate::record::Record;
use crate::runner::Effect;
use crate::text::{running_time, string_field};
use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The window of the settings: workers of the hall drop a repeat for so long.
const WINDOW: Duration = Duration::from_millis(800);
/// How long the first job has run when its worker crashes.
const CRASH_AFTER: Duration = Duration::from_millis(250);
/// Most rounds until each worker has begun a job.
const ROUNDS: usize = 5;
/// The workers of the hall; one of them crashes.
const WORKERS: [&str; 4] = ["w-1", "w-2", "w-3", "w-4"];

/// A job that a worker has begun.
#[derive(Clone)]
struct Running {
    wid: String,
    key: String,
    started: Instant,
}

/// The workers of the hall: the keys that they know, and what took effect.
#[derive(Clone, Default)]
struct Hall {
    seen: Arc<Mutex<HashMap<String, Instant>>>,
    effects: Effects,
    /// What each worker runs, in the order of the starts.
    running: Arc<Mutex<Vec<Running>>>,
}

/// Plays the case. A dispatcher that has learned from reports queues less, so that each round has a new one.
pub fn play(case: &Case) -> Played {
    for _ in 0..ROUNDS {
        let hall = Hall::default();
        if play_round(case, &hall)? {
            return Ok(judge_effects(case, &hall.effects));
        }
        case.record.line("the dispatcher gave one worker two jobs: again with a new one");
    }
    Err("in no round did each worker begin a job in time".to_owned())
}

/// Gives each worker a job, and crashes the one that began first. Returns false, with nothing disturbed, if not
/// every worker began one in time.
fn play_round(case: &Case, hall: &Hall) -> Result<bool, String> {
    let discovery = Discovery::start(&[]).map_err(text)?;
    let faktory = free_address();
    let mut dispatcher = Dispatcher::new("n0", free_address(), discovery.address).map_err(text)?;
    let window_ms = WINDOW.as_millis() as u64;
    dispatcher.configure(&Settings { window_ms, ..Settings::default() }).map_err(text)?;
    dispatcher.start(Some(&faktory_section(faktory))).map_err(text)?;
    let mut sockets = HashMap::new();
    for wid in WORKERS {
        let connection = Connection::open(faktory, Some(wid)).map_err(text)?;
        sockets.insert(wid, connection.socket().map_err(text)?);
        let (hall, record) = (hall.clone(), case.record.clone());
        thread::spawn(move || work(connection, wid, &hall, &record));
    }
    thread::sleep(WARM_UP);
    let mut clients = Vec::new();
    for number in 0..WORKERS.len() {
        clients.push(push(case, faktory, number));
        thread::sleep(Duration::from_millis(15));
    }
    let deadline = Instant::now() + Duration::from_millis(400);
    let mut first = None;
    while first.is_none() && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(5));
        let running = hall.running.lock().expect("no holder panics");
        if running.len() == WORKERS.len() {
            first = running.first().cloned();
        }
    }
    if let Some(Running { wid, key, started }) = first.as_ref().filter(|_| case.trouble) {
        thread::sleep(CRASH_AFTER.saturating_sub(started.elapsed()));
        case.record.line(format!("worker {wid} crashes while it runs the job of key {key}"));
        sockets[wid.as_str()].shutdown(Shutdown::Both).map_err(text)?;
    }
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    // A job that was sent may still be on its way to a FETCH.
    thread::sleep(Duration::from_millis(500));
    Ok(first.is_some())
}

/// A worker with one connection. Drops the repeat of a job that a worker of its hall got within the window.
fn work(mut connection: Connection, wid: &str, hall: &Hall, record: &Record) -> std::io::Result<()> {
    loop {
        let Some(frame) = connection.fetch("waves")? else { continue };
        let (jid, key) = (string_field(&frame, "jid").unwrap_or_default(), key_of(&frame));
        let now = Instant::now();
        let mut seen = hall.seen.lock().expect("no holder panics");
        let first = seen.get(&key).copied().filter(|at| now - *at < WINDOW);
        let age = seen.get(&key).map(|at| (now - *at).as_secs_f64());
        if first.is_none() {
            seen.insert(key.clone(), now);
        }
        drop(seen);
        let age = age.map_or(String::new(), |age| format!(", {age:.3} s after the hall first got it"));
        if first.is_some() {
            record.line(format!("worker {wid} drops {jid}, a repeat of key {key}{age}"));
        } else {
            record.line(format!("worker {wid} RUNS {jid} of key {key}{age}"));
            let started = Running { wid: wid.to_owned(), key: key.clone(), started: now };
            hall.running.lock().expect("no holder panics").push(started);
            let effect = Effect { key, hall: "hall-a".to_owned(), runner: wid.to_owned(), id: jid.clone() };
            hall.effects.lock().expect("no holder panics").push(effect);
            thread::sleep(running_time(&frame));
        }
        connection.ack(&jid)?;
        record.line(format!("worker {wid} has acknowledged {jid}"));
    }
}

/// Pushes a job on a connection of its own.
fn push(case: &Case, faktory: SocketAddr, number: usize) -> JoinHandle<()> {
    let record = case.record.clone();
    thread::spawn(move || {
        let (jid, key) = (format!("wave-{number:04}"), format!("release-{number}"));
        let push = Push {
            jid: &jid,
            queue: "waves",
            member: "mehran",
            key: Some(&key),
            retry: false,
            work_ms: WAVE_RELEASE_MS,
            timeout_ms: 6000,
        };
        record.line(format!("client pushes {jid} under key {key}"));
        let reply = Connection::open(faktory, None).and_then(|mut client| client.command(&push.command()));
        record.line(format!("client, {jid}: {reply:?}"));
    })
}
