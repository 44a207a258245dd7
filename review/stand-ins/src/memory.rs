//! Hundreds of bad clients send half a request each and stay, while the usual clients hand in jobs. The
//! platform kills a dispatcher that needs more than its memory. No dispatcher may need more.

use crate::client::{self, End, Job, new_id};
use crate::dispatcher::Dispatcher;
use crate::http::read_message;
use crate::installation::{Installation, Setup};
use crate::record::Record;
use crate::settings::{HALLS, MEMORY_MB};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The bad clients, when they come, and when the run ends.
const BAD_CLIENTS: usize = 300;
const BAD_FROM: Duration = Duration::from_secs(2);
const END: Duration = Duration::from_secs(14);
/// The bytes of the part of a body that a bad client sends, within the 64 KiB that a body may hold. Each byte is
/// a chunk of its own.
const BODY_BYTES: usize = 60_000;
/// A bad client is owed an error or a close within this time.
const OWED_WITHIN: Duration = Duration::from_secs(3);
/// The pause between two jobs of the usual clients.
const PAUSE: Duration = Duration::from_millis(100);
/// How often the platform looks at a dispatcher's memory.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// What the bad clients got.
#[derive(Default)]
struct BadEnds {
    errors: AtomicUsize,
    closes: AtomicUsize,
    neither: AtomicUsize,
}

/// Returns whether the rule held.
pub fn run(setup: &Setup) -> io::Result<bool> {
    let mut installation = Installation::start(setup, [2, 2, 2], &HALLS, "")?;
    let began = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let bad_ends = Arc::new(BadEnds::default());
    let address = installation.dispatchers[0].configuration.listen;
    let usual = {
        let (record, stop) = (setup.record.clone(), stop.clone());
        thread::spawn(move || hand_in_jobs(address, &record, &stop))
    };
    let (mut bad_clients, mut peaks) = (Vec::new(), vec![0; installation.dispatchers.len()]);
    let (mut killed, mut noted) = (None, Instant::now());
    while began.elapsed() < END && killed.is_none() {
        if setup.trouble && bad_clients.is_empty() && began.elapsed() >= BAD_FROM {
            setup.record.line(format!("{BAD_CLIENTS} bad clients come to n1"));
            bad_clients = spawn_bad_clients(address, &bad_ends, &stop)?;
        }
        for (dispatcher, peak) in installation.dispatchers.iter_mut().zip(&mut peaks) {
            if let Some(status) = dispatcher.ended()? {
                return Err(io::Error::other(format!("a dispatcher has ended: {status}")));
            }
            let used_kb = dispatcher.resident_kb()?;
            *peak = used_kb.max(*peak);
            if used_kb > MEMORY_MB * 1024 {
                killed = Some(kill_for_memory(dispatcher, used_kb, &setup.record)?);
                break;
            }
        }
        if noted.elapsed() > Duration::from_millis(500) {
            noted = Instant::now();
            setup.record.line(format!("the most memory used so far: {peaks:?} kB"));
        }
        thread::sleep(LOOK_EVERY);
    }
    stop.store(true, Ordering::Relaxed);
    let ends = usual.join().expect("the usual clients");
    bad_clients.into_iter().for_each(|client| client.join().expect("a bad client"));
    let count = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
    setup.record.say(format!(
        "bad requests that got an error {}, a close {}, neither in time {}",
        count(&bad_ends.errors),
        count(&bad_ends.closes),
        count(&bad_ends.neither)
    ));
    let cut = ends.iter().filter(|end| matches!(end, End::Cut(_) | End::Silence)).count();
    let served = ends.iter().filter(|end| end.is_served()).count();
    setup.record.say(format!("jobs of usual clients {}, served {served}, cut off {cut}", ends.len()));
    setup.record.say(format!("the most memory used {peaks:?} kB, allowed {} kB", MEMORY_MB * 1024));
    Ok(killed.is_none())
}

/// Kills a dispatcher as the platform does.
fn kill_for_memory(dispatcher: &mut Dispatcher, used_kb: u64, record: &Record) -> io::Result<()> {
    let name = &dispatcher.configuration.name;
    record.say(format!("{name} uses {used_kb} kB, over {MEMORY_MB} MB: the platform kills it"));
    dispatcher.kill()
}

fn spawn_bad_clients(
    address: SocketAddr,
    ends: &Arc<BadEnds>,
    stop: &Arc<AtomicBool>,
) -> io::Result<Vec<thread::JoinHandle<()>>> {
    let part = Arc::new("1\r\nx\r\n".repeat(BODY_BYTES));
    (0..BAD_CLIENTS)
        .map(|_| {
            let (part, ends, stop) = (part.clone(), ends.clone(), stop.clone());
            thread::Builder::new().stack_size(128 * 1024).spawn(move || {
                // The same again the moment it is turned away.
                while !stop.load(Ordering::Relaxed) {
                    let Ok(stream) = TcpStream::connect(address) else {
                        thread::sleep(Duration::from_millis(50));
                        continue;
                    };
                    let began = Instant::now();
                    let end = match send_half(stream, &part) {
                        Ok(400..) => &ends.errors,
                        Ok(_) => &ends.neither,
                        Err(_) if began.elapsed() <= OWED_WITHIN => &ends.closes,
                        Err(_) => &ends.neither,
                    };
                    end.fetch_add(1, Ordering::Relaxed);
                }
            })
        })
        .collect()
}

/// Sends a head and a part of its body at full speed, stays, and returns the status that comes.
fn send_half(stream: TcpStream, part: &str) -> io::Result<u16> {
    stream.set_read_timeout(Some(OWED_WITHIN))?;
    let head = format!(
        "POST /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {}\r\nX-Priority-Class: bin-check\r\n\
         X-Tenant-Id: indus-traders\r\nX-Timeout: 5000m\r\nTransfer-Encoding: chunked\r\n\r\n",
        new_id()
    );
    let mut reader = BufReader::with_capacity(512, stream);
    reader.get_mut().write_all(head.as_bytes())?;
    reader.get_mut().write_all(part.as_bytes())?;
    Ok(read_message(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?.status())
}

/// The usual clients hand in small jobs at a steady rate.
fn hand_in_jobs(dispatcher: SocketAddr, record: &Arc<Record>, stop: &AtomicBool) -> Vec<End> {
    let mut clients = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let job = Job {
            class: "bin-check",
            tenant: "mehran-dist",
            key: format!("bin-{}", clients.len()),
            run_ms: 70,
            timeout: Duration::from_secs(5),
            retried: false,
        };
        let record = record.clone();
        clients.push(thread::spawn(move || client::submit(dispatcher, &job, &record)));
        thread::sleep(PAUSE);
    }
    clients.into_iter().map(|client| client.join().expect("a client")).collect()
}
