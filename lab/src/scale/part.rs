//! The life of a part of the scale run: its first line, its commands, its end. It owns standard input and output
//! of such a process, and the rule that nothing outlives the run; it must never know what a role does, nor need
//! a certain runtime (some parts have one for each thread).

use super::words::{Begin, Command, Counts, Ready, now_us};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io::{BufRead, Write};
use tokio::sync::mpsc;

/// Reads [`Begin`], answers with what `begin` makes of it, and then each command with what `command` makes of
/// it, one at a time. The process ends with standard input, whatever is under way.
///
/// # Errors
///
/// If the part could not begin; the run has been told by then.
pub async fn run<S>(
    begin: impl AsyncFnOnce(Begin) -> Result<(S, Ready), String>,
    mut command: impl AsyncFnMut(&mut S, Command) -> Result<Counts, String>,
) -> Result<(), String> {
    let mut lines = lines();
    let line = lines.recv().await.ok_or("nothing to begin with")?;
    let begun = match read(&line) {
        Ok(told) => begin(told).await,
        Err(e) => Err(e),
    };
    let mut state = match begun {
        Ok((state, ready)) => {
            say(&ready)?;
            state
        }
        Err(e) => {
            say(&Ready { error: Some(e.clone()), ..Ready::default() })?;
            return Err(e);
        }
    };
    while let Some(line) = lines.recv().await {
        let counts = match read(&line) {
            Ok(told) => command(&mut state, told).await,
            Err(e) => Err(e),
        };
        // When it was done, where the part did not say so itself.
        let mut counts = counts.unwrap_or_else(|e| Counts { error: Some(e), ..Counts::default() });
        if counts.at_us == 0 {
            counts.at_us = now_us();
        }
        say(&counts)?;
    }
    Ok(())
}

/// The lines of standard input, read by a thread of their own so that their end is seen whatever the runtime
/// does.
fn lines() -> mpsc::UnboundedReceiver<String> {
    let (send, receive) = mpsc::unbounded_channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            if send.send(line).is_err() {
                return;
            }
        }
        // Not a return of `run`: a runtime would wait for its tasks.
        std::process::exit(0);
    });
    receive
}

/// The message in a line.
fn read<T: DeserializeOwned>(line: &str) -> Result<T, String> {
    let mut json = serde_json::Deserializer::from_str(line);
    serde_path_to_error::deserialize(&mut json).map_err(|e| e.to_string())
}

/// Writes a line. Nobody listening is the run's end.
fn say(what: &impl Serialize) -> Result<(), String> {
    let line = serde_json::to_string(what).map_err(|e| e.to_string())?;
    let mut out = std::io::stdout().lock();
    writeln!(out, "{line}").and_then(|()| out.flush()).map_err(|e| e.to_string())
}
