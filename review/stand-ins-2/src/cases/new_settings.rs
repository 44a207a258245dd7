//! A client repeats jobs of a keyed class after new settings have changed a term of that class.

use super::{Case, Played, judge_effects, text, with_runners};
use crate::clients::Job;
use crate::dispatcher::Settings;
use std::thread;
use std::time::{Duration, Instant};

const KEYS: usize = 12;
const WORK_MS: u64 = 2200;

/// Plays the case.
pub fn play(case: &Case) -> Played {
    let runners = [("s-a1", "hall-a"), ("s-b1", "hall-b"), ("s-c1", "hall-c")];
    let (mut dispatcher, effects) = with_runners(case, &runners, 8).map_err(text)?;
    dispatcher.configure(&Settings::default()).map_err(text)?;
    dispatcher.start("[keys]\nentries = 50000\nmemory_mb = 16\n").map_err(text)?;
    let mut tries = Vec::new();
    for number in 0..KEYS {
        tries.push(send(case, &dispatcher.listen, number, false));
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(Duration::from_millis(200));
    if case.trouble {
        dispatcher.configure(&Settings { wave_objective_ms: 450, ..Settings::default() }).map_err(text)?;
        case.record.line("SIGHUP: new settings, the objective of wave-release is 450 ms in place of 400 ms");
        dispatcher.signal("HUP");
        let deadline = Instant::now() + Duration::from_millis(1200);
        while !dispatcher.admin("STATS").map_err(text)?.contains("conf_loaded=1") {
            if Instant::now() > deadline {
                return Err("the new settings are not in use after 1.2 s".to_owned());
            }
            thread::sleep(Duration::from_millis(50));
        }
        case.record.line("STATS: conf_loaded=1");
    }
    thread::sleep(Duration::from_millis(1200));
    for number in 0..KEYS {
        tries.push(send(case, &dispatcher.listen, number, true));
        thread::sleep(Duration::from_millis(20));
    }
    for one in tries {
        one.join().map_err(|_| "a client failed")?;
    }
    Ok(judge_effects(case, &effects))
}

/// Sends the first try of a job, or a marked repeat on another connection while the first waits.
fn send(case: &Case, listen: &std::net::SocketAddr, number: usize, retried: bool) -> thread::JoinHandle<()> {
    let id = format!("{:016x}", 0x9b1f_03aa_5c7e_0000_u64 + number as u64 * 2 + u64::from(retried));
    let job = Job {
        id,
        class: "wave-release".to_owned(),
        tenant: "mehran".to_owned(),
        key: format!("wave-{number:02}"),
        retried,
        work_ms: WORK_MS,
        timeout_ms: 6000,
    };
    let (record, listen) = (case.record.clone(), *listen);
    thread::spawn(move || {
        let Job { id, key, .. } = &job;
        let what = if retried { "repeat" } else { "first try" };
        record.line(format!("client sends {id}, the {what} under key {key}"));
        let answer = job.send(listen);
        record.line(format!("client's {what} {id} under key {key}: {answer:?}"));
    })
}
