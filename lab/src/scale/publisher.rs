//! The publisher of a load digest: the program `sablerun digest`, started if the dispatchers' operator's file
//! has a section `digest`, and the bytes of its frames read from its log.

use sablerun_stand_ins::program::{free_port, program_path};
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::{Duration, Instant};
use tokio::process::{Child, Command};
use tokio::sync::Mutex;

/// The placeholder for the publisher's address in an operator's file.
pub const ADDRESS_PLACEHOLDER: &str = "@DIGEST@";
/// The longest time until it listens.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Its log filter, which includes a line for each frame and each full digest.
const LOG_FILTER: &str = "info,sablerun_node::publisher=debug";

/// The process of the publisher.
pub struct Publisher {
    address: SocketAddr,
    folder: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Publisher {
    /// Starts a publisher that uses this discovery service.
    ///
    /// # Errors
    ///
    /// The cause, or the path of its log if it does not listen in time.
    pub async fn start(folder: &Path, discovery: SocketAddr) -> Result<Publisher, String> {
        let folder = folder.join("digest");
        std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let address = free_port().map_err(|e| e.to_string())?;
        let path = folder.join("digest.toml");
        std::fs::write(&path, format!("listen = \"{address}\"\ndiscovery = \"{discovery}\"\n"))
            .map_err(|e| format!("{}: {e}", path.display()))?;
        let publisher = Publisher { address, folder, child: Mutex::new(None) };
        publisher.spawn().await?;
        Ok(publisher)
    }

    /// Replaces the placeholder in an operator's file by the publisher's address.
    pub fn insert_address(&self, operator: &str) -> String {
        operator.replace(ADDRESS_PLACEHOLDER, &self.address.to_string())
    }

    /// Starts the process and waits until it listens.
    ///
    /// # Errors
    ///
    /// If it does not listen in time.
    pub async fn spawn(&self) -> Result<(), String> {
        let log = self.folder.join("log");
        let file = File::options().create(true).append(true).open(&log);
        let file = file.map_err(|e| format!("{}: {e}", log.display()))?;
        let mut command = Command::new(program_path()?);
        command
            .arg("digest")
            .arg("--config")
            .arg(self.folder.join("digest.toml"))
            .env("RUST_LOG", LOG_FILTER);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(file).kill_on_drop(true);
        *self.child.lock().await = Some(command.spawn().map_err(|e| format!("sablerun digest: {e}"))?);
        let end = Instant::now() + START_TIMEOUT;
        while tokio::net::TcpStream::connect(self.address).await.is_err() {
            if self.unexpected_exit().await.is_some() || Instant::now() > end {
                return Err(format!("the publisher did not start; see {}", log.display()));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// Kills the process.
    pub async fn kill(&self) {
        if let Some(mut child) = self.child.lock().await.take() {
            let _ = child.kill().await;
        }
    }

    /// Returns the process id while it runs.
    pub async fn id(&self) -> Option<u32> {
        self.child.lock().await.as_ref()?.id()
    }

    /// Returns the error to report if the process has exited without being killed.
    pub async fn unexpected_exit(&self) -> Option<String> {
        let status = self.child.lock().await.as_mut()?.try_wait().ok()??;
        Some(format!(
            "the publisher exited unexpectedly ({status}); see {}",
            self.folder.join("log").display()
        ))
    }

    /// Returns its log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

/// What a publisher has sent between two moments.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Published {
    /// Bytes of all frames; each frame goes to every follower.
    pub frame_bytes: f64,
    /// The number of frames.
    pub frame_count: f64,
    /// Bytes of all full digests; each goes to one follower.
    pub full_digest_bytes: f64,
}

/// Sums up from a publisher's log what it has sent between two moments, in microseconds of Unix time.
pub fn published_between(log: &str, from_us: u64, to_us: u64) -> Published {
    let mut sums = Published::default();
    for line in log.lines() {
        if !super::adoptions::line_time_us(line).is_some_and(|at| (from_us..to_us).contains(&at)) {
            continue;
        }
        let bytes = |prefix: &str| line.split(prefix).nth(1)?.split_whitespace().next()?.parse::<f64>().ok();
        if let Some(bytes) = bytes("frame of bytes=") {
            sums.frame_bytes += bytes;
            sums.frame_count += 1.0;
        }
        sums.full_digest_bytes += bytes("whole of bytes=").unwrap_or(0.0);
    }
    sums
}
