//! Starts the program and stands in for what it speaks to: discovery, the platform's runners and
//! clients, Faktory workers and clients. Each is written from the public pages of its protocol, does
//! what a job's text says, and waits for events, never for a time to pass.

#![allow(dead_code, reason = "each test file uses its part")]

use serde_json::{Value, json};
use std::collections::{HashMap, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::Duration;

/// Longest that any wait for an event may take before the test fails.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Things that happened, for a test to wait on.
#[derive(Clone, Default)]
pub struct Events(Arc<(Mutex<Vec<String>>, Condvar)>);

impl Events {
    pub fn push(&self, event: impl Into<String>) {
        self.0.0.lock().unwrap().push(event.into());
        self.0.1.notify_all();
    }

    pub fn all(&self) -> Vec<String> {
        self.0.0.lock().unwrap().clone()
    }

    pub fn count(&self, part: &str) -> usize {
        self.all().iter().filter(|event| event.contains(part)).count()
    }

    /// Waits until this many events hold the text; the last of them.
    pub fn wait(&self, part: &str, times: usize) -> String {
        let found =
            |all: &Vec<String>| all.iter().filter(|event| event.contains(part)).nth(times - 1).cloned();
        let (all, _) = self
            .0
            .1
            .wait_timeout_while(self.0.0.lock().unwrap(), PATIENCE, |all| found(all).is_none())
            .unwrap();
        found(&all).unwrap_or_else(|| panic!("no {part:?} x{times} among {all:#?}"))
    }
}

pub fn settings() -> Value {
    json!({
        "balancers": 1, "me": 0, "clientHabits": {"marksRetry": true},
        "extra": {"classKind": [-1, -1, -1, -1], "classStretch": [2.0, 2.0, 1.75, 1.75], "progress": 0,
                  "reportX0": "free slots", "reportX1": "free memory", "tellsStart": true},
        "failureDomains": ["hall-a", "hall-b", "hall-c"], "kinds": ["k4-full", "k4-slow"],
        "limits": {"cancel": true, "connIdle": 10_000_000_000u64, "connectTimeout": 250_000_000,
                   "maxOpen": 28486, "maxRetryAfter": 2_000_000_000, "parallelTries": true,
                   "probing": false, "retryAfter": true, "tryLimit": 5},
        "membershipMode": "on_request", "overShareWorth": 0.05,
        "prices": {"crossZone": 0.03, "handshake": 0.02, "lateFail": 0.074, "probe": 0.0018, "waste": 0.04},
        "projects": [{"name": "mehran-dist", "quotaPerS": 5000.0, "share": 0.6},
                     {"name": "ravi-supply", "quotaPerS": 5000.0, "share": 0.4}],
        "reporting": {"fields": ["errors_per_s", "recent_ms", "outstanding", "x0"], "how": "piggyback"},
        "rules": {"answerSlack": 16_000_000, "askWithin": 10_000_000_000u64, "coldFrom": 0.99,
                  "drainGrace": 500_000_000, "fall": 1_000_000_000, "fallMultiple": 1000.0, "warmAfter": 1},
        "services": [
            {"deadline": 5_000_000_000u64, "group": "all", "importance": 2.0, "lateWorth": 0.0,
             "name": "pick-route", "objective": 1_000_000_000, "repeat": "retryable", "window": 5_000_000_000u64},
            {"deadline": 5_000_000_000u64, "group": "all", "importance": 1.0, "lateWorth": 0.0,
             "name": "bin-check", "objective": 1_000_000_000, "repeat": "retryable", "window": 5_000_000_000u64},
            {"deadline": 6_000_000_000u64, "group": "zone", "importance": 10.0, "lateWorth": 0.0,
             "name": "wave-release", "objective": 1_000_000_000, "repeat": "dedup", "window": 10_000_000_000u64},
            {"deadline": 6_000_000_000u64, "group": "all", "importance": 3.0, "lateWorth": 0.0,
             "name": "short-pick", "objective": 1_000_000_000, "repeat": "dedup", "window": 10_000_000_000u64}],
        "tick": 4_000_000, "weights": "nominal", "worthBy": "work", "zone": "hall-a",
        "key that no version knows": {"is": "ignored"}
    })
}

/// The operator's file of most tests.
pub const GATEWAY: &str = r#"
listen = "127.0.0.1:0"
plaintext = true
member = "ravi-supply"
zone = "hall-a"
kind = "k4-full"
fetch_wait_ms = 200

[[route]]
queue = "routes"
class = "pick-route"

[[route]]
queue = "waves"
class = "wave-release"

[[route]]
queue = "picks"
jobtype = "ShortPick"
class = "short-pick"
"#;

/// A folder for one test's files.
pub fn folder() -> PathBuf {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// The program, started.
pub struct Program {
    pub child: Child,
    pub at: SocketAddr,
    pub faktory: Option<SocketAddr>,
    pub log: Events,
    /// The file of its configuration.
    pub config: PathBuf,
}

impl Program {
    pub fn command(config: &Value, gateway: Option<&str>) -> Command {
        let folder = folder();
        std::fs::write(folder.join("config.json"), config.to_string()).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_sablerun"));
        command.env("NODE_CONFIG", folder.join("config.json")).env("RUST_LOG", "debug");
        command.stderr(Stdio::piped()).stdout(Stdio::null()).stdin(Stdio::null());
        if let Some(text) = gateway {
            std::fs::write(folder.join("gateway.toml"), text).unwrap();
            command.arg("--gateway").arg(folder.join("gateway.toml"));
        }
        command
    }

    pub fn config(discovery: SocketAddr, settings: Value) -> Value {
        json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
               "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
               "known": {"seq": 0, "whole": true, "hosts": []}, "settings": settings, "unknown": 1})
    }

    /// Starts it and waits until it is ready and has heard from discovery.
    pub fn start(discovery: &Discovery, settings: Value, gateway: Option<&str>) -> Program {
        Program::start_with(Program::config(discovery.at, settings), gateway)
    }

    pub fn start_with(config: Value, gateway: Option<&str>) -> Program {
        let command = Program::command(&config, gateway);
        Program::spawn(command, gateway.is_some_and(|text| text.contains("listen")))
    }

    /// Starts a command that was made ready, and waits likewise.
    pub fn spawn(mut command: Command, faktory: bool) -> Program {
        let config = command.get_envs().find(|(name, _)| *name == "NODE_CONFIG").unwrap().1.unwrap().into();
        let mut child = command.spawn().unwrap();
        let (log, lines) = (Events::default(), BufReader::new(child.stderr.take().unwrap()));
        let told = log.clone();
        thread::spawn(move || lines.lines().map_while(Result::ok).for_each(|line| told.push(line)));
        let after = |line: String, word: &str| {
            let rest = line.split_once(word).unwrap().1;
            rest.split([' ', ',']).next().unwrap().parse::<SocketAddr>().unwrap()
        };
        let at = after(log.wait("ready on ", 1), "ready on ");
        let faktory = faktory.then(|| after(log.wait("faktory on ", 1), "faktory on "));
        log.wait("list Full", 1);
        Program { child, at, faktory, log, config }
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("/bin/kill").args(["-s", name, &id]).status().unwrap().success());
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An HTTP message as it came.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: String,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).unwrap().parse().unwrap()
    }
}

