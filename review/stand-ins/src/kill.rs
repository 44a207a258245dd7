//! A dispatcher that keeps its keys in a snapshot is killed and comes back. Clients repeat, under the same
//! keys, the jobs that it held. No job may have its effect twice.

use crate::client::{self, End, Job};
use crate::dispatcher::is_up;
use crate::installation::{Installation, Setup};
use crate::record::Record;
use crate::settings::HALLS;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const OPERATOR: &str = "[keys]\n[keys.snapshot]\nfile = \"@FOLDER@/keys.snapshot\"\nevery_s = 1.0\n";
/// The floors release a wave of so many jobs at the same time at each dispatcher, the first one so long after
/// the start, and the last one before the end.
const WAVE_JOBS: usize = 5;
const FIRST_WAVE: Duration = Duration::from_millis(700);
const WAVE_INTERVAL: Duration = Duration::from_millis(1_500);
const END: Duration = Duration::from_secs(6);
/// When one of the three dispatchers (the one started last) is killed, and for how long it is down.
const KILL: Duration = Duration::from_millis(1_350);
const DOWN: Duration = Duration::from_millis(1_500);
/// The class's give-up time, over all tries of a client.
const GIVE_UP: Duration = Duration::from_secs(6);

/// Returns whether the rule held.
pub fn run(setup: &Setup) -> io::Result<bool> {
    // Hall a has more traffic than its own node can carry, so that some of its jobs are handed back unstarted
    // and go on to another hall.
    let mut installation = Installation::start(setup, [1, 2, 2], &[HALLS[0]; 3], OPERATOR)?;
    let began = Instant::now();
    let streams: Vec<_> = installation
        .dispatchers
        .iter()
        .map(|dispatcher| {
            let (address, name) = (dispatcher.configuration.listen, dispatcher.configuration.name.clone());
            let record = setup.record.clone();
            thread::spawn(move || stream(address, &name, began, &record))
        })
        .collect();
    if setup.trouble {
        let Some(killed) = installation.dispatchers.last_mut() else { return Ok(true) };
        thread::sleep(KILL.saturating_sub(began.elapsed()));
        killed.kill()?;
        thread::sleep(DOWN);
        killed.start()?;
    }
    let ends: Vec<_> = streams.into_iter().flat_map(|stream| stream.join().expect("clients")).collect();
    let effects = &installation.effects;
    // Jobs that run on without a client still have their effect.
    thread::sleep(Duration::from_millis(1_500));
    let served = ends.iter().filter(|end| end.is_served()).count();
    let repeated = effects.repeated();
    for (key, places) in &repeated {
        setup.record.say(format!("{key} had its effect {} times: {}", places.len(), places.join("; ")));
    }
    setup.record.say(format!(
        "jobs {}, served {served}, with an effect {}, with more than one {}",
        ends.len(),
        effects.count(),
        repeated.len()
    ));
    Ok(repeated.is_empty())
}

/// Hands in waves of jobs to a dispatcher, and returns how they ended.
fn stream(dispatcher: SocketAddr, name: &str, began: Instant, record: &Arc<Record>) -> Vec<End> {
    let mut clients = Vec::new();
    let mut wave = FIRST_WAVE;
    while wave < END {
        thread::sleep(wave.saturating_sub(began.elapsed()));
        for _ in 0..WAVE_JOBS {
            let job = clients.len();
            clients.push(spawn(dispatcher, format!("wave-{name}-{job}"), 560 + job as u64 % 7 * 10, record));
        }
        wave += WAVE_INTERVAL;
    }
    clients.into_iter().map(|client| client.join().expect("a client")).collect()
}

/// A client hands in a job, and repeats it once if its dispatcher dies or is down.
fn spawn(dispatcher: SocketAddr, key: String, run_ms: u64, record: &Arc<Record>) -> JoinHandle<End> {
    let record = record.clone();
    let began = Instant::now();
    let job =
        Job { class: "wave-release", tenant: "mehran-dist", key, run_ms, timeout: GIVE_UP, retried: false };
    thread::spawn(move || {
        let end = client::submit(dispatcher, &job, &record);
        if !matches!(end, End::Cut(_)) {
            return end;
        }
        // The front admits the dispatcher again once it answers that it is up.
        while !is_up(dispatcher) {
            if began.elapsed() > job.timeout {
                return end;
            }
            thread::sleep(Duration::from_millis(50));
        }
        let Some(left) = job.timeout.checked_sub(began.elapsed()) else { return end };
        client::submit(dispatcher, &Job { timeout: left, retried: true, ..job }, &record)
    })
}
