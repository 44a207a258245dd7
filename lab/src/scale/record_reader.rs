//! Reads the records that the parts have written (starts, requests, adoptions) and joins each request with
//! its starts. Computes no figures.

use super::protocol::{Adoption, Request, Start};
use serde::de::DeserializeOwned;
use std::collections::HashMap;
use std::path::Path;

/// The time after a dispatcher's return in which its death may still cut clients' connections, in
/// microseconds.
const RETURN_SLACK_US: u64 = 1_000_000;

/// A request and when it first began to run, if it did.
#[derive(Clone, Debug)]
pub struct JoinedRequest {
    /// The request.
    pub request: Request,
    /// When it first started, in microseconds of Unix time.
    pub started_us: Option<u64>,
    /// The time and the runner of each start, in order.
    pub starts: Vec<(u64, usize)>,
}

/// The records of a point.
#[derive(Default)]
pub struct Records {
    /// All requests of hollow and real dispatchers.
    pub requests: Vec<JoinedRequest>,
    /// The times of all starts, in order.
    pub starts: Vec<u64>,
    /// The adoptions of hollow dispatchers.
    pub adoptions: Vec<Adoption>,
}

impl Records {
    /// Reads the records in a point's folder.
    ///
    /// # Errors
    ///
    /// Names the file and the row.
    pub fn read(folder: &Path) -> Result<Records, String> {
        let start_rows: Vec<Start> = rows(folder, "starts")?;
        let mut by_id: HashMap<&str, Vec<(u64, usize)>> = HashMap::new();
        for start in &start_rows {
            by_id.entry(&start.id).or_default().push((start.at_us, start.runner));
        }
        let requests: Vec<Request> = rows(folder, "requests")?;
        let join = |request: Request| {
            let mut starts = by_id.get(request.id.as_str()).cloned().unwrap_or_default();
            starts.sort_unstable();
            JoinedRequest { request, started_us: starts.first().map(|start| start.0), starts }
        };
        let requests = requests.into_iter().map(join).collect();
        let mut starts: Vec<_> = start_rows.iter().map(|start| start.at_us).collect();
        starts.sort_unstable();
        Ok(Records { requests, starts, adoptions: rows(folder, "acts")? })
    }
}

impl Records {
    /// Marks requests as `lost` whose connection was cut although their dispatcher was not killed meanwhile.
    /// `killed` holds the dispatchers that were, each with the time of the kill and of the return.
    pub fn mark_lost(&mut self, killed: &[(usize, u64, u64)]) {
        for joined in self.requests.iter_mut().filter(|joined| joined.request.answer == "cut") {
            let request = &joined.request;
            let was_killed = killed.iter().any(|(dispatcher, from, until)| {
                let during = request.taken_us <= until + RETURN_SLACK_US && request.answered_us >= *from;
                *dispatcher == request.dispatcher && during
            });
            if !was_killed {
                joined.request.answer = "lost".to_owned();
            }
        }
    }
}

/// Reads the rows of all files of a kind: `KIND.csv` and `KIND-SUFFIX.csv`.
fn rows<T: DeserializeOwned>(folder: &Path, kind: &str) -> Result<Vec<T>, String> {
    let in_folder = |e: &dyn std::fmt::Display| format!("{}: {e}", folder.display());
    let mut all = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(|e| in_folder(&e))? {
        let path = entry.map_err(|e| in_folder(&e))?.path();
        let name = path.file_stem().and_then(|name| name.to_str()).unwrap_or_default();
        let of_kind = name == kind || name.strip_prefix(kind).is_some_and(|rest| rest.starts_with('-'));
        if !of_kind || path.extension().is_none_or(|extension| extension != "csv") {
            continue;
        }
        let mut reader = csv::Reader::from_path(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        for row in reader.deserialize() {
            all.push(row.map_err(|e| format!("{}: {e}", path.display()))?);
        }
    }
    Ok(all)
}
