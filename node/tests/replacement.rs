//! Two processes of one dispatcher while one replaces the other: they keep limits and request ids together,
//! whichever is told to end, is killed or stands still.

mod common;
#[path = "common/descriptors.rs"]
mod descriptors;

use common::*;
use descriptors::DescriptorSampler;
use serde_json::{Value, json};
use std::io::Write;
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
        Replacement::start_with_config(|config| change(&mut config["settings"]))
    }

    fn start_with_config(change: impl FnOnce(&mut Value)) -> Replacement {
        let runner = Runner::start("s-0");
        let discovery = Discovery::start(vec![host("s-0", runner.address, "hall-a", "active")]);
        let mut config = Program::config(discovery.address, settings());
        change(&mut config);
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

/// Opens a connection, sends half a request and stays.
fn silent_request(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    let _ = stream.write_all(b"POST /api HTTP/1.1\r\n");
    stream
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

/// Guards against a limit that stays divided when it is the new process that ends.
#[test]
fn the_old_process_has_the_whole_again_when_the_new_one_dies() {
    let replacement = Replacement::start(|settings| settings["limits"]["maxOpen"] = json!(MAX_OPEN));
    let mut new = replacement.start_new();
    new.child.kill().unwrap();
    new.child.wait().unwrap();
    let open: Vec<_> = (0..MAX_OPEN).map(|_| replacement.open_job(&new_id())).collect();
    assert_eq!(open.len(), MAX_OPEN);
    // The next one finds all places taken.
    let _next = replacement.replace();
    assert_eq!(replacement.run_job(&new_id(), ""), 503);
}

/// Guards against places being given away that a process holds which stands still.
#[test]
fn a_stalled_process_keeps_the_places_of_its_open_requests() {
    let replacement = Replacement::start(|settings| settings["limits"]["maxOpen"] = json!(MAX_OPEN));
    let _open: Vec<_> = (0..MAX_OPEN).map(|_| replacement.open_job(&new_id())).collect();
    let _new = replacement.replace();
    replacement.old.signal("STOP");
    assert_eq!(replacement.run_job(&new_id(), ""), 503);
    replacement.old.signal("CONT");
}

/// Guards against twice the descriptors while a process is replaced under hundreds of connections.
#[test]
fn both_processes_together_keep_to_the_limit_of_descriptors() {
    const DESCRIPTORS: usize = 256;
    const CONNECTIONS: usize = 300;
    let mut replacement = Replacement::start_with_config(|config| {
        config["limits"]["sockets"] = json!(DESCRIPTORS);
    });
    let _connections: Vec<_> = (0..CONNECTIONS).map(|_| silent_request(replacement.address)).collect();
    let old = replacement.old.child.id();
    let sampler = DescriptorSampler::start(old);
    let new = replacement.start_new();
    sampler.add(new.child.id());
    let _more: Vec<_> = (0..CONNECTIONS).map(|_| silent_request(replacement.address)).collect();
    replacement.old.signal("TERM");
    assert!(replacement.old.child.wait().unwrap().success());
    replacement.wait_until_served();
    let most = sampler.stop();
    assert!(most <= DESCRIPTORS, "{most} descriptors of {DESCRIPTORS}");
    drop(new);
}

/// Guards against another client's open id at the other process (review/6), also under another member or class:
/// both clients got each other's results.
#[test]
fn an_id_that_is_open_at_the_old_process_is_taken_at_the_new_one() {
    let mut replacement = Replacement::start(|_| {});
    let id = new_id();
    let client = replacement.open_job(&id);
    let _new = replacement.replace();
    assert_eq!(replacement.run_job(&id, ""), 502);
    let head = api_request("bin-check", &id, "5000m", "").replace("mehran-dist", "ravi-supply");
    assert_eq!(call(replacement.address, &head, "job").status(), 502);
    assert_eq!(replacement.run_job(&new_id(), ""), 200);
    replacement.report_done(&id);
    let answer = read_answer(&client).unwrap();
    assert_eq!((answer.status(), answer.body.as_str()), (200, "made once"));
    assert!(replacement.old.child.wait().unwrap().success());
    assert_eq!(replacement.run_job(&id, ""), 200, "free again once the first has ended");
}

/// Guards against the same while the old process stands still, and after it was killed: its job may still run.
#[test]
fn the_ids_of_a_stalled_or_killed_process_stay_taken() {
    let mut replacement = Replacement::start(|_| {});
    let id = new_id();
    let _client = replacement.open_job(&id);
    let _new = replacement.replace();
    replacement.old.signal("STOP");
    assert_eq!(replacement.run_job(&id, ""), 502);
    assert_eq!(replacement.run_job(&new_id(), ""), 200);
    replacement.old.child.kill().unwrap();
    replacement.old.child.wait().unwrap();
    assert_eq!(replacement.run_job(&id, ""), 502);
    assert_eq!(replacement.run_job(&new_id(), ""), 200);
}

/// Guards against the same where one id arrives at both processes within milliseconds: the runner gets it once.
#[test]
fn an_id_that_arrives_at_both_processes_at_once_is_sent_once() {
    const PAIRS: usize = 25;
    let replacement = Replacement::start(|_| {});
    let _new = replacement.start_new();
    let ids: Vec<_> = (0..PAIRS).map(|_| new_id()).collect();
    let send = |id: &String| {
        let head = api_request("short-pick", id, "2000m", "");
        let address = replacement.address;
        std::thread::spawn(move || call(address, &head, "hang").status())
    };
    let clients: Vec<_> = ids.iter().flat_map(|id| [send(id), send(id)]).collect();
    let statuses: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    assert_eq!(statuses.iter().filter(|status| **status == 200).count(), 0);
    let sent: Vec<_> =
        ids.iter().map(|id| replacement.runner.events.count(&format!("POST hang {id}"))).collect();
    assert!(sent.contains(&1) && sent.iter().all(|count| *count <= 1), "{sent:?}");
}
