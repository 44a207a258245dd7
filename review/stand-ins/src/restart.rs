//! Dispatchers are restarted as planned, one after another, with SIGTERM, while clients push jobs over the
//! Faktory front. Each job that a dispatcher took and sent to a pick node has to get its answer.

use crate::client::new_id;
use crate::dispatcher::{Dispatcher, free_address};
use crate::faktory::Connection;
use crate::installation::{Installation, Setup};
use crate::record::Record;
use crate::settings::HALLS;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The Faktory clients of a dispatcher, and the pause of each between two jobs.
const CLIENTS: u64 = 10;
const PAUSE_MS: u64 = 250;
/// The running time of a job, of the class `bin-check`.
const RUN_MS: u64 = 70;
/// When the first dispatcher is told to end, and the pause after each restart.
const FIRST: Duration = Duration::from_secs(2);
const BETWEEN: Duration = Duration::from_secs(1);
/// SIGKILL comes no sooner than the longest deadline (counted as 3 s) plus 0.7 s after SIGTERM.
const KILL_AFTER: Duration = Duration::from_millis(3_700);

/// A job whose connection ended without a reply.
struct Cut {
    id: String,
    error: String,
}

/// Returns whether the rule held.
pub fn run(setup: &Setup) -> io::Result<bool> {
    let fronts: Vec<_> = (0..HALLS.len()).map(|n| free_address(20 + n as u16)).collect::<Result<_, _>>()?;
    let operators = fronts.iter().map(|front| {
        format!(
            "[faktory]\nlisten = \"{front}\"\nplaintext = true\nzone = \"hall-a\"\nkind = \"k4-full\"\n\
             [[faktory.route]]\nclass = \"bin-check\"\n"
        )
    });
    let mut installation = Installation::start_each(setup, [2, 2, 2], &HALLS, operators)?;
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = fronts
        .iter()
        .flat_map(|front| (0..CLIENTS).map(move |number| (*front, number)))
        .map(|(front, number)| {
            let (record, stop) = (setup.record.clone(), stop.clone());
            thread::spawn(move || push_jobs(front, number, &record, &stop))
        })
        .collect();
    thread::sleep(FIRST);
    for dispatcher in &mut installation.dispatchers {
        if setup.trouble {
            restart(dispatcher)?;
        }
        thread::sleep(BETWEEN);
    }
    stop.store(true, Ordering::Relaxed);
    let (mut answered, mut cut) = (0, Vec::new());
    for client in clients {
        let (client_answered, client_cut) = client.join().expect("a client");
        answered += client_answered;
        cut.extend(client_cut);
    }
    let (lost, unread): (Vec<_>, Vec<_>) =
        cut.iter().partition(|cut| installation.effects.was_taken(&cut.id));
    for Cut { id, error } in &lost {
        setup.record.say(format!("{id} was sent to a pick node, and its client got no answer: {error}"));
    }
    setup.record.say(format!(
        "jobs answered {answered}, taken and sent to a pick node but not answered {}, closed on unsent {}",
        lost.len(),
        unread.len()
    ));
    Ok(lost.is_empty())
}

/// Ends a dispatcher as the platform does at a planned restart, and starts it again.
fn restart(dispatcher: &mut Dispatcher) -> io::Result<()> {
    dispatcher.signal("TERM")?;
    let told = Instant::now();
    while dispatcher.ended()?.is_none() {
        if told.elapsed() >= KILL_AFTER {
            dispatcher.kill()?;
            break;
        }
        thread::sleep(Duration::from_millis(5));
    }
    dispatcher.start()
}

/// A client pushes jobs till the end, over a new connection where the last one was closed. Returns the number
/// of jobs that got a reply, and those whose connection ended without one.
fn push_jobs(front: SocketAddr, number: u64, record: &Record, stop: &AtomicBool) -> (usize, Vec<Cut>) {
    let (mut answered, mut cut) = (0, Vec::new());
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut connection) = Connection::open(front) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        while !stop.load(Ordering::Relaxed) {
            let id = new_id();
            record.line(format!("client pushes {id} to {front}"));
            let job = format!(
                "PUSH {{\"jid\":\"{id}\",\"jobtype\":\"BinCheck\",\"queue\":\"bins\",\"args\":[{RUN_MS}],\
                 \"custom\":{{\"member\":\"mehran-dist\",\"cost_us\":{}}}}}",
                RUN_MS * 1000
            );
            let reply = connection.command(&job);
            record.line(format!("client's {id}: {reply:?}"));
            match reply {
                Ok(_) => answered += 1,
                Err(error) => {
                    cut.push(Cut { id, error: error.to_string() });
                    break;
                }
            }
            thread::sleep(Duration::from_millis(PAUSE_MS + number * 17 % 100));
        }
    }
    (answered, cut)
}
