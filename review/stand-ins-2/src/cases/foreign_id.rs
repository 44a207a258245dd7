//! A bad client pushes jobs under the ids of another member's open jobs.

use super::{Case, Played, Verdict, WAVE_RELEASE_MS, faktory_section, text, with_runners};
use crate::dispatcher::{Settings, free_address};
use crate::faktory::{Connection, Push};
use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::Duration;

const JOBS: usize = 6;

/// Plays the case.
pub fn play(case: &Case) -> Played {
    let (mut dispatcher, _) = with_runners(case).map_err(text)?;
    dispatcher.configure(&Settings::default()).map_err(text)?;
    let faktory = free_address();
    let keys = "[keys]\nentries = 50000\nmemory_mb = 16\n";
    dispatcher.start(Some(&format!("{keys}{}", faktory_section(faktory)))).map_err(text)?;
    let mut usual = Vec::new();
    let mut bad = Vec::new();
    for number in 0..JOBS {
        usual.push(push(case, faktory, "usual client", "mehran", format!("order-{number:04}")));
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(Duration::from_millis(200));
    for number in 0..JOBS {
        let jid = if case.trouble { format!("order-{number:04}") } else { format!("other-{number:04}") };
        bad.push(push(case, faktory, "other client", "ravi", jid));
        thread::sleep(Duration::from_millis(20));
    }
    let replies = |clients: Vec<JoinHandle<String>>| {
        let replies: Option<Vec<_>> = clients.into_iter().map(|client| client.join().ok()).collect();
        replies.ok_or("a client failed")
    };
    let (usual, bad) = (replies(usual)?, replies(bad)?);
    let unserved = usual.iter().filter(|reply| *reply != "+OK").count();
    let served = bad.iter().filter(|reply| *reply == "+OK").count();
    case.record
        .line(format!("of {JOBS} usual jobs {unserved} were not served; of {JOBS} others {served} were"));
    Ok(match case.trouble {
        true if served > 0 => Verdict::Broken(format!(
            "{served} of {JOBS} jobs under the id of another member's open job were served as though they had \
             run, in place of an error; {unserved} of the {JOBS} usual jobs lost their answer"
        )),
        false if served < JOBS => return Err("the other client's jobs were not served".to_owned()),
        _ if unserved > 0 => Verdict::Broken(format!("{unserved} of {JOBS} usual jobs were not served")),
        _ => Verdict::Held,
    })
}

/// Pushes a job on a connection of its own; joining gives the reply.
fn push(
    case: &Case,
    faktory: SocketAddr,
    who: &'static str,
    member: &'static str,
    jid: String,
) -> JoinHandle<String> {
    let record = case.record.clone();
    thread::spawn(move || {
        let push = Push {
            jid: &jid,
            queue: "waves",
            member,
            key: None,
            retry: false,
            work_ms: WAVE_RELEASE_MS,
            timeout_ms: 6000,
        };
        record.line(format!("{who} of {member} pushes {jid}"));
        let reply = Connection::open(faktory, None).and_then(|mut client| client.command(&push.command()));
        let reply = reply.unwrap_or_else(|e| format!("no answer: {e}"));
        record.line(format!("{who} of {member}, {jid}: {reply}"));
        reply
    })
}