/// Reads one message; `None` at the end of the stream.
pub fn read_message(from: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match (line.trim_end(), message.first.is_empty()) {
            ("", true) => {}
            ("", false) => break,
            (line, true) => message.first = line.to_owned(),
            (line, false) => {
                let (name, value) = line.split_once(':')?;
                message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
        }
    }
    let length = message.headers.get("content-length").map_or(0, |text| text.parse().unwrap());
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    message.body = String::from_utf8(body).unwrap();
    Some(message)
}

/// One exchange on a connection of its own.
pub fn call(at: SocketAddr, head: &str, body: &str) -> Message {
    let mut stream = TcpStream::connect(at).unwrap();
    write!(stream, "{head}\r\nHost: t\r\nContent-Length: {}\r\n\r\n{body}", body.len()).unwrap();
    read_message(&mut BufReader::new(stream)).expect("an answer")
}

/// Version, hosts and open watches.
type Told = (u64, Vec<Value>, Vec<TcpStream>);

/// Discovery: tells the whole list first, then the changes that a test makes.
pub struct Discovery {
    pub at: SocketAddr,
    pub calls: Events,
    state: Arc<Mutex<Told>>,
}

pub fn host(name: &str, dial: SocketAddr, site: &str, health: &str) -> Value {
    json!({"host": name, "dial": dial.to_string(), "site": site, "class": "k4-full", "block": 0,
           "health": health, "share": 1.0, "born_ms": 0})
}

