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
const MAX_TRIES: usize = 10;

/// A connection that rests.
pub struct IdleConnection {
    pub dispatcher: usize,
    pub connection: Connection,
    idle_since: Instant,
}

impl Runner {
    /// Tells a dispatcher of a request, again until it answers, ten times at the most. While the link is cut it
    /// waits, and begins again when it is whole.
    pub async fn call_back(&self, dispatcher: usize, id: &str, state: &str) {
        let (shared, source) = (&self.shared, self.shared.source(dispatcher));
        let region = shared.view(dispatcher).region;
        let mut body = json!({"id": id, "from": self.name, "state": state});
        // The object that ends an attempt may carry a report.
        let mut report_bytes = 0;
        if state == "done" {
            body["result"] = json!(format!("by {}", self.name));
            if shared.profile.reports.0 {
                body["load"] = shared.profile.report(&self.load());
                report_bytes = body["load"].to_string().len();
            }
        }
        let body = body.to_string();
        shared.metrics.add(source, Counter::CallBacks, 1);
        let mut tries = 0;
        while tries < MAX_TRIES {
            shared.link.wait_restored(region, self.region).await;
            shared.metrics.add(source, Counter::CallBackTries, 1);
            shared.metrics.add(source, Counter::BytesOutReports, report_bytes);
            let exchange = self.exchange(dispatcher, body.as_bytes());
            let answer = tokio::time::timeout(shared.profile.callback_timeout, exchange).await;
            if shared.link.partition(region, self.region).is_some() {
                // Whatever came back can't have passed.
                continue;
            }
            if matches!(answer, Ok(Ok(200 | 204))) {
                return;
            }
            tries += 1;
            tokio::time::sleep(shared.profile.callback_retry_pause).await;
        }
        shared.metrics.add(source, Counter::CallBacksUnheard, 1);
    }

    async fn exchange(&self, dispatcher: usize, body: &[u8]) -> io::Result<u16> {
        let (shared, source) = (&self.shared, self.shared.source(dispatcher));
        let mut connection = match self.take_idle(dispatcher) {
            Some(connection) => connection,
            None => {
                let address = shared.dispatchers[dispatcher].callback_address;
                let opened = Connection::open(address, shared.profile.connect_timeout).await?;
                shared.metrics.add(source, Counter::Opened, 1);
                opened
            }
        };
        let head = "POST /v1/job-events HTTP/1.1\r\nHost: dispatcher\r\nContent-Type: application/json";
        let mut message = format!("{head}\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
        message.extend_from_slice(body);
        shared.metrics.add(source, Counter::BytesOutCallBacks, message.len());
        connection.write_raw(&message).await?;
        let answer = connection.read().await?.ok_or(io::ErrorKind::UnexpectedEof)?;
        shared.metrics.add(source, Counter::BytesInCallBacks, answer.wire_bytes);
        if !answer.header("connection").eq_ignore_ascii_case("close") {
            shared.metrics.increment(source, Gauge::Resting);
            let mut idle_connections = self.idle_connections.lock().expect("no holder panics");
            idle_connections.push(IdleConnection { dispatcher, connection, idle_since: Instant::now() });
        }
        Ok(answer.status)
    }

    /// A connection to a dispatcher that rests and still stands: the one that was used last.
    fn take_idle(&self, dispatcher: usize) -> Option<Connection> {
        let mut idle_connections = self.idle_connections.lock().expect("no holder panics");
        while let Some(index) =
            idle_connections.iter().rposition(|idle_connections| idle_connections.dispatcher == dispatcher)
        {
            let mut idle = idle_connections.remove(index);
            self.shared.metrics.decrement(self.shared.source(dispatcher), Gauge::Resting);
            if !idle.connection.is_closed() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Closes connections that have rested for so long, or that their dispatcher has ended. Over a link that is
    /// cut nobody would learn of it.
    pub fn close_idle(&self, idle_timeout: Duration) {
        let shared = &self.shared;
        let mut idle_connections = self.idle_connections.lock().expect("no holder panics");
        idle_connections.retain_mut(|idle_connections| {
            let region = shared.view(idle_connections.dispatcher).region;
            let partition = shared.link.partition(region, self.region).is_some();
            let keep = partition
                || idle_connections.idle_since.elapsed() < idle_timeout
                    && !idle_connections.connection.is_closed();
            if !keep {
                shared.metrics.decrement(shared.source(idle_connections.dispatcher), Gauge::Resting);
            }
            keep
        });
    }
}
