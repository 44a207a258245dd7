//! The dispatchers: real processes with settings as the platform gives them, killed and started again. It
//! owns the processes and their folders, and ends only those.

use crate::experiment::{Class, Experiment, Group};
use crate::http;
use serde_json::{Value, json};
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::time::{Duration, Instant};
use tokio::process::{Child, Command};
use tokio::sync::Mutex;

/// Longest that a dispatcher may take to be ready.
const PATIENCE: Duration = Duration::from_secs(10);

/// One dispatcher.
pub struct Dispatcher {
    /// Where it listens.
    pub at: SocketAddr,
    /// Counts its kills: what was under way at one is not held against it.
    pub epoch: AtomicU64,
    command: PathBuf,
    folder: PathBuf,
    child: Mutex<Option<Child>>,
}

/// An address that stays free while its dispatcher is down: below the ports that the system gives to
/// whoever connects.
///
/// # Errors
///
/// If none is free.
pub fn free_port() -> std::io::Result<SocketAddr> {
    let mut last = None;
    for _ in 0..100 {
        match std::net::TcpListener::bind(("127.0.0.1", fastrand::u16(18_000..28_000))) {
            Ok(listener) => return listener.local_addr(),
            Err(e) => last = Some(e),
        }
    }
    Err(last.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into()))
}

/// The program beside this one.
///
/// # Errors
///
/// Says how to build it.
pub fn program() -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    // Tests stand one folder below.
    let beside = own.with_file_name("sablerun");
    let above = own.parent().and_then(Path::parent).map(|folder| folder.join("sablerun"));
    if let Some(found) = [Some(beside.clone()), above].into_iter().flatten().find(|path| path.is_file()) {
        return Ok(found);
    }
    Err(format!("{}: no such program; build it first: cargo build --release --locked", beside.display()))
}

/// The settings of an installation as a dispatcher is given them.
pub fn settings(experiment: &Experiment, number: usize) -> Value {
    let halls: Vec<_> = experiment.hall.iter().map(|hall| hall.name.as_str()).collect();
    let mut settings = settings_of(&experiment.class, &halls, halls[number % halls.len()]);
    settings["balancers"] = json!(experiment.dispatchers);
    settings["me"] = json!(number);
    settings["clientHabits"]["marksRetry"] = json!(experiment.clients.marks);
    settings
}

/// The settings of one dispatcher in a zone, with these classes.
pub fn settings_of(classes: &[Class], halls: &[&str], zone: &str) -> Value {
    let services: Vec<_> = classes.iter().map(service).collect();
    let stretch = vec![2.0; services.len()];
    json!({
        "balancers": 1, "me": 0, "clientHabits": {"marksRetry": true},
        "extra": {"classKind": vec![-1; services.len()], "classStretch": stretch, "progress": 0,
                  "reportX0": "free slots", "reportX1": "free memory", "tellsStart": true},
        "failureDomains": halls, "kinds": ["k4-full", "k4-slow"],
        "limits": {"cancel": true, "connIdle": 10_000_000_000u64, "connectTimeout": 250_000_000,
                   "maxOpen": 28486, "maxRetryAfter": 2_000_000_000, "parallelTries": true,
                   "probing": false, "retryAfter": true, "tryLimit": 5},
        "membershipMode": "on_request", "overShareWorth": 0.05,
        "prices": {"crossZone": 0.03, "handshake": 0.02, "lateFail": 0.074, "probe": 0.0018, "waste": 0.04},
        "projects": [{"name": "mehran-dist", "quotaPerS": 100_000.0, "share": 0.6},
                     {"name": "ravi-supply", "quotaPerS": 100_000.0, "share": 0.4}],
        "reporting": {"fields": ["errors_per_s", "recent_ms", "outstanding", "x0"], "how": "piggyback"},
        "rules": {"answerSlack": 16_000_000, "askWithin": 10_000_000_000u64, "coldFrom": 0.99,
                  "drainGrace": 500_000_000, "fall": 1_000_000_000, "fallMultiple": 1000.0, "warmAfter": 1},
        "services": services, "tick": 4_000_000, "weights": "nominal", "worthBy": "work", "zone": zone,
        "key that no version knows": {"is": "ignored"}
    })
}

