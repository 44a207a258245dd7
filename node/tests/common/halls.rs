//! Two halls with a runner each and clients with keys, for the tests of idempotency keys.

#![allow(dead_code, reason = "each test file uses its part")]

use crate::common::*;
use serde_json::json;
use std::net::TcpStream;

pub const KEYS: &str = "[keys]\nkey_bytes = 256\n";

/// Two halls with a runner each, both told of.
pub struct Halls {
    pub discovery: Discovery,
    pub runners: [Runner; 2],
}

impl Halls {
    pub fn start() -> Halls {
        let runners = [Runner::start("s-0"), Runner::start("s-1")];
        let hosts = [("s-0", "hall-a"), ("s-1", "hall-b")];
        let hosts = hosts.iter().zip(&runners).map(|((name, hall), r)| host(name, r.address, hall, "active"));
        Halls { discovery: Discovery::start(hosts.collect()), runners }
    }

    pub fn program(&self, operator: &str) -> Program {
        let program = Program::start(&self.discovery, settings(), Some(operator));
        self.runners.iter().for_each(|runner| runner.call_back_to(&program));
        program
    }

    /// Jobs that the halls were sent, with their words.
    pub fn sent(&self, word: &str) -> usize {
        self.runners.iter().map(|runner| runner.events.count(&format!("POST {word}"))).sum()
    }

    /// Waits for a job at either runner; which one it was.
    pub fn wait(&self, word: &str) -> usize {
        // One of the two sees it; polled, since either may.
        for _ in 0..4000 {
            if let Some(n) = self.runners.iter().position(|r| r.events.count(&format!("POST {word}")) > 0) {
                return n;
            }
            std::thread::sleep(std::time::Duration::from_millis(5));
        }
        panic!("no runner saw {word}");
    }
}

pub fn head(class: &str, id: &str, key: &str, timeout: &str, more: &str) -> String {
    api_request(class, id, timeout, more).replace(&format!("key-{id}"), key)
}

/// Sends a request and waits until the dispatcher has it.
pub fn open_keyed(
    program: &Program,
    class: &str,
    key: &str,
    timeout: &str,
    body: &str,
) -> (TcpStream, String) {
    let id = new_id();
    let stream = begin(program, &head(class, &id, key, timeout, ""), body);
    program.log.wait(&format!("request {id} of class"), 1);
    (stream, id)
}

pub fn outcome(stream: &TcpStream) -> (u16, String) {
    let message = answer(stream).expect("an answer");
    (message.status(), message.body)
}

pub fn ask(program: &Program, class: &str, key: &str, body: &str, more: &str) -> (u16, String) {
    let message = call(program.address, &head(class, &new_id(), key, "5000m", more), body);
    (message.status(), message.body)
}

pub fn done(program: &Program, id: &str, from: &str) {
    let body = json!({"id": id, "from": from, "state": "done", "result": "made once"}).to_string();
    assert_eq!(call(program.address, "POST /v1/job-events HTTP/1.1", &body).status(), 200);
}

/// Keys on both fronts.
pub const BOTH: &str = r#"
[keys]

[faktory]
listen = "127.0.0.1:0"
plaintext = true
member = "mehran-dist"
zone = "hall-a"
kind = "k4-full"

[[faktory.route]]
queue = "waves"
class = "wave-release"
target = "/api?sid=7f3a"
"#;
