//! Serves one dispatcher's connection to discovery: calls for the list, watches, scripted replies and the
//! silence of a partitioned link. Never changes the list.

use super::metrics::{Counter, Gauge};
use super::{Change, Discovery, PlannedReply};
use crate::http::Connection;
use crate::region_link::{Partition, View};
use std::io;
use std::time::Duration;
use tokio::sync::{broadcast, watch};

/// Interval between empty lines on a watch without changes.
const EMPTY_LINE_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between the bytes of an object that never ends.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(500);
/// The region of the discovery service.
const DISCOVERY_REGION: usize = 0;

/// One connection from a dispatcher.
pub(super) struct Session {
    discovery: Discovery,
    view_index: usize,
    view: View,
    connection: Connection,
}

impl Session {
    pub(super) fn new(discovery: Discovery, dispatcher: usize, connection: Connection) -> Session {
        let view_index = discovery.config.dispatcher_views[dispatcher];
        let view = discovery.config.views[view_index];
        Session { discovery, view_index, view, connection }
    }

    /// Serves the connection until it ends.
    pub(super) async fn serve(mut self) {
        let metrics = self.discovery.metrics.clone();
        metrics.add(self.view.source, Counter::Accepted, 1);
        let _open = metrics.hold(self.view.source, Gauge::Connections);
        if self.partition() == Some(Partition::BothDirections) {
            // The connection was never established; it is reset once the link is restored.
            self.wait_restored().await;
            self.connection.reset();
        } else {
            let _ = self.serve_calls().await;
        }
    }

    fn partition(&self) -> Option<Partition> {
        self.discovery.link.partition(self.view.region, DISCOVERY_REGION)
    }

    async fn wait_restored(&self) {
        self.discovery.link.wait_restored(self.view.region, DISCOVERY_REGION).await;
    }

    /// Waits until the link is not partitioned. Returns whether the connection is still open then.
    async fn wait_until_passable(&mut self) -> bool {
        if self.partition().is_none() {
            return true;
        }
        let link = self.discovery.link.clone();
        tokio::select! {
            () = link.wait_restored(self.view.region, DISCOVERY_REGION) => !self.connection.is_closed(),
            () = self.connection.closed() => false,
        }
    }

    async fn serve_calls(&mut self) -> io::Result<()> {
        let (metrics, source) = (self.discovery.metrics.clone(), self.view.source);
        while let Some(request) = self.connection.read().await? {
            if self.partition() == Some(Partition::BothDirections) && !self.wait_until_passable().await {
                return Ok(());
            }
            metrics.add(source, Counter::BytesIn, request.wire_bytes);
            let in_progress = metrics.hold(source, Gauge::Calls);
            let is_watch = request.target.contains("stream=1");
            metrics.add(source, if is_watch { Counter::WatchCalls } else { Counter::ListCalls }, 1);
            let mut resumed = self.discovery.resumed.subscribe();
            let (changes, reply, (first_object, counter)) = {
                let mut state = self.discovery.state.lock().expect("no holder panics");
                // Subscribes under the lock that reads the list, so that no change is missed or sent twice.
                let changes = self.discovery.changes.subscribe();
                let reply = state.replies.pop_front();
                let since = requested_version(&request.target).filter(|_| is_watch);
                let since = since.and_then(|version| state.lists.changes_since(self.view_index, version));
                let first_object = match since {
                    Some(change) => (change.to_string().into(), Counter::Changes),
                    None => (state.lists.whole_list(self.view_index), Counter::WholeLists),
                };
                (changes, reply, first_object)
            };
            self.discovery.request_lines.push(format!("{} {} HTTP/1.1", request.method, request.target));
            match reply {
                Some(PlannedReply::Unavailable) => {
                    self.connection.write("HTTP/1.1 503 Busy", b"").await?;
                    continue;
                }
                Some(PlannedReply::UnavailableThenClose) => {
                    self.connection.write("HTTP/1.1 503 Busy", b"").await?;
                    let _ = self.connection.read().await;
                    return Ok(());
                }
                Some(PlannedReply::Close) => return Ok(()),
                Some(PlannedReply::NoReply) => std::future::pending().await,
                Some(PlannedReply::DelayedList) => _ = resumed.wait_for(|times| *times >= 2).await,
                _ => {}
            }
            if !self.wait_until_passable().await {
                return Ok(());
            }
            metrics.add(source, counter, 1);
            if !is_watch {
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", first_object.len());
                metrics.add(source, Counter::BytesOutLists, head.len() + first_object.len());
                self.connection.write_raw(&[head.as_bytes(), first_object.as_bytes()].concat()).await?;
                continue;
            }
            let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            metrics.add(source, bytes_counter(counter), head.len());
            self.connection.write_raw(head).await?;
            self.write_line(&first_object, counter).await?;
            drop(in_progress);
            let _open = metrics.hold(source, Gauge::Watches);
            return self.watch(reply, resumed, changes).await;
        }
        Ok(())
    }

    /// Writes changes and empty lines after the first object.
    async fn watch(
        &mut self,
        reply: Option<PlannedReply>,
        mut resumed: watch::Receiver<usize>,
        mut changes: broadcast::Receiver<Change>,
    ) -> io::Result<()> {
        match reply {
            Some(PlannedReply::StalledWatch) => std::future::pending().await,
            Some(PlannedReply::DelayedUpdates) if *resumed.borrow() == 0 => {
                let _ = resumed.wait_for(|times| *times >= 1).await;
                self.write_line("", Counter::EmptyLines).await?;
            }
            Some(PlannedReply::Trickle) => {
                self.connection.write_raw(b"1\r\n{\r\n").await?;
                loop {
                    tokio::time::sleep(TRICKLE_INTERVAL).await;
                    self.connection.write_raw(b"1\r\n \r\n").await?;
                }
            }
            _ => {}
        }
        loop {
            let change = tokio::time::timeout(EMPTY_LINE_INTERVAL, changes.recv()).await;
            if !self.wait_until_passable().await {
                return Ok(());
            }
            let (line, counter) = match &change {
                Err(_) => ("", Counter::EmptyLines),
                Ok(Ok(Change::Lines(lines))) => (lines[self.view_index].as_str(), Counter::Changes),
                Ok(Ok(Change::BreakWatches) | Err(_)) => return Ok(()),
            };
            self.discovery.metrics.add(self.view.source, counter, 1);
            self.write_line(line, counter).await?;
        }
    }

    /// Writes a line of the watch, split into chunks of the configured size.
    async fn write_line(&mut self, text: &str, counter: Counter) -> io::Result<()> {
        let (metrics, source) = (self.discovery.metrics.clone(), self.view.source);
        let line = [text.as_bytes(), b"\n"].concat();
        for part in line.chunks(self.discovery.config.chunk_bytes.unwrap_or(line.len())) {
            let head = format!("{:x}\r\n", part.len());
            let bytes = [head.as_bytes(), part, b"\r\n"].concat();
            metrics.add(source, bytes_counter(counter), bytes.len());
            self.connection.write_raw(&bytes).await?;
        }
        Ok(())
    }
}

fn bytes_counter(counter: Counter) -> Counter {
    match counter {
        Counter::WholeLists => Counter::BytesOutLists,
        Counter::EmptyLines => Counter::BytesOutEmptyLines,
        _ => Counter::BytesOutChanges,
    }
}

/// Returns the version from which a call asks for changes.
fn requested_version(target: &str) -> Option<u64> {
    target.split(['?', '&']).find_map(|part| part.strip_prefix("index="))?.parse().ok()
}
