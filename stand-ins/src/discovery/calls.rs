//! One dispatcher's connection to discovery: calls for the list, and the watch. It owns what is written on it, by
//! the plan where there is one, and the silence of a cut link; it must never change the list.

use super::metrics::{Counter, Gauge};
use super::{Change, Discovery, PlannedReply};
use crate::http::Connection;
use crate::region_link::{Partition, View};
use std::io;
use std::time::Duration;
use tokio::sync::{broadcast, watch};

/// Time between the empty lines of a watch.
const QUIET: Duration = Duration::from_secs(2);
/// Time between the bytes of an object that never ends.
const TRICKLE: Duration = Duration::from_millis(500);
/// Where discovery stands.
const REGION: usize = 0;

/// A call's place among the dispatchers and its connection.
pub(super) struct Caller {
    discovery: Discovery,
    view: usize,
    seen: View,
    connection: Connection,
}

impl Caller {
    pub(super) fn new(discovery: Discovery, dispatcher: usize, connection: Connection) -> Caller {
        let view = discovery.plan.dispatcher_views[dispatcher];
        let seen = discovery.plan.views[view];
        Caller { discovery, view, seen, connection }
    }

    /// Serves the connection to its end.
    pub(super) async fn serve(mut self) {
        let tally = self.discovery.tally.clone();
        tally.add(self.seen.source, Counter::Accepted, 1);
        let _open = tally.hold(self.seen.source, Gauge::Connections);
        if self.cut() == Some(Partition::BothDirections) {
            // It never came up, and is reset once it could.
            self.whole().await;
            self.connection.reset();
        } else {
            let _ = self.converse().await;
        }
    }

    fn cut(&self) -> Option<Partition> {
        self.discovery.link.partition(self.seen.region, REGION)
    }

    async fn whole(&self) {
        self.discovery.link.wait_restored(self.seen.region, REGION).await;
    }

    /// Waits until something can pass; whether the connection still stands then.
    async fn passes(&mut self) -> bool {
        if self.cut().is_none() {
            return true;
        }
        let link = self.discovery.link.clone();
        tokio::select! {
            () = link.wait_restored(self.seen.region, REGION) => !self.connection.is_closed(),
            () = self.connection.closed() => false,
        }
    }

    async fn converse(&mut self) -> io::Result<()> {
        let (tally, side) = (self.discovery.tally.clone(), self.seen.source);
        while let Some(request) = self.connection.read().await? {
            if self.cut() == Some(Partition::BothDirections) && !self.passes().await {
                return Ok(());
            }
            tally.add(side, Counter::BytesIn, request.wire_bytes);
            let under_way = tally.hold(side, Gauge::Calls);
            let watches = request.target.contains("stream=1");
            tally.add(side, if watches { Counter::WatchCalls } else { Counter::ListCalls }, 1);
            let mut resumed = self.discovery.resumed.subscribe();
            let (changes, planned, (first, kind)) = {
                let mut state = self.discovery.state.lock().expect("no holder panics");
                // Together with the list, so that nothing falls between the two and nothing comes twice.
                let changes = self.discovery.changes.subscribe();
                let planned = state.plan.pop_front();
                let since = version(&request.target).filter(|_| watches);
                let since = since.and_then(|version| state.lists.since(self.view, version));
                let first = match since {
                    Some(change) => (change.to_string().into(), Counter::Changes),
                    None => (state.lists.whole(self.view), Counter::WholeLists),
                };
                (changes, planned, first)
            };
            self.discovery.request_lines.push(format!("{} {} HTTP/1.1", request.method, request.target));
            match planned {
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
            if !self.passes().await {
                return Ok(());
            }
            tally.add(side, kind, 1);
            if !watches {
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", first.len());
                tally.add(side, Counter::BytesOutLists, head.len() + first.len());
                self.connection.write_raw(&[head.as_bytes(), first.as_bytes()].concat()).await?;
                continue;
            }
            let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            tally.add(side, bytes_of(kind), head.len());
            self.connection.write_raw(head).await?;
            self.line(&first, kind).await?;
            drop(under_way);
            let _open = tally.hold(side, Gauge::Watches);
            return self.watch(planned, resumed, changes).await;
        }
        Ok(())
    }

    /// Writes what changes, and empty lines, after the first object.
    async fn watch(
        &mut self,
        planned: Option<PlannedReply>,
        mut resumed: watch::Receiver<usize>,
        mut changes: broadcast::Receiver<Change>,
    ) -> io::Result<()> {
        match planned {
            Some(PlannedReply::StalledWatch) => std::future::pending().await,
            Some(PlannedReply::DelayedUpdates) if *resumed.borrow() == 0 => {
                let _ = resumed.wait_for(|times| *times >= 1).await;
                self.line("", Counter::EmptyLines).await?;
            }
            Some(PlannedReply::Trickle) => {
                self.connection.write_raw(b"1\r\n{\r\n").await?;
                loop {
                    tokio::time::sleep(TRICKLE).await;
                    self.connection.write_raw(b"1\r\n \r\n").await?;
                }
            }
            _ => {}
        }
        loop {
            let told = tokio::time::timeout(QUIET, changes.recv()).await;
            if !self.passes().await {
                return Ok(());
            }
            let (line, kind) = match &told {
                Err(_) => ("", Counter::EmptyLines),
                Ok(Ok(Change::Told(lines))) => (lines[self.view].as_str(), Counter::Changes),
                Ok(Ok(Change::Broken) | Err(_)) => return Ok(()),
            };
            self.discovery.tally.add(self.seen.source, kind, 1);
            self.line(line, kind).await?;
        }
    }

    /// Writes a line of the watch, in chunks where the plan says so.
    async fn line(&mut self, text: &str, kind: Counter) -> io::Result<()> {
        let (tally, side) = (self.discovery.tally.clone(), self.seen.source);
        let line = [text.as_bytes(), b"\n"].concat();
        for part in line.chunks(self.discovery.plan.chunk_bytes.unwrap_or(line.len())) {
            let head = format!("{:x}\r\n", part.len());
            let bytes = [head.as_bytes(), part, b"\r\n"].concat();
            tally.add(side, bytes_of(kind), bytes.len());
            self.connection.write_raw(&bytes).await?;
        }
        Ok(())
    }
}

fn bytes_of(kind: Counter) -> Counter {
    match kind {
        Counter::WholeLists => Counter::BytesOutLists,
        Counter::EmptyLines => Counter::BytesOutEmptyLines,
        _ => Counter::BytesOutChanges,
    }
}

/// The version that a call asks from.
fn version(target: &str) -> Option<u64> {
    target.split(['?', '&']).find_map(|part| part.strip_prefix("index="))?.parse().ok()
}
