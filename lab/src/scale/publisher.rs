//! The publisher of a load digest: the program `sablerun digest`, started where the dispatchers' operator's file has a
//! section `digest`. It owns that process, its files and what its log says of frames; it ends only that.

use sablerun_stand_ins::program::{free_port, program_path};
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::{Duration, Instant};
use tokio::process::{Child, Command};
use tokio::sync::Mutex;

/// What stands for its address in an operator's file.
pub const ADDRESS: &str = "@DIGEST@";
/// Longest that it may take to listen.
const PATIENCE: Duration = Duration::from_secs(10);
/// What it logs: a line for each frame and each whole.
const LOGGED: &str = "info,sablerun_node::publisher=debug";

/// The publisher.
pub struct Publisher {
    at: SocketAddr,
    folder: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Publisher {
    /// Starts one that finds discovery there.
    ///
    /// # Errors
    ///
    /// Says what it lacked, and where its log stands.
    pub async fn start(folder: &Path, discovery: SocketAddr) -> Result<Publisher, String> {
        let folder = folder.join("digest");
        std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let at = free_port().map_err(|e| e.to_string())?;
        let path = folder.join("digest.toml");
        std::fs::write(&path, format!("listen = \"{at}\"\ndiscovery = \"{discovery}\"\n"))
            .map_err(|e| format!("{}: {e}", path.display()))?;
        let publisher = Publisher { at, folder, child: Mutex::new(None) };
        publisher.up().await?;
        Ok(publisher)
    }

    /// The operator's file with its address.
    pub fn named_in(&self, operator: &str) -> String {
        operator.replace(ADDRESS, &self.at.to_string())
    }

    /// Starts it, from nothing.
    ///
    /// # Errors
    ///
    /// If it does not listen in time.
    pub async fn up(&self) -> Result<(), String> {
        let log = self.folder.join("log");
        let file = File::options().create(true).append(true).open(&log);
        let file = file.map_err(|e| format!("{}: {e}", log.display()))?;
        let mut command = Command::new(program_path()?);
        command.arg("digest").arg("--config").arg(self.folder.join("digest.toml")).env("RUST_LOG", LOGGED);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(file).kill_on_drop(true);
        *self.child.lock().await = Some(command.spawn().map_err(|e| format!("sablerun digest: {e}"))?);
        let end = Instant::now() + PATIENCE;
        while tokio::net::TcpStream::connect(self.at).await.is_err() {
            if self.ended().await.is_some() || Instant::now() > end {
                return Err(format!("the publisher did not come up; see {}", log.display()));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// Kills it outright.
    pub async fn down(&self) {
        if let Some(mut child) = self.child.lock().await.take() {
            let _ = child.kill().await;
        }
    }

    /// Its process, while there is one.
    pub async fn id(&self) -> Option<u32> {
        self.child.lock().await.as_ref()?.id()
    }

    /// How it ended, if it did without being stopped.
    pub async fn ended(&self) -> Option<String> {
        let status = self.child.lock().await.as_mut()?.try_wait().ok()??;
        Some(format!("the publisher ended unasked ({status}); see {}", self.folder.join("log").display()))
    }

    /// Its log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

/// What a publisher told between two moments.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Told {
    /// Bytes of all frames, each of which every follower got.
    pub frames: f64,
    /// How many there were.
    pub count: f64,
    /// Bytes of all wholes, each told to one follower.
    pub wholes: f64,
}

/// What the log of one says that it told between two moments, in microseconds of Unix time.
pub fn told(log: &str, from_us: u64, to_us: u64) -> Told {
    let mut sums = Told::default();
    for line in log.lines() {
        if !super::acts::at_us(line).is_some_and(|at| (from_us..to_us).contains(&at)) {
            continue;
        }
        let bytes = |word: &str| line.split(word).nth(1)?.split_whitespace().next()?.parse::<f64>().ok();
        if let Some(bytes) = bytes("frame of bytes=") {
            sums.frames += bytes;
            sums.count += 1.0;
        }
        sums.wholes += bytes("whole of bytes=").unwrap_or(0.0);
    }
    sums
}
