//! A Faktory worker crashes in the middle of a keyed job. The job waits for the next FETCH of another worker of
//! its hall, which comes after the window for repeats.

use super::{Case, Effects, Played, WARM_UP, faktory_section, judge_effects, text};
use crate::discovery::Discovery;
use crate::dispatcher::{Dispatcher, Settings, free_address};
use crate::faktory::{Connection, Push, key_of};
use crate::record::Record;
use crate::runner::Effect;
use crate::text::{string_field, work_ms};
use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The window of the settings: workers of the hall drop a repeat for so long.
const WINDOW: Duration = Duration::from_millis(2000);
const WORK_MS: u64 = 2600;
const MEMBERS: [&str; 2] = ["w-1", "w-2"];

/// The workers of the hall: the keys that they know, and what took effect.
#[derive(Clone, Default)]
struct Hall {
    seen: Arc<Mutex<HashMap<String, Instant>>>,
    effects: Effects,
    /// The key of the job that each worker runs.
    running: Arc<Mutex<HashMap<String, String>>>,
}

/// Plays the case.
pub fn play(case: &Case) -> Played {
    let discovery = Discovery::start(&[]).map_err(text)?;
    let faktory = free_address();
    let mut dispatcher = Dispatcher::new("n0", free_address(), discovery.address).map_err(text)?;
    let window_ms = WINDOW.as_millis() as u64;
    dispatcher.configure(&Settings { window_ms, ..Settings::default() }).map_err(text)?;
    dispatcher.start(Some(&faktory_section(faktory))).map_err(text)?;
    let hall = Hall::default();
    let mut sockets = HashMap::new();
    for wid in MEMBERS {
        let connection = Connection::open(faktory, Some(wid)).map_err(text)?;
        sockets.insert(wid, connection.socket().map_err(text)?);
        let (hall, record) = (hall.clone(), case.record.clone());
        thread::spawn(move || work(connection, wid, &hall, &record));
    }
    thread::sleep(WARM_UP);
    let clients: Vec<_> = (0..MEMBERS.len()).map(|number| push(case, faktory, number)).collect();
    thread::sleep(Duration::from_millis(500));
    let running = hall.running.lock().expect("no holder panics").clone();
    if running.len() < MEMBERS.len() {
        return Err("the jobs did not start at both workers".to_owned());
    }
    if case.trouble {
        case.record.line(format!("worker w-1 crashes while it runs the job of key {}", running["w-1"]));
        sockets["w-1"].shutdown(Shutdown::Both).map_err(text)?;
    }
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    // A job that was sent may still be on its way to a FETCH.
    thread::sleep(Duration::from_millis(500));
    Ok(judge_effects(case, &hall.effects))
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
            hall.running.lock().expect("no holder panics").insert(wid.to_owned(), key.clone());
            let effect = Effect { key, hall: "hall-a".to_owned(), runner: wid.to_owned(), id: jid.clone() };
            hall.effects.lock().expect("no holder panics").push(effect);
            thread::sleep(Duration::from_millis(work_ms(&frame)));
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
            work_ms: WORK_MS,
            timeout_ms: 6000,
        };
        record.line(format!("client pushes {jid} under key {key}"));
        let reply = Connection::open(faktory, None).and_then(|mut client| client.command(&push.command()));
        record.line(format!("client, {jid}: {reply:?}"));
    })
}
