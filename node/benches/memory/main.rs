//! Measures the memory that bad clients can make the program hold: for each form of unfinished or unread
//! input, hundreds of clients send it at full speed and stay, and come again when they are turned away, while a
//! usual client hands in jobs. Prints the peak of the resident memory as a ratio to the configured limit, how
//! the bad requests ended and how the usual jobs did; exits with 1 if a peak is above its limit.
//!
//! Arguments: words that the names of the forms to play must contain; all forms without any.

mod forms;
mod identities;
mod parsed_forms;
mod peers;

use forms::{Form, Target};
use sablerun_stand_ins::scripted::{Discovery, GATEWAY_CONFIG, Program, host, settings};
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

/// The limits played: memory in MB and descriptors. The smallest of both that the platform has, the smallest
/// memory with the most descriptors, and the largest of both.
const LIMITS: [(u64, u64); 3] = [(32, 256), (32, 1024), (192, 1024)];
/// The bad clients hold a third of the descriptors.
const DESCRIPTORS_FOR_EACH_BAD_CLIENT: u64 = 3;
const DURATION: Duration = Duration::from_secs(3);
const LOG_LEVEL: &str = "error,sablerun=info,sablerun_node::net::discovery=debug";
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

/// When a process is replaced in a play, and how long such a play lasts.
const REPLACE_AFTER: Duration = Duration::from_millis(1_500);
const REPLACEMENT_DURATION: Duration = Duration::from_secs(6);

/// How requests ended.
#[derive(Default)]
pub(crate) struct Ends {
    pub(crate) answered: AtomicU64,
    pub(crate) closed: AtomicU64,
    /// Neither within the time that bad clients are owed.
    pub(crate) neither: AtomicU64,
    pub(crate) small: UsualJobs,
    /// Jobs whose bodies need a reservation.
    pub(crate) large: UsualJobs,
}

/// How the jobs of a usual client ended.
#[derive(Default)]
pub(crate) struct UsualJobs {
    pub(crate) served: AtomicU64,
    pub(crate) not_served: AtomicU64,
    /// The slowest served job, in milliseconds.
    pub(crate) slowest_ms: AtomicU64,
}

impl std::fmt::Display for UsualJobs {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let UsualJobs { served, not_served, slowest_ms } = self;
        let (served, not_served) = (served.load(Relaxed), not_served.load(Relaxed));
        write!(f, "served {served:>3} not {not_served:>3} slowest {:>4} ms", slowest_ms.load(Relaxed))
    }
}

/// What the threads of one play share.
pub(crate) struct Play {
    pub(crate) stop: AtomicBool,
    pub(crate) ends: Ends,
}

/// Returns a figure of the process's memory in kB.
fn memory_kb(process: u32, name: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}

/// Returns the memory of processes together, in kB. A page that they share counts once.
fn memory_together_kb(processes: &[u32]) -> u64 {
    if let [process] = processes {
        return memory_kb(*process, "VmRSS");
    }
    let proportional = |process: &u32| {
        let text = std::fs::read_to_string(format!("/proc/{process}/smaps_rollup")).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("Pss:"));
        line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok()).unwrap_or(0)
    };
    processes.iter().map(proportional).sum()
}

/// Starts a second process on the same socket once it is time, and tells the first to end when it is ready.
fn replace(program: &Program, config: &Value, socket: &TcpListener) -> Program {
    let mut command = Program::command_on_socket(config, socket, Some(program));
    command.env("RUST_LOG", LOG_LEVEL);
    let new = Program::spawn_until(command, false, "list ");
    program.signal("TERM");
    new
}

fn target_address(program: &Program, target: Target) -> SocketAddr {
    match target {
        Target::Platform | Target::Replacement | Target::Result => program.address,
        Target::Faktory | Target::Tls | Target::PassingWorkers => {
            program.faktory_address.expect("the front is on")
        }
        Target::Admin => program.admin_address(),
        Target::Runner | Target::Discovery => program.address,
    }
}

