//! Discovery: the list of runners and the watch on its changes, on an address of its own for each
//! dispatcher, since a runner's `dial` differs from one to another. It owns the list's version, and does
//! wrong what a test plans.

use crate::http::Connection;
use crate::scripted::Events;
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{broadcast, watch};

/// Time between the empty lines of a watch.
const QUIET: Duration = Duration::from_secs(2);
/// Time between the bytes of an object that never ends.
const TRICKLE: Duration = Duration::from_millis(500);

struct State {
    seq: u64,
    /// The entries for each dispatcher.
    hosts: Vec<Vec<Value>>,
    plan: VecDeque<Planned>,
}

/// What a call gets in place of its due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planned {
    /// 503.
    Busy,
    /// The connection's end.
    Reset,
    /// The list, and no line after it.
    Silent,
    /// No answer at all.
    Mute,
    /// The list, no line after it until the first [`Discovery::resume`], then an empty one and what has changed.
    Late,
    /// The list as it is at the call, written at the second [`Discovery::resume`].
    Held,
    /// The list, and then an object a byte at a time that never ends.
    Trickle,
    /// 503, and the connection's end as a further call comes on it.
    Last,
}

#[derive(Clone)]
enum Change {
    Told(u64, Vec<Vec<Value>>),
    /// Watches end.
    Broken,
}

/// The service.
#[derive(Clone)]
pub struct Discovery {
    state: Arc<Mutex<State>>,
    changes: broadcast::Sender<Change>,
    resumed: watch::Sender<usize>,
    /// The calls' first lines.
    pub calls: Events,
    /// Where each dispatcher asks.
    pub at: Vec<SocketAddr>,
}

impl Discovery {
    /// Serves each dispatcher its list.
    ///
    /// # Errors
    ///
    /// If no address is free.
    pub async fn start(hosts: Vec<Vec<Value>>) -> std::io::Result<Discovery> {
        Discovery::planned(hosts, &[]).await
    }

    /// The same, whose first calls go as planned.
    ///
    /// # Errors
    ///
    /// If no address is free.
    pub async fn planned(hosts: Vec<Vec<Value>>, plan: &[Planned]) -> std::io::Result<Discovery> {
        let mut listeners = Vec::new();
        for _ in &hosts {
            listeners.push(TcpListener::bind("127.0.0.1:0").await?);
        }
        let at = listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
        let plan = plan.iter().copied().collect();
        let state = Arc::new(Mutex::new(State { seq: 1, hosts, plan }));
        let (changes, calls) = (broadcast::channel(64).0, Events::default());
        let discovery = Discovery { state, changes, resumed: watch::channel(0).0, calls, at };
        for (dispatcher, listener) in listeners.into_iter().enumerate() {
            let discovery = discovery.clone();
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let discovery = discovery.clone();
                    tokio::spawn(async move {
                        let _ = discovery.serve(dispatcher, Connection::new(stream)).await;
                    });
                }
            });
        }
        Ok(discovery)
    }

    /// Tells every watch of a change: entries for each dispatcher.
    pub fn tell(&self, changed: &[Vec<Value>]) {
        let mut state = self.state.lock().expect("no holder panics");
        state.seq += 1;
        for (held, changed) in state.hosts.iter_mut().zip(changed) {
            for entry in changed {
                held.retain(|old| old["host"] != entry["host"]);
                if entry["health"] != "left" {
                    held.push(entry.clone());
                }
            }
        }
        let _ = self.changes.send(Change::Told(state.seq, changed.to_vec()));
    }

    /// Goes on where the plan has it wait for that.
    pub fn resume(&self) {
        self.resumed.send_modify(|times| *times += 1);
    }

    /// Begins to count anew, as one that was restarted: watches end, and this is the list.
    pub fn restart(&self, hosts: Vec<Vec<Value>>) {
        let mut state = self.state.lock().expect("no holder panics");
        (state.seq, state.hosts) = (1, hosts);
        let _ = self.changes.send(Change::Broken);
    }

    /// Breaks every watch.
    pub fn break_watches(&self) {
        let _ = self.changes.send(Change::Broken);
    }

    async fn serve(&self, dispatcher: usize, mut connection: Connection) -> std::io::Result<()> {
        while let Some(request) = connection.read().await? {
            let (mut changes, mut resumed) = (self.changes.subscribe(), self.resumed.subscribe());
            let (whole, planned) = {
                let mut state = self.state.lock().expect("no holder panics");
                let whole = json!({"seq": state.seq, "whole": true, "hosts": state.hosts[dispatcher]});
                (whole.to_string(), state.plan.pop_front())
            };
            self.calls.push(format!("{} {} HTTP/1.1", request.method, request.target));
            match planned {
                Some(Planned::Busy) => {
                    connection.write("HTTP/1.1 503 Busy", b"").await?;
                    continue;
                }
                Some(Planned::Last) => {
                    connection.write("HTTP/1.1 503 Busy", b"").await?;
                    let _ = connection.read().await;
                    return Ok(());
                }
                Some(Planned::Reset) => return Ok(()),
                Some(Planned::Mute) => std::future::pending().await,
                Some(Planned::Held) => _ = resumed.wait_for(|times| *times >= 2).await,
                _ => {}
            }
            if !request.target.contains("stream=1") {
                connection.write("HTTP/1.1 200 OK", whole.as_bytes()).await?;
                continue;
            }
            connection.raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
            let mut line = whole;
            loop {
                line.push('\n');
                // In chunks that end anywhere.
                for part in line.as_bytes().chunks(37) {
                    let head = format!("{:x}\r\n", part.len());
                    connection.raw(&[head.as_bytes(), part, b"\r\n"].concat()).await?;
                }
                match planned {
                    Some(Planned::Silent) => std::future::pending().await,
                    Some(Planned::Late) if *resumed.borrow() == 0 => {
                        let _ = resumed.wait_for(|times| *times >= 1).await;
                        line = String::new();
                        continue;
                    }
                    Some(Planned::Trickle) => {
                        connection.raw(b"1\r\n{\r\n").await?;
                        loop {
                            tokio::time::sleep(TRICKLE).await;
                            connection.raw(b"1\r\n \r\n").await?;
                        }
                    }
                    _ => {}
                }
                line = match tokio::time::timeout(QUIET, changes.recv()).await {
                    Err(_) => String::new(),
                    Ok(Ok(Change::Told(seq, hosts))) => {
                        // Indented, as lists may come.
                        let change = json!({"seq": seq, "whole": false, "hosts": hosts[dispatcher]});
                        format!("{change:#}")
                    }
                    Ok(Ok(Change::Broken) | Err(_)) => return Ok(()),
                };
            }
        }
        Ok(())
    }
}
