//! The protocol loop of a part of the scale run: its first line, its commands and its end. Nothing outlives
//! the run. Knows no role and needs no particular runtime, since some parts have one for each thread.

use super::protocol::{Command, Counts, Ready, Setup, now_us};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io::{BufRead, Write};
use tokio::sync::mpsc;

/// Reads [`Setup`], answers it with the result of `start`, and then answers each command with the result of
/// `execute`, one at a time. The process exits at the end of standard input, even during a command.
///
/// # Errors
///
/// If the part could not start; the run has been notified by then.
pub async fn run<S>(
    start: impl AsyncFnOnce(Setup) -> Result<(S, Ready), String>,
    mut execute: impl AsyncFnMut(&mut S, Command) -> Result<Counts, String>,
) -> Result<(), String> {
    let mut lines = read_lines();
    let line = lines.recv().await.ok_or("standard input ended before the setup")?;
    let started = match parse(&line) {
        Ok(message) => start(message).await,
        Err(e) => Err(e),
    };
    let mut state = match started {
        Ok((state, ready)) => {
            write_line(&ready)?;
            state
        }
        Err(e) => {
            write_line(&Ready { error: Some(e.clone()), ..Ready::default() })?;
            return Err(e);
        }
    };
    while let Some(line) = lines.recv().await {
        let counts = match parse(&line) {
            Ok(message) => execute(&mut state, message).await,
            Err(e) => Err(e),
        };
        // The time of completion, unless the part has set a time itself.
        let mut counts = counts.unwrap_or_else(|e| Counts { error: Some(e), ..Counts::default() });
        if counts.at_us == 0 {
            counts.at_us = now_us();
        }
        write_line(&counts)?;
    }
    Ok(())
}

/// Returns the lines of standard input. A separate thread reads them, so that their end is noticed even if
/// the runtime is busy.
fn read_lines() -> mpsc::UnboundedReceiver<String> {
    let (send, receive) = mpsc::unbounded_channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            if send.send(line).is_err() {
                return;
            }
        }
        // Exits instead of ending `run`: a runtime would wait for its tasks.
        std::process::exit(0);
    });
    receive
}

/// Parses a message from a line.
fn parse<T: DeserializeOwned>(line: &str) -> Result<T, String> {
    let mut json = serde_json::Deserializer::from_str(line);
    serde_path_to_error::deserialize(&mut json).map_err(|e| e.to_string())
}

/// Writes a message as a line to standard output; an error means that the run has ended.
fn write_line(message: &impl Serialize) -> Result<(), String> {
    let line = serde_json::to_string(message).map_err(|e| e.to_string())?;
    let mut out = std::io::stdout().lock();
    writeln!(out, "{line}").and_then(|()| out.flush()).map_err(|e| e.to_string())
}
