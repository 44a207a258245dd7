//! The lab's stand-ins, under the name by which the tests know them.

#![allow(unused_imports, dead_code, reason = "each test file uses its part")]

pub use sablerun_stand_ins::discovery::PlannedReply;
pub use sablerun_stand_ins::http::{Message, read_message};
pub use sablerun_stand_ins::scripted::*;

use serde_json::json;
use std::io::{BufReader, Write};
use std::net::TcpStream;

pub fn one_runner() -> (Discovery, Runner, Program) {
    one_runner_on(1024)
}

/// The same with so many descriptors for the program.
pub fn one_runner_on(sockets: u64) -> (Discovery, Runner, Program) {
    let runner = Runner::start("s-0");
    let discovery = Discovery::start(vec![host("s-0", runner.address, "hall-a", "active")]);
    let mut config = Program::config(discovery.address, settings());
    config["limits"]["sockets"] = json!(sockets);
    let program = Program::start_with(config, None);
    runner.call_back_to(&program);
    (discovery, runner, program)
}

pub fn open(program: &Program, class: &str, id: &str, timeout: &str, body: &str) -> TcpStream {
    begin(program, &api_request(class, id, timeout, ""), body)
}

/// Writes a request whole, on a connection of its own.
pub fn begin(program: &Program, head: &str, body: &str) -> TcpStream {
    let mut stream = TcpStream::connect(program.address).unwrap();
    write!(stream, "{head}\r\nHost: t\r\nContent-Length: {}\r\n\r\n{body}", body.len()).unwrap();
    stream
}

pub fn answer(stream: &TcpStream) -> Option<Message> {
    stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
    read_message(&mut BufReader::new(stream.try_clone().unwrap()))
}
