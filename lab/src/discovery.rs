//! Discovery: the list of runners and the watch on its changes, on an address of its own for each
//! dispatcher, since a runner's `dial` differs from one to another. It owns the list's version.

use crate::http::Connection;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::broadcast;

/// Time between the empty lines of a watch.
const QUIET: Duration = Duration::from_secs(2);

struct State {
    seq: u64,
    /// The entries for each dispatcher.
    hosts: Vec<Vec<Value>>,
}

/// The service.
#[derive(Clone)]
pub struct Discovery {
    state: Arc<Mutex<State>>,
    changes: broadcast::Sender<(u64, Vec<Vec<Value>>)>,
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
        let mut listeners = Vec::new();
        for _ in &hosts {
            listeners.push(TcpListener::bind("127.0.0.1:0").await?);
        }
        let at = listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
        let state = Arc::new(Mutex::new(State { seq: 1, hosts }));
        let discovery = Discovery { state, changes: broadcast::channel(64).0, at };
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
        let _ = self.changes.send((state.seq, changed.to_vec()));
    }

    async fn serve(&self, dispatcher: usize, mut connection: Connection) -> std::io::Result<()> {
        while let Some(request) = connection.read().await? {
            let mut changes = self.changes.subscribe();
            let whole = {
                let state = self.state.lock().expect("no holder panics");
                json!({"seq": state.seq, "whole": true, "hosts": state.hosts[dispatcher]}).to_string()
            };
            if !request.target.contains("stream=1") {
                connection.write("HTTP/1.1 200 OK", whole.as_bytes()).await?;
                continue;
            }
            connection.raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
            let mut line = whole;
            loop {
                line.push('\n');
                connection.raw(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).await?;
                line = match tokio::time::timeout(QUIET, changes.recv()).await {
                    Err(_) => String::new(),
                    Ok(Ok((seq, hosts))) => {
                        json!({"seq": seq, "whole": false, "hosts": hosts[dispatcher]}).to_string()
                    }
                    Ok(Err(_)) => return Ok(()),
                };
            }
        }
        Ok(())
    }
}
