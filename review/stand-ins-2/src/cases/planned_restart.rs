//! Dispatchers with Faktory clients and workers are told to end, while their clients go on pushing jobs.

use super::{Case, Played, Verdict, text};
use crate::discovery::Discovery;
use crate::dispatcher::{Dispatcher, Settings, free_address};
use crate::faktory::{Connection, Push};
use crate::record::Record;
use crate::text::{string_field, work_ms};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const DISPATCHERS: usize = 5;
const CLIENTS: usize = 4;
const WORKER_CONNECTIONS: usize = 4;
/// How long a worker counts as cold, and a little more.
pub const WARM_UP: Duration = Duration::from_millis(9000);
/// How long clients push before the dispatchers are told to end, and after it.
const BEFORE: Duration = Duration::from_millis(3000);
const AFTER: Duration = Duration::from_millis(4500);

/// What happened to the jobs.
#[derive(Default)]
struct Jobs {
    /// Jobs that a worker got whole.
    run: Mutex<BTreeSet<String>>,
    /// The reply to each PUSH, or why there was none.
    replies: Mutex<BTreeMap<String, Result<String, String>>>,
}

/// Plays the case.
pub fn play(case: &Case) -> Played {
    let jobs = Arc::new(Jobs::default());
    let workers_end = Arc::new(AtomicBool::new(false));
    let discovery = Discovery::start(Vec::new()).map_err(text)?;
    let mut dispatchers = Vec::new();
    for number in 0..DISPATCHERS {
        let faktory = free_address();
        let mut dispatcher =
            Dispatcher::new(&format!("n{number}"), free_address(), discovery.address).map_err(text)?;
        dispatcher.configure(&Settings::default()).map_err(text)?;
        dispatcher.start(&operator(faktory)).map_err(text)?;
        for _ in 0..WORKER_CONNECTIONS {
            let (wid, record) = (format!("worker-{number}"), case.record.clone());
            let (jobs, end) = (jobs.clone(), workers_end.clone());
            thread::spawn(move || work(faktory, &wid, &jobs, &end, &record));
        }
        dispatchers.push((dispatcher, faktory));
    }
    case.record.line(format!("{DISPATCHERS} dispatchers are up, each with a worker of {WORKER_CONNECTIONS}"));
    thread::sleep(WARM_UP);
    let until = Instant::now() + BEFORE + AFTER;
    let mut clients = Vec::new();
    for (number, (_, faktory)) in dispatchers.iter().enumerate() {
        for client in 0..CLIENTS {
            clients.push(push_jobs(case, *faktory, number * CLIENTS + client, until, &jobs));
        }
    }
    thread::sleep(BEFORE);
    if case.trouble {
        for (dispatcher, _) in &dispatchers {
            dispatcher.signal("TERM");
        }
        case.record.line("SIGTERM to all dispatchers");
        for (number, (dispatcher, _)) in dispatchers.iter_mut().enumerate() {
            let ended = dispatcher.wait(Duration::from_millis(3700));
            case.record.line(format!("dispatcher {number} ended by itself: {ended}"));
        }
    }
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    workers_end.store(true, Ordering::Relaxed);
    Ok(judge(case, &jobs))
}

/// The operator's file.
pub fn operator(faktory: SocketAddr) -> String {
    format!(
        "[faktory]\nlisten = \"{faktory}\"\nplaintext = true\nzone = \"hall-a\"\nkind = \"k4-full\"\n\
         [[faktory.route]]\nqueue = \"waves\"\nclass = \"wave-release\"\n\
         [[faktory.route]]\nqueue = \"picks\"\nclass = \"short-pick\"\n"
    )
}

/// A connection of a worker: fetches a job, runs it, acknowledges it.
fn work(
    faktory: SocketAddr,
    wid: &str,
    jobs: &Jobs,
    end: &AtomicBool,
    record: &Record,
) -> std::io::Result<()> {
    let mut connection = Connection::open(faktory, Some(wid))?;
    while !end.load(Ordering::Relaxed) {
        let Some(frame) = connection.fetch("waves picks")? else { continue };
        let jid = string_field(&frame, "jid").unwrap_or_default();
        record.line(format!("{wid} runs {jid}"));
        jobs.run.lock().expect("no holder panics").insert(jid.clone());
        thread::sleep(Duration::from_millis(work_ms(&frame)));
        let acknowledged = connection.ack(&jid);
        record.line(format!("{wid} acknowledges {jid}: {acknowledged:?}"));
        acknowledged?;
    }
    Ok(())
}

/// A client that pushes one job after the other on its connection, with pauses, as long as that stays open.
fn push_jobs(
    case: &Case,
    faktory: SocketAddr,
    client: usize,
    until: Instant,
    jobs: &Arc<Jobs>,
) -> JoinHandle<()> {
    let (record, jobs) = (case.record.clone(), jobs.clone());
    thread::spawn(move || {
        let Ok(mut connection) = Connection::open(faktory, None) else { return };
        let mut random = client as u64 + 1;
        for number in 0.. {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            thread::sleep(Duration::from_millis(20 + (random >> 33) % 280));
            if Instant::now() >= until {
                return;
            }
            let jid = format!("job-{client:02}-{number:04}");
            let push = Push {
                jid: &jid,
                queue: "waves",
                member: "mehran",
                key: None,
                retry: false,
                work_ms: 60 + (random >> 45) % 120,
                timeout_ms: 6000,
            };
            record.line(format!("client {client} pushes {jid}"));
            let reply = connection.command(&push.command()).map_err(|e| e.to_string());
            record.line(format!("client {client}, {jid}: {reply:?}"));
            let closed = reply.is_err();
            jobs.replies.lock().expect("no holder panics").insert(jid, reply);
            if closed {
                return;
            }
        }
    })
}

/// A job that a worker got was taken; it is lost if its client got no whole reply.
fn judge(case: &Case, jobs: &Jobs) -> Verdict {
    let run = jobs.run.lock().expect("no holder panics");
    let replies = jobs.replies.lock().expect("no holder panics");
    let lost: Vec<_> = replies.iter().filter(|(jid, reply)| reply.is_err() && run.contains(*jid)).collect();
    let unread = replies.iter().filter(|(jid, reply)| reply.is_err() && !run.contains(*jid)).count();
    for (jid, reply) in &lost {
        case.record.line(format!("{jid} was run by a worker, and its client got no answer: {reply:?}"));
    }
    case.record.line(format!(
        "jobs pushed {}, run {}, run without an answer {}, without an answer and not run {unread} (not judged)",
        replies.len(),
        run.len(),
        lost.len()
    ));
    match lost.len() {
        0 => Verdict::Held,
        count => Verdict::Broken(format!("{count} jobs were taken and run, and never answered")),
    }
}
