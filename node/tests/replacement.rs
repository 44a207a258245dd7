//! Two processes of one dispatcher while one replaces the other: they keep limits and request ids together,
//! whichever is told to end, is killed or stands still.

mod common;

use common::*;
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// The settings' limit of open requests.
const MAX_OPEN: usize = 4;
/// Interval at which a test asks again.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The state while a process is replaced.
struct Replacement {
    runner: Runner,
    _discovery: Discovery,
    config: Value,
    socket: TcpListener,
    old: Program,
    address: SocketAddr,
}

impl Replacement {
    fn start(change: impl FnOnce(&mut Value)) -> Replacement {
        let runner = Runner::start("s-0");
        let discovery = Discovery::start(vec![host("s-0", runner.address, "hall-a", "active")]);
        let mut changed = settings();
        change(&mut changed);
        let mut config = Program::config(discovery.address, changed);
        config["admin_addr"] = "127.0.0.1:0".into();
        let socket = TcpListener::bind("127.0.0.1:0").unwrap();
        config["listen"] = socket.local_addr().unwrap().to_string().into();
        let old = Program::spawn(Program::command_on_socket(&config, &socket, None), false);
        old.admin_address();
        runner.call_back_to(&old);
        let address = old.address;
        Replacement { runner, _discovery: discovery, config, socket, old, address }
    }

    fn start_new(&self) -> Program {
        let command = Program::command_on_socket(&self.config, &self.socket, Some(&self.old));
        let new = Program::spawn(command, false);
        new.admin_address();
        new
    }

    /// Starts the new process and tells the old one to end, which accepts nothing more.
    fn replace(&self) -> Program {
        let new = self.start_new();
        self.old.signal("TERM");
        self.old.log.wait("closing client connections", 1);
        new
    }

    /// Hands in a job that its runner does not finish.
    fn open_job(&self, id: &str) -> TcpStream {
        let client = send_request(&self.old, &api_request("short-pick", id, "5000m", ""), "hang");
        self.runner.events.wait(&format!("POST hang {id}"), 1);
        client
    }

    fn run_job(&self, id: &str, more_headers: &str) -> u16 {
        call(self.address, &api_request("short-pick", id, "5000m", more_headers), "job").status()
    }

    /// Calls back about a job as the runner.
    fn report_done(&self, id: &str) {
        let body = json!({"id": id, "from": "s-0", "state": "done", "result": "made once"}).to_string();
        assert_eq!(call(self.address, "POST /v1/job-events HTTP/1.1", &body).status(), 200);
    }

    /// Waits until a job with a new id is served.
    fn wait_until_served(&self) {
        let began = Instant::now();
        while self.run_job(&new_id(), "") != 200 {
            assert!(began.elapsed() < EVENT_TIMEOUT, "no job is served");
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Guards against twice the limits while a process is replaced (review/10): the new process has what the old one
/// leaves, and the whole once that was killed. Another replacement follows at once.
#[test]
fn both_processes_keep_to_one_limit_and_the_survivor_has_the_whole() {
    let mut replacement = Replacement::start(|settings| settings["limits"]["maxOpen"] = json!(MAX_OPEN));
    let open: Vec<_> = (0..MAX_OPEN).map(|_| replacement.open_job(&new_id())).collect();
    let new = replacement.replace();
    assert_eq!(replacement.run_job(&new_id(), ""), 503, "the old process holds all places");
    replacement.old.child.kill().unwrap();
    replacement.old.child.wait().unwrap();
    replacement.wait_until_served();
    drop(open);
    replacement.old = new;
    let open: Vec<_> = (0..MAX_OPEN).map(|_| replacement.open_job(&new_id())).collect();
    assert_eq!(open.len(), MAX_OPEN, "one process alone has all places");
    let _newest = replacement.replace();
    assert_eq!(replacement.run_job(&new_id(), ""), 503);
}
