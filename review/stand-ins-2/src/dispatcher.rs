//! Starts dispatchers as the deploy file says, with the settings of a small deployment, and signals them.

use crate::http::call;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime};

/// What the dispatchers of a case are told, beside their addresses.
#[derive(Clone)]
pub struct Settings {
    /// The longest deadline, that of the keyed classes, in milliseconds.
    pub deadline_ms: u64,
    /// The window for repeats, in milliseconds.
    pub window_ms: u64,
    /// The limit of memory, in MiB.
    pub memory_mb: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { deadline_ms: 6000, window_ms: 10_000, memory_mb: 192 }
    }
}

impl Settings {
    fn class(&self, name: &str, objective_ms: u64, worth: u64, repeat: &str, group: &str) -> String {
        let deadline_ms = if repeat == "retryable" { 5000 } else { self.deadline_ms };
        let window_ms = if repeat == "dedup" { self.window_ms } else { deadline_ms };
        format!(
            "{{\"name\":\"{name}\",\"objective\":{objective_ms}000000,\"deadline\":{deadline_ms}000000,\
             \"importance\":{worth},\"lateWorth\":0,\"repeat\":\"{repeat}\",\"group\":\"{group}\",\
             \"window\":{window_ms}000000,\"streaming\":false}}"
        )
    }

    fn json(&self) -> String {
        let services = [
            self.class("pick-route", 120, 2, "retryable", "all"),
            self.class("bin-check", 75, 1, "retryable", "all"),
            self.class("wave-release", 400, 10, "dedup", "zone"),
            self.class("short-pick", 150, 3, "dedup", "all"),
        ]
        .join(",");
        let tenants = [("mehran", 60), ("indus", 40), ("ravi", 30)]
            .map(|(name, quota)| format!("{{\"name\":\"{name}\",\"quotaPerS\":{quota},\"share\":0.33}}"));
        format!(
            r#"{{"balancers":3,"me":0,"zone":"hall-a","failureDomains":["hall-a","hall-b","hall-c"],
"kinds":["k4-full","k4-slow"],"stages":["pick-nodes"],"tier":0,"tick":4000000,"weights":"nominal","workload":"jobs",
"worthBy":"work","overShareWorth":0.05,"membershipMode":"on_request","clientHabits":{{"marksRetry":true}},
"services":[{services}],"projects":[{}],
"extra":{{"classKind":[-1,-1,-1,-1],"classStretch":[2.0,2.0,1.75,1.75],"progress":0,"queueOrder":"fifo",
"reportX0":"free slots","tellsStart":true}},
"limits":{{"cancel":true,"connIdle":10000000000,"connectTimeout":250000000,"maxOpen":28000,
"maxRetryAfter":2000000000,"parallelTries":true,"peers":false,"probing":true,"retryAfter":true,"tryLimit":5}},
"prices":{{"crossZone":0.03,"handshake":0.02,"lateFail":0.074,"probe":0.0018,"waste":0.04}},
"reporting":{{"fields":["errors_per_s","recent_ms","outstanding","x0"],"how":"piggyback"}},
"rules":{{"answerSlack":16000000,"askWithin":10000000000,"coldFrom":0.32,"drainGrace":500000000,
"fall":1000000000,"fallMultiple":2.5,"warmAfter":8600000000}}}}"#,
            tenants.join(",")
        )
    }
}

/// The processes that run now, for the end of a case that takes too long.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that run now.
pub fn kill_all() {
    for process in PROCESSES.lock().map(|all| all.clone()).unwrap_or_default() {
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -KILL {process}")).status();
    }
}

fn forget(process: &Child) {
    if let Ok(mut all) = PROCESSES.lock() {
        all.retain(|id| *id != process.id());
    }
}

/// A seed that no other start gets: the system's time in nanoseconds.
fn new_seed() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(1, |now| now.as_nanos() as u64)
}

/// An address on loopback whose port is free now.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    listener.local_addr().expect("a bound socket has an address")
}

/// A dispatcher: its addresses, which outlive its process, and the process.
pub struct Dispatcher {
    pub listen: SocketAddr,
    pub admin: SocketAddr,
    discovery: SocketAddr,
    folder: PathBuf,
    run: String,
    starts: u32,
    process: Option<Child>,
}

