//! Real dispatcher processes: started with the settings that the platform would give them, killed and
//! restarted. Each has a folder with its configuration and its log.

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

/// The maximum time from the start of a dispatcher until it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// A dispatcher, and its process while it runs.
pub struct DispatcherProcess {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Incremented at each kill and after each restart, so that it is odd while the process is down. A try
    /// that began then, or during which it changed, is not counted as lost.
    pub epoch: AtomicU64,
    program: PathBuf,
    folder: PathBuf,
    /// The value of `RUST_LOG`.
    log_filter: String,
    child: Mutex<Option<Child>>,
}

/// Returns the settings that the platform would give to a dispatcher of this experiment.
pub fn dispatcher_settings(experiment: &Experiment, number: usize) -> Value {
    let halls: Vec<_> = experiment.hall.iter().map(|hall| hall.name.as_str()).collect();
    let mut settings = settings_for(&experiment.class, &halls, halls[number % halls.len()]);
    settings["balancers"] = json!(experiment.dispatchers);
    settings["me"] = json!(number);
    settings["clientHabits"]["marksRetry"] = json!(experiment.clients.marks);
    settings
}

impl DispatcherProcess {
    /// Chooses a free address and creates the folder; starts nothing yet.
    ///
    /// # Errors
    ///
    /// If no address is free or the folder can't be created.
    pub fn new(program: &Path, folder: &Path, number: usize) -> Result<DispatcherProcess, String> {
        let address = free_port().map_err(|e| e.to_string())?;
        DispatcherProcess::with_address(program, folder, number, address, "info")
    }

    /// Like `new`, with a given address and log filter.
    ///
    /// # Errors
    ///
    /// If the folder can't be created.
    pub fn with_address(
        program: &Path,
        folder: &Path,
        number: usize,
        address: SocketAddr,
        log_filter: &str,
    ) -> Result<DispatcherProcess, String> {
        let folder = folder.join(format!("n{number}"));
        std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let (program, log_filter) = (program.to_owned(), log_filter.to_owned());
        Ok(DispatcherProcess {
            address,
            epoch: AtomicU64::new(0),
            program,
            folder,
            log_filter,
            child: Mutex::new(None),
        })
    }

    /// Writes its files, starts it and waits until it is ready.
    ///
    /// # Errors
    ///
    /// The cause; if the process does not become ready, with the path of its log.
    pub async fn start(&self, settings: Value, discovery: SocketAddr, operator: &str) -> Result<(), String> {
        let config = json!({"name": self.folder.file_name().and_then(|n| n.to_str()),
            "listen": self.address.to_string(), "discovery": discovery.to_string(),
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 512, "sockets": 4096},
            "settings": settings});
        self.start_with_config(&config, operator).await
    }

    /// Like `start`, with a complete configuration.
    ///
    /// # Errors
    ///
    /// The cause; if the process does not become ready, with the path of its log.
    pub async fn start_with_config(&self, config: &Value, operator: &str) -> Result<(), String> {
        self.write_config(config)?;
        self.write_file("operator.toml", &operator.replace("@FOLDER@", &self.folder.display().to_string()))?;
        self.spawn().await
    }

    /// Writes its configuration, which it reads when it starts and at a SIGHUP.
    ///
    /// # Errors
    ///
    /// Names the file that could not be written.
    pub fn write_config(&self, config: &Value) -> Result<(), String> {
        self.write_file("config.json", &config.to_string())
    }

    /// Writes a file atomically, by a rename, since the process may read it at any moment.
    fn write_file(&self, name: &str, text: &str) -> Result<(), String> {
        let (path, new) = (self.folder.join(name), self.folder.join(format!("{name}.new")));
        let written = std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, &path));
        written.map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Sends it a SIGHUP, upon which it reloads its configuration.
    pub async fn send_sighup(&self) {
        let id = self.process_id().await.and_then(|id| rustix::process::Pid::from_raw(id as i32));
        if let Some(id) = id {
            // A process that has just exited is reported by `unexpected_exit`.
            let _ = rustix::process::kill_process(id, rustix::process::Signal::HUP);
        }
    }

    /// Returns the process id, if the process runs.
    pub async fn process_id(&self) -> Option<u32> {
        self.child.lock().await.as_ref()?.id()
    }

    /// Returns the exit status and the path of the log if the process has exited without being stopped.
    pub async fn unexpected_exit(&self) -> Option<String> {
        let status = self.child.lock().await.as_mut()?.try_wait().ok()??;
        Some(format!("{status}; see {}", self.folder.join("log").display()))
    }

    /// Returns its log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Starts the process and waits until it is ready.
    async fn spawn(&self) -> Result<(), String> {
        let log = self.folder.join("log");
        let file = File::options().create(true).append(true).open(&log);
        let file = file.map_err(|e| format!("{}: {e}", log.display()))?;
        let mut command = Command::new(&self.program);
        command.arg("run").arg("--config").arg(self.folder.join("operator.toml"));
        command.env("NODE_CONFIG", self.folder.join("config.json")).env("RUST_LOG", &self.log_filter);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(file).kill_on_drop(true);
        let child = command.spawn().map_err(|e| format!("{}: {e}", self.program.display()))?;
        *self.child.lock().await = Some(child);
        let end = Instant::now() + READY_TIMEOUT;
        loop {
            let up = http::call(self.address, "GET /up HTTP/1.1\r\nHost: t", b"", Duration::from_millis(500))
                .await;
            if up.is_ok_and(|up| up.status == 200) {
                return Ok(());
            }
            let exit = match self.child.lock().await.as_mut().map(Child::try_wait) {
                Some(Ok(Some(status))) => Some(status.to_string()),
                _ => None,
            };
            if exit.is_some() || Instant::now() > end {
                let reason = exit.unwrap_or_else(|| "not ready in time".to_owned());
                return Err(format!("a dispatcher failed to start ({reason}); see {}", log.display()));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Kills it with SIGKILL and restarts it after `downtime`.
    ///
    /// # Errors
    ///
    /// If it does not become ready again.
    pub async fn kill_and_restart(&self, downtime: Duration) -> Result<(), String> {
        self.epoch.fetch_add(1, SeqCst);
        self.stop().await;
        tokio::time::sleep(downtime).await;
        let started = self.spawn().await;
        self.epoch.fetch_add(1, SeqCst);
        started
    }

    /// Kills it with SIGKILL, if it runs.
    pub async fn stop(&self) {
        if let Some(mut child) = self.child.lock().await.take() {
            let _ = child.kill().await;
        }
    }

    /// Returns the CPU time that the process has used so far, in seconds.
    pub async fn cpu_s(&self) -> Option<f64> {
        let id = self.child.lock().await.as_ref()?.id()?;
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let fields: Vec<_> = stat.rsplit(')').next()?.split_whitespace().collect();
        let ticks: u64 = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        // `USER_HZ` is 100 on every machine that this runs on.
        Some(ticks as f64 / 100.0)
    }

    /// Returns the last line of its log that contains a text.
    pub fn last_log_line(&self, text: &str) -> Option<String> {
        self.log().lines().rev().find(|line| line.contains(text)).map(str::to_owned)
    }
}
