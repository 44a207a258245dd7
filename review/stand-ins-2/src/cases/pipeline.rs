//! A Faktory client sends many commands at once.

use super::planned_restart::{WARM_UP, operator};
use super::{Case, Played, Verdict, text};
use crate::discovery::Discovery;
use crate::dispatcher::{Dispatcher, Settings, free_address};
use crate::faktory::{Connection, Push};
use crate::text::{string_field, work_ms};
use std::collections::HashSet;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const JOBS: usize = 60;
const CONNECTIONS: usize = 4;
/// What a job carries beside its running time.
const ITEMS_BYTES: usize = 4096;

/// Plays the case.
pub fn play(case: &Case) -> Played {
    let discovery = Discovery::start(Vec::new()).map_err(text)?;
    let faktory = free_address();
    let mut dispatcher = Dispatcher::new("n0", free_address(), discovery.address).map_err(text)?;
    dispatcher.configure(&Settings::default()).map_err(text)?;
    dispatcher.start(&operator(faktory)).map_err(text)?;
    let run: Arc<Mutex<HashSet<String>>> = Arc::default();
    for _ in 0..CONNECTIONS {
        let mut worker = Connection::open(faktory, Some("w-1")).map_err(text)?;
        let (run, record) = (run.clone(), case.record.clone());
        thread::spawn(move || -> std::io::Result<()> {
            loop {
                let Some(frame) = worker.fetch("picks")? else { continue };
                let jid = string_field(&frame, "jid").unwrap_or_default();
                record.line(format!("worker w-1 runs {jid}"));
                run.lock().expect("no holder panics").insert(jid.clone());
                thread::sleep(Duration::from_millis(work_ms(&frame)));
                worker.ack(&jid)?;
            }
        });
    }
    thread::sleep(WARM_UP);
    let mut client = Connection::open(faktory, None).map_err(text)?;
    let jids: Vec<_> = (0..JOBS).map(|number| format!("pick-{number:04}")).collect();
    let command = |jid: &str| {
        let (queue, member) = ("picks", "mehran");
        Push { jid, queue, member, key: None, retry: false, work_ms: 30, timeout_ms: 6000 }
            .command()
            .replace("work_ms=30", &format!("work_ms=30 items={}", "0123456789abcdef".repeat(ITEMS_BYTES / 16)))
    };
    if case.trouble {
        let all: String = jids.iter().map(|jid| command(jid) + "\r\n").collect();
        case.record.line(format!("client pushes {JOBS} jobs at once, {} bytes", all.len()));
        let mut socket = client.socket().map_err(text)?;
        thread::spawn(move || socket.write_all(all.as_bytes()));
    }
    let mut replies = Vec::new();
    for jid in &jids {
        let reply = if case.trouble { client.read_line() } else { client.command(&command(jid)) };
        case.record.line(format!("client, {jid}: {reply:?}"));
        match reply {
            Ok(reply) => replies.push(reply),
            Err(_) => break,
        }
    }
    thread::sleep(Duration::from_millis(300));
    let run = run.lock().expect("no holder panics");
    case.record.line(format!("pushed {JOBS}, answered {}, run {}", replies.len(), run.len()));
    Ok(match replies.len() {
        JOBS => Verdict::Held,
        count => Verdict::Broken(format!("{} of {JOBS} jobs got no answer", JOBS - count)),
    })
}
