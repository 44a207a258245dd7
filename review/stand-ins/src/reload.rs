//! New settings arrive with SIGHUP while clients repeat jobs under their keys at once. No job may have its
//! effect twice.

use crate::client::{self, End, Job};
use crate::installation::{Installation, Setup};
use crate::record::Record;
use crate::settings::HALLS;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const OPERATOR: &str = "[keys]\n";
/// The pause between two jobs of a dispatcher's clients, and when the last one is handed in.
const PAUSE: Duration = Duration::from_millis(150);
const END: Duration = Duration::from_secs(7);
/// How long after its first try a client sends its repeat.
const REPEAT_AFTER: Duration = Duration::from_millis(450);
/// When the new settings arrive, and the stricter effect of `wave-release` in them. The nodes of a hall are one
/// cell, so that nothing changes at the nodes.
const RELOAD: Duration = Duration::from_secs(4);
const STRICTER_GROUP: &str = "cell";
/// The class's give-up time.
const GIVE_UP: Duration = Duration::from_secs(6);

/// Returns whether the rule held.
pub fn run(setup: &Setup) -> io::Result<bool> {
    // Hall a has more traffic than its own node can carry.
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
    thread::sleep(RELOAD.saturating_sub(began.elapsed()));
    if setup.trouble {
        for dispatcher in &mut installation.dispatchers {
            dispatcher.configuration.wave_group = STRICTER_GROUP;
            dispatcher.write_configuration()?;
            dispatcher.signal("HUP")?;
        }
    }
    let ends: Vec<_> = streams.into_iter().flat_map(|stream| stream.join().expect("clients")).collect();
    for dispatcher in &mut installation.dispatchers {
        if let Some(status) = dispatcher.ended()? {
            return Err(io::Error::other(format!("a dispatcher has ended: {status}")));
        }
    }
    thread::sleep(Duration::from_millis(1_500));
    let served = ends.iter().filter(|end| end.is_served()).count();
    let effects = &installation.effects;
    let repeated = effects.repeated();
    for (key, places) in &repeated {
        setup.record.say(format!("{key} had its effect {} times: {}", places.len(), places.join("; ")));
    }
    setup.record.say(format!(
        "tries {}, served {served}, jobs with an effect {}, with more than one {}",
        ends.len(),
        effects.count(),
        repeated.len()
    ));
    Ok(repeated.is_empty())
}

/// Hands in jobs to a dispatcher at a steady rate, and returns how all tries ended.
fn stream(dispatcher: SocketAddr, name: &str, began: Instant, record: &Arc<Record>) -> Vec<End> {
    let mut clients: Vec<JoinHandle<End>> = Vec::new();
    let mut job = 0;
    while began.elapsed() < END {
        let first = Job {
            class: "wave-release",
            tenant: "mehran-dist",
            key: format!("wave-{name}-{job}"),
            run_ms: 560 + job % 7 * 10,
            timeout: GIVE_UP,
            retried: false,
        };
        let repeat = Job { retried: true, timeout: GIVE_UP - REPEAT_AFTER, ..first.clone() };
        for (wait, job) in [(Duration::ZERO, first), (REPEAT_AFTER, repeat)] {
            let record = record.clone();
            clients.push(thread::spawn(move || {
                thread::sleep(wait);
                client::submit(dispatcher, &job, &record)
            }));
        }
        job += 1;
        thread::sleep(PAUSE);
    }
    clients.into_iter().map(|client| client.join().expect("a client")).collect()
}
