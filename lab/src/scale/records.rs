//! What a part writes down while it runs: requests with their answers, and versions acted by. It owns the files,
//! the counts of answers, and that each request taken has one row, however it ends; it must never judge a part.

use super::stream::Arrival;
use super::words::{Act, Request, now_us};
use std::collections::BTreeMap;
use std::fs::File;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Beyond a request's deadline, what its answer may take on the way, by the protocol.
const ALLOWED: Duration = Duration::from_millis(50);
/// So long after its deadline a request without an answer counts as lost.
const PATIENCE: Duration = Duration::from_secs(1);

fn file(folder: &Path, name: &str) -> Result<csv::Writer<File>, String> {
    let path = folder.join(name);
    let file = File::create(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(csv::Writer::from_writer(file))
}

/// Versions that dispatchers act by, written from several threads.
#[derive(Clone)]
pub struct Acts(Arc<Mutex<csv::Writer<File>>>);

impl Acts {
    /// A new file in a folder.
    ///
    /// # Errors
    ///
    /// Names the file that can't be made.
    pub fn create(folder: &Path, name: &str) -> Result<Acts, String> {
        Ok(Acts(Arc::new(Mutex::new(file(folder, name)?))))
    }

    fn rows(&self) -> MutexGuard<'_, csv::Writer<File>> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// A dispatcher acts by a version, now.
    pub fn act(&self, dispatcher: usize, what: &str, version: u64) {
        let act = Act { dispatcher, what: what.to_owned(), version, at_us: now_us() };
        if let Err(e) = self.rows().serialize(act) {
            log::error!("an act could not be written: {e}");
        }
    }

    /// Writes out what is held back.
    ///
    /// # Errors
    ///
    /// What the system says.
    pub fn flush(&self) -> Result<(), String> {
        self.rows().flush().map_err(|e| format!("acts: {e}"))
    }
}

/// Requests with their answers, written from several threads.
#[derive(Clone)]
pub struct Answers {
    /// How long clients wait.
    pub deadline: Duration,
    told: Arc<Mutex<Told>>,
}

struct Told {
    rows: csv::Writer<File>,
    taken: u64,
    ended: BTreeMap<&'static str, u64>,
    /// The stream has ended: what ends without an answer now was given up on.
    over: bool,
}

impl Answers {
    /// A new file in a folder, for requests with this deadline.
    ///
    /// # Errors
    ///
    /// Names the file that can't be made.
    pub fn create(folder: &Path, name: &str, deadline: Duration) -> Result<Answers, String> {
        let ends = ["served", "refused", "failed", "late", "lost", "cut", "open"];
        let ended = ends.map(|end| (end, 0)).into();
        let told = Told { rows: file(folder, name)?, taken: 0, ended, over: false };
        Ok(Answers { deadline, told: Arc::new(Mutex::new(told)) })
    }

    fn told(&self) -> MutexGuard<'_, Told> {
        self.told.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// A request is taken, now.
    pub fn out(&self, dispatcher: usize, arrival: Arrival) -> Out {
        self.told().taken += 1;
        Out { answers: self.clone(), dispatcher, arrival, taken_us: now_us(), answer: None }
    }

    /// The time from a request's taking to when its client gives up for good.
    pub fn patience(&self) -> Duration {
        self.deadline + PATIENCE
    }

    /// The stream ends: what has no answer yet is given up on.
    pub fn over(&self) {
        self.told().over = true;
    }

    /// Writes out what is held back.
    ///
    /// # Errors
    ///
    /// What the system says.
    pub fn flush(&self) -> Result<(), String> {
        self.told().rows.flush().map_err(|e| format!("requests: {e}"))
    }

    /// The counts by their names in a part's answer; `requests.out` are those without an end.
    pub fn counts(&self) -> BTreeMap<String, f64> {
        let told = self.told();
        let out = told.taken - told.ended.values().sum::<u64>();
        let all = told.ended.iter().map(|(end, count)| (*end, *count));
        let all = all.chain([("taken", told.taken), ("out", out)]);
        all.map(|(end, count)| (format!("requests.{end}"), count as f64)).collect()
    }
}

/// A request that is out; written down when it is dropped.
pub struct Out {
    answers: Answers,
    dispatcher: usize,
    /// As it was drawn.
    pub arrival: Arrival,
    taken_us: u64,
    answer: Option<&'static str>,
}

impl Out {
    /// It is answered with this now.
    pub fn answered(mut self, answer: &'static str) {
        let took = Duration::from_micros(now_us().saturating_sub(self.taken_us));
        let late = answer != "lost" && took > self.answers.deadline + ALLOWED;
        self.answer = Some(if late { "late" } else { answer });
    }
}

impl Drop for Out {
    fn drop(&mut self) {
        let (arrival, mut told) = (&self.arrival, self.answers.told());
        // Without an answer its dispatcher was killed, unless the stream has ended.
        let answer = self.answer.unwrap_or(if told.over { "open" } else { "cut" });
        *told.ended.entry(answer).or_default() += 1;
        let row = Request {
            id: arrival.id.clone(),
            dispatcher: self.dispatcher,
            class: arrival.class().to_owned(),
            tenant: arrival.tenant,
            order: arrival.order,
            gang: arrival.gang,
            taken_us: self.taken_us,
            answered_us: now_us(),
            answer: answer.to_owned(),
        };
        if let Err(e) = told.rows.serialize(row) {
            log::error!("a request could not be written: {e}");
        }
    }
}
