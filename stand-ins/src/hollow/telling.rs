//! Call-backs of a hollow runner, and the connections that it keeps for them. It owns the tries of each until it
//! is answered; it must never tell of a request on its own account, nor let a try pass a link that is cut.

use super::metrics::{Counter, Gauge};
use super::runner::Runner;
use crate::http::Connection;
use serde_json::json;
use std::io;
use std::time::Duration;
use tokio::time::Instant;

/// Most tries of a call-back.
const TRIES: usize = 10;

/// A connection that rests.
pub struct Resting {
    pub dispatcher: usize,
    pub connection: Connection,
    since: Instant,
}

impl Runner {
    /// Tells a dispatcher of a request, again until it answers, ten times at the most. While the link is cut it
    /// waits, and begins again when it is whole.
    pub async fn tell(&self, dispatcher: usize, id: &str, state: &str) {
        let (shared, side) = (&self.shared, self.shared.side(dispatcher));
        let region = shared.view(dispatcher).region;
        let mut body = json!({"id": id, "from": self.name, "state": state});
        // The object that ends an attempt may carry a report.
        let mut reported = 0;
        if state == "done" {
            body["result"] = json!(format!("by {}", self.name));
            if shared.manner.reports.0 {
                body["load"] = shared.manner.report(&self.load());
                reported = body["load"].to_string().len();
            }
        }
        let body = body.to_string();
        shared.tally.add(side, Counter::CallBacks, 1);
        let mut tries = 0;
        while tries < TRIES {
            shared.link.wait_restored(region, self.region).await;
            shared.tally.add(side, Counter::CallBackTries, 1);
            shared.tally.add(side, Counter::BytesOutReports, reported);
            let exchange = self.exchange(dispatcher, body.as_bytes());
            let answered = tokio::time::timeout(shared.manner.callback_timeout, exchange).await;
            if shared.link.partition(region, self.region).is_some() {
                // Whatever came back can't have passed.
                continue;
            }
            if matches!(answered, Ok(Ok(200 | 204))) {
                return;
            }
            tries += 1;
            tokio::time::sleep(shared.manner.callback_retry_pause).await;
        }
        shared.tally.add(side, Counter::CallBacksUnheard, 1);
    }

    async fn exchange(&self, dispatcher: usize, body: &[u8]) -> io::Result<u16> {
        let (shared, side) = (&self.shared, self.shared.side(dispatcher));
        let mut connection = match self.rested(dispatcher) {
            Some(connection) => connection,
            None => {
                let at = shared.dispatchers[dispatcher].callback_address;
                let opened = Connection::open(at, shared.manner.connect_timeout).await?;
                shared.tally.add(side, Counter::Opened, 1);
                opened
            }
        };
        let head = "POST /v1/job-events HTTP/1.1\r\nHost: dispatcher\r\nContent-Type: application/json";
        let mut message = format!("{head}\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
        message.extend_from_slice(body);
        shared.tally.add(side, Counter::BytesOutCallBacks, message.len());
        connection.write_raw(&message).await?;
        let answer = connection.read().await?.ok_or(io::ErrorKind::UnexpectedEof)?;
        shared.tally.add(side, Counter::BytesInCallBacks, answer.wire_bytes);
        if !answer.header("connection").eq_ignore_ascii_case("close") {
            shared.tally.increment(side, Gauge::Resting);
            let mut resting = self.resting.lock().expect("no holder panics");
            resting.push(Resting { dispatcher, connection, since: Instant::now() });
        }
        Ok(answer.status)
    }

    /// A connection to a dispatcher that rests and still stands: the one that was used last.
    fn rested(&self, dispatcher: usize) -> Option<Connection> {
        let mut resting = self.resting.lock().expect("no holder panics");
        while let Some(place) = resting.iter().rposition(|resting| resting.dispatcher == dispatcher) {
            let mut found = resting.remove(place);
            self.shared.tally.decrement(self.shared.side(dispatcher), Gauge::Resting);
            if !found.connection.is_closed() {
                return Some(found.connection);
            }
        }
        None
    }

    /// Closes connections that have rested for so long, or that their dispatcher has ended. Over a link that is
    /// cut nobody would learn of it.
    pub fn sweep(&self, rest: Duration) {
        let shared = &self.shared;
        let mut resting = self.resting.lock().expect("no holder panics");
        resting.retain_mut(|resting| {
            let region = shared.view(resting.dispatcher).region;
            let cut = shared.link.partition(region, self.region).is_some();
            let keep = cut || resting.since.elapsed() < rest && !resting.connection.is_closed();
            if !keep {
                shared.tally.decrement(shared.side(resting.dispatcher), Gauge::Resting);
            }
            keep
        });
    }
}
