//! Helpers shared by the integration tests: the lab's stand-ins and a program with one runner. A word in a
//! job's body selects what the stand-in runner does with the job: `hang` accepts it and never calls back,
//! `mute` gives no answer at all, `early` calls back before the 202, `away` answers 503 with
//! `X-Not-Processed`, `unusable` answers 400, `reset` closes the connection, `error` calls back `failed`. Any
//! other body is served.

#![allow(unused_imports, dead_code, reason = "each test file uses its part")]

pub use sablerun_stand_ins::discovery::PlannedReply;
pub use sablerun_stand_ins::http::{Message, read_message};
pub use sablerun_stand_ins::scripted::*;

use serde_json::json;
use std::io::{BufReader, Write};
use std::net::TcpStream;

/// Starts discovery, one runner and a program that knows it.
pub fn one_runner() -> (Discovery, Runner, Program) {
    one_runner_with_descriptors(1024)
}

/// Starts a program with one runner and the given limit of file descriptors.
pub fn one_runner_with_descriptors(descriptors: u64) -> (Discovery, Runner, Program) {
    let runner = Runner::start("s-0");
    let discovery = Discovery::start(vec![host("s-0", runner.address, "hall-a", "active")]);
    let mut config = Program::config(discovery.address, settings());
    config["limits"]["sockets"] = json!(descriptors);
    let program = Program::start_with(config, None);
    runner.call_back_to(&program);
    (discovery, runner, program)
}

/// Sends a client request to `/api` on a new connection, without waiting for the answer.
pub fn send_api_request(program: &Program, class: &str, id: &str, timeout: &str, body: &str) -> TcpStream {
    send_request(program, &api_request(class, id, timeout, ""), body)
}

/// Sends a complete request on a new connection, without waiting for the answer.
pub fn send_request(program: &Program, head: &str, body: &str) -> TcpStream {
    let mut stream = TcpStream::connect(program.address).unwrap();
    write!(stream, "{head}\r\nHost: t\r\nContent-Length: {}\r\n\r\n{body}", body.len()).unwrap();
    stream
}

/// Reads the answer on a connection; `None` if the connection ends first.
pub fn read_answer(stream: &TcpStream) -> Option<Message> {
    stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
    read_message(&mut BufReader::new(stream.try_clone().unwrap()))
}
