//! Scripted Faktory clients and workers.

use super::{Events, behaviour_of};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;

/// A connection of a Faktory client or worker.
pub struct FaktoryConnection<S: Read + Write> {
    pub stream: BufReader<S>,
}

impl FaktoryConnection<TcpStream> {
    /// Connects and sends HELLO, as a worker if `wid` is given.
    pub fn connect(address: SocketAddr, wid: Option<&str>) -> FaktoryConnection<TcpStream> {
        let mut connection =
            FaktoryConnection { stream: BufReader::new(TcpStream::connect(address).unwrap()) };
        connection.hello(wid);
        connection
    }
}

impl<S: Read + Write> FaktoryConnection<S> {
    pub fn hello(&mut self, wid: Option<&str>) {
        assert_eq!(self.read_line().unwrap(), "+HI {\"v\":2}");
        let hello = json!({"hostname": "t", "wid": wid, "pid": 1, "labels": [], "v": 2});
        assert_eq!(self.command(&format!("HELLO {hello}")), "+OK");
    }

    pub fn send(&mut self, line: &str) {
        self.stream.get_mut().write_all(format!("{line}\r\n").as_bytes()).unwrap();
        self.stream.get_mut().flush().unwrap();
    }

    pub fn read_line(&mut self) -> Option<String> {
        let mut line = String::new();
        (self.stream.read_line(&mut line).unwrap_or(0) > 0).then(|| line.trim_end().to_owned())
    }

    /// Sends a command and returns the first line of the reply.
    pub fn command(&mut self, line: &str) -> String {
        self.send(line);
        self.read_line().unwrap_or_default()
    }

    /// Sends one FETCH and returns the job, if there was one.
    pub fn fetch(&mut self, queues: &str) -> Option<Value> {
        self.send(&format!("FETCH {queues}"));
        self.read_fetched()
    }

    /// Reads the reply to a FETCH that was sent.
    pub fn read_fetched(&mut self) -> Option<Value> {
        let length: usize = self.read_line()?.strip_prefix('$')?.parse().ok()?;
        let mut bytes = vec![0; length + 2];
        self.stream.read_exact(&mut bytes).unwrap();
        Some(serde_json::from_slice(&bytes[..length]).unwrap())
    }
}

pub fn job(queue: &str, jid: &str, behaviour: &str, custom: Value) -> String {
    json!({"jid": jid, "jobtype": "ShortPick", "queue": queue, "args": [behaviour], "custom": custom})
        .to_string()
}

/// Starts a worker with this many connections, each of which fetches until it is closed. It treats jobs as
/// a [`Runner`](super::Runner) does; a job that hangs is FAILed by the test.
pub fn worker(address: SocketAddr, wid: &str, connections: usize, events: &Events) {
    for _ in 0..connections {
        let (mut connection, events, wid) =
            (FaktoryConnection::connect(address, Some(wid)), events.clone(), wid.to_owned());
        thread::spawn(move || {
            loop {
                connection.send("FETCH routes waves picks");
                let Some(job) = connection.read_fetched() else {
                    if connection.stream.get_ref().peer_addr().is_err() {
                        return;
                    }
                    if connection.command(&format!("BEAT {}", json!({"wid": wid}))) != "+OK" {
                        return;
                    }
                    continue;
                };
                let jid = job["jid"].as_str().unwrap().to_owned();
                let behaviour = behaviour_of(&job["args"].to_string());
                events.push(format!("{wid} got {behaviour} {jid} {job}"));
                let reply = match behaviour {
                    "reset" => {
                        drop(connection);
                        connection = FaktoryConnection::connect(address, Some(&wid));
                        continue;
                    }
                    "error" => connection.command(&format!("FAIL {}", json!({"jid": jid, "message": "no"}))),
                    // Sends neither ACK nor FAIL: the client has stopped waiting by the time a later job is done.
                    "hang" | "mute" => continue,
                    _ => connection
                        .command(&format!("ACK {}", json!({"jid": jid, "result": format!("by {wid}")}))),
                };
                events.push(format!("{wid} told {behaviour} {jid} -> {reply}"));
            }
        });
    }
}
