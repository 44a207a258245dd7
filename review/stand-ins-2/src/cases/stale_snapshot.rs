//! A dispatcher is killed after keyed jobs went on to another hall than the one that its last snapshot names.

use super::{Case, Played, judge_effects, text, with_held_runners};
use crate::clients::Job;
use crate::dispatcher::Settings;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime};

const KEYS: usize = 8;
const WORK_MS: u64 = 1400;

/// Plays the case.
pub fn play(case: &Case) -> Played {
    let runners =
        [("s-a1", "hall-a"), ("s-b1", "hall-b"), ("s-b2", "hall-b"), ("s-c1", "hall-c"), ("s-c2", "hall-c")];
    let (mut dispatcher, effects, listeners) = with_held_runners(case, &runners, 8).map_err(text)?;
    let mut listeners = listeners.into_iter();
    let (local, local_listener) = listeners.next().ok_or("no runner")?;
    for (runner, listener) in listeners {
        runner.serve(listener);
    }
    // New connections to a listener whose queue is full do not come up.
    let mut crowd = Vec::new();
    while case.trouble && crowd.len() < 400 {
        let Ok(one) = TcpStream::connect_timeout(&local.address, Duration::from_millis(60)) else { break };
        crowd.push(one);
    }
    let mut held_listener = Some(local_listener);
    if case.trouble {
        case.record.line(format!("s-a1 falls silent: new connections do not come up, {} fill its queue", crowd.len()));
    } else if let Some(listener) = held_listener.take() {
        local.serve(listener);
    }
    let snapshot = dispatcher.folder().join("keys.snapshot");
    let operator = format!(
        "[keys]\nentries = 50000\nmemory_mb = 16\n[keys.snapshot]\nfile = \"{}\"\nevery_s = 1.0\n",
        snapshot.display()
    );
    dispatcher.configure(&Settings::default()).map_err(text)?;
    dispatcher.start(&operator).map_err(text)?;
    thread::sleep(Duration::from_millis(1500));
    wait_for_snapshot(&snapshot)?;
    thread::sleep(Duration::from_millis(870));
    let first: Vec<_> = (0..KEYS).map(|number| send(case, dispatcher.listen, number, false)).collect();
    wait_for_snapshot(&snapshot)?;
    case.record.line("a snapshot of the keys has been written");
    thread::sleep(Duration::from_millis(650));
    if case.trouble {
        dispatcher.kill();
        case.record.line("the dispatcher is killed");
        drop(crowd);
        case.record.line("s-a1 is back");
        if let Some(listener) = held_listener.take() {
            local.serve(listener);
        }
        thread::sleep(Duration::from_millis(1000));
        dispatcher.configure(&Settings::default()).map_err(text)?;
        dispatcher.start(&operator).map_err(text)?;
        case.record.line("the dispatcher is up again");
    }
    let mut again = Vec::new();
    for (number, client) in first.into_iter().enumerate() {
        let answered = client.join().map_err(|_| "a client failed")?;
        if !answered {
            again.push(send(case, dispatcher.listen, number, true));
        }
    }
    for client in again {
        client.join().map_err(|_| "a client failed")?;
    }
    thread::sleep(Duration::from_millis(200));
    Ok(judge_effects(case, &effects))
}

/// Waits until the file is replaced.
fn wait_for_snapshot(file: &Path) -> Result<(), String> {
    let written = || file.metadata().and_then(|data| data.modified()).unwrap_or(SystemTime::UNIX_EPOCH);
    let (before, deadline) = (written(), Instant::now() + Duration::from_secs(5));
    while written() == before {
        if Instant::now() > deadline {
            return Err("no snapshot within 5 s".to_owned());
        }
        thread::sleep(Duration::from_millis(2));
    }
    Ok(())
}

/// Sends a job; joining tells whether it was answered.
fn send(case: &Case, listen: SocketAddr, number: usize, retried: bool) -> JoinHandle<bool> {
    let job = Job {
        id: format!("{:016x}", 0x51ab_03aa_5c7e_0000_u64 + number as u64 * 2 + u64::from(retried)),
        class: "wave-release".to_owned(),
        tenant: "mehran".to_owned(),
        key: format!("wave-{number:02}"),
        retried,
        work_ms: WORK_MS,
        timeout_ms: 6000,
    };
    let record = case.record.clone();
    thread::spawn(move || {
        let what = if retried { "marked retry" } else { "first try" };
        record.line(format!("client sends {}, the {what} under key {}", job.id, job.key));
        let answer = job.send(listen);
        record.line(format!("client's {what} {} under key {}: {answer:?}", job.id, job.key));
        answer.is_ok()
    })
}
