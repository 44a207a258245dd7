//! Faktory clients and workers that do as a test says. They own their side of the conversation.

use super::{Events, word_of};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;

/// One side of a Faktory conversation.
pub struct FaktoryConnection<S: Read + Write> {
    pub stream: BufReader<S>,
}

impl FaktoryConnection<TcpStream> {
    /// Connects and says HELLO, as a worker if there is a wid.
    pub fn connect(at: SocketAddr, wid: Option<&str>) -> FaktoryConnection<TcpStream> {
        let mut caller = FaktoryConnection { stream: BufReader::new(TcpStream::connect(at).unwrap()) };
        caller.hello(wid);
        caller
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

    /// Sends a command; the first line of its reply.
    pub fn command(&mut self, line: &str) -> String {
        self.send(line);
        self.read_line().unwrap_or_default()
    }

    /// One FETCH; the job, if there was one.
    pub fn fetch(&mut self, queues: &str) -> Option<Value> {
        self.send(&format!("FETCH {queues}"));
        self.read_fetched()
    }

    /// What a FETCH that was sent comes back with.
    pub fn read_fetched(&mut self) -> Option<Value> {
        let length: usize = self.read_line()?.strip_prefix('$')?.parse().ok()?;
        let mut bytes = vec![0; length + 2];
        self.stream.read_exact(&mut bytes).unwrap();
        Some(serde_json::from_slice(&bytes[..length]).unwrap())
    }
}

pub fn job(queue: &str, jid: &str, word: &str, custom: Value) -> String {
    json!({"jid": jid, "jobtype": "ShortPick", "queue": queue, "args": [word], "custom": custom}).to_string()
}

/// A worker process with so many connections, each of which fetches until its end. It does with jobs
/// what a [`Runner`] does; one that hangs is FAILed when the test says so.
pub fn worker(at: SocketAddr, wid: &str, connections: usize, seen: &Events) {
    for _ in 0..connections {
        let (mut caller, seen, wid) =
            (FaktoryConnection::connect(at, Some(wid)), seen.clone(), wid.to_owned());
        thread::spawn(move || {
            loop {
                caller.send("FETCH routes waves picks");
                let Some(job) = caller.read_fetched() else {
                    if caller.stream.get_ref().peer_addr().is_err() {
                        return;
                    }
                    if caller.command(&format!("BEAT {}", json!({"wid": wid}))) != "+OK" {
                        return;
                    }
                    continue;
                };
                let jid = job["jid"].as_str().unwrap().to_owned();
                let word = word_of(&job["args"].to_string());
                seen.push(format!("{wid} got {word} {jid} {job}"));
                let reply = match word {
                    "reset" => {
                        drop(caller);
                        caller = FaktoryConnection::connect(at, Some(&wid));
                        continue;
                    }
                    "error" => caller.command(&format!("FAIL {}", json!({"jid": jid, "message": "no"}))),
                    // Nobody waits for it any more by the time that a later job is done.
                    "hang" | "mute" => continue,
                    _ => {
                        caller.command(&format!("ACK {}", json!({"jid": jid, "result": format!("by {wid}")})))
                    }
                };
                seen.push(format!("{wid} told {word} {jid} -> {reply}"));
            }
        });
    }
}
