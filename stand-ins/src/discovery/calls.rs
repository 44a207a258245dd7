//! One dispatcher's connection to discovery: calls for the list, and the watch. It owns what is written on it, by
//! the plan where there is one, and the silence of a cut link; it must never change the list.

use super::counted::{Count, Level};
use super::{Change, Discovery, Planned};
use crate::http::Connection;
use crate::link::{Cut, View};
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
        let view = discovery.plan.dispatchers[dispatcher];
        let seen = discovery.plan.views[view];
        Caller { discovery, view, seen, connection }
    }

    /// Serves the connection to its end.
    pub(super) async fn serve(mut self) {
        let tally = self.discovery.tally.clone();
        tally.add(self.seen.side, Count::Accepted, 1);
        let _open = tally.hold(self.seen.side, Level::Connections);
        if self.cut() == Some(Cut::Both) {
            // It never came up, and is reset once it could.
            self.whole().await;
            self.connection.reset();
        } else {
            let _ = self.converse().await;
        }
    }

    fn cut(&self) -> Option<Cut> {
        self.discovery.link.cut(self.seen.region, REGION)
    }

    async fn whole(&self) {
        self.discovery.link.whole(self.seen.region, REGION).await;
    }

    /// Waits until something can pass; whether the connection still stands then.
    async fn passes(&mut self) -> bool {
        if self.cut().is_none() {
            return true;
        }
        let link = self.discovery.link.clone();
        tokio::select! {
            () = link.whole(self.seen.region, REGION) => !self.connection.ended(),
            () = self.connection.end() => false,
        }
    }

    async fn converse(&mut self) -> io::Result<()> {
        let (tally, side) = (self.discovery.tally.clone(), self.seen.side);
        while let Some(request) = self.connection.read().await? {
            if self.cut() == Some(Cut::Both) && !self.passes().await {
                return Ok(());
            }
            tally.add(side, Count::BytesIn, request.bytes);
            let under_way = tally.hold(side, Level::Calls);
            let watches = request.target.contains("stream=1");
            tally.add(side, if watches { Count::WatchCalls } else { Count::ListCalls }, 1);
            let mut resumed = self.discovery.resumed.subscribe();
            let (changes, planned, (first, kind)) = {
                let mut state = self.discovery.state.lock().expect("no holder panics");
                // Together with the list, so that nothing falls between the two and nothing comes twice.
                let changes = self.discovery.changes.subscribe();
                let planned = state.plan.pop_front();
                let since = version(&request.target).filter(|_| watches);
                let since = since.and_then(|version| state.lists.since(self.view, version));
                let first = match since {
                    Some(change) => (change.to_string().into(), Count::Changes),
                    None => (state.lists.whole(self.view), Count::WholeLists),
                };
                (changes, planned, first)
            };
            self.discovery.calls.push(format!("{} {} HTTP/1.1", request.method, request.target));
            match planned {
                Some(Planned::Busy) => {
                    self.connection.write("HTTP/1.1 503 Busy", b"").await?;
                    continue;
                }
                Some(Planned::Last) => {
                    self.connection.write("HTTP/1.1 503 Busy", b"").await?;
                    let _ = self.connection.read().await;
                    return Ok(());
                }
                Some(Planned::Reset) => return Ok(()),
                Some(Planned::Mute) => std::future::pending().await,
                Some(Planned::Held) => _ = resumed.wait_for(|times| *times >= 2).await,
                _ => {}
            }
            if !self.passes().await {
                return Ok(());
            }
            tally.add(side, kind, 1);
            if !watches {
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", first.len());
                tally.add(side, Count::BytesOutLists, head.len() + first.len());
                self.connection.raw(&[head.as_bytes(), first.as_bytes()].concat()).await?;
                continue;
            }
            let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            tally.add(side, bytes_of(kind), head.len());
            self.connection.raw(head).await?;
            self.line(&first, kind).await?;
            drop(under_way);
            let _open = tally.hold(side, Level::Watches);
            return self.watch(planned, resumed, changes).await;
        }
        Ok(())
    }

    /// Writes what changes, and empty lines, after the first object.
    async fn watch(
        &mut self,
        planned: Option<Planned>,
        mut resumed: watch::Receiver<usize>,
        mut changes: broadcast::Receiver<Change>,
    ) -> io::Result<()> {
        match planned {
            Some(Planned::Silent) => std::future::pending().await,
            Some(Planned::Late) if *resumed.borrow() == 0 => {
                let _ = resumed.wait_for(|times| *times >= 1).await;
                self.line("", Count::EmptyLines).await?;
            }
            Some(Planned::Trickle) => {
                self.connection.raw(b"1\r\n{\r\n").await?;
                loop {
                    tokio::time::sleep(TRICKLE).await;
                    self.connection.raw(b"1\r\n \r\n").await?;
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
                Err(_) => ("", Count::EmptyLines),
                Ok(Ok(Change::Told(lines))) => (lines[self.view].as_str(), Count::Changes),
                Ok(Ok(Change::Broken) | Err(_)) => return Ok(()),
            };
            self.discovery.tally.add(self.seen.side, kind, 1);
            self.line(line, kind).await?;
        }
    }

    /// Writes a line of the watch, in chunks where the plan says so.
    async fn line(&mut self, text: &str, kind: Count) -> io::Result<()> {
        let (tally, side) = (self.discovery.tally.clone(), self.seen.side);
        let line = [text.as_bytes(), b"\n"].concat();
        for part in line.chunks(self.discovery.plan.chunk.unwrap_or(line.len())) {
            let head = format!("{:x}\r\n", part.len());
            let bytes = [head.as_bytes(), part, b"\r\n"].concat();
            tally.add(side, bytes_of(kind), bytes.len());
            self.connection.raw(&bytes).await?;
        }
        Ok(())
    }
}

fn bytes_of(kind: Count) -> Count {
    match kind {
        Count::WholeLists => Count::BytesOutLists,
        Count::EmptyLines => Count::BytesOutEmptyLines,
        _ => Count::BytesOutChanges,
    }
}

/// The version that a call asks from.
fn version(target: &str) -> Option<u64> {
    target.split(['?', '&']).find_map(|part| part.strip_prefix("index="))?.parse().ok()
}
