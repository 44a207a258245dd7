//! Connections from dispatchers to a hollow runner: requests, give-ups, probes, and what is answered to them. It
//! owns the reading and the answers, and the silence of a cut link; it must never decide when a request runs.

use super::metrics::{Counter, Gauge};
use super::runner::{Life, Runner};
use crate::http::{Connection, Message};
use crate::region_link::Partition;
use serde::Deserialize;
use std::io;
use std::sync::Arc;
use tokio::net::TcpStream;

/// What a request's body says.
#[derive(Deserialize)]
struct Work {
    work_us: u64,
}

/// An answer to be.
struct Answer {
    bytes: Vec<u8>,
    /// What its bytes count as.
    kind: Counter,
    /// The request that it takes, by its number here: it is given up if the connection ends before.
    job: Option<u64>,
}

impl Answer {
    fn new(kind: Counter, status: &str, body: &str) -> Answer {
        let bytes = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        Answer { bytes: bytes.into_bytes(), kind, job: None }
    }
}

/// Serves a connection to its end or the runner's.
pub async fn serve(runner: Arc<Runner>, view: usize, stream: TcpStream, mut life: Life) {
    let side = runner.shared.views[view].source;
    let tally = &runner.shared.tally;
    tally.add(side, Counter::Accepted, 1);
    tally.increment(side, Gauge::Connections);
    let mut connection = Connection::new(stream);
    let reset = tokio::select! {
        biased;
        _ = life.changed() => true,
        reset = converse(&runner, view, &mut connection) => matches!(reset, Ok(true)),
    };
    tally.decrement(side, Gauge::Connections);
    if reset {
        connection.reset();
    }
}

/// Whether it is to end by a reset.
async fn converse(runner: &Arc<Runner>, view: usize, connection: &mut Connection) -> io::Result<bool> {
    let shared = &runner.shared;
    let (region, side) = (shared.views[view].region, shared.views[view].source);
    let (link, tally) = (&shared.link, &shared.tally);
    let cut = || link.partition(region, runner.region);
    let whole = || link.wait_restored(region, runner.region);
    if cut() == Some(Partition::BothDirections) {
        // It never came up; once the machine is back it is reset.
        whole().await;
        return Ok(true);
    }
    loop {
        let Ok(read) = tokio::time::timeout(shared.manner.idle_timeout, connection.read()).await else {
            whole().await;
            tally.add(side, Counter::IdleClosed, 1);
            return Ok(false);
        };
        let Some(message) = read? else { return Ok(false) };
        if cut() == Some(Partition::BothDirections) {
            whole().await;
            // What was given up meanwhile has not begun.
            if connection.is_closed() {
                return Ok(false);
            }
        }
        let answer = answer(runner, view, &message);
        if cut().is_some() {
            tokio::select! {
                () = whole() => {}
                () = connection.closed() => {
                    if let Some(job) = answer.job {
                        runner.give_up(side, message.header("x-request-id"), Some(job));
                    }
                    return Ok(false);
                }
            }
        }
        tally.add(side, answer.kind, answer.bytes.len());
        connection.write_raw(&answer.bytes).await?;
        if message.header("connection").eq_ignore_ascii_case("close") {
            return Ok(false);
        }
    }
}

fn answer(runner: &Arc<Runner>, view: usize, message: &Message) -> Answer {
    let (shared, side) = (&runner.shared, runner.shared.views[view].source);
    let tally = &shared.tally;
    let path = message.target.split('?').next().unwrap_or("");
    let (manner, probing) = (&shared.manner, shared.manner.answers_probes);
    let probe = |body: &str| {
        tally.add(side, Counter::Probes, 1);
        tally.add(side, Counter::BytesInProbes, message.wire_bytes);
        Answer::new(Counter::BytesOutProbes, if probing { "200 OK" } else { "404 Not Found" }, body)
    };
    match (message.method.as_str(), path) {
        ("DELETE", path) if path.starts_with("/jobs/") => {
            tally.add(side, Counter::GiveUps, 1);
            tally.add(side, Counter::BytesInGiveUps, message.wire_bytes);
            runner.give_up(side, &path["/jobs/".len()..], None);
            Answer::new(Counter::BytesOutGiveUps, "200 OK", "")
        }
        ("GET", "/alive") => probe(""),
        ("GET", "/metrics/load") => match probing && manner.reports.1 {
            true => {
                let report = manner.report(&runner.load()).to_string();
                tally.add(side, Counter::BytesOutReports, report.len());
                probe(&report)
            }
            false => probe(""),
        },
        ("POST", _) => request(runner, view, message),
        _ => {
            tally.add(side, Counter::Answers404, 1);
            Answer::new(Counter::BytesOutRequests, "404 Not Found", "")
        }
    }
}

/// Takes a request, if it is one: of a form that a client has sent, and from the dispatcher that its id names.
fn request(runner: &Arc<Runner>, view: usize, message: &Message) -> Answer {
    let (shared, side) = (&runner.shared, runner.shared.views[view].source);
    let tally = &shared.tally;
    tally.add(side, Counter::Requests, 1);
    tally.add(side, Counter::BytesInRequests, message.wire_bytes);
    let id = message.header("x-request-id");
    if id.is_empty() || !message.target.starts_with("/api") {
        tally.add(side, Counter::Answers404, 1);
        return Answer::new(Counter::BytesOutRequests, "404 Not Found", "");
    }
    let own = shared.dispatcher(id).is_some_and(|number| shared.dispatchers[number].view == view);
    let work = serde_json::from_str::<Work>(&message.body);
    let Some(work) = work.ok().filter(|_| own) else {
        tally.add(side, Counter::Answers400, 1);
        return Answer::new(Counter::BytesOutRequests, "400 Bad Request", "");
    };
    if runner.holds(id) {
        // Perhaps sent again by a library: it runs, as on the platform, and is seen.
        tally.add(side, Counter::Copies, 1);
    }
    let job = runner.take(side, id, work.work_us);
    tally.add(side, Counter::Answers202, 1);
    Answer { job: Some(job), ..Answer::new(Counter::BytesOutRequests, "202 Accepted", "") }
}
