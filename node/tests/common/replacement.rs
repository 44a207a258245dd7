//! A dispatcher whose process is replaced, on a socket that the test holds as the platform does.

#![allow(dead_code, reason = "each test file uses its part")]

use crate::common::*;
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::time::{Duration, Instant};

/// Interval at which a test asks again.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Adds an operator's file with this text to a command.
pub fn with_operator(mut command: Command, operator: Option<&str>) -> Command {
    if let Some(text) = operator {
        let file = test_dir().join("operator.toml");
        std::fs::write(&file, text).unwrap();
        command.arg("--config").arg(file);
    }
    command
}

/// The state while a process is replaced.
pub struct Replacement {
    pub runner: Runner,
    pub _discovery: Discovery,
    pub config: Value,
    pub operator: Option<&'static str>,
    pub socket: TcpListener,
    pub old: Program,
    pub address: SocketAddr,
}

impl Replacement {
    pub fn start(change: impl FnOnce(&mut Value)) -> Replacement {
        Replacement::start_with_config(|config| change(&mut config["settings"]))
    }

    pub fn start_with_config(change: impl FnOnce(&mut Value)) -> Replacement {
        Replacement::start_with(change, None)
    }

    pub fn start_with(change: impl FnOnce(&mut Value), operator: Option<&'static str>) -> Replacement {
        let runner = Runner::start("s-0");
        let discovery = Discovery::start(vec![host("s-0", runner.address, "hall-a", "active")]);
        let mut config = Program::config(discovery.address, settings());
        change(&mut config);
        config["admin_addr"] = "127.0.0.1:0".into();
        let socket = TcpListener::bind("127.0.0.1:0").unwrap();
        config["listen"] = socket.local_addr().unwrap().to_string().into();
        let command = with_operator(Program::command_on_socket(&config, &socket, None), operator);
        let old = Program::spawn(command, false);
        old.admin_address();
        runner.call_back_to(&old);
        let address = old.address;
        Replacement { runner, _discovery: discovery, config, operator, socket, old, address }
    }

    pub fn start_new(&self) -> Program {
        let command = Program::command_on_socket(&self.config, &self.socket, Some(&self.old));
        let command = with_operator(command, self.operator);
        let new = Program::spawn(command, false);
        new.admin_address();
        new
    }

    /// Starts the new process and tells the old one to end, which accepts nothing more.
    pub fn replace(&self) -> Program {
        let new = self.start_new();
        self.old.signal("TERM");
        self.old.log.wait("closing client connections", 1);
        new
    }

    /// Hands in a job that its runner does not finish.
    pub fn open_job(&self, id: &str) -> TcpStream {
        let client = send_request(&self.old, &api_request("short-pick", id, "5000m", ""), "hang");
        self.runner.events.wait(&format!("POST hang {id}"), 1);
        client
    }

    pub fn run_job(&self, id: &str, more_headers: &str) -> u16 {
        call(self.address, &api_request("short-pick", id, "5000m", more_headers), "job").status()
    }

    /// Calls back about a job as the runner.
    pub fn report_done(&self, id: &str) {
        let body = json!({"id": id, "from": "s-0", "state": "done", "result": "made once"}).to_string();
        assert_eq!(call(self.address, "POST /v1/job-events HTTP/1.1", &body).status(), 200);
    }

    /// Waits until a job with a new id is served.
    pub fn wait_until_served(&self) {
        let began = Instant::now();
        while self.run_job(&new_id(), "") != 200 {
            assert!(began.elapsed() < EVENT_TIMEOUT, "no job is served");
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}
