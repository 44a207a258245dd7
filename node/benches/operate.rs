//! Measures two operations under load: the time to an answer on the admin socket, with a limit of one second,
//! and the jobs lost on new connections while the process is replaced, with a limit of two for each
//! replacement. Prints each result as a ratio to its limit, and exits with 1 if one is above 1.
//!
//! Clients in a closed loop keep the serving thread busy throughout. Meanwhile callers that send half a
//! command occupy the admin socket, and one process after another takes over the clients' socket.

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
const PARTIAL_CALLERS: usize = 6;
const REPLACEMENTS: u64 = 10;
const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(1500);
const ANSWER_LIMIT: Duration = Duration::from_secs(1);
/// Jobs that may be lost on new connections for each replacement.
const MAX_LOST_JOBS: u64 = 2;

/// How the clients' jobs ended.
#[derive(Default)]
struct JobCounts {
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    /// Refused, closed or left unanswered on a new connection.
    lost_on_connect: AtomicU64,
    /// Sent on an idle connection that had been closed, and sent again.
    resent: AtomicU64,
}

/// The state that all threads share.
struct Shared {
    stop: AtomicBool,
    jobs: JobCounts,
    /// The admin socket of the current process.
    admin_address: Mutex<SocketAddr>,
    /// Microseconds to a complete answer.
    answer_micros: Mutex<Histogram<u64>>,
    /// Answers that did not begin with OK.
    wrong_answers: AtomicU64,
}

/// Starts a process on the clients' socket, with an admin socket, in place of another one.
fn start(config: &Value, socket: &TcpListener, replaces: Option<&Program>) -> Program {
    let mut command = Program::command_on_socket(config, socket, replaces);
    // The usual log level: a line for each attempt would dominate the load.
    command.env("RUST_LOG", "info,sablerun_node::net::discovery=debug");
    Program::spawn(command, false)
}

/// Sends one job after another until the run stops.
fn client(shared: &Shared, address: SocketAddr) {
    let mut idle_connection: Option<BufReader<TcpStream>> = None;
    while !shared.stop.load(Relaxed) {
        let request = api_request("short-pick", &new_id(), "5000m", "");
        let request = format!("{request}\r\nHost: t\r\nContent-Length: 3\r\n\r\njob");
        let status = loop {
            let reused = idle_connection.is_some();
            let stream =
                idle_connection.take().map_or_else(|| TcpStream::connect(address).map(BufReader::new), Ok);
            let answer = stream.ok().and_then(|mut stream| {
                stream.get_mut().write_all(request.as_bytes()).ok()?;
                let message = read_message(&mut stream)?;
                if !message.header("connection").eq_ignore_ascii_case("close") {
                    idle_connection = Some(stream);
                }
                Some(message.status())
            });
            if answer.is_none() && reused {
                shared.jobs.resent.fetch_add(1, Relaxed);
                continue;
            }
            break answer;
        };
        let jobs = &shared.jobs;
        let counter = match status {
            Some(200) => &jobs.served,
            Some(429 | 503) => &jobs.refused,
            Some(_) => &jobs.failed,
            None => &jobs.lost_on_connect,
        };
        counter.fetch_add(1, Relaxed);
    }
}

/// Sends one admin command repeatedly and measures the time to each answer.
fn admin_caller(shared: &Shared, command_line: &str) {
    while !shared.stop.load(Relaxed) {
        let (address, started_at) = (*shared.admin_address.lock().expect("no holder panics"), Instant::now());
        let mut answer = String::new();
        let result = TcpStream::connect(address).and_then(|mut stream| {
            stream.set_read_timeout(Some(ANSWER_LIMIT * 5))?;
            stream.write_all(command_line.as_bytes())?;
            stream.read_to_string(&mut answer)
        });
        let took_micros = started_at.elapsed().as_micros() as u64;
        shared.answer_micros.lock().expect("no holder panics").saturating_record(took_micros);
        if result.is_err() || !answer.starts_with("OK") {
            shared.wrong_answers.fetch_add(1, Relaxed);
            eprintln!("{}: {result:?} {answer:?}", command_line.trim());
        }
        thread::sleep(Duration::from_millis(10));
    }
}

