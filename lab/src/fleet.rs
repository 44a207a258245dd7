//! The dispatchers: real processes with settings as the platform gives them, killed and started again. It
//! owns the processes and their folders, and ends only those.

use crate::experiment::Experiment;
use sablerun_stand_ins::http;
use sablerun_stand_ins::program::{free_port, settings_for};
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
    /// What it logs, as `RUST_LOG` says it.
    logged: String,
    child: Mutex<Option<Child>>,
}

/// The settings of an installation as a dispatcher is given them.
pub fn settings(experiment: &Experiment, number: usize) -> Value {
    let halls: Vec<_> = experiment.hall.iter().map(|hall| hall.name.as_str()).collect();
    let mut settings = settings_for(&experiment.class, &halls, halls[number % halls.len()]);
    settings["balancers"] = json!(experiment.dispatchers);
    settings["me"] = json!(number);
    settings["clientHabits"]["marksRetry"] = json!(experiment.clients.marks);
    settings
}

impl Dispatcher {
    /// Chooses an address and writes nothing yet.
    ///
    /// # Errors
    ///
    /// If no address is free or its folder can't be made.
    pub fn plan(command: &Path, folder: &Path, number: usize) -> Result<Dispatcher, String> {
        let at = free_port().map_err(|e| e.to_string())?;
        Dispatcher::at_address(command, folder, number, at, "info")
    }

    /// The same with an address that was chosen before, and what it shall log.
    ///
    /// # Errors
    ///
    /// If its folder can't be made.
    pub fn at_address(
        command: &Path,
        folder: &Path,
        number: usize,
        at: SocketAddr,
        logged: &str,
    ) -> Result<Dispatcher, String> {
        let folder = folder.join(format!("n{number}"));
        std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let (command, logged) = (command.to_owned(), logged.to_owned());
        Ok(Dispatcher { at, epoch: AtomicU64::new(0), command, folder, logged, child: Mutex::new(None) })
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
        self.launch(&config, operator).await
    }

    /// The same with the whole of its configuration.
    ///
    /// # Errors
    ///
    /// As above.
    pub async fn launch(&self, config: &Value, operator: &str) -> Result<(), String> {
        self.configure(config)?;
        self.write("operator.toml", &operator.replace("@FOLDER@", &self.folder.display().to_string()))?;
        self.spawn().await
    }

    /// Writes its configuration, which it reads at its start and at a SIGHUP.
    ///
    /// # Errors
    ///
    /// Names the file.
    pub fn configure(&self, config: &Value) -> Result<(), String> {
        self.write("config.json", &config.to_string())
    }

    /// Whole or not at all: the program may read at any moment.
    fn write(&self, name: &str, text: &str) -> Result<(), String> {
        let (path, new) = (self.folder.join(name), self.folder.join(format!("{name}.new")));
        let written = std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, &path));
        written.map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Sends it a SIGHUP, at which it reads its configuration.
    pub async fn hang_up(&self) {
        let id = self.id().await.and_then(|id| rustix::process::Pid::from_raw(id as i32));
        if let Some(id) = id {
            // One that has just ended is told of elsewhere.
            let _ = rustix::process::kill_process(id, rustix::process::Signal::HUP);
        }
    }

    /// Its process, while there is one.
    pub async fn id(&self) -> Option<u32> {
        self.child.lock().await.as_ref()?.id()
    }

    /// How it ended, if it did without being stopped.
    pub async fn ended(&self) -> Option<String> {
        let status = self.child.lock().await.as_mut()?.try_wait().ok()??;
        Some(format!("{status}; see {}", self.folder.join("log").display()))
    }

    /// Its log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    async fn spawn(&self) -> Result<(), String> {
        let log = self.folder.join("log");
        let file = File::options().create(true).append(true).open(&log);
        let file = file.map_err(|e| format!("{}: {e}", log.display()))?;
        let mut command = Command::new(&self.command);
        command.arg("run").arg("--config").arg(self.folder.join("operator.toml"));
        command.env("NODE_CONFIG", self.folder.join("config.json")).env("RUST_LOG", &self.logged);
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
        self.log().lines().rev().find(|line| line.contains(word)).map(str::to_owned)
    }
}
