//! Two halls with one runner each, and clients that send idempotency keys.

#![allow(dead_code, reason = "each test file uses its part")]

use crate::common::*;
use serde_json::json;
use std::net::TcpStream;

/// Operator settings with idempotency keys and no Faktory front.
pub const KEYS_ON_HTTP: &str = "[keys]\nkey_bytes = 256\n";

/// Two halls with one runner each, both known to discovery.
pub struct TwoHalls {
    pub discovery: Discovery,
    pub runners: [Runner; 2],
}

impl TwoHalls {
    pub fn start() -> TwoHalls {
        let runners = [Runner::start("s-0"), Runner::start("s-1")];
        let hosts = [("s-0", "hall-a"), ("s-1", "hall-b")];
        let hosts = hosts.iter().zip(&runners).map(|((name, hall), r)| host(name, r.address, hall, "active"));
        TwoHalls { discovery: Discovery::start(hosts.collect()), runners }
    }

    pub fn program(&self, operator: &str) -> Program {
        let program = Program::start(&self.discovery, settings(), Some(operator));
        self.runners.iter().for_each(|runner| runner.call_back_to(&program));
        program
    }

    /// Returns how many jobs with this behaviour the runners received.
    pub fn jobs_received(&self, behaviour: &str) -> usize {
        self.runners.iter().map(|runner| runner.events.count(&format!("POST {behaviour}"))).sum()
    }

    /// Waits for a job with this behaviour at either runner and returns the index of that runner.
    pub fn wait_for_job(&self, behaviour: &str) -> usize {
        // Polled, since either runner may receive the job.
        for _ in 0..4000 {
            if let Some(index) =
                self.runners.iter().position(|r| r.events.count(&format!("POST {behaviour}")) > 0)
            {
                return index;
            }
            std::thread::sleep(std::time::Duration::from_millis(5));
        }
        panic!("no runner received {behaviour}");
    }
}

/// Returns the head of a client request with this idempotency key.
pub fn request_head(class: &str, id: &str, key: &str, timeout: &str, more_headers: &str) -> String {
    api_request(class, id, timeout, more_headers).replace(&format!("key-{id}"), key)
}

/// Sends a request and waits until the dispatcher has logged it.
pub fn open_keyed(
    program: &Program,
    class: &str,
    key: &str,
    timeout: &str,
    body: &str,
) -> (TcpStream, String) {
    let id = new_id();
    let stream = send_request(program, &request_head(class, &id, key, timeout, ""), body);
    program.log.wait(&format!("request {id} of class"), 1);
    (stream, id)
}

/// Returns the status and body of the answer on a connection.
pub fn read_result(stream: &TcpStream) -> (u16, String) {
    let message = read_answer(stream).expect("an answer");
    (message.status(), message.body)
}

/// Sends a request with a new id and returns the status and body of its answer.
pub fn send_keyed(
    program: &Program,
    class: &str,
    key: &str,
    body: &str,
    more_headers: &str,
) -> (u16, String) {
    let message = call(program.address, &request_head(class, &new_id(), key, "5000m", more_headers), body);
    (message.status(), message.body)
}

/// Calls back as the runner `from`: the job is done.
pub fn report_done(program: &Program, id: &str, from: &str) {
    let body = json!({"id": id, "from": from, "state": "done", "result": "made once"}).to_string();
    assert_eq!(call(program.address, "POST /v1/job-events HTTP/1.1", &body).status(), 200);
}

/// Operator settings with idempotency keys on both fronts.
pub const KEYS_ON_BOTH_FRONTS: &str = r#"
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
