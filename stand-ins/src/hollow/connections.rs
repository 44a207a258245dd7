//! Serves connections from dispatchers to a hollow runner: requests, cancellations, probes, their answers,
//! and the silence of a partitioned link. When a request runs is decided in `slots`.

use super::metrics::{Counter, Gauge};
use super::runner::{Lifetime, Runner};
use crate::http::{Connection, Message};
use crate::region_link::Partition;
use serde::Deserialize;
use std::io;
use std::sync::Arc;
use tokio::net::TcpStream;

/// The body of a request.
#[derive(Deserialize)]
struct RequestBody {
    work_us: u64,
}

/// An answer to write.
struct Response {
    bytes: Vec<u8>,
    /// The counter of its bytes.
    counter: Counter,
    /// The number of the accepted job, which is cancelled if the connection ends while a partition delays
    /// the answer.
    job: Option<u64>,
}

impl Response {
    fn new(counter: Counter, status: &str, body: &str) -> Response {
        let bytes = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        Response { bytes: bytes.into_bytes(), counter, job: None }
    }
}

/// Serves a connection until it ends or the runner crashes.
pub async fn serve(runner: Arc<Runner>, view: usize, stream: TcpStream, mut lifetime: Lifetime) {
    let source = runner.shared.views[view].source;
    let metrics = &runner.shared.metrics;
    metrics.add(source, Counter::Accepted, 1);
    metrics.increment(source, Gauge::Connections);
    let mut connection = Connection::new(stream);
    let reset = tokio::select! {
        biased;
        _ = lifetime.changed() => true,
        reset = serve_requests(&runner, view, &mut connection) => matches!(reset, Ok(true)),
    };
    metrics.decrement(source, Gauge::Connections);
    if reset {
        connection.reset();
    }
}

/// Serves the requests of a connection. Returns whether the connection is to be reset.
async fn serve_requests(runner: &Arc<Runner>, view: usize, connection: &mut Connection) -> io::Result<bool> {
    let shared = &runner.shared;
    let (region, source) = (shared.views[view].region, shared.views[view].source);
    let (link, metrics) = (&shared.link, &shared.metrics);
    let partition = || link.partition(region, runner.region);
    let wait_restored = || link.wait_restored(region, runner.region);
    if partition() == Some(Partition::BothDirections) {
        // The connection was never established; it is reset once the link is restored.
        wait_restored().await;
        return Ok(true);
    }
    loop {
        let Ok(read) = tokio::time::timeout(shared.profile.idle_timeout, connection.read()).await else {
            wait_restored().await;
            metrics.add(source, Counter::IdleClosed, 1);
            return Ok(false);
        };
        let Some(message) = read? else { return Ok(false) };
        if partition() == Some(Partition::BothDirections) {
            wait_restored().await;
            // A request that was abandoned during the partition has not started.
            if connection.is_closed() {
                return Ok(false);
            }
        }
        let response = respond(runner, view, &message);
        if partition().is_some() {
            tokio::select! {
                () = wait_restored() => {}
                () = connection.closed() => {
                    if let Some(job) = response.job {
                        runner.cancel(source, message.header("x-request-id"), Some(job));
                    }
                    return Ok(false);
                }
            }
        }
        metrics.add(source, response.counter, response.bytes.len());
        connection.write_raw(&response.bytes).await?;
        if message.header("connection").eq_ignore_ascii_case("close") {
            return Ok(false);
        }
    }
}

fn respond(runner: &Arc<Runner>, view: usize, message: &Message) -> Response {
    let (shared, source) = (&runner.shared, runner.shared.views[view].source);
    let metrics = &shared.metrics;
    let path = message.target.split('?').next().unwrap_or("");
    let (profile, probing) = (&shared.profile, shared.profile.answers_probes);
    let probe = |body: &str| {
        metrics.add(source, Counter::Probes, 1);
        metrics.add(source, Counter::BytesInProbes, message.wire_bytes);
        Response::new(Counter::BytesOutProbes, if probing { "200 OK" } else { "404 Not Found" }, body)
    };
    match (message.method.as_str(), path) {
        ("DELETE", path) if path.starts_with("/jobs/") => {
            metrics.add(source, Counter::Cancels, 1);
            metrics.add(source, Counter::BytesInCancels, message.wire_bytes);
            runner.cancel(source, &path["/jobs/".len()..], None);
            Response::new(Counter::BytesOutCancels, "200 OK", "")
        }
        ("GET", "/alive") => probe(""),
        ("GET", "/metrics/load") => match probing && profile.reports.1 {
            true => {
                let report = profile.report(&runner.load()).to_string();
                metrics.add(source, Counter::BytesOutReports, report.len());
                probe(&report)
            }
            false => probe(""),
        },
        ("POST", _) => accept_request(runner, view, message),
        _ => {
            metrics.add(source, Counter::Answers404, 1);
            Response::new(Counter::BytesOutRequests, "404 Not Found", "")
        }
    }
}

/// Accepts a request if it is well formed and comes from the dispatcher that its id names.
fn accept_request(runner: &Arc<Runner>, view: usize, message: &Message) -> Response {
    let (shared, source) = (&runner.shared, runner.shared.views[view].source);
    let metrics = &shared.metrics;
    metrics.add(source, Counter::Requests, 1);
    metrics.add(source, Counter::BytesInRequests, message.wire_bytes);
    let id = message.header("x-request-id");
    if id.is_empty() || !message.target.starts_with("/api") {
        metrics.add(source, Counter::Answers404, 1);
        return Response::new(Counter::BytesOutRequests, "404 Not Found", "");
    }
    let from_own_dispatcher =
        shared.dispatcher_of(id).is_some_and(|number| shared.dispatchers[number].view == view);
    let work = serde_json::from_str::<RequestBody>(&message.body);
    let Some(work) = work.ok().filter(|_| from_own_dispatcher) else {
        metrics.add(source, Counter::Answers400, 1);
        return Response::new(Counter::BytesOutRequests, "400 Bad Request", "");
    };
    if runner.is_wanted(id) {
        // An HTTP library may have resent the request. As on the platform it runs again, and it is counted.
        metrics.add(source, Counter::Duplicates, 1);
    }
    let job = runner.accept_request(source, id, work.work_us);
    metrics.add(source, Counter::Answers202, 1);
    Response { job: Some(job), ..Response::new(Counter::BytesOutRequests, "202 Accepted", "") }
}