impl Dispatcher {
    /// Prepares a dispatcher, whose files go to a temporary folder of its own. Starts nothing.
    pub fn new(name: &str, listen: SocketAddr, discovery: SocketAddr) -> std::io::Result<Dispatcher> {
        let deploy = fs::read_to_string("deploy/balancer.toml")?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.split('"').next());
        let run = run.ok_or_else(|| std::io::Error::other("deploy/balancer.toml: no run"))?.to_owned();
        let folder = std::env::temp_dir().join(format!("review-2-{}-{name}", std::process::id()));
        fs::create_dir_all(folder.join("tmp"))?;
        let admin = free_address();
        Ok(Dispatcher { listen, admin, discovery, folder, run, starts: 0, process: None })
    }

    /// Writes the configuration.
    pub fn configure(&self, settings: &Settings) -> std::io::Result<()> {
        let config = format!(
            "{{\"name\":\"n0\",\"listen\":\"{}\",\"discovery\":\"{}\",\"admin_addr\":\"{}\",\
             \"seed\":\"{:x}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":1024}},\
             \"known\":{{\"seq\":0,\"whole\":true,\"hosts\":[]}},\n\"settings\":{}}}",
            self.listen,
            self.discovery,
            self.admin,
            new_seed(),
            settings.memory_mb,
            settings.json()
        );
        fs::write(self.folder.join("new.json"), config)?;
        fs::rename(self.folder.join("new.json"), self.folder.join("config.json"))
    }

    /// Starts the process by `run`, with an operator's file of this text if there is one, and waits until it
    /// answers `GET /up` with 200.
    pub fn start(&mut self, operator: Option<&str>) -> std::io::Result<()> {
        let mut command = self.run.clone();
        if let Some(operator) = operator {
            let file = self.folder.join("operator.toml");
            fs::write(&file, operator)?;
            command += &format!(" run --config {}", file.display());
        }
        self.spawn(&command, None)?;
        let deadline = Instant::now() + Duration::from_secs(30);
        while Instant::now() < deadline {
            let up = format!("GET /up HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", self.listen);
            if call(self.listen, &up, Duration::from_secs(1)).is_ok_and(|answer| answer.word(1) == "200") {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(std::io::Error::other("the dispatcher was not ready within 30 s"))
    }

    /// Starts the process by `run` as it stands, on a listening socket that the platform holds, as descriptor 5,
    /// and waits for the yes of its admin socket.
    pub fn start_on(&mut self, held: &TcpListener) -> std::io::Result<()> {
        self.spawn(&format!("exec 5<&0 </dev/null; {}", self.run), Some(held))?;
        let deadline = Instant::now() + Duration::from_secs(6);
        while Instant::now() < deadline {
            if self.admin("READY").is_ok_and(|answer| answer.starts_with("OK")) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err(std::io::Error::other("the dispatcher did not say yes within 6 s"))
    }

    /// The process that is to replace this one: the same addresses and folder, but for the admin socket.
    pub fn successor(&self) -> Dispatcher {
        Dispatcher {
            listen: self.listen,
            admin: free_address(),
            discovery: self.discovery,
            folder: self.folder.clone(),
            run: self.run.clone(),
            starts: self.starts,
            process: None,
        }
    }

    fn spawn(&mut self, command: &str, held: Option<&TcpListener>) -> std::io::Result<()> {
        self.starts += 1;
        let log = File::create(self.folder.join(format!("log-{}.txt", self.starts)))?;
        let level = std::env::var("RUST_LOG").unwrap_or_else(|_| "info".to_owned());
        let mut sh = Command::new("/bin/sh");
        sh.arg("-c")
            .arg(command)
            .env("NODE_NAME", "n0")
            .env("NODE_LISTEN", self.listen.to_string())
            .env("NODE_DISCOVERY", self.discovery.to_string())
            .env("NODE_CONFIG", self.folder.join("config.json"))
            .env("NODE_ADMIN_ADDR", self.admin.to_string())
            .env("TMPDIR", self.folder.join("tmp"))
            .env("RUST_LOG", level)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        if let Some(held) = held {
            sh.stdin(OwnedFd::from(held.try_clone()?)).env("NODE_LISTEN_FD", "5");
        }
        let process = sh.spawn()?;
        if let Ok(mut all) = PROCESSES.lock() {
            all.push(process.id());
        }
        self.process = Some(process);
        Ok(())
    }

    /// The process's id, while it runs.
    pub fn process_id(&self) -> Option<u32> {
        self.process.as_ref().map(Child::id)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        if let Some(process) = &self.process {
            let kill = format!("kill -{name} {}", process.id());
            let _ = Command::new("/bin/sh").arg("-c").arg(kill).status();
        }
    }

    /// Kills the process outright.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
            forget(&process);
        }
    }

    /// Waits for the process to end; false if it has not within this time.
    pub fn wait(&mut self, time: Duration) -> bool {
        let deadline = Instant::now() + time;
        let Some(process) = &mut self.process else { return true };
        while Instant::now() < deadline {
            if matches!(process.try_wait(), Ok(Some(_))) {
                forget(process);
                self.process = None;
                return true;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        false
    }

    /// One call at the admin socket: the whole answer.
    pub fn admin(&self, line: &str) -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&self.admin, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        stream.write_all(format!("{line}\n").as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer.trim_end().to_owned())
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        self.kill();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