fn service(class: &Class) -> Value {
    let group = if class.group == Some(Group::Zone) { "zone" } else { "all" };
    let repeat = if class.group.is_some() { "dedup" } else { "retryable" };
    json!({"name": class.name, "objective": class.objective_ms * 1_000_000, "repeat": repeat,
           "deadline": class.deadline_ms * 1_000_000, "group": group, "importance": class.worth,
           "lateWorth": 0.0, "window": class.window_ms.max(1) * 1_000_000})
}

impl Dispatcher {
    /// Chooses an address and writes nothing yet.
    ///
    /// # Errors
    ///
    /// If no address is free or its folder can't be made.
    pub fn plan(command: &Path, folder: &Path, number: usize) -> Result<Dispatcher, String> {
        let folder = folder.join(format!("n{number}"));
        std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        Ok(Dispatcher {
            at: free_port().map_err(|e| e.to_string())?,
            epoch: AtomicU64::new(0),
            command: command.to_owned(),
            folder,
            child: Mutex::new(None),
        })
    }

    /// Writes its files and starts it.
    ///
    /// # Errors
    ///
    /// Says what it lacked, and where its log stands.
    pub async fn start(&self, settings: Value, discovery: SocketAddr, operator: &str) -> Result<(), String> {
        let config = json!({"name": self.folder.file_name().and_then(|n| n.to_str()), "listen": self.at.to_string(),
            "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 512, "sockets": 4096}, "settings": settings});
        let write = |name: &str, text: String| {
            let path = self.folder.join(name);
            std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))
        };
        write("config.json", config.to_string())?;
        write("operator.toml", operator.replace("@FOLDER@", &self.folder.display().to_string()))?;
        self.spawn().await
    }

    async fn spawn(&self) -> Result<(), String> {
        let log = self.folder.join("log");
        let file = File::options().create(true).append(true).open(&log);
        let file = file.map_err(|e| format!("{}: {e}", log.display()))?;
        let mut command = Command::new(&self.command);
        command.arg("run").arg("--config").arg(self.folder.join("operator.toml"));
        command.env("NODE_CONFIG", self.folder.join("config.json")).env("RUST_LOG", "info");
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(file).kill_on_drop(true);
        let child = command.spawn().map_err(|e| format!("{}: {e}", self.command.display()))?;
        *self.child.lock().await = Some(child);
        let end = Instant::now() + PATIENCE;
        loop {
            let up =
                http::call(self.at, "GET /up HTTP/1.1\r\nHost: t", b"", Duration::from_millis(500)).await;
            if up.is_ok_and(|up| up.status == 200) {
                return Ok(());
            }
            let ended = match self.child.lock().await.as_mut().map(Child::try_wait) {
                Some(Ok(Some(status))) => Some(status.to_string()),
                _ => None,
            };
            if ended.is_some() || Instant::now() > end {
                let why = ended.unwrap_or_else(|| "not ready in time".to_owned());
                return Err(format!("a dispatcher did not come up ({why}); see {}", log.display()));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Kills it outright and starts it again after a while.
    ///
    /// # Errors
    ///
    /// If it does not come up again.
    pub async fn kill(&self, back: Duration) -> Result<(), String> {
        self.epoch.fetch_add(1, SeqCst);
        self.stop().await;
        tokio::time::sleep(back).await;
        let up = self.spawn().await;
        self.epoch.fetch_add(1, SeqCst);
        up
    }

    /// Kills it.
    pub async fn stop(&self) {
        if let Some(mut child) = self.child.lock().await.take() {
            let _ = child.kill().await;
        }
    }

    /// CPU time that the process has used so far, in seconds.
    pub async fn cpu_s(&self) -> Option<f64> {
        let id = self.child.lock().await.as_ref()?.id()?;
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let fields: Vec<_> = stat.rsplit(')').next()?.split_whitespace().collect();
        let ticks: u64 = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        // The kernel counts in hundredths of a second on every machine that this runs on.
        Some(ticks as f64 / 100.0)
    }

    /// The last line of its log that holds a word.
    pub fn logged(&self, word: &str) -> Option<String> {
        let text = std::fs::read_to_string(self.folder.join("log")).ok()?;
        text.lines().rev().find(|line| line.contains(word)).map(str::to_owned)
    }
}
