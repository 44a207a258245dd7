//! Bad clients send hundreds of requests at once, each with many short headers.

use super::memory::{Counts, MEMORY_MB, judge, report, start_clients, watch_memory};
use super::{Case, Played, text, with_runners};
use crate::dispatcher::Settings;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// The headers of no meaning in a bad request, besides the seven of the protocol.
const HEADERS: usize = 85;

/// Plays the case.
pub fn play(case: &Case) -> Played {
    let (mut dispatcher, _) = with_runners(case).map_err(text)?;
    dispatcher.configure(&Settings { memory_mb: MEMORY_MB, ..Settings::default() }).map_err(text)?;
    dispatcher.start(None).map_err(text)?;
    let counts = Arc::new(Counts::default());
    counts.processes.lock().expect("no holder panics").extend(dispatcher.process_id());
    let platform = watch_memory(case, &counts);
    thread::sleep(Duration::from_millis(500));
    start_clients(dispatcher.listen, case.trouble, HEADERS, &counts);
    for second in 1..=12 {
        thread::sleep(Duration::from_secs(1));
        report(case, &counts, &format!("after {second} s"));
        if counts.killed.load(Ordering::Relaxed) {
            break;
        }
    }
    counts.end.store(true, Ordering::Relaxed);
    platform.join().map_err(|_| "the platform failed")?;
    Ok(judge(&counts))
}
