//! What operators wait for, under load: the door's answers, against the second that each is due within, and
//! the jobs that end at the door while the process is replaced, against the two that are free for each
//! replacement. Prints each figure as a ratio to its limit and exits 1 where one is above 1.
//!
//! Clients in a closed loop keep the serving thread busy from its start to its end. Beside them callers that
//! say half a call stay on the door, and one process after another takes over the clients' socket.

use hdrhistogram::Histogram;
use sablerun_stand_ins::http::read_message;
use sablerun_stand_ins::scripted::{Discovery, Program, Runner, api_request, host, new_id, settings};
use serde_json::{Value, json};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: usize = 64;
const HALF_CALLERS: usize = 6;
const REPLACEMENTS: u64 = 10;
const BETWEEN: Duration = Duration::from_millis(1500);
const DUE: Duration = Duration::from_secs(1);
/// Jobs that may end at the door for each replacement.
const FREE: u64 = 2;

/// How the clients' jobs ended.
#[derive(Default)]
struct Ends {
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    /// Not let in, closed on or left unread, on a new connection.
    at_the_door: AtomicU64,
    /// Written to a connection that closed meanwhile, and sent once more.
    again: AtomicU64,
}

/// What all threads share.
struct Shared {
    stop: AtomicBool,
    ends: Ends,
    /// The door of the process that serves.
    door: Mutex<SocketAddr>,
    /// Microseconds to a whole answer, and answers that did not begin with OK.
    answers: Mutex<Histogram<u64>>,
    wrong: AtomicU64,
}

/// A process on the clients' socket, with a door, in place of another.
fn start(config: &Value, socket: &TcpListener, replaces: Option<&Program>) -> Program {
    let mut command = Program::command_on_socket(config, socket, replaces);
    // The usual log: a line for each attempt would be the load.
    command.env("RUST_LOG", "info,sablerun::net::discovery=debug");
    Program::spawn(command, false)
}

fn client(shared: &Shared, at: SocketAddr) {
    let mut kept: Option<BufReader<TcpStream>> = None;
    while !shared.stop.load(Relaxed) {
        let request = api_request("short-pick", &new_id(), "5000m", "");
        let request = format!("{request}\r\nHost: t\r\nContent-Length: 3\r\n\r\njob");
        let status = loop {
            let used = kept.is_some();
            let stream = kept.take().map_or_else(|| TcpStream::connect(at).map(BufReader::new), Ok);
            let answer = stream.ok().and_then(|mut stream| {
                stream.get_mut().write_all(request.as_bytes()).ok()?;
                let message = read_message(&mut stream)?;
                if !message.header("connection").eq_ignore_ascii_case("close") {
                    kept = Some(stream);
                }
                Some(message.status())
            });
            if answer.is_none() && used {
                shared.ends.again.fetch_add(1, Relaxed);
                continue;
            }
            break answer;
        };
        let ends = &shared.ends;
        let end = match status {
            Some(200) => &ends.served,
            Some(429 | 503) => &ends.refused,
            Some(_) => &ends.failed,
            None => &ends.at_the_door,
        };
        end.fetch_add(1, Relaxed);
    }
}

fn caller(shared: &Shared, call: &str) {
    while !shared.stop.load(Relaxed) {
        let (at, began) = (*shared.door.lock().expect("no holder panics"), Instant::now());
        let mut answer = String::new();
        let asked = TcpStream::connect(at).and_then(|mut stream| {
            stream.set_read_timeout(Some(DUE * 5))?;
            stream.write_all(call.as_bytes())?;
            stream.read_to_string(&mut answer)
        });
        let took = began.elapsed().as_micros() as u64;
        shared.answers.lock().expect("no holder panics").saturating_record(took);
        if asked.is_err() || !answer.starts_with("OK") {
            shared.wrong.fetch_add(1, Relaxed);
            eprintln!("{}: {asked:?} {answer:?}", call.trim());
        }
        thread::sleep(Duration::from_millis(10));
    }
}

