//! Changes of configuration while a point is played: runners that drain and come back, versions of the settings.
//! It owns their order and the record of when each was made; it must never judge who acted by them.

use super::processes::Processes;
use super::words::{Command, now_us};
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
    /// `list` or `settings`, as in [`Act`](super::words::Act).
    pub what: &'static str,
    /// The version that brings it.
    pub version: u64,
    /// Microseconds of Unix time.
    pub at_us: u64,
}

struct State {
    random: Rng,
    /// How many so far.
    made: u64,
    settings: Value,
    version: u64,
    drained: VecDeque<usize>,
    list: Vec<Change>,
}

/// Whoever makes changes.
pub struct Changes {
    processes: Arc<Processes>,
    state: Mutex<State>,
}

impl Changes {
    /// None so far.
    pub fn new(processes: Arc<Processes>) -> Changes {
        let settings = processes.layout.settings.clone();
        let random = Rng::with_seed(processes.layout.seed ^ 0xc4a9);
        let drained = VecDeque::new();
        let state = State { random, made: 0, settings, version: 0, drained, list: Vec::new() };
        Changes { processes, state: Mutex::new(state) }
    }

    /// Makes changes at a steady rate for a time.
    ///
    /// # Errors
    ///
    /// Says which process could not take one.
    pub async fn steadily(&self, per_s: f64, seconds: f64) -> Result<(), String> {
        let (start, many) = (Instant::now(), (per_s * seconds).floor() as u64);
        for number in 0..many {
            let due = (number as f64 + 0.5) / per_s;
            tokio::time::sleep_until(start + Duration::from_secs_f64(due)).await;
            self.one().await?;
        }
        Ok(())
    }

    /// Makes one: a drain, new settings, and the drained runner's return, in turn.
    async fn one(&self) -> Result<(), String> {
        let mut state = self.state.lock().await;
        state.made += 1;
        match state.made % 3 {
            1 => {
                let runner = state.random.usize(..self.processes.layout.runners.len());
                state.drained.push_back(runner);
                self.list(&mut state, runner, "leaving").await
            }
            2 => self.settings(&mut state).await,
            _ => match state.drained.pop_front() {
                Some(runner) => self.list(&mut state, runner, "active").await,
                None => Ok(()),
            },
        }
    }

    async fn list(&self, state: &mut State, runner: usize, health: &str) -> Result<(), String> {
        let told = Command::List { runners: vec![runner], health: health.to_owned(), up: false };
        let (version, at_us) = self.told(&told).await?;
        state.list.push(Change { what: "list", version, at_us });
        Ok(())
    }

    /// Tells discovery; the version of the change and when it was made.
    async fn told(&self, list: &Command) -> Result<(u64, u64), String> {
        let discovery = self.processes.parts.iter().find(|part| part.role == "discovery");
        let counts = discovery.ok_or("no discovery")?.tell(list).await?;
        Ok((counts.seq, counts.at_us))
    }

    /// Tells discovery of runners that came or went, which is a change too.
    ///
    /// # Errors
    ///
    /// Says what discovery could not do.
    pub async fn runners(&self, runners: &[usize], health: &str, up: bool) -> Result<(), String> {
        let told = Command::List { runners: runners.to_vec(), health: health.to_owned(), up };
        let (version, at_us) = self.told(&told).await?;
        self.state.lock().await.list.push(Change { what: "list", version, at_us });
        Ok(())
    }

    async fn settings(&self, state: &mut State) -> Result<(), String> {
        state.version += 1;
        let tenants = self.processes.layout.stream.tenants.max(1) as usize;
        let tenant = state.version as usize % tenants;
        let quota = state.settings["projects"][tenant]["quotaPerS"].as_f64().unwrap_or(1.0);
        state.settings["projects"][tenant]["quotaPerS"] = json!(quota * 1.01);
        let (settings, version) = (state.settings.clone(), state.version);
        let at_us = now_us();
        let hollow = async {
            let told = Command::Settings { settings: settings.clone(), version };
            match self.processes.parts.iter().find(|part| part.role == "dispatchers") {
                Some(part) => part.tell(&told).await.map(drop),
                None => Ok(()),
            }
        };
        let (real, hollow) = tokio::join!(self.processes.settings_of_real(&settings), hollow);
        real.and(hollow)?;
        state.list.push(Change { what: "settings", version, at_us });
        Ok(())
    }

    /// All that were made.
    pub async fn made(&self) -> Vec<Change> {
        self.state.lock().await.list.clone()
    }
}
