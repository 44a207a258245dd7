//! The dispatcher process started for a test: its files, settings, log and end.

use super::{Discovery, Events};
use crate::installation::{Class, Group};
use crate::program::{program_path, settings_for};
use command_fds::{CommandFdExt, FdMapping};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

/// The settings of most tests: one dispatcher and four classes, the last two of them keyed.
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
    let mut settings = settings_for(&classes, &["hall-a", "hall-b", "hall-c"], "hall-a");
    for project in settings["projects"].as_array_mut().into_iter().flatten() {
        project["quotaPerS"] = json!(5000.0);
    }
    settings["extra"]["classStretch"] = json!([2.0, 2.0, 1.75, 1.75]);
    settings
}

/// The operator's configuration file of most tests.
pub const GATEWAY_CONFIG: &str = r#"
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

/// Creates a folder for the files of one test.
pub fn test_dir() -> PathBuf {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let test_exe = std::env::current_exe().unwrap();
    let folder = test_exe.with_file_name("tmp").join(format!("{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// A running dispatcher process.
pub struct Program {
    pub child: Child,
    pub address: SocketAddr,
    pub faktory_address: Option<SocketAddr>,
    pub log: Events,
    /// The path of its configuration file.
    pub config: PathBuf,
    /// Its `$TMPDIR`.
    pub temp_dir: PathBuf,
}

impl Program {
    pub fn command(config: &Value, gateway: Option<&str>) -> Command {
        let folder = test_dir();
        std::fs::write(folder.join("config.json"), config.to_string()).unwrap();
        let mut command = Command::new(program_path().unwrap());
        command.env("NODE_CONFIG", folder.join("config.json")).env("RUST_LOG", "debug");
        // Private, as on the platform: what a process leaves there is only for its successor.
        command.env("TMPDIR", &folder);
        command.stderr(Stdio::piped()).stdout(Stdio::null()).stdin(Stdio::null());
        if let Some(text) = gateway {
            std::fs::write(folder.join("gateway.toml"), text).unwrap();
            command.arg("--gateway").arg(folder.join("gateway.toml"));
        }
        command
    }

    /// Returns a command for a process that inherits a listening socket for clients, as on the platform. It
    /// gets the `$TMPDIR` of the process that it replaces, if one is given.
    pub fn command_on_socket(
        config: &Value,
        socket: &std::net::TcpListener,
        replaces: Option<&Program>,
    ) -> Command {
        let mut command = Program::command(config, None);
        if let Some(old) = replaces {
            command.env("TMPDIR", &old.temp_dir);
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

    /// Starts the program and waits until it is ready and has its first list from discovery.
    pub fn start(discovery: &Discovery, settings: Value, gateway: Option<&str>) -> Program {
        Program::start_with(Program::config(discovery.address, settings), gateway)
    }

    pub fn start_with(config: Value, gateway: Option<&str>) -> Program {
        let command = Program::command(&config, gateway);
        Program::spawn(command, gateway.is_some_and(|text| text.contains("listen")))
    }

    /// Starts a prepared command and waits in the same way.
    pub fn spawn(command: Command, faktory: bool) -> Program {
        Program::spawn_until(command, faktory, "list Full")
    }

    /// As [`Program::spawn`], but waits for this text in the log instead of for the first list.
    pub fn spawn_until(mut command: Command, faktory: bool, text: &str) -> Program {
        let env_path = |variable: &str| {
            let value = command.get_envs().find(|(name, _)| *name == variable).unwrap().1.unwrap();
            PathBuf::from(value)
        };
        let (config, temp_dir) = (env_path("NODE_CONFIG"), env_path("TMPDIR"));
        let mut child = command.spawn().unwrap();
        let (log, lines) = (Events::default(), BufReader::new(child.stderr.take().unwrap()));
        let events = log.clone();
        thread::spawn(move || lines.lines().map_while(Result::ok).for_each(|line| events.push(line)));
        let address_after = |line: String, text: &str| {
            let rest = line.split_once(text).unwrap().1;
            rest.split([' ', ',']).next().unwrap().parse::<SocketAddr>().unwrap()
        };
        let address = address_after(log.wait("ready on ", 1), "ready on ");
        let faktory_address = faktory.then(|| address_after(log.wait("faktory on ", 1), "faktory on "));
        log.wait(text, 1);
        Program { child, address, faktory_address, log, config, temp_dir }
    }

    /// Returns the address of the admin socket.
    pub fn admin_address(&self) -> SocketAddr {
        let line = self.log.wait("admin socket on ", 1);
        line.split_once("admin socket on ").unwrap().1.trim().parse().unwrap()
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