/// Says half a call and stays for 4 s.
fn half_caller(shared: &Shared) {
    while !shared.stop.load(Relaxed) {
        let at = *shared.door.lock().expect("no holder panics");
        if let Ok(mut stream) = TcpStream::connect(at) {
            let _ = stream.write_all(b"STA");
            let end = Instant::now() + DUE * 4;
            while Instant::now() < end && !shared.stop.load(Relaxed) {
                thread::sleep(Duration::from_millis(50));
            }
        }
    }
}

fn main() {
    let runners: Vec<_> = (0..4).map(|n| Runner::start(&format!("s-{n}"))).collect();
    let hosts =
        runners.iter().enumerate().map(|(n, r)| host(&format!("s-{n}"), r.address, "hall-a", "active"));
    let discovery = Discovery::start(hosts.collect());
    let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = socket.local_addr().expect("bound above");
    let mut config = Program::config(discovery.address, settings());
    (config["listen"], config["admin_addr"]) = (at.to_string().into(), "127.0.0.1:0".into());
    let mut serving = start(&config, &socket, None);
    runners.iter().for_each(|runner| runner.call_back_to(&serving));
    let shared = Arc::new(Shared {
        stop: AtomicBool::new(false),
        ends: Ends::default(),
        door: Mutex::new(serving.admin_address()),
        answers: Mutex::new(Histogram::new_with_max(60_000_000, 3).expect("sound bounds")),
        wrong: AtomicU64::new(0),
    });
    let mut threads = Vec::new();
    let mut run = |work: Box<dyn Fn(&Shared) + Send>| {
        let shared = shared.clone();
        threads.push(thread::spawn(move || work(&shared)));
    };
    (0..CLIENTS).for_each(|_| run(Box::new(move |shared| client(shared, at))));
    (0..HALF_CALLERS).for_each(|_| run(Box::new(half_caller)));
    for call in ["READY\n", "STATS\n", "DISABLE s-3\n", "ENABLE s-3\n"] {
        run(Box::new(move |shared| caller(shared, call)));
    }
    let began = Instant::now();
    for _ in 0..REPLACEMENTS {
        thread::sleep(BETWEEN);
        let next = start(&config, &socket, Some(&serving));
        *shared.door.lock().expect("no holder panics") = next.admin_address();
        // Calls under way at the old door are answered before it goes.
        thread::sleep(Duration::from_millis(25));
        serving.signal("TERM");
        assert!(serving.child.wait().expect("a child").success(), "the old process ends in good order");
        serving = next;
    }
    thread::sleep(BETWEEN);
    let seconds = began.elapsed().as_secs_f64();
    shared.stop.store(true, Relaxed);
    threads.into_iter().for_each(|thread| thread.join().expect("no thread panics"));

    let answers = shared.answers.lock().expect("no holder panics");
    let of = |quantile: f64| answers.value_at_quantile(quantile) as f64 / 1e3;
    let count = |counter: &AtomicU64| counter.load(Relaxed);
    let (ends, wrong) = (&shared.ends, count(&shared.wrong));
    let lost = count(&ends.at_the_door) as f64 / REPLACEMENTS as f64;
    let slowest = answers.max() as f64 / 1e6 / DUE.as_secs_f64();
    println!(
        "{}",
        json!({
            "seconds": seconds, "clients": CLIENTS, "half_callers": HALF_CALLERS, "replacements": REPLACEMENTS,
            "served": count(&ends.served), "refused": count(&ends.refused), "failed": count(&ends.failed),
            "sent_again": count(&ends.again), "at_the_door": count(&ends.at_the_door),
            "door_calls": answers.len(), "door_wrong": wrong,
            "door_ms": {"p50": of(0.5), "p99": of(0.99), "p999": of(0.999), "max": of(1.0)},
        })
    );
    println!("door, slowest answer: {slowest:.4} of the second it is due within");
    println!(
        "jobs ended at the door a replacement: {lost:.2}, {:.2} of the {FREE} that are free",
        lost / FREE as f64
    );
    if slowest > 1.0 || wrong > 0 || lost > FREE as f64 {
        println!("BROKEN: a figure is above its limit");
        std::process::exit(1);
    }
}
