//! Makes configuration changes while a point is played (runners drain and return, the settings get new
//! versions) and records when each was made. How long dispatchers take to adopt them is computed in `delays`.

use super::processes::Processes;
use super::protocol::{Command, now_us};
use fastrand::Rng;
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::Instant;

/// A change that was made.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// `list` or `settings`, as in [`Adoption`](super::protocol::Adoption).
    pub what: &'static str,
    /// The version of the list or of the settings that contains it.
    pub version: u64,
    /// When it was made, in microseconds of Unix time.
    pub at_us: u64,
}

struct State {
    random: Rng,
    /// The number of changes made by [`ChangeDriver::run_at_rate`].
    count: u64,
    settings: Value,
    settings_version: u64,
    drained: VecDeque<usize>,
    changes: Vec<Change>,
}

/// Makes changes and keeps the record of them.
pub struct ChangeDriver {
    processes: Arc<Processes>,
    state: Mutex<State>,
}

impl ChangeDriver {
    /// Creates a driver that has made no change.
    pub fn new(processes: Arc<Processes>) -> ChangeDriver {
        let settings = processes.layout.settings.clone();
        let random = Rng::with_seed(processes.layout.seed ^ 0xc4a9);
        let drained = VecDeque::new();
        let state = State { random, count: 0, settings, settings_version: 0, drained, changes: Vec::new() };
        ChangeDriver { processes, state: Mutex::new(state) }
    }

    /// Makes changes at a constant rate for `seconds`.
    ///
    /// # Errors
    ///
    /// Names the process that could not apply a change.
    pub async fn run_at_rate(&self, per_s: f64, seconds: f64) -> Result<(), String> {
        let (start, count) = (Instant::now(), (per_s * seconds).floor() as u64);
        for number in 0..count {
            let due = (number as f64 + 0.5) / per_s;
            tokio::time::sleep_until(start + Duration::from_secs_f64(due)).await;
            self.make_next().await?;
        }
        Ok(())
    }

    /// Makes the next change; a drain, new settings and the drained runner's return take turns.
    async fn make_next(&self) -> Result<(), String> {
        let mut state = self.state.lock().await;
        state.count += 1;
        match state.count % 3 {
            1 => {
                let runner = state.random.usize(..self.processes.layout.runners.len());
                state.drained.push_back(runner);
                self.set_health(&mut state, runner, "leaving").await
            }
            2 => self.update_settings(&mut state).await,
            _ => match state.drained.pop_front() {
                Some(runner) => self.set_health(&mut state, runner, "active").await,
                None => Ok(()),
            },
        }
    }

    async fn set_health(&self, state: &mut State, runner: usize, health: &str) -> Result<(), String> {
        let command = Command::List { runners: vec![runner], health: health.to_owned(), up: false };
        let (version, at_us) = self.send_to_discovery(&command).await?;
        state.changes.push(Change { what: "list", version, at_us });
        Ok(())
    }

    /// Sends a change to discovery; returns its version and when it was made.
    async fn send_to_discovery(&self, command: &Command) -> Result<(u64, u64), String> {
        let discovery = self.processes.parts.iter().find(|part| part.role == "discovery");
        let counts = discovery.ok_or("no discovery")?.send(command).await?;
        Ok((counts.seq, counts.at_us))
    }

    /// Reports to discovery runners that failed or returned, and records that as a change.
    ///
    /// # Errors
    ///
    /// The error that discovery reported.
    pub async fn report_runners(&self, runners: &[usize], health: &str, up: bool) -> Result<(), String> {
        let command = Command::List { runners: runners.to_vec(), health: health.to_owned(), up };
        let (version, at_us) = self.send_to_discovery(&command).await?;
        self.state.lock().await.changes.push(Change { what: "list", version, at_us });
        Ok(())
    }

    async fn update_settings(&self, state: &mut State) -> Result<(), String> {
        state.settings_version += 1;
        let tenants = self.processes.layout.stream.tenants.max(1) as usize;
        let tenant = state.settings_version as usize % tenants;
        let quota = state.settings["projects"][tenant]["quotaPerS"].as_f64().unwrap_or(1.0);
        state.settings["projects"][tenant]["quotaPerS"] = json!(quota * 1.01);
        let (settings, version) = (state.settings.clone(), state.settings_version);
        let at_us = now_us();
        let hollow = async {
            let command = Command::Settings { settings: settings.clone(), version };
            match self.processes.parts.iter().find(|part| part.role == "dispatchers") {
                Some(part) => part.send(&command).await.map(drop),
                None => Ok(()),
            }
        };
        let (real, hollow) = tokio::join!(self.processes.reload_real(&settings), hollow);
        real.and(hollow)?;
        state.changes.push(Change { what: "settings", version, at_us });
        Ok(())
    }

    /// Returns all changes made.
    pub async fn made(&self) -> Vec<Change> {
        self.state.lock().await.changes.clone()
    }
}
