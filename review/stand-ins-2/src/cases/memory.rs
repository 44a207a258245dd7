//! The load of the cases on memory: some usual clients, and bad ones that send hundreds of requests at once, and
//! the same again the moment they are turned away. The platform watches the dispatcher's memory.

use super::{Case, PICK_ROUTE_MS, Verdict};
use crate::dispatcher::kill_all;
use crate::http::read_message;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// The limit of memory, in MiB.
pub const MEMORY_MB: u64 = 32;
const BAD_CLIENTS: usize = 300;
const BAD_BODY_BYTES: usize = 30_000;
const USUAL_CLIENTS: usize = 5;
const USUAL_BODY_BYTES: usize = 200;
/// The pause of a usual client between two jobs.
const USUAL_PAUSE: Duration = Duration::from_millis(300);

/// How the jobs of some clients ended.
#[derive(Default)]
pub struct Ends {
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    /// Sent on a connection that closed meanwhile between two requests; the client sends once more.
    crossed: AtomicU64,
    /// Without an answer since the platform killed the dispatcher.
    cut: AtomicU64,
}

/// What the clients and the platform count.
#[derive(Default)]
pub struct Counts {
    usual: Ends,
    bad: Ends,
    /// The load ends.
    pub end: AtomicBool,
    /// The processes whose memory the platform adds up.
    pub processes: Mutex<Vec<u32>>,
    pub peak_kb: AtomicU64,
    pub killed: AtomicBool,
}

/// Starts the clients, or the usual ones only; each bad request has so many headers of no meaning.
pub fn start_clients(listen: SocketAddr, bad: bool, headers: usize, counts: &Arc<Counts>) {
    let clients = if bad { USUAL_CLIENTS + BAD_CLIENTS } else { USUAL_CLIENTS };
    for number in 0..clients {
        client(listen, number, headers, counts);
    }
}

/// Writes what was counted so far into the record.
pub fn report(case: &Case, counts: &Counts, when: &str) {
    let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    for (who, ends) in [("usual", &counts.usual), ("bad", &counts.bad)] {
        case.record.line(format!(
            "{when}: {who} jobs served {}, refused {}, failed {}, crossed a close {}, cut off {}",
            load(&ends.served),
            load(&ends.refused),
            load(&ends.failed),
            load(&ends.crossed),
            load(&ends.cut)
        ));
    }
    case.record.line(format!("{when}: peak {:.1} MiB", load(&counts.peak_kb) as f64 / 1024.0));
}

/// The verdict of the platform.
pub fn judge(counts: &Counts) -> Verdict {
    let peak_mb = counts.peak_kb.load(Ordering::Relaxed) as f64 / 1024.0;
    match counts.killed.load(Ordering::Relaxed) {
        false => Verdict::Held,
        true => Verdict::Broken(format!(
            "{peak_mb:.1} MiB of {MEMORY_MB} MiB: killed for memory, with the jobs that it held"
        )),
    }
}

/// The memory of processes in KiB: the resident memory of one, the proportional set sizes of several, in which a
/// page that they share counts once in all.
fn memory_kb(processes: &[u32]) -> Vec<u64> {
    let (file, name) = if processes.len() == 1 { ("status", "VmRSS:") } else { ("smaps_rollup", "Pss:") };
    let one = |process: &u32| {
        let text = std::fs::read_to_string(format!("/proc/{process}/{file}")).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        line.and_then(|line| line.trim().split(' ').next()?.parse().ok()).unwrap_or(0)
    };
    processes.iter().map(one).collect()
}

/// The platform: adds up the memory of the dispatcher's processes, and kills them over the limit.
pub fn watch_memory(case: &Case, counts: &Arc<Counts>) -> JoinHandle<()> {
    let (counts, record) = (counts.clone(), case.record.clone());
    thread::spawn(move || {
        let mut reported_kb = 0;
        while !counts.end.load(Ordering::Relaxed) {
            let processes = counts.processes.lock().expect("no holder panics").clone();
            let each = memory_kb(&processes);
            let all: u64 = each.iter().sum();
            counts.peak_kb.fetch_max(all, Ordering::Relaxed);
            if all > reported_kb + 1024 {
                reported_kb = all;
                record.line(format!("memory in KiB: {each:?}, together {all}"));
            }
            if all > MEMORY_MB * 1024 && !counts.killed.swap(true, Ordering::Relaxed) {
                record.line(format!("the platform kills the dispatcher for its memory: {each:?} KiB"));
                kill_all();
            }
            thread::sleep(Duration::from_millis(10));
        }
    })
}

/// A client that hands in one job after the other on its connection: a usual one with a pause, a bad one the
/// same again the moment it is answered.
fn client(listen: SocketAddr, number: usize, headers: usize, counts: &Arc<Counts>) {
    let counts = counts.clone();
    thread::spawn(move || {
        let mut tries = 0;
        while !counts.end.load(Ordering::Relaxed) {
            if use_connection(listen, number, headers, &mut tries, &counts).is_err() {
                thread::sleep(Duration::from_millis(50));
            }
        }
    });
}

/// Hands in jobs on one connection until it ends.
fn use_connection(
    listen: SocketAddr,
    number: usize,
    headers: usize,
    tries: &mut u64,
    counts: &Counts,
) -> std::io::Result<()> {
    let usual = number < USUAL_CLIENTS;
    let headers = if usual { 0 } else { headers };
    let headers: String = (0..headers).map(|number| format!("h{number}: v\r\n")).collect();
    let body_bytes = if usual { USUAL_BODY_BYTES } else { BAD_BODY_BYTES };
    let ends = if usual { &counts.usual } else { &counts.bad };
    let stream = TcpStream::connect_timeout(&listen, Duration::from_secs(2))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(7)))?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while !counts.end.load(Ordering::Relaxed) {
        *tries += 1;
        let start = format!("work_ms={PICK_ROUTE_MS} items=");
        let head = format!(
            "POST /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {number:08x}{tries:08x}\r\n\
             X-Priority-Class: pick-route\r\nX-Tenant-Id: mehran\r\nX-Timeout: 5000m\r\nX-Cost: {}\r\n\
             {headers}Content-Length: {body_bytes}\r\n\r\n{start}",
            PICK_ROUTE_MS * 1000
        );
        writer.write_all(head.as_bytes())?;
        writer.write_all(&vec![b'x'; body_bytes - start.len()])?;
        let Ok(Some(answer)) = read_message(&mut reader) else {
            let killed = counts.killed.load(Ordering::Relaxed);
            let counter = if killed { &ends.cut } else { &ends.crossed };
            counter.fetch_add(1, Ordering::Relaxed);
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        };
        let counter = match answer.word(1) {
            "200" => &ends.served,
            "503" | "429" => &ends.refused,
            _ => &ends.failed,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        if answer.header("connection").eq_ignore_ascii_case("close") {
            return Ok(());
        }
        if usual {
            thread::sleep(USUAL_PAUSE);
        }
    }
    Ok(())
}