impl Discovery {
    pub fn start(hosts: Vec<Value>) -> Discovery {
        Discovery::planned(hosts, &[])
    }

    /// Its first calls go as planned: `503`, `reset`, or `silent` (the list, and no line after it).
    pub fn planned(hosts: Vec<Value>, plan: &[&'static str]) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new((1, hosts, Vec::new())));
        let (calls, shared) = (Events::default(), state.clone());
        let mut plan: VecDeque<_> = plan.iter().copied().collect();
        let calls_of = calls.clone();
        thread::spawn(move || {
            let mut silent = Vec::new();
            for stream in listener.incoming().map_while(Result::ok) {
                let Some(call) = read_message(&mut BufReader::new(stream.try_clone().unwrap())) else {
                    continue;
                };
                calls_of.push(call.first);
                let (mut state, mut stream) = (shared.lock().unwrap(), stream);
                let planned = plan.pop_front();
                match planned {
                    Some("503") => {
                        write!(stream, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").unwrap();
                        continue;
                    }
                    Some("reset") => continue,
                    _ => {}
                }
                write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap();
                let list = json!({"seq": state.0, "whole": true, "hosts": state.1}).to_string();
                write_chunks(&mut stream, &format!("{list}\n"));
                let watches = if planned == Some("silent") { &mut silent } else { &mut state.2 };
                watches.push(stream);
            }
        });
        let quiet = state.clone();
        thread::spawn(move || {
            // The empty lines of a watch on which nothing changes.
            loop {
                thread::sleep(Duration::from_millis(500));
                quiet.lock().unwrap().2.retain_mut(|stream| stream.write_all(b"1\r\n\n\r\n").is_ok());
            }
        });
        Discovery { at, calls, state }
    }

    /// Writes a change to every watch.
    pub fn tell(&self, hosts: &[Value]) {
        let mut state = self.state.lock().unwrap();
        state.0 += 1;
        let line = json!({"seq": state.0, "whole": false, "hosts": hosts}).to_string();
        state.2.iter_mut().for_each(|stream| write_chunks(stream, &format!("{line}\n")));
    }

    /// Breaks every watch.
    pub fn break_watches(&self) {
        self.state.lock().unwrap().2.clear();
    }
}

/// Writes a text in chunks that end anywhere.
fn write_chunks(stream: &mut TcpStream, text: &str) {
    for part in text.as_bytes().chunks(37) {
        let _ = write!(stream, "{:x}\r\n{}\r\n", part.len(), std::str::from_utf8(part).unwrap());
        let _ = stream.flush();
    }
}

/// A runner of the platform. A job's text says what becomes of it: `serve`, `error`, `away`, `reset`,
/// `hang` (taken, and nothing more), `early` (the call-back comes before the 202), `mute` (no 202),
/// `unusable` (400).
pub struct Runner {
    pub at: SocketAddr,
    /// `POST word id`, `DELETE id`.
    pub seen: Events,
    dispatcher: Arc<OnceLock<SocketAddr>>,
}

impl Runner {
    pub fn start(name: &str) -> Runner {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let (seen, dispatcher) = (Events::default(), Arc::new(OnceLock::new()));
        let (told, to, name) = (seen.clone(), dispatcher.clone(), name.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (told, to, name) = (told.clone(), to.clone(), name.clone());
                thread::spawn(move || Runner::serve(stream, &name, &told, &to));
            }
        });
        Runner { at, seen, dispatcher }
    }

    pub fn call_back_to(&self, program: &Program) {
        self.dispatcher.set(program.at).unwrap();
    }

