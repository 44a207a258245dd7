//! The run's side of a part: the process, its first answer, commands and counts as lines. It owns the process and
//! the rule that one which ends unasked, or says nothing, fails the run by its name; it must never know what a
//! role does.

use super::words::{Begin, Command, Counts, Ready};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::process::{Child, ChildStdin, ChildStdout};
use tokio::sync::Mutex;

/// Longest that a part may take for one command; to open thousands of listeners takes seconds.
const PATIENCE: Duration = Duration::from_secs(40);

/// A part.
pub struct Part {
    /// Its role.
    pub role: &'static str,
    /// Its process.
    pub id: u32,
    log: PathBuf,
    /// Apart from the talk, so that its end is seen while it is asked something.
    child: Mutex<Child>,
    talk: Mutex<(ChildStdin, Lines<BufReader<ChildStdout>>)>,
}

impl Part {
    /// Starts it and tells it what to begin with.
    ///
    /// # Errors
    ///
    /// Names the role and what it said.
    pub async fn start(role: &'static str, folder: &Path, begin: &Begin) -> Result<(Part, Ready), String> {
        let log = folder.join(format!("{role}.log"));
        let told = |e: std::io::Error| format!("the part {role}: {e}");
        let mut command = tokio::process::Command::new(own_program()?);
        command.args(["part", role]).stdin(Stdio::piped()).stdout(Stdio::piped());
        command.stderr(File::create(&log).map_err(told)?).kill_on_drop(true);
        let mut child = command.spawn().map_err(told)?;
        let input = child.stdin.take().ok_or("no standard input")?;
        let output = BufReader::new(child.stdout.take().ok_or("no standard output")?).lines();
        let id = child.id().unwrap_or(0);
        let part = Part { role, id, log, child: Mutex::new(child), talk: Mutex::new((input, output)) };
        let ready: Ready = part.ask(begin).await?;
        match ready.error {
            Some(e) => Err(format!("the part {role} could not begin: {e}")),
            None => Ok((part, ready)),
        }
    }

    /// Tells it a command; the counts after that.
    ///
    /// # Errors
    ///
    /// Names the role and what went wrong.
    pub async fn tell(&self, command: &Command) -> Result<Counts, String> {
        let counts: Counts = self.ask(command).await?;
        match counts.error {
            Some(e) => Err(format!("the part {}: {e}", self.role)),
            None => Ok(counts),
        }
    }

    async fn ask<T: DeserializeOwned>(&self, what: &impl Serialize) -> Result<T, String> {
        let line = serde_json::to_string(what).map_err(|e| e.to_string())? + "\n";
        let mut talk = self.talk.lock().await;
        let (input, output) = &mut *talk;
        let asked = tokio::time::timeout(PATIENCE, async {
            input.write_all(line.as_bytes()).await.ok()?;
            output.next_line().await.ok()?
        });
        match asked.await {
            Err(_) => Err(format!("the part {} says nothing for {} s", self.role, PATIENCE.as_secs())),
            Ok(None) => {
                // Its end is known a moment after that of its output.
                tokio::time::sleep(Duration::from_millis(200)).await;
                Err(self.ended().await.unwrap_or_else(|| format!("the part {} closed its output", self.role)))
            }
            Ok(Some(line)) => {
                let mut json = serde_json::Deserializer::from_str(&line);
                let read = serde_path_to_error::deserialize(&mut json);
                read.map_err(|e| format!("the part {} answered: {e}", self.role))
            }
        }
    }

    /// What to say if it has ended, which it may not before it is stopped.
    pub async fn ended(&self) -> Option<String> {
        let status = self.child.lock().await.try_wait().ok()??;
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let last = log.lines().last().unwrap_or("nothing in its log").to_owned();
        Some(format!("the part {} ended unasked ({status}): {last}", self.role))
    }

    /// Kills it.
    pub async fn stop(&self) {
        let _ = self.child.lock().await.kill().await;
    }
}

/// This program; in a test, the command beside it.
fn own_program() -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    if own.file_stem().is_some_and(|name| name == "sablerun-lab") {
        return Ok(own);
    }
    let above = own.parent().and_then(Path::parent).map(|folder| folder.join("sablerun-lab"));
    above.filter(|path| path.is_file()).ok_or_else(|| "sablerun-lab: not built".to_owned())
}
