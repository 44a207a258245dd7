//! Sends the call-backs of a hollow runner, with retries and a pool of idle connections. No try counts
//! while the link is partitioned.

use super::metrics::{Counter, Gauge};
use super::runner::Runner;
use crate::http::Connection;
use serde_json::json;
use std::io;
use std::time::Duration;
use tokio::time::Instant;

/// The maximum number of tries of a call-back.
const MAX_TRIES: usize = 10;

/// A pooled connection.
pub struct IdleConnection {
    pub dispatcher: usize,
    pub connection: Connection,
    idle_since: Instant,
}

impl Runner {
    /// Reports the state of a request to its dispatcher, and repeats the call-back until it is answered, at
    /// most `MAX_TRIES` times. During a partition it waits until the link is restored, and sends the
    /// call-back again.
    pub async fn call_back(&self, dispatcher: usize, id: &str, state: &str) {
        let (shared, source) = (&self.shared, self.shared.source(dispatcher));
        let region = shared.view(dispatcher).region;
        let mut body = json!({"id": id, "from": self.name, "state": state});
        // The call-back that ends an attempt may carry a load report.
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
                // An answer received during a partition cannot have passed the link.
                continue;
            }
            if matches!(answer, Ok(Ok(200 | 204))) {
                return;
            }
            tries += 1;
            tokio::time::sleep(shared.profile.callback_retry_pause).await;
        }
        shared.metrics.add(source, Counter::CallBacksUndelivered, 1);
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
            shared.metrics.increment(source, Gauge::IdleCallBackConnections);
            let mut idle_connections = self.idle_connections.lock().expect("no holder panics");
            idle_connections.push(IdleConnection { dispatcher, connection, idle_since: Instant::now() });
        }
        Ok(answer.status)
    }

    /// Takes the most recently used idle connection to a dispatcher that is still open.
    fn take_idle(&self, dispatcher: usize) -> Option<Connection> {
        let mut idle_connections = self.idle_connections.lock().expect("no holder panics");
        while let Some(index) = idle_connections.iter().rposition(|idle| idle.dispatcher == dispatcher) {
            let mut idle = idle_connections.remove(index);
            self.shared.metrics.decrement(self.shared.source(dispatcher), Gauge::IdleCallBackConnections);
            if !idle.connection.is_closed() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Closes connections that have been idle for the timeout or that the dispatcher has closed.
    /// Connections over a partitioned link are kept, since neither side would learn of the close.
    pub fn close_idle(&self, idle_timeout: Duration) {
        let shared = &self.shared;
        let mut idle_connections = self.idle_connections.lock().expect("no holder panics");
        idle_connections.retain_mut(|idle| {
            let region = shared.view(idle.dispatcher).region;
            let partitioned = shared.link.partition(region, self.region).is_some();
            let keep =
                partitioned || idle.idle_since.elapsed() < idle_timeout && !idle.connection.is_closed();
            if !keep {
                shared.metrics.decrement(shared.source(idle.dispatcher), Gauge::IdleCallBackConnections);
            }
            keep
        });
    }
}
