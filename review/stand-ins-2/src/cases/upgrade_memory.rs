//! A dispatcher is replaced under load, on a listening socket that the platform holds, while bad clients send
//! hundreds of requests at once.

use super::memory::{Counts, MEMORY_MB, judge, report, start_clients, watch_memory};
use super::{Case, Played, text, with_runners_at};
use crate::dispatcher::{Dispatcher, Settings};
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// Plays the case.
pub fn play(case: &Case) -> Played {
    let held = TcpListener::bind("127.0.0.1:0").map_err(text)?;
    let listen = held.local_addr().map_err(text)?;
    let (mut old, _) = with_runners_at(case, listen).map_err(text)?;
    old.configure(&Settings { memory_mb: MEMORY_MB, ..Settings::default() }).map_err(text)?;
    old.start_on(&held).map_err(text)?;
    let counts = Arc::new(Counts::default());
    counts.processes.lock().expect("no holder panics").extend(old.process_id());
    let platform = watch_memory(case, &counts);
    thread::sleep(Duration::from_millis(500));
    start_clients(listen, true, 0, &counts);
    thread::sleep(Duration::from_secs(6));
    report(case, &counts, "before");
    let mut new = old.successor();
    if case.trouble {
        new.start_on(&held).map_err(text)?;
        counts.processes.lock().expect("no holder panics").extend(new.process_id());
        case.record.line("the new process says yes");
        old.signal("TERM");
        case.record.line("SIGTERM to the old process");
        let ended = wait_for(&mut old, &counts, Duration::from_millis(3700));
        case.record.line(format!("the old process has ended: {ended}"));
    } else {
        thread::sleep(Duration::from_secs(4));
    }
    thread::sleep(Duration::from_secs(2));
    counts.end.store(true, Ordering::Relaxed);
    report(case, &counts, "at the end");
    platform.join().map_err(|_| "the platform failed")?;
    Ok(judge(&counts))
}

fn wait_for(old: &mut Dispatcher, counts: &Counts, time: Duration) -> bool {
    let deadline = Instant::now() + time;
    while Instant::now() < deadline && !counts.killed.load(Ordering::Relaxed) {
        if old.wait(Duration::from_millis(20)) {
            return true;
        }
    }
    false
}
