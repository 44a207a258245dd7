//! The run's side of a part: its process, its first answer, and commands and counts as lines. A part that
//! exits early or does not answer fails the run, with its role in the error.

use super::protocol::{Command, Counts, Ready, Setup};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::process::{Child, ChildStdin, ChildStdout};
use tokio::sync::Mutex;

/// The longest time that a part may take for one command; opening thousands of listeners takes seconds.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(40);

/// The process of a part.
pub struct PartProcess {
    /// The role that it plays.
    pub role: &'static str,
    /// The process id.
    pub id: u32,
    log: PathBuf,
    /// Locked separately from the pipes, so that an exit is noticed during a command.
    child: Mutex<Child>,
    pipes: Mutex<(ChildStdin, Lines<BufReader<ChildStdout>>)>,
}

impl PartProcess {
    /// Starts the process and sends it the setup.
    ///
    /// # Errors
    ///
    /// Names the role and the error.
    pub async fn start(
        role: &'static str,
        folder: &Path,
        setup: &Setup,
    ) -> Result<(PartProcess, Ready), String> {
        let log = folder.join(format!("{role}.log"));
        let in_part = |e: std::io::Error| format!("the part {role}: {e}");
        let mut command = tokio::process::Command::new(lab_program()?);
        command.args(["part", role]).stdin(Stdio::piped()).stdout(Stdio::piped());
        command.stderr(File::create(&log).map_err(in_part)?).kill_on_drop(true);
        let mut child = command.spawn().map_err(in_part)?;
        let input = child.stdin.take().ok_or("no standard input")?;
        let output = BufReader::new(child.stdout.take().ok_or("no standard output")?).lines();
        let id = child.id().unwrap_or(0);
        let part =
            PartProcess { role, id, log, child: Mutex::new(child), pipes: Mutex::new((input, output)) };
        let ready: Ready = part.exchange(setup).await?;
        match ready.error {
            Some(e) => Err(format!("the part {role} could not start: {e}")),
            None => Ok((part, ready)),
        }
    }

    /// Sends a command and returns the counts after it.
    ///
    /// # Errors
    ///
    /// Names the role and the error.
    pub async fn send(&self, command: &Command) -> Result<Counts, String> {
        let counts: Counts = self.exchange(command).await?;
        match counts.error {
            Some(e) => Err(format!("the part {}: {e}", self.role)),
            None => Ok(counts),
        }
    }

    async fn exchange<T: DeserializeOwned>(&self, message: &impl Serialize) -> Result<T, String> {
        let line = serde_json::to_string(message).map_err(|e| e.to_string())? + "\n";
        let mut pipes = self.pipes.lock().await;
        let (input, output) = &mut *pipes;
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, async {
            input.write_all(line.as_bytes()).await.ok()?;
            output.next_line().await.ok()?
        });
        match answer.await {
            Err(_) => {
                Err(format!("the part {} did not answer within {} s", self.role, ANSWER_TIMEOUT.as_secs()))
            }
            Ok(None) => {
                // The exit status is available slightly after the end of the output.
                tokio::time::sleep(Duration::from_millis(200)).await;
                Err(self
                    .unexpected_exit()
                    .await
                    .unwrap_or_else(|| format!("the part {} closed its output", self.role)))
            }
            Ok(Some(line)) => {
                let mut json = serde_json::Deserializer::from_str(&line);
                let parsed = serde_path_to_error::deserialize(&mut json);
                parsed.map_err(|e| format!("the part {} sent an invalid answer: {e}", self.role))
            }
        }
    }

    /// Returns the error to report if the process has exited without being stopped.
    pub async fn unexpected_exit(&self) -> Option<String> {
        let status = self.child.lock().await.try_wait().ok()??;
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let last = log.lines().last().unwrap_or("nothing in its log").to_owned();
        Some(format!("the part {} exited unexpectedly ({status}): {last}", self.role))
    }

    /// Kills the process.
    pub async fn stop(&self) {
        let _ = self.child.lock().await.kill().await;
    }
}

/// Returns the path of this program; in a test, of `sablerun-lab` in the folder above the test program's.
fn lab_program() -> Result<PathBuf, String> {
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    if program.file_stem().is_some_and(|name| name == "sablerun-lab") {
        return Ok(program);
    }
    let beside = program.parent().and_then(Path::parent).map(|folder| folder.join("sablerun-lab"));
    beside.filter(|path| path.is_file()).ok_or_else(|| "sablerun-lab: not built".to_owned())
}
