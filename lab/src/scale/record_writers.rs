//! Writes the records of a part while it runs (requests with their answers, adopted versions) and counts the
//! answers. Each request taken has exactly one row, however it ends.

use super::protocol::{Adoption, Request, now_us};
use super::stream::Arrival;
use std::collections::BTreeMap;
use std::fs::File;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// The time after a request's deadline within which its answer may still arrive, by the protocol.
const ANSWER_SLACK: Duration = Duration::from_millis(50);
/// A request without an answer this long after its deadline counts as lost.
const LOST_AFTER: Duration = Duration::from_secs(1);

fn create_csv(folder: &Path, name: &str) -> Result<csv::Writer<File>, String> {
    let path = folder.join(name);
    let file = File::create(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(csv::Writer::from_writer(file))
}

/// The versions that dispatchers adopt, written from several threads.
#[derive(Clone)]
pub struct AdoptionLog(Arc<Mutex<csv::Writer<File>>>);

impl AdoptionLog {
    /// Creates the file in a folder.
    ///
    /// # Errors
    ///
    /// Names the file that cannot be created.
    pub fn create(folder: &Path, name: &str) -> Result<AdoptionLog, String> {
        Ok(AdoptionLog(Arc::new(Mutex::new(create_csv(folder, name)?))))
    }

    fn rows(&self) -> MutexGuard<'_, csv::Writer<File>> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Records that a dispatcher adopted a version now.
    pub fn adopted(&self, dispatcher: usize, what: &str, version: u64) {
        let row = Adoption { dispatcher, what: what.to_owned(), version, at_us: now_us() };
        if let Err(e) = self.rows().serialize(row) {
            log::error!("a row of acts.csv could not be written: {e}");
        }
    }

    /// Flushes buffered rows.
    ///
    /// # Errors
    ///
    /// The system's error.
    pub fn flush(&self) -> Result<(), String> {
        self.rows().flush().map_err(|e| format!("acts: {e}"))
    }
}

/// The requests with their answers, written from several threads.
#[derive(Clone)]
pub struct RequestLog {
    /// The requests' deadline.
    pub deadline: Duration,
    state: Arc<Mutex<State>>,
}

struct State {
    rows: csv::Writer<File>,
    taken: u64,
    ended: BTreeMap<&'static str, u64>,
    /// Whether the stream has ended: a request that ends without an answer from then on was abandoned.
    stream_ended: bool,
}

impl RequestLog {
    /// Creates the file in a folder, for requests with this deadline.
    ///
    /// # Errors
    ///
    /// Names the file that cannot be created.
    pub fn create(folder: &Path, name: &str, deadline: Duration) -> Result<RequestLog, String> {
        let ends = ["served", "refused", "failed", "late", "lost", "cut", "open"];
        let ended = ends.map(|end| (end, 0)).into();
        let state = State { rows: create_csv(folder, name)?, taken: 0, ended, stream_ended: false };
        Ok(RequestLog { deadline, state: Arc::new(Mutex::new(state)) })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Records that a request arrives at a dispatcher now.
    pub fn open(&self, dispatcher: usize, arrival: Arrival) -> OpenRequest {
        self.state().taken += 1;
        OpenRequest { log: self.clone(), dispatcher, arrival, taken_us: now_us(), answer: None }
    }

    /// Returns the time after a request's arrival at which its client stops waiting.
    pub fn answer_timeout(&self) -> Duration {
        self.deadline + LOST_AFTER
    }

    /// Marks the stream as ended: requests without an answer are recorded as `open` from now on.
    pub fn end_stream(&self) {
        self.state().stream_ended = true;
    }

    /// Flushes buffered rows.
    ///
    /// # Errors
    ///
    /// The system's error.
    pub fn flush(&self) -> Result<(), String> {
        self.state().rows.flush().map_err(|e| format!("requests: {e}"))
    }

    /// Returns the counts by their names in a part's answer; `requests.out` are the requests that have not
    /// ended.
    pub fn counts(&self) -> BTreeMap<String, f64> {
        let state = self.state();
        let out = state.taken - state.ended.values().sum::<u64>();
        let all = state.ended.iter().map(|(end, count)| (*end, *count));
        let all = all.chain([("taken", state.taken), ("out", out)]);
        all.map(|(end, count)| (format!("requests.{end}"), count as f64)).collect()
    }
}

/// A request that has not ended; its row is written when it is dropped.
pub struct OpenRequest {
    log: RequestLog,
    dispatcher: usize,
    /// The arrival, as it was drawn.
    pub arrival: Arrival,
    taken_us: u64,
    answer: Option<&'static str>,
}

impl OpenRequest {
    /// Ends it with this answer, or with `late` if the answer came too late.
    pub fn finish(mut self, answer: &'static str) {
        let took = Duration::from_micros(now_us().saturating_sub(self.taken_us));
        let late = answer != "lost" && took > self.log.deadline + ANSWER_SLACK;
        self.answer = Some(if late { "late" } else { answer });
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let (arrival, mut state) = (&self.arrival, self.log.state());
        // Dropped without an answer: its dispatcher was killed, unless the stream has ended.
        let answer = self.answer.unwrap_or(if state.stream_ended { "open" } else { "cut" });
        *state.ended.entry(answer).or_default() += 1;
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
        if let Err(e) = state.rows.serialize(row) {
            log::error!("a request could not be written: {e}");
        }
    }
}
