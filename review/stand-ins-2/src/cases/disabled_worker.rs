//! An operator takes a Faktory worker out while jobs wait for its next FETCH.

use super::planned_restart::{WARM_UP, operator};
use super::{Case, Played, Verdict, text};
use crate::discovery::Discovery;
use crate::dispatcher::{Dispatcher, Settings, free_address};
use crate::faktory::{Connection, Push};
use crate::text::{string_field, work_ms};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const JOBS: usize = 4;
const WORK_MS: u64 = 1500;
/// The grace of the settings, and the 50 ms by which every limit is longer on sockets.
const GRACE: Duration = Duration::from_millis(550);

/// Plays the case.
pub fn play(case: &Case) -> Played {
    let discovery = Discovery::start(Vec::new()).map_err(text)?;
    let faktory = free_address();
    let mut dispatcher = Dispatcher::new("n0", free_address(), discovery.address).map_err(text)?;
    dispatcher.configure(&Settings::default()).map_err(text)?;
    dispatcher.start(&operator(faktory)).map_err(text)?;
    // The jobs that the worker got, each with the time of its last byte.
    let fetched: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let (record, log) = (case.record.clone(), fetched.clone());
    let mut worker = Connection::open(faktory, Some("w-1")).map_err(text)?;
    thread::spawn(move || -> std::io::Result<()> {
        loop {
            let Some(frame) = worker.fetch("picks")? else { continue };
            let jid = string_field(&frame, "jid").unwrap_or_default();
            log.lock().expect("no holder panics").push((jid.clone(), Instant::now()));
            record.line(format!("worker w-1 gets {jid}"));
            thread::sleep(Duration::from_millis(work_ms(&frame)));
            worker.ack(&jid)?;
            record.line(format!("worker w-1 has acknowledged {jid}"));
        }
    });
    thread::sleep(WARM_UP);
    let mut clients = Vec::new();
    for number in 0..JOBS {
        let record = case.record.clone();
        clients.push(thread::spawn(move || {
            let jid = format!("pick-{number:04}");
            let push = Push {
                jid: &jid,
                queue: "picks",
                member: "mehran",
                key: None,
                retry: false,
                work_ms: WORK_MS,
                timeout_ms: 6000,
            };
            record.line(format!("client pushes {jid}"));
            let reply = Connection::open(faktory, None).and_then(|mut c| c.command(&push.command()));
            record.line(format!("client, {jid}: {reply:?}"));
        }));
    }
    thread::sleep(Duration::from_millis(300));
    let mut disabled_at = None;
    if case.trouble {
        let answer = dispatcher.admin("DISABLE wid:w-1").map_err(text)?;
        case.record.line(format!("DISABLE wid:w-1: {answer}"));
        if !answer.starts_with("OK") {
            return Err(format!("DISABLE wid:w-1: {answer}"));
        }
        disabled_at = Some(Instant::now());
    }
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let fetched = fetched.lock().expect("no holder panics");
    if fetched.is_empty() {
        return Err("the worker got no job at all".to_owned());
    }
    let Some(disabled_at) = disabled_at else { return Ok(Verdict::Held) };
    let late: Vec<_> = fetched.iter().filter(|(_, at)| *at > disabled_at + GRACE).collect();
    for (jid, at) in &late {
        let after = (*at - disabled_at).as_secs_f64();
        case.record.line(format!("{jid} went to w-1 {after:.3} s after the yes to its DISABLE"));
    }
    Ok(match late.len() {
        0 => Verdict::Held,
        count => Verdict::Broken(format!("{count} jobs went to a worker that an operator had taken out")),
    })
}