    fn serve(stream: TcpStream, name: &str, seen: &Events, to: &OnceLock<SocketAddr>) {
        let (mut reader, mut stream) = (BufReader::new(stream.try_clone().unwrap()), stream);
        while let Some(request) = read_message(&mut reader) {
            let mut say = |status: &str| {
                let _ = write!(stream, "HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
            };
            if let Some(rest) = request.first.strip_prefix("DELETE /jobs/") {
                say("200 OK");
                seen.push(format!("DELETE {}", rest.split(' ').next().unwrap()));
                continue;
            }
            let id = request.headers["x-request-id"].clone();
            let word = word_of(&request.body);
            seen.push(format!("POST {word} {id} {} {}", request.first, request.body));
            let back = |state: &str, more: Value| {
                let mut body = json!({"id": id, "from": name, "state": state, "result": more});
                body["load"] = json!({"outstanding": 1, "recent_ms": 10.0, "x0": 4, "errors_per_s": 0});
                call(*to.get().unwrap(), "POST /v1/job-events HTTP/1.1", &body.to_string())
            };
            match word {
                "mute" => {}
                "reset" => return,
                "unusable" => say("400 Bad Request"),
                "away" => say("503 Service Unavailable\r\nX-Not-Processed: 1"),
                "hang" => say("202 Accepted"),
                "early" => {
                    assert_eq!(back("done", json!(format!("by {name}"))).status(), 200);
                    say("202 Accepted");
                }
                _ => {
                    say("202 Accepted");
                    back("started", Value::Null);
                    let state = if word == "error" { "failed" } else { "done" };
                    // A call-back may come more than once.
                    for _ in 0..2 {
                        let answer = back(state, json!(format!("by {name}")));
                        seen.push(format!("{state} {id} -> {}", answer.status()));
                    }
                }
            }
        }
        seen.push("closed");
    }
}

fn word_of(text: &str) -> &'static str {
    let words = ["error", "away", "reset", "hang", "early", "mute", "unusable"];
    words.into_iter().find(|word| text.contains(word)).unwrap_or("serve")
}

/// A client's request on the platform's front.
pub fn api(class: &str, id: &str, timeout: &str, more: &str) -> String {
    format!(
        "POST /api?sid=7f3a HTTP/1.1\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
         X-Tenant-Id: mehran-dist\r\nX-Timeout: {timeout}\r\nIdempotency-Key: key-{id}{more}"
    )
}

/// An id that no other job of this test run has.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// One side of a Faktory conversation.
pub struct Caller<S: Read + Write> {
    pub stream: BufReader<S>,
}

impl Caller<TcpStream> {
    /// Connects and says HELLO, as a worker if there is a wid.
    pub fn connect(at: SocketAddr, wid: Option<&str>) -> Caller<TcpStream> {
        let mut caller = Caller { stream: BufReader::new(TcpStream::connect(at).unwrap()) };
        caller.hello(wid);
        caller
    }
}

impl<S: Read + Write> Caller<S> {
    pub fn hello(&mut self, wid: Option<&str>) {
        assert_eq!(self.line().unwrap(), "+HI {\"v\":2}");
        let hello = json!({"hostname": "t", "wid": wid, "pid": 1, "labels": [], "v": 2});
        assert_eq!(self.say(&format!("HELLO {hello}")), "+OK");
    }

    pub fn send(&mut self, line: &str) {
        self.stream.get_mut().write_all(format!("{line}\r\n").as_bytes()).unwrap();
        self.stream.get_mut().flush().unwrap();
    }

    pub fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        (self.stream.read_line(&mut line).unwrap_or(0) > 0).then(|| line.trim_end().to_owned())
    }

    /// Sends a command; the first line of its reply.
    pub fn say(&mut self, line: &str) -> String {
        self.send(line);
        self.line().unwrap_or_default()
    }

    /// One FETCH; the job, if there was one.
    pub fn fetch(&mut self, queues: &str) -> Option<Value> {
        self.send(&format!("FETCH {queues}"));
        self.fetched()
    }

    /// What a FETCH that was sent comes back with.
    pub fn fetched(&mut self) -> Option<Value> {
        let length: usize = self.line()?.strip_prefix('$')?.parse().ok()?;
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
        let (mut caller, seen, wid) = (Caller::connect(at, Some(wid)), seen.clone(), wid.to_owned());
        thread::spawn(move || {
            loop {
                caller.send("FETCH routes waves picks");
                let Some(job) = caller.fetched() else {
                    if caller.stream.get_ref().peer_addr().is_err() {
                        return;
                    }
                    if caller.say(&format!("BEAT {}", json!({"wid": wid}))) != "+OK" {
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
                        caller = Caller::connect(at, Some(&wid));
                        continue;
                    }
                    "error" => caller.say(&format!("FAIL {}", json!({"jid": jid, "message": "no"}))),
                    // Nobody waits for it any more by the time that a later job is done.
                    "hang" | "mute" => continue,
                    _ => caller.say(&format!("ACK {}", json!({"jid": jid, "result": format!("by {wid}")}))),
                };
                seen.push(format!("{wid} told {word} {jid} -> {reply}"));
            }
        });
    }
}