/// Repeatedly sends half a command and keeps the connection open for 4 s.
fn partial_caller(shared: &Shared) {
    while !shared.stop.load(Relaxed) {
        let address = *shared.admin_address.lock().expect("no holder panics");
        if let Ok(mut stream) = TcpStream::connect(address) {
            let _ = stream.write_all(b"STA");
            let end = Instant::now() + ANSWER_LIMIT * 4;
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
    let address = socket.local_addr().expect("bound above");
    let mut config = Program::config(discovery.address, settings());
    (config["listen"], config["admin_addr"]) = (address.to_string().into(), "127.0.0.1:0".into());
    let mut current = start(&config, &socket, None);
    runners.iter().for_each(|runner| runner.call_back_to(&current));
    let shared = Arc::new(Shared {
        stop: AtomicBool::new(false),
        jobs: JobCounts::default(),
        admin_address: Mutex::new(current.admin_address()),
        answer_micros: Mutex::new(Histogram::new_with_max(60_000_000, 3).expect("valid bounds")),
        wrong_answers: AtomicU64::new(0),
    });
    let mut threads = Vec::new();
    let mut run = |work: Box<dyn Fn(&Shared) + Send>| {
        let shared = shared.clone();
        threads.push(thread::spawn(move || work(&shared)));
    };
    (0..CLIENTS).for_each(|_| run(Box::new(move |shared| client(shared, address))));
    (0..PARTIAL_CALLERS).for_each(|_| run(Box::new(partial_caller)));
    for command_line in ["READY\n", "STATS\n", "DISABLE s-3\n", "ENABLE s-3\n"] {
        run(Box::new(move |shared| admin_caller(shared, command_line)));
    }
    let started_at = Instant::now();
    for _ in 0..REPLACEMENTS {
        thread::sleep(REPLACEMENT_INTERVAL);
        let next = start(&config, &socket, Some(&current));
        *shared.admin_address.lock().expect("no holder panics") = next.admin_address();
        // Pending commands on the old admin socket are answered before it closes.
        thread::sleep(Duration::from_millis(25));
        current.signal("TERM");
        assert!(current.child.wait().expect("a child").success(), "the old process exits successfully");
        current = next;
    }
    thread::sleep(REPLACEMENT_INTERVAL);
    let seconds = started_at.elapsed().as_secs_f64();
    shared.stop.store(true, Relaxed);
    threads.into_iter().for_each(|thread| thread.join().expect("no thread panics"));

    let answer_micros = shared.answer_micros.lock().expect("no holder panics");
    let ms_at = |quantile: f64| answer_micros.value_at_quantile(quantile) as f64 / 1e3;
    let count = |counter: &AtomicU64| counter.load(Relaxed);
    let (jobs, wrong_answers) = (&shared.jobs, count(&shared.wrong_answers));
    let mean_lost = count(&jobs.lost_on_connect) as f64 / REPLACEMENTS as f64;
    let slowest_of_limit = answer_micros.max() as f64 / 1e6 / ANSWER_LIMIT.as_secs_f64();
    println!(
        "{}",
        json!({
            "seconds": seconds, "clients": CLIENTS, "half_callers": PARTIAL_CALLERS,
            "replacements": REPLACEMENTS,
            "served": count(&jobs.served), "refused": count(&jobs.refused), "failed": count(&jobs.failed),
            "sent_again": count(&jobs.resent), "at_the_door": count(&jobs.lost_on_connect),
            "door_calls": answer_micros.len(), "door_wrong": wrong_answers,
            "door_ms": {"p50": ms_at(0.5), "p99": ms_at(0.99), "p999": ms_at(0.999), "max": ms_at(1.0)},
        })
    );
    println!("door, slowest answer: {slowest_of_limit:.4} of the second it is due within");
    println!(
        "jobs ended at the door a replacement: {mean_lost:.2}, {:.2} of the {MAX_LOST_JOBS} that are free",
        mean_lost / MAX_LOST_JOBS as f64
    );
    if slowest_of_limit > 1.0 || wrong_answers > 0 || mean_lost > MAX_LOST_JOBS as f64 {
        println!("BROKEN: a figure is above its limit");
        std::process::exit(1);
    }
}
