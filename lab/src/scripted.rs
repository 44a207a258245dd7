//! Stand-ins that do as a test says: a dispatcher started for it, discovery, runners that do what a job's
//! text says, Faktory workers and clients. Their faces block, as tests do; what serves stands on the same
//! HTTP and the same discovery as the experiments'. They wait for events, never for a time to pass, and
//! panic where a test would.

#![allow(missing_docs, reason = "the tests' own words")]

use crate::discovery::Planned;
use crate::experiment::{Class, Group};
use crate::fleet::{program, settings_of};
use crate::http::{self, Connection, Message, exchange};
use command_fds::{CommandFdExt, FdMapping};
use serde_json::{Value, json};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

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

/// The settings of most tests: one dispatcher, four classes, of which the last two are keyed.
pub fn settings() -> Value {
    let class = |name: &str, worth, deadline_ms, group, window_ms| Class {
        name: name.to_owned(),
        rate_per_s: 0.0,
        work_ms: [0.0; 2],
        slots: 1,
        objective_ms: 1000,
        deadline_ms,
        worth,
        group,
        window_ms,
    };
    let classes = [
        class("pick-route", 2.0, 5000, None, 5000),
        class("bin-check", 1.0, 5000, None, 5000),
        class("wave-release", 10.0, 6000, Some(Group::Zone), 10_000),
        class("short-pick", 3.0, 6000, Some(Group::All), 10_000),
    ];
    let mut settings = settings_of(&classes, &["hall-a", "hall-b", "hall-c"], "hall-a");
    for project in settings["projects"].as_array_mut().into_iter().flatten() {
        project["quotaPerS"] = json!(5000.0);
    }
    settings["extra"]["classStretch"] = json!([2.0, 2.0, 1.75, 1.75]);
    settings
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
    let own = std::env::current_exe().unwrap();
    let folder = own.with_file_name("tmp").join(format!("{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// The program, started.
pub struct Program {
    pub child: Child,
    pub at: SocketAddr,
    pub faktory: Option<SocketAddr>,
    pub log: Events,
    /// The file of its configuration, and its `$TMPDIR`.
    pub config: PathBuf,
    pub folder: PathBuf,
}

impl Program {
    pub fn command(config: &Value, gateway: Option<&str>) -> Command {
        let folder = folder();
        std::fs::write(folder.join("config.json"), config.to_string()).unwrap();
        let mut command = Command::new(program().unwrap());
        command.env("NODE_CONFIG", folder.join("config.json")).env("RUST_LOG", "debug");
        // Private, as the platform's is: what a process keeps there is for its successor alone.
        command.env("TMPDIR", &folder);
        command.stderr(Stdio::piped()).stdout(Stdio::null()).stdin(Stdio::null());
        if let Some(text) = gateway {
            std::fs::write(folder.join("gateway.toml"), text).unwrap();
            command.arg("--gateway").arg(folder.join("gateway.toml"));
        }
        command
    }

    /// A command for a process on a clients' socket that the caller holds, as the platform does; with the
    /// `$TMPDIR` of a process that it replaces, where one is named.
    pub fn command_on(config: &Value, socket: &std::net::TcpListener, replaces: Option<&Program>) -> Command {
        let mut command = Program::command(config, None);
        if let Some(old) = replaces {
            command.env("TMPDIR", &old.folder);
        }
        let parent_fd = socket.try_clone().unwrap().into();
        command.fd_mappings(vec![FdMapping { parent_fd, child_fd: 5 }]).unwrap();
        command.env("NODE_LISTEN_FD", "5");
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
    pub fn spawn(command: Command, faktory: bool) -> Program {
        Program::spawn_until(command, faktory, "list Full")
    }

    /// The same, and waits for another word of its log than of its first list.
    pub fn spawn_until(mut command: Command, faktory: bool, word: &str) -> Program {
        let told = |what: &str| {
            let told = command.get_envs().find(|(name, _)| *name == what).unwrap().1.unwrap();
            PathBuf::from(told)
        };
        let (config, folder) = (told("NODE_CONFIG"), told("TMPDIR"));
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
        log.wait(word, 1);
        Program { child, at, faktory, log, config, folder }
    }

    /// Where its operators' door is.
    pub fn door(&self) -> SocketAddr {
        let line = self.log.wait("operators' door on ", 1);
        line.split_once("operators' door on ").unwrap().1.trim().parse().unwrap()
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

/// One exchange on a connection of its own.
pub fn call(at: SocketAddr, head: &str, body: &str) -> Message {
    exchange(at, head, body).expect("an answer")
}

/// What runs the stand-ins of tests, whose own code blocks.
fn background() -> &'static Runtime {
    static RUNTIME: OnceLock<Runtime> = OnceLock::new();
    RUNTIME.get_or_init(|| Runtime::new().unwrap())
}

/// An entry of discovery's list.
pub fn host(name: &str, dial: SocketAddr, site: &str, health: &str) -> Value {
    json!({"host": name, "dial": dial.to_string(), "site": site, "class": "k4-full", "block": 0,
           "health": health, "share": 1.0, "born_ms": 0})
}

/// Discovery for one dispatcher: tells the whole list first, then the changes that a test makes.
pub struct Discovery {
    pub at: SocketAddr,
    pub calls: Events,
    service: crate::discovery::Discovery,
}

impl Discovery {
    pub fn start(hosts: Vec<Value>) -> Discovery {
        Discovery::planned(hosts, &[])
    }

    /// Its first calls go as planned.
    pub fn planned(hosts: Vec<Value>, plan: &[Planned]) -> Discovery {
        let service = background().block_on(crate::discovery::Discovery::planned(vec![hosts], plan)).unwrap();
        Discovery { at: service.at[0], calls: service.calls.clone(), service }
    }

    /// Tells every watch of a change.
    pub fn tell(&self, hosts: &[Value]) {
        self.service.tell(&[hosts.to_vec()]);
    }

    /// Goes on where the plan has it wait for that.
    pub fn resume(&self) {
        self.service.resume();
    }

    /// Begins to count its versions anew, with this list.
    pub fn restart(&self, hosts: Vec<Value>) {
        self.service.restart(vec![hosts]);
    }

    /// Breaks every watch.
    pub fn break_watches(&self) {
        self.service.break_watches();
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
        let listener = background().block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
        let at = listener.local_addr().unwrap();
        let (seen, dispatcher) = (Events::default(), Arc::new(OnceLock::new()));
        let (told, to, name) = (seen.clone(), dispatcher.clone(), name.to_owned());
        background().spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (told, to, name) = (told.clone(), to.clone(), name.clone());
                tokio::spawn(async move {
                    let _ = Runner::serve(Connection::new(stream), &name, &told, &to).await;
                });
            }
        });
        Runner { at, seen, dispatcher }
    }

    pub fn call_back_to(&self, program: &Program) {
        self.dispatcher.set(program.at).unwrap();
    }

    async fn serve(
        mut connection: Connection,
        name: &str,
        seen: &Events,
        to: &OnceLock<SocketAddr>,
    ) -> io::Result<()> {
        while let Some(request) = connection.read().await? {
            if let Some(id) = request.target.strip_prefix("/jobs/") {
                connection.write("HTTP/1.1 200 OK", b"").await?;
                seen.push(format!("DELETE {id}"));
                continue;
            }
            let id = request.header("x-request-id").to_owned();
            let word = word_of(&request.body);
            seen.push(format!("POST {word} {id} POST {} HTTP/1.1 {}", request.target, request.body));
            let back = async |state: &str, more: Value| {
                let mut body = json!({"id": id, "from": name, "state": state, "result": more});
                body["load"] = json!({"outstanding": 1, "recent_ms": 10.0, "x0": 4, "errors_per_s": 0});
                let head = "POST /v1/job-events HTTP/1.1\r\nHost: t";
                let at = *to.get().unwrap();
                http::call(at, head, body.to_string().as_bytes(), PATIENCE).await.map(|answer| answer.status)
            };
            match word {
                "mute" => {}
                "reset" => return Ok(()),
                "unusable" => connection.write("HTTP/1.1 400 Bad Request", b"").await?,
                "away" => {
                    connection.write("HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1", b"").await?;
                }
                "hang" => connection.write("HTTP/1.1 202 Accepted", b"").await?,
                "early" => {
                    back("done", json!(format!("by {name}"))).await?;
                    connection.write("HTTP/1.1 202 Accepted", b"").await?;
                }
                _ => {
                    connection.write("HTTP/1.1 202 Accepted", b"").await?;
                    back("started", Value::Null).await?;
                    let state = if word == "error" { "failed" } else { "done" };
                    // A call-back may come more than once.
                    for _ in 0..2 {
                        let answer = back(state, json!(format!("by {name}"))).await?;
                        seen.push(format!("{state} {id} -> {answer}"));
                    }
                }
            }
        }
        seen.push("closed");
        Ok(())
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