/// Plays one form under one memory limit; returns whether the peak was within the limit.
fn play(form: &Form, memory_mb: u64, descriptors: u64) -> bool {
    let play = Arc::new(Play { stop: AtomicBool::new(false), ends: Ends::default() });
    let runner = peers::Runner::start(form);
    let hosts = vec![host("s-0", runner.address, "hall-a", "active")];
    let discovery = Discovery::start(hosts);
    let discovery_address = match form.target {
        Target::Discovery => peers::start_discovery(form, runner.address),
        _ => discovery.address,
    };
    let mut config = Program::config(discovery_address, settings());
    config["limits"] = json!({"cores": 1.0, "memory_mb": memory_mb, "sockets": descriptors});
    let gateway = match form.target {
        Target::Faktory | Target::PassingWorkers => Some(GATEWAY_CONFIG.to_owned()),
        Target::Tls => Some(identities::gateway_config()),
        _ => None,
    };
    if form.target == Target::Admin {
        config["admin_addr"] = json!("127.0.0.1:0");
    }
    let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let is_replaced = form.target == Target::Replacement;
    if is_replaced {
        config["admin_addr"] = json!("127.0.0.1:0");
        config["listen"] = json!(socket.local_addr().expect("bound above").to_string());
    }
    let mut command = match is_replaced {
        true => Program::command_on_socket(&config, &socket, None),
        false => Program::command(&config, gateway.as_deref()),
    };
    command.env("RUST_LOG", LOG_LEVEL);
    let program = Program::spawn_until(command, gateway.is_some(), "list ");
    runner.serve(&program);
    thread::sleep(Duration::from_millis(300));
    let process = program.child.id();
    let before_kb = memory_kb(process, "VmRSS");
    let mut threads = Vec::new();
    for large in [false, true] {
        let (play, address) = (play.clone(), program.address);
        threads.push(thread::spawn(move || peers::usual_client(&play, address, large)));
    }
    let address = target_address(&program, form.target);
    let text = Arc::new(form.text.clone());
    for _ in 0..form.clients {
        let (play, text, form) = (play.clone(), text.clone(), form.clone());
        let client = move || peers::bad_client(&play, &form, address, &text);
        threads.push(thread::Builder::new().stack_size(128 * 1024).spawn(client).expect("a thread"));
    }
    let (began, mut peak_kb) = (Instant::now(), 0);
    let mut processes = vec![process];
    let mut replacing = None;
    let duration = if is_replaced { REPLACEMENT_DURATION } else { DURATION };
    while began.elapsed() < duration {
        if is_replaced && replacing.is_none() && began.elapsed() > REPLACE_AFTER {
            let new = replace(&program, &config, &socket);
            processes.push(new.child.id());
            replacing = Some(new);
        }
        peak_kb = memory_together_kb(&processes).max(peak_kb);
        thread::sleep(SAMPLE_INTERVAL);
    }
    if !is_replaced {
        peak_kb = memory_kb(process, "VmHWM").max(peak_kb);
    }
    play.stop.store(true, Relaxed);
    threads.into_iter().for_each(|thread| thread.join().expect("no thread panics"));
    let count = |counter: &AtomicU64| counter.load(Relaxed);
    let (ends, ratio) = (&play.ends, peak_kb as f64 / 1024.0 / memory_mb as f64);
    println!(
        "{:<37} {memory_mb:>3} MB {descriptors:>4}  from {:>4.1}  peak {:>6.1}  ratio {ratio:>5.2}{}  bad: error {:>6} \
         closed {:>5} neither {:>3}  small: {}  large: {}",
        form.name,
        before_kb as f64 / 1024.0,
        peak_kb as f64 / 1024.0,
        if ratio > 1.0 { " OVER" } else { "     " },
        count(&ends.answered),
        count(&ends.closed),
        count(&ends.neither),
        ends.small,
        ends.large,
    );
    ratio <= 1.0
}

fn main() {
    let words: Vec<_> = std::env::args().skip(1).filter(|word| !word.starts_with("--")).collect();
    let mut within = true;
    for number in 0..forms::all(0).len() {
        for (memory_mb, descriptors) in LIMITS {
            let bad_clients = (descriptors / DESCRIPTORS_FOR_EACH_BAD_CLIENT) as usize;
            let form = forms::all(bad_clients).swap_remove(number);
            if words.iter().all(|word| form.name.contains(word.as_str())) {
                within &= play(&form, memory_mb, descriptors);
            }
        }
    }
    if !within {
        println!("OVER: a peak is above its limit");
        std::process::exit(1);
    }
}
